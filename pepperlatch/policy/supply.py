"""How long jobs may wait, room that running tasks will free, and room kept free for replicas. No I/O, no clock."""

import math
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from operator import attrgetter

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.policy.fleet import Demand
from pepperlatch.policy.model import EPS, Attempt, Job, Machine, Size, allowed_on, task_size, times_into
from pepperlatch.protocol import report_size
from pepperlatch.protocol.wire import JobSpec, Kind
from pepperlatch.settings import Objective

_NO_SLOT = Size(0.0, 0.0, 0.0, 0.0)
BY_FREE_TIME = attrgetter("free_in_s")


@dataclass(slots=True)
class FinishingSlot:
    """The room of a running task, and in how many seconds it is expected to be free."""

    machine: Machine
    spec: JobSpec
    free_in_s: float


def remaining_s(attempt: Attempt, now: float) -> float:
    """Seconds that the task still needs by its estimate; for a late one a share of its estimate."""
    ran = now - attempt.running_at if attempt.running_at is not None else 0.0
    return max(attempt.job.spec.estimate_s - ran, c.LATE_TASK_SHARE * attempt.job.spec.estimate_s)


def slack_s(job: Job, objectives: Iterable[Objective], now: float) -> float:
    """Seconds that the job's tasks may still wait before it misses its deadline or an objective of its class.

    The jobs of a chain share the time to spare: a step that used all of it to wait for slots would leave none for the
    steps after it, whose run times are only estimated.
    """
    waited, spec = now - job.since, job.spec
    run_s = spec.estimate_s * c.ESTIMATE_SAFETY_FACTOR
    slack = [(job.due_at - now - run_s) / (1 + job.after)] if job.due_at is not None else []
    for objective in objectives:
        if objective.job_class == spec.job_class and objective.within_s is not None:
            slack.append(objective.within_s - waited - (run_s if objective.kind == "finished" else 0.0))
    return max(0.0, min(slack, default=0.0) * c.SLACK_SHARE)


def start_target_s(spec: JobSpec, objectives: Iterable[Objective]) -> float:
    """Seconds within which the class's tasks should start, by its strictest objective; infinite without one."""
    return min(
        (
            objective.within_s
            for objective in objectives
            if objective.kind == "wait" and objective.job_class == spec.job_class and objective.within_s is not None
        ),
        default=math.inf,
    )


def next_deadline(job: Job, objectives: Iterable[Objective], inside: bool, now: float) -> float:
    """When the job's tasks must start to meet its next deadline or objective; infinite if none can be met any more.

    A job that is late yields to those that are not: when more jobs arrive than can be served in time, strict order of
    arrival would make all of them late. A job that has waited longer than `MISSED_OBJECTIVE_FACTOR` times its longest
    objective goes first again. `inside`: it is within its team's guarantee. The result is a time of the leader's steady
    clock.
    """
    spec, waited = job.spec, now - job.since
    ends = [job.due_at - job.since - spec.estimate_s] if job.due_at is not None else []
    for objective in objectives:
        if objective.within_s is None:
            continue
        if objective.job_class == spec.job_class:
            ends.append(objective.within_s - (spec.estimate_s if objective.kind == "finished" else 0.0))
        elif objective.kind == "guarantee" and inside:
            ends.append(objective.within_s)
    if ends and waited > c.MISSED_OBJECTIVE_FACTOR * max(ends):
        return job.since
    return job.since + min((end for end in ends if end > waited + c.TASK_START_S), default=math.inf)


def assign_finishing_slots(demand: Demand, slots: list[FinishingSlot], max_wait_s: float) -> None:
    """Reduce the demand by the tasks that can run in these slots, several one after the other where time allows.

    `max_wait_s` is how long the tasks may wait. The slots taken become free later. `slots` are sorted by the time at
    which they become free, before and after the call.
    """
    spec = demand.job.spec
    run_s = max(spec.estimate_s, 1.0)
    changed = False
    for slot in slots:
        if demand.count <= 0 or slot.free_in_s > max_wait_s:
            break
        machine, leaving = slot.machine, slot.spec
        fits = (
            spec.cpus <= leaving.cpus + EPS
            and spec.gpus <= leaving.gpus + EPS
            and spec.memory_gb <= leaving.memory_gb + machine.free_gb + EPS
            and report_size.task_bytes(spec) <= report_size.task_bytes(leaving) + machine.free_report_bytes
        )
        if not fits or not allowed_on(spec, machine.type.name, machine.zone, machine.spot):
            continue
        count = min(demand.count, 1 + times_into(max_wait_s - slot.free_in_s, run_s))
        demand.count -= count
        slot.free_in_s += count * run_s
        changed = True
    if changed:
        slots.sort(key=BY_FREE_TIME)


