"""Leader election: the leader holds the key `store.LEADER` under a lease of the state service.

The revision of the write that creates the key is the term's token. Workers refuse commands with a lower token than the
highest that they have seen (fencing). All times are of the steady clock, in seconds.
"""

import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.protocol import wire
from pepperlatch.protocol.state import LeaseGone, NotExecuted, OutcomeUnknown, StateClient

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Term:
    """One term of leading, with the proofs on which a leader's actions rest.

    Authority: the lease of this token was alive. `lease_confirmed_at` is when the latest renewal that was confirmed was
    sent. Currency: this node's copy held all that was confirmed before a point in time, the leader's key included
    (`Replica.current_at`). A renewal of the lease says nothing about the copy: answers of the watch may be lost or slow
    while renewals are answered. Succession: no later leader had answered a worker (`no_successor_before`).
    """

    token: int
    lease: int  # id of the lease in the state service
    lease_confirmed_at: float
    lease_extension_s: float
    replica: store.Replica
    over: bool = False  # set once and for all; everything that runs for the term then stops
    lease_confirmed_since: float = -math.inf  # confirmed renewals have had no gap since then
    attested_at: float = -math.inf  # when attestations were requested that made the copy as current as a read
    # When attestations were requested in which all other controllers knew this term as the latest.
    attested_latest_at: float = -math.inf

    def _lease_ends_at(self) -> float:
        """Return until when the lease, and with it this term's leader key, surely lasts."""
        return self.lease_confirmed_at + c.LEADER_LEASE_MS / 1000 * (1 - c.CLOCK_DRIFT) - c.LEADER_LEASE_MARGIN_S

    def lease_valid(self, now: float) -> bool:
        """Return whether the lease cannot have ended yet, so that actions that cannot be undone are allowed."""
        return not self.over and now < self._lease_ends_at()

    def no_successor_before(self) -> float:
        """Return a time before which no later leader has answered a worker or renewed a worker's lease.

        A later leader is elected only once this term's key is gone. The key lasts as long as the lease does, and was
        there when a read was sent that showed it. Otherwise a later leader is one of the other controllers. One that
        has been elected since, in this process or in an earlier one, does not attest this term as the latest.
        """
        return max(self._lease_ends_at(), self.replica.current_at, self.attested_latest_at)

    def copy_current_at(self) -> float:
        """Return the time before which all that was confirmed is known here, by a read or by attestations."""
        return max(self.replica.current_at, self.attested_at)

    def may_answer(self, now: float) -> bool:
        """Return whether heartbeats may be answered and tasks launched.

        While this holds, tasks that are kept alive end within the bound for cancelled jobs. A valid lease is not
        enough: a leader that the state service has refused may renew its lease again while its copy is still older than
        cancellations that other controllers confirmed. It would keep those jobs alive and start them anew.
        """
        return not self.over and now < renewal_deadline(self.lease_extension_s, self.copy_current_at())


def renewal_deadline(lease_extension_s: float, *sent_at: float) -> float:
    """Return until when tasks' leases may be renewed on proofs requested at these times; the oldest counts."""
    return min(sent_at) + lease_extension_s


def lease_extension_seconds(cancel_s: float, lease_s: float) -> float:
    """Return how long after a fresh read of the state service tasks' leases may still be renewed, in seconds.

    A task that is renewed up to then ends within `cancel_s` of the read. This time is the lease extension, G in
    `docs/safety.md`, section 6.
    """
    return max(0.0, (cancel_s - lease_s * (1 + c.CLOCK_DRIFT)) * (1 - c.CLOCK_DRIFT) - c.LEASE_EXTENSION_MARGIN_S)


