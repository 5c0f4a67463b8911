"""Measures what finished jobs cost a controller; not part of the tests: `python -m tests.measure_history [N ...]`.

For each number of finished jobs, a process of its own reads them all from a state service in memory, as a controller
does when it starts, and prints its resident size afterwards and the processor time that the reading took. The records
are as the leader writes them; a third of the jobs in chains of four.
"""

import resource
import subprocess
import sys
import time
from typing import Any

import trio

from pepperlatch.controller.store import WATCHED, Replica, compact
from pepperlatch.protocol.state import StateClient
from tests.fakes import settings_of

NUMBERS = (0, 20_000, 50_000, 100_000, 200_000)  # finished jobs


class FinishedJobs:
    """A state service that holds `count` finished jobs, whose records it makes page by page as they are read."""

    def __init__(self, count: int) -> None:
        self.count = count

    async def request(self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0) -> Any:
        after = path.partition("&after=")[2].rpartition("-")[2]
        begin = int(after) + 1 if after else 0
        end = min(begin + 500, self.count)
        pairs = [
            {"k": f"j/job/run-{n:07d}", "stamp": n + 1,
             "value": {"state": "done", "tasks": 1 + n % 40, "at": 1.7e9 + n, "ended": 1.7e9 + n + 60}}
            for n in range(begin, end)
        ]  # fmt: skip
        return 200, {"pairs": pairs, "truncated": end < self.count, "ledger_mark": self.count + 1}


async def read(count: int) -> Replica:
    """A replica that has read so many finished jobs, without waiting for the request rate."""
    params = settings_of(0).params
    params.state.rps = 1e9
    replica = Replica()
    state = StateClient(FinishedJobs(count), "", params.state, 1, trio.current_time)
    replica.reload(*await state.read_all(WATCHED, compact))
    return replica


def resident_mb() -> float:
    """Resident size of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def measure(count: int) -> None:
    """Measure in this process, and print one line."""
    before, began = resident_mb(), time.process_time()
    replica = trio.run(read, count)
    took = time.process_time() - began
    most = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 / 1e6
    assert len(replica.jobs) == count
    each = f", {(resident_mb() - before) * 1e6 / count:.0f} bytes a job" if count else ""
    print(f"{count} finished jobs: {resident_mb():.0f} MB, {most:.0f} MB at the most, read in {took:.2f} s{each}")


if __name__ == "__main__":
    if len(sys.argv) == 2:
        measure(int(sys.argv[1]))
    else:
        for number in map(int, sys.argv[1:] or NUMBERS):
            subprocess.run([sys.executable, "-m", "tests.measure_history", str(number)], check=True)
