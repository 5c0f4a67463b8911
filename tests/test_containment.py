"""An exception that nobody expected ends no controller: its part begins again, and a leader gives up its term."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest
import trio
import trio.testing

from pepperlatch.containment import Containment
from pepperlatch.controller.command_loop import CommandLoop
from pepperlatch.controller.contacts import Contacts
from pepperlatch.controller.daemon import Node
from pepperlatch.controller.health import Health
from pepperlatch.controller.heartbeats.forwarding import HeartbeatForwarder
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leaderless import LeaderlessReturns
from pepperlatch.controller.leadership import Leadership
from pepperlatch.controller.records import Records
from pepperlatch.controller.rentals import Rentals
from pepperlatch.controller.store import Replica, StateWatcher
from pepperlatch.controller.users import UserApi
from pepperlatch.controller.writer import Writer
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.inherited_urgency import InheritedUrgency
from pepperlatch.policy.planner import Planner
from pepperlatch.protocol.http.server import Request, Response, Server
from tests.fakes import CANCEL_S, World, job, run_scenario


class Injected(Exception):
    """Raised by a test in place of a fault of the program."""


@dataclass
class Injection:
    """Makes a method raise in the controllers that call it while it is armed, `most` times in all."""

    armed: bool = False
    raised: int = 0
    most: float = 1

    def wrap(self, method: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any, **named: Any) -> Any:
            if self.armed and self.raised < self.most:
                self.raised += 1
                raise Injected
            return method(*arguments, **named)

        return call


# Parts that only a leader runs: its term ends.
OF_LEADER: list[tuple[type, str]] = [
    (Planner, "place_all"), (Cluster, "on_report"), (Cluster, "expire"), (Health, "check"), (Health, "_late_machines"),
    (Rentals, "_on_list"), (Rentals, "rent"), (Writer, "_next_batch"), (Leader, "_answer_heartbeats"),
    (Leader, "_send_commands"), (Records, "record_tasks"), (Contacts, "_leader_message"),
    (Contacts, "_handover_reason"), (Leadership, "_renew_lease"),
]  # fmt: skip
# Parts that followers run, too.
OF_ALL: list[tuple[type, str]] = [
    (StateWatcher, "_read"), (Replica, "apply"), (Replica, "_job_changed"), (UserApi, "_take_batch"),
    (HeartbeatForwarder, "_take_batch"), (Contacts, "_contact_leader"), (LeaderlessReturns, "_due"),
    (InheritedUrgency, "update"), (Node, "_state_service_good"),
]  # fmt: skip


def counted(world: World) -> int:
    return sum(node.containment.counts.total() for node in world.processes)


def expect_all(world: World) -> None:
    """Accept contained exceptions of every part: the scenario provokes them."""
    world.check_contained_exceptions = lambda: None  # type: ignore[method-assign]


@pytest.mark.parametrize(("owner", "name"), OF_LEADER + OF_ALL, ids=lambda value: getattr(value, "__name__", value))
def test_an_exception_in_any_part_ends_no_controller(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a process that ends by itself, whatever raised; a job that is cancelled meanwhile ends in time."""
    injection = Injection()
    monkeypatch.setattr(owner, name, injection.wrap(getattr(owner, name)))

    async def scenario(world: World) -> None:
        expect_all(world)
        service, array = job(1, shape="daemon", pieces=3), job(2, pieces=3, expected_s=300.0)
        for one in (service, array):
            await world.submit(one)
            await world.until(lambda one=one: world.running(one) == 3, 60)  # type: ignore[misc]
        term = world.nodes[world.leader()].leader
        injection.armed = True
        await submit_until_accepted(world, job(3))
        await world.until(lambda: injection.raised == 1, 30)
        await cancel_until_confirmed(world, array)
        await trio.sleep(CANCEL_S + 1.0)
        assert world.running(array) == 0 and counted(world) >= 1
        assert world.running(service) == 3 and all(worker.session == 1 for worker in world.workers), "no lease ended"
        assert await world.status(job(3)) == "done"
        for index in world.nodes:
            assert (await world.ask(index, "GET", "/healthz"))[0] == 200
        if (owner, name) in OF_LEADER:
            assert world.nodes[world.leader()].leader is not term
        view = [(await world.send("admin", f"10.0.0.{i}:2", "GET", "/admin/view", None, 5.0))[1] for i in world.nodes]
        assert sum(sum(each["contained_exceptions"].values()) for each in view) == counted(world)

    with caplog.at_level(logging.ERROR):
        run_scenario(scenario)
    assert "Traceback" in caplog.text and "Injected" in caplog.text


async def submit_until_accepted(world: World, one: dict[str, Any]) -> None:
    with trio.fail_after(30):
        while (await world.submit(one))[0] not in (200, 201):
            await trio.sleep(1.0)


async def cancel_until_confirmed(world: World, one: dict[str, Any]) -> None:
    with trio.fail_after(30):
        while (await world.ask(0, "POST", f"/work/{one['name_id']}/cancel"))[0] != 200:
            await trio.sleep(1.0)


