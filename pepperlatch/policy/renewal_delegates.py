"""Tracks which controllers may renew workers' leases on the leader's behalf (delegated lease renewal).

No I/O, no clock. This is the leader's side; `HeartbeatHandler` is the other controllers' side. See "Delegated lease
renewal" in `docs/safety.md`. Times are in seconds of the leader's steady clock.
"""

from dataclasses import dataclass, field

# Key of the process's age in seconds in the answer to a revocation of delegated lease renewal; the other keys are
# machines' names.
PROCESS_AGE_KEY = ""


@dataclass(slots=True)
class LeaseRenewalDelegate:
    """What the leader knows of a controller that may renew workers' leases once it has lost contact with the leader."""

    answered_at: float = float("-inf")  # when the leader last answered a contact of the controller
    revoked_until: float = float("-inf")  # it has acknowledged that it renews no lease before then
    process_began_by: float = float("inf")  # its process began no later; what an earlier process renewed is unknown


@dataclass(slots=True)
class RenewalDelegates:
    """The controllers that may renew leases under the token of one term.

    `lease_extension_s`: seconds after its last contact with the leader for which a controller may do so.
    """

    lease_extension_s: float
    _delegates: dict[str, LeaseRenewalDelegate] = field(default_factory=dict)  # by controller's name

    def allow(self, peer: str, now: float) -> None:
        """Note that this leader answers a peer's contact.

        From now on the peer may renew leases on the leader's behalf, until `lease_extension_s` seconds after it asked.
        """
        self._delegates.setdefault(peer, LeaseRenewalDelegate()).answered_at = now

    def on_revoked(self, peer: str, process_age_s: float | None, until: float, now: float) -> None:
        """Note that a peer has acknowledged that it renews no lease before `until`, and how old its process is.

        The peer remembers only what its present process did. Without an age (a peer of an earlier version) the
        acknowledgement has no effect, and only the passing of time proves that the peer renews no lease.
        """
        delegate = self._delegates.get(peer)
        if delegate is not None and process_age_s is not None:
            delegate.revoked_until = until
            delegate.process_began_by = now - process_age_s

    def all_ended(self, now: float, lease_s: float) -> bool:
        """Whether every lease that a delegate has renewed, without this leader's knowing of it, has ended by now."""
        return all(
            (now <= delegate.revoked_until and now > delegate.process_began_by + lease_s)
            or now > delegate.answered_at + self.lease_extension_s + lease_s
            for delegate in self._delegates.values()
        )
