"""The process of the state service and the cloud."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from pepperlatch.protocol.http.client import HttpNetwork
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.scale import control
from pepperlatch.scale.addresses import Addresses
from pepperlatch.scale.cloud import Cloud
from pepperlatch.scale.state_service import StateService
from pepperlatch.settings import split_address

CONNECTIONS = 4000  # of each service; controllers keep a few each, and begin anew after an end


class Services:
    def __init__(self, plan: control.Plan) -> None:
        self._addresses = Addresses(plan.port)
        self._hosts = [self._addresses.host(index) for index in range(plan.scenario.hosts)]
        self._network = HttpNetwork(64)
        self._state = StateService(plan.scenario.state, time.monotonic)
        self._nursery: trio.Nursery | None = None
        self._cloud = Cloud(plan.scenario, self._addresses, time.monotonic, self._boot, self._end)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for handler, address in (
                (self._state.handle, self._addresses.state()),
                (self._serve_cloud, self._addresses.cloud()),
            ):
                host, port = split_address(address)
                await nursery.start(Server(handler, CONNECTIONS).serve, host, port)
            nursery.start_soon(self._state.end_leases)

    async def _serve_cloud(self, request: Request) -> Response:
        """The cloud's interface, and the run's own control beside it."""
        handlers: dict[str, Callable[[bytes], Awaitable[Any]]] = {
            control.MARK: self._mark, control.STATISTICS: self._statistics, control.DIED: self._died,
        }  # fmt: skip
        handler = handlers.get(request.path)
        return Response(200, await handler(request.body)) if handler else await self._cloud.handle(request)

    def _boot(self, numbers: list[int]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(
                control.tell_all, self._network, self._hosts, control.BOOT, control.Numbers(numbers)
            )

    async def _end(self, numbers: list[int]) -> None:
        await control.tell_all(self._network, self._hosts, control.END, control.Numbers(numbers))

    async def _mark(self, body: bytes) -> dict[str, Any]:
        self._state.counts.clear()
        self._cloud.counts.clear()
        return {}

    async def _statistics(self, body: bytes) -> dict[str, Any]:
        return {"state": dict(self._state.counts), "cloud": dict(self._cloud.counts)}

    async def _died(self, body: bytes) -> dict[str, Any]:
        self._cloud.died(control.decoded(body, control.Numbers).numbers)
        return {}


def run(plan: control.Plan) -> None:
    """Run both services until they are ended."""
    trio.run(Services(plan).run)
