"""The one owner of a node's state: a queue of commands, worked through in batches."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio

from pepperlatch.constants import core as c

log = logging.getLogger(__name__)
Command = Callable[[], None]
T = TypeVar("T")


@dataclass(slots=True)
class Owner:
    """Commands run one after the other; after each batch `settle` acts on what they changed."""

    settle: Callable[[], None]
    tick_s: float
    _queue: deque[Command] = field(default_factory=deque)
    _wake: trio.Event = field(default_factory=trio.Event)

    def post(self, command: Command) -> None:
        self._queue.append(command)
        self._wake.set()

    def long(self) -> bool:
        """Whether the node falls behind, so that what is not needed gives way."""
        return len(self._queue) >= c.LONG_QUEUE_COMMANDS

    def full(self) -> bool:
        """Whether reports are to be refused; what the node asked for itself is always taken."""
        return len(self._queue) >= c.MAX_QUEUE_COMMANDS

    async def run(self) -> None:
        while True:
            with trio.move_on_after(self.tick_s):
                await self._wake.wait()
            self._wake = trio.Event()
            if self.long():
                log.info("%d commands wait", len(self._queue))
            for _ in range(len(self._queue)):
                self._queue.popleft()()
            self.settle()


@dataclass(slots=True)
class Reply(Generic[T]):
    """An answer that the owner will give."""

    value: T | None = None
    _event: trio.Event = field(default_factory=trio.Event)

    def give(self, value: T) -> None:
        self.value = value
        self._event.set()

    async def get(self) -> T | None:
        await self._event.wait()
        return self.value
