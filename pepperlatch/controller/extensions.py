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
from pepperlatch.controller.users import JobProgress, UserApi
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
class LeaderSnapshot:
    """What a node that does not lead knows from the leader: when it asked, and of each job what was answered."""

    requested_at: float
    progress: Callable[[str], JobProgress | None]


@dataclass(slots=True)
class ExtensionContext:
    """What a part may use of the node that it runs in."""

    settings: Settings
    users: UserApi
    watched: Watched
    state: StateClient
    wall: Callable[[], float]
    clock: Callable[[], float]
    network: Network
    current_leader: "Callable[[], Leader | None]"
    leader_snapshot: Callable[[], LeaderSnapshot]


class Extension(Protocol):
    name: str
    prefix: str  # of its keys in the state service
    paths: Sequence[str] = ()  # on the users' listener: each itself and all below it
    operator_paths: Sequence[str] = ()  # on the controllers' own

    async def handle(self, request: Request) -> Response:
        """Answer a request of its paths; what is left half done if the node dies is its own affair."""
        ...

    def create_listener(self, leader: "Leader") -> Listener | None:
        """Who is told of what this node's next term decides and sees; the term has not begun to work."""
        return None

    async def run(self) -> None:
        """For as long as the node lives. Started again after a pause if it raises."""
        ...

    async def run_while_leading(self, term: Term) -> None:
        """While this node leads; cancelled when the term is over."""
        ...


class Extensions:
    def __init__(self, extensions: Sequence[Extension]) -> None:
        """Raises ValueError if a part claims keys that are the core's or another part's."""
        taken = [store.WATCHED, store.FLEET]
        for extension in extensions:
            if any(extension.prefix.startswith(other) or other.startswith(extension.prefix) for other in taken):
                raise ValueError(f"{extension.name}: keys below {extension.prefix!r} are taken")
            taken.append(extension.prefix)
        self._extensions = extensions

    def names(self) -> list[str]:
        return [extension.name for extension in self._extensions]

    async def handle(self, request: Request, operators: bool = False) -> Response | None:
        """The answer of the part that has this path on this listener; None if no part has."""
        path = request.path.partition("?")[0]
        for extension in self._extensions:
            paths = extension.operator_paths if operators else extension.paths
            if any(path == own or path.startswith(own + "/") for own in paths):
                return await self._handle_isolated(extension, request)
        return None

    def listener(self, leader: "Leader") -> Listener:
        """All who listen to this term, as one."""
        listeners: list[tuple[str, Listener]] = []
        for extension in self._extensions:
            try:
                found = extension.create_listener(leader)
            except Exception:
                log.exception("%s does not listen", extension.name)
                continue
            if found is not None:
                listeners.append((extension.name, found))
        return IsolatingListener(listeners) if listeners else Nobody()

    async def _handle_isolated(self, extension: Extension, request: Request) -> Response:
        try:
            return await extension.handle(request)
        except Exception:
            log.exception("%s: %s %s failed", extension.name, request.method, request.path)
            return Response(500, {"error": f"{extension.name} failed"})

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for extension in self._extensions:
                nursery.start_soon(self._run_with_restart, extension.name, extension.run)

    async def _run_with_restart(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await loop()
                return
            except Exception:
                log.exception("%s failed; it is started again", name)
            await trio.sleep(c.PART_PAUSE_S)

    async def run_while_leading(self, term: Term) -> None:
        """Ends soon after the term."""
        async with trio.open_nursery() as nursery:
            for extension in self._extensions:
                nursery.start_soon(self._run_with_restart, extension.name, partial(extension.run_while_leading, term))
            while not term.over:
                await trio.sleep(c.TICK_S)
            nursery.cancel_scope.cancel()


class IsolatingListener:
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
