"""Every job begins within a bounded time, even a gang as large as its limit beside a stream of small urgent jobs.

The failure: a gang as large as its team's limit, and an array of low priority, had not begun 240 s after they were
submitted. Each small job took what came free, of the limit or of the machines, before it was enough for all tasks of
the gang. Being first in the order did not help: too little was free at any one time. Only an array beside a stream of
another team did begin in time.
"""

from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.policy import overdue_jobs
from pepperlatch.policy.model import Job, Machine
from tests.cuts.test_sessions import cluster_of, machine
from tests.fakes import ZONES, World, job, run_scenario
from tests.test_edges import spec_of

BEGIN_S = 240.0  # s; by then a job has to begin, as the operators require

LARGE = {"pieces": 4, "cores": 8.0, "expected_s": 20.0, "urgency": "low"}
SMALL = {"pieces": 4, "cores": 2.0, "expected_s": 6.0, "urgency": "urgent"}


async def stream(world: World, body: dict[str, Any]) -> None:
    """Submit two such jobs a second."""
    for number in range(100, 2000):
        await world.submit(job(number, **body))
        await trio.sleep(0.5)


@pytest.mark.parametrize("shape", ["sweep", "group"])
@pytest.mark.parametrize("limit", ["team", "room"])
def test_a_large_job_begins_within_four_minutes_beside_a_stream_of_small_ones(shape: str, limit: str) -> None:
    """Failure: a gang as large as its team's limit had not begun after 300 s, while 162 small jobs finished."""

    async def scenario(world: World) -> None:
        if limit == "room":  # room for either the large job or the stream
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


def test_a_gang_that_can_never_be_placed_delays_others_at_most_half_of_the_time() -> None:
    cluster = cluster_of(machine("n-1"))
    gang = cluster.add_job(spec_of(1, shape="group", pieces=4, cores=8.0), 9, 0.0, set())
    held = [overdue_jobs.reserves_room(gang, float(now)) for now in range(1000)]
    assert not any(held[: int(c.OVERDUE_GANG_S)]) and sum(held) <= 500
    assert not overdue_jobs.reserved_machines(gang, cluster.machines.values(), ZONES), (
        "too few machines, whatever finishes"
    )


def test_one_overdue_job_of_each_team_goes_first_unless_it_failed_or_has_begun() -> None:
    cluster = cluster_of(machine("n-1"))
    jobs = [cluster.add_job(spec_of(n, pieces=1), n, float(n), set()) for n in range(1, 5)]
    jobs[0].failed_on.add("n-1")
    jobs[1].ran = True
    assert [j.version for j in overdue_jobs.first_overdue_by_team(list(reversed(jobs)), c.OVERDUE_S + 10)] == [3]
    assert overdue_jobs.first_overdue_by_team(jobs, c.OVERDUE_S) == [], "no job is overdue yet"


def test_capacity_is_held_back_for_only_one_overdue_gang(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: in the lab each of dozens of overdue gangs examined every machine in every round."""
    examined: list[str] = []
    reserved_machines = overdue_jobs.reserved_machines

    def counted(job: Job, *more: Any) -> set[Machine]:
        examined.append(job.spec.id)
        return reserved_machines(job, *more)

    monkeypatch.setattr(overdue_jobs, "reserved_machines", counted)

    async def scenario(world: World) -> None:
        world.cloud.capacity.clear()
        for number in range(1, 9):
            await world.submit(job(number, shape="group", pieces=4, cores=8.0))
        await trio.sleep(c.OVERDUE_GANG_S + 10)
        assert set(examined) == {"run-000001"}

    run_scenario(scenario)
