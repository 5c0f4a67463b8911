"""What a loop read before it waited is replaced while it waits: by a new term, or by another loop."""

from types import SimpleNamespace
from typing import Any

import trio
import trio.testing

from pepperlatch.constants import core as c
from pepperlatch.controller.health import Health
from pepperlatch.controller.heartbeats.forwarding import HeartbeatForwarder, _PendingReport
from pepperlatch.controller.leader import Leader
from pepperlatch.policy.model import Machine
from pepperlatch.protocol import wire
from tests.cuts.test_sessions import TOKEN, cluster_of, report
from tests.fakes import World, run_scenario
from tests.test_edges import machine


def test_a_new_term_is_not_handed_over_for_what_the_earlier_term_did_not_hear() -> None:
    """Guards against a leader that resigns its new term because nobody reached it in the one before."""

    async def scenario(world: World) -> None:
        index = world.leader()
        for other in [i for i in world.nodes if i != index]:
            world.kill(other)
        node = world.nodes[index]
        first = node.leader
        assert first is not None

        async def end_term_meanwhile(leader: Leader, *more: Any) -> None:
            leader.term.over = leader.term.over or leader is first
            await world.until(lambda: node.leader not in (None, first), 20.0)

        node.contacts._revoke_renewal = end_term_meanwhile  # type: ignore[method-assign]
        node.contacts._handover_reason = (  # type: ignore[method-assign]
            lambda leader: "nobody is heard" if leader is first else ""
        )
        await world.until(lambda: node.leader not in (None, first), 20.0)
        second = node.leader
        assert second is not None
        await trio.sleep(3.0)
        assert node.leader is second and not second.term.over

    run_scenario(scenario)


class EarlierLeader:
    """A leader of an earlier version: it takes one report a request."""

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]:
        return (200, {"of": body["n"]}) if "beats" not in body else (404, None)


def test_a_batch_that_meets_a_leader_found_to_be_of_an_earlier_version_is_sent_whole() -> None:
    """Guards against reports that nobody sends: the version became known after the batch was taken from the queue."""

    async def main() -> list[Any]:
        forwarder = HeartbeatForwarder(EarlierLeader(), "perch-9")
        batch = [_PendingReport("10.0.0.1:2", {"n": number}) for number in range(3)]
        forwarder._single_until["10.0.0.1:2"] = trio.current_time() + 30.0
        await forwarder._deliver(batch)
        return [item.outcome for item in batch]

    outcomes = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert outcomes == [(200, {"of": number}) for number in range(3)]


class RestartedWorker:
    """A worker in its second session; a heartbeat of it reaches the leader while the first command is on its way."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.sessions: list[int] = []

    async def command(
        self, addr: str, token: int, session: int, orders: list[Any], seconds: float
    ) -> tuple[bool, wire.Report]:
        await trio.sleep(0.01)
        self.machine.session = 2
        self.sessions.append(session)
        return session == 2, report(2, len(self.sessions))


def test_a_machine_whose_session_became_known_meanwhile_is_fenced_without_a_pause() -> None:
    """Guards against FENCE_RETRY_S for each such machine after a takeover, in which its tasks count as unaccounted."""

    async def main() -> tuple[list[int], float]:
        one = machine("n-1")
        one.session = 1
        cluster = cluster_of(one)
        worker = RestartedWorker(one)
        context: Any = SimpleNamespace(
            cluster=cluster, term=SimpleNamespace(over=False, token=TOKEN), clock=trio.current_time,
            command_loop=SimpleNamespace(enqueue=lambda command: None),
        )  # fmt: skip
        began = trio.current_time()
        await Health(context, worker, None, lambda *more: None).fence(one)  # type: ignore[arg-type]
        return worker.sessions, trio.current_time() - began

    sessions, took_s = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert sessions == [1, 2] and took_s < c.FENCE_RETRY_S
