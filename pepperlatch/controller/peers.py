"""Access to workers through other controllers, for when the network between them and the leader is cut.

`LeaderlessReturns` also uses it on a follower.
"""

import contextlib
from collections.abc import Awaitable, Callable

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.wire import Report
from pepperlatch.protocol.workers import WorkerClient
from pepperlatch.settings import Peer, Settings, SettingsError

PEER_INSPECT, PEER_FENCE = "/peer/inspect", "/peer/fence"


class InspectMessage(msgspec.Struct):
    """Body of PEER_INSPECT: ask the worker at `addr` for a report."""

    addr: str
    others: list[str] = []  # addresses of machines that the leader hears from


class FenceMessage(msgspec.Struct):
    """Body of PEER_FENCE: show the leader's token to the worker at `addr`, without orders."""

    addr: str
    token: int
    session: int


class FenceResult(msgspec.Struct):
    """The worker's answer to a fencing command."""

    executed: bool
    report: Report


class PeerProxy:
    """Sends requests for workers to other controllers, and serves theirs."""

    def __init__(self, settings: Settings, network: Network, workers: WorkerClient) -> None:
        self._settings = settings
        self._network = network
        self._workers = workers

    # --- sending requests -------------------------------------------------------------------------

    async def inspect(self, addr: str, others: list[str]) -> tuple[Report | None, bool]:
        """Ask all other controllers at once for a report of a machine that this one cannot reach.

        Returns the first report (None if no controller got one), and whether the result is conclusive: whether any
        controller can tell that the machine is silent. One that does not answer, or that reaches none of the `others`
        either, cannot; one of an earlier version does not say what it reaches and counts as able to tell. Without other
        controllers the second value is True.
        """
        found: list[Report] = []
        conclusive = 0

        async def ask_peer(peer: Peer) -> None:
            nonlocal conclusive
            try:
                status, answer = await self._network.request(
                    peer.addr, "POST", PEER_INSPECT, {"addr": addr, "others": others}, c.PROBE_TIMEOUT_S * 2.5
                )
                conclusive += status == 200 or bool(answer.get("reaches", True))
                if status == 200:
                    found.append(wire.convert(answer, Report))
                    nursery.cancel_scope.cancel()
            except (NotSent, NoUsableResponse, msgspec.ValidationError, AttributeError):
                return

        async with trio.open_nursery() as nursery:
            for peer in self._settings.peers:
                nursery.start_soon(ask_peer, peer)
        return (found[0] if found else None), conclusive > 0 or not self._settings.peers

    async def fence(self, addr: str, zone: str, token: int, session: int) -> FenceResult:
        """Have another controller show the leader's token to a worker.

        Up to MAX_FENCE_PEERS are asked one after the other, those in the worker's zone first; raises NoUsableResponse
        if none succeeds. The command carries no orders, so a copy that arrives late has no effect beyond that of the
        token itself.
        """
        peers = sorted(self._settings.peers, key=lambda p: p.zone != zone)
        for peer in peers[: c.MAX_FENCE_PEERS]:
            body = {"addr": addr, "token": token, "session": session}
            try:
                status, answer = await self._network.request(peer.addr, "POST", PEER_FENCE, body, 2 * c.FENCE_TIMEOUT_S)
                if status == 200:
                    fenced: FenceResult = wire.convert(answer, FenceResult)
                    return fenced
            except (NotSent, NoUsableResponse, msgspec.ValidationError):
                continue
        raise NoUsableResponse(f"{addr}: no other controller reached the worker")

    # --- serving requests -------------------------------------------------------------------------

    async def serve(self, request: Request) -> Response:
        """Serve PEER_INSPECT or PEER_FENCE: 200 with the worker's answer, 504 if it gave none, 400 if malformed."""
        handler: Callable[[bytes], Awaitable[Response]] = (
            self._serve_fence if request.path == PEER_FENCE else self._serve_inspect
        )
        try:
            return await handler(request.body)
        except (orjson.JSONDecodeError, msgspec.ValidationError, SettingsError) as error:
            return Response(400, {"error": str(error)})

    async def _serve_inspect(self, body: bytes) -> Response:
        message = wire.convert(orjson.loads(body), InspectMessage)
        try:
            return Response(200, wire.to_plain(await self._workers.inspect(message.addr)))
        except (NotSent, NoUsableResponse) as error:
            return Response(504, {"error": str(error), "reaches": await self.reaches_any(message.others)})

    async def reaches_any(self, others: list[str]) -> bool:
        """Whether any of the first MAX_WITNESSES of these machines answers this node.

        If none does, this node is cut off from them all and its failure to reach some other machine proves nothing.
        """
        reached = False

        async def ask_machine(addr: str) -> None:
            nonlocal reached
            with contextlib.suppress(NotSent, NoUsableResponse, SettingsError):
                await self._workers.inspect(addr)
                reached = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for addr in others[: c.MAX_WITNESSES]:
                nursery.start_soon(ask_machine, addr)
        return reached

    async def _serve_fence(self, body: bytes) -> Response:
        message = wire.convert(orjson.loads(body), FenceMessage)
        try:
            executed, report = await self._workers.command(
                message.addr, message.token, message.session, [], c.FENCE_TIMEOUT_S
            )
        except (NotSent, NoUsableResponse) as error:
            return Response(504, {"error": str(error)})
        return Response(200, wire.to_plain(FenceResult(executed, report)))
