"""Several hundred users call off their jobs within a fifth of a second, and repeat that as the protocol says.

Rule: a cancellation is answered with 200; like a submission it is repeated for up to 60 s. Without the disruption the
same users call off the same jobs at ten a second.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
import harness as h

JOBS = 400  # one-task jobs, each with a user of its own
WITHIN_S = 0.2  # s; in which all users send their first cancellation
RETRIED_S = 60.0  # s; the bound of the rule
WATCHED_S = 70.0  # s; for so long the users go on


async def case(folder, record, trouble):
    bench = h.stations_bench(folder, record)
    try:
        await bench.start(3)
        users = [(f"run-{n:06d}", h.Connection(bench.balancer.connect().bind)) for n in range(1, JOBS + 1)]
        at_once = asyncio.Semaphore(20)

        async def submit(name, connection):
            async with at_once:
                job = bench.job(name, run_s=300.0, cores=0.25, memory_gb=0.9)
                status, _ = await bench.persist("POST", "/work", job, 60.0, f"submit {name}", connection)
                if status not in (200, 201):
                    raise h.CannotRun(f"{name} was not accepted")

        await asyncio.gather(*(submit(*user) for user in users))
        record.say(f"{JOBS} jobs accepted; {bench.running_in_all()} tasks run")
        await asyncio.sleep(3)
        began, answered = time.monotonic(), {}

        async def cancel(position, name, connection):
            await asyncio.sleep(position * WITHIN_S / JOBS if trouble else position / 10)
            sent = time.monotonic()
            path = f"/work/{name}/cancel"
            status, answer = await bench.persist("POST", path, {}, WATCHED_S, f"cancel {name}", connection)
            if status == 200 and answer["status"] == "withdrawn":
                answered[name] = time.monotonic() - sent

        async def rates():
            before = bench.state.served_writes
            while True:
                await asyncio.sleep(10)
                after = bench.state.served_writes
                record.say(
                    f"{time.monotonic() - began:4.0f} s: {len(answered)} cancellations answered; the state service "
                    f"carried out {after - before} changes in 10 s and allows {10 * bench.state.writes.rate:g}"
                )
                before = after

        watcher = asyncio.create_task(rates())
        await asyncio.gather(*(cancel(position, *user) for position, user in enumerate(users)))
        watcher.cancel()
        late = {name: connection.address for name, connection in users if answered.get(name, 1e9) > RETRIED_S}
        for controller in bench.controllers:
            count = sum(address == controller.bind for address in late.values())
            leads = " (leads)" if controller is bench.leader() else ""
            record.say(f"not answered within {RETRIED_S:g} s at {controller.name}{leads}: {count}")
        record.say(f"{len(late)} of {JOBS} cancellations were not answered within {RETRIED_S:g} s")
        return h.BROKEN if late else h.HELD
    finally:
        bench.stop()


h.main(case)
