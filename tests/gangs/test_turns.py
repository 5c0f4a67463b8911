"""Under a stream of work that goes first every job begins all the same, also a gang that needs all there is.

What happened: a gang as large as its team's limit, and an array of low priority, had not begun 240 s after they were
submitted, while small urgent jobs of the team streamed in. Why: each small job takes what comes free of the limit, or
of the room, before there is enough for all of the gang's tasks; the order alone does not help, for at its head the gang
still finds too little each time. Three of the four stories failed (an array beside a stream of another team passed).
"""

from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.policy import turns
from pepperlatch.policy.model import Job, Machine
from tests.cuts.test_sessions import cluster_of, machine
from tests.fakes import ZONES, World, job, run_scenario
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

    async def scenario(world: World) -> None:
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

    run_scenario(scenario)


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
    assert [j.version for j in turns.ahead(list(reversed(jobs)), c.OVERDUE_S + 10)] == [3]
    assert turns.ahead(jobs, c.OVERDUE_S) == [], "nobody is overdue yet"


def test_only_the_gang_whose_turn_it_is_holds_others_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen on the lab: each of dozens of overdue gangs took a look at every machine, every round."""
    looks: list[str] = []
    held_for = turns.held_for

    def counted(job: Job, *more: Any) -> set[Machine]:
        looks.append(job.spec.id)
        return held_for(job, *more)

    monkeypatch.setattr(turns, "held_for", counted)

    async def scenario(world: World) -> None:
        world.cloud.capacity.clear()
        for number in range(1, 9):
            await world.submit(job(number, shape="group", pieces=4, cores=8.0))
        await trio.sleep(c.OVERDUE_GANG_S + 10)
        assert set(looks) == {"run-000001"}

    run_scenario(scenario)
