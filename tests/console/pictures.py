"""Draws the pictures in docs/images: `python -m tests.console.pictures DIR`. Not part of the tests.

Simulates a cluster whose leader dies, in memory. The console's library draws the console; the report is written as HTML
(any browser makes a picture of it: `chromium --headless --screenshot`).
"""

import asyncio
import sys
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import trio

from pepperlatch.console import report
from pepperlatch.console.poller import Poller, Selection, ViewState
from pepperlatch.console.rows import Query
from pepperlatch.console.terminal import ConsoleApp, parse_filter
from tests.console.helpers import console_extension, mixed_workload, view_copy_of, wait_for_leader
from tests.fakes import World, run_scenario

ZONE = ZoneInfo("Asia/Amman")


def simulate(views: tuple[str, ...]) -> tuple[dict[str, ViewState], report.Content]:
    """What a viewer sees in each view after a leader has died, and the report's content."""
    found: dict[str, ViewState] = {}
    contents: list[report.Content] = []

    async def scenario(world: World) -> None:
        for one in mixed_workload():
            await world.submit(one)
        await trio.sleep(45.0)
        world.kill(world.leader())
        await wait_for_leader(world)
        await trio.sleep(35.0)
        waiting_job = "run-000005"
        for view in views:
            view_copy = view_copy_of(world, Query(state="unfinished"))
            found[view] = await Poller(
                view_copy, Selection(view_copy.query, view, waiting_job), lambda view_state: None
            ).poll_once()
        contents.append(await report.gather(view_copy_of(world)))

    run_scenario(scenario, extensions=(console_extension,), wall_clock=lambda now: 1_796_000_000 + now)
    return found, contents[0]


async def draw(view_state: ViewState, view: str, size: tuple[int, int], target: Path) -> None:
    app = ConsoleApp(lambda selection: None, ZONE, Selection(parse_filter(""), view, "run-000005"))
    async with app.run_test(size=size) as pilot:
        app.show(view_state)
        await pilot.pause()
        target.write_text(app.export_screenshot(), "utf-8")


def main(folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    view_states, content = simulate(("overview", "jobs", "job", "machines"))
    for view, view_state in view_states.items():
        asyncio.run(draw(view_state, view, (120, 30), folder / f"console-{view}.svg"))
    asyncio.run(draw(view_states["jobs"], "jobs", (80, 24), folder / "console-narrow.svg"))
    (folder / "report.html").write_text(report.render(content, ZONE), "utf-8")


if __name__ == "__main__":
    arguments: list[Any] = sys.argv[1:]
    main(Path(arguments[0] if arguments else "docs/images"))
