"""Chooses which machines to rent for waiting tasks, by packing the tasks into bins. No I/O, no clock."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pepperlatch.constants import core as c
from pepperlatch.policy.model import EPS, Job, Size, allowed_on, fits_type, machine_size, smallest_size, task_size
from pepperlatch.protocol.wire import JobSpec, Kind, MachineType


@dataclass(frozen=True, slots=True)
class Offer:
    """What the cloud rents out: a machine type in a zone, as a spot or an ordinary machine."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class Demand:
    """Tasks of one job that found no room; `count` shrinks as they are assigned to machines."""

    job: Job
    count: int
    tasks_per_zone: dict[str, int] = field(default_factory=dict)  # tasks per zone, placed or planned
    spot_only: bool = False  # the job waits for spot machines for now
    tasks_per_slot: int = 1  # tasks that one slot can run one after the other before the job is late
    free_together: tuple[str, int] | None = None  # for gangs: the zone with most free slots at once, and how many


@dataclass(slots=True, eq=False)
class Bin:
    """The room left on a machine that is booting or that might be rented."""

    offer: Offer
    free: Size

    def slots(self, spec: JobSpec) -> int:
        """How many tasks of the job fit."""
        return self.free.slots(task_size(spec))

    def is_full(self, least: Size) -> bool:
        """Whether not even a task of size `least` fits.

        A machine whose GPUs are taken may have CPUs left that no task ever uses.
        """
        return not self.free.holds(least)

    def take(self, demand: Demand) -> tuple[int, int]:
        """Use room for as many tasks of the demand as possible; returns their number and how many run at once.

        The demand itself is not changed.
        """
        spec = demand.job.spec
        if (
            demand.count <= 0
            or (demand.spot_only and not self.offer.spot)
            or not allowed_on(spec, self.offer.type, self.offer.zone, self.offer.spot)
        ):
            return 0, 0
        count = min(demand.count, self.slots(spec) * demand.tasks_per_slot, zone_capacity(demand, self.offer.zone))
        if count <= 0:
            return 0, 0
        slots = -(-count // demand.tasks_per_slot)
        self.free = self.free.plus(task_size(spec), -slots)
        return count, slots

    def fill(self, demands: Iterable[Demand], least: Size) -> None:
        """Assign as many tasks of the demands as possible to this bin; none is smaller than `least`."""
        for demand in self._fitting(demands, least):
            count, _ = self.take(demand)
            if count:
                demand.count -= count
                demand.tasks_per_zone[self.offer.zone] = demand.tasks_per_zone.get(self.offer.zone, 0) + count

    def would_take(self, demands: Iterable[Demand], least: Size) -> float:
        """The number of CPUs and GPUs that `fill` would put to use. The bin is used up, the demands are unchanged."""
        taken = 0.0
        for demand in self._fitting(demands, least):
            _, slots = self.take(demand)
            taken += slots * (demand.job.spec.cpus + demand.job.spec.gpus)
        return taken

    def _fitting(self, demands: Iterable[Demand], least: Size) -> Iterator[Demand]:
        """The demands of which a task fits by size, given the room left when each is reached.

        Hundreds of machines boot while hundreds of jobs wait, and most pairs do not fit: finding that out by `take`
        took half of a leader's time.
        """
        if self.is_full(least):
            return
        free = self.free
        cpus, gpus, memory_gb, _ = free
        for demand in demands:
            spec = demand.job.spec
            if (
                demand.count <= 0 or spec.cpus > cpus + EPS or spec.gpus > gpus + EPS
                or spec.memory_gb > memory_gb + EPS
            ):  # fmt: skip
                continue
            yield demand
            if self.free is not free:
                if self.is_full(least):
                    return
                free = self.free
                cpus, gpus, memory_gb, _ = free


def fill_all(bins: Iterable[Bin], demands: list[Demand], least: Size) -> None:
    """Assign the demands to each bin in turn.

    Bins like one that took nothing are skipped: demands only shrink.
    """
    unwanted: set[tuple[Offer, Size]] = set()
    for room in bins:
        free = room.free
        if (room.offer, free) not in unwanted:
            room.fill(demands, least)
            if room.free == free:
                unwanted.add((room.offer, free))


def zone_capacity(demand: Demand, zone: str) -> int:
    """How many more tasks of the demand the zone may hold, by the job's rules on zones."""
    spec = demand.job.spec
    if spec.one_zone and demand.tasks_per_zone and zone not in demand.tasks_per_zone:
        return 0
    return (spec.tasks + 1) // 2 - demand.tasks_per_zone.get(zone, 0) if spec.spread else demand.count


def empty_bin(offer: Offer, kind: MachineType) -> Bin:
    """The bin of a machine of this offer on which nothing runs."""
    return Bin(offer, machine_size(kind))


def price_of(offer: Offer, kind: MachineType) -> float:
    """The present price of the offer's machine."""
    return kind.spot_price if offer.spot else kind.price


def available_offers(types: Iterable[MachineType], blocked: set[Offer]) -> list[tuple[Offer, MachineType]]:
    """Every offer of these machine types that is not blocked, each with its type."""
    offers = [(Offer(t.name, zone, spot), t) for t in types for zone in t.zones for spot in (False, True)]
    return [(offer, kind) for offer, kind in offers if offer not in blocked]


def choose_offers(demands: list[Demand], types: list[MachineType], blocked: set[Offer], most: int) -> list[Offer]:
    """The machines to rent until every demand is assigned, at most `most`: the cheapest for each CPU or GPU put to use.

    The demands' counts shrink by what is assigned. A demand that no available offer fits is left over.
    """
    chosen: list[Offer] = []
    open_offers = available_offers(types, blocked)
    least = smallest_task(demands)
    urgent = any(d.job.spec.kind is Kind.SERVICE or d.job.due_at is not None for d in demands if d.count > 0)
    for demand in demands:
        while demand.count > 0 and len(chosen) < most:
            candidates = _candidates(demand, open_offers)
            if not candidates:
                break
            open_demands = [d for d in demands if d.count > 0]
            offer, kind = min(candidates, key=lambda pair: _score(pair[0], pair[1], open_demands, urgent, least))
            chosen += [offer] * _fill(offer, kind, demand, open_demands, most - len(chosen), least)
    return chosen


def smallest_task(demands: Iterable[Demand]) -> Size:
    """The smallest amount of each resource that any of the tasks needs."""
    return smallest_size(demand.job.spec for demand in demands)


def _fill(offer: Offer, kind: MachineType, demand: Demand, demands: list[Demand], most: int, least: Size) -> int:
    """Assign the demands to machines of the offer, as many as the first demand fills; returns their number."""
    first = empty_bin(offer, kind)
    per_machine = first.slots(demand.job.spec) * demand.tasks_per_slot
    first.fill([demand, *demands], least)
    count = 1
    while (
        count < most
        and per_machine > 0
        and demand.count >= per_machine
        and zone_capacity(demand, offer.zone) >= per_machine
    ):
        empty_bin(offer, kind).fill([demand, *demands], least)
        count += 1
    return count


def _candidates(demand: Demand, open_offers: list[tuple[Offer, MachineType]]) -> list[tuple[Offer, MachineType]]:
    spec = demand.job.spec
    return [
        (offer, kind) for offer, kind in open_offers
        if (offer.spot or not demand.spot_only) and fits_type(spec, kind)
        and allowed_on(spec, kind.name, offer.zone, offer.spot) and zone_capacity(demand, offer.zone) > 0
    ]  # fmt: skip


def _score(offer: Offer, kind: MachineType, demands: list[Demand], urgent: bool, least: Size) -> float:
    """Price for each CPU or GPU put to use; if something is urgent, higher for types that boot slowly."""
    taken = empty_bin(offer, kind).would_take(demands, least)
    return price_of(offer, kind) / max(taken, EPS) * (1 + (kind.boot_s / c.BOOT_PRICE_DOUBLING_S if urgent else 0))
