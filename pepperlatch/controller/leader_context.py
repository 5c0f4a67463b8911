"""What the leader and its helpers (`Rentals`, `Records`, `Health`) share during one term."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.controller.command_loop import CommandLoop
from pepperlatch.controller.leadership import Term
from pepperlatch.controller.store import Replica
from pepperlatch.controller.writer import Writer
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.planner import Planner
from pepperlatch.settings import Settings

Clock = Callable[[], float]


@dataclass(slots=True)
class LeaderContext:
    """The state of one term of leading, and the nursery that its coroutines run in.

    `clock` is the node's steady clock, `wall` the time of day, both in seconds. `nursery` is None until `Leader.run`
    sets it.
    """

    settings: Settings
    term: Term
    replica: Replica
    command_loop: CommandLoop
    clock: Clock
    wall: Clock
    cluster: Cluster
    planner: Planner
    writer: Writer
    nursery: trio.Nursery | None = field(default=None)

    def spawn(self, task: Callable[..., Any], *args: Any) -> None:
        """Start a coroutine that is cancelled when the term is over; do nothing if that is so already."""
        if self.nursery is not None and not self.term.over:
            self.nursery.start_soon(task, *args)