class Leadership:
    """Takes part in elections for as long as the node runs, and keeps the lease while it leads.

    `term` is the current term, None while this node does not lead. No election is entered before `no_election_until`.
    """

    def __init__(
        self,
        node: str,
        state: StateClient,
        replica: store.Replica,
        lease_extension_s: float,
        clock: Callable[[], float],
        seed: int | None = None,
    ) -> None:
        self._node = node
        self._state = state
        self._replica = replica
        self.lease_extension_s = lease_extension_s
        self._clock = clock
        self._random = random.Random(seed)
        self.term: Term | None = None
        self.no_election_until = 0.0

    async def run(self, on_term: Callable[[Term | None], None]) -> None:
        """Run until cancelled; call `on_term` with each term that begins, and with None when it is over.

        A term does not outlast this: it is over, too, if this is cancelled or an exception leaves it.
        """
        while True:
            try:
                term = await self._try_to_win()
            except (NotExecuted, OutcomeUnknown, LeaseGone):
                await trio.sleep(c.STATE_RETRY_S)
                continue
            if term is None:
                await trio.sleep(c.STATE_RETRY_S / 2)
                continue
            self.term = term
            self._state.set_role(True)
            log.info("leading with token %d", term.token)
            try:
                on_term(term)
                await self._keep_lease(term)
            finally:
                term.over = True
                self.term = None
                self._state.set_role(False)
                log.info("no longer leading with token %d", term.token)
                on_term(None)

    async def _try_to_win(self) -> Term | None:
        """Enter one election; None if another controller leads, or won, or this node may not lead now.

        Raises NotExecuted, OutcomeUnknown or LeaseGone if the state service does not answer as needed; the caller
        tries again.
        """
        replica = self._replica
        if replica.loaded and replica.leader is not None and replica.leader[0] == self._node:
            await self._end_earlier_term(replica.leader[1])
        if not replica.loaded or replica.leader is not None or self._clock() < self.no_election_until:
            return None
        await trio.sleep(self._random.random() * c.ELECTION_JITTER_S)
        if self._replica.leader is not None:
            return None
        sent = self._clock()  # the lease may run from here on, since the answer to its grant may take long
        lease = await self._state.grant_lease(c.LEADER_LEASE_MS)
        write: dict[str, Any] = wire.put(store.LEADER, {"node": self._node}, lease)
        try:
            outcome = await self._state.txn([wire.version_condition(store.LEADER, 0)], [write], urgent=True)
        except (NotExecuted, OutcomeUnknown):  # if the write is applied later, nobody would lead until the lease ends
            await self._revoke_lease(lease)
            raise
        if not outcome.applied:
            await self._state.revoke_lease(lease)
            return None
        return Term(outcome.revision, lease, sent, self.lease_extension_s, replica)

    async def _end_earlier_term(self, token: int) -> None:
        """Delete a leader key that names this node although it does not lead.

        It is left from an earlier process on this node, or from a term that was given up. The next election then need
        not wait for its lease to expire. The deletion is conditional on the key's version, so that a delayed copy of
        this request ends no later term.
        """
        log.info("deleting this controller's stale leader key with token %d, so that an election can start", token)
        await self._state.txn([wire.version_condition(store.LEADER, token)], [wire.delete(store.LEADER)], urgent=True)
        await trio.sleep(c.STATE_RETRY_S)  # until the watch shows the deletion

    async def _revoke_lease(self, lease: int) -> None:
        """Revoke the lease if the state service answers; else it expires."""
        try:
            await self._state.revoke_lease(lease)
        except (NotExecuted, OutcomeUnknown):
            log.info("leader lease %d could not be revoked; it will expire by itself", lease)

    async def _keep_lease(self, term: Term) -> None:
        """Renew the lease until the term is over; a renewal without an answer does not end the term.

        A renewal does not wait for the one before. If it did, and gave up after half a second while every answer takes
        a whole one, renewals that the service grants would never be confirmed.
        """
        async with trio.open_nursery() as nursery:
            while not term.over:
                nursery.start_soon(self._renew_lease, term)
                await trio.sleep(c.LEADER_LEASE_RENEW_S if self._state.reachable() else c.STATE_RETRY_S)
            nursery.cancel_scope.cancel()

    async def _renew_lease(self, term: Term) -> None:
        """Renew the lease once; end the term if the state service says that the lease has ended."""
        sent = self._clock()
        try:
            await self._state.renew_lease(term.lease, c.LEADER_LEASE_MS / 1000)
            if sent - term.lease_confirmed_at > c.LEADER_LEASE_MS / 1000:
                term.lease_confirmed_since = sent
            term.lease_confirmed_at = max(term.lease_confirmed_at, sent)
        except LeaseGone:
            term.over = True
        except (NotExecuted, OutcomeUnknown):
            return

    def check_leader_key(self) -> None:
        """End the term if the leader key is no longer this node's; called after every change of the replica."""
        term, leader = self.term, self._replica.leader
        if term is None or self._replica.revision < term.token:
            return
        if leader is None or leader[1] != term.token:
            term.over = True

    async def resign(self, pause_s: float) -> None:
        """End the term, revoke the lease, and enter no election for `pause_s` seconds so that another can win."""
        term = self.term
        if term is None:
            return
        self.give_up(pause_s)
        await self._revoke_lease(term.lease)

    def give_up(self, pause_s: float) -> None:
        """End the term, if there is one, and enter no election for `pause_s` seconds so that another can win.

        The leader key is deleted before the next election (see `_end_earlier_term`), or expires.
        """
        if self.term is not None and not self.term.over:
            self.no_election_until = self._clock() + pause_s
            self.term.over = True
