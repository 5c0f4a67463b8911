"""Sockets by need: more machines than connections, and users who would keep workers out."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, NotSent
from pepperlatch.protocol.http.server import Request, Response, Server

HOST = "127.0.0.1"


def with_servers(count: int, most: int, scenario: Callable[[list[str], list[Server]], Awaitable[None]]) -> None:
    """`scenario` gets the addresses of so many servers, each of which holds `most` connections."""

    async def answer(request: Request) -> Response:
        return Response(200, {"path": request.path})

    async def main() -> None:
        servers = [Server(answer, most, lambda request: request.path == wire.REPORT) for _ in range(count)]
        async with trio.open_nursery() as nursery:
            addrs = []
            for server in servers:
                listeners = await nursery.start(server.serve, HOST, 0)
                addrs.append(f"{HOST}:{listeners[0].socket.getsockname()[1]}")
            await scenario(addrs, servers)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_connection_that_nobody_uses_makes_room_for_another_partner() -> None:
    """With more machines than connections, the first hundreds that were asked kept all others from being asked."""

    async def scenario(addrs: list[str], servers: list[Server]) -> None:
        network = HttpNetwork(2)
        for addr in [*addrs, *addrs]:
            assert (await network.request(addr, "GET", "/x"))[0] == 200
        assert [link.addr for link in network._resting] == addrs[1:], "the longest unused goes first"
        network.drop_idle()
        assert network._open == 2, "they are young"
        assert sorted(network._idle) == sorted(addrs[1:]), "nothing is kept of a partner without an idle connection"
        used = HttpNetwork(1)
        await used.request(addrs[0], "GET", "/x")
        await used._link(addrs[0], 1.0)
        assert not used._idle
        with pytest.raises(NotSent):
            await used.request(addrs[1], "GET", "/x")

    with_servers(3, 10, scenario)


def test_users_connections_end_before_workers_are_refused() -> None:
    async def scenario(addrs: list[str], servers: list[Server]) -> None:
        users, workers = ([HttpNetwork(1) for _ in range(8)] for _ in "ab")
        for user in users:
            await user.request(addrs[0], "GET", "/work/run-1")
        for worker in workers:
            for user in users:
                await user.request(addrs[0], "GET", "/work/run-1")
            await trio.sleep(0.01)
            assert (await worker.request(addrs[0], "POST", wire.REPORT, {}))[0] == 200
        assert all(worker._resting for worker in workers), "their connections are kept"
        assert not all(user._resting for user in users)

    with_servers(1, 12, scenario)
