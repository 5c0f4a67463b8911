"""Measures pipelines; not part of the tests: `python -m tests.pipelines.measure`.

How long a file of 1,000 steps takes to be checked and planned, and what 100 runs of 20 steps sent at once cost in
the state service and ordinary submissions in the same seconds, against the service in memory with its limits on.
"""

import statistics
import time
import tracemalloc
from collections import Counter
from typing import Any

import trio

from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.compile import compiled
from tests.fakes import World, job, run_scenario
from tests.pipelines.helpers import PARTS, announce, chain, insist, jobs_stored

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
        plan = compiled(data).plan
        times.append(time.process_time() - at)
    at = time.process_time()
    plans.timing(plan)
    slack_s = time.process_time() - at
    tracemalloc.start()
    packed = plans.pack(compiled(data).plan)
    most = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    print(f"a file of 1,000 steps, {len(data)} bytes: checked and planned in {statistics.median(times):.2f} s of")
    print(f"processor time, {most / 1e6:.0f} MB at the most; packed {len(packed)} characters; times {slack_s:.2f} s")


def many_runs(crowd: bool) -> None:
    """One job by itself every second, with or without the crowd of runs."""
    waits: list[float] = []
    done: list[float] = []
    asked: Counter[str] = Counter()

    async def scenario(world: World) -> None:
        world.cloud.down = True  # nothing runs: what is measured is the sending
        world.state.limits = {"write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32}
        count(world, asked)
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
        assert len(jobs_stored(world)) == SECONDS + (RUNS * STEPS if crowd else 0)

    async def one_run(world: World, number: int, began: float) -> None:
        plan = chain(STEPS, f"run{number}", memory_gb=1.0 + number / 1024)
        announce(world, plan)
        await insist(world, plan, number % 3, 900.0)
        done.append(trio.current_time() - began)

    run_scenario(scenario, parts=PARTS, write_rps=40.0)
    waits.sort()
    print(f"{'with' if crowd else 'without'} {RUNS} runs of {STEPS} steps: {SECONDS} single submissions,", end=" ")
    middle, most = waits[len(waits) // 2], waits[int(len(waits) * 0.99)]
    print(f"answered after {middle:.3f} s (median), {most:.3f} s (99th of 100)")
    if crowd:
        print(f"runs sent: half after {statistics.median(done):.0f} s, all after {max(done):.0f} s")
    print(", ".join(f"{name} {number}" for name, number in sorted(asked.items())))


def count(world: World, asked: Counter[str]) -> None:
    serve = world.state.serve

    async def counted(source: str, method: str, path: str, body: Any) -> Any:
        kind = path.split("?")[0].split("/")[1]
        if kind in ("txn", "keys"):
            asked[f"requests /{kind}"] += 1
        answer = await serve(source, method, path, body)
        if kind == "txn":
            asked[f"changes answered {answer[0]}"] += len(body.get("writes", []))
        return answer

    world.state.serve = counted  # type: ignore[method-assign]


if __name__ == "__main__":
    large_file()
    many_runs(False)
    many_runs(True)
