"""The command loop: the one place that changes a node's scheduling state, by running queued commands in batches.

Coroutines that do I/O enqueue functions with their results here, so that the state needs no locks.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import trio

from pepperlatch.constants import core as c
from pepperlatch.containment import Containment

log = logging.getLogger(__name__)
Command = Callable[[], None]
T = TypeVar("T")


@dataclass(slots=True)
class CommandLoop:
    """Runs commands one after the other, and `after_batch` after each batch to act on what they changed.

    `tick_s` is the longest time in seconds between two calls of `after_batch` while nothing is queued. `containment`
    takes up exceptions of commands; those behind in the queue are run all the same.
    """

    after_batch: Callable[[], None]
    tick_s: float
    containment: Containment = field(default_factory=Containment)
    _queue: deque[Command] = field(default_factory=deque)
    _wake: trio.Event = field(default_factory=trio.Event)

    def enqueue(self, command: Command) -> None:
        """Queue a command; it must not block, and an exception that it raises ends a leader's term."""
        self._queue.append(command)
        self._wake.set()

    def is_backlogged(self) -> bool:
        """Return whether the node falls behind, so that optional work such as the console's should wait."""
        return len(self._queue) >= c.LONG_QUEUE_COMMANDS

    def is_full(self) -> bool:
        """Return whether new reports are to be refused; results of the node's own requests are always enqueued."""
        return len(self._queue) >= c.MAX_QUEUE_COMMANDS

    async def run(self) -> None:
        """Run commands until cancelled."""
        while True:
            with trio.move_on_after(self.tick_s):
                await self._wake.wait()
            self._wake = trio.Event()
            if self.is_backlogged():
                log.info("command loop falls behind: %d commands are queued", len(self._queue))
            if not self._run_batch():
                await trio.sleep(c.CONTAINED_RESTART_PAUSE_S)

    def _run_batch(self) -> bool:
        """Run all commands that are queued now, and then `after_batch`; returns whether none raised an exception."""
        sound = True
        for _ in range(len(self._queue)):
            sound &= self.containment.call("a command", self._queue.popleft())
        return self.containment.call("the work after a batch of commands", self.after_batch) and sound


@dataclass(slots=True)
class Reply(Generic[T]):
    """A result that a command will set, for a coroutine that waits for it."""

    value: T | None = None
    _event: trio.Event = field(default_factory=trio.Event)

    def resolve(self, value: T) -> None:
        self.value = value
        self._event.set()

    async def get(self) -> T | None:
        """Wait for the result."""
        await self._event.wait()
        return self.value