@dataclass(slots=True)
class ReplicaReserve:
    """Room for replicas on ordinary machines, which other tasks may not take. Counted in slots of the largest replica.

    As many slots are kept on the machines that hold a service's image as in all, if fetching that image takes longer
    than a replica may take to start. The planner recounts the reserve in each round.
    """

    spec: JobSpec | None = None  # the largest replica of all services, as a job of its own
    wanted_slots: int = 0
    typical_service_slots: int = 0  # replicas of the median service
    _slot_size: Size = _NO_SLOT  # of a replica like `spec`
    _required_fetch_rate: dict[str, float] = field(default_factory=dict)  # image -> GB/s that is fast enough
    _slots: dict[Machine, int] = field(default_factory=dict)
    _total_slots: int = 0
    _slots_with_image: Counter[str] = field(default_factory=Counter)  # slow image -> slots where it is

    def recount(
        self,
        machines: Iterable[Machine],
        specs: list[JobSpec],
        jobs: float,
        start_s: Callable[[JobSpec], float] = lambda s: 0.0,
    ) -> None:
        """Recount the reserve for one round.

        `jobs` is for how many services of the largest size room is kept (`spare_jobs`). `start_s` gives the seconds
        within which a replica should start: an image that is fetched sooner needs no room where it is.
        """
        replicas = [s for s in specs if s.kind is Kind.SERVICE and s.types is None and s.zone is None]
        largest = max(replicas, key=lambda s: (s.cpus, s.gpus, s.memory_gb), default=None)
        most_replicas = max((s.tasks for s in replicas), default=0)
        self.spec = (
            None
            if largest is None
            else msgspec.structs.replace(largest, id="", one_zone=False, spread=False, tasks=most_replicas, spot=False)
        )
        self._slot_size = task_size(self.spec) if self.spec is not None else _NO_SLOT
        self.wanted_slots = math.ceil(jobs * most_replicas)
        self.typical_service_slots = (
            min(self.wanted_slots, int(statistics.median(s.tasks for s in replicas))) if replicas else 0
        )
        self._required_fetch_rate = {}
        for spec in replicas:
            rate = spec.image_gb * c.FETCH_TIME_FACTOR / max(start_s(spec), EPS)
            self._required_fetch_rate[spec.image] = max(rate, self._required_fetch_rate.get(spec.image, 0.0))
        self._slots, self._total_slots, self._slots_with_image = {}, 0, Counter()
        for machine in machines if self.spec else ():
            if not machine.spot:
                self._slots[machine] = 0
                self.update_machine(machine)

    def _slots_free(self, machine: Machine, taken: JobSpec | None = None) -> int:
        """Replica slots that the machine has free, once a task like `taken` runs there too."""
        if self.spec is None:
            return 0
        free = machine.free_size()
        if taken is not None:
            free = free.plus(task_size(taken), -1)
        return free.slots(self._slot_size)

    def free_slots(self, image: str | None = None) -> int:
        """Free replica slots in all, or where the slow image is."""
        return self._total_slots if image is None else self._slots_with_image[image]

    def update_machine(self, machine: Machine) -> None:
        """Count a machine of the reserve again: its room has changed."""
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
        """Whether the machine is part of the reserve and the task is not a replica."""
        return spec.kind is not Kind.SERVICE and machine in self._slots

    def needs_machine(self, machine: Machine) -> bool:
        """Whether slots would be missing without it: in all, or for the median service where a slow image is."""
        slots = self._slots.get(machine)
        if slots is None:
            return False
        return self._total_slots - slots < self.wanted_slots or any(
            self._slots_with_image[image] - slots < self.typical_service_slots for image in self._slow_images(machine)
        )

    def slow_image_count(self, machine: Machine) -> int:
        """The number of slow images on the machine."""
        return len(self._slow_images(machine))

    def remove_machine(self, machine: Machine) -> None:
        """Leave out a machine that is returned, so that the next one is judged without it."""
        slots = self._slots.pop(machine, 0)
        self._total_slots -= slots
        for image in self._slow_images(machine):
            self._slots_with_image[image] -= slots

    def allows(self, spec: JobSpec, machine: Machine) -> bool:
        """Whether a task may be placed there: a replica always, any other only if enough slots remain."""
        if not self.covers(spec, machine):
            return True
        lost = self._slots[machine] - self._slots_free(machine, spec)
        if lost <= 0:
            return True
        if self._total_slots - lost < self.wanted_slots:
            return False
        return all(self._slots_with_image[image] - lost >= self.wanted_slots for image in self._slow_images(machine))

    def _slow_images(self, machine: Machine) -> list[str]:
        """Images on the machine whose fetch takes longer than a new replica may take to start."""
        return [
            image for image in machine.images if self._required_fetch_rate.get(image, 0.0) > machine.type.fetch_gb_per_s
        ]
