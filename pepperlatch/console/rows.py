"""Rows of the view, and queries that filter, sort and page them. Pure functions: no cluster state, no clock."""

import base64
import binascii
from bisect import bisect_right
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl, urlencode

import msgspec
import orjson

from pepperlatch.constants import console as c
from pepperlatch.policy.reasons import Why
from pepperlatch.protocol.wire import PRIORITY_RANK, JobState, Priority

_OUTER_NAMES = {"job_class": "class"}


class JobRow(msgspec.Struct, omit_defaults=True, rename=_OUTER_NAMES, gc=False):
    """One job as the terminal and the report show it.

    `at` (accepted), `since` (the reason holds), `until` (about when the reason may change) and `due`: time of day, s.
    `tasks`, `done`, `running` and `waiting` count tasks. `why` is the reason's kind, `text` its full text.
    """

    id: str
    team: str
    job_class: str
    kind: str
    priority: str
    state: str
    tasks: int
    why: str
    text: str
    at: float
    since: float
    done: int = 0
    running: int = 0
    waiting: int = 0
    until: float | None = None
    due: float | None = None


class BadQuery(ValueError):
    """A query has an unknown field or a bad value; the text starts with the field's name. Answered with 400."""


_CHOICES: dict[str, tuple[str, ...]] = {
    "priority": tuple(p.value for p in Priority),
    "state": (*(s.value for s in JobState), "unfinished"),
    "why": tuple(w.value for w in Why),
}
FINAL_STATES = frozenset((JobState.DONE.value, JobState.CANCELLED.value))
_QUEUED = JobState.QUEUED.value
_PRIORITY_RANKS = {priority.value: rank for priority, rank in PRIORITY_RANK.items()}
_SORT_KEYS: dict[str, Callable[[JobRow], Any]] = {
    "since": lambda row: row.since,
    "submitted": lambda row: row.at,
    "id": lambda row: row.id,
    "team": lambda row: row.team,
    "class": lambda row: row.job_class,
    "priority": lambda row: _PRIORITY_RANKS[row.priority] * 1e12 + row.since,
    "waiting": lambda row: -row.waiting,
    "due": lambda row: row.due if row.due is not None else 1e18,
}
_TEXT_FIELDS = ("team", "class", "text")
_NUMBER_RANGES = {"page": (1, c.MAX_PAGE_ROWS), "most": (1000, 1_000_000)}


class Query(msgspec.Struct, frozen=True):
    """Which jobs to show, in which order. Empty fields don't filter.

    `page`: rows of a page. `most`: approximate size in bytes of an answer with changes. `after`: cursor that an earlier
    page gave.
    """

    team: str = ""
    job_class: str = ""
    priority: str = ""
    state: str = ""
    why: str = ""
    text: str = ""
    sort: str = "since"
    page: int = c.DEFAULT_PAGE_ROWS
    most: int = c.DEFAULT_CHANGES_BYTES
    after: str = ""

    def matches(self, row: JobRow) -> bool:
        """Whether the row passes all filters."""
        if self.state == "unfinished":
            if row.state in FINAL_STATES:
                return False
            if self._has_no_other_filter():
                return True
        wanted = self.text.lower()
        return (
            self.team in ("", row.team)
            and self.job_class in ("", row.job_class)
            and self.priority in ("", row.priority)
            and self.state in ("", "unfinished", row.state)
            and self.why in ("", row.why)
            and (not wanted or wanted in row.id.lower() or wanted in row.text.lower())
        )

    def _has_no_other_filter(self) -> bool:
        """Whether no field but the state filters."""
        return not (self.team or self.job_class or self.priority or self.why or self.text)

    def sort_key(self, row: JobRow) -> tuple[Any, str]:
        """The row's sort value and its id, which makes the order total."""
        return _SORT_KEYS[self.sort](row), row.id

    def non_default_fields(self) -> dict[str, Any]:
        """The fields that differ from their defaults, by their names in a query string."""
        defaults = Query()
        found = {name: getattr(self, name) for name in self.__struct_fields__}
        return {
            _OUTER_NAMES.get(name, name): value for name, value in found.items() if value != getattr(defaults, name)
        }

    def request_path(self, path: str, **more: Any) -> str:
        """The path with this query as its query string; fields in `more` override the query's."""
        pairs = {**self.non_default_fields(), **more}
        return f"{path}?{urlencode(pairs)}" if pairs else path


