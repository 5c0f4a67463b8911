"""What the parts of a leader share for one term."""

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
class LeaderTask:
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
        if self.nursery is not None and not self.term.over:
            self.nursery.start_soon(task, *args)
