"""The leader's writes to the state service: batched, and only applied while this node leads.

Writes are applied in order or not at all; those that somebody waits for come first. A transaction without an answer may
be applied seconds later, when newer values are stored. So every transaction is conditional on two keys: the leader's,
and the write fence (`store.WRITE_FENCE`). After one without an answer the fence is written anew before anything else.
By then the unanswered transaction has been applied, or it never will be.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leadership import Term
from pepperlatch.protocol import wire
from pepperlatch.protocol.state import LeaseGone, NotExecuted, OutcomeUnknown, Rejected, StateClient

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Write:
    """Changes that are applied together or not at all.

    `on_outcome(applied)` is called once the outcome is known, and never if the term ends before. `conditions` are those
    of this write beside the leader's.
    """

    changes: list[dict[str, Any]]
    on_outcome: Callable[[bool], None]
    conditions: list[dict[str, Any]] = field(default_factory=list)
    alone: bool = False  # in a transaction of its own, since one with several was refused


class Writer:
    """The queue of writes of one term. `max_changes` is the limit of changes in one transaction."""

    def __init__(self, state: StateClient, term: Term, max_changes: int) -> None:
        self.fence_version = 0  # version of the write fence key, 0 if there is none; read on taking over
        self.newest_revision = term.token  # of the writes that are known to be applied
        self._newer_revision_wanted = False  # the fence is to be written anew although no outcome is unknown
        self._outcome_unknown = False  # a transaction without an answer may yet be applied
        self._state = state
        self._term = term
        self._max_changes = max_changes
        self._queue: deque[Write] = deque()
        self._deferred: deque[Write] = deque()
        self._refused: deque[tuple[float, Write]] = deque()  # with the time at which each is tried again, in seconds
        self._wake = trio.Event()

    def max_deferred_changes(self) -> int:
        """Return the largest number of changes that a deferred write may have."""
        return min(self._max_changes, self._state.max_background_changes())

    def add(self, write: Write, deferred: bool = False) -> None:
        """Queue a write. A `deferred` one, for which nobody waits, is left until other writes leave room for it."""
        (self._deferred if deferred else self._queue).append(write)
        self._wake.set()

    def request_newer_revision(self) -> None:
        """Have the write fence written anew, which makes `newest_revision` larger, unless other writes do first."""
        self._newer_revision_wanted = True
        self._wake.set()

    async def run(self) -> None:
        """Commit queued writes until the term is over; those that aren't confirmed are tried again."""
        while not self._term.over:
            while self._refused and trio.current_time() >= self._refused[0][0]:
                self._queue.append(self._refused.popleft()[1])
            if self._outcome_unknown and not await self._advance_fence():
                await trio.sleep(c.STATE_RETRY_S)
                continue
            batch = self._next_batch()
            if not batch and self._newer_revision_wanted:
                if not await self._advance_fence():
                    await trio.sleep(c.STATE_RETRY_S)
                continue
            if not batch:
                await self._wait_for_work()
                continue
            try:
                await self._commit(batch)
            except Rejected as error:
                self._on_refused(batch, error)
            except (NotExecuted, OutcomeUnknown, LeaseGone) as error:
                log.debug("state service did not confirm a write, retrying: %s", error)
                self._outcome_unknown = isinstance(error, OutcomeUnknown)
                self._queue.extendleft(reversed(batch))
                await trio.sleep(c.STATE_RETRY_S)

    async def _wait_for_work(self) -> None:
        """Wait for a new write, or until a deferred or refused one may have to be tried again."""
        self._wake = trio.Event()
        with trio.move_on_after(c.BACKGROUND_WRITE_RETRY_S if self._deferred else c.REFUSED_WRITE_RETRY_S):
            await self._wake.wait()

    def _on_refused(self, batch: list[Write], error: Rejected) -> None:
        """Retry the writes of a refused batch one by one; a single one is retried after `REFUSED_WRITE_RETRY_S`."""
        if len(batch) > 1:
            self._queue.extendleft(reversed([_as_single(write) for write in batch]))
            return
        log.error(
            "%s is refused by the state service; retrying later, other writes go on: %s",
            wire.written_key(batch[0].changes[0]),
            error,
        )
        self._refused.append((trio.current_time() + c.REFUSED_WRITE_RETRY_S, batch[0]))

    def _next_batch(self) -> list[Write]:
        """Take whole writes from the queues while they fit into one transaction, at least one if any may be written."""
        batch: list[Write] = []
        changes = conditions = size = 0
        spare = self._state.spare_writes()
        while self._queue or self._deferred:
            source = self._queue or self._deferred
            write = source[0]
            if source is self._deferred and changes + len(write.changes) > spare:
                break
            changes += len(write.changes)
            conditions += len(write.conditions)
            size += len(orjson.dumps(write.changes))
            over = (
                changes > self._max_changes
                or conditions + 2 > c.MAX_TXN_CONDITIONS_PER_CHANGE * self._max_changes
                or size > c.MAX_TXN_BYTES
            )
            if batch and (over or write.alone or batch[0].alone):
                break
            batch.append(source.popleft())
        return batch

    def _leader_conditions(self) -> list[dict[str, Any]]:
        """Return the conditions that this node leads and that the write fence has not been advanced."""
        return [
            wire.version_condition(store.LEADER, self._term.token),
            wire.version_condition(store.WRITE_FENCE, self.fence_version),
        ]

    async def _advance_fence(self) -> bool:
        """Write the fence anew; return whether no earlier transaction can be applied any more."""
        try:
            outcome = await self._state.txn(
                self._leader_conditions(), [wire.put(store.WRITE_FENCE, {"token": self._term.token})]
            )
            if outcome.applied:
                self.fence_version = outcome.revision
                self._note_revision(outcome.revision)
            elif store.LEADER in outcome.failed:
                self._term.over = True
            else:  # an earlier try had no answer, but was applied
                held = await self._state.read(store.WRITE_FENCE)
                self.fence_version = held.version if held is not None else 0
        except (NotExecuted, OutcomeUnknown, LeaseGone) as error:
            log.debug("write fence not advanced, retrying: %s", error)
            return False
        self._outcome_unknown = False
        return True

    async def _commit(self, batch: list[Write]) -> None:
        """Commit the batch; writes whose own conditions fail are reported, and the others queued again.

        A write that is retried after an unknown outcome may have been applied already. So writes hold whole values, or
        have conditions of their own.
        """
        outcome = await self._state.txn(
            self._leader_conditions() + [w for b in batch for w in b.conditions], [w for b in batch for w in b.changes]
        )
        if outcome.applied:
            self._note_revision(outcome.revision)
            for write in batch:
                write.on_outcome(True)
        elif store.LEADER in outcome.failed:
            self._term.over = True
        elif store.WRITE_FENCE in outcome.failed:  # advanced by a try without an answer, or by another writer
            self._outcome_unknown = True
            self._queue.extendleft(reversed(batch))
        else:
            failed = set(outcome.failed)
            rest = [w for w in batch if not any(wire.condition_key(cond) in failed for cond in w.conditions)]
            for write in batch:
                if write not in rest:
                    write.on_outcome(False)
            self._queue.extendleft(reversed(rest))

    def _note_revision(self, revision: int) -> None:
        self.newest_revision = max(self.newest_revision, revision)
        self._newer_revision_wanted = False


def _as_single(write: Write) -> Write:
    return Write(write.changes, write.on_outcome, write.conditions, alone=True)
