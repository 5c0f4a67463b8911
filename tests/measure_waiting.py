"""Measures what waiting jobs cost a leader; not part of the tests: `python -m tests.measure_waiting [N ...]`.

N jobs of 20 tasks wait, the cloud has no capacity, and nothing else happens. One controller runs by the real clock,
with a state service in memory. Prints its share of a core, its longest planning round and the delay of submissions.
"""

import statistics
import subprocess
import sys
import time

import trio

from pepperlatch.controller import store
from pepperlatch.protocol import wire
from tests.fakes import World, job

NUMBERS = (0, 500, 1000, 2000, 4000)  # waiting jobs
SETTLE_S, LENGTH_S = 8.0, 20.0  # s; the time before the measurement, and the length of the measurement


async def main(count: int) -> None:
    """Measure in this process, and print one line."""
    async with trio.open_nursery() as nursery:
        world = World(nursery, 1)
        world.cloud.capacity.clear()
        for number in range(count):
            spec = wire.convert(job(number, pieces=20, cores=1.0 + number % 3), wire.JobSpec)
            world.state.change(store.creation_changes(spec, [], world.wall_clock(trio.current_time())))
        nursery.start_soon(world.state.run)
        world.start(0)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 60)
        await trio.sleep(SETTLE_S)
        leader = world.nodes[0].leader
        assert leader is not None
        rounds: list[float] = []
        plan = leader._plan

        def timed(now: float, lease_valid: bool) -> None:
            at = time.perf_counter()
            plan(now, lease_valid)
            rounds.append(time.perf_counter() - at)

        leader._plan = timed  # type: ignore[method-assign]
        began, used = time.monotonic(), time.process_time()
        await trio.sleep(LENGTH_S)
        share = (time.process_time() - used) / (time.monotonic() - began)
        waits = []
        for number in range(10):
            at = trio.current_time()
            assert (await world.submit(job(900_000 + number), 0))[0] == 201
            waits.append(trio.current_time() - at)
            await trio.sleep(0.5)
        print(f"{count} jobs of 20 tasks wait: {share:.3f} of a core, {len(rounds)} rounds in {LENGTH_S:g} s,", end=" ")
        print(f"longest {max(rounds, default=0.0):.3f} s,", end=" ")
        print(f"submissions {statistics.median(waits):.3f} s in the median, {max(waits):.3f} s at the most")
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    if len(sys.argv) == 2:
        trio.run(main, int(sys.argv[1]))
    else:
        for number in map(int, sys.argv[1:] or NUMBERS):
            subprocess.run([sys.executable, "-m", "tests.measure_waiting", str(number)], check=True)
