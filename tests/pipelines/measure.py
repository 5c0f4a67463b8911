"""Measures pipelines; not part of the tests. Run it with `python -m tests.pipelines.measure`.

It measures how long a file of 1,000 steps takes to be checked and planned. It also sends 100 runs of 20 steps at once,
to an in-memory state service with rate limits, and measures their requests and the latency of single submissions.
"""

import statistics
import time
import tracemalloc
from collections import Counter
from typing import Any

import trio

from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.compile import compile_file
from tests.fakes import World, job, run_scenario
from tests.pipelines.helpers import EXTENSIONS, chain_plan, put_with_retries, register_jobs, stored_job_ids

RUNS, STEPS, SECONDS = 100, 20, 60


def file_of(steps: int) -> bytes:
    head = "name: large\nteam: red\ndeadline: 4h\ndefaults: {class: x, cpus: 2, memory_gb: 4, estimate: 20 s}\nsteps:\n"
    rows = [
        f"  - name: step-{n}\n    image: image-{n % 7}-{n}\n    count: {1 + n % 50}\n    priority: low\n"
        + (f"    needs: [step-{n - 1}, step-{n // 2}]\n" if n > 1 else "")
        for n in range(steps)
    ]
    return (head + "".join(rows)).encode()


def large_file() -> None:
    data = file_of(1000)
    times = []
    for _ in range(5):
        at = time.process_time()
        plan = compile_file(data).plan
        times.append(time.process_time() - at)
    at = time.process_time()
    plans.timing(plan)
    slack_s = time.process_time() - at
    tracemalloc.start()
    packed = plans.pack(compile_file(data).plan)
    most = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    print(f"a file of 1,000 steps, {len(data)} bytes: checked and planned in {statistics.median(times):.2f} s of")
    print(f"processor time, {most / 1e6:.0f} MB at the most; packed {len(packed)} characters; times {slack_s:.2f} s")


def many_runs(crowd: bool) -> None:
    """Submit one job every second, with or without many runs at the same time."""
    waits: list[float] = []
    done: list[float] = []
    requests: Counter[str] = Counter()

    async def scenario(world: World) -> None:
        world.cloud.down = True  # no machines, so no job runs: only the submissions are measured
        world.state.limits = {"write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32}
        count(world, requests)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            if crowd:
                for number in range(RUNS):
                    nursery.start_soon(one_run, world, number, began)
            for number in range(SECONDS):
                at = trio.current_time()
                status, _ = await world.submit(job(number), number % 3)
                while status != 201:
                    await trio.sleep(1.0)
                    status, _ = await world.submit(job(number), number % 3)
                waits.append(trio.current_time() - at)
                await trio.sleep(max(0.0, at + 1.0 - trio.current_time()))
        assert len(stored_job_ids(world)) == SECONDS + (RUNS * STEPS if crowd else 0)

    async def one_run(world: World, number: int, began: float) -> None:
        plan = chain_plan(STEPS, f"run{number}", memory_gb=1.0 + number / 1024)
        register_jobs(world, plan)
        await put_with_retries(world, plan, number % 3, 900.0)
        done.append(trio.current_time() - began)

    run_scenario(scenario, extensions=EXTENSIONS, write_rps=40.0)
    waits.sort()
    print(f"{'with' if crowd else 'without'} {RUNS} runs of {STEPS} steps: {SECONDS} single submissions,", end=" ")
    middle, most = waits[len(waits) // 2], waits[int(len(waits) * 0.99)]
    print(f"answered after {middle:.3f} s (median), {most:.3f} s (99th of 100)")
    if crowd:
        print(f"runs sent: half after {statistics.median(done):.0f} s, all after {max(done):.0f} s")
    print(", ".join(f"{name} {number}" for name, number in sorted(requests.items())))


def count(world: World, requests: Counter[str]) -> None:
    serve = world.state.serve

    async def counted(source: str, method: str, path: str, body: Any) -> Any:
        kind = path.split("?")[0].split("/")[1]
        if kind in ("txn", "keys"):
            requests[f"requests /{kind}"] += 1
        answer = await serve(source, method, path, body)
        if kind == "txn":
            requests[f"changes answered {answer[0]}"] += len(body.get("writes", []))
        return answer

    world.state.serve = counted  # type: ignore[method-assign]


if __name__ == "__main__":
    large_file()
    many_runs(False)
    many_runs(True)
