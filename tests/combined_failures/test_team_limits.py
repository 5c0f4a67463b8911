"""Teams at their limit while the leader changes and jobs are cancelled whose machines no controller can reach."""

from collections import Counter
from dataclasses import dataclass

import pytest
import trio

from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.quota import Usage
from pepperlatch.protocol import wire
from tests.cuts.test_sessions import LEASE_EXTENSION_S, TOKEN, cluster_of, report
from tests.fakes import (
    CANCEL_S,
    CPU_PLATFORM,
    GPU_PLATFORM,
    NODES,
    ZONES,
    Platform,
    Worker,
    World,
    job,
    run_scenario,
    settings_of,
)
from tests.test_edges import machine, spec_of


def make_unreachable(world: World, worker: Worker, how: str) -> None:
    """Make the machine unreachable to all controllers. `how`: "cut", so that its tasks run on, or "hung"."""
    if how == "hung":
        worker.hung = True
        return
    for index in range(world.count):
        world.cut(NODES[index], worker.name, "hold")


@dataclass
class TeamAtItsLimit:
    """A team's job uses its whole limit, partly on unreachable machines, and is cancelled as the leader ends.

    Another job of the team must not start before enough tasks of the first one are known to be gone.
    """

    how: str  # see `make_unreachable`
    cancel_s: float  # when the job is cancelled, in seconds after the leader's end
    shape: str = "sweep"
    platform: Platform = CPU_PLATFORM
    before: bool = False  # the other job is submitted before the leader ends

    async def scenario(self, world: World) -> None:
        world.cloud.capacity = Counter({zone: 8 for zone in world.platform.zones})
        for zone in world.platform.zones:  # so that no zone loses all its machines when some hang
            for _ in range(3):
                world.cloud.create(zone)
        size = {"cores": 8.0} if self.platform is CPU_PLATFORM else {"cores": 8.0, "gpus": 2.0}
        count = 4 if self.platform is CPU_PLATFORM else 6
        lasts = 0.0 if self.shape == "daemon" else 400.0
        first, second = (job(n, shape=self.shape, pieces=count, expected_s=lasts, pull_gb=0.0, **size) for n in (1, 2))
        await world.submit(first)
        await world.until(lambda: world.running(first) == count, 60)
        unreachable = world.hosts(first)[:2]
        await trio.sleep(2.0)
        for worker in unreachable:
            make_unreachable(world, worker, self.how)
        old = world.leader()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cancel, world, (old + 1) % world.count, max(0.0, 2.0 + self.cancel_s))
            await trio.sleep(max(0.0, -self.cancel_s))
            if self.before:
                await world.submit(second, (old + 2) % world.count)
            if self.cancel_s >= 0:
                await trio.sleep(2.0)
            world.kill(old)
        there = sum(1 for w in unreachable for t in w.tasks.values() if t.state != "ended")
        assert there, "the unreachable machines held tasks of the job when it was cancelled"
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 15)
        assert world.leader() != old
        if not self.before:
            await world.submit(second, world.leader())
        await world.until(lambda: world.running(second) == count, 2 * CANCEL_S)
        await world.restore_all_links()
        for worker in unreachable:
            if not worker.terminated:
                worker.resume()
        await trio.sleep(5.0)

    async def cancel(self, world: World, index: int, after_s: float) -> None:
        await trio.sleep(after_s)
        assert (await world.ask(index, "POST", "/work/run-000001/cancel"))[0] == 200


@pytest.mark.parametrize("how", ["cut", "hung"])
@pytest.mark.parametrize("cancel_s", [-2.0, -0.3, 0.0, 0.5, 2.5, 4.0])
def test_tasks_of_cancelled_jobs_on_unreachable_machines_count_against_their_team(how: str, cancel_s: float) -> None:
    """Guards against a team above its limit: a job that ended before or during a change of leader did not count.

    Machines that the new leader could not reach still ran its tasks.
    """
    run_scenario(TeamAtItsLimit(how, cancel_s).scenario)


@pytest.mark.parametrize(
    ("count", "shape", "platform"),
    [(7, "daemon", CPU_PLATFORM), (3, "group", CPU_PLATFORM), (3, "sweep", GPU_PLATFORM)],
)
def test_tasks_of_services_and_gangs_and_limits_in_gpus_count_as_well(
    count: int, shape: str, platform: Platform
) -> None:
    run_scenario(TeamAtItsLimit("cut", -0.3, shape, platform).scenario, count, platform=platform)