def test_every_leader_fails_for_a_time_and_the_work_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    injection = Injection(most=float("inf"))
    monkeypatch.setattr(Planner, "place_all", injection.wrap(Planner.place_all))

    async def scenario(world: World) -> None:
        expect_all(world)
        service = job(1, shape="daemon", pieces=3)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 3, 60)
        injection.armed = True
        assert (await world.submit(job(2)))[0] == 201
        await trio.sleep(90.0)
        assert injection.raised >= 3
        injection.armed = False
        await world.until(lambda: world.state.job_state("run-000002") == "done", 60)
        assert world.running(service) == 3

    run_scenario(scenario)


def test_a_change_that_was_taken_in_by_half_is_read_anew() -> None:
    """Guards against a leader that never hears of a cancellation which came in the same read as a malformed record."""

    async def scenario(world: World) -> None:
        expect_all(world)
        runs = job(1, pieces=2, expected_s=300.0)
        await world.submit(runs)
        await world.until(lambda: world.running(runs) == 2, 60)
        world.observer.cancel_requested.add("run-000001")
        record = {**world.state.keys["j/job/run-000001"][0], "state": "withdrawn"}
        world.state.change([{"set": "j/job/run-000001", "value": record}, {"set": "j/part/run-9/0", "value": {}}])
        await trio.sleep(10.0)
        assert counted(world) >= world.count
        world.state.change([{"set": "j/part/run-9/0", "value": {"text": ""}}])
        await world.until(lambda: world.running(runs) == 0, CANCEL_S)
        for index in world.nodes:
            assert await world.status(runs, index) == "withdrawn"

    run_scenario(scenario)


def test_commands_behind_one_that_raises_are_run() -> None:
    async def main() -> list[str]:
        done: list[str] = []
        given_up: list[str] = []

        def fail() -> None:
            raise Injected

        loop = CommandLoop(lambda: done.append("after"), 0.1, Containment(lambda: given_up.append("term")))
        for command in (lambda: done.append("first"), fail, lambda: done.append("second")):
            loop.enqueue(command)
        with trio.move_on_after(0.05):
            await loop.run()
        assert given_up == ["term"] and loop.containment.counts == {"a command": 1}
        return done

    assert trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)) == ["first", "second", "after"]


@pytest.mark.parametrize("body", [{"a": {1, 2}}, {"a": 2**70}, {1: 2}])
def test_an_answer_that_is_no_json_is_answered_with_500(body: Any) -> None:
    """Guards against an answer whose encoding raises after the handler has returned: it ended the process."""

    async def handler(request: Request) -> Response:
        return Response(200, body)

    async def main() -> tuple[bytes, Containment]:
        containment = Containment()
        client_end, server_end = trio.testing.memory_stream_pair()
        await client_end.send_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await Server(handler, 1, containment=containment)._connection(server_end)
        return await client_end.receive_some(1000), containment

    answer, containment = trio.run(main)
    assert answer.startswith(b"HTTP/1.1 500") and containment.counts == {"a request": 1}


def test_an_exception_of_a_connection_closes_only_that_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    injection = Injection(armed=True)
    monkeypatch.setattr(Server, "_write", injection.wrap(Server._write))

    async def handler(request: Request) -> Response:
        return Response(200, {})

    async def main() -> Containment:
        containment = Containment()
        server = Server(handler, 4, containment=containment)
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(server.serve, "127.0.0.1", 0)
            port, answers = listeners[0].socket.getsockname()[1], []
            for _ in range(2):
                stream = await trio.open_tcp_stream("127.0.0.1", port)
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                answers.append(await stream.receive_some(1000))
            assert answers[0] == b"" and answers[1].startswith(b"HTTP/1.1 200")
            nursery.cancel_scope.cancel()
        return containment

    assert trio.run(main).counts == {"a connection": 1}


def test_a_listener_that_fails_is_opened_again(monkeypatch: pytest.MonkeyPatch) -> None:
    injection = Injection(armed=True)
    monkeypatch.setattr(trio.SocketListener, "accept", injection.wrap(trio.SocketListener.accept))

    async def handler(request: Request) -> Response:
        return Response(200, {})

    async def main() -> Containment:
        containment = Containment()
        with trio.socket.socket() as free:
            await free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        async with trio.open_nursery() as nursery:
            await nursery.start(Server(handler, 4, containment=containment).serve, "127.0.0.1", port)
            with trio.fail_after(10):
                while True:
                    await trio.sleep(0.1)
                    if injection.raised:
                        try:
                            stream = await trio.open_tcp_stream("127.0.0.1", port)
                        except OSError:
                            continue
                        break
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            assert (await stream.receive_some(1000)).startswith(b"HTTP/1.1 200")
            nursery.cancel_scope.cancel()
        return containment

    assert trio.run(main).counts == {"a listener": 1}
