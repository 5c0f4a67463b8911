"""Turns rows and answers into texts and table cells, for the terminal and the report alike. Pure functions.

Parameters named `now` and `at` are times of day in s; `zone` is the reader's time zone, None for the machine's own.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, tzinfo
from typing import Any

from pepperlatch.console.rows import JobRow
from pepperlatch.policy.reasons import changes_when
from pepperlatch.protocol.wire import PRIORITY_RANK, Priority

JOB_COLUMNS = (
    "job", "priority", "waiting", "for", "reason", "state", "team", "class", "running", "done", "why"
)  # fmt: skip
NARROW_COLUMNS = JOB_COLUMNS[:5]
MACHINE_COLUMNS = ("machine", "type", "zone", "kind", "state", "why", "tasks", "used", "silent")
TEAM_COLUMNS = ("team", "CPUs used", "guaranteed", "limit", "GPUs used", "guaranteed", "limit", "not seen yet")
EVENT_COLUMNS = ("at", "what", "machine", "text")
TIMELINE_COLUMNS = ("at", "for", "what", "text", "machine")
WAIT_COLUMNS = ("why", "jobs", "tasks", "longest", "it ends when")
RECOVERY_COLUMNS = ("lost through", "tasks", "run again", "still waiting", "median", "longest")
MONEY_COLUMNS = ("what", "spent", "share")

# Units of durations with their lengths in s, each followed by the unit in which the rest is shown.
_UNITS = (("d", 86400, "h", 3600), ("h", 3600, "min", 60), ("min", 60, "s", 1))
_PRIORITY_RANKS = {priority.value: rank for priority, rank in PRIORITY_RANK.items()}


def duration_text(seconds: float | None) -> str:
    """A duration such as `8 s`, `2 min 5 s`, `3 h 20 min` or `2 d 4 h`; empty for None."""
    if seconds is None:
        return ""
    whole = max(0, round(seconds))
    for unit, size, lower_unit, lower_size in _UNITS:
        if whole >= size:
            rest = whole % size // lower_size
            return f"{whole // size} {unit} {rest} {lower_unit}" if rest else f"{whole // size} {unit}"
    return f"{whole} s"


def time_text(at: float | None, zone: tzinfo | None) -> str:
    """Hours, minutes and seconds in the reader's zone; empty for None."""
    if at is None:
        return ""
    return datetime.fromtimestamp(at, UTC).astimezone(zone).strftime("%H:%M:%S")


def zone_name(zone: tzinfo | None, at: float) -> str:
    """The zone's name in the tz database and its abbreviation at that time."""
    short = datetime.fromtimestamp(at, UTC).astimezone(zone).strftime("%Z")
    key = getattr(zone, "key", "")
    return f"{key} ({short})" if key and key != short else short


def date_time_text(at: float, zone: tzinfo | None) -> str:
    """Date, time and zone name, for titles."""
    return f"{datetime.fromtimestamp(at, UTC).astimezone(zone):%Y-%m-%d %H:%M:%S} {zone_name(zone, at)}"


def urgency_key(row: JobRow) -> tuple[Any, ...]:
    """Sort key: waiting jobs before running ones, then by priority, then the longest wait first."""
    return (
        row.waiting == 0 and row.state != "queued",
        _PRIORITY_RANKS.get(row.priority, len(Priority)),
        row.since,
        row.id,
    )


def reason_text(row: JobRow, now: float) -> str:
    """The reason's text, with the time left until it may change."""
    if row.until is None or row.until <= now:
        return row.text
    return f"{row.text} (about {duration_text(row.until - now)} more)"


def job_cells(row: JobRow, now: float) -> list[str]:
    return [
        row.id, row.priority, str(row.waiting), duration_text(now - row.since), reason_text(row, now), row.state,
        row.team, row.job_class, str(row.running), str(row.done), row.why,
    ]  # fmt: skip


@dataclass(slots=True)
class ReasonGroup:
    """Jobs with the same kind of reason, most urgent first."""

    why: str
    rows: list[JobRow]

    @property
    def tasks(self) -> int:
        return sum(row.waiting for row in self.rows)

    @property
    def changes_when(self) -> str:
        return changes_when(self.why)


def group_by_reason(found: Iterable[JobRow]) -> list[ReasonGroup]:
    """Group jobs by the kind of their reason: the group with the most urgent waiting job first, running jobs last."""
    by_why: dict[str, list[JobRow]] = defaultdict(list)
    for row in sorted(found, key=urgency_key):
        by_why[row.why].append(row)
    return sorted(
        (ReasonGroup(why, rows) for why, rows in by_why.items()), key=lambda group: urgency_key(group.rows[0])
    )


def wait_cells(waits: Sequence[dict[str, Any]], now: float) -> list[list[str]]:
    return [
        [
            wait["why"],
            str(wait["jobs"]),
            str(wait["tasks"]),
            duration_text(now - wait["since"]),
            changes_when(wait["why"]),
        ]
        for wait in waits
    ]


