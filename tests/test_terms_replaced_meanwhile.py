"""What a loop read before it waited is replaced while it waits: by a new term, or by another loop."""

from typing import Any

import trio
import trio.testing

from pepperlatch.controller.heartbeats.forwarding import HeartbeatForwarder, _PendingReport
from pepperlatch.controller.leader import Leader
from tests.fakes import World, run_scenario


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
