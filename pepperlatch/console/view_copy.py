"""A client-side copy of the view: a snapshot, kept current by the changes since.

It survives a change of leader and knows how old it is. Both the terminal console and the report read a `ViewCopy`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from pepperlatch.console.rows import JobRow, Query
from pepperlatch.console.service import BASE_PATH
from pepperlatch.constants import console as c

AskFunction = Callable[[str, str], Awaitable[tuple[int, Any]]]


class NoNodeAnswered(Exception):
    """No node answered in time; the text is the last error."""


class ViewRefused(Exception):
    """The service answered with an error, or with rows that this version can't read; the text says why."""


_HEAD_FIELDS = ("node", "version", "leader", "token", "revision", "at", "age_s")


@dataclass(slots=True)
class ViewCopy:
    """The rows of the jobs that `query` selects, and the overview.

    `ask(method, path)` tries one node after another and returns status and body; it raises NoNodeAnswered. A call that
    fails or is cancelled leaves the copy as it was.
    """

    ask: AskFunction
    query: Query = field(
        default_factory=lambda: Query(state="unfinished", page=c.MAX_PAGE_ROWS, most=c.MAX_CONSOLE_ANSWER_BYTES)
    )
    head: dict[str, Any] = field(default_factory=dict)
    rows: dict[str, JobRow] = field(default_factory=dict)
    overview: dict[str, Any] = field(default_factory=dict)
    behind: bool = False  # more has changed than fits into one answer
    why_stale: str = ""  # no node answers, or only a follower from its records
    answered_at: float = float("-inf")  # steady clock, s
    _since_revision: int = -1  # -1: a snapshot is needed

    async def load_complete(self, max_jobs: int = 1_000_000) -> None:
        """Wait until the leader has built all rows, which it does in batches, then take a snapshot.

        Raises the same errors as `load_snapshot`.
        """
        while True:
            first = await self._get(self.query.request_path(f"{BASE_PATH}/jobs", page=1))
            if not first.get("pending"):
                await self.load_snapshot(max_jobs)
                if self.head["token"] == first["token"]:  # otherwise a new leader has to build its rows
                    return
            await trio.sleep(c.CONSOLE_POLL_INTERVAL_S / 2)

    async def load_snapshot(self, max_jobs: int = 1_000_000) -> None:
        """Take a snapshot of up to about `max_jobs` jobs. Rows that the leader has not built yet come as changes later.

        Raises NoNodeAnswered, also if the leader changes during MAX_SNAPSHOT_TRIES snapshots, or ViewRefused.
        """
        for _ in range(c.MAX_SNAPSHOT_TRIES):
            pages = await self._load_pages(max_jobs)
            if pages is not None:
                first, self.rows = pages
                self._record_answer(first)
                self._since_revision = first["revision"] if first["source"] == "leader" else -1
                return
        raise NoNodeAnswered("the leader changes again and again while its jobs are read")

    async def _load_pages(self, max_jobs: int) -> tuple[dict[str, Any], dict[str, JobRow]] | None:
        """The first page's answer and all rows; None if another leader, or a follower's records, answered in between.

        Pages from different sources must not be combined: a page from records, followed by one from a new leader that
        has built few rows yet, was taken for the complete list.
        """
        found: dict[str, JobRow] = {}
        first: dict[str, Any] = {}
        after = ""
        while True:
            page = await self._get(self.query.request_path(f"{BASE_PATH}/jobs", **({"after": after} if after else {})))
            first = first or page
            if (page["token"], page["source"]) != (first["token"], first["source"]):
                return None
            found.update((row.id, row) for row in _parse_rows(page["jobs"]))
            after = page["next"]
            if not after or len(found) >= max_jobs:
                return first, found

    async def apply_changes(self) -> None:
        """Apply the changes since the last call; take a new snapshot if the service no longer knows them (410).

        After STALE_AFTER_S without an answer, the next call takes a snapshot. Raises NoNodeAnswered or ViewRefused.
        """
        if self._since_revision < 0:
            await self.load_snapshot()
            return
        path = self.query.request_path(f"{BASE_PATH}/changes", token=self.head["token"], since=self._since_revision)
        try:
            status, answer = await self.ask("GET", path)
        except NoNodeAnswered:
            if trio.current_time() - self.answered_at > c.STALE_AFTER_S:  # records may be the only source left
                self._since_revision = -1
            raise
        if status == 410:
            await self.load_snapshot()
            return
        if status != 200:
            raise ViewRefused(_error_text(status, answer))
        for row in _parse_rows(answer["jobs"]):
            self.rows[row.id] = row
        for job_id in answer["gone"]:
            self.rows.pop(job_id, None)
        self._since_revision, self.behind = answer["upto"], answer["more"]
        self._record_answer(answer)

    def set_query(self, query: Query) -> None:
        """Select other jobs; a different query makes the next `apply_changes` take a snapshot."""
        if query != self.query:
            self.query, self._since_revision = query, -1

    async def load_overview(self) -> None:
        """Fetch everything but the jobs. Raises NoNodeAnswered or ViewRefused."""
        self.overview = await self._get(f"{BASE_PATH}/overview")

    async def fetch_job(self, job_id: str) -> dict[str, Any]:
        """One job with its time line. Raises NoNodeAnswered or ViewRefused."""
        return await self._get(f"{BASE_PATH}/jobs/{job_id}")

    async def fetch_list(self, name: str) -> list[dict[str, Any]]:
        """The list `machines` or `events`. Raises NoNodeAnswered or ViewRefused."""
        found: list[dict[str, Any]] = (await self._get(f"{BASE_PATH}/{name}"))[name]
        return found

    def stale_reason(self) -> str:
        """Why the copy may be out of date; empty if it is current."""
        if self.why_stale:
            return self.why_stale
        if trio.current_time() - self.answered_at > c.STALE_AFTER_S:
            return "no answer"
        return ""

    def _record_answer(self, answer: dict[str, Any]) -> None:
        self.head = {name: answer.get(name) for name in _HEAD_FIELDS}
        self.answered_at = trio.current_time()
        records = f"from the records at {answer['node']}: {answer.get('why')}"
        self.why_stale = "" if answer["source"] == "leader" else records

    async def _get(self, path: str) -> dict[str, Any]:
        status, answer = await self.ask("GET", path)
        if status != 200:
            raise ViewRefused(_error_text(status, answer))
        found: dict[str, Any] = answer
        return found


def _error_text(status: int, answer: Any) -> str:
    return str(answer.get("error", status)) if isinstance(answer, dict) else str(status)


def _parse_rows(found: list[Any]) -> list[JobRow]:
    """Raises ViewRefused if a later version of the service sends rows that this version can't read."""
    try:
        return msgspec.convert(found, list[JobRow])
    except msgspec.ValidationError as error:
        raise ViewRefused(f"the service shows jobs in a way that is not known here: {error}") from None
