"""Which machines to rent for waiting tasks, and which idle ones to return. No I/O, no clock."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pepperlatch.constants import core as c
from pepperlatch.policy.model import EPS, Job, allowed_on, fits_type
from pepperlatch.protocol.wire import JobSpec, Kind, MachineType

Size = tuple[float, float, float]  # CPUs, GPUs, GB


@dataclass(frozen=True, slots=True)
class Offer:
    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class Need:
    """Tasks of one job that have no place."""

    job: Job
    count: int
    spread: dict[str, int] = field(default_factory=dict)  # tasks per zone, placed or planned
    spot_only: bool = False  # not worth a dearer machine yet
    turns: int = 1  # tasks that one place can run one after the other before the job is late
    free: tuple[str, int] | None = None  # of a gang: where most of its places are free together, and how many


@dataclass(slots=True, eq=False)
class Bin:
    """Room of a machine that is booting, or that might be rented."""

    offer: Offer
    cpus: float
    gpus: float
    memory_gb: float

    def slots(self, spec: JobSpec) -> int:
        pairs = ((spec.cpus, self.cpus), (spec.gpus, self.gpus), (spec.memory_gb, self.memory_gb))
        return max(0, min((int((free + EPS) // need) for need, free in pairs if need > 0), default=spec.tasks))

    def full(self, least: Size) -> bool:
        """Whether not even the smallest task fits: on a machine whose cards are taken CPUs may be left for ever."""
        cpus, gpus, memory_gb = least
        return self.cpus < cpus - EPS or self.gpus < gpus - EPS or self.memory_gb < memory_gb - EPS

    def take(self, need: Need) -> tuple[int, int]:
        """Use room for as many of the needed tasks as possible: their count, and how many at once."""
        spec = need.job.spec
        if (
            need.count <= 0
            or (need.spot_only and not self.offer.spot)
            or not allowed_on(spec, self.offer.type, self.offer.zone, self.offer.spot)
        ):
            return 0, 0
        count = min(need.count, self.slots(spec) * need.turns, zone_room(need, self.offer.zone))
        if count <= 0:
            return 0, 0
        places = -(-count // need.turns)
        self.cpus -= places * spec.cpus
        self.gpus -= places * spec.gpus
        self.memory_gb -= places * spec.memory_gb
        return count, places

    def fill(self, needs: Iterable[Need], least: Size) -> None:
        """Put as many needed tasks as possible here; none is smaller than `least`."""
        for need in self._fitting(needs, least):
            count, _ = self.take(need)
            if count:
                need.count -= count
                need.spread[self.offer.zone] = need.spread.get(self.offer.zone, 0) + count

    def would_take(self, needs: Iterable[Need], least: Size) -> float:
        """The CPUs (and GPUs) that `fill` would put to use; uses up this room only."""
        taken = 0.0
        for need in self._fitting(needs, least):
            _, places = self.take(need)
            taken += places * (need.job.spec.cpus + need.job.spec.gpus)
        return taken

    def _fitting(self, needs: Iterable[Need], least: Size) -> Iterator[Need]:
        """Those that a task of fits here by size, as the room stands when it is their turn.

        Hundreds of machines boot while hundreds of jobs wait, and most pairs do not fit: half of a leader's time went
        into finding that out by `take` (the lab's days).
        """
        if self.full(least):
            return
        cpus, gpus, memory_gb = self.cpus, self.gpus, self.memory_gb
        for need in needs:
            spec = need.job.spec
            if (
                need.count <= 0 or spec.cpus > cpus + EPS or spec.gpus > gpus + EPS
                or spec.memory_gb > memory_gb + EPS
            ):  # fmt: skip
                continue
            yield need
            if (cpus, gpus, memory_gb) != (self.cpus, self.gpus, self.memory_gb):
                if self.full(least):
                    return
                cpus, gpus, memory_gb = self.cpus, self.gpus, self.memory_gb


def fill_all(bins: Iterable[Bin], needs: list[Need], least: Size) -> None:
    """Put needed tasks into each in turn. Who took nothing tells for all that are alike: needs only shrink."""
    unwanted: set[tuple[Offer, Size]] = set()
    for room in bins:
        size = (room.cpus, room.gpus, room.memory_gb)
        if (room.offer, size) not in unwanted:
            room.fill(needs, least)
            if (room.cpus, room.gpus, room.memory_gb) == size:
                unwanted.add((room.offer, size))


def zone_room(need: Need, zone: str) -> int:
    spec = need.job.spec
    if spec.one_zone and need.spread and zone not in need.spread:
        return 0
    return (spec.tasks + 1) // 2 - need.spread.get(zone, 0) if spec.spread else need.count


def bin_of(offer: Offer, kind: MachineType) -> Bin:
    return Bin(offer, kind.cpus, kind.gpus, kind.memory_gb)


def price_of(offer: Offer, kind: MachineType) -> float:
    return kind.spot_price if offer.spot else kind.price


def offers(types: Iterable[MachineType], blocked: set[Offer]) -> list[tuple[Offer, MachineType]]:
    every = [(Offer(t.name, zone, spot), t) for t in types for zone in t.zones for spot in (False, True)]
    return [(offer, kind) for offer, kind in every if offer not in blocked]


def choose(needs: list[Need], types: list[MachineType], blocked: set[Offer], most: int) -> list[Offer]:
    """The cheapest machines, by price for what they would be used, until every need has a place."""
    chosen: list[Offer] = []
    open_offers = offers(types, blocked)
    least = smallest(needs)
    urgent = any(n.job.spec.kind is Kind.SERVICE or n.job.due_at is not None for n in needs if n.count > 0)
    for need in needs:
        while need.count > 0 and len(chosen) < most:
            candidates = _candidates(need, open_offers)
            if not candidates:
                break
            open_needs = [n for n in needs if n.count > 0]
            offer, kind = min(candidates, key=lambda pair: _score(pair[0], pair[1], open_needs, urgent, least))
            chosen += [offer] * _fill(offer, kind, need, open_needs, most - len(chosen), least)
    return chosen


def smallest(needs: Iterable[Need]) -> Size:
    """In each resource the least that any of the tasks takes."""
    specs = [need.job.spec for need in needs]
    return (
        min((s.cpus for s in specs), default=0.0), min((s.gpus for s in specs), default=0.0),
        min((s.memory_gb for s in specs), default=0.0),
    )  # fmt: skip


def _fill(offer: Offer, kind: MachineType, need: Need, needs: list[Need], most: int, least: Size) -> int:
    """Put needs into machines of the offer: at once as many as the first need fills; how many machines."""
    first = bin_of(offer, kind)
    held = first.slots(need.job.spec) * need.turns
    first.fill([need, *needs], least)
    count = 1
    while count < most and held > 0 and need.count >= held and zone_room(need, offer.zone) >= held:
        bin_of(offer, kind).fill([need, *needs], least)
        count += 1
    return count


def _candidates(need: Need, open_offers: list[tuple[Offer, MachineType]]) -> list[tuple[Offer, MachineType]]:
    spec = need.job.spec
    return [
        (offer, kind) for offer, kind in open_offers
        if (offer.spot or not need.spot_only) and fits_type(spec, kind)
        and allowed_on(spec, kind.name, offer.zone, offer.spot) and zone_room(need, offer.zone) > 0
    ]  # fmt: skip


def _score(offer: Offer, kind: MachineType, needs: list[Need], urgent: bool, least: Size) -> float:
    """Price per CPU put to use, a little more for types that boot slowly."""
    taken = bin_of(offer, kind).would_take(needs, least)
    return price_of(offer, kind) / max(taken, EPS) * (1 + (kind.boot_s / c.BOOT_PRICE_DOUBLING_S if urgent else 0))
