"""Ranks machines for the tasks of a job: those that have or fetch its image first, then the fullest that fits.

No I/O, no clock. The planner calls all of this.
"""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable

from pepperlatch.constants import core as c
from pepperlatch.policy.model import EPS, Job, Machine, Status, allowed_on, smallest_size, task_size
from pepperlatch.protocol.wire import JobSpec, Kind


def accepts_tasks(machine: Machine, now: float, fresh_s: float) -> bool:
    """Whether the machine takes new tasks: up, recorded, reached within `fresh_s` seconds, in a session that lasts.

    It must not be draining, quarantined or about to be taken back. Three kinds of machines are left out although their
    reports arrive. One that only other controllers reach can neither be answered nor commanded by this leader: a launch
    sent there is held and comes late (`reached_at`). One that reports but receives no answers loses its tasks when its
    lease ends, is empty again, and would attract task after task (`lost_answers`). So does one that answers this leader
    but reaches no controller itself, since only answers to its reports renew its lease (`heartbeat_at`).
    """
    return (
        machine.status is Status.UP
        and machine.draining is None
        and not machine.quarantined
        and machine.reclaim_at is None
        and machine.session > machine.last_ended_session
        and now - machine.reached_at <= fresh_s
        and now - machine.heartbeat_at <= c.OWN_HEARTBEAT_FACTOR * fresh_s
        and machine.lost_answers < c.MAX_LOST_LAUNCH_ANSWERS
    )


def zone_task_limit(job: Job) -> int:
    """How many tasks of the job one zone may hold: half of them, rounded up, if the job must be spread."""
    return (job.spec.tasks + 1) // 2 if job.spec.spread else job.spec.tasks


def zone_allowed(job: Job, used: Counter[str], zone: str) -> bool:
    """Whether one more task of the job may start in the zone; `used` counts its live tasks in each zone.

    Both conditions hold at once: an array that must be in one zone and be spread runs half of its tasks at a time.
    """
    if job.spec.one_zone and used and (len(used) > 1 or zone not in used):
        return False
    return used[zone] < zone_task_limit(job)


def allowed_zones(job: Job, zones: Iterable[str]) -> list[str]:
    """The zones where one more task of the job may start."""
    used = Counter(a.machine.zone for a in job.live.values())
    return [zone for zone in zones if zone_allowed(job, used, zone)]


def placement_rank(machine: Machine, job: Job, used: Counter[str], start_s: float) -> tuple[float, ...]:
    """The machine's sort key for a task of the job: the smallest is best.

    `used` counts a service's replicas on each machine; `start_s` is the time in seconds within which a task should
    start, which a long image fetch may exceed.

    Slow machines come last. Arrays and gangs prefer, in this order:
    - a machine where they start within `start_s`;
    - a spot machine, if they may run there, even before one with their image: they cost a third there, and the images
      on ordinary machines are left to replicas, which run only on those;
    - an ordinary machine that replicas keep anyway: the others become empty sooner and are returned;
    - the smallest type: a larger one may be the only one that fits another job's tasks.

    Replicas prefer machines that hold the image; then machines with other replicas, or else a cheap one, since they
    stay long and must not keep a large machine in use; then machines without replicas of their own service, so that
    one loss costs least. Replicas that must fetch their image go each to a machine of its own that keeps room for more:
    together they would fill the machines with that image, and the next service with it would find no room there.
    """
    spec = job.spec
    fetches = machine.fetches() if not machine.holds_image(spec) else frozenset()
    image = 0 if machine.holds_image(spec) else 1 if spec.image in fetches else 3 if fetches else 2
    late = image > 1 and fetch_s(machine, spec) * (1 + len(fetches)) > start_s
    other_kind = machine.spot != spec.spot
    if spec.kind is not Kind.SERVICE:
        size = machine.type.cpus + machine.type.gpus
        may_empty = other_kind and not machine.spot and not machine.exempt_from_draining()
        return (is_slow(machine), late, other_kind, may_empty, size, image, machine.free_cpus, machine.created_at)
    has_replicas = machine.holds_replicas()
    pinned_price = machine.price() if not has_replicas else 0.0
    if image == 0:
        return (
            is_slow(machine),
            image,
            pinned_price,
            used[machine.name],
            other_kind,
            machine.free_cpus,
            machine.created_at,
        )
    wait_s = round(fetch_s(machine, spec) * (1 + len(fetches - {spec.image})), 1)
    fills = not machine.has_room(spec, 2)
    return (
        is_slow(machine),
        1,
        wait_s,
        used[machine.name] + (not has_replicas),
        pinned_price + fills * machine.price(),
        machine.free_cpus,
        machine.created_at,
    )


def fetch_s(machine: Machine, spec: JobSpec) -> float:
    """Seconds that fetching the job's image takes at worst, if the machine fetches nothing else meanwhile."""
    return spec.image_gb / max(machine.type.fetch_gb_per_s, EPS) * c.FETCH_TIME_FACTOR


def would_pin(machine: Machine, cheapest: float) -> bool:
    """Whether a replica placed there would keep an expensive machine in use on its own, perhaps for hours.

    `cheapest` is the lowest price of a machine that fits the replica.
    """
    return not machine.holds_replicas() and machine.price() > c.MAX_REPLICA_PRICE_FACTOR * cheapest