def team_cells(teams: Iterable[dict[str, Any]]) -> list[list[str]]:
    return [
        [
            team["name"], *(f"{team[name]:g}" for name in (
                "cpus", "cpus_guaranteed", "cpus_limit", "gpus", "gpus_guaranteed", "gpus_limit"
            )), f"{team['cpus_unseen']:g}" if team["cpus_unseen"] else "",
        ]
        for team in teams
    ]  # fmt: skip


def machine_cells(machines: Iterable[dict[str, Any]]) -> list[list[str]]:
    """One row a machine, with those that need attention first."""
    normal_states = ("busy", "idle", "booting", "joining")
    return [
        [
            m["name"], m["type"], m["zone"], "spot" if m["spot"] else "", m["state"], m["why"], str(m["tasks"]),
            f"{m['used_share']:.0%}", duration_text(m["silent_s"]),
        ]
        for m in sorted(machines, key=lambda m: (m["state"] in normal_states, m["state"], m["name"]))
    ]  # fmt: skip


def event_cells(events: Iterable[dict[str, Any]], zone: tzinfo | None) -> list[list[str]]:
    return [[time_text(e["at"], zone), e["what"], e.get("machine", ""), e["text"]] for e in events]


def timeline_cells(line: Sequence[dict[str, Any]], zone: tzinfo | None, now: float) -> list[list[str]]:
    """The cells of a time line, one row an event. A reason lasts until the next reason, a gap, or the job's end."""
    cells = []
    for n, event in enumerate(line):
        ends = next((e["at"] for e in line[n + 1 :] if e["what"] in ("reason", "over", "gap")), now)
        lasted = duration_text(ends - event["at"]) if event["what"] in ("reason", "waits") else ""
        count = event.get("count", 1)
        what = _EVENT_LABELS.get(event["what"], event["what"])
        what = f"{count} x {what}" if count > 1 and event["what"] in ("started", "ended") else what
        text = f"{count} records" if event["what"] == "squeezed" else event.get("text", "")
        cells.append([time_text(event["at"], zone), lasted, what, text, event.get("subject", "")])
    return cells


_EVENT_LABELS = {"waits": "waits for others", "reason": "waits or runs", "squeezed": "left out"}


def queue_position_text(order: dict[str, Any] | None) -> str:
    """A job's position among the jobs without a placement, and the jobs before it; empty for None."""
    if order is None:
        return ""
    if not order["before"]:
        return f"next of {order['of']} jobs without a place"
    teams = ", ".join(f"{count} of {team}" for team, count in sorted(order["before_by_team"].items()))
    first = ", ".join(f"{job['id']} ({job['priority']}, {job['team']})" for job in order["before"])
    inside = "; within its team's guarantee" if order["within_guarantee"] else ""
    return f"{order['place']} of {order['of']} without a place{inside}; before it: {teams}; first {first}"


def recovery_cells(recoveries: Iterable[dict[str, Any]]) -> list[list[str]]:
    return [
        [
            r["cause"], str(r["lost"]), str(r["run_again"]), str(r["waiting"]), duration_text(r["median_s"]),
            duration_text(r["longest_s"]),
        ]
        for r in recoveries
    ]  # fmt: skip


def money_cells(money: dict[str, Any]) -> list[list[str]]:
    """Costs by machine type, by team and class, and of unused capacity."""
    total = money["spent"] or 1.0
    parts = [(f"{m['type']}, {m['kind']}", m["spent"]) for m in money["by_machine"]]
    parts += [(f"{u['team']}: {u['class']}", u["spent"]) for u in money["by_use"]]
    parts += list(money["unused"].items())
    return [[name, f"{spent:.2f}", f"{spent / total:.0%}"] for name, spent in parts]


def machine_counts(totals: Iterable[dict[str, Any]]) -> dict[str, int]:
    """Machines by state."""
    counts: dict[str, int] = defaultdict(int)
    for row in totals:
        counts[row["state"]] += row["count"]
    return dict(sorted(counts.items()))


def headline(overview: dict[str, Any]) -> str:
    """A one-line summary: jobs, machines, unverified machines and zones that are cut off."""
    states = overview.get("states", {})
    waiting = sum(wait["jobs"] for wait in overview.get("waits", []))
    parts = [f"{sum(states.values())} jobs, {waiting} of them wait for something"]
    if "machines" in overview:
        counts = machine_counts(overview["machines"])
        parts.append(f"{sum(counts.values())} machines: " + ", ".join(f"{n} {state}" for state, n in counts.items()))
    if overview.get("rebuilding"):
        parts.append(f"{overview['rebuilding']} machines not accounted for")
    if overview.get("dark_zones"):
        parts.append("cut off: " + ", ".join(overview["dark_zones"]))
    return "; ".join(parts)
