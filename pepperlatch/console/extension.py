"""The console's part of a controller: thin, so that a start costs next to nothing.

While its node leads it listens, keeps the time lines, and saves them now and then; what answers viewers is imported
when the first one asks.
"""

import logging
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

import trio

from pepperlatch import features
from pepperlatch.constants import console as c
from pepperlatch.controller.extensions import Extension, ExtensionContext
from pepperlatch.controller.leadership import Term
from pepperlatch.policy.events import Listener
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.protocol.state import Away, Unsure
from pepperlatch.settings import split_address

if TYPE_CHECKING:
    from pepperlatch.console.recorder import Recorder
    from pepperlatch.console.service import Views
    from pepperlatch.controller.leader import Leader

log = logging.getLogger(__name__)


class Console(Extension):
    name = "console"
    prefix = "c/"
    operator_paths: Sequence[str] = ("/console", "/metrics")

    def __init__(
        self, core: ExtensionContext, wanted: features.Console, spent: Callable[[], float] = time.process_time
    ) -> None:
        self._core = core
        self._wanted = wanted
        self._spent = spent
        self._leads: tuple[Leader, Recorder] | None = None
        self._made: Views | None = None
        self._looked = trio.Event()

    def create_listener(self, leader: "Leader") -> Listener:
        from pepperlatch.console.recorder import Recorder

        over = None
        if self._wanted.trace_share > 0:
            from pepperlatch.console.tracing import Traces

            over = Traces(self._core.settings.node, self._wanted.trace_share).over
        jobs = leader.replica.jobs
        recorder = Recorder(self._core.clock, self._core.wall, lambda job_id: jobs[job_id].record.at, over)
        self._leads = (leader, recorder)
        if self._made is not None:
            self._made.lead(leader, recorder)
        return recorder

    def _views(self) -> "Views":
        if self._made is None:
            from pepperlatch.console.service import Views

            self._made = Views(self._core, self._spent)
            self._looked.set()
            if self._leads is not None:
                self._made.lead(*self._leads)
        return self._made

    async def handle(self, request: Request) -> Response:
        if request.path.partition("?")[0] == "/metrics":
            return self._metrics()
        return await self._views().handle(request)

    def _metrics(self) -> Response:
        if not self._wanted.metrics:
            return Response(404, {"error": "metrics are off: [console] metrics in deploy/features.toml"})
        from pepperlatch.console import metrics

        kind, text = metrics.exposed(self._core, self._leads)
        return Response(200, text, {"Content-Type": kind})

    async def run(self) -> None:
        """The rows of those who look, and the members' listener, if there is one."""
        async with trio.open_nursery() as nursery:
            if self._wanted.public.listen:
                from pepperlatch.console.public import Public

                host, port = split_address(self._wanted.public.listen)
                server = Server(Public(self._views(), self._wanted.public).handle, c.PUBLIC_CONNECTIONS)
                nursery.start_soon(server.serve, host, port)
            await self._looked.wait()
            await self._views().run()

    async def run_while_leading(self, term: Term) -> None:
        """Take up what the last leader saved, then save in turn. Cut off anywhere, the last whole saving stays."""
        from pepperlatch.console.persistence import Saving

        leads = self._leads
        if leads is None or leads[0].term is not term:
            return
        leader, recorder = leads
        saving = Saving(self._core, leader, recorder)
        await saving.restore()
        while not term.over:
            until = self._core.clock() + c.SAVE_EVERY_S
            while self._core.clock() < until and not term.over:
                await trio.sleep(c.MONEY_EVERY_S)
                recorder.money.sample(leader.cluster.machines.values(), self._core.clock())
            try:
                await saving.save()
            except (Away, Unsure) as error:
                log.debug("time lines are saved later: %s", error)
