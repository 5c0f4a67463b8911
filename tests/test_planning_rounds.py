"""A planning round is bounded in time, however many tasks wait; the next round continues where it stopped.

The failure: a round handled all waiting tasks, however long that took. Under a burst far beyond the supported size one
round took 2.0 s (docs/CAPACITY.md, the ceiling), and the leader lost its term: while it plans it renews no lease and
neither processes nor answers reports. Here a placement takes 5 ms, so that a burst of 600 tasks made a round of 3.000 s
and cost the leader its lease.
"""

import random
from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.operator_settings import OperatorSettings
from pepperlatch.policy.pace import PLACEMENT_WORK, RoundPace
from pepperlatch.policy.planner import Planner
from pepperlatch.protocol import wire
from tests.cuts.test_sessions import cluster_of
from tests.fakes import ZONES, World, job, run_scenario
from tests.test_edges import machine

PLACEMENT_S = 0.005  # s; as on a share of a core that is far too small for the burst
BURST_TASKS = 600


def test_a_burst_of_tasks_does_not_cost_the_leader_its_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    place = Cluster.place

    def slow(*args: Any, **more: Any) -> Any:
        trio.lowlevel.current_clock().jump(PLACEMENT_S)  # type: ignore[attr-defined]
        return place(*args, **more)

    async def scenario(world: World) -> None:
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
        assert not leader.term.over, "its lease expired while it planned"

    run_scenario(scenario)


def planner_of(jobs: list[dict[str, Any]], machines: int, work_most: float) -> Planner:
    """A planner for these jobs on so many empty machines. `work_most`: bound of a round, in machines examined."""
    cluster = cluster_of(*(machine(f"n-{number:03d}", ZONES[number % 3]) for number in range(machines)))
    cluster.unverified = set()
    for one in cluster.machines.values():
        one.session = 1
    for one in jobs:
        cluster.add_job(wire.convert(one, wire.JobSpec), int(one["name_id"][4:]), 0.0, set())
    return Planner(cluster, OperatorSettings(), work_limit=work_most)


def rounds_of(planner: Planner, most: int = 1000) -> int:
    """The number of rounds until all waiting jobs were handled; fails if `most` are not enough."""
    for count in range(1, most):
        planner.place_all(1.0)
        if not planner.unfinished:
            return count
    raise AssertionError("planning never ends")


def placed(planner: Planner) -> dict[str, int]:
    """The number of placed tasks of each job."""
    return {job_id: len(one.live) for job_id, one in planner.cluster.jobs.items()}


@pytest.mark.parametrize("seed", range(20))
def test_bounded_rounds_place_the_same_as_one_unbounded_round(seed: int) -> None:
    rng = random.Random(seed)
    jobs = [
        job(number, pieces=rng.randint(1, 9), cores=rng.choice([0.5, 1.0, 2.0]), crew=rng.choice(["red", "blue"]),
            shape=rng.choice(["sweep", "sweep", "group"]), urgency=rng.choice(["urgent", "standard", "low"]))
        for number in range(1, 16)
    ]  # fmt: skip
    whole, bounded = planner_of(jobs, 5, float("inf")), planner_of(jobs, 5, 2 * PLACEMENT_WORK)
    assert rounds_of(whole) == 1
    assert rounds_of(bounded) > 3
    assert placed(bounded) == placed(whole)
    assert [(n.job.spec.id, n.count) for n in bounded.demands] == [(n.job.spec.id, n.count) for n in whole.demands]


def test_a_round_keeps_its_bound_and_jobs_without_room_do_not_block_the_others() -> None:
    without_room = [job(number, pieces=1, cores=8.0, memory_gb=64.0, urgency="urgent") for number in range(1, 40)]
    planner = planner_of([*without_room, job(40, pieces=3, cores=1.0, urgency="low")], 10, 50.0)
    while not planner.cluster.jobs["run-000040"].live:
        planner.place_all(1.0)
        assert planner.work_done <= 50.0 + 10 + PLACEMENT_WORK
    assert len(planner.demands) == 39, "what earlier rounds of this pass found no room for is still needed"


def test_between_rounds_an_urgent_new_job_goes_first_and_a_cancelled_one_is_dropped() -> None:
    planner = planner_of([job(n, pieces=4, cores=1.0, urgency="low") for n in range(1, 5)], 3, PLACEMENT_WORK)
    planner.place_all(1.0)
    assert planner.unfinished and sum(placed(planner).values()) == 1
    planner.cluster.end_job("run-000004", 1.0)
    planner.cluster.add_job(wire.convert(job(9, pieces=1, urgency="urgent"), wire.JobSpec), 9, 1.0, set())
    planner.place_all(1.0)
    assert len(planner.cluster.jobs["run-000009"].live) == 1
    rounds_of(planner)
    assert placed(planner) == {f"run-{n:06d}": 4 for n in (1, 2, 3)} | {"run-000009": 1}
    assert planner.cluster.dirty, "changes made during this pass are handled in the next one"
    rounds_of(planner)
    assert not planner.cluster.dirty


def test_the_bound_of_a_round_follows_the_measured_speed_and_has_a_minimum() -> None:
    pace = RoundPace()
    assert pace.work_limit() == c.INITIAL_PLAN_WORK_PER_S * c.MAX_PLAN_ROUND_S
    pace.record_round(100.0, 0.001)
    assert pace.work_per_s == c.INITIAL_PLAN_WORK_PER_S, "the round was too short to be measured"
    for _ in range(20):
        pace.record_round(200_000.0, 1.0)
    assert pace.work_limit() == pytest.approx(100_000.0, rel=0.01)
    for _ in range(40):
        pace.record_round(10.0, 5.0)
    assert pace.work_limit() == c.MIN_PLAN_WORK


@pytest.mark.parametrize("shape", ["sweep", "group"])
def test_every_round_places_something_even_if_examining_the_machines_uses_up_its_bound(shape: str) -> None:
    """Failure: with more machines than a round may examine, an array's round ended before its first placement.

    Each round examined all machines and placed nothing, and the next did the same, so that the job and all behind it
    waited for ever. The least bound of a round is 4,000 machines, and clusters of that size are run.
    """
    planner = planner_of([job(1, pieces=3, cores=1.0, shape=shape), job(2, pieces=2, cores=1.0)], 10, 5.0)
    assert rounds_of(planner, 20) <= 6
    assert placed(planner) == {"run-000001": 3, "run-000002": 2}
