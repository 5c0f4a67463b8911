"""When a scheduled pipeline is due, and the transactions on its record. No I/O; the time of day is an argument.

cronsim evaluates the cron expressions in a named time zone of the tz database. A due time in the hour that clocks skip
in spring moves to the end of that hour. A due time in the hour that occurs twice in autumn comes in the first of the
two, unless the expression asks for every hour or for several times in each. The record holds the latest due time that
was handled, so nothing is started twice when a clock is set back.
"""

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from typing import Literal
from zoneinfo import ZoneInfo

import msgspec
from cronsim import CronSim, CronSimError

from pepperlatch.constants import core
from pepperlatch.constants import pipelines as c
from pepperlatch.controller import store
from pepperlatch.pipelines.keys import SCHEDULE, SCHEDULE_PIECE
from pepperlatch.pipelines.runs import Transaction
from pepperlatch.protocol import wire


class Schedule(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """A schedule as a user asks for it. `missed`: whether the latest due time missed in an outage is run or skipped."""

    cron: str
    timezone: str
    missed: Literal["run", "skip"] = "run"


class ScheduleRecord(msgspec.Struct, omit_defaults=True, rename={"handled_until": "after"}):
    """The stored record of a schedule. It only ever gains optional fields, since two versions run during a rollout."""

    cron: str
    timezone: str
    missed: str
    digest: str  # of the plan's content (`plan.digest`)
    pieces: int  # number of pieces below `SCHEDULE_PIECE` that hold the packed plan
    handled_until: float  # s; every due time up to this time of day has been handled
    paused: bool = False


def find_problem(cron: str, timezone: str) -> tuple[str, str] | None:
    """The name of the field that is wrong, and why; None if the schedule is valid and is due at some time."""
    try:
        zone = ZoneInfo(timezone)
    except (KeyError, ValueError, OSError):
        return "timezone", f"{timezone!r} is no zone of the tz database, such as 'Asia/Amman' or 'UTC'"
    try:
        next(CronSim(cron, datetime(2024, 1, 1, tzinfo=zone)))
    except CronSimError as error:
        return "cron", f"{error}; wanted are five fields: minute, hour, day of month, month, day of week"
    except StopIteration:
        return "cron", "is never due"
    return None


def next_due(cron: str, timezone: str, after: float) -> float:
    """The first due time later than `after`; both are seconds since 1970 (UTC)."""
    return next(CronSim(cron, datetime.fromtimestamp(after, ZoneInfo(timezone)))).timestamp()


def _unhandled_due_times(record: ScheduleRecord, now: float) -> Iterator[float]:
    """Due times up to `now` (time of day in seconds) that have not been handled, latest first."""
    begin = datetime.fromtimestamp(int(now), ZoneInfo(record.timezone)) + timedelta(seconds=1)
    for due in CronSim(record.cron, begin, reverse=True):
        if due.timestamp() <= record.handled_until:
            return
        if due.timestamp() <= now:
            yield due.timestamp()


def due_times(record: ScheduleRecord, now: float) -> list[float]:
    """The due times that are to be run now, earliest first; all are times of day in seconds.

    These are the unhandled due times of the last MISSED_AFTER_S. If there are none, it is the latest missed one, unless
    the schedule skips missed ones.
    """
    if record.paused:
        return []
    found: list[float] = []
    for at in _unhandled_due_times(record, now):
        if now - at > c.MISSED_AFTER_S:
            return found[::-1] or ([at] if record.missed == "run" else [])
        found.append(at)
    return found[::-1]


def run_key(at: float) -> str:
    """The key of the run of this due time, in UTC: `2026-12-01T04:00Z`."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%dT%H:%MZ")


# --- records --------------------------------------------------------------------------------------


def put_schedule(
    name: str, version: int, record: ScheduleRecord, packed: str, old_pieces: int, value_kb: float
) -> Transaction:
    """Store a schedule with its packed plan.

    `version`: of the record that it replaces, 0 if there is none; `old_pieces`: number of that one's pieces.
    `value_kb`: the state service's limit of a value in KiB.
    """
    pieces = store.split_text(packed, int(value_kb * 1024) - core.VALUE_OVERHEAD_BYTES)
    record = msgspec.structs.replace(record, pieces=len(pieces))
    writes = [wire.put(SCHEDULE + name, wire.to_plain(record))]
    writes += [wire.put(f"{SCHEDULE_PIECE}{name}/{n}", {"text": text}) for n, text in enumerate(pieces)]
    writes += [wire.delete(f"{SCHEDULE_PIECE}{name}/{n}") for n in range(len(pieces), old_pieces)]
    return Transaction([wire.version_condition(SCHEDULE + name, version)], writes, [])


def update_schedule(name: str, version: int, record: ScheduleRecord) -> Transaction:
    """Replace a schedule's record, not its plan. `version`: of the record that is replaced."""
    return Transaction(
        [wire.version_condition(SCHEDULE + name, version)], [wire.put(SCHEDULE + name, wire.to_plain(record))], []
    )


def remove_schedule(name: str, version: int, record: ScheduleRecord) -> Transaction:
    """Delete a schedule with its plan; runs that it started go on."""
    writes = [wire.delete(SCHEDULE + name)] + [wire.delete(f"{SCHEDULE_PIECE}{name}/{n}") for n in range(record.pieces)]
    return Transaction([wire.version_condition(SCHEDULE + name, version)], writes, [])
