"""The console as an extension of a controller.

While its node leads, it records events and time lines, and saves the time lines every SAVE_INTERVAL_S. The modules that
answer viewers are imported at the first request, so that the extension adds little to a controller's start time.
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
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown
from pepperlatch.settings import split_address

if TYPE_CHECKING:
    from pepperlatch.console.recorder import Recorder
    from pepperlatch.console.service import ViewService
    from pepperlatch.controller.leader import Leader

log = logging.getLogger(__name__)


class Console(Extension):
    """Serves /console and /metrics. `cpu_time` returns the processor time that the process has used, in s."""

    name = "console"
    prefix = "c/"
    operator_paths: Sequence[str] = ("/console", "/metrics")

    def __init__(
        self, core: ExtensionContext, config: features.Console, cpu_time: Callable[[], float] = time.process_time
    ) -> None:
        self._core = core
        self._config = config
        self._cpu_time = cpu_time
        self._leader_and_recorder: tuple[Leader, Recorder] | None = None
        self._view_service: ViewService | None = None
        self._first_request = trio.Event()

    def create_listener(self, leader: "Leader") -> Listener:
        """A new recorder for the term, which also exports traces if they are on."""
        from pepperlatch.console.recorder import Recorder

        on_job_over = None
        if self._config.trace_share > 0:
            from pepperlatch.console.tracing import JobTracer

            on_job_over = JobTracer(self._core.settings.node, self._config.trace_share).export_job
        jobs = leader.replica.jobs
        recorder = Recorder(self._core.clock, self._core.wall, lambda job_id: jobs[job_id].record.at, on_job_over)
        self._leader_and_recorder = (leader, recorder)
        if self._view_service is not None:
            self._view_service.start_term(leader, recorder)
        return recorder

    def _get_view_service(self) -> "ViewService":
        """The view service, created at the first request."""
        if self._view_service is None:
            from pepperlatch.console.service import ViewService

            self._view_service = ViewService(self._core, self._cpu_time)
            self._first_request.set()
            if self._leader_and_recorder is not None:
                self._view_service.start_term(*self._leader_and_recorder)
        return self._view_service

    async def handle(self, request: Request) -> Response:
        if request.path.partition("?")[0] == "/metrics":
            return self._metrics_response()
        return await self._get_view_service().handle(request)

    def _metrics_response(self) -> Response:
        if not self._config.metrics:
            return Response(404, {"error": "metrics are off: [console] metrics in deploy/features.toml"})
        from pepperlatch.console import metrics

        content_type, text = metrics.render_metrics(self._core, self._leader_and_recorder)
        return Response(200, text, {"Content-Type": content_type})

    async def run(self) -> None:
        """Serve the members' listener, if configured; from the first request on, also keep the viewers' rows current.

        Runs until cancelled.
        """
        async with trio.open_nursery() as nursery:
            if self._config.public.listen:
                from pepperlatch.console.public import MembersView

                host, port = split_address(self._config.public.listen)
                server = Server(
                    MembersView(self._get_view_service(), self._config.public).handle, c.MAX_PUBLIC_CONNECTIONS
                )
                nursery.start_soon(server.serve, host, port)
            await self._first_request.wait()
            await self._get_view_service().run()

    async def run_while_leading(self, term: Term) -> None:
        """Restore the time lines that the last leader saved; then save regularly, and charge the machines' costs.

        If it is cancelled during a save, the previous save stays complete.
        """
        from pepperlatch.console.persistence import TimelinePersistence

        leader_and_recorder = self._leader_and_recorder
        if leader_and_recorder is None or leader_and_recorder[0].term is not term:
            return
        leader, recorder = leader_and_recorder
        persistence = TimelinePersistence(self._core, leader, recorder)
        await persistence.restore()
        while not term.over:
            until = self._core.clock() + c.SAVE_INTERVAL_S
            while self._core.clock() < until and not term.over:
                await trio.sleep(c.SPENDING_INTERVAL_S)
                recorder.costs.charge(leader.cluster.machines.values(), self._core.clock())
            try:
                await persistence.save()
            except (NotExecuted, OutcomeUnknown) as error:
                log.debug("state service did not confirm the saved time lines, retrying with the next save: %s", error)
