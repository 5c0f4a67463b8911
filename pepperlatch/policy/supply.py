"""Room that will come by itself, and room that is kept free. No I/O, no clock."""

import math
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from operator import attrgetter

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.policy.fleet import Need
from pepperlatch.policy.model import EPS, Attempt, Job, Machine, allowed_on
from pepperlatch.protocol.wire import JobSpec, Kind
from pepperlatch.settings import Objective

SOONEST = attrgetter("free_in_s")


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
    """How much longer the job's tasks may wait before an aim of its class is missed.

    The jobs of a chain share the time to spare: a step that waited it out for free places would leave none for
    the run times behind it, which are only estimated.
    """
    waited, spec = now - job.since, job.spec
    run_s = spec.estimate_s * c.ESTIMATE_SAFETY_FACTOR
    slack = [(job.due_at - now - run_s) / (1 + job.after)] if job.due_at is not None else []
    for aim in objectives:
        if aim.job_class == spec.job_class and aim.within_s is not None:
            slack.append(aim.within_s - waited - (run_s if aim.kind == "finished" else 0.0))
    return max(0.0, min(slack, default=0.0) * c.SLACK_SHARE)


def start_s(spec: JobSpec, objectives: Iterable[Objective]) -> float:
    """How soon the class's tasks are to start, by the strictest aim; for ever if there is none."""
    return min(
        (
            a.within_s
            for a in objectives
            if a.kind == "wait" and a.job_class == spec.job_class and a.within_s is not None
        ),
        default=math.inf,
    )


def next_due(job: Job, objectives: Iterable[Objective], inside: bool, now: float) -> float:
    """When the job's tasks must start for the next aim that can still be met; for ever if none can.

    What is late anyway yields to what is not yet: in a crowd that nobody can serve in time, strict order
    of arrival would make everyone late. After twice its longest aim a job goes first again.
    """
    spec, waited = job.spec, now - job.since
    ends = [job.due_at - job.since - spec.estimate_s] if job.due_at is not None else []
    for aim in objectives:
        if aim.within_s is None:
            continue
        if aim.job_class == spec.job_class:
            ends.append(aim.within_s - (spec.estimate_s if aim.kind == "finished" else 0.0))
        elif aim.kind == "guarantee" and inside:
            ends.append(aim.within_s)
    if ends and waited > c.MISSED_OBJECTIVE_FACTOR * max(ends):
        return job.since
    return job.since + min((end for end in ends if end > waited + c.TASK_START_S), default=math.inf)


