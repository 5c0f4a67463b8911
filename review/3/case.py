"""A user cancels an array of a thousand tiny tasks that run on one machine.

Rule: `ran_cancelled`. Without the disruption the array takes as many CPUs in fewer tasks. The stand-in of the worker keeps
to the protocol's limit: it refuses requests beyond 64 KiB and drops responses with a line beyond 64 KiB.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
import harness as h

PIECES, CORES, MEMORY_GB = 1000, 0.05, 0.2  # together 50 CPUs and 200 GB, of the machine's 64 and 256
MARGIN_S = 1.0  # s beyond `cancel_s` until the check
ARRAY = "run-000002"


async def case(folder, record, trouble):
    """Play the case; `record` writes record.txt. Returns whether the rule was broken or held."""
    bench = h.stations_bench(folder, record)
    try:
        await bench.start(3)
        parts = 1 if trouble else 20
        pieces = PIECES // parts
        array = bench.job(
            ARRAY, run_s=300.0, pieces=pieces, cores=CORES * parts, memory_gb=MEMORY_GB * parts, crew="health-liaison",
            builds=["kestrel-heavy"],
        )  # fmt: skip
        if await bench.submit(array) not in (200, 201):
            raise h.CannotRun("the array was not accepted")
        until = time.monotonic() + 35
        while bench.running(ARRAY) < pieces:
            if time.monotonic() > until:
                raise h.CannotRun("the tasks of the array did not all start")
            await asyncio.sleep(0.1)
        record.say(f"all {pieces} tasks of the array run, {bench.oversized} messages beyond 64 KiB so far")
        await asyncio.sleep(3)
        status, answer = await bench.persist("POST", f"/work/{ARRAY}/cancel", {}, 20.0, "cancel")
        if status != 200 or answer["status"] != "withdrawn":
            raise h.CannotRun("the cancellation was not answered")
        told, gone_s = time.monotonic(), None
        cancel_s = bench.params["workers"]["cancel_s"]
        while gone_s is None and time.monotonic() - told < cancel_s + MARGIN_S:
            await asyncio.sleep(0.1)
            if not bench.running(ARRAY):
                gone_s = time.monotonic() - told
        left = bench.running(ARRAY)
        record.say(f"messages of controllers to workers beyond 64 KiB: {bench.oversized}")
        if gone_s is not None:
            record.say(f"the last task was gone {gone_s:.1f} s after the user was told; cancel_s is {cancel_s:g} s")
        else:
            record.say(f"{left} tasks are on machines {time.monotonic() - told:.1f} s after the user was told; "
                       f"cancel_s is {cancel_s:g} s")  # fmt: skip
        return h.BROKEN if left else h.HELD
    finally:
        bench.stop()


h.main(case)
