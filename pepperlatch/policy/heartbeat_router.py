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
class _Redirect:
    """When a worker was last sent elsewhere, and until when its reports are taken here instead."""

    at: float
    accept_until: float = -1.0


@dataclass(slots=True)
class HeartbeatRouter:
    """Of one node. `zones`: of all nodes, itself included."""

    node: str
    zones: dict[str, str]
    heard_leader_at: dict[str, float] = field(
        default_factory=dict
    )  # when another node last said that it hears the leader
    remote_report_at: float = float("-inf")  # a worker of a zone with controllers of its own reported here
    redirects: dict[str, _Redirect] = field(default_factory=dict)

    def preferred_controller(self, machine: str, zone: str, now: float) -> str | None:
        """The node in the worker's zone that is to take its reports: None if this one may as well."""
        if self.zones[self.node] == zone:
            return None
        in_zone = [node for node, other in self.zones.items() if other == zone]
        if in_zone:
            self.remote_report_at = now
        in_contact = [node for node in in_zone if now - self.heard_leader_at.get(node, float("-inf")) < c.HOME_HEARS_S]
        return max(in_contact, key=lambda node: crc32(f"{machine} {node}".encode()), default=None)

    def controllers_to_query(self, now: float) -> list[str]:
        """Nodes to ask whether they hear the leader: only while workers of their zones report here."""
        if now - self.remote_report_at > c.HOME_LOOK_S:
            return []
        return [node for node in self.zones if node != self.node]

    def record_health(self, node: str, hears_leader: bool, now: float) -> None:
        if hears_leader:
            self.heard_leader_at[node] = now
        else:
            self.heard_leader_at.pop(node, None)

    def may_redirect(self, machine: str, now: float) -> bool:
        """Whether the worker may be sent elsewhere; one that is soon back had no success there."""
        redirect = self.redirects.get(machine)
        if redirect is None or (now - redirect.at > c.RELAY_AFTER_S and now > redirect.accept_until):
            self.redirects[machine] = _Redirect(now)
            return True
        if now > redirect.accept_until:
            redirect.accept_until = now + c.RELAY_STICKY_S
        return False

    def accept_locally(self, machines: Iterable[str], now: float) -> None:
        """Take these workers' reports here for a while: the leader does not reach them."""
        for name in machines:
            self.redirects[name] = _Redirect(now, now + c.RELAY_STICKY_S)
