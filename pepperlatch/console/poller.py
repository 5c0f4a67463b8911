"""Keeps a viewer's copy current and hands on what is to be shown. Runs under trio; the terminal may live elsewhere."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.console.formatting import first_wanted
from pepperlatch.console.rows import JobRow, Query
from pepperlatch.console.view_copy import Mirror, Refused, Silent
from pepperlatch.constants import console as c


@dataclass(frozen=True, slots=True)
class Wants:
    """What the viewer looks at. `view`: overview, jobs, job, machines, teams or events."""

    query: Query
    view: str = "overview"
    job: str = ""


@dataclass(frozen=True, slots=True)
class Shown:
    """One moment of the copy; nothing in it changes afterwards. `now`: time of day at the service, s."""

    now: float
    head: dict[str, Any]
    rows: list[JobRow]
    overview: dict[str, Any]
    stale: str
    behind: bool
    detail: dict[str, Any] = field(default_factory=dict)
    listed: list[dict[str, Any]] = field(default_factory=list)  # machines or events, as wanted


class Feed:
    """`show` is called after each try, with what is known then."""

    def __init__(self, mirror: Mirror, wants: Wants, show: Callable[[Shown], None]) -> None:
        self._mirror = mirror
        self._wants = wants
        self._show = show
        self._wake = trio.Event()
        self._looked_at = float("-inf")

    def want(self, wants: Wants) -> None:
        """Look at something else, at once. In the feed's own thread."""
        self._wants = wants
        self._looked_at = float("-inf")
        self._wake.set()

    async def run(self) -> None:
        """For as long as somebody looks; cancelled anywhere, it leaves nothing behind."""
        while True:
            self._wake = trio.Event()
            self._show(await self.look())
            with trio.move_on_after(c.POLL_S):
                await self._wake.wait()

    async def look(self) -> Shown:
        """One try. What cannot be had stays as it was, and is said to be stale."""
        mirror, wants = self._mirror, self._wants
        mirror.ask_for(wants.query)
        detail: dict[str, Any] = {}
        listed: list[dict[str, Any]] = []
        try:
            await mirror.step()
            if trio.current_time() - self._looked_at >= c.OVERVIEW_S:
                await mirror.look_over()
                self._looked_at = trio.current_time()
            if wants.view == "job" and wants.job:
                detail = await mirror.job(wants.job)
            elif wants.view in ("machines", "events"):
                listed = await mirror.part(wants.view)
        except (Silent, Refused) as error:
            mirror.why_stale = mirror.why_stale or str(error)
        rows = sorted(mirror.rows.values(), key=first_wanted)
        at, ago = mirror.head.get("at") or 0.0, trio.current_time() - mirror.answered_at
        now = at + ago if mirror.head else 0.0
        return Shown(
            now, dict(mirror.head), rows, dict(mirror.overview), mirror.stale(), mirror.behind, detail, listed
        )  # fmt: skip
