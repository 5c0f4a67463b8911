"""Measures the view; not part of the tests: `python -m tests.console.measure [JOBS [MACHINES]]`.

One controller under the real clock over the service in memory, its operators' listener on loopback. So many jobs of
three tasks, and as many machines as the cloud has. Printed: bytes a second of one console and of 50, the leader's
processor time of a first snapshot, of each answer of changes and in all, its memory, and the time to render the report.
"""

import hashlib
import resource
import statistics
import sys
import time
from typing import Any

import trio

import tests.fakes as fakes
from pepperlatch import features
from pepperlatch.console import report
from pepperlatch.console.feed import Feed, Wants
from pepperlatch.console.mirror import Mirror, Silent
from pepperlatch.console.part import Console
from pepperlatch.console.rows import Query
from pepperlatch.constants import console as c
from pepperlatch.controller import store
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, Lost, NotSent
from pepperlatch.protocol.http.server import Server

HOST, PORT = "127.0.0.1", 18981
SETTLE_S, LOOK_S, VIEWERS = 40.0, 30.0, 50
made: list[Console] = []


def part(core: Any) -> Console:
    made.append(Console(core, features.Console(on=True)))
    return made[-1]


def roomy_settings(index: int, *rest: Any) -> Any:
    settings = narrow_settings(index, *rest)
    for team in settings.params.teams:
        team.cpus_max = 1e6
    return settings


fakes.REPORT_S = 8.0  # s; six hundred workers share this process, and report as often in all as 150 would
narrow_settings, fakes.settings_of = fakes.settings_of, roomy_settings


def viewer(tries: int = 3) -> tuple[HttpNetwork, Mirror]:
    """As the command line asks: again when it is told to come back. `tries`: 30 where it waits a minute."""
    network = HttpNetwork(8, gzip=True)

    async def ask(method: str, path: str) -> tuple[int, Any]:
        for _ in range(tries):
            try:
                status, after, answer = await network.ask(f"{HOST}:{PORT}", method, path, None, 5.0)
            except (NotSent, Lost) as error:
                raise Silent(str(error)) from None
            if status != 503:
                return status, answer
            await trio.sleep(float(after))
        raise Silent("busy")

    return network, Mirror(ask, Query(state="unfinished", page=c.PAGE_MOST, most=c.CONSOLE_BYTES))


def resident_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def described(number: int) -> dict[str, Any]:
    """Ids as users draw them: what is alike from job to job would compress too well."""
    digits = hashlib.blake2b(str(number).encode(), digest_size=6).hexdigest()
    urgency = ("urgent", "standard")[number % 2]
    return fakes.job(number, name_id=f"run-{digits}", pieces=3, expected_s=30.0 + number % 60, urgency=urgency)


async def main(jobs: int, machines: int) -> None:
    async with trio.open_nursery() as nursery:
        world = fakes.World(nursery, 1, parts=(part,))
        world.cloud.capacity.update({zone: machines // 3 for zone in fakes.ZONES})
        for number in range(jobs):
            body = described(number)
            world.jobs[body["name_id"]] = body
            world.observer.done_tasks[body["name_id"]] = set()
            spec = wire.convert(body, wire.JobSpec)
            world.state.change(store.created(spec, [], world.wall_clock(trio.current_time())))
        nursery.start_soon(world.state.run)
        world.start(0)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 60)
        await nursery.start(Server(world.nodes[0].handle_peer, 100).serve, HOST, PORT)
        await trio.sleep(SETTLE_S)
        up = sum(worker.up for worker in world.workers)
        print(f"{jobs} jobs of 3 tasks, {up} machines up, history {made[0]._leads[1].history.size() / 1e6:.2f} MB")
        costs = timed(made[0])
        for phase in PHASES:
            costs.clear()
            began, before_mb = trio.current_time(), resident_mb()
            await trio.run_process([sys.executable, "-m", "tests.console.measure", phase])
            took = trio.current_time() - began
            print(f"    the leader: {sum(costs):.3f} s, {sum(costs) / took:.4f} of a core,", end=" ")
            print(f"{statistics.median(costs) * 1000:.1f} ms an answer in the median,", end=" ")
            print(f"{max(costs) * 1000:.1f} ms at the most; {resident_mb() - before_mb:+.1f} MB", flush=True)
        nursery.cancel_scope.cancel()


def timed(console: Console) -> list[float]:
    """Processor time of each answer that was made, not taken from a kept one."""
    views, costs = console._views(), []
    own = views._own

    def measured(*asked: Any) -> Any:
        began = time.process_time()
        try:
            return own(*asked)
        finally:
            costs.append(time.process_time() - began)

    views._own = measured  # type: ignore[method-assign]
    return costs


# --- viewers, each phase in a process of its own ----------------------------------------------------


async def snapshot() -> None:
    network, mirror = viewer(30)
    at = trio.current_time()
    await mirror.complete()
    print(f"snapshot: {len(mirror.rows)} jobs, {network.received / 1000:.0f} KB sent, {trio.current_time() - at:.1f} s")


async def console() -> None:
    network, mirror = viewer()
    await mirror.load()
    received = network.received
    feed = Feed(mirror, Wants(mirror.query), lambda shown: None)
    behind, stale, tries = await looked(feed, LOOK_S)
    print(f"one console for {LOOK_S:.0f} s: {(network.received - received) / LOOK_S:.0f} bytes/s,", end=" ")
    print(f"behind in {behind} and stale in {stale} of {tries} looks")


async def crowd() -> None:
    found: list[tuple[int, int, int]] = []

    async def one(after: float) -> None:
        await trio.sleep(after)
        mirror = viewer()[1]
        found.append(await looked(Feed(mirror, Wants(mirror.query), lambda shown: None), LOOK_S))

    async with trio.open_nursery() as nursery:
        for number in range(VIEWERS):
            nursery.start_soon(one, number / 10)
    _, stale, tries = (sum(numbers) for numbers in zip(*found, strict=True))
    print(f"{VIEWERS} consoles for {LOOK_S:.0f} s: stale in {stale} of {tries} looks")


async def looked(feed: Feed, seconds: float) -> tuple[int, int, int]:
    behind = stale = tries = 0
    with trio.move_on_after(seconds):
        while True:
            shown = await feed.look()
            tries, behind, stale = tries + 1, behind + shown.behind, stale + bool(shown.stale)
            await trio.sleep(c.POLL_S)
    return behind, stale, tries


async def page() -> None:
    content = await report.gather(viewer(30)[1])
    began = time.process_time()
    text = report.render(content, None)
    print(f"report: {len(content.rows)} jobs, {len(text.encode()) / 1e6:.2f} MB, {time.process_time() - began:.2f} s")


PHASES = {"snapshot": snapshot, "console": console, "crowd": crowd, "page": page}

if __name__ == "__main__":
    if len(sys.argv) == 2 and sys.argv[1] in PHASES:
        trio.run(PHASES[sys.argv[1]])
    else:
        numbers = [int(word) for word in sys.argv[1:]]
        trio.run(main, numbers[0] if numbers else 5000, numbers[1] if len(numbers) > 1 else 600)
