"""Tracks which followers may answer machines' unchanged heartbeats in the leader's place. No I/O, no clock.

This is the leader's side. A grant says that a machine's last heartbeat, as the leader processed it, needs nothing but
the renewal of its lease. The follower that forwarded it may answer the same heartbeat again until its delegation ends.
With every contact a follower states all grants that it holds, and the leader answers with the grants that it revokes
and a new end of the delegation. Grants are numbered within a term. The number in an answer becomes the follower's
floor: from then on it installs no grant with that number or a lower one. So the grants listed in a statement, however
late it arrives, are all that the follower holds or will ever hold up to its floor.

See "Delegated heartbeats" in `docs/safety.md`.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec


class HeldGrant(msgspec.Struct, array_like=True):
    """A grant as its follower holds it.

    `session`: the worker's session in the granted heartbeat. `heard_s`: seconds since the follower itself answered the
    machine; negative if it has not done so yet.
    """

    machine: str
    number: int
    session: int
    heard_s: float


class DelegationStatement(msgspec.Struct):
    """What a follower holds.

    `floor`: grants up to this number are in `held` or will never be installed. `began_s`: age of the follower's process
    in seconds. `released`: machines that it answered and holds no grant of any more, with the seconds since its last
    answer. `memory_s`: seconds for which it remembers these.
    """

    floor: int = 0
    began_s: float = 0.0
    memory_s: float = 0.0
    held: list[HeldGrant] = []
    released: dict[str, float] = {}


class DelegationAnswer(msgspec.Struct):
    """The leader's answer to a statement.

    The delegation lasts `seconds` from the sending of the statement. `number` is the follower's new floor,
    `revoked` the machines whose grants it must drop.
    """

    seconds: float
    number: int
    revoked: list[str] = []


class LastAnswer(NamedTuple):
    """States that a follower has not answered the machine after `at`, nor will by the grant that it held."""

    machine: str
    at: float


@dataclass(slots=True)
class Delegations:
    """All grants of a term. Times are seconds of the leader's steady clock."""

    number: int = 0
    _holders: dict[str, dict[str, int]] = field(default_factory=dict)  # by machine, follower: its newest grant's number
    _granted: dict[str, set[str]] = field(default_factory=dict)  # by follower: its machines
    _until: dict[str, float] = field(default_factory=dict)  # by follower: the end of its delegation

    def grant(self, follower: str, machine: str) -> int:
        """Make a grant and return its number. It counts as held from now on, whether or not it arrives."""
        self.number += 1
        self._holders.setdefault(machine, {})[follower] = self.number
        self._granted.setdefault(follower, set()).add(machine)
        return self.number

    def forget(self, machine: str) -> None:
        """Drop all grants of a machine that is gone."""
        for follower in self._holders.pop(machine, {}):
            self._granted[follower].discard(machine)

    def extend(self, follower: str, until: float) -> None:
        """Move the end of the follower's delegation to `until`; called before the answer is sent to the follower."""
        self._until[follower] = max(until, self._until.get(follower, -math.inf))

    def answered_until(self, machine: str) -> float:
        """Until when any follower may answer the machine; -inf if none holds a grant of it."""
        holders = self._holders.get(machine)
        if not holders:
            return -math.inf
        return max(self._until.get(follower, -math.inf) for follower in holders)

    def take(self, follower: str, statement: DelegationStatement, now: float) -> Iterator[LastAnswer]:
        """Apply a statement, and yield bounds of the last answers to all machines that it concerns.

        Ages are counted back from the statement's arrival: a delay makes the bounds later, which is safe.
        """
        held = {grant.machine for grant in statement.held}
        for grant in statement.held:
            if grant.heard_s >= 0:
                yield LastAnswer(grant.machine, now - grant.heard_s)
        for machine, seconds in statement.released.items():
            yield LastAnswer(machine, now - seconds)
        for machine in list(self._granted.get(follower, ())):
            if machine in held or self._holders[machine][follower] > statement.floor:
                continue
            self._drop(follower, machine)
            if machine not in statement.released:  # this process has not answered it lately; an earlier one may have
                yield LastAnswer(machine, now - min(statement.began_s, statement.memory_s))

    def _drop(self, follower: str, machine: str) -> None:
        self._granted[follower].discard(machine)
        holders = self._holders[machine]
        del holders[follower]
        if not holders:
            del self._holders[machine]
