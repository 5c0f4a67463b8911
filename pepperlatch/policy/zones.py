"""The leader's estimate of each zone's state, from how many machines are silent and whether its controllers answer.

A state machine over observations; no I/O, no clock. It proves nothing: that a task of an unreachable zone is gone is
proven as for any other (`docs/safety.md`). It decides what is worth doing while the zone is unreachable
(`docs/zones.md`).
"""

from dataclasses import dataclass, field
from enum import Enum

from pepperlatch.constants import zones as c


class ZoneState(Enum):
    """A zone's state; the values appear in log lines and events."""

    REACHABLE = "whole"
    DOUBTFUL = "doubtful"  # most machines are silent, but a controller there answers
    PARTITIONED = "cut off"  # most machines are silent, and no controller there answers
    RECOVERING = "coming back"


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What the leader observes of a zone at one time."""

    up: int  # machines that are up by the leader's records, silent ones included
    silent: int  # those of them that have not reported for long
    controller_answers: bool | None  # whether a controller of the zone answers, this one included; None if it has none

    def mostly_silent(self) -> bool:
        """Whether more machines are silent than independent failures explain; False for a zone with few machines."""
        share = c.CUT_SILENT_SHARE_WITHOUT_CONTROLLER if self.controller_answers is None else c.CUT_SILENT_SHARE
        return self.up >= c.MIN_MACHINES and self.silent >= share * self.up

    def mostly_reporting(self) -> bool:
        """Whether few enough machines are silent for the zone to count as reachable again."""
        return self.silent < c.RECOVERED_SILENT_SHARE * self.up


@dataclass(slots=True)
class Zone:
    """The state of one zone; times are of the leader's steady clock, in seconds."""

    state: ZoneState = ZoneState.REACHABLE
    since: float = float("-inf")  # when this state began
    partitioned_at: float = float("-inf")  # when the present or last partition began
    last_up_at: float = float("-inf")  # when the zone was last observed with machines up

    def observe(self, observation: ZoneObservation, now: float) -> bool:
        """Take in an observation; returns whether the state changed."""
        if observation.up:
            self.last_up_at = now
        next_state = self._next(observation, now)
        if next_state is self.state:
            return False
        if next_state is ZoneState.PARTITIONED and now - self.partitioned_at > c.CUT_KEEP_S:
            self.partitioned_at = now  # partitions that follow each other closely count as one
        self.state, self.since = next_state, now
        return True

    def _next(self, observation: ZoneObservation, now: float) -> ZoneState:
        if self.state is ZoneState.PARTITIONED:
            return self._next_when_partitioned(observation, now)
        if observation.mostly_silent() and observation.controller_answers is not True:
            return ZoneState.PARTITIONED
        if self.state is ZoneState.RECOVERING:
            return ZoneState.RECOVERING if now - self.since < c.RECOVERY_S else ZoneState.REACHABLE
        if observation.mostly_silent() or (self.state is ZoneState.DOUBTFUL and not observation.mostly_reporting()):
            return ZoneState.DOUBTFUL
        return ZoneState.REACHABLE

    def _next_when_partitioned(self, observation: ZoneObservation, now: float) -> ZoneState:
        if not observation.up:  # no machine is left to observe: the zone is tried again after a while
            return ZoneState.PARTITIONED if now - self.last_up_at < c.EMPTY_ZONE_RETRY_S else ZoneState.REACHABLE
        return (
            ZoneState.RECOVERING
            if observation.mostly_reporting()
            or (observation.controller_answers is True and not observation.mostly_silent())
            else ZoneState.PARTITIONED
        )


@dataclass(slots=True)
class ZoneTracker:
    """The states of all zones observed in this term."""

    by_name: dict[str, Zone] = field(default_factory=dict)

    def observe(self, name: str, observation: ZoneObservation, now: float) -> ZoneState | None:
        """Take in an observation; returns the zone's new state if it changed, else None."""
        zone = self.by_name.setdefault(name, Zone())
        return zone.state if zone.observe(observation, now) else None

    def partitioned(self, name: str) -> bool:
        zone = self.by_name.get(name)
        return zone is not None and zone.state is ZoneState.PARTITIONED

    def unreachable(self, now: float) -> set[str]:
        """Zones where nothing is rented, since a machine there would cost money and not report.

        A doubtful zone counts as unreachable after `DOUBTFUL_STOP_RENTING_S` seconds.
        """
        return {
            name for name, zone in self.by_name.items()
            if zone.state is ZoneState.PARTITIONED
            or (zone.state is ZoneState.DOUBTFUL and now - zone.since >= c.DOUBTFUL_STOP_RENTING_S)
        }  # fmt: skip

    def keeps_machines(self, name: str, now: float) -> bool:
        """Whether the zone's machines are kept although they are silent and idle.

        Most partitions end before replacements would be up. Machines are kept for the first `CUT_KEEP_S` seconds of a
        partition, and for `RECOVERY_KEEP_S` seconds after it.
        """
        zone = self.by_name.get(name)
        if zone is None or zone.state not in (ZoneState.PARTITIONED, ZoneState.RECOVERING):
            return False
        if zone.state is ZoneState.RECOVERING:
            # A machine that died meanwhile must not delay what waits until all machines are verified.
            return now - zone.since < c.RECOVERY_KEEP_S
        return now - zone.partitioned_at < c.CUT_KEEP_S
