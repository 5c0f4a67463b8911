"""Answers of the state service, the cloud and workers in another form than the protocol's raise documented errors.

Guards against a KeyError or TypeError that ended the leader, for example as a lease was refused with a status 500.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from pepperlatch.protocol.cloud import CloudClient, CloudError, NoCapacity
from pepperlatch.protocol.http.client import HttpNetwork, NoUsableResponse
from pepperlatch.protocol.state import LeaseGone, NotExecuted, OutcomeUnknown, StateClient
from pepperlatch.protocol.workers import WorkerClient
from tests.fakes import settings_of

STATUSES = [200, 204, 301, 400, 404, 409, 410, 418, 429, 500, 503]
BODIES: list[Any] = [
    None, 5, "x", [], [1], {}, {"ledger_mark": None}, {"ledger_mark": "x", "failed": 3}, {"tenancy": None},
    {"perches": None}, {"perches": [1, None]}, {"perches": {}}, {"builds": 7}, {"error": ["no such lease"]},
    {"ledger_mark": 3, "failed": [1]},
]  # fmt: skip
EXPECTED = (NotExecuted, OutcomeUnknown, LeaseGone, CloudError, NoCapacity, NoUsableResponse)
LIMITS = settings_of(0).params


class OddNetwork:
    """Gives every request the same answer."""

    def __init__(self, status: int, body: Any) -> None:
        self.answer = status, body

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]:
        return self.answer


def state(network: OddNetwork) -> StateClient:
    return StateClient(network, "", LIMITS.state, 3, trio.current_time)


def cloud(network: OddNetwork) -> CloudClient:
    return CloudClient(network, "", LIMITS.cloud, trio.current_time)


CALLS: dict[str, Callable[[OddNetwork], Awaitable[Any]]] = {
    "read": lambda network: state(network).read("j/leader"),
    "read_all": lambda network: state(network).read_all("j/"),
    "changes": lambda network: state(network).changes("j/", 0, 0),
    "txn": lambda network: state(network).txn([], [{"delete": "j/x"}], urgent=True),
    "grant_lease": lambda network: state(network).grant_lease(2000),
    "renew_lease": lambda network: state(network).renew_lease(1, 1.0),
    "revoke_lease": lambda network: state(network).revoke_lease(1),
    "hire": lambda network: cloud(network).hire("h", "m8", "a", False, 2),
    "types": lambda network: cloud(network).types(),
    "machines": lambda network: cloud(network).machines(),
    "release": lambda network: cloud(network).release(["n-1"]),
    "inspect": lambda network: WorkerClient(network).inspect(""),
    "command": lambda network: WorkerClient(network).command("", 1, 1, []),
}


@pytest.mark.parametrize("call", CALLS)
def test_an_unreadable_answer_raises_a_documented_error(call: str) -> None:
    async def main() -> None:
        for status in STATUSES:
            for body in BODIES:
                try:
                    await CALLS[call](OddNetwork(status, body))
                except EXPECTED:
                    continue

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_an_applied_transaction_whose_answer_cannot_be_read_counts_as_unknown() -> None:
    async def main() -> None:
        for body in (None, {}, {"ledger_mark": "x"}):
            with pytest.raises(OutcomeUnknown):
                await state(OddNetwork(200, body)).txn([], [{"delete": "j/x"}], urgent=True)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_hired_machines_have_names() -> None:
    async def main() -> None:
        for body in (None, {}, {"perches": 3}, {"perches": [None]}):
            with pytest.raises(CloudError):
                await cloud(OddNetwork(200, body)).hire("h", "m8", "a", False, 1)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_header_that_is_not_ascii_does_not_make_an_answer_unreadable() -> None:
    """Guards against UnicodeDecodeError for a Retry-After of another server."""

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nRetry-After: \xe9\r\nContent-Length: 2\r\n\r\n{}")

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(lambda task_status: trio.serve_tcp(serve, 0, host="127.0.0.1",
                                                                               task_status=task_status))  # fmt: skip
            port = listeners[0].socket.getsockname()[1]
            assert await HttpNetwork(2).request(f"127.0.0.1:{port}", "GET", "/") == (200, {})
            nursery.cancel_scope.cancel()

    trio.run(main)
