"""Reaching workers through other controllers, when a cut lies between them and the leader."""

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
    addr: str
    others: list[str] = []  # machines that the leader hears of


class FenceMessage(msgspec.Struct):
    addr: str
    token: int
    session: int


class Fenced(msgspec.Struct):
    executed: bool
    report: Report


class Peers:
    def __init__(self, settings: Settings, network: Network, workers: WorkerClient) -> None:
        self._settings = settings
        self._network = network
        self._workers = workers

    # --- asking others ----------------------------------------------------------------------------

    async def inspect(self, addr: str, others: list[str]) -> tuple[Report | None, bool]:
        """Whether a machine that we cannot reach is alive: others may reach it. All are asked at once.

        Also whether any of them can tell: one that does not answer, or reaches none of the `others` either, cannot
        (one of an earlier version does not say that).
        """
        found: list[Report] = []
        heard = 0

        async def ask(peer: Peer) -> None:
            nonlocal heard
            try:
                status, answer = await self._network.request(
                    peer.addr, "POST", PEER_INSPECT, {"addr": addr, "others": others}, c.PROBE_TIMEOUT_S * 2.5
                )
                heard += status == 200 or bool(answer.get("reaches", True))
                if status == 200:
                    found.append(wire.convert(answer, Report))
                    nursery.cancel_scope.cancel()
            except (NotSent, NoUsableResponse, msgspec.ValidationError, AttributeError):
                return

        async with trio.open_nursery() as nursery:
            for peer in self._settings.peers:
                nursery.start_soon(ask, peer)
        return (found[0] if found else None), heard > 0 or not self._settings.peers

    async def fence(self, addr: str, zone: str, token: int, session: int) -> Fenced:
        """Have another controller show our token to a worker; those in its zone are asked first.

        Carries no orders: a copy that arrives late can do no more than the token itself.
        """
        peers = sorted(self._settings.peers, key=lambda p: p.zone != zone)
        for peer in peers[: c.MAX_FENCE_PEERS]:
            body = {"addr": addr, "token": token, "session": session}
            try:
                status, answer = await self._network.request(peer.addr, "POST", PEER_FENCE, body, 2 * c.FENCE_TIMEOUT_S)
                if status == 200:
                    fenced: Fenced = wire.convert(answer, Fenced)
                    return fenced
            except (NotSent, NoUsableResponse, msgspec.ValidationError):
                continue
        raise NoUsableResponse(f"{addr}: through nobody")

    # --- being asked ------------------------------------------------------------------------------

    async def serve(self, request: Request) -> Response:
        tell: Callable[[bytes], Awaitable[Response]] = self._fence if request.path == PEER_FENCE else self._inspect
        try:
            return await tell(request.body)
        except (orjson.JSONDecodeError, msgspec.ValidationError, SettingsError) as error:
            return Response(400, {"error": str(error)})

    async def _inspect(self, body: bytes) -> Response:
        message = wire.convert(orjson.loads(body), InspectMessage)
        try:
            return Response(200, wire.to_plain(await self._workers.inspect(message.addr)))
        except (NotSent, NoUsableResponse) as error:
            return Response(504, {"error": str(error), "reaches": await self.reaches(message.others)})

    async def reaches(self, others: list[str]) -> bool:
        """Whether any of these machines answers us: else we are cut off from them all, and cannot tell of one."""
        reached = False

        async def ask(addr: str) -> None:
            nonlocal reached
            with contextlib.suppress(NotSent, NoUsableResponse, SettingsError):
                await self._workers.inspect(addr)
                reached = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for addr in others[: c.MAX_WITNESSES]:
                nursery.start_soon(ask, addr)
        return reached

    async def _fence(self, body: bytes) -> Response:
        message = wire.convert(orjson.loads(body), FenceMessage)
        try:
            executed, report = await self._workers.command(
                message.addr, message.token, message.session, [], c.FENCE_TIMEOUT_S
            )
        except (NotSent, NoUsableResponse) as error:
            return Response(504, {"error": str(error)})
        return Response(200, wire.to_plain(Fenced(executed, report)))
