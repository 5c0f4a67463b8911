"""What is done for tasks without a place, in the words of the round that decided it. No I/O, no clock."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.policy import reasons
from pepperlatch.policy.fleet import Bin, Demand, Offer
from pepperlatch.policy.model import allowed_on, fits_type
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol.wire import JobSpec, MachineType

Shape = tuple[object, ...]


@dataclass(slots=True)
class ShortageExplainer:
    """One round of renting: what was refused, asked for, cut off and coming. Alike jobs are looked at once."""

    types: dict[str, MachineType]
    blocked_until: dict[Offer, float]  # refused, until when
    requested: set[Offer]
    unreachable_zones: Iterable[str]
    booting: list[Bin]
    first_boot_at: float | None
    now: float
    _reasons: dict[Shape, Reason] = field(default_factory=dict)
    _sizes: dict[Shape, str] = field(default_factory=dict)
    _booting_counts: Counter[Offer] | None = None  # as many of them are of one kind

    def reason(self, demand: Demand, wanted: int, after_boot: int, after_finish: int) -> Reason:
        """Of a job's `wanted` tasks: how many were left after what is booting, what will end, and what is asked for.

        The hardest part gives the reason: what nobody can serve, before what is asked for, before what will come.
        """
        spec = demand.job.spec
        if demand.count > 0:
            return self._cached_reason(Why.CAPACITY, demand, demand.count)
        if after_finish > 0:
            return Reason(Why.ASKED, tasks=wanted, each=self._size(spec))
        if after_boot > 0:
            return Reason(Why.FINISHING, tasks=wanted, each=self._size(spec))
        return self._cached_reason(Why.BOOTING, demand, wanted)

    def _size(self, spec: JobSpec) -> str:
        key = (spec.cpus, spec.gpus, spec.memory_gb)
        cached = self._sizes.get(key)
        if cached is None:
            cached = self._sizes[key] = reasons.each(spec)
        return cached

    def _cached_reason(self, kind: Why, demand: Demand, tasks: int) -> Reason:
        spec = demand.job.spec
        types = tuple(spec.types) if spec.types is not None else None
        key = (kind, tasks, spec.cpus, spec.gpus, spec.memory_gb, types, spec.zone, spec.spot, demand.spot_only)
        cached = self._reasons.get(key)
        if cached is None:
            made = self._unserved_reason(demand, tasks) if kind is Why.CAPACITY else self._booting_reason(spec, tasks)
            cached = self._reasons[key] = made
        return cached

    def _booting_reason(self, spec: JobSpec, tasks: int) -> Reason:
        if self._booting_counts is None:
            self._booting_counts = Counter(room.offer for room in self.booting)
        fitting = sum(
            count for offer, count in self._booting_counts.items()
            if allowed_on(spec, offer.type, offer.zone, offer.spot) and fits_type(spec, self.types[offer.type])
        )  # fmt: skip
        return Reason(Why.BOOTING, tasks=tasks, each=self._size(spec), machines=fitting, until=self.first_boot_at)

    def _unserved_reason(self, demand: Demand, tasks: int) -> Reason:
        spec, size = demand.job.spec, self._size(demand.job.spec)
        offers = [
            Offer(kind.name, zone, spot)
            for kind in self.types.values() if fits_type(spec, kind)
            for zone in kind.zones for spot in (False, True) if allowed_on(spec, kind.name, zone, spot)
        ]  # fmt: skip
        reachable = [offer for offer in offers if offer.zone not in self.unreachable_zones]
        if offers and not reachable:
            return Reason(Why.DARK, tasks=tasks, each=size, where="zones " + _list(offer.zone for offer in offers))
        open_ = [offer for offer in reachable if self.blocked_until.get(offer, 0.0) <= self.now]
        if demand.spot_only and any(not offer.spot for offer in open_):
            return Reason(Why.THRIFT, tasks=tasks, each=size)
        if any(offer in self.requested for offer in open_):
            return Reason(Why.ASKED, tasks=tasks, each=size)
        if open_:  # more than is asked for at once
            return Reason(Why.NO_ROOM, tasks=tasks, each=size)
        until = min((self.blocked_until[offer] for offer in reachable), default=None)
        where = f"{_list(offer.type for offer in reachable)} in {_list(offer.zone for offer in reachable)}"
        return Reason(Why.CAPACITY, tasks=tasks, each=size, where=where, until=until)


def _list(names: Iterable[str]) -> str:
    return ", ".join(dict.fromkeys(names))
