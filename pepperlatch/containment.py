"""Containment of unexpected exceptions, so that no controller ends by itself.

Exceptions that can be expected are handled where they arise. One that nobody expected is a fault of this program: it is
logged with its traceback and counted, and what it came from begins again from whole state. A node that leads gives up
its term, since an exception may have left the state of the term half changed; the next term reads all state anew.

The counts are shown in the administration view and as a metric. They are 0 on a sound node.
"""

import logging
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from pepperlatch.constants import core as c

log = logging.getLogger(__name__)


def _do_nothing() -> None:
    """The default of `on_failure`."""


class Containment:
    """Runs parts of a node and takes up what they raise.

    `on_failure` is called for each exception of a part that changes the node's state; it must not raise. `counts` holds
    the exceptions by the part that raised them, `latest` the traceback of the last one, as text.
    """

    def __init__(self, on_failure: Callable[[], None] = _do_nothing) -> None:
        self._on_failure = on_failure
        self.counts: Counter[str] = Counter()
        self.latest = ""

    def count(self, part: str, error: Exception) -> None:
        """Count an exception that its caller logs and that has no effect on the node's own state."""
        self.counts[part] += 1
        self.latest = "".join(traceback.format_exception(error))

    def record(self, part: str, error: Exception, consequence: str) -> None:
        """Log and count an exception that has no effect on the node's own state."""
        self.count(part, error)
        log.error("unexpected exception in %s; %s", part, consequence, exc_info=error)

    def contain(self, part: str, error: Exception, consequence: str) -> None:
        """Log and count an exception of a part that changes the node's state, and call `on_failure`."""
        self.record(part, error, consequence)
        self._on_failure()

    def call(self, part: str, function: Callable[[], None]) -> bool:
        """Call the function; returns whether it raised no exception."""
        try:
            function()
        except Exception as error:
            self.contain(part, error, "a leader gives up its term")
            return False
        return True

    async def run(self, part: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop until it returns; after an exception, run it again after CONTAINED_RESTART_PAUSE_S.

        The loop must begin from whole state when it is called again.
        """
        while True:
            try:
                await loop()
                return
            except Exception as error:
                self.contain(part, error, "it begins again after a pause, and a leader gives up its term")
            await trio.sleep(c.CONTAINED_RESTART_PAUSE_S)

    async def run_once(self, part: str, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task that is not to be repeated after an exception."""
        try:
            await task()
        except Exception as error:
            self.contain(part, error, "it ends, and a leader gives up its term")
