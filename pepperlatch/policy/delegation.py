"""Which followers may answer machines' unchanged heartbeats in the leader's place. The leader's side; no I/O, no clock.

A grant says: this machine's last heartbeat, as the leader took it in, wants nothing but the renewal of its lease. The
follower that forwarded it may answer the same again, until the end of its delegation. Each follower states all that
it holds with every contact, and the leader answers with what it revokes and a new end. Grants are numbered within a
term; the number that an answer names is the follower's floor from then on: it installs no grant up to it any more.
So what a statement lists, however late it arrives, is all that its follower holds, or ever will, up to its floor.

Sources: `docs/safety.md`, "Delegated heartbeats".
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec


class HeldGrant(msgspec.Struct, array_like=True):
    """A grant as its follower holds it. `heard_s`: seconds since it answered the machine itself; below 0: not yet.

    `session`: of the heartbeat that was granted.
    """

    machine: str
    number: int
    session: int
    heard_s: float


class DelegationStatement(msgspec.Struct):
    """What a follower holds. `floor`: grants up to this number are in `held`, or will never be installed.

    `began_s`: the age of the follower's process. `released`: machines that it answered and does not hold any more, with
    the seconds since its last answer; `memory_s`: it remembers that for so long.
    """

    floor: int = 0
    began_s: float = 0.0
    memory_s: float = 0.0
    held: list[HeldGrant] = []
    released: dict[str, float] = {}


class DelegationAnswer(msgspec.Struct):
    """The leader's answer: the delegation lasts `seconds` from the sending of the statement; `number` is its floor."""

    seconds: float
    number: int
    revoked: list[str] = []


class LastAnswer(NamedTuple):
    """No follower has answered the machine later than that, or will on the grant that it held."""

    machine: str
    at: float


@dataclass(slots=True)
class Delegations:
    """All grants of a term."""

    number: int = 0
    _holders: dict[str, dict[str, int]] = field(default_factory=dict)  # by machine: followers and their newest grant
    _granted: dict[str, set[str]] = field(default_factory=dict)  # by follower: machines
    _until: dict[str, float] = field(default_factory=dict)  # by follower: it answers nobody from then on

    def grant(self, follower: str, machine: str) -> int:
        """A new grant's number. It counts as held from here on, whether or not it arrives."""
        self.number += 1
        self._holders.setdefault(machine, {})[follower] = self.number
        self._granted.setdefault(follower, set()).add(machine)
        return self.number

    def forget(self, machine: str) -> None:
        """The machine is gone."""
        for follower in self._holders.pop(machine, {}):
            self._granted[follower].discard(machine)

    def extend(self, follower: str, until: float) -> None:
        """The follower is about to be told that it may answer until then."""
        self._until[follower] = max(until, self._until.get(follower, -math.inf))

    def answered_until(self, machine: str) -> float:
        """Until when some follower may answer the machine; -inf if none holds a grant of it."""
        holders = self._holders.get(machine)
        if not holders:
            return -math.inf
        return max(self._until.get(follower, -math.inf) for follower in holders)

    def take(self, follower: str, statement: DelegationStatement, now: float) -> Iterator[LastAnswer]:
        """Take in a statement; bounds of the last answers to all machines that it concerns.

        Seconds are counted from its arrival: a statement that was held up makes the bounds later, which is safe.
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
            if machine not in statement.released:  # nor has this process answered it lately; one before it may have
                yield LastAnswer(machine, now - min(statement.began_s, statement.memory_s))

    def _drop(self, follower: str, machine: str) -> None:
        self._granted[follower].discard(machine)
        holders = self._holders[machine]
        del holders[follower]
        if not holders:
            del self._holders[machine]
