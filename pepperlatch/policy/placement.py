"""Where a task goes: a machine that has or is fetching the image, then the fullest that fits."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable

from pepperlatch.constants import core as c
from pepperlatch.policy.model import EPS, Job, Machine, Status, allowed_on
from pepperlatch.protocol.wire import JobSpec, Kind


def usable(machine: Machine, now: float, fresh_s: float) -> bool:
    """Takes new tasks: up, recorded, reached lately, in a session that lasts, not on its way out.

    What only others hear of can neither be answered nor commanded: a launch sent there is held, and comes late. What
    reports and hears nothing loses what it is given with its lease, and is empty again: it would draw task after task.
    So does what answers us and reaches no controller itself: only answers to its reports prolong its lease.
    """
    return (
        machine.status is Status.UP
        and machine.draining is None
        and not machine.quarantined
        and machine.notice_at is None
        and machine.session > machine.over_session
        and now - machine.reached_at <= fresh_s
        and now - machine.beat_at <= c.OWN_HEARTBEAT_FACTOR * fresh_s
        and machine.unheard < c.MAX_LOST_LAUNCH_ANSWERS
    )


def zone_bound(job: Job) -> int:
    """How many tasks of the job one zone may hold."""
    return (job.spec.tasks + 1) // 2 if job.spec.spread else job.spec.tasks


def zone_open(job: Job, used: Counter[str], zone: str) -> bool:
    """Whether one more task of the job may start there, given the zones of its other tasks.

    Both conditions hold at once: an array that wants one zone and half its tasks apart runs so many at a time.
    """
    if job.spec.one_zone and used and (len(used) > 1 or zone not in used):
        return False
    return used[zone] < zone_bound(job)


def zones_open(job: Job, zones: Iterable[str]) -> list[str]:
    """Zones where one more task of the job may start."""
    used = Counter(a.machine.zone for a in job.live.values())
    return [zone for zone in zones if zone_open(job, used, zone)]


def rank(machine: Machine, job: Job, used: Counter[str], start_s: float) -> tuple[float, ...]:
    """Smaller is better; first of all that a task starts within `start_s`, which a long fetch prevents.

    Tasks that may use spot machines go there before they go where their image is: they cost a third there,
    and leave the images on ordinary machines to replicas, which may only run on those. Of ordinary machines they
    take those that replicas keep anyway: the others get empty sooner, and are returned. Among these the
    smallest type comes first: what is larger may be all that another job's tasks fit on. Replicas go where
    the image is, to machines that other replicas hold already (else to a cheap one: they stay long and must
    not pin a large machine), and apart from their siblings, so that one loss costs least. Those that must
    fetch their image do so each on a machine of its own that keeps room for more: together they would fill
    the machines that hold an image, and the next service with it would find no room there.
    """
    spec = job.spec
    fetches = machine.fetches() if not machine.holds_image(spec) else frozenset()
    image = 0 if machine.holds_image(spec) else 1 if spec.image in fetches else 3 if fetches else 2
    late = image > 1 and fetch_s(machine, spec) * (1 + len(fetches)) > start_s
    kind = machine.spot != spec.spot
    if spec.kind is not Kind.SERVICE:
        size = machine.type.cpus + machine.type.gpus
        empties = kind and not machine.spot and not machine.kept()
        return (is_slow(machine), late, kind, empties, size, image, machine.free_cpus, machine.born)
    home = machine.holds_replicas()
    pins = machine.price() if not home else 0.0
    if image == 0:
        return (is_slow(machine), image, pins, used[machine.name], kind, machine.free_cpus, machine.born)
    wait_s = round(fetch_s(machine, spec) * (1 + len(fetches - {spec.image})), 1)
    last = not machine.has_room(spec, 2)
    return (
        is_slow(machine),
        1,
        wait_s,
        used[machine.name] + (not home),
        pins + last * machine.price(),
        machine.free_cpus,
        machine.born,
    )


def fetch_s(machine: Machine, spec: JobSpec) -> float:
    """How long the image takes at worst, with the machine's rate for itself."""
    return spec.image_gb / max(machine.type.fetch_gb_per_s, EPS) * c.FETCH_TIME_FACTOR


