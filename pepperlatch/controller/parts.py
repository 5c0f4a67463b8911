"""The seam for subsystems: what a controller offers to a part that is switched on, and what it takes from one.

A part has keys of its own in the state service (below `prefix`, never below `j/` or `f/`), answers paths of its
own, may do what only the leader does while its term lasts, and may listen to what the leader decides and sees. It
uses the same core as users do; nothing here knows any part. A part that raises is logged and skipped, and its path
answers 500: the rest goes on.
"""

import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leadership import Term
from pepperlatch.controller.store import Watched
from pepperlatch.controller.users import Progress, Users
from pepperlatch.policy.events import Listener, Nobody
from pepperlatch.policy.model import Attempt, Job, Machine
from pepperlatch.protocol.http.client import Network
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import StateClient
from pepperlatch.settings import Settings

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Told:
    """What a node that does not lead knows from the leader: when it asked, and of each job what was answered."""

    at: float
    progress: Callable[[str], Progress | None]


@dataclass(slots=True)
class Core:
    """What a part may use of the node that it runs in."""

    settings: Settings
    users: Users
    watched: Watched
    state: StateClient
    wall: Callable[[], float]
    clock: Callable[[], float]
    network: Network
    leading: "Callable[[], Leader | None]"
    told: Callable[[], Told]


class Part(Protocol):
    name: str
    prefix: str  # of its keys in the state service
    paths: Sequence[str] = ()  # on the users' listener: each itself and all below it
    operators_paths: Sequence[str] = ()  # on the controllers' own

    async def handle(self, request: Request) -> Response:
        """Answer a request of its paths; what is left half done if the node dies is its own affair."""
        ...

    def listen(self, leader: "Leader") -> Listener | None:
        """Who is told of what this node's next term decides and sees; the term has not begun to work."""
        return None

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

    async def handle(self, request: Request, operators: bool = False) -> Response | None:
        """The answer of the part that has this path on this listener; None if no part has."""
        path = request.path.partition("?")[0]
        for part in self._parts:
            paths = part.operators_paths if operators else part.paths
            if any(path == own or path.startswith(own + "/") for own in paths):
                return await self._guarded(part, request)
        return None

    def listener(self, leader: "Leader") -> Listener:
        """All who listen to this term, as one."""
        listeners: list[tuple[str, Listener]] = []
        for part in self._parts:
            try:
                found = part.listen(leader)
            except Exception:
                log.exception("%s does not listen", part.name)
                continue
            if found is not None:
                listeners.append((part.name, found))
        return Guarded(listeners) if listeners else Nobody()

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
            await trio.sleep(c.EXTENSION_RESTART_PAUSE_S)

    async def lead(self, term: Term) -> None:
        """Ends soon after the term."""
        async with trio.open_nursery() as nursery:
            for part in self._parts:
                nursery.start_soon(self._again, part.name, partial(part.lead, term))
            while not term.over:
                await trio.sleep(c.TICK_S)
            nursery.cancel_scope.cancel()


class Guarded:
    """Tells several; one that raises is logged and told nothing more in this term."""

    def __init__(self, listeners: list[tuple[str, Listener]]) -> None:
        self._listeners = listeners

    def _tell(self, name: str, *what: Any) -> None:
        for entry in list(self._listeners):
            try:
                getattr(entry[1], name)(*what)
            except Exception:
                log.exception("%s listens no more in this term", entry[0])
                self._listeners.remove(entry)

    def explained(self, job: Job, now: float) -> None:
        self._tell("explained", job, now)

    def placed(self, attempt: Attempt, now: float) -> None:
        self._tell("placed", attempt, now)

    def started(self, attempt: Attempt, now: float) -> None:
        self._tell("started", attempt, now)

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        self._tell("ended", attempt, cause, now)

    def job(self, job_id: str, what: str, now: float) -> None:
        self._tell("job", job_id, what, now)

    def machine(self, machine: Machine, what: str, why: str, now: float) -> None:
        self._tell("machine", machine, what, why, now)

    def noted(self, what: str, text: str, now: float) -> None:
        self._tell("noted", what, text, now)
