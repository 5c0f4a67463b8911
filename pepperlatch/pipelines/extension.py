"""The pipelines extension of a controller.

To keep the controller's start fast, the implementation (`service`) is imported only at the first request, or when the
leader finds a pending run or a schedule.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

import trio

from pepperlatch import features
from pepperlatch.constants import pipelines as c
from pepperlatch.controller.extensions import Extension, ExtensionContext
from pepperlatch.controller.leadership import Term
from pepperlatch.controller.users import retry_later
from pepperlatch.pipelines import keys
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown

if TYPE_CHECKING:
    from pepperlatch.pipelines.service import PipelineService


class PipelinesExtension(Extension):
    """Serves runs and schedules on every node; on the leader it resumes runs and starts those that are due."""

    name = "pipelines"
    prefix = keys.PREFIX
    paths: Sequence[str] = ("/pipelines", "/schedules")

    def __init__(self, core: ExtensionContext, options: features.Pipelines) -> None:
        self._core = core
        self._options = options
        self._created_service: PipelineService | None = None
        self._nursery: trio.Nursery | None = None

    def _service(self) -> "PipelineService":
        """The service, created when first needed.

        Raises NotExecuted while `run` is not running, for example until the extension is restarted after an error.
        """
        if self._nursery is None:
            raise NotExecuted("pipelines are being started")
        if self._created_service is None:
            from pepperlatch.pipelines.service import PipelineService

            self._created_service = PipelineService(self._core, self._options, self._nursery)
        return self._created_service

    async def handle(self, request: Request) -> Response:
        """Answer a user's request within RUN_ANSWER_TIMEOUT_S, after that with "retry later".

        A run that was recorded by then is advanced further; repeating the request returns its current state.
        """
        with trio.move_on_after(c.RUN_ANSWER_TIMEOUT_S):
            try:
                return await self._service().handle(request)
            except (NotExecuted, OutcomeUnknown):
                pass
        return retry_later()

    async def run(self) -> None:
        """Hold the nursery in which runs are advanced. However this ends, any node can resume the runs."""
        try:
            async with trio.open_nursery() as self._nursery:
                await trio.sleep_forever()
        finally:
            self._nursery = self._created_service = None

    async def run_while_leading(self, term: Term) -> None:
        """Resume abandoned runs and start the runs that are due by schedule, every RUN_SCAN_INTERVAL_S.

        A run that is pending in two scans in a row counts as abandoned: its node died or was cut off before it had
        created or cancelled all jobs. If the state service does not answer, the next scan tries again.
        """
        pending_before: set[str] = set()  # keys that the scan before found
        while not term.over:
            try:
                _, pairs = await self._core.state.read_all(keys.PENDING)
                found = {pair.key for pair in pairs}
                if found:
                    self._service().resume_runs(found & pending_before)
                    await self._service().run_due(pairs)
                pending_before = found
            except (NotExecuted, OutcomeUnknown):
                pass
            await trio.sleep(c.RUN_SCAN_INTERVAL_S)