def pinned(machine: Machine, cheapest: float) -> bool:
    """Whether a replica would be the one for which a dear machine is kept, perhaps for hours."""
    return not machine.holds_replicas() and machine.price() > c.MAX_REPLICA_PRICE_FACTOR * cheapest


def is_slow(machine: Machine) -> bool:
    recent = machine.pace[-c.SLOW_MACHINE_SAMPLES :]
    return len(recent) >= c.SLOW_MACHINE_SAMPLES and sorted(recent)[len(recent) // 2] > c.SLOW_MACHINE_FACTOR


class Candidates:
    """Usable machines with room for a job's tasks, best first, kept in order while the tasks are placed.

    A machine's rank changes only by what is placed on it, so it is looked at again when it comes first:
    a job of many tasks looks at every machine once, not once a task. A machine that has no room, is in a
    zone that is full, or whose room is kept free stays so within one round and is dropped.
    """

    def __init__(
        self, job: Job, machines: Iterable[Machine], zones: Iterable[str],
        free: Callable[[Machine], bool], start_s: float,
    ) -> None:  # fmt: skip
        self._job = job
        self._start_s = start_s
        self._free = free
        self._zones = set(zones)
        self._in_zone = Counter(a.machine.zone for a in job.live.values())
        self._on = Counter(a.machine.name for a in job.live.values()) if job.spec.kind is Kind.SERVICE else Counter()
        spec = job.spec
        fitting = [
            m
            for m in machines
            if m.has_room(spec) and allowed_on(spec, m.type.name, m.zone, m.spot) and self._open(m.zone)
        ]
        self._heap = [(rank(m, job, self._on, start_s), n, m) for n, m in enumerate(fitting)]
        heapq.heapify(self._heap)

    def _open(self, zone: str) -> bool:
        return (zone in self._zones or zone in self._in_zone) and zone_open(self._job, self._in_zone, zone)

    def fits(self, machine: Machine) -> bool:
        spec = self._job.spec
        return (
            machine.has_room(spec) and allowed_on(spec, machine.type.name, machine.zone, machine.spot)
            and self._open(machine.zone) and self._free(machine)
        )  # fmt: skip

    def best(self) -> Machine | None:
        heap = self._heap
        while heap:
            held, n, machine = heap[0]
            if not (machine.has_room(self._job.spec) and self._open(machine.zone) and self._free(machine)):
                heapq.heappop(heap)
                continue
            present = rank(machine, self._job, self._on, self._start_s)
            if present == held:
                return machine
            heapq.heapreplace(heap, (present, n, machine))
        return None

    def took(self, machine: Machine) -> None:
        """One task of the job was placed there."""
        self._in_zone[machine.zone] += 1
        if self._job.spec.kind is Kind.SERVICE:
            self._on[machine.name] += 1


def roomy(machines: Iterable[Machine], specs: Iterable[JobSpec]) -> list[Machine]:
    """Machines with room for the smallest of the tasks at least; in a full cluster few are left to look at."""
    specs = list(specs)
    cpus, gpus, gb = (
        min((getattr(s, name) for s in specs), default=0.0) - EPS for name in ("cpus", "gpus", "memory_gb")
    )
    return [m for m in machines if m.free_cpus >= cpus and m.free_gpus >= gpus and m.free_gb >= gb]


def choose_zone(job: Job, machines: list[Machine], zones: Iterable[str]) -> str | None:
    """For jobs that must stay in one zone: where most of their tasks find a place, then the image, then room."""
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
    """The zone with the most places for the job's tasks, and how many; "" and all of them if it may be in several."""
    room = Counter[str]()
    for machine in machines:
        if allowed_on(job.spec, machine.type.name, machine.zone, machine.spot):
            room[machine.zone if job.spec.one_zone else ""] += machine_slots(job, machine)
    zone = max(sorted(room), key=lambda name: room[name], default="")
    return zone, room[zone]


def machine_slots(job: Job, machine: Machine) -> int:
    spec = job.spec
    pairs = ((spec.cpus, machine.free_cpus), (spec.gpus, machine.free_gpus), (spec.memory_gb, machine.free_gb))
    return max(0, min((int((free + EPS) // need) for need, free in pairs if need > 0), default=spec.tasks))
