"""Who leads: a key under a lease of the state service. The token is the revision of its write."""

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
    """One time of leading, with the two proofs that what a leader does rests on.

    Authority: the lease of this token was alive; `checked_at` is when the last confirmed check was sent. Currency:
    this node's copy held all that was confirmed before a moment, the leader's key among it (`Replica.current_at`). A
    touch of the lease says nothing of the copy: answers of a watch may be lost or slow while touches are answered.
    """

    token: int
    lease: int
    checked_at: float
    hold_s: float
    replica: store.Replica
    over: bool = False
    answered_since: float = -math.inf  # no gap in the checks since then
    vouched_at: float = -math.inf  # the others were asked then, and made the copy as current as a reading

    def sure(self, now: float) -> bool:
        """The lease cannot have ended yet: what cannot be taken back is allowed."""
        return (
            not self.over
            and now - self.checked_at < c.LEADER_LEASE_MS / 1000 * (1 - c.CLOCK_DRIFT) - c.LEADER_LEASE_MARGIN_S
        )

    def proven_at(self) -> float:
        """All that was confirmed before then is known here, by a reading or by what every other controller said."""
        return max(self.replica.current_at, self.vouched_at)

    def may_answer(self, now: float) -> bool:
        """Heartbeats may be answered and tasks launched: what we keep alive is gone before a cancellation's bound.

        Seen: a leader refused by the state service kept jobs alive, and started them anew, that were cancelled through
        others, as soon as it could touch its lease again: its copy was older than that.
        """
        return not self.over and now < keeps_alive_until(self.hold_s, self.proven_at())


def keeps_alive_until(hold_s: float, *proved_at: float) -> float:
    """How long leases may be renewed on what was proven by requests sent at these moments: the oldest one counts."""
    return min(proved_at) + hold_s


def hold_seconds(cancel_s: float, lease_s: float) -> float:
    """G of `docs/safety.md` 6: what is answered so long after a proof is gone within `cancel_s` of that proof."""
    return max(0.0, (cancel_s - lease_s * (1 + c.CLOCK_DRIFT)) * (1 - c.CLOCK_DRIFT) - c.LEASE_EXTENSION_MARGIN_S)


class Leadership:
    def __init__(
        self,
        node: str,
        state: StateClient,
        replica: store.Replica,
        hold_s: float,
        clock: Callable[[], float],
        seed: int | None = None,
    ) -> None:
        self._node = node
        self._state = state
        self._replica = replica
        self.hold_s = hold_s
        self._clock = clock
        self._random = random.Random(seed)
        self.term: Term | None = None
        self.yield_until = 0.0

    async def run(self, on_term: Callable[[Term | None], None]) -> None:
        while True:
            try:
                term = await self._win()
            except (NotExecuted, OutcomeUnknown, LeaseGone):
                await trio.sleep(c.STATE_RETRY_S)
                continue
            if term is None:
                await trio.sleep(c.STATE_RETRY_S / 2)
                continue
            self.term = term
            self._state.set_role(True)
            log.info("leading with token %d", term.token)
            on_term(term)
            await self._keep(term)
            term.over = True
            self.term = None
            self._state.set_role(False)
            log.info("no longer leading with token %d", term.token)
            on_term(None)

    async def _win(self) -> Term | None:
        replica = self._replica
        if replica.loaded and replica.leader is not None and replica.leader[0] == self._node:
            await self._end_earlier(replica.leader[1])
        if not replica.loaded or replica.leader is not None or self._clock() < self.yield_until:
            return None
        await trio.sleep(self._random.random() * c.ELECTION_JITTER_S)
        if self._replica.leader is not None:
            return None
        sent = self._clock()  # the lease runs from its grant, whose answer may have taken long
        lease = await self._state.grant_lease(c.LEADER_LEASE_MS)
        write: dict[str, Any] = wire.put(store.LEADER, {"node": self._node}, lease)
        try:
            outcome = await self._state.txn([wire.version_condition(store.LEADER, 0)], [write], urgent=True)
        except (NotExecuted, OutcomeUnknown):  # if it comes to be applied nobody would lead until the lease ends
            await self._give_back(lease)
            raise
        if not outcome.applied:
            await self._state.revoke_lease(lease)
            return None
        return Term(outcome.revision, lease, sent, self.hold_s, replica)

    async def _end_earlier(self, token: int) -> None:
        """The key names this node, which does not lead: a term of the process before this one, or one given up.

        Whoever wins next need not wait for its lease. Conditional on the key's version, so that a late copy of this
        ends no later term.
        """
        log.info("ending the term %d of an earlier life", token)
        await self._state.txn([wire.version_condition(store.LEADER, token)], [wire.delete(store.LEADER)], urgent=True)
        await trio.sleep(c.STATE_RETRY_S)  # for the watch to show it

    async def _give_back(self, lease: int) -> None:
        try:
            await self._state.revoke_lease(lease)
        except (NotExecuted, OutcomeUnknown):
            log.info("lease %d could not be given back; it will end by itself", lease)

    async def _keep(self, term: Term) -> None:
        """Touch the lease until it is lost; nothing but a proof of loss ends a term.

        A touch does not wait for the one before: while every answer takes a second, one that gives up after half of it
        would never prove what the service grants all the time.
        """
        async with trio.open_nursery() as nursery:
            while not term.over:
                nursery.start_soon(self._touch, term)
                await trio.sleep(c.LEADER_LEASE_RENEW_S if self._state.reachable() else c.STATE_RETRY_S)
            nursery.cancel_scope.cancel()

    async def _touch(self, term: Term) -> None:
        sent = self._clock()
        try:
            await self._state.renew_lease(term.lease, c.LEADER_LEASE_MS / 1000)
            if sent - term.checked_at > c.LEADER_LEASE_MS / 1000:
                term.answered_since = sent
            term.checked_at = max(term.checked_at, sent)
        except LeaseGone:
            term.over = True
        except (NotExecuted, OutcomeUnknown):
            return

    def check_key(self) -> None:
        """Called after every change of the replica: a key that is not ours any more ends the term."""
        term, leader = self.term, self._replica.leader
        if term is None or self._replica.revision < term.token:
            return
        if leader is None or leader[1] != term.token:
            term.over = True

    async def resign(self, pause_s: float) -> None:
        """Give the lease back, and let others win for a while."""
        term = self.term
        if term is None:
            return
        self.yield_until = self._clock() + pause_s
        term.over = True
        await self._give_back(term.lease)
