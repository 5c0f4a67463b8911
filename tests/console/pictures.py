"""Draws the pictures in docs/images: `python -m tests.console.pictures DIR`. Not part of the tests.

A troubled day is played in memory; the console is drawn by its own library, the page is written as it is (any browser
makes a picture of it: `chromium --headless --screenshot`).
"""

import asyncio
import sys
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import trio

from pepperlatch.console import report
from pepperlatch.console.feed import Feed, Shown, Wants
from pepperlatch.console.rows import Query
from pepperlatch.console.terminal import ConsoleApp, read_filter
from tests.console.helpers import busy_day, mirror_of, next_leader, part
from tests.fakes import World, run_scenario

ZONE = ZoneInfo("Asia/Amman")


def scene(views: tuple[str, ...]) -> tuple[dict[str, Shown], report.Content]:
    """What a viewer sees of a day on which a leader died and a zone is cut off."""
    found: dict[str, Shown] = {}
    contents: list[report.Content] = []

    async def scenario(world: World) -> None:
        for one in busy_day():
            await world.submit(one)
        await trio.sleep(45.0)
        world.kill(world.leader())
        await next_leader(world)
        await trio.sleep(35.0)
        waiting = "run-000005"
        for view in views:
            mirror = mirror_of(world, Query(state="unfinished"))
            found[view] = await Feed(mirror, Wants(mirror.query, view, waiting), lambda shown: None).look()
        contents.append(await report.gather(mirror_of(world)))

    run_scenario(scenario, parts=(part,), wall_clock=lambda now: 1_796_000_000 + now)
    return found, contents[0]


async def draw(shown: Shown, view: str, size: tuple[int, int], target: Path) -> None:
    app = ConsoleApp(lambda wants: None, ZONE, Wants(read_filter(""), view, "run-000005"))
    async with app.run_test(size=size) as pilot:
        app.show(shown)
        await pilot.pause()
        target.write_text(app.export_screenshot(), "utf-8")


def main(folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    moments, content = scene(("overview", "jobs", "job", "machines"))
    for view, shown in moments.items():
        asyncio.run(draw(shown, view, (120, 30), folder / f"console-{view}.svg"))
    asyncio.run(draw(moments["jobs"], "jobs", (80, 24), folder / "console-narrow.svg"))
    (folder / "report.html").write_text(report.render(content, ZONE), "utf-8")


if __name__ == "__main__":
    where: list[Any] = sys.argv[1:]
    main(Path(where[0] if where else "docs/images"))
