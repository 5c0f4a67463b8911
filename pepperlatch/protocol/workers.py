"""Client of the interface that workers offer to controllers."""

from typing import Any

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NoUsableResponse


class WorkerClient:
    """Calls raise NotSent or NoUsableResponse; after the latter a command may have been executed."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def inspect(self, addr: str, seconds: float = c.PROBE_TIMEOUT_S) -> wire.Report:
        """Probe a worker: its report, without any effect on its lease."""
        _, answer = await self._network.request(addr, "GET", wire.INSPECT_PATH, None, seconds)
        return _report(answer)

    async def command(
        self, addr: str, token: int, session: int, orders: list[dict[str, Any]], seconds: float = c.COMMAND_TIMEOUT_S
    ) -> tuple[bool, wire.Report]:
        """Send orders with the leader's fencing token; returns whether they were executed, and the report after them.

        A worker refuses all of them if it has seen a higher token or is in another session. A command without orders
        only makes the worker record the token, which fences the machine against earlier leaders.
        """
        body = wire.commands_body(token, session, orders)
        status, answer = await self._network.request(addr, "POST", wire.COMMANDS_PATH, body, seconds)
        if status not in (200, 409):
            raise NoUsableResponse(f"{addr}: {status}")
        return status == 200, _report(answer)


def _report(answer: Any) -> wire.Report:
    try:
        report: wire.Report = wire.convert(answer, wire.Report)
        return report
    except msgspec.ValidationError as error:
        raise NoUsableResponse(f"unexpected report: {error}") from None
