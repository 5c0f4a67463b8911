"""What a loop read before it waited is replaced while it waits: by a new term, or by another loop."""

from typing import Any

import trio

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
