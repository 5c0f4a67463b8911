"""A round of planning ends in time, however much waits, and what is left is planned in the next.

What happened: under a burst far beyond the size one round of planning took 2.0 s (docs/CAPACITY.md, the ceiling), and the
leader lost its term: while it plans it touches no lease, takes in no report and answers none. Why: a round looked at all
that waits, whatever that took. Here a placement takes 5 ms: a burst of 600 tasks cost the leader its lease, and the log
said "a round of planning took 3.000 s", then "no longer leading".
"""

from typing import Any

import pytest
import trio

from pepperlatch.policy.cluster import Cluster
from tests.fakes import World, job, story

PLACEMENT_S = 0.005  # s; on a share of a core that is far too small for the burst
BURST_TASKS = 600


def test_a_burst_does_not_cost_the_leader_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    place = Cluster.place

    def slow(*args: Any, **more: Any) -> Any:
        trio.lowlevel.current_clock().jump(PLACEMENT_S)  # type: ignore[attr-defined]
        return place(*args, **more)

    async def tell(world: World) -> None:
        for zone in "abc":
            for _ in range(2):
                world.cloud.create(zone)
        await trio.sleep(8.0)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        monkeypatch.setattr(Cluster, "place", slow)
        burst = job(1, pieces=BURST_TASKS, cores=0.05, expected_s=200.0, memory_gb=0.05)
        await world.submit(burst)
        await world.until(lambda: world.running(burst) == BURST_TASKS, 30)
        assert not leader.term.over, "it planned for so long that its lease ended"

    story(tell)
