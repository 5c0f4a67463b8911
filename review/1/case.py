"""A pipeline of fork-join stages with one deadline on its last job, beside another user's job.

Rule: a job about which no question is answered for 75 s counts as forgotten. Without the disruption the last job of the
pipeline has no deadline; all else is the same.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
import harness as h

WIDE = 60  # jobs of each of the first two steps; each job of the second needs all of the first
STAGES = 16  # stages after them: two jobs side by side and one that needs both
FORGOTTEN_S = 75.0  # s; the bound of the rule
BYSTANDER = "run-000001"


def pipeline(bench, deadline):
    """The pipeline's jobs in the order of submission; only the last one may have a deadline.

    All jobs are estimated at 10 s, but for the longer one of each stage: 11 s in the first, 9 h in the last.
    """
    number = 100

    def step(needs, expected_s=10.0, run_s=600.0, **fields):
        nonlocal number
        number += 1
        return bench.job(
            f"run-{number:06d}", run_s, prereqs=list(needs), urgency="low", **{"expected_s": expected_s} | fields
        )

    before = []
    for _ in range(2):
        jobs = [step(before) for _ in range(WIDE)]
        yield from jobs
        before = [job["name_id"] for job in jobs]
    for stage in range(STAGES):
        short, long = step(before), step(before, expected_s=10.0 + 2**stage)
        join = step([long["name_id"], short["name_id"]])
        yield from (short, long, join)
        before = [join["name_id"]]
    yield step(before, 20.0, 20.0, due_s=604800.0 if deadline else None)


async def poll(bench, record, job_id):
    """One question as a user asks it; whether it was answered."""
    controller = bench.balancer.connect()
    status, _, answer = await h.ask(controller.bind, "GET", f"/work/{job_id}", None, 2.0)
    bench.balancer.disconnect(controller)
    record(f"poll {job_id} at {controller.name}: {status or 'no answer'} {answer or ''}")
    return status == 200


async def case(folder, record, trouble):
    """Play the case; `record` writes record.txt. Returns whether the rule was broken or held."""
    bench, submission = h.portal_bench(folder, record), None
    try:
        await bench.start(3)
        if await bench.submit(bench.job(BYSTANDER, run_s=300.0, pieces=4, cores=4.0)) not in (200, 201):
            raise h.CannotRun("the other user's job was not accepted")
        for _ in range(60):
            if any(task["status"] == "running" for m in bench.cloud.machines.values() if m["worker"] for task in
                   m["worker"].tasks.values()):  # fmt: skip
                break
            await asyncio.sleep(0.5)
        else:
            raise h.CannotRun("the other user's job did not start")
        *jobs, last = pipeline(bench, trouble)
        for job in jobs:
            if await bench.submit(job) not in (200, 201):
                raise h.CannotRun(f"{job['name_id']} was not accepted")
        record.say(f"{len(jobs)} jobs of the pipeline accepted")
        # The controllers may stop between the writing of the last job and the answer to its user, who then repeats it.
        submission = asyncio.create_task(bench.submit(last))
        until = time.monotonic() + 20
        while f"j/job/{last['name_id']}" not in bench.state.keys:
            if time.monotonic() > until:
                raise h.CannotRun("the last job of the pipeline was not written to the state service")
            await asyncio.sleep(0.05)
        record.say("the last job of the pipeline is written to the state service")
        bench.leases_ended.clear()
        answered_at, most, answered, asked = time.monotonic(), 0.0, 0, 0
        until = time.monotonic() + FORGOTTEN_S + 4
        while time.monotonic() < until:
            began = time.monotonic()
            asked += 1
            if await poll(bench, record, BYSTANDER):
                answered, answered_at = answered + 1, time.monotonic()
            most = max(most, time.monotonic() - answered_at)
            await asyncio.sleep(max(0.0, began + 5.0 - time.monotonic()))
        most = max(most, time.monotonic() - answered_at)
        for controller in bench.controllers:
            record.say(f"{controller.name}: processor time {controller.cpu_s():.1f} s, exit code {controller.ended()}")
        said = submission.result() if submission.done() else "none so far"
        record.say(f"answer to the submission of the last job: {said}")
        lost = sum(running for _, running in bench.leases_ended)
        record.say(f"{answered} of {asked} polls of {BYSTANDER} answered; longest time without an answer {most:.1f} s")
        record.say(f"tasks lost because workers' leases ended: {lost}")
        return h.BROKEN if most >= FORGOTTEN_S else h.HELD
    finally:
        if submission is not None:
            submission.cancel()
        bench.stop()


h.main(case)
