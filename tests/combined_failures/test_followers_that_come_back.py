"""A follower stands still or loses its network while the leader returns a machine that may hold a cancelled task.

The follower has the leader's list of such machines, and counts the leader as silent. As it goes on, it takes in a newer
list while it is still occupied with the earlier one.
"""

import orjson
import pytest
import trio

from pepperlatch.controller.daemon import Node
from pepperlatch.protocol.http.client import HttpNetwork
from tests.combined_failures.test_machines_and_leaders import submit_until_accepted
from tests.fakes import CANCEL_S, NODES, ZONES, World, job, run_scenario, settings_of

KNOWN_S = 2.0  # after the cancellation: by then all followers know of the machine
AWAY_S = [18.0 + step / 4 for step in range(10)]  # for how long the follower is away; the machine is returned meanwhile


async def cancel_on_a_machine_that_stops(world: World) -> int:
    """Stop a machine and cancel its job within a second; returns a follower that knows of it, in another zone.

    While the controller of its own zone is away, the zone may be taken for cut off.
    """
    for zone in ZONES:
        for _ in range(3):
            world.cloud.create(zone)
    world.cloud.capacity.clear()
    await trio.sleep(7.0)
    runs = job(1, pieces=1, cores=8.0, expected_s=400.0, pull_gb=0.0)
    await submit_until_accepted(world, runs)
    await world.until(lambda: world.running(runs) == 1, 20)
    leader, stopped = world.leader(), world.hosts(runs)[0]
    stopped.terminate()
    await trio.sleep(0.3)
    _, answer = await world.ask(leader, "POST", f"/work/{runs['name_id']}/cancel")
    assert answer["status"] == "withdrawn"
    await trio.sleep(KNOWN_S)
    return next(index for index in world.nodes if index != leader and ZONES[index] != stopped.zone)


async def lose_network(world: World, index: int, seconds: float) -> None:
    """Cut the controller off from everything and hold what is sent, then deliver it."""
    others = ["state", "cloud", *NODES[: world.count], *(worker.name for worker in world.workers)]
    for other in others:
        world.cut(NODES[index], other, "hold")
    await trio.sleep(seconds)
    await world.restore_all_links()


@pytest.mark.parametrize("away_s", AWAY_S)
@pytest.mark.parametrize("still", [True, False])
def test_a_follower_that_comes_back_after_a_machine_was_returned_goes_on(still: bool, away_s: float) -> None:
    """Guards against a KeyError for a machine that the leader's newer list does not name (review/7)."""

    async def scenario(world: World) -> None:
        follower = await cancel_on_a_machine_that_stops(world)
        await (world.freeze(follower, away_s) if still else lose_network(world, follower, away_s))
        await trio.sleep(CANCEL_S / 2)
        assert (await world.ask(follower, "GET", "/healthz"))[0] == 200

    run_scenario(scenario)


def names_after(*messages: tuple[int, int, list[str]]) -> list[str]:
    """The machines that a follower holds for listed after messages with these tokens, numbers and lists."""
    node = Node(settings_of(0), HttpNetwork(1), lambda: 100.0, lambda: 1e9, 0)
    for token, number, names in messages:
        body = {"node": "perch-1", "token": token, "number": number, "cancelled": [[name, "", 3.0] for name in names]}
        assert node.contacts.serve_revocation(orjson.dumps(body)).status == 200
    return sorted(node.leaderless._candidates)


def test_a_late_message_of_a_leader_does_not_replace_a_later_list() -> None:
    """Guards against a machine that a follower forgets, or takes for listed, after a message that a cut has held."""
    assert names_after((5, 1, ["n-1"]), (5, 2, ["n-1", "n-2"]), (5, 1, ["n-1"])) == ["n-1", "n-2"]
    assert names_after((5, 9, ["n-1"]), (7, 1, []), (5, 10, ["n-1"])) == []
    assert names_after((5, 9, ["n-1"]), (7, 1, ["n-2"])) == ["n-2"]


def test_messages_of_leaders_of_an_earlier_version_have_no_numbers() -> None:
    assert names_after((5, 0, ["n-1"]), (5, 0, ["n-2"])) == ["n-2"]
    assert names_after((5, 3, ["n-1"]), (7, 0, ["n-2"]), (5, 0, ["n-1"])) == ["n-2"]
    assert names_after((7, 0, ["n-1"]), (8, 1, ["n-2"]), (8, 2, [])) == []