def test_tasks_of_cancelled_jobs_hold_back_jobs_that_were_submitted_before_the_leader_ended() -> None:
    run_scenario(TeamAtItsLimit("cut", 0.5, before=True).scenario)


def test_a_leader_that_started_after_the_cancellation_counts_tasks_of_cancelled_jobs_too() -> None:
    """All controllers restart, and know only what they read at their start."""

    async def scenario(world: World) -> None:
        world.cloud.capacity = Counter({zone: 8 for zone in ZONES})
        for zone in ZONES:  # so that there is room at once
            for _ in range(3):
                world.cloud.create(zone)
        first, second = (job(n, pieces=4, cores=8.0, expected_s=400.0, pull_gb=0.0) for n in (1, 2))
        await world.submit(first)
        await world.until(lambda: world.running(first) == 4, 40)
        unreachable = world.hosts(first)[:2]
        await trio.sleep(2.0)
        for worker in unreachable:
            make_unreachable(world, worker, "cut")
        assert (await world.ask(1, "POST", "/work/run-000001/cancel"))[0] == 200
        for index in range(3):
            world.kill(index)
        await trio.sleep(0.2)
        for index in range(3):
            world.start(index)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 15)
        assert all(w.tasks for w in unreachable)
        await trio.sleep(2.0)
        while (await world.submit(second, 2))[0] != 201:
            await trio.sleep(0.5)
        await world.until(lambda: world.running(second) == 4, 2 * CANCEL_S)

    run_scenario(scenario)


def test_unseen_tasks_count_for_no_more_than_the_unverified_machines_can_hold() -> None:
    cluster = cluster_of(machine("n-1"), machine("n-2"))
    cluster.add_job(spec_of(1, pieces=50, cores=2.0), 3, 0.0, set())
    cluster.count_unverified_usage()
    assert cluster.quota.unverified["red"].cpus == 16.0
    cluster.on_report(report(1, 1), 1.0, heartbeat=True)
    cluster.count_unverified_usage()
    assert cluster.quota.unverified["red"].cpus == 8.0
    cluster.unverified.add("of a type that nobody knows")
    cluster.count_unverified_usage()
    assert cluster.quota.unverified["red"].cpus == 100.0


def test_a_task_that_two_machines_show_counts_twice() -> None:
    cluster = cluster_of(machine("n-1"), machine("n-2"))
    cluster.add_job(spec_of(1, pieces=1, cores=4.0), 3, 0.0, set())
    for name in ("n-2", "n-1"):
        shown = [{"piece": "run-000001/0", "try": 41 if name == "n-1" else 42, "status": "running"}]
        cluster.on_report(report(1, 1, perch=name, pieces=shown), 1.0, heartbeat=True)
    cluster.count_unverified_usage()
    assert (cluster.quota.of("red").cpus, cluster.quota.unverified) == (4.0, {"red": Usage(4.0, 0.0)})
    cluster.on_report(report(1, 2), 2.0, heartbeat=True)
    cluster.count_unverified_usage()
    assert cluster.quota.unverified == {}


def test_a_cancelled_job_counts_until_all_its_tasks_or_all_machines_are_seen() -> None:
    spec: wire.JobSpec = spec_of(1, pieces=3, cores=2.0)
    cluster = Cluster("n", TOKEN, settings_of(0).params, 0.0, LEASE_EXTENSION_S, lambda job_id: spec)
    for name in ("n-1", "n-2"):
        cluster.machines[name] = machine(name)
        cluster.unverified.add(name)
    cluster.add_unverified_cancellation(spec, 3, 0.0)
    cluster.count_unverified_usage()
    assert cluster.quota.unverified["red"].cpus == 6.0
    shown = [{"piece": "run-000001/1", "try": 41, "status": "running"}]
    cluster.on_report(report(1, 1, pieces=shown), 1.0, heartbeat=True)
    cluster.count_unverified_usage()
    assert (cluster.quota.of("red").cpus, cluster.quota.unverified["red"].cpus) == (2.0, 4.0)
    cluster.on_report(report(1, 1, perch="n-2"), 2.0, heartbeat=True)
    cluster.count_unverified_usage()
    assert cluster.quota.unverified == {}
