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
from pepperlatch.console.feed import Feed, Shown, Wants
from pepperlatch.console.mirror import Mirror, Silent
from pepperlatch.console.part import Console
from pepperlatch.console.rows import Query
from pepperlatch.constants import console as c
from pepperlatch.controller import store
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, Lost, NotSent
from pepperlatch.protocol.http.server import Server

HOST, PORT = "127.0.0.1", 18981
SETTLE_S, LOOK_S = 40.0, 60.0
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


def viewer() -> tuple[HttpNetwork, Mirror]:
    network = HttpNetwork(8, gzip=True)

    async def ask(method: str, path: str) -> tuple[int, Any]:
        for _ in range(3):
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
            world.observer.done[body["name_id"]] = set()
            spec = wire.convert(body, wire.JobSpec)
            world.state.change(store.created(spec, [], world.wall(trio.current_time())))
        nursery.start_soon(world.state.run)
        world.start(0)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 60)
        await nursery.start(Server(world.nodes[0].handle_peer, 100).serve, HOST, PORT)
        await trio.sleep(SETTLE_S)
        up = sum(worker.up for worker in world.workers)
        print(f"{jobs} jobs of 3 tasks, {up} machines up, history {made[0]._leads[1].history.size() / 1e6:.2f} MB")
        costs = timed(made[0])
        before_mb = resident_mb()
        network, mirror = viewer()
        at = time.perf_counter()
        await mirror.complete()
        await mirror.load()
        print(f"snapshot: {len(mirror.rows)} jobs, {network.received / 1000:.0f} KB sent,", end=" ")
        print(f"{sum(costs):.3f} s of the leader,", end=" ")
        print(f"{time.perf_counter() - at:.2f} s in all, the process {resident_mb() - before_mb:+.1f} MB")
        await console(network, mirror, costs, LOOK_S)
        await crowd(costs)
        await page(mirror)
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


async def console(network: HttpNetwork, mirror: Mirror, costs: list[float], seconds: float) -> None:
    costs.clear()
    began, received = trio.current_time(), network.received
    feed = Feed(mirror, Wants(mirror.query), lambda shown: None)
    behind = tries = 0
    with trio.move_on_after(seconds):
        while True:
            shown: Shown = await feed.look()
            tries, behind = tries + 1, behind + shown.behind
            await trio.sleep(c.POLL_S)
    took = trio.current_time() - began
    print(f"one console for {took:.0f} s: {(network.received - received) / took:.0f} bytes/s,", end=" ")
    print(f"{statistics.median(costs) * 1000:.1f} ms of the leader an answer in the median,", end=" ")
    print(f"{max(costs) * 1000:.1f} ms at the most, {sum(costs) / took:.4f} of a core;", end=" ")
    print(f"behind in {behind} of {tries} answers")


async def crowd(costs: list[float]) -> None:
    costs.clear()
    served: list[int] = []

    async def one() -> None:
        mirror = viewer()[1]
        feed = Feed(mirror, Wants(mirror.query), lambda shown: None)
        with trio.move_on_after(20.0):
            while True:
                shown = await feed.look()
                served.append(not shown.stale)
                await trio.sleep(c.POLL_S)

    began = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(50):
            nursery.start_soon(one)
    took = trio.current_time() - began
    print(
        f"50 consoles for {took:.0f} s: {sum(costs) / took:.4f} of a core, {sum(served)} of {len(served)} looks current"
    )


async def page(mirror: Mirror) -> None:
    content = await report.gather(mirror)
    began = time.process_time()
    text = report.render(content, None)
    print(f"report: {len(content.rows)} jobs, {len(text.encode()) / 1e6:.2f} MB, {time.process_time() - began:.2f} s")


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    trio.run(main, numbers[0] if numbers else 5000, numbers[1] if len(numbers) > 1 else 600)