def to_builtins(found: Iterable[JobRow]) -> list[Any]:
    """The rows as dictionaries to be encoded as JSON."""
    return [msgspec.to_builtins(row) for row in found]


def is_final(row: JobRow) -> bool:
    """Whether the job is done or cancelled."""
    return row.state in FINAL_STATES


def parse_query(text: str, extra_fields: Iterable[str] = ()) -> tuple[Query, dict[str, str]]:
    """Parse a query string; fields named in `extra_fields` are returned as they are. Raises BadQuery."""
    fields: dict[str, Any] = {}
    rest: dict[str, str] = {}
    for name, value in parse_qsl(text, keep_blank_values=True):
        if name in extra_fields:
            rest[name] = value
        elif name in _CHOICES:
            fields[name] = _parse_choice(name, value, _CHOICES[name])
        elif name == "sort":
            fields[name] = _parse_choice(name, value, tuple(_SORT_KEYS))
        elif name in _NUMBER_RANGES:
            fields[name] = _parse_number(name, value, *_NUMBER_RANGES[name])
        elif name in _TEXT_FIELDS or name == "after":
            fields["job_class" if name == "class" else name] = value
        else:
            raise BadQuery(f"{name}: no such field")
    return Query(**fields), rest


def _parse_choice(name: str, value: str, choices: tuple[str, ...]) -> str:
    if value not in ("", *choices):
        raise BadQuery(f"{name}: must be one of {', '.join(choices)}")
    return value or ("since" if name == "sort" else "")


def _parse_number(name: str, value: str, minimum: int, maximum: int) -> int:
    if not value.isdecimal() or not minimum <= int(value[:12]) <= maximum:
        raise BadQuery(f"{name}: must be a number from {minimum} to {maximum}")
    return int(value)


def select(rows: Iterable[JobRow], query: Query) -> list[JobRow]:
    """All rows that match the query, in its order."""
    return sorted(filter(query.matches, rows), key=query.sort_key)


def page(found: list[JobRow], query: Query) -> tuple[list[JobRow], str]:
    """One page of the selected rows, and the cursor of the next page ("" after the last).

    Raises BadQuery for a cursor that can't be read or belongs to another order.
    """
    start = 0
    if query.after:
        try:
            start = bisect_right(found, _decode_cursor(query.after), key=query.sort_key)
        except TypeError:
            raise BadQuery("after: of a page in another order") from None
    shown = found[start : start + query.page]
    if start + len(shown) >= len(found):
        return shown, ""
    return shown, base64.urlsafe_b64encode(orjson.dumps(query.sort_key(shown[-1]))).decode("ascii")


def _decode_cursor(text: str) -> tuple[Any, str]:
    """The sort key of the last row before the page."""
    try:
        value, job_id = orjson.loads(base64.urlsafe_b64decode(text.encode("ascii")))
    except (ValueError, TypeError, binascii.Error):
        raise BadQuery("after: not what an earlier page named as its next") from None
    if not isinstance(job_id, str) or not isinstance(value, int | float | str):
        raise BadQuery("after: not what an earlier page named as its next")
    return value, job_id


def totals(rows: Iterable[JobRow]) -> dict[str, Any]:
    """Counts of jobs by state, and of waiting jobs and their tasks by reason.

    `since` in the answer: when the longest wait for that reason began, time of day, s.
    """
    states: dict[str, int] = {}
    waits: dict[str, list[Any]] = {}
    for row in rows:
        states[row.state] = states.get(row.state, 0) + 1
        if row.waiting or row.state == _QUEUED:
            wait = waits.setdefault(row.why, [0, 0, row.since])
            wait[0] += 1
            wait[1] += row.waiting
            wait[2] = min(wait[2], row.since)
    return {
        "states": states,
        "waits": [
            {"why": why, "jobs": jobs, "tasks": tasks, "since": since}
            for why, (jobs, tasks, since) in sorted(waits.items(), key=lambda item: -item[1][0])
        ],
    }  # fmt: skip
