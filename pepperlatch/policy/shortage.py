"""States why tasks have no room and what is done about it, after a round of renting. No I/O, no clock."""

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
    """States the reasons of one round of renting; they are cached, since many jobs need the same."""

    types: dict[str, MachineType]
    blocked_until: dict[Offer, float]  # when a refused offer may be requested again
    requested: set[Offer]  # offers in rent requests without an answer yet
    unreachable_zones: Iterable[str]
    booting: list[Bin]  # machines that are booting or requested
    first_boot_at: float | None  # about when the first of them will be up; None if none boots
    now: float
    _reasons: dict[Shape, Reason] = field(default_factory=dict)
    _sizes: dict[Shape, str] = field(default_factory=dict)
    _booting_counts: Counter[Offer] | None = None  # machines of each offer, counted when first needed

    def reason(self, demand: Demand, wanted: int, after_boot: int, after_finish: int) -> Reason:
        """Why the job's `wanted` tasks wait.

        `after_boot` of them were left after counting on booting machines, `after_finish` after counting also on running
        tasks that end in time, and `demand.count` after renting. The worst part gives the reason: tasks that no offer
        serves, then those for which machines are requested, then those that finishing tasks or booting machines serve.
        """
        spec = demand.job.spec
        if demand.count > 0:
            return self._cached_reason(Why.NO_CAPACITY, demand, demand.count)
        if after_finish > 0:
            return Reason(Why.ASKING_CLOUD, tasks=wanted, each=self._size(spec))
        if after_boot > 0:
            return Reason(Why.ROOM_SOON, tasks=wanted, each=self._size(spec))
        return self._cached_reason(Why.BOOTING, demand, wanted)

    def _size(self, spec: JobSpec) -> str:
        """What one task takes, in words."""
        key = (spec.cpus, spec.gpus, spec.memory_gb)
        cached = self._sizes.get(key)
        if cached is None:
            cached = self._sizes[key] = reasons.task_size_text(spec)
        return cached

    def _cached_reason(self, kind: Why, demand: Demand, tasks: int) -> Reason:
        spec = demand.job.spec
        types = tuple(spec.types) if spec.types is not None else None
        key = (kind, tasks, spec.cpus, spec.gpus, spec.memory_gb, types, spec.zone, spec.spot, demand.spot_only)
        cached = self._reasons.get(key)
        if cached is None:
            made = (
                self._unserved_reason(demand, tasks) if kind is Why.NO_CAPACITY else self._booting_reason(spec, tasks)
            )
            cached = self._reasons[key] = made
        return cached

    def _booting_reason(self, spec: JobSpec, tasks: int) -> Reason:
        """The reason of tasks that wait for booting machines, with the number of these that a task fits on."""
        if self._booting_counts is None:
            self._booting_counts = Counter(room.offer for room in self.booting)
        fitting = sum(
            count for offer, count in self._booting_counts.items()
            if allowed_on(spec, offer.type, offer.zone, offer.spot) and fits_type(spec, self.types[offer.type])
        )  # fmt: skip
        return Reason(Why.BOOTING, tasks=tasks, each=self._size(spec), machines=fitting, until=self.first_boot_at)

    def _unserved_reason(self, demand: Demand, tasks: int) -> Reason:
        """Why no machine could be requested for the tasks."""
        spec, size = demand.job.spec, self._size(demand.job.spec)
        offers = [
            Offer(kind.name, zone, spot)
            for kind in self.types.values() if fits_type(spec, kind)
            for zone in kind.zones for spot in (False, True) if allowed_on(spec, kind.name, zone, spot)
        ]  # fmt: skip
        reachable = [offer for offer in offers if offer.zone not in self.unreachable_zones]
        if offers and not reachable:
            return Reason(Why.CUT_OFF, tasks=tasks, each=size, where="zones " + _list(offer.zone for offer in offers))
        open_ = [offer for offer in reachable if self.blocked_until.get(offer, 0.0) <= self.now]
        if demand.spot_only and any(not offer.spot for offer in open_):
            return Reason(Why.CHEAP_ROOM, tasks=tasks, each=size)
        if any(offer in self.requested for offer in open_):
            return Reason(Why.ASKING_CLOUD, tasks=tasks, each=size)
        if open_:  # more machines are needed than one round requests
            return Reason(Why.NO_ROOM, tasks=tasks, each=size)
        until = min((self.blocked_until[offer] for offer in reachable), default=None)
        where = f"{_list(offer.type for offer in reachable)} in {_list(offer.zone for offer in reachable)}"
        return Reason(Why.NO_CAPACITY, tasks=tasks, each=size, where=where, until=until)


def _list(names: Iterable[str]) -> str:
    return ", ".join(dict.fromkeys(names))
