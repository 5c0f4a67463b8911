"""Limits on connections: more machines than a controller may connect to, and users who crowd out workers."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, NotSent
from pepperlatch.protocol.http.server import Request, Response, Server

HOST = "127.0.0.1"


def with_servers(count: int, most: int, scenario: Callable[[list[str], list[Server]], Awaitable[None]]) -> None:
    """Run `scenario` with the addresses of `count` servers, each of which accepts at most `most` connections."""

    async def answer(request: Request) -> Response:
        return Response(200, {"path": request.path})

    async def main() -> None:
        servers = [Server(answer, most, lambda request: request.path == wire.REPORT_PATH) for _ in range(count)]
        async with trio.open_nursery() as nursery:
            addrs = []
            for server in servers:
                listeners = await nursery.start(server.serve, HOST, 0)
                addrs.append(f"{HOST}:{listeners[0].socket.getsockname()[1]}")
            await scenario(addrs, servers)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_an_idle_connection_is_closed_to_make_room_for_another_address() -> None:
    """Failure: with more machines than connections, the first hundreds contacted kept the others from contact."""

    async def scenario(addrs: list[str], servers: list[Server]) -> None:
        network = HttpNetwork(2)
        for addr in [*addrs, *addrs]:
            assert (await network.request(addr, "GET", "/x"))[0] == 200
        assert [connection.addr for connection in network._idle_order] == addrs[1:], "the longest idle is closed first"
        network.drop_idle()
        assert network._open == 2, "they have not been idle for long"
        assert sorted(network._idle) == sorted(addrs[1:]), "no entry is kept for an address without an idle connection"
        used = HttpNetwork(1)
        await used.request(addrs[0], "GET", "/x")
        await used._connect(addrs[0], 1.0)
        assert not used._idle
        with pytest.raises(NotSent):
            await used.request(addrs[1], "GET", "/x")

    with_servers(3, 10, scenario)


def test_users_connections_are_closed_before_workers_are_refused() -> None:
    async def scenario(addrs: list[str], servers: list[Server]) -> None:
        users, workers = ([HttpNetwork(1) for _ in range(8)] for _ in "ab")
        for user in users:
            await user.request(addrs[0], "GET", "/work/run-1")
        for worker in workers:
            for user in users:
                await user.request(addrs[0], "GET", "/work/run-1")
            await trio.sleep(0.01)
            assert (await worker.request(addrs[0], "POST", wire.REPORT_PATH, {}))[0] == 200
        assert all(worker._idle_order for worker in workers), "their connections are kept"
        assert not all(user._idle_order for user in users)

    with_servers(1, 12, scenario)