def is_slow(machine: Machine) -> bool:
    """Whether tasks run slowly on the machine.

    It is slow if the median of the last `SLOW_MACHINE_SAMPLES` tasks took over `SLOW_MACHINE_FACTOR` times its
    estimate.
    """
    recent = machine.pace[-c.SLOW_MACHINE_SAMPLES :]
    return len(recent) >= c.SLOW_MACHINE_SAMPLES and sorted(recent)[len(recent) // 2] > c.SLOW_MACHINE_FACTOR


class Candidates:
    """Machines with room for a job's tasks, best first, kept in order while the tasks are placed.

    A machine's rank changes only by what is placed on it, so it is computed again when the machine comes first: a job
    of many tasks examines every machine once, not once for each task. A machine without room, in a zone that is full,
    or refused by `free` stays so within one round and is dropped.
    """

    def __init__(
        self, job: Job, machines: Iterable[Machine], zones: Iterable[str],
        free: Callable[[Machine], bool], start_s: float,
    ) -> None:  # fmt: skip
        """`free` tells whether the job may use a machine's room; `start_s` is the time in which a task should start."""
        self._job = job
        self._start_s = start_s
        self._free = free
        self._zones = set(zones)
        self._tasks_in_zone = Counter(a.machine.zone for a in job.live.values())
        self._tasks_on = (
            Counter(a.machine.name for a in job.live.values()) if job.spec.kind is Kind.SERVICE else Counter()
        )
        spec = job.spec
        fitting = [
            m
            for m in machines
            if m.has_room(spec) and allowed_on(spec, m.type.name, m.zone, m.spot) and self._zone_allowed(m.zone)
        ]
        self._heap = [(placement_rank(m, job, self._tasks_on, start_s), n, m) for n, m in enumerate(fitting)]
        heapq.heapify(self._heap)

    def _zone_allowed(self, zone: str) -> bool:
        return (zone in self._zones or zone in self._tasks_in_zone) and zone_allowed(
            self._job, self._tasks_in_zone, zone
        )

    def fits(self, machine: Machine) -> bool:
        """Whether one more task of the job may be placed there."""
        spec = self._job.spec
        return (
            machine.has_room(spec) and allowed_on(spec, machine.type.name, machine.zone, machine.spot)
            and self._zone_allowed(machine.zone) and self._free(machine)
        )  # fmt: skip

    def best(self) -> Machine | None:
        """The best machine for the job's next task; None if no machine is left."""
        heap = self._heap
        while heap:
            stored, n, machine = heap[0]
            if not (machine.has_room(self._job.spec) and self._zone_allowed(machine.zone) and self._free(machine)):
                heapq.heappop(heap)
                continue
            present = placement_rank(machine, self._job, self._tasks_on, self._start_s)
            if present == stored:
                return machine
            heapq.heapreplace(heap, (present, n, machine))
        return None

    def placed_on(self, machine: Machine) -> None:
        """Count one task of the job that was placed there."""
        self._tasks_in_zone[machine.zone] += 1
        if self._job.spec.kind is Kind.SERVICE:
            self._tasks_on[machine.name] += 1


def with_room_for_smallest(machines: Iterable[Machine], specs: Iterable[JobSpec]) -> list[Machine]:
    """The machines whose free resources are each at least the least that any of the tasks needs.

    In a full cluster few machines are left to examine.
    """
    cpus, gpus, gb, report_bytes = (least - EPS for least in smallest_size(specs))
    return [
        m for m in machines
        if m.free_cpus >= cpus and m.free_gpus >= gpus and m.free_gb >= gb and m.free_report_bytes >= report_bytes
    ]  # fmt: skip


def choose_zone(job: Job, machines: list[Machine], zones: Iterable[str]) -> str | None:
    """The zone for a job that must stay in one; None if no zone has room.

    It is the zone with slots for the most tasks of the job; among equals the one with the most of these slots on
    machines that hold the image, then the one with the most slots in all.
    """
    room, ready = Counter[str](), Counter[str]()
    for machine in machines:
        if allowed_on(job.spec, machine.type.name, machine.zone, machine.spot):
            count = machine_slots(job, machine)
            room[machine.zone] += count
            ready[machine.zone] += count * machine.holds_image(job.spec)
    tasks = job.spec.tasks
    best = max(zones, key=lambda zone: (min(room[zone], tasks), min(ready[zone], tasks), room[zone]), default=None)
    return best if best is not None and room[best] > 0 else None


def free_together(job: Job, machines: Iterable[Machine]) -> tuple[str, int]:
    """The zone with the most slots for the job's tasks, and their number; "" and all slots if it may use several."""
    room = Counter[str]()
    for machine in machines:
        if allowed_on(job.spec, machine.type.name, machine.zone, machine.spot):
            room[machine.zone if job.spec.one_zone else ""] += machine_slots(job, machine)
    zone = max(sorted(room), key=lambda name: room[name], default="")
    return zone, room[zone]


def machine_slots(job: Job, machine: Machine) -> int:
    """How many tasks of the job fit into what the machine has free."""
    return machine.free_size().slots(task_size(job.spec))
