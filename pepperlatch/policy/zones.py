"""What the leader makes of each zone, from how many of its machines fell silent and whether its controllers answer.

A pure state machine over evidence; no I/O, no clock. It proves nothing: that a task of a lost zone is gone is proven as
for any other (`docs/safety.md`). It decides what is worth doing while the zone is away (`docs/zones.md`).
"""

from dataclasses import dataclass, field
from enum import Enum

from pepperlatch.constants import zones as c


class ZoneState(Enum):
    REACHABLE = "whole"
    DOUBTFUL = "doubtful"  # most machines are silent, but a controller there answers
    PARTITIONED = "cut off"  # most machines are silent, and nobody there answers
    RECOVERING = "coming back"


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """`answers`: whether a controller of the zone answers, ours included; None if it has none."""

    up: int
    silent: int
    controller_answers: bool | None

    def mostly_silent(self) -> bool:
        share = c.SILENT_SHARE_ALONE if self.controller_answers is None else c.SILENT_SHARE
        return self.up >= c.MACHINES_LEAST and self.silent >= share * self.up

    def mostly_reporting(self) -> bool:
        return self.silent < c.BACK_SHARE * self.up


@dataclass(slots=True)
class Zone:
    state: ZoneState = ZoneState.REACHABLE
    since: float = float("-inf")  # of this state
    partitioned_at: float = float("-inf")  # since when it is, or was last, cut off
    last_up_at: float = float("-inf")  # when a machine of ours there last told anything

    def observe(self, observation: ZoneObservation, now: float) -> bool:
        """Take in what is seen; whether the state changed."""
        if observation.up:
            self.last_up_at = now
        next_state = self._next(observation, now)
        if next_state is self.state:
            return False
        if next_state is ZoneState.PARTITIONED and now - self.partitioned_at > c.KEEP_S:
            self.partitioned_at = now  # one that flaps is one cut
        self.state, self.since = next_state, now
        return True

    def _next(self, observation: ZoneObservation, now: float) -> ZoneState:
        if self.state is ZoneState.PARTITIONED:
            return self._next_when_partitioned(observation, now)
        if observation.mostly_silent() and observation.controller_answers is not True:
            return ZoneState.PARTITIONED
        if self.state is ZoneState.RECOVERING:
            return ZoneState.RECOVERING if now - self.since < c.BACK_S else ZoneState.REACHABLE
        if observation.mostly_silent() or (self.state is ZoneState.DOUBTFUL and not observation.mostly_reporting()):
            return ZoneState.DOUBTFUL
        return ZoneState.REACHABLE

    def _next_when_partitioned(self, observation: ZoneObservation, now: float) -> ZoneState:
        if not observation.up:  # nothing of ours is there to tell: it is tried again after a while
            return ZoneState.PARTITIONED if now - self.last_up_at < c.TRY_AGAIN_S else ZoneState.REACHABLE
        return (
            ZoneState.RECOVERING
            if observation.mostly_reporting()
            or (observation.controller_answers is True and not observation.mostly_silent())
            else ZoneState.PARTITIONED
        )


@dataclass(slots=True)
class ZoneTracker:
    by_name: dict[str, Zone] = field(default_factory=dict)

    def observe(self, name: str, observation: ZoneObservation, now: float) -> ZoneState | None:
        """The zone's new state, if it changed."""
        zone = self.by_name.setdefault(name, Zone())
        return zone.state if zone.observe(observation, now) else None

    def partitioned(self, name: str) -> bool:
        zone = self.by_name.get(name)
        return zone is not None and zone.state is ZoneState.PARTITIONED

    def unreachable(self, now: float) -> set[str]:
        """Where nothing is rented: it would cost and not report."""
        return {
            name for name, zone in self.by_name.items()
            if zone.state is ZoneState.PARTITIONED
            or (zone.state is ZoneState.DOUBTFUL and now - zone.since >= c.DOUBT_S)
        }  # fmt: skip

    def keeps_machines(self, name: str, now: float) -> bool:
        """Whether its machines are kept, silent and idle as they are: most cuts end before others would be up."""
        zone = self.by_name.get(name)
        if zone is None or zone.state not in (ZoneState.PARTITIONED, ZoneState.RECOVERING):
            return False
        if zone.state is ZoneState.RECOVERING:
            # A machine that died meanwhile must not hold up what waits for all machines to be accounted for.
            return now - zone.since < c.BACK_KEEP_S
        return now - zone.partitioned_at < c.KEEP_S
