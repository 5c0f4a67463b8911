"""The process that serves the simulated state service and the simulated cloud."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from pepperlatch.protocol.http.client import HttpNetwork
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.scale import control
from pepperlatch.scale.addresses import Addresses
from pepperlatch.scale.cloud import SimulatedCloud
from pepperlatch.scale.state_service import SimulatedStateService
from pepperlatch.settings import split_address

MAX_CONNECTIONS = 4000  # connections to each service; controllers keep a few each, and open new ones after a restart


class ServicesProcess:
    """Serves both services, and tells the worker hosts which machines the cloud boots and takes back."""

    def __init__(self, plan: control.Plan) -> None:
        self._addresses = Addresses(plan.port)
        self._host_addresses = [self._addresses.host(index) for index in range(plan.scenario.hosts)]
        self._network = HttpNetwork(64)
        self._state = SimulatedStateService(plan.scenario.state, time.monotonic)
        self._nursery: trio.Nursery | None = None
        self._cloud = SimulatedCloud(
            plan.scenario, self._addresses, time.monotonic, self._boot_machines, self._end_machines
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for handler, address in (
                (self._state.handle, self._addresses.state()),
                (self._serve_cloud, self._addresses.cloud()),
            ):
                host, port = split_address(address)
                await nursery.start(Server(handler, MAX_CONNECTIONS).serve, host, port)
            nursery.start_soon(self._state.expire_leases)

    async def _serve_cloud(self, request: Request) -> Response:
        """Serve the cloud's API, and on the same address the control interface of this process."""
        handlers: dict[str, Callable[[bytes], Awaitable[Any]]] = {
            control.START_MEASURING_PATH: self._start_measuring, control.STATISTICS_PATH: self._statistics,
            control.MACHINES_DIED_PATH: self._mark_machines_failed,
        }  # fmt: skip
        handler = handlers.get(request.path)
        return Response(200, await handler(request.body)) if handler else await self._cloud.handle(request)

    def _boot_machines(self, numbers: list[int]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(
                control.send_to_all,
                self._network,
                self._host_addresses,
                control.BOOT_MACHINES_PATH,
                control.MachineNumbers(numbers),
            )

    async def _end_machines(self, numbers: list[int]) -> None:
        await control.send_to_all(
            self._network, self._host_addresses, control.END_MACHINES_PATH, control.MachineNumbers(numbers)
        )

    async def _start_measuring(self, body: bytes) -> dict[str, Any]:
        self._state.counts.clear()
        self._cloud.counts.clear()
        return {}

    async def _statistics(self, body: bytes) -> dict[str, Any]:
        return {"state": dict(self._state.counts), "cloud": dict(self._cloud.counts)}

    async def _mark_machines_failed(self, body: bytes) -> dict[str, Any]:
        self._cloud.mark_failed(control.decode_message(body, control.MachineNumbers).numbers)
        return {}


def run(plan: control.Plan) -> None:
    """Run both services until the process is terminated."""
    trio.run(ServicesProcess(plan).run)
