"""Costs by machine type, team and job class, the useful share, and recovery times of lost tasks. No I/O, no clock."""

import statistics
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pepperlatch.constants import console as c
from pepperlatch.policy.model import Attempt, Machine, Status
from pepperlatch.protocol.wire import Kind, TaskState

USE_BOOTING, USE_IDLE, USE_FREE = "booting", "idle", "free room"
# Causes with which a task ends without being lost: it or its job was over, or it never began.
NOT_LOSSES = frozenset(("done", "the job is over", "done already", "not sent"))


def _sums() -> dict[tuple[str, str], float]:
    return defaultdict(float)


@dataclass(slots=True)
class CostAccounting:
    """What this leader has seen spent since `since`, in the cloud's currency unit.

    Each machine's cost is split by use: by the share of its CPUs that each task requests (of its GPUs if it has any),
    and the rest that no task uses. The costs by use add up to the costs by machine type.
    """

    since: float  # steady clock, s
    charged_until: float  # steady clock, s
    by_machine: dict[tuple[str, str], float] = field(default_factory=_sums)  # (machine type, spot or ordinary)
    by_use: dict[tuple[str, str], float] = field(default_factory=_sums)  # (team, class), or ("", USE_...)
    paid_cpu_s: float = 0.0  # CPU seconds of all machines
    useful_cpu_s: float = 0.0  # CPU seconds of completed tasks and of running services

    def charge(self, machines: Iterable[Machine], now: float) -> None:
        """Charge the time since the last call according to the present machines and tasks.

        Called every SPENDING_INTERVAL_S, and before the costs are shown. `now`: steady clock, s.
        """
        elapsed_s, self.charged_until = now - self.charged_until, now
        if elapsed_s <= 0:
            return
        for machine in machines:
            cost = machine.price() * elapsed_s / 3600
            self.by_machine[(machine.type.name, "spot" if machine.spot else "ordinary")] += cost
            self.paid_cpu_s += machine.type.cpus * elapsed_s
            if machine.status in (Status.BOOTING, Status.JOINING):
                self.by_use[("", USE_BOOTING)] += cost
            elif not machine.attempts:
                self.by_use[("", USE_IDLE)] += cost
            else:
                self._split_by_use(machine, cost, elapsed_s)

    def _split_by_use(self, machine: Machine, cost: float, elapsed_s: float) -> None:
        unused = 1.0
        for attempt in machine.attempts.values():
            spec = attempt.job.spec
            share = min(unused, spec.gpus / machine.type.gpus if machine.type.gpus else spec.cpus / machine.type.cpus)
            unused -= share
            self.by_use[(spec.team, spec.job_class)] += cost * share
            if spec.kind is Kind.SERVICE and attempt.state is TaskState.RUNNING:
                self.useful_cpu_s += spec.cpus * elapsed_s
        self.by_use[("", USE_FREE)] += cost * unused

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        """Count the run time of a completed task as useful."""
        if cause == "done" and attempt.running_at is not None:
            self.useful_cpu_s += (now - attempt.running_at) * attempt.job.spec.cpus

    def summary(self, now: float) -> dict[str, Any]:
        """The costs as the view shows them, rounded; `over_s`: the period that they cover."""
        total = sum(self.by_machine.values())
        unused = {name: self.by_use[("", name)] for name in (USE_BOOTING, USE_IDLE, USE_FREE)}
        return {
            "spent": round(total, 4),
            "over_s": round(now - self.since, 1),
            "useful_share": round(self.useful_cpu_s / self.paid_cpu_s, 3) if self.paid_cpu_s else None,
            "by_machine": [
                {"type": name, "kind": kind, "spent": round(cost, 4)}
                for (name, kind), cost in sorted(self.by_machine.items())
            ],
            "by_use": [
                {"team": team, "class": job_class, "spent": round(cost, 4)}
                for (team, job_class), cost in sorted(self.by_use.items()) if team
            ],
            "unused": {name: round(cost, 4) for name, cost in unused.items()},
        }  # fmt: skip


@dataclass(slots=True)
class LossStats:
    """Tasks lost through one cause. `durations_s`: times until they ran again, of the latest recoveries."""

    lost: int = 0
    recovered: int = 0
    durations_s: deque[float] = field(default_factory=lambda: deque(maxlen=c.MAX_SAMPLES_KEPT))
    longest_s: float = 0.0


@dataclass(slots=True)
class Recoveries:
    """Tasks that ended without completing, by cause, and how long it took until each ran again.

    At most MAX_LOSSES lost tasks are tracked until they run again; further ones are only counted.
    """

    causes: dict[str, LossStats] = field(default_factory=dict)
    # By job and task: when the task was lost (steady clock, s), and the cause.
    _pending: dict[str, dict[int, tuple[float, str]]] = field(default_factory=dict)
    _pending_count: int = 0

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        """Count a lost task, unless it never ran or the cause is no loss. `now`: steady clock, s."""
        if cause in NOT_LOSSES or attempt.running_at is None:
            return
        label = cause.split(" run-")[0][: c.MAX_CAUSE_CHARS]  # one cause for all "stopped for run-..."
        if label not in self.causes and len(self.causes) >= c.MAX_SAMPLES_KEPT:
            label = "other"
        self.causes.setdefault(label, LossStats()).lost += 1
        if self._pending_count < c.MAX_LOSSES:
            self._remove_pending(attempt)
            self._pending.setdefault(attempt.job.spec.id, {})[attempt.task] = (now, label)
            self._pending_count += 1

    def started(self, attempt: Attempt, now: float) -> None:
        """Count a recovery if the task had been lost before. `now`: steady clock, s."""
        found = self._remove_pending(attempt)
        if found is not None:
            cause, elapsed_s = self.causes[found[1]], now - found[0]
            cause.recovered += 1
            cause.durations_s.append(elapsed_s)
            cause.longest_s = max(cause.longest_s, elapsed_s)

    def job_ended(self, job_id: str) -> None:
        """Stop tracking the lost tasks of a job that is over."""
        self._pending_count -= len(self._pending.pop(job_id, ()))

    def _remove_pending(self, attempt: Attempt) -> tuple[float, str] | None:
        """Stop tracking the attempt's task; returns when it was lost and the cause, None if it was not tracked."""
        found = self._pending.get(attempt.job.spec.id, {}).pop(attempt.task, None)
        self._pending_count -= found is not None
        return found

    def summary(self) -> list[dict[str, Any]]:
        """Losses and recoveries by cause as the view shows them, most frequent first."""
        waiting = Counter(label for tasks in self._pending.values() for _, label in tasks.values())
        return [
            {
                "cause": label, "lost": cause.lost, "run_again": cause.recovered, "waiting": waiting[label],
                "median_s": round(statistics.median(cause.durations_s), 1) if cause.durations_s else None,
                "longest_s": round(cause.longest_s, 1) if cause.recovered else None,
            }
            for label, cause in sorted(self.causes.items(), key=lambda item: -item[1].lost)
        ]  # fmt: skip
