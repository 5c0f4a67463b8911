"""Helpers shared by the tests and measurements of the console."""

from typing import Any

import trio

from pepperlatch import features
from pepperlatch.console.extension import Console
from pepperlatch.console.rows import Query
from pepperlatch.console.view_copy import NoNodeAnswered, ViewCopy
from pepperlatch.constants import console as c
from pepperlatch.controller.extensions import ExtensionContext
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import Answer, World, job


def console_extension(core: ExtensionContext) -> Console:
    """The extension with a constant processor time, so that tests on the virtual clock don't depend on real time."""
    return Console(core, features.Console(on=True, metrics=True), lambda: 0.0)


async def get_console(world: World, index: int, path: str) -> Answer:
    """Send one request to the operators' listener of the node with this index."""
    return await world.send("admin", f"10.0.0.{index}:2", "GET", f"/console/{path}", None, 5.0)


def view_copy_of(world: World, query: Query | None = None) -> ViewCopy:
    """A view copy that tries one node after another, as the command line does."""
    turn = 0

    async def ask(method: str, path: str) -> Answer:
        nonlocal turn
        for _ in range(world.count):
            index = sorted(world.nodes)[turn % len(world.nodes)]
            try:
                status, answer = await world.send("admin", f"10.0.0.{index}:2", method, path, None, 2.0)
                if status not in (429, 503, 504):
                    return status, answer
            except (NotSent, NoUsableResponse):
                pass
            turn += 1
        raise NoNodeAnswered("no node answers")

    return ViewCopy(ask, query or Query(state="unfinished", page=c.MAX_PAGE_ROWS, most=c.MAX_CONSOLE_ANSWER_BYTES))


def mixed_workload() -> list[dict[str, Any]]:
    """Jobs of every kind, more than the machines and the teams' limits allow to run at once."""
    found = [job(number, pieces=6, expected_s=40.0) for number in range(8)]
    found.append(job(20, crew="blue", shape="daemon", pieces=3))
    found.append(job(21, crew="blue", pieces=9, expected_s=60.0))
    found.append(job(22, shape="group", pieces=3, yard="a", bundle="other"))
    found.append(job(23, prereqs=["run-000021"]))
    return found


async def wait_for_leader(world: World) -> None:
    """Wait up to 30 s until a node leads and is ready."""
    await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 30)
    await trio.sleep(0.1)
