"""Room that will come by itself, and room that is kept free. No I/O, no clock."""

import math
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from operator import attrgetter

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.policy.fleet import Demand
from pepperlatch.policy.model import EPS, Attempt, Job, Machine, allowed_on
from pepperlatch.protocol.wire import JobSpec, Kind
from pepperlatch.settings import Objective

BY_FREE_TIME = attrgetter("free_in_s")


@dataclass(slots=True)
class FinishingSlot:
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
    run_s = spec.estimate_s * c.ESTIMATE_CAUTION
    slack = [(job.due_at - now - run_s) / (1 + job.after)] if job.due_at is not None else []
    for aim in objectives:
        if aim.job_class == spec.job_class and aim.within_s is not None:
            slack.append(aim.within_s - waited - (run_s if aim.kind == "finished" else 0.0))
    return max(0.0, min(slack, default=0.0) * c.SLACK_SHARE)


def start_target_s(spec: JobSpec, objectives: Iterable[Objective]) -> float:
    """How soon the class's tasks are to start, by the strictest aim; for ever if there is none."""
    return min(
        (
            a.within_s
            for a in objectives
            if a.kind == "wait" and a.job_class == spec.job_class and a.within_s is not None
        ),
        default=math.inf,
    )


def next_deadline(job: Job, objectives: Iterable[Objective], inside: bool, now: float) -> float:
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
    if ends and waited > c.LOST_AIMS_TIMES * max(ends):
        return job.since
    return job.since + min((end for end in ends if end > waited + c.START_S), default=math.inf)


def assign_finishing_slots(demand: Demand, slots: list[FinishingSlot], patience_s: float) -> None:
    """Let finishing tasks' places serve the need, several in a row where time allows; they come free later then.

    `places` are sorted, the soonest first, and are again when it returns.
    """
    spec = demand.job.spec
    run_s = max(spec.estimate_s, 1.0)
    taken = False
    for slot in slots:
        if demand.count <= 0 or slot.free_in_s > patience_s:
            break
        machine, old = slot.machine, slot.spec
        fits = (
            spec.cpus <= old.cpus + EPS
            and spec.gpus <= old.gpus + EPS
            and spec.memory_gb <= old.memory_gb + machine.free_gb + EPS
        )
        if not fits or not allowed_on(spec, machine.type.name, machine.zone, machine.spot):
            continue
        count = min(demand.count, 1 + int((patience_s - slot.free_in_s) // run_s))
        demand.count -= count
        slot.free_in_s += count * run_s
        taken = True
    if taken:
        slots.sort(key=BY_FREE_TIME)


@dataclass(slots=True)
class ReplicaReserve:
    """Room for replicas on ordinary machines, which other work may not take.

    As much on machines that hold an image of the services as in all: an image takes longer to fetch
    than a replica to start.
    """

    spec: JobSpec | None = None  # the largest replica there is, as a job that nobody submitted
    wanted_slots: int = 0
    typical_service_slots: int = 0  # replicas of a usual service
    _required_fetch_rate: dict[str, float] = field(
        default_factory=dict
    )  # image -> GB a second that would be soon enough
    _slots: dict[Machine, int] = field(default_factory=dict)
    _total_slots: int = 0
    _slots_with_image: Counter[str] = field(default_factory=Counter)  # places on machines that hold an image

    def recount(
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
        self.wanted_slots = math.ceil(jobs * most)
        self.typical_service_slots = (
            min(self.wanted_slots, int(statistics.median(s.tasks for s in replicas))) if replicas else 0
        )
        self._required_fetch_rate = {}
        for spec in replicas:
            rate = spec.image_gb * c.FETCH_SPREAD / max(start_s(spec), EPS)
            self._required_fetch_rate[spec.image] = max(rate, self._required_fetch_rate.get(spec.image, 0.0))
        self._slots, self._total_slots, self._slots_with_image = {}, 0, Counter()
        for machine in machines if self.spec else ():
            if not machine.spot:
                self._slots[machine] = 0
                self.update_machine(machine)

    def _slots_free(self, machine: Machine, taken: JobSpec | None = None) -> int:
        if self.spec is None:
            return 0
        need = (self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        less = (taken.cpus, taken.gpus, taken.memory_gb) if taken else (0.0, 0.0, 0.0)
        free = (machine.free_cpus, machine.free_gpus, machine.free_gb)
        return max(
            0, min((int((f - t + EPS) // n) for n, f, t in zip(need, free, less, strict=True) if n > 0), default=0)
        )

    def free_slots(self, image: str | None = None) -> int:
        return self._total_slots if image is None else self._slots_with_image[image]

    def update_machine(self, machine: Machine) -> None:
        """The machine's room has changed."""
        if machine not in self._slots:
            return
        more = self._slots_free(machine) - self._slots[machine]
        if more:
            self._slots[machine] += more
            self._total_slots += more
            for image in self._slow_images(machine):
                self._slots_with_image[image] += more

    def is_short(self) -> bool:
        return self.free_slots() < self.wanted_slots

    def covers(self, spec: JobSpec, machine: Machine) -> bool:
        return spec.kind is not Kind.SERVICE and machine in self._slots

    def needs_machine(self, machine: Machine) -> bool:
        """Whether room would be short without the machine: in all, or for a usual service where a slow image is."""
        slots = self._slots.get(machine)
        if slots is None:
            return False
        return self._total_slots - slots < self.wanted_slots or any(
            self._slots_with_image[image] - slots < self.typical_service_slots for image in self._slow_images(machine)
        )

    def slow_image_count(self, machine: Machine) -> int:
        """How many slow images its room serves."""
        return len(self._slow_images(machine))

    def remove_machine(self, machine: Machine) -> None:
        """The machine is returned; the next one is judged without it."""
        slots = self._slots.pop(machine, 0)
        self._total_slots -= slots
        for image in self._slow_images(machine):
            self._slots_with_image[image] -= slots

    def allows(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task may go there: replicas always, others only if enough room stays."""
        if not self.covers(spec, machine):
            return True
        lost = self._slots[machine] - self._slots_free(machine, spec)
        if lost <= 0:
            return True
        if self._total_slots - lost < self.wanted_slots:
            return False
        return all(self._slots_with_image[image] - lost >= self.wanted_slots for image in self._slow_images(machine))

    def _slow_images(self, machine: Machine) -> list[str]:
        """Images here that a new replica could not wait for elsewhere."""
        return [
            image for image in machine.images if self._required_fetch_rate.get(image, 0.0) > machine.type.fetch_gb_per_s
        ]
