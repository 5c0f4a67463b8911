"""Chooses the controller that takes a worker's reports: one in the worker's zone, if it is in contact with the leader.

A zone that is partitioned from all others keeps its own links. Workers that report within their zone then keep their
controller and need not search for another one while their leases run, and that controller may renew their leases on the
leader's behalf within the lease extension (G in `docs/safety.md`). No I/O, no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from pepperlatch.constants import core as c


@dataclass(slots=True)
class _Redirect:
    """When a worker was last sent to another controller, and until when its reports are accepted here instead."""

    at: float
    accept_until: float = -1.0


@dataclass(slots=True)
class HeartbeatRouter:
    """Where one controller sends the workers that report to it. All times are of its steady clock, in seconds."""

    node: str  # this controller
    zones: dict[str, str]  # controller -> zone, this one included
    # Controller -> when it last stated that it is in contact with the leader.
    heard_leader_at: dict[str, float] = field(default_factory=dict)
    remote_report_at: float = float("-inf")  # last report from a zone with its own controllers
    redirects: dict[str, _Redirect] = field(default_factory=dict)

    def preferred_controller(self, machine: str, zone: str, now: float) -> str | None:
        """The controller in the worker's zone that should take its reports; None if this one may as well.

        Each worker has its own choice among several, by a hash of its name, which spreads them.
        """
        if self.zones[self.node] == zone:
            return None
        in_zone = [node for node, other in self.zones.items() if other == zone]
        if in_zone:
            self.remote_report_at = now
        in_contact = [
            node
            for node in in_zone
            if now - self.heard_leader_at.get(node, float("-inf")) < c.PREFERRED_CONTROLLER_VALID_S
        ]
        return max(in_contact, key=lambda node: crc32(f"{machine} {node}".encode()), default=None)

    def controllers_to_query(self, now: float) -> list[str]:
        """The other controllers, to be asked whether they are in contact with the leader.

        Empty unless a worker from a zone with controllers of its own reported here within the last
        `PREFERRED_CONTROLLER_PROBE_PERIOD_S` seconds.
        """
        if now - self.remote_report_at > c.PREFERRED_CONTROLLER_PROBE_PERIOD_S:
            return []
        return [node for node in self.zones if node != self.node]

    def record_health(self, node: str, hears_leader: bool, now: float) -> None:
        """Record another controller's answer whether it is in contact with the leader."""
        if hears_leader:
            self.heard_leader_at[node] = now
        else:
            self.heard_leader_at.pop(node, None)

    def may_redirect(self, machine: str, now: float) -> bool:
        """Whether the worker may be sent to another controller now; if so, that is recorded.

        A worker that is back within `FORWARD_IF_BACK_WITHIN_S` seconds had no success there, and is accepted here for
        `FORWARD_PERIOD_S` seconds.
        """
        redirect = self.redirects.get(machine)
        if redirect is None or (now - redirect.at > c.FORWARD_IF_BACK_WITHIN_S and now > redirect.accept_until):
            self.redirects[machine] = _Redirect(now)
            return True
        if now > redirect.accept_until:
            redirect.accept_until = now + c.FORWARD_PERIOD_S
        return False

    def accept_locally(self, machines: Iterable[str], now: float) -> None:
        """Accept these workers' reports here for `FORWARD_PERIOD_S` seconds, since the leader does not reach them."""
        for name in machines:
            self.redirects[name] = _Redirect(now, now + c.FORWARD_PERIOD_S)
