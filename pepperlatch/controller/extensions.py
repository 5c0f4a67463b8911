"""The interface between a controller and its optional extensions (for example the console).

An extension has keys of its own in the state service (below `prefix`, never below `j/` or `f/`), serves paths of its
own, may run code only while its node leads, and may listen to what the leader decides and observes. It uses the same
interfaces as users do; this module knows no extension by name. An extension that raises is logged: its listener is
dropped for the term, its loops are restarted, its path answers 500. Everything else goes on.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

import trio

from pepperlatch.constants import core as c
from pepperlatch.containment import Containment
from pepperlatch.controller import store
from pepperlatch.controller.leadership import Term
from pepperlatch.controller.store import StateWatcher
from pepperlatch.controller.users import JobProgress, UserApi
from pepperlatch.policy.events import Listener, NullListener
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
    """What a follower learned from the leader with its last contact."""

    requested_at: float  # this node's steady clock, in seconds; -inf if there was no answer yet
    progress: Callable[[str], JobProgress | None]  # by job id


@dataclass(slots=True)
class ExtensionContext:
    """What an extension may use of the controller that it runs in."""

    settings: Settings
    users: UserApi
    watcher: StateWatcher
    state: StateClient
    wall: Callable[[], float]  # time of day, in seconds
    clock: Callable[[], float]  # steady, in seconds
    network: Network
    current_leader: "Callable[[], Leader | None]"  # None while this node does not lead
    leader_snapshot: Callable[[], LeaderSnapshot]
    contained_exceptions: Mapping[str, int] = field(default_factory=dict)  # of this node, by the part that raised them


class Extension(Protocol):
    """What an extension implements. All methods may raise; `Extensions` isolates the failure."""

    name: str
    prefix: str  # of its keys in the state service
    paths: Sequence[str] = ()  # on the public listener: each path itself and all below it
    operator_paths: Sequence[str] = ()  # on the listener for controllers and operators

    async def handle(self, request: Request) -> Response:
        """Answer a request for one of the paths. Recovery of work interrupted by a crash is up to the extension."""
        ...

    def create_listener(self, leader: "Leader") -> Listener | None:
        """A listener for this node's next term, or None. Called before the term starts working."""
        return None

    async def run(self) -> None:
        """Run while the process lives. Restarted after EXTENSION_RESTART_PAUSE_S if it raises, not if it returns."""
        ...

    async def run_while_leading(self, term: Term) -> None:
        """Run while this node leads; cancelled when the term is over. Restarted like `run`."""
        ...


class Extensions:
    """All extensions that are switched on, isolated from each other and from the controller."""

    def __init__(self, extensions: Sequence[Extension], containment: Containment | None = None) -> None:
        """Raises ValueError if two key prefixes overlap, or one overlaps with the controller's own."""
        taken = [store.WATCHED, store.FLEET]
        for extension in extensions:
            if any(extension.prefix.startswith(other) or other.startswith(extension.prefix) for other in taken):
                raise ValueError(f"{extension.name}: keys below {extension.prefix!r} are taken")
            taken.append(extension.prefix)
        self._extensions = extensions
        self._containment = containment or Containment()

    def names(self) -> list[str]:
        return [extension.name for extension in self._extensions]

    async def handle(self, request: Request, operators: bool = False) -> Response | None:
        """The answer of the extension that serves this path on the listener (`operators`: the internal one).

        None if no extension does.
        """
        path = request.path.partition("?")[0]
        for extension in self._extensions:
            paths = extension.operator_paths if operators else extension.paths
            if any(path == own or path.startswith(own + "/") for own in paths):
                return await self._handle_isolated(extension, request)
        return None

    def listener(self, leader: "Leader") -> Listener:
        """One listener for the term, which passes each event to the listeners of all extensions."""
        listeners: list[tuple[str, Listener]] = []
        for extension in self._extensions:
            try:
                found = extension.create_listener(leader)
            except Exception as error:
                self._containment.count(f"extension {extension.name}", error)
                log.exception(
                    "extension %s failed to create its listener and gets no events in this term", extension.name
                )
                continue
            if found is not None:
                listeners.append((extension.name, found))
        return IsolatingListener(listeners, self._containment) if listeners else NullListener()

    async def _handle_isolated(self, extension: Extension, request: Request) -> Response:
        try:
            return await extension.handle(request)
        except Exception as error:
            self._containment.count(f"extension {extension.name}", error)
            log.exception("extension %s failed on %s %s, answered 500", extension.name, request.method, request.path)
            return Response(500, {"error": f"{extension.name} failed"})

    async def run(self) -> None:
        """Run the extensions' loops until cancelled."""
        async with trio.open_nursery() as nursery:
            for extension in self._extensions:
                nursery.start_soon(self._run_with_restart, extension.name, extension.run)

    async def _run_with_restart(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await loop()
                return
            except Exception as error:
                self._containment.count(f"extension {name}", error)
                log.exception("extension %s failed, restarting it after a pause", name)
            await trio.sleep(c.EXTENSION_RESTART_PAUSE_S)

    async def run_while_leading(self, term: Term) -> None:
        """Run the extensions' leader code. Returns at most TICK_S after the term is over."""
        async with trio.open_nursery() as nursery:
            for extension in self._extensions:
                nursery.start_soon(self._run_with_restart, extension.name, partial(extension.run_while_leading, term))
            while not term.over:
                await trio.sleep(c.TICK_S)
            nursery.cancel_scope.cancel()


class IsolatingListener:
    """Passes each event to all listeners. One that raises is logged and gets no further events in this term."""

    def __init__(self, listeners: list[tuple[str, Listener]], containment: Containment) -> None:
        self._listeners = listeners
        self._containment = containment

    def _notify(self, event: str, *arguments: Any) -> None:
        """Call the listeners' method of that name."""
        for entry in list(self._listeners):
            try:
                getattr(entry[1], event)(*arguments)
            except Exception as error:
                self._containment.count(f"extension {entry[0]}", error)
                log.exception("extension %s failed on an event and gets no more events in this term", entry[0])
                self._listeners.remove(entry)

    def explained(self, job: Job, now: float) -> None:
        self._notify("explained", job, now)

    def placed(self, attempt: Attempt, now: float) -> None:
        self._notify("placed", attempt, now)

    def started(self, attempt: Attempt, now: float) -> None:
        self._notify("started", attempt, now)

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        self._notify("ended", attempt, cause, now)

    def job(self, job_id: str, what: str, now: float) -> None:
        self._notify("job", job_id, what, now)

    def machine(self, machine: Machine, what: str, why: str, now: float) -> None:
        self._notify("machine", machine, what, why, now)

    def noted(self, what: str, text: str, now: float) -> None:
        self._notify("noted", what, text, now)
