"""Under a stream of work that goes first every job begins all the same, also a gang that needs all there is."""

from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.policy import turns
from tests.cuts.test_sessions import cluster_of, machine
from tests.fakes import ZONES, World, job, story
from tests.test_edges import spec_of

BEGIN_S = 240.0  # s; the operators' bound

LARGE = {"pieces": 4, "cores": 8.0, "expected_s": 20.0, "urgency": "low"}
SMALL = {"pieces": 4, "cores": 2.0, "expected_s": 6.0, "urgency": "urgent"}


async def stream(world: World, body: dict[str, Any]) -> None:
    for number in range(100, 2000):
        await world.submit(job(number, **body))
        await trio.sleep(0.5)


@pytest.mark.parametrize("shape", ["sweep", "group"])
@pytest.mark.parametrize("limit", ["team", "room"])
def test_a_large_job_begins_within_four_minutes_though_small_ones_stream_in(shape: str, limit: str) -> None:
    """Seen: a gang of the size of its team's limit had not begun after 300 s, while 162 small jobs were done."""

    async def tell(world: World) -> None:
        if limit == "room":  # for exactly one of both
            for zone in [*ZONES, ZONES[0]]:
                world.cloud.create(zone)
            world.cloud.capacity.clear()
            await trio.sleep(7)
        world.nursery.start_soon(stream, world, {**SMALL, "crew": "red" if limit == "team" else "blue"})
        await trio.sleep(20)
        large = job(1, shape=shape, **LARGE)
        await world.submit(large)
        await world.until(lambda: world.running(large) > 0, BEGIN_S)

    story(tell)


def test_a_gang_that_can_never_be_had_holds_others_up_half_of_the_time_at_most() -> None:
    cluster = cluster_of(machine("n-1"))
    gang = cluster.add_job(spec_of(1, shape="group", pieces=4, cores=8.0), 9, 0.0, set())
    held = [turns.holds(gang, float(now)) for now in range(1000)]
    assert not any(held[: int(c.OVERDUE_GANG_S)]) and sum(held) <= 500
    assert not turns.held_for(gang, cluster.machines.values(), ZONES), "too few machines, whatever ends"


def test_what_failed_or_has_begun_takes_nobodys_turn_and_one_of_a_team_goes_first() -> None:
    cluster = cluster_of(machine("n-1"))
    jobs = [cluster.add_job(spec_of(n, pieces=1), n, float(n), set()) for n in range(1, 5)]
    jobs[0].failed_on.add("n-1")
    jobs[1].ran = True
    order = turns.overdue_first(list(reversed(jobs)), c.OVERDUE_S + 10)
    assert [j.version for j in order] == [3, 4, 2, 1]
    assert turns.overdue_first(jobs, c.OVERDUE_S) == jobs, "nobody is overdue yet"
