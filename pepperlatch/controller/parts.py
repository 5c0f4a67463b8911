"""The seam for subsystems: what a controller offers to a part that is switched on, and what it takes from one.

A part has keys of its own in the state service (below `prefix`, never below `j/` or `f/`), answers paths of its
own, and may do what only the leader does while its term lasts. It uses the same core as users do; nothing here
knows any part. A part that raises is logged and skipped, and its path answers 500: the rest goes on.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leadership import Term
from pepperlatch.controller.store import Watched
from pepperlatch.controller.users import Users
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import StateClient
from pepperlatch.settings import Settings

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Core:
    """What a part may use of the node that it runs in."""

    settings: Settings
    users: Users
    watched: Watched
    state: StateClient
    wall: Callable[[], float]


class Part(Protocol):
    name: str
    prefix: str  # of its keys in the state service
    paths: Sequence[str]  # on the users' listener: each itself and all below it

    async def handle(self, request: Request) -> Response:
        """Answer a request of its paths; what is left half done if the node dies is its own affair."""
        ...

    async def run(self) -> None:
        """For as long as the node lives. Started again after a pause if it raises."""
        ...

    async def lead(self, term: Term) -> None:
        """While this node leads; cancelled when the term is over."""
        ...


class Parts:
    def __init__(self, parts: Sequence[Part]) -> None:
        """Raises ValueError if a part claims keys that are the core's or another part's."""
        taken = [store.WATCHED, store.FLEET]
        for part in parts:
            if any(part.prefix.startswith(other) or other.startswith(part.prefix) for other in taken):
                raise ValueError(f"{part.name}: keys below {part.prefix!r} are taken")
            taken.append(part.prefix)
        self._parts = parts

    def names(self) -> list[str]:
        return [part.name for part in self._parts]

    async def handle(self, path: str, request: Request) -> Response | None:
        """The answer of the part that has this path; None if no part has."""
        for part in self._parts:
            if any(path == own or path.startswith(own + "/") for own in part.paths):
                return await self._guarded(part, request)
        return None

    async def _guarded(self, part: Part, request: Request) -> Response:
        try:
            return await part.handle(request)
        except Exception:
            log.exception("%s: %s %s failed", part.name, request.method, request.path)
            return Response(500, {"error": f"{part.name} failed"})

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for part in self._parts:
                nursery.start_soon(self._again, part.name, part.run)

    async def _again(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await loop()
                return
            except Exception:
                log.exception("%s failed; it is started again", name)
            await trio.sleep(c.PART_PAUSE_S)

    async def lead(self, term: Term) -> None:
        """Ends soon after the term."""
        async with trio.open_nursery() as nursery:
            for part in self._parts:
                nursery.start_soon(self._again, part.name, partial(part.lead, term))
            while not term.over:
                await trio.sleep(c.TICK_S)
            nursery.cancel_scope.cancel()
