"""When a scheduled pipeline is due, and what is recorded of it. Pure: the time of day is an argument.

Cron expressions by cronsim, in a named time zone of the tz database: a due time in the hour that clocks skip comes at
the end of that hour; one in the hour that comes twice comes in the first, unless the expression asks for every hour
or several of each. What has been dealt with is recorded as a due time, so a clock that is set back fires nothing twice.
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
from pepperlatch.pipelines.keys import CRON, SCHEDULED
from pepperlatch.pipelines.runs import Change
from pepperlatch.protocol import wire


class Schedule(msgspec.Struct, omit_defaults=True, forbid_unknown_fields=True):
    """As it is asked for. `missed`: what becomes of due times that nobody was there for."""

    cron: str
    timezone: str
    missed: Literal["run", "skip"] = "run"


class ScheduleRecord(msgspec.Struct, omit_defaults=True):
    """Grows by optional fields only."""

    cron: str
    timezone: str
    missed: str
    digest: str  # of the plan
    pieces: int  # below `SCHEDULED`, that hold it
    after: float  # s; every due time up to this time of day has been dealt with
    paused: bool = False


def problem(cron: str, timezone: str) -> tuple[str, str] | None:
    """The field that is wrong, and why; None if there is a next due time."""
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


def _back(record: ScheduleRecord, now: float) -> Iterator[float]:
    """Due times up to `now` that have not been dealt with, latest first."""
    begin = datetime.fromtimestamp(int(now), ZoneInfo(record.timezone)) + timedelta(seconds=1)
    for due in CronSim(record.cron, begin, reverse=True):
        if due.timestamp() <= record.after:
            return
        if due.timestamp() <= now:
            yield due.timestamp()


def due(record: ScheduleRecord, now: float) -> list[float]:
    """What is to be run now, in order: due times just past, or else the latest that was missed, if it is to be run."""
    if record.paused:
        return []
    found: list[float] = []
    for at in _back(record, now):
        if now - at > c.MISSED_AFTER_S:
            return found[::-1] or ([at] if record.missed == "run" else [])
        found.append(at)
    return found[::-1]


def stamp(at: float) -> str:
    """The key of the run of this due time, in UTC: `2026-12-01T04:00Z`."""
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%dT%H:%MZ")


# --- records --------------------------------------------------------------------------------------


def kept(name: str, version: int, record: ScheduleRecord, packed: str, held: int, value_kb: float) -> Change:
    """Write a schedule down with its plan; `held`: pieces of the one that it replaces."""
    pieces = store.split_text(packed, int(value_kb * 1024) - core.VALUE_OVERHEAD_BYTES)
    record = msgspec.structs.replace(record, pieces=len(pieces))
    writes = [wire.put(CRON + name, wire.to_plain(record))]
    writes += [wire.put(f"{SCHEDULED}{name}/{n}", {"text": text}) for n, text in enumerate(pieces)]
    writes += [wire.delete(f"{SCHEDULED}{name}/{n}") for n in range(len(pieces), held)]
    return Change([wire.version_condition(CRON + name, version)], writes, [])


def moved(name: str, version: int, record: ScheduleRecord) -> Change:
    return Change([wire.version_condition(CRON + name, version)], [wire.put(CRON + name, wire.to_plain(record))], [])


def removed(name: str, version: int, record: ScheduleRecord) -> Change:
    writes = [wire.delete(CRON + name)] + [wire.delete(f"{SCHEDULED}{name}/{n}") for n in range(record.pieces)]
    return Change([wire.version_condition(CRON + name, version)], writes, [])
