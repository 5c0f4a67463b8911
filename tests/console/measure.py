"""Measures the view; not part of the tests: `python -m tests.console.measure [JOBS [MACHINES]]`.

Runs one controller under the real clock with the in-memory state service, its operators' listener on loopback, JOBS
jobs of three tasks, and as many machines as the cloud has. Prints the bytes a second of one console, how often it and
50 consoles are stale, the leader's processor time in each phase and for each answer, its memory, and the time to
render the report.
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
from pepperlatch.console.extension import Console
from pepperlatch.console.poller import Poller, Selection
from pepperlatch.console.rows import Query
from pepperlatch.console.view_copy import NoNodeAnswered, ViewCopy
from pepperlatch.constants import console as c
from pepperlatch.controller import store
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Server

HOST, PORT = "127.0.0.1", 18981
SETTLE_S, MEASURE_S, CONSOLES = 40.0, 30.0, 50
created: list[Console] = []


def console_extension(core: Any) -> Console:
    created.append(Console(core, features.Console(on=True)))
    return created[-1]


def settings_with_high_quotas(index: int, *rest: Any) -> Any:
    settings = original_settings_of(index, *rest)
    for team in settings.params.teams:
        team.cpus_max = 1e6
    return settings


fakes.REPORT_S = 8.0  # s; 600 workers share this process and together report as often as 150 would
original_settings_of, fakes.settings_of = fakes.settings_of, settings_with_high_quotas


def viewer(tries: int = 3) -> tuple[HttpNetwork, ViewCopy]:
    """A view copy that repeats its requests after Retry-After, as the command line does.

    `tries`: 30 for phases that wait up to a minute.
    """
    network = HttpNetwork(8, gzip=True)

    async def ask(method: str, path: str) -> tuple[int, Any]:
        for _ in range(tries):
            try:
                status, after, answer = await network.request_with_retry_after(
                    f"{HOST}:{PORT}", method, path, None, 5.0
                )
            except (NotSent, NoUsableResponse) as error:
                raise NoNodeAnswered(str(error)) from None
            if status != 503:
                return status, answer
            await trio.sleep(float(after))
        raise NoNodeAnswered("busy")

    return network, ViewCopy(ask, Query(state="unfinished", page=c.MAX_PAGE_ROWS, most=c.MAX_CONSOLE_ANSWER_BYTES))


def resident_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def job_with_realistic_id(number: int) -> dict[str, Any]:
    """A job with a random-looking id, as users choose them: similar ids would compress too well."""
    digits = hashlib.blake2b(str(number).encode(), digest_size=6).hexdigest()
    urgency = ("urgent", "standard")[number % 2]
    return fakes.job(number, name_id=f"run-{digits}", pieces=3, expected_s=30.0 + number % 60, urgency=urgency)


async def main(jobs: int, machines: int) -> None:
    async with trio.open_nursery() as nursery:
        world = fakes.World(nursery, 1, extensions=(console_extension,))
        world.cloud.capacity.update({zone: machines // 3 for zone in fakes.ZONES})
        for number in range(jobs):
            body = job_with_realistic_id(number)
            world.jobs[body["name_id"]] = body
            world.observer.done_tasks[body["name_id"]] = set()
            spec = wire.convert(body, wire.JobSpec)
            world.state.change(store.creation_changes(spec, [], world.wall_clock(trio.current_time())))
        nursery.start_soon(world.state.run)
        world.start(0)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 60)
        await nursery.start(Server(world.nodes[0].handle_peer, 100).serve, HOST, PORT)
        await trio.sleep(SETTLE_S)
        up = sum(worker.up for worker in world.workers)
        print(
            f"{jobs} jobs of 3 tasks, {up} machines up, "
            f"history {created[0]._leader_and_recorder[1].history.size() / 1e6:.2f} MB"
        )
        costs = record_answer_costs(created[0])
        for phase in PHASES:
            costs.clear()
            began, before_mb = trio.current_time(), resident_mb()
            await trio.run_process([sys.executable, "-m", "tests.console.measure", phase])
            took = trio.current_time() - began
            print(f"    the leader: {sum(costs):.3f} s, {sum(costs) / took:.4f} of a core,", end=" ")
            print(f"{statistics.median(costs) * 1000:.1f} ms an answer in the median,", end=" ")
            print(f"{max(costs) * 1000:.1f} ms at the most; {resident_mb() - before_mb:+.1f} MB", flush=True)
        nursery.cancel_scope.cancel()


def record_answer_costs(console: Console) -> list[float]:
    """The list to which each call that answers a request from the model or the cache adds its processor time, in s."""
    view_service, costs = console._get_view_service(), []
    original = view_service._answer_from_model

    def measured(*arguments: Any) -> Any:
        began = time.process_time()
        try:
            return original(*arguments)
        finally:
            costs.append(time.process_time() - began)

    view_service._answer_from_model = measured  # type: ignore[method-assign]
    return costs


# --- viewers, each phase in a process of its own ----------------------------------------------------


async def first_snapshot() -> None:
    network, view_copy = viewer(30)
    at = trio.current_time()
    await view_copy.load_complete()
    print(
        f"snapshot: {len(view_copy.rows)} jobs, {network.received_bytes / 1000:.0f} KB sent,"
        f" {trio.current_time() - at:.1f} s"
    )


async def one_console() -> None:
    network, view_copy = viewer()
    await view_copy.load_snapshot()
    received = network.received_bytes
    poller = Poller(view_copy, Selection(view_copy.query), lambda view_state: None)
    behind, stale, polls = await poll_for(poller, MEASURE_S)
    print(f"one console for {MEASURE_S:.0f} s: {(network.received_bytes - received) / MEASURE_S:.0f} bytes/s,", end=" ")
    print(f"behind in {behind} and stale in {stale} of {polls} polls")


async def many_consoles() -> None:
    found: list[tuple[int, int, int]] = []

    async def one(after: float) -> None:
        await trio.sleep(after)
        view_copy = viewer()[1]
        found.append(await poll_for(Poller(view_copy, Selection(view_copy.query), lambda view_state: None), MEASURE_S))

    async with trio.open_nursery() as nursery:
        for number in range(CONSOLES):
            nursery.start_soon(one, number / 10)
    _, stale, polls = (sum(numbers) for numbers in zip(*found, strict=True))
    print(f"{CONSOLES} consoles for {MEASURE_S:.0f} s: stale in {stale} of {polls} polls")


async def poll_for(poller: Poller, seconds: float) -> tuple[int, int, int]:
    """Poll for so many seconds; how many polls were behind, how many stale, and how many there were."""
    behind = stale = polls = 0
    with trio.move_on_after(seconds):
        while True:
            view_state = await poller.poll_once()
            polls, behind, stale = polls + 1, behind + view_state.behind, stale + bool(view_state.stale)
            await trio.sleep(c.CONSOLE_POLL_INTERVAL_S)
    return behind, stale, polls


async def report_page() -> None:
    content = await report.gather(viewer(30)[1])
    began = time.process_time()
    text = report.render(content, None)
    print(f"report: {len(content.rows)} jobs, {len(text.encode()) / 1e6:.2f} MB, {time.process_time() - began:.2f} s")


PHASES = {"snapshot": first_snapshot, "console": one_console, "consoles": many_consoles, "report": report_page}

if __name__ == "__main__":
    if len(sys.argv) == 2 and sys.argv[1] in PHASES:
        trio.run(PHASES[sys.argv[1]])
    else:
        numbers = [int(word) for word in sys.argv[1:]]
        trio.run(main, numbers[0] if numbers else 5000, numbers[1] if len(numbers) > 1 else 600)
