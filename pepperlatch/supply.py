"""Room that will come by itself, and room that is kept free. No I/O, no clock."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch import constants as c
from pepperlatch.fleet import Need
from pepperlatch.model import EPS, Attempt, Job, Machine, allowed_on
from pepperlatch.settings import Objective
from pepperlatch.wire import JobSpec, Kind


@dataclass(slots=True)
class Place:
    """Room that a running task will leave."""

    machine: Machine
    spec: JobSpec
    free_in_s: float


def remaining_s(attempt: Attempt, now: float) -> float:
    ran = now - attempt.running_at if attempt.running_at is not None else 0.0
    return max(attempt.job.spec.estimate_s - ran, c.LATE_TASK_SHARE * attempt.job.spec.estimate_s)


def slack_s(job: Job, objectives: Iterable[Objective], now: float) -> float:
    """How much longer the job's tasks may wait before an aim of its class is missed."""
    waited, spec = now - job.submitted, job.spec
    run_s = spec.estimate_s * c.ESTIMATE_CAUTION
    slack = [spec.deadline_s - waited - run_s] if spec.deadline_s else []
    for aim in objectives:
        if aim.job_class == spec.job_class and aim.within_s is not None:
            slack.append(aim.within_s - waited - (run_s if aim.kind == "finished" else 0.0))
    return max(0.0, min(slack, default=0.0) * c.SLACK_SHARE)


def absorb(need: Need, places: list[Place], patience_s: float) -> None:
    """Let finishing tasks' places serve the need, several in a row where time allows; they come free later then."""
    spec = need.job.spec
    run_s = max(spec.estimate_s, 1.0)
    for place in sorted(places, key=lambda p: p.free_in_s):
        if need.count <= 0 or place.free_in_s > patience_s:
            return
        machine, old = place.machine, place.spec
        fits = spec.cpus <= old.cpus + EPS and spec.gpus <= old.gpus + EPS and spec.memory_gb <= old.memory_gb + machine.free_gb + EPS
        if not fits or not allowed_on(spec, machine.type.name, machine.zone, machine.spot):
            continue
        count = min(need.count, 1 + int((patience_s - place.free_in_s) // run_s))
        need.count -= count
        place.free_in_s += count * run_s


@dataclass(slots=True)
class Spare:
    """Room for replicas on ordinary machines, which other work may not take."""

    replica: tuple[float, float, float] | None = None  # CPUs, GPUs and GB of the largest replica there is
    wanted: int = 0
    _slots: dict[Machine, int] = field(default_factory=dict)

    def count(self, machines: Iterable[Machine], specs: Iterable[JobSpec], wanted: int) -> None:
        replicas = [(s.cpus, s.gpus, s.memory_gb) for s in specs if s.kind is Kind.SERVICE and s.types is None]
        self.replica = max(replicas, default=None)
        self.wanted = wanted if self.replica else 0
        self._slots = {m: self.slots(m) for m in machines if not m.spot} if self.replica else {}

    def slots(self, machine: Machine) -> int:
        return self._fit(machine.free_cpus, machine.free_gpus, machine.free_gb)

    def _fit(self, cpus: float, gpus: float, memory_gb: float) -> int:
        if self.replica is None:
            return 0
        pairs = zip(self.replica, (cpus, gpus, memory_gb), strict=True)
        return max(0, min((int((free + EPS) // need) for need, free in pairs if need > 0), default=0))

    def free(self) -> int:
        return sum(self._slots.values())

    def took(self, machine: Machine) -> None:
        if machine in self._slots:
            self._slots[machine] = self.slots(machine)

    def short(self) -> bool:
        return self.free() < self.wanted

    def guards(self, spec: JobSpec, machine: Machine) -> bool:
        return spec.kind is not Kind.SERVICE and machine in self._slots

    def allows(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task may go there: replicas always, others only if enough room stays."""
        if not self.guards(spec, machine):
            return True
        after = self._fit(machine.free_cpus - spec.cpus, machine.free_gpus - spec.gpus, machine.free_gb - spec.memory_gb)
        return self.free() - self._slots[machine] + after >= self.wanted or after == self._slots[machine]
