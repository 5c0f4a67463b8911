"""The HTML report: one file that needs no network, with all values escaped. It shows the same data as the console."""

import base64
import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import tzinfo
from pathlib import Path
from typing import Any

import msgspec
from jinja2 import Environment, FileSystemLoader, StrictUndefined

from pepperlatch.console import formatting
from pepperlatch.console.formatting import ReasonGroup
from pepperlatch.console.public import Redactor
from pepperlatch.console.rows import JobRow
from pepperlatch.console.view_copy import ViewCopy
from pepperlatch.constants import console as c
from pepperlatch.policy.reasons import counted

TEMPLATES = Path(__file__).parent / "templates"


@dataclass(slots=True)
class Content:
    """The report's data, already reduced to what its reader may see.

    `stale`: why the data may be old, or empty. `left_out`: number of jobs that are not in `rows`. `lines`: jobs with
    their details and time lines.
    """

    head: dict[str, Any]
    rows: list[JobRow]
    overview: dict[str, Any]
    stale: str = ""
    left_out: int = 0
    lines: list[tuple[JobRow, dict[str, Any]]] = field(default_factory=list)
    events: list[dict[str, Any]] = field(default_factory=list)


async def gather(view_copy: ViewCopy, lines: int = c.MAX_REPORT_TIMELINES) -> Content:
    """Fetch all data once, with the time lines of the first `lines` waiting jobs.

    Events and time lines are left out if the data is stale. Raises NoNodeAnswered or ViewRefused.
    """
    await view_copy.load_complete(c.MAX_REPORT_JOBS + 1)
    rows = sorted(view_copy.rows.values(), key=formatting.urgency_key)
    content = Content(dict(view_copy.head), rows[: c.MAX_REPORT_JOBS], {}, view_copy.stale_reason())
    await view_copy.load_overview()
    content.overview = dict(view_copy.overview)
    total = sum(content.overview.get("states", {}).values())
    content.left_out = max(0, total - len(content.rows)) if len(rows) > c.MAX_REPORT_JOBS else 0
    if not content.stale:
        content.events = await view_copy.fetch_list("events")
        waiting = [row for row in content.rows if row.waiting][:lines]
        content.lines = [(row, await view_copy.fetch_job(row.id)) for row in waiting]
    return content


def for_members(content: Content, redactor: Redactor) -> Content:
    """The content reduced for members: no machines, teams, costs, events or time lines; rows as `redactor` allows."""
    shown = redactor.redact_rows([msgspec.to_builtins(row) for row in content.rows])
    overview = {name: content.overview[name] for name in ("states", "waits") if name in content.overview}
    return Content(content.head, msgspec.convert(shown, list[JobRow]), overview, content.stale, content.left_out)


# --- charts: numbers for the template, which draws them as SVG ------------------------------------


@dataclass(frozen=True, slots=True)
class Bar:
    """One bar of a chart. `share`: its length as a share of the full width, 0 to 1."""

    label: str
    value: str
    share: float
    marks: tuple[tuple[str, float], ...] = ()  # marks on the bar: name and position, 0 to 1


def wait_bars(groups: Sequence[ReasonGroup]) -> list[Bar]:
    """Waiting tasks by reason; each bar is relative to the largest."""
    waiting = [group for group in groups if group.tasks]
    most = max((group.tasks for group in waiting), default=1)
    return [
        Bar(group.why, f"{counted(group.tasks, 'task')} of {counted(len(group.rows), 'job')}", group.tasks / most)
        for group in waiting
    ]


def team_bars(teams: Iterable[dict[str, Any]]) -> list[Bar]:
    """CPUs in use by team, with the guarantee as a mark; each bar is relative to its team's limit."""
    bars = []
    for team in teams:
        limit = max(team["cpus_limit"], team["cpus"], 1e-9)
        value = f"{team['cpus']:g} of {team['cpus_limit']:g} CPUs, {team['cpus_guaranteed']:g} guaranteed"
        bars.append(Bar(team["name"], value, team["cpus"] / limit, (("guaranteed", team["cpus_guaranteed"] / limit),)))
    return bars


def machine_bars(totals: Iterable[dict[str, Any]]) -> list[Bar]:
    """Machines by state; each bar is relative to the largest."""
    counts = formatting.machine_counts(totals)
    most = max(counts.values(), default=1)
    return [Bar(state, str(count), count / most) for state, count in counts.items()]


# --- the page -------------------------------------------------------------------------------------


def _template_environment() -> Environment:
    environment = Environment(
        loader=FileSystemLoader(TEMPLATES), autoescape=True, undefined=StrictUndefined, trim_blocks=True,
        lstrip_blocks=True,
    )  # fmt: skip
    environment.filters["span"] = formatting.duration_text
    return environment


def render(content: Content, zone: tzinfo | None, title: str = "pepperlatch") -> str:
    """The HTML page. Names of jobs, teams and classes are chosen by users, so all values are escaped.

    The Content-Security-Policy allows the page's own script only, by its hash.
    """
    script = (TEMPLATES / "search.js").read_text("utf-8")
    digest = base64.b64encode(hashlib.sha256(script.encode("utf-8")).digest()).decode("ascii")
    now = content.head.get("at") or 0.0
    found = formatting.group_by_reason(content.rows)
    return _template_environment().get_template("report.html.j2").render(
        title=title,
        now=now,
        moment=lambda at: formatting.time_text(at, zone),
        made_at=formatting.date_time_text(now, zone),
        zone=formatting.zone_name(zone, now),
        content=content,
        headline=formatting.headline(content.overview),
        groups=found,
        wait_bars=wait_bars(found),
        team_bars=team_bars(content.overview.get("teams", [])),
        machine_bars=machine_bars(content.overview.get("machines", [])),
        reason=lambda row: formatting.reason_text(row, now),
        tables=_tables(content, zone, now),
        lines=[(row, detail, formatting.timeline_cells(detail["line"], zone, now)) for row, detail in content.lines],
        order_text=formatting.queue_position_text,
        script=script,
        script_hash=digest,
    )  # fmt: skip


def _tables(content: Content, zone: tzinfo | None, now: float) -> list[tuple[str, Sequence[str], list[list[str]]]]:
    """Title, columns and rows of each table that has rows."""
    overview = content.overview
    money = overview.get("money")
    found: list[tuple[str, Sequence[str], list[list[str]]]] = [
        ("What is waited for", formatting.WAIT_COLUMNS, formatting.wait_cells(overview.get("waits", []), now)),
        ("Teams", formatting.TEAM_COLUMNS, formatting.team_cells(overview.get("teams", []))),
        ("Recoveries", formatting.RECOVERY_COLUMNS, formatting.recovery_cells(overview.get("recoveries", []))),
        ("Events", formatting.EVENT_COLUMNS, formatting.event_cells(content.events[: c.MAX_REPORT_EVENTS], zone)),
    ]
    if money:
        title = f"Money of the last {formatting.duration_text(money['over_s'])}"
        found.insert(3, (title, formatting.MONEY_COLUMNS, formatting.money_cells(money)))
    return [table for table in found if table[2]]
