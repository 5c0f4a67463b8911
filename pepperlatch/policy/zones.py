"""What the leader makes of each zone, from how many of its machines fell silent and whether its controllers answer.

A pure state machine over evidence; no I/O, no clock. It proves nothing: that a task of a lost zone is gone is proven as
for any other (`docs/safety.md`). It decides what is worth doing while the zone is away (`docs/zones.md`).
"""

from dataclasses import dataclass, field
from enum import Enum

from pepperlatch.constants import zones as c


class State(Enum):
    WHOLE = "whole"
    DOUBTFUL = "doubtful"  # most machines are silent, but a controller there answers
    CUT = "cut off"  # most machines are silent, and nobody there answers
    BACK = "coming back"


@dataclass(frozen=True, slots=True)
class Seen:
    """`answers`: whether a controller of the zone answers, ours included; None if it has none."""

    up: int
    silent: int
    answers: bool | None

    def most(self) -> bool:
        share = c.CUT_SILENT_SHARE_WITHOUT_CONTROLLER if self.answers is None else c.CUT_SILENT_SHARE
        return self.up >= c.MIN_MACHINES and self.silent >= share * self.up

    def few(self) -> bool:
        return self.silent < c.RECOVERED_SILENT_SHARE * self.up


@dataclass(slots=True)
class Zone:
    state: State = State.WHOLE
    since: float = float("-inf")  # of this state
    cut_at: float = float("-inf")  # since when it is, or was last, cut off
    told_at: float = float("-inf")  # when a machine of ours there last told anything

    def look(self, seen: Seen, now: float) -> bool:
        """Take in what is seen; whether the state changed."""
        if seen.up:
            self.told_at = now
        after = self._next(seen, now)
        if after is self.state:
            return False
        if after is State.CUT and now - self.cut_at > c.CUT_KEEP_S:
            self.cut_at = now  # one that flaps is one cut
        self.state, self.since = after, now
        return True

    def _next(self, seen: Seen, now: float) -> State:
        if self.state is State.CUT:
            return self._next_of_cut(seen, now)
        if seen.most() and seen.answers is not True:
            return State.CUT
        if self.state is State.BACK:
            return State.BACK if now - self.since < c.RECOVERY_S else State.WHOLE
        if seen.most() or (self.state is State.DOUBTFUL and not seen.few()):
            return State.DOUBTFUL
        return State.WHOLE

    def _next_of_cut(self, seen: Seen, now: float) -> State:
        if not seen.up:  # nothing of ours is there to tell: it is tried again after a while
            return State.CUT if now - self.told_at < c.EMPTY_ZONE_RETRY_S else State.WHOLE
        return State.BACK if seen.few() or (seen.answers is True and not seen.most()) else State.CUT


@dataclass(slots=True)
class Zones:
    of: dict[str, Zone] = field(default_factory=dict)

    def look(self, name: str, seen: Seen, now: float) -> State | None:
        """The zone's new state, if it changed."""
        zone = self.of.setdefault(name, Zone())
        return zone.state if zone.look(seen, now) else None

    def cut(self, name: str) -> bool:
        zone = self.of.get(name)
        return zone is not None and zone.state is State.CUT

    def dark(self, now: float) -> set[str]:
        """Where nothing is rented: it would cost and not report."""
        return {
            name for name, zone in self.of.items()
            if zone.state is State.CUT
            or (zone.state is State.DOUBTFUL and now - zone.since >= c.DOUBTFUL_STOP_RENTING_S)
        }  # fmt: skip

    def kept(self, name: str, now: float) -> bool:
        """Whether its machines are kept, silent and idle as they are: most cuts end before others would be up."""
        zone = self.of.get(name)
        if zone is None or zone.state not in (State.CUT, State.BACK):
            return False
        if zone.state is State.BACK:  # one that died meanwhile must not hold up what waits for all to be accounted for
            return now - zone.since < c.RECOVERY_KEEP_S
        return now - zone.cut_at < c.CUT_KEEP_S
