"""What is done for tasks without a place, in the words of the round that decided it. No I/O, no clock."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.policy import reasons
from pepperlatch.policy.fleet import Bin, Need, Offer
from pepperlatch.policy.model import allowed_on, fits_type
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol.wire import JobSpec, MachineType

Shape = tuple[object, ...]


@dataclass(slots=True)
class Shortage:
    """One round of renting: what was refused, asked for, cut off and coming. Alike jobs are looked at once."""

    types: dict[str, MachineType]
    blocked: dict[Offer, float]  # refused, until when
    asked: set[Offer]
    dark: Iterable[str]
    coming: list[Bin]
    first_up: float | None
    now: float
    _alike: dict[Shape, Reason] = field(default_factory=dict)
    _each: dict[Shape, str] = field(default_factory=dict)
    _coming: Counter[Offer] | None = None  # as many of them are of one kind

    def reason(self, need: Need, wanted: int, after_boot: int, after_finish: int) -> Reason:
        """Of a job's `wanted` tasks: how many were left after what is booting, what will end, and what is asked for.

        The hardest part gives the reason: what nobody can serve, before what is asked for, before what will come.
        """
        spec = need.job.spec
        if need.count > 0:
            return self._for(Why.NO_CAPACITY, need, need.count)
        if after_finish > 0:
            return Reason(Why.ASKING_CLOUD, tasks=wanted, each=self._size(spec))
        if after_boot > 0:
            return Reason(Why.ROOM_SOON, tasks=wanted, each=self._size(spec))
        return self._for(Why.BOOTING, need, wanted)

    def _size(self, spec: JobSpec) -> str:
        key = (spec.cpus, spec.gpus, spec.memory_gb)
        held = self._each.get(key)
        if held is None:
            held = self._each[key] = reasons.each(spec)
        return held

    def _for(self, kind: Why, need: Need, tasks: int) -> Reason:
        spec = need.job.spec
        types = tuple(spec.types) if spec.types is not None else None
        key = (kind, tasks, spec.cpus, spec.gpus, spec.memory_gb, types, spec.zone, spec.spot, need.spot_only)
        held = self._alike.get(key)
        if held is None:
            made = self._unserved(need, tasks) if kind is Why.NO_CAPACITY else self._booting(spec, tasks)
            held = self._alike[key] = made
        return held

    def _booting(self, spec: JobSpec, tasks: int) -> Reason:
        if self._coming is None:
            self._coming = Counter(room.offer for room in self.coming)
        fitting = sum(
            count for offer, count in self._coming.items()
            if allowed_on(spec, offer.type, offer.zone, offer.spot) and fits_type(spec, self.types[offer.type])
        )  # fmt: skip
        return Reason(Why.BOOTING, tasks=tasks, each=self._size(spec), machines=fitting, until=self.first_up)

    def _unserved(self, need: Need, tasks: int) -> Reason:
        spec, size = need.job.spec, self._size(need.job.spec)
        offers = [
            Offer(kind.name, zone, spot)
            for kind in self.types.values() if fits_type(spec, kind)
            for zone in kind.zones for spot in (False, True) if allowed_on(spec, kind.name, zone, spot)
        ]  # fmt: skip
        lit = [offer for offer in offers if offer.zone not in self.dark]
        if offers and not lit:
            return Reason(Why.CUT_OFF, tasks=tasks, each=size, where="zones " + _list(offer.zone for offer in offers))
        open_ = [offer for offer in lit if self.blocked.get(offer, 0.0) <= self.now]
        if need.spot_only and any(not offer.spot for offer in open_):
            return Reason(Why.CHEAP_ROOM, tasks=tasks, each=size)
        if any(offer in self.asked for offer in open_):
            return Reason(Why.ASKING_CLOUD, tasks=tasks, each=size)
        if open_:  # more than is asked for at once
            return Reason(Why.NO_ROOM, tasks=tasks, each=size)
        until = min((self.blocked[offer] for offer in lit), default=None)
        where = f"{_list(offer.type for offer in lit)} in {_list(offer.zone for offer in lit)}"
        return Reason(Why.NO_CAPACITY, tasks=tasks, each=size, where=where, until=until)


def _list(names: Iterable[str]) -> str:
    return ", ".join(dict.fromkeys(names))
