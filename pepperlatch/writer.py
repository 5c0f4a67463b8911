"""The leader's writes: batched, and every one conditional on the leader's key."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio

from pepperlatch import constants as c
from pepperlatch import store, wire
from pepperlatch.leadership import Term
from pepperlatch.state import Away, LeaseGone, StateClient, Unsure

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Write:
    """Changes that belong together; `done(applied)` is told once the outcome is known."""

    changes: list[dict[str, Any]]
    done: Callable[[bool], None]
    when: list[dict[str, Any]] = field(default_factory=list)


class Writer:
    def __init__(self, state: StateClient, term: Term, most: int) -> None:
        self._state = state
        self._term = term
        self._most = most
        self._queue: deque[Write] = deque()
        self._wake = trio.Event()

    def add(self, write: Write) -> None:
        self._queue.append(write)
        self._wake.set()

    async def run(self) -> None:
        while not self._term.over:
            if not self._queue:
                self._wake = trio.Event()
                await self._wake.wait()
            batch = self._take()
            try:
                await self._commit(batch)
            except (Away, Unsure, LeaseGone) as error:
                log.debug("write put off: %s", error)
                self._queue.extendleft(reversed(batch))
                await trio.sleep(c.STATE_RETRY_S)

    def _take(self) -> list[Write]:
        """Whole writes while they fit into one transaction (at least one)."""
        batch: list[Write] = []
        count = size = 0
        while self._queue:
            write = self._queue[0]
            count += len(write.changes)
            size += len(orjson.dumps(write.changes))
            if batch and (count > self._most or size > c.TXN_BYTES):
                break
            batch.append(self._queue.popleft())
        return batch

    async def _commit(self, batch: list[Write]) -> None:
        """Retries after an unknown outcome are safe: all changes are whole values, or conditional."""
        lead = wire.when(store.LEADER, self._term.token)
        outcome = await self._state.txn(
            [lead] + [w for b in batch for w in b.when], [w for b in batch for w in b.changes]
        )
        if outcome.applied:
            for write in batch:
                write.done(True)
        elif store.LEADER in outcome.failed:
            self._term.over = True
        else:
            failed = set(outcome.failed)
            rest = [w for w in batch if not any(wire.condition_key(cond) in failed for cond in w.when)]
            for write in batch:
                if write not in rest:
                    write.done(False)
            self._queue.extendleft(reversed(rest))
