"""Polls the service to keep a viewer's copy current. Runs under trio; the terminal may run in another thread."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.console.formatting import urgency_key
from pepperlatch.console.rows import JobRow, Query
from pepperlatch.console.view_copy import NoNodeAnswered, ViewCopy, ViewRefused
from pepperlatch.constants import console as c


@dataclass(frozen=True, slots=True)
class Selection:
    """What the viewer has selected. `view`: overview, jobs, job, machines, teams or events. `job`: id for view job."""

    query: Query
    view: str = "overview"
    job: str = ""


@dataclass(frozen=True, slots=True)
class ViewState:
    """What to display after one poll; not changed afterwards.

    `now`: time of day at the service, s. `head`: general fields of the last answer. `stale`: why the data may be old,
    or empty. `behind`: more changes follow with later polls. `detail`: the selected job, in view job.
    """

    now: float
    head: dict[str, Any]
    rows: list[JobRow]
    overview: dict[str, Any]
    stale: str
    behind: bool
    detail: dict[str, Any] = field(default_factory=dict)
    listing: list[dict[str, Any]] = field(default_factory=list)  # machines or events, in these views


class Poller:
    """Polls every CONSOLE_POLL_INTERVAL_S, and calls `on_update` after each poll, even if it failed."""

    def __init__(self, view_copy: ViewCopy, selection: Selection, on_update: Callable[[ViewState], None]) -> None:
        self._view_copy = view_copy
        self._selection = selection
        self._on_update = on_update
        self._wake = trio.Event()
        self._overview_at = float("-inf")

    def select(self, selection: Selection) -> None:
        """Change the selection and poll at once. Must be called in the poller's own thread."""
        self._selection = selection
        self._overview_at = float("-inf")
        self._wake.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            self._wake = trio.Event()
            self._on_update(await self.poll_once())
            with trio.move_on_after(c.CONSOLE_POLL_INTERVAL_S):
                await self._wake.wait()

    async def poll_once(self) -> ViewState:
        """Poll once. If a request fails, the old data is kept and marked stale; no exception is raised."""
        view_copy, selection = self._view_copy, self._selection
        view_copy.set_query(selection.query)
        detail: dict[str, Any] = {}
        listing: list[dict[str, Any]] = []
        try:
            await view_copy.apply_changes()
            if trio.current_time() - self._overview_at >= c.OVERVIEW_INTERVAL_S:
                await view_copy.load_overview()
                self._overview_at = trio.current_time()
            if selection.view == "job" and selection.job:
                detail = await view_copy.fetch_job(selection.job)
            elif selection.view in ("machines", "events"):
                listing = await view_copy.fetch_list(selection.view)
        except (NoNodeAnswered, ViewRefused) as error:
            view_copy.why_stale = view_copy.why_stale or str(error)
        rows = sorted(view_copy.rows.values(), key=urgency_key)
        at, since_answer_s = view_copy.head.get("at") or 0.0, trio.current_time() - view_copy.answered_at
        now = at + since_answer_s if view_copy.head else 0.0
        return ViewState(
            now, dict(view_copy.head), rows, dict(view_copy.overview), view_copy.stale_reason(), view_copy.behind,
            detail, listing,
        )  # fmt: skip
