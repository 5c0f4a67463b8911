"""The leader's writes: batched, every one conditional on the leader's key, what somebody waits for first.

They are carried out in order or not at all. A transaction without an answer may be carried out seconds later, when
newer values are stored: so each is also conditional on the leader's turn (`store.TURN`), and after one without an
answer the turn is moved on before anything else is written. What was lost is by then carried out, or never will be.
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
    """Changes that belong together; `done(applied)` is told once the outcome is known."""

    changes: list[dict[str, Any]]
    done: Callable[[bool], None]
    when: list[dict[str, Any]] = field(default_factory=list)
    alone: bool = False  # one of those that came with it was refused


class Writer:
    def __init__(self, state: StateClient, term: Term, most: int) -> None:
        self.turn = 0  # version of the turn's key; known from taking over
        self._unanswered = False  # a transaction may yet be carried out
        self._state = state
        self._term = term
        self._most = most
        self._queue: deque[Write] = deque()
        self._later: deque[Write] = deque()
        self._refused: deque[tuple[float, Write]] = deque()  # and when they are tried again
        self._wake = trio.Event()

    def later_most(self) -> int:
        return min(self._most, self._state.max_background_changes())

    def add(self, write: Write, later: bool = False) -> None:
        """`later`: nobody waits for it; it is written when the budget has more than others may need."""
        (self._later if later else self._queue).append(write)
        self._wake.set()

    async def run(self) -> None:
        while not self._term.over:
            while self._refused and trio.current_time() >= self._refused[0][0]:
                self._queue.append(self._refused.popleft()[1])
            if self._unanswered and not await self._moved_on():
                await trio.sleep(c.STATE_RETRY_S)
                continue
            batch = self._take()
            if not batch:
                await self._rest()
                continue
            try:
                await self._commit(batch)
            except Rejected as error:
                self._refuse(batch, error)
            except (NotExecuted, OutcomeUnknown, LeaseGone) as error:
                log.debug("write put off: %s", error)
                self._unanswered = isinstance(error, OutcomeUnknown)
                self._queue.extendleft(reversed(batch))
                await trio.sleep(c.STATE_RETRY_S)

    async def _rest(self) -> None:
        self._wake = trio.Event()
        with trio.move_on_after(c.BACKGROUND_WRITE_RETRY_S if self._later else c.REFUSED_WRITE_RETRY_S):
            await self._wake.wait()

    def _refuse(self, batch: list[Write], error: Rejected) -> None:
        """Each by itself next; the one at fault is named and goes out of the others' way."""
        if len(batch) > 1:
            self._queue.extendleft(reversed([_alone(write) for write in batch]))
            return
        log.error("%s is refused: %s", wire.written_key(batch[0].changes[0]), error)
        self._refused.append((trio.current_time() + c.REFUSED_WRITE_RETRY_S, batch[0]))

    def _take(self) -> list[Write]:
        """Whole writes while they fit into one transaction (at least one)."""
        batch: list[Write] = []
        changes = conditions = size = 0
        spare = self._state.spare_writes()
        while self._queue or self._later:
            source = self._queue or self._later
            write = source[0]
            if source is self._later and changes + len(write.changes) > spare:
                break
            changes += len(write.changes)
            conditions += len(write.when)
            size += len(orjson.dumps(write.changes))
            over = (
                changes > self._most
                or conditions + 2 > c.MAX_TXN_CONDITIONS_PER_CHANGE * self._most
                or size > c.MAX_TXN_BYTES
            )
            if batch and (over or write.alone or batch[0].alone):
                break
            batch.append(source.popleft())
        return batch

    def _mine(self) -> list[dict[str, Any]]:
        return [wire.version_condition(store.LEADER, self._term.token), wire.version_condition(store.TURN, self.turn)]

    async def _moved_on(self) -> bool:
        """Whether no earlier transaction can be carried out any more."""
        try:
            outcome = await self._state.txn(self._mine(), [wire.put(store.TURN, {"token": self._term.token})])
            if outcome.applied:
                self.turn = outcome.revision
            elif store.LEADER in outcome.failed:
                self._term.over = True
            else:  # this was tried before, without an answer, and was carried out
                held = await self._state.read(store.TURN)
                self.turn = held.version if held is not None else 0
        except (NotExecuted, OutcomeUnknown, LeaseGone) as error:
            log.debug("turn not moved on: %s", error)
            return False
        self._unanswered = False
        return True

    async def _commit(self, batch: list[Write]) -> None:
        """What is tried again after an unknown outcome may have been carried out: whole values, or conditional."""
        outcome = await self._state.txn(
            self._mine() + [w for b in batch for w in b.when], [w for b in batch for w in b.changes]
        )
        if outcome.applied:
            for write in batch:
                write.done(True)
        elif store.LEADER in outcome.failed:
            self._term.over = True
        elif store.TURN in outcome.failed:  # moved on by what had no answer, or by nobody that we know of
            self._unanswered = True
            self._queue.extendleft(reversed(batch))
        else:
            failed = set(outcome.failed)
            rest = [w for w in batch if not any(wire.condition_key(cond) in failed for cond in w.when)]
            for write in batch:
                if write not in rest:
                    write.done(False)
            self._queue.extendleft(reversed(rest))


def _alone(write: Write) -> Write:
    return Write(write.changes, write.done, write.when, alone=True)
