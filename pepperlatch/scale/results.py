"""The result of a run, as a table for people and as JSON for programs, and two results side by side."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from pepperlatch.scale.history import Answered, AnyEvent, JobDescribed, LeaseEnded, TaskStarted, TaskStopped
from pepperlatch.scale.measures import Delays
from pepperlatch.scale.observer import Breach


class BadResult(Exception):
    """The file cannot be read or does not hold the result of a run; the message says which and why."""


class ProcessResult(msgspec.Struct):
    """Figures of one process while measuring. `cpu`: share of a core. `lives`: number of its starts in the whole run.

    `heartbeats`: worker reports a second that it answered with 200. `cpu_ms_per_heartbeat`: all of its processor time,
    divided by the number of these. Both are 0 for processes that are not controllers.
    """

    name: str
    role: str
    cpu: float
    memory_mb: float
    sockets: int
    lives: int
    heartbeats: float = 0.0
    cpu_ms_per_heartbeat: float = 0.0


class Result(msgspec.Struct):
    """All figures of a run. Delays are in seconds, with the keys of `Delays.summary`; rates are a second."""

    scenario: str
    program: str
    seed: int
    workers: int
    controllers: int
    length_s: float
    leader_cpu: float
    follower_cpu: float  # median of all followers
    machine_cpu: float  # share of all cores
    heartbeats: float
    answers: dict[str, int]  # to heartbeats, by HTTP status; 0: no answer
    heartbeat: dict[str, float]
    submission: dict[str, float]
    starts: dict[str, dict[str, float]]  # by class: from the first submission of the job until a task has its image
    starts_mean: float
    starts_peak: float  # in the best 5 s
    running_most: int  # highest number of tasks that ran at the same time
    leases_ended: int  # leases of workers that expired although no trouble of the scenario explains it
    leases_ended_expected: int  # expired leases that a trouble explains
    tasks_lost: int  # with expired leases of either kind
    worker_bytes: float  # bytes a second to and from one worker on average
    state: dict[str, float]  # of the state service: requests by kind, refusals, writes and bytes a second
    in_force: dict[str, float]  # from a change of a setting until every controller shows it
    changes_failed: int  # changes that were not in force everywhere within SETTINGS_TIMEOUT_S
    accounted_s: list[float]  # for each takeover, until the new leader had accounted for all machines
    processes: list[ProcessResult]
    breaches: list[Breach]
    warnings: list[str]


@dataclass
class HistorySummary:
    """Figures of a history: delays of submissions and starts (by job class), numbers of tasks and of expired leases."""

    submission: Delays = field(default_factory=Delays)
    starts: dict[str, Delays] = field(default_factory=lambda: defaultdict(Delays))
    starts_by_second: Counter[int] = field(default_factory=Counter)
    running_most: int = 0
    leases_ended: int = 0
    leases_ended_expected: int = 0
    tasks_lost: int = 0

    def starts_peak(self, window_s: int = 5) -> float:
        """Starts a second in the best `window_s` whole seconds in a row."""
        if not self.starts_by_second:
            return 0.0
        first, last = min(self.starts_by_second), max(self.starts_by_second)
        sums = (sum(self.starts_by_second[at + i] for i in range(window_s)) for at in range(first, last + 1))
        return max(sums) / window_s


def summarize_history(events: Iterable[AnyEvent]) -> HistorySummary:
    """The figures of a history, whose events must be ordered by time."""
    summary = HistorySummary()
    jobs: dict[str, JobDescribed] = {}
    first_asked_at: dict[str, float] = {}
    started_tasks: set[str] = set()
    running = 0
    for event in events:
        if isinstance(event, JobDescribed):
            jobs[event.job] = event
        elif isinstance(event, Answered) and event.request == "submit":
            if event.job not in first_asked_at:
                first_asked_at[event.job] = event.asked_at
            if event.status in (200, 201):
                summary.submission.add(event.at - first_asked_at[event.job])
        elif isinstance(event, TaskStarted):
            running += 1
            summary.running_most = max(summary.running_most, running)
            summary.starts_by_second[int(event.at)] += 1
            job = jobs.get(event.task.rpartition("/")[0])
            if job is not None and event.task not in started_tasks:
                started_tasks.add(event.task)
                summary.starts[job.job_class].add(event.at - job.at)
        elif isinstance(event, TaskStopped):
            running -= 1
        elif isinstance(event, LeaseEnded):
            summary.leases_ended += not event.expected
            summary.leases_ended_expected += event.expected
            summary.tasks_lost += event.tasks
    return summary


def save(result: Result, path: Path) -> None:
    """Write the result as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def load(path: Path) -> Result:
    """Read a result that `save` wrote. Raises BadResult."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise BadResult(f"{path}: {error}") from None


def overview(result: Result) -> list[tuple[str, str]]:
    """The figures of a result as pairs of name with unit, and value."""
    rows = [
        ("workers", str(result.workers)),
        ("controllers", str(result.controllers)),
        ("leader, share of a core", f"{result.leader_cpu:.3f}"),
        ("follower, median share of a core", f"{result.follower_cpu:.3f}"),
        ("machine, share of all cores", f"{result.machine_cpu:.2f}"),
        ("heartbeats answered a second", f"{result.heartbeats:.0f}"),
        ("answers by status", " ".join(f"{status}:{count}" for status, count in sorted(result.answers.items()))),
        ("heartbeat p50 / p99, ms", f"{1000 * result.heartbeat['p50_s']:.1f} / {1000 * result.heartbeat['p99_s']:.1f}"),
        (
            "submission p50 / p99, ms",
            f"{1000 * result.submission['p50_s']:.0f} / {1000 * result.submission['p99_s']:.0f}",
        ),
        ("starts a second, mean / best 5 s", f"{result.starts_mean:.1f} / {result.starts_peak:.1f}"),
        ("tasks running, most", str(result.running_most)),
        ("leases ended under no trouble", str(result.leases_ended)),
        ("leases ended by troubles", str(result.leases_ended_expected)),
        ("tasks that leases took along", str(result.tasks_lost)),
        ("bytes a second to and from a worker", f"{result.worker_bytes:.0f}"),
        (
            "setting in force everywhere, p50 / most, s",
            f"{result.in_force['p50_s']:.2f} / {result.in_force['max_s']:.2f}",
        ),
        ("changes not in force in time", str(result.changes_failed)),
        ("accounted for after a takeover, s", " ".join(f"{seconds:.1f}" for seconds in result.accounted_s)),
        ("broken rules", str(len(result.breaches))),
    ]
    for name, delays in sorted(result.starts.items()):
        figures = f"{delays['count']:.0f}: {delays['p50_s']:.2f} / {delays['p99_s']:.2f}"
        rows.append((f"start of {name}: count, p50 / p99, s", figures))
    for kind, rate in sorted(result.state.items()):
        rows.append((f"state service, {kind} a second", f"{rate:.1f}"))
    return rows


def side_by_side(one: Result, other: Result) -> list[tuple[str, str, str]]:
    """Rows of (name, value in `one`, value in `other`); a value that one of them lacks is empty."""
    first, second = dict(overview(one)), dict(overview(other))
    names = list(first) + [name for name in second if name not in first]
    return [(name, first.get(name, ""), second.get(name, "")) for name in names]


def process_rows(result: Result) -> list[list[Any]]:
    """One row a process, with the columns of PROCESS_COLUMNS."""
    return [
        [
            process.name, process.role, f"{process.cpu:.3f}", f"{process.memory_mb:.0f}", process.sockets,
            process.lives,
            f"{process.heartbeats:.1f}" if process.heartbeats else "",
            f"{process.cpu_ms_per_heartbeat:.2f}" if process.cpu_ms_per_heartbeat else "",
        ]
        for process in result.processes
    ]  # fmt: skip


PROCESS_COLUMNS = ["process", "role", "cores", "MB", "sockets", "lives", "heartbeats/s", "ms a heartbeat"]