def absorb(need: Need, places: list[Place], patience_s: float) -> None:
    """Let finishing tasks' places serve the need, several in a row where time allows; they come free later then.

    `places` are sorted, the soonest first, and are again when it returns.
    """
    spec = need.job.spec
    run_s = max(spec.estimate_s, 1.0)
    taken = False
    for place in places:
        if need.count <= 0 or place.free_in_s > patience_s:
            break
        machine, old = place.machine, place.spec
        fits = (
            spec.cpus <= old.cpus + EPS
            and spec.gpus <= old.gpus + EPS
            and spec.memory_gb <= old.memory_gb + machine.free_gb + EPS
        )
        if not fits or not allowed_on(spec, machine.type.name, machine.zone, machine.spot):
            continue
        count = min(need.count, 1 + int((patience_s - place.free_in_s) // run_s))
        need.count -= count
        place.free_in_s += count * run_s
        taken = True
    if taken:
        places.sort(key=SOONEST)


@dataclass(slots=True)
class Spare:
    """Room for replicas on ordinary machines, which other work may not take.

    As much on machines that hold an image of the services as in all: an image takes longer to fetch
    than a replica to start.
    """

    spec: JobSpec | None = None  # the largest replica there is, as a job that nobody submitted
    wanted: int = 0
    usual: int = 0  # replicas of a usual service
    _fetched_at: dict[str, float] = field(default_factory=dict)  # image -> GB a second that would be soon enough
    _slots: dict[Machine, int] = field(default_factory=dict)
    _total: int = 0
    _holding: Counter[str] = field(default_factory=Counter)  # places on machines that hold an image

    def count(
        self,
        machines: Iterable[Machine],
        specs: list[JobSpec],
        jobs: float,
        start_s: Callable[[JobSpec], float] = lambda s: 0.0,
    ) -> None:
        """`start_s`: how soon a replica is to start. An image fetched within that needs no room where it is."""
        replicas = [s for s in specs if s.kind is Kind.SERVICE and s.types is None and s.zone is None]
        largest = max(replicas, key=lambda s: (s.cpus, s.gpus, s.memory_gb), default=None)
        most = max((s.tasks for s in replicas), default=0)
        self.spec = (
            None
            if largest is None
            else msgspec.structs.replace(largest, id="", one_zone=False, spread=False, tasks=most, spot=False)
        )
        self.wanted = math.ceil(jobs * most)
        self.usual = min(self.wanted, int(statistics.median(s.tasks for s in replicas))) if replicas else 0
        self._fetched_at = {}
        for spec in replicas:
            rate = spec.image_gb * c.FETCH_TIME_FACTOR / max(start_s(spec), EPS)
            self._fetched_at[spec.image] = max(rate, self._fetched_at.get(spec.image, 0.0))
        self._slots, self._total, self._holding = {}, 0, Counter()
        for machine in machines if self.spec else ():
            if not machine.spot:
                self._slots[machine] = 0
                self.took(machine)

    def _fit(self, machine: Machine, taken: JobSpec | None = None) -> int:
        if self.spec is None:
            return 0
        need = (self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        less = (taken.cpus, taken.gpus, taken.memory_gb) if taken else (0.0, 0.0, 0.0)
        free = (machine.free_cpus, machine.free_gpus, machine.free_gb)
        return max(
            0, min((int((f - t + EPS) // n) for n, f, t in zip(need, free, less, strict=True) if n > 0), default=0)
        )

    def free(self, image: str | None = None) -> int:
        return self._total if image is None else self._holding[image]

    def took(self, machine: Machine) -> None:
        """The machine's room has changed."""
        if machine not in self._slots:
            return
        more = self._fit(machine) - self._slots[machine]
        if more:
            self._slots[machine] += more
            self._total += more
            for image in self._kept(machine):
                self._holding[image] += more

    def short(self) -> bool:
        return self.free() < self.wanted

    def guards(self, spec: JobSpec, machine: Machine) -> bool:
        return spec.kind is not Kind.SERVICE and machine in self._slots

    def needs(self, machine: Machine) -> bool:
        """Whether room would be short without the machine: in all, or for a usual service where a slow image is."""
        slots = self._slots.get(machine)
        if slots is None:
            return False
        return self._total - slots < self.wanted or any(
            self._holding[image] - slots < self.usual for image in self._kept(machine)
        )

    def worth(self, machine: Machine) -> int:
        """How many slow images its room serves."""
        return len(self._kept(machine))

    def drop(self, machine: Machine) -> None:
        """The machine is returned; the next one is judged without it."""
        slots = self._slots.pop(machine, 0)
        self._total -= slots
        for image in self._kept(machine):
            self._holding[image] -= slots

    def allows(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task may go there: replicas always, others only if enough room stays."""
        if not self.guards(spec, machine):
            return True
        lost = self._slots[machine] - self._fit(machine, spec)
        if lost <= 0:
            return True
        if self._total - lost < self.wanted:
            return False
        return all(self._holding[image] - lost >= self.wanted for image in self._kept(machine))

    def _kept(self, machine: Machine) -> list[str]:
        """Images here that a new replica could not wait for elsewhere."""
        return [image for image in machine.images if self._fetched_at.get(image, 0.0) > machine.type.fetch_gb_per_s]
