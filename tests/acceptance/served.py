"""Prints who is served least on a day of the bench: by class, team, pair of both, and largest jobs of each class.

    python -m tests.acceptance.served REPORT [--log FILE]

REPORT is what `fleetbench run SITE DAY --report REPORT` wrote, and FILE what that run printed with `--log info`. The
controllers' log lines about jobs and placements in FILE show the pairs, and how soon the largest tenth of each class
began. A job begins when its first task is placed, whichever controller leads. A job is served if it was accepted and
all its tasks started; services are judged by their share of replica time as well. The exit code is 1 if a share is
below half or a largest job began late, and 2 if something cannot be read or is missing.
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
LARGEST = 0.1  # share of a class's jobs: those with the most tasks
BEGIN_S = 240.0  # s after it is ready; by then each of the largest jobs must begin
AT = r"^\s*(?P<at>[\d.]+) .*\b"
JOB = re.compile(AT + r"job (?P<id>run-\S+): .* of (?P<tasks>\d+) x .*, (?P<class>\S+) for (?P<team>\S+)\s*$")
PLACE = re.compile(AT + r"place (?P<id>run-[^/\s]+)/(?P<task>\d+) try ")


class Class(msgspec.Struct):
    """A class of jobs in the report. `up`: share of replica time, of services only."""

    jobs: int
    accepted: int
    started: int
    up: float = 1.0


class Team(msgspec.Struct):
    """A team in the report; also the largest jobs of a class."""

    jobs: int
    started: int


class Report(msgspec.Struct):
    """What is read of the bench's report. `largest`: by class; `ends_s`: when the day ended, in seconds."""

    classes: dict[str, Class]
    teams: dict[str, Team]
    largest: dict[str, Team]
    ends_s: float


class Unreadable(Exception):
    """A file could not be read, or lacks something; the text names the file and the reason."""


@dataclass(frozen=True)
class Served:
    """The share of its jobs that one class, team or pair of both got served. Below `least` it is too low."""

    kind: str
    name: str
    jobs: int
    share: float
    least: float = LEAST

    @property
    def warning(self) -> str:
        """The text printed after a row whose share is too low."""
        return "  BELOW HALF" if self.least == LEAST else "  NOT ALL BEGAN WITHIN FOUR MINUTES"

    @property
    def low(self) -> bool:
        return self.jobs > 0 and self.share < self.least


def read(path: Path) -> Report:
    """The bench's report; raises Unreadable if it cannot be decoded or lacks classes, teams or largest jobs."""
    try:
        report = msgspec.json.decode(path.read_bytes(), type=Report)
    except (OSError, msgspec.DecodeError, msgspec.ValidationError) as error:
        raise Unreadable(f"{path}: {error}") from error
    if not report.classes or not report.teams:
        raise Unreadable(f"{path}: holds no {'class' if not report.classes else 'team'}")
    if missing := [name for name, one in report.classes.items() if one.jobs and name not in report.largest]:
        raise Unreadable(f"{path}: says nothing of the largest jobs of {missing[0]}")
    return report


def rows_of_report(report: Report) -> Iterator[Served]:
    for name, seen in report.classes.items():
        share = min(min(seen.accepted, seen.started) / max(1, seen.jobs), seen.up)
        yield Served("class", name, seen.jobs, share)
    for name, team in report.teams.items():
        yield Served("team", name, team.jobs, team.started / max(1, team.jobs))
    for name, team in report.largest.items():
        yield Served("largest", name, team.jobs, team.started / max(1, team.jobs))


@dataclass
class Logged:
    """A job as the leaders' log lines show it. Times: seconds of the log; `placed`: numbers of its placed tasks."""

    tasks: int
    name: str
    team: str
    ready_at: float
    began_at: float | None = None
    placed: set[int] = field(default_factory=set)


def jobs_of_log(lines: Iterable[str]) -> dict[str, Logged]:
    """The ready jobs by ID. Each leader logs a job once; only the first of these lines counts."""
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
    """For each pair of class and team: the share of its jobs of which every task was placed at some time."""
    counts: dict[str, list[int]] = defaultdict(lambda: [0, 0])
    for job in jobs:
        count = counts[f"{job.name} for {job.team}"]
        count[0] += 1
        count[1] += len(job.placed) >= job.tasks
    for pair, (asked, served) in sorted(counts.items()):
        yield Served("pair", pair, asked, served / asked)


def begun(jobs: Iterable[Logged], ends_s: float) -> Iterator[Served]:
    """For each class: the share of its largest jobs that began within `BEGIN_S`.

    A job that had not begun is left out if fewer than `BEGIN_S` seconds were left before the end.
    """
    classes: dict[str, list[Logged]] = defaultdict(list)
    for job in jobs:
        classes[job.name].append(job)
    for name, rows in sorted(classes.items()):
        least = sorted((job.tasks for job in rows), reverse=True)[max(0, math.ceil(LARGEST * len(rows)) - 1)]
        large = [j for j in rows if j.tasks >= least and (j.began_at is not None or ends_s - j.ready_at > BEGIN_S)]
        soon = sum(1 for j in large if j.began_at is not None and j.began_at - j.ready_at <= BEGIN_S)
        yield Served("begun", name, len(large), soon / max(1, len(large)), least=1.0)


def rows_of_log(path: Path, report: Report) -> list[Served]:
    """What the log shows; raises Unreadable if it lacks a class of which the report counts accepted jobs."""
    try:
        with path.open(errors="replace") as file:
            jobs = jobs_of_log(file)
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
    arguments = parser.parse_args(words)
    try:
        report = read(arguments.report)
        rows = [*rows_of_report(report), *(rows_of_log(arguments.log, report) if arguments.log else ())]
    except Unreadable as error:
        print(error, file=sys.stderr)
        return 2
    for row in sorted(rows, key=lambda row: (row.share, row.kind, row.name)):
        print(f"{row.share:.3f} of {row.jobs:5} jobs  {row.kind:7}  {row.name}{row.warning if row.low else ''}")
    return int(any(row.low for row in rows))


if __name__ == "__main__":
    sys.exit(main())
