"""Client of the cloud's interface, within its rate limit.

The leader rents and returns machines; while no controller leads, the others may return some.
"""

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.token_bucket import TokenBucket
from pepperlatch.settings import CloudLimits


class CloudError(Exception):
    """The call got no usable answer; it may have been carried out."""


class NoCapacity(Exception):
    """The cloud has no machine of this type and zone, spot or ordinary, at present."""


class CloudClient:
    """Calls wait for the rate limit and raise CloudError, `hire` also NoCapacity."""

    def __init__(self, network: Network, addr: str, limits: CloudLimits, clock: Callable[[], float]) -> None:
        self._network = network
        self._addr = addr
        self._clock = clock
        self._call_rate = TokenBucket(limits.rps * c.CLOUD_RATE_SHARE, c.CLOUD_BURST_S)

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        """Send one request after waiting for the rate limit; returns the body. Raises CloudError or NoCapacity."""
        wait = self._call_rate.take(self._clock())
        if wait > 0:
            await trio.sleep(wait)
        try:
            status, answer = await self._network.request(self._addr, method, path, body, c.CLOUD_REQUEST_TIMEOUT_S)
        except (NotSent, NoUsableResponse) as error:
            raise CloudError(str(error)) from None
        if status == 503 and isinstance(answer, dict) and answer.get("error") == "no capacity":
            raise NoCapacity
        if status != 200:
            raise CloudError(f"{path}: {status} {answer}")
        return answer

    async def types(self) -> list[wire.MachineType]:
        """All machine types with their present prices."""
        answer = await self._call("GET", wire.TYPES_PATH)
        try:
            return wire.types_of(answer)
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            raise CloudError(f"unexpected machine types: {error}") from None

    async def hire(self, request: str, type_name: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count` machines; returns their names. Repeating the same `request` id rents no more."""
        body = wire.hire_body(request, type_name, zone, spot, count)
        answer = await self._call("POST", wire.MACHINES_PATH, body)
        try:
            hired: wire.HiredMachines = wire.convert(answer, wire.HiredMachines)
        except msgspec.ValidationError as error:
            raise CloudError(f"unexpected answer to a rental: {error}") from None
        return hired.names

    async def release(self, names: list[str]) -> None:
        """Return machines to the cloud."""
        await self._call("POST", wire.RELEASE_PATH, wire.release_body(names))

    async def machines(self) -> list[wire.ListedMachine]:
        """All rented machines. The list may lag behind, see `list_lag_s` of the settings."""
        listed: list[wire.ListedMachine] = []
        after = ""
        while True:
            try:
                page = wire.convert(await self._call("GET", wire.machines_path(after, c.LIST_PAGE)), wire.MachinePage)
            except msgspec.ValidationError as error:
                raise CloudError(f"unexpected machine list: {error}") from None
            listed += page.machines
            if not page.more or not page.machines:
                return listed
            after = page.machines[-1].name
