"""Who is served least on a day of the bench: each class, each team, each pair of both, and each class's largest jobs.

    python -m tests.acceptance.served REPORT [--log FILE]

REPORT is what `fleetbench run SITE DAY --report REPORT` wrote; FILE what it printed with `--log info`, from which the
pairs are counted by what the controllers say of jobs and placements, and how soon the largest tenth of a class began:
at once as its first task was placed, whoever led. Served: accepted and started whole; services by the share of replica
time as well. Code 1 if anything is below half or a largest job began late, 2 if something cannot be read or is missing.
"""

import argparse
import math
import re
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

LEAST = 0.5  # share; the operators count a day below it as failed
LARGEST = 0.1  # share of a class's jobs, by their tasks
BEGIN_S = 240.0  # s; so soon the largest have to begin
AT = r"^\s*(?P<at>[\d.]+) .*\b"
JOB = re.compile(AT + r"job (?P<id>run-\S+): .* of (?P<tasks>\d+) x .*, (?P<class>\S+) for (?P<team>\S+)\s*$")
PLACE = re.compile(AT + r"place (?P<id>run-[^/\s]+)/(?P<task>\d+) try ")


class Class(msgspec.Struct):
    jobs: int
    accepted: int
    started: int
    up: float = 1.0


class Team(msgspec.Struct):
    jobs: int
    started: int


class Report(msgspec.Struct):
    classes: dict[str, Class]
    teams: dict[str, Team]
    largest: dict[str, Team]
    ends_s: float


class Unreadable(Exception):
    """What, and why."""


@dataclass(frozen=True)
class Served:
    kind: str
    name: str
    jobs: int
    share: float
    least: float = LEAST

    @property
    def said(self) -> str:
        return "  BELOW HALF" if self.least == LEAST else "  NOT ALL BEGAN WITHIN FOUR MINUTES"

    @property
    def low(self) -> bool:
        return self.jobs > 0 and self.share < self.least


def read(path: Path) -> Report:
    try:
        report = msgspec.json.decode(path.read_bytes(), type=Report)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
        raise Unreadable(f"{path}: {error}") from error
    if not report.classes or not report.teams:
        raise Unreadable(f"{path}: holds no {'class' if not report.classes else 'team'}")
    if missing := [name for name, one in report.classes.items() if one.jobs and name not in report.largest]:
        raise Unreadable(f"{path}: says nothing of the largest jobs of {missing[0]}")
    return report


def of_report(report: Report) -> Iterator[Served]:
    for name, seen in report.classes.items():
        share = min(min(seen.accepted, seen.started) / max(1, seen.jobs), seen.up)
        yield Served("class", name, seen.jobs, share)
    for name, team in report.teams.items():
        yield Served("team", name, team.jobs, team.started / max(1, team.jobs))
    for name, team in report.largest.items():
        yield Served("largest", name, team.jobs, team.started / max(1, team.jobs))


@dataclass
class Logged:
    """A job as the leaders' lines tell of it."""

    tasks: int
    name: str
    team: str
    ready_at: float
    began_at: float | None = None
    placed: set[int] = field(default_factory=set)


def of_log(lines: Iterable[str]) -> dict[str, Logged]:
    """The jobs that a leader knew to be ready; a later leader's line of the same job says nothing new."""
    jobs: dict[str, Logged] = {}
    for line in lines:
        if found := JOB.search(line):
            made = Logged(int(found["tasks"]), found["class"], found["team"], float(found["at"]))
            jobs.setdefault(found["id"], made)
        elif (found := PLACE.search(line)) and found["id"] in jobs:
            job = jobs[found["id"]]
            job.placed.add(int(found["task"]))
            job.began_at = float(found["at"]) if job.began_at is None else job.began_at
    return jobs


def pairs(jobs: Iterable[Logged]) -> Iterator[Served]:
    """Those of which every task was placed at some time."""
    counts: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for job in jobs:
        count = counts[f"{job.name} for {job.team}"]
        count[0] += 1
        count[1] += len(job.placed) >= job.tasks
    for pair, (asked, served) in sorted(counts.items()):
        yield Served("pair", pair, asked, served / asked)


def begun(jobs: Iterable[Logged], ends_s: float) -> Iterator[Served]:
    """Of the largest jobs of each class, those that began in time; what had no time left before the end counts not."""
    classes: dict[str, list[Logged]] = defaultdict(list)
    for job in jobs:
        classes[job.name].append(job)
    for name, rows in sorted(classes.items()):
        least = sorted((job.tasks for job in rows), reverse=True)[max(0, math.ceil(LARGEST * len(rows)) - 1)]
        large = [j for j in rows if j.tasks >= least and (j.began_at is not None or ends_s - j.ready_at > BEGIN_S)]
        soon = sum(1 for j in large if j.began_at is not None and j.began_at - j.ready_at <= BEGIN_S)
        yield Served("begun", name, len(large), soon / max(1, len(large)), least=1.0)


def logged(path: Path, report: Report) -> list[Served]:
    try:
        with path.open(errors="replace") as file:
            jobs = of_log(file)
    except OSError as error:
        raise Unreadable(f"{path}: {error}") from error
    seen = {job.name for job in jobs.values()}
    for name, one in report.classes.items():
        if one.accepted and name not in seen:
            raise Unreadable(f"{path}: says nothing of {name}, of which {one.accepted} jobs were accepted")
    return [*pairs(jobs.values()), *begun(jobs.values(), report.ends_s)]


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("report", type=Path)
    parser.add_argument("--log", type=Path)
    said = parser.parse_args(words)
    try:
        report = read(said.report)
        rows = [*of_report(report), *(logged(said.log, report) if said.log else ())]
    except Unreadable as error:
        print(error, file=sys.stderr)
        return 2
    for row in sorted(rows, key=lambda row: (row.share, row.kind, row.name)):
        print(f"{row.share:.3f} of {row.jobs:5} jobs  {row.kind:7}  {row.name}{row.said if row.low else ''}")
    return int(any(row.low for row in rows))


if __name__ == "__main__":
    sys.exit(main())
