"""Which controller takes a worker's reports: one in the worker's own zone, if one there hears the leader.

A zone that is cut off from everything keeps the links inside it. Workers that report within their zone lose nobody
then, need not look for a way while their leases run, and the controller there may stand in for the leader (G,
`docs/safety.md`). No I/O, no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from pepperlatch.constants import core as c


@dataclass(slots=True)
class _Sent:
    """When a worker was last sent elsewhere, and until when its reports are taken here instead."""

    at: float
    here_until: float = -1.0


@dataclass(slots=True)
class Routes:
    """Of one node. `zones`: of all nodes, itself included."""

    node: str
    zones: dict[str, str]
    hears_at: dict[str, float] = field(default_factory=dict)  # when another node last said that it hears the leader
    foreign_at: float = float("-inf")  # a worker of a zone with controllers of its own reported here
    sent: dict[str, _Sent] = field(default_factory=dict)

    def home(self, machine: str, zone: str, now: float) -> str | None:
        """The node in the worker's zone that is to take its reports: None if this one may as well."""
        if self.zones[self.node] == zone:
            return None
        there = [node for node, other in self.zones.items() if other == zone]
        if there:
            self.foreign_at = now
        hears = [
            node for node in there if now - self.hears_at.get(node, float("-inf")) < c.PREFERRED_CONTROLLER_VALID_S
        ]
        return max(hears, key=lambda node: crc32(f"{machine} {node}".encode()), default=None)

    def look(self, now: float) -> list[str]:
        """Nodes to ask whether they hear the leader: only while workers of their zones report here."""
        if now - self.foreign_at > c.PREFERRED_CONTROLLER_PROBE_PERIOD_S:
            return []
        return [node for node in self.zones if node != self.node]

    def heard(self, node: str, hears_leader: bool, now: float) -> None:
        if hears_leader:
            self.hears_at[node] = now
        else:
            self.hears_at.pop(node, None)

    def send(self, machine: str, now: float) -> bool:
        """Whether the worker may be sent elsewhere; one that is soon back had no success there."""
        sent = self.sent.get(machine)
        if sent is None or (now - sent.at > c.FORWARD_IF_BACK_WITHIN_S and now > sent.here_until):
            self.sent[machine] = _Sent(now)
            return True
        if now > sent.here_until:
            sent.here_until = now + c.FORWARD_PERIOD_S
        return False

    def keep(self, machines: Iterable[str], now: float) -> None:
        """Take these workers' reports here for a while: the leader does not reach them."""
        for name in machines:
            self.sent[name] = _Sent(now, now + c.FORWARD_PERIOD_S)
