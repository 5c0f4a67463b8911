"""Pipelines as a part of a controller: thin, so that a start costs next to nothing.

What does the work (`service`) is imported when somebody first asks for it, or when there is something to take up.
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
    from pepperlatch.pipelines.service import Service


class PipelinesExtension(Extension):
    name = "pipelines"
    prefix = keys.PREFIX
    paths: Sequence[str] = ("/pipelines", "/schedules")

    def __init__(self, core: ExtensionContext, wanted: features.Pipelines) -> None:
        self._core = core
        self._wanted = wanted
        self._made: Service | None = None
        self._nursery: trio.Nursery | None = None

    def _service(self) -> "Service":
        """Raises NotExecuted while the part is between two lives."""
        if self._nursery is None:
            raise NotExecuted("pipelines are being started")
        if self._made is None:
            from pepperlatch.pipelines.service import Service

            self._made = Service(self._core, self._wanted, self._nursery)
        return self._made

    async def handle(self, request: Request) -> Response:
        """Answers at a deadline; what was recorded by then goes on, and the same request again tells how it stands."""
        with trio.move_on_after(c.RUN_ANSWER_TIMEOUT_S):
            try:
                return await self._service().handle(request)
            except (NotExecuted, OutcomeUnknown):
                pass
        return retry_later()

    async def run(self) -> None:
        """Holds what is brought on in the background; whatever ends it leaves runs that anyone can take up."""
        try:
            async with trio.open_nursery() as self._nursery:
                await trio.sleep_forever()
        finally:
            self._nursery = self._made = None

    async def run_while_leading(self, term: Term) -> None:
        """Take up runs that lie still (their node died, or was cut off, before it was through), and run what is due."""
        lying: set[str] = set()
        while not term.over:
            try:
                _, pairs = await self._core.state.read_all(keys.TODO)
                found = {pair.key for pair in pairs}
                if found:
                    self._service().take_up(found & lying)
                    await self._service().run_due(pairs)
                lying = found
            except (NotExecuted, OutcomeUnknown):
                pass
            await trio.sleep(c.RUN_SCAN_INTERVAL_S)
