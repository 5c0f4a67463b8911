"""Machines that hang with a task of a cancelled job, while no controller can be sure that it leads.

The tests guard against a task that is still on its machine `cancel_s` after its user was told of the cancellation:

1. A machine hangs with a running task, and the job is cancelled through a follower.
2. The state service refuses the leader, which knew of the cancellation; it may return no machine any more.
3. A late report of the machine reaches the next leader after the takeover. The leader counted the time until the
   return from that report instead of from the cancellation.
4. Before that time is over, the state service becomes unavailable. No controller is sure that it leads, and none
   returns the machine.

This happened in randomized scenario 700511 (times in virtual seconds). The user was told at 27.55. At 38.453, the next
leader counted one task of the machine from that moment, and at 38.506 the other as cancelled 11.0 s ago. At 41.418,
3.0 s later by its count, it still waited for a report; at 42.014, 3.6 s later, it was no longer sure of its lease. At
58.000 the observer reported ran_cancelled.
"""

import contextlib
from dataclasses import dataclass
from typing import Any

import pytest
import trio

from pepperlatch.policy.cancellations import return_after_s
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.combined_failures.test_machines_and_leaders import submit_until_accepted
from tests.fakes import CANCEL_S, LEASE_S, NODES, Worker, World, job, run_scenario, settings_of

HUNG = 2  # machines that hang, with one task each


async def send_late_report(world: World, worker: Worker, report: dict[str, Any]) -> None:
    """Deliver to every controller a report that was on its way when its machine began to hang."""
    for index in list(world.nodes):
        with contextlib.suppress(NotSent, NoUsableResponse):
            await world.send(worker.name, f"10.0.0.{index}:1", "POST", "/agent/beat", report, 4.0)


async def start_tasks(world: World) -> dict[str, Any]:
    """Start a job whose tasks run on one machine each; seven more machines are idle, and no others can be rented."""
    for zone in "abc":
        for _ in range(3):
            world.cloud.create(zone)
    world.cloud.capacity.clear()
    await trio.sleep(7.0)
    runs = job(1, pieces=HUNG, cores=8.0, expected_s=400.0, pull_gb=0.0)
    await submit_until_accepted(world, runs)
    await world.until(lambda: world.running(runs) == HUNG, 20)
    return runs


@dataclass
class HungWithCancelledTask:
    """The job of hung machines is cancelled. Times are in seconds after the confirmation of that; below 0: never."""

    refused_at: float  # the state service refuses the leader from then on
    late_report_at: float  # earlier reports of the hung machines arrive
    outage_at: float  # the state service answers no controller from then on
    others_hang: bool  # two more machines hang, so that a network cut is more likely than so many failures

    async def scenario(self, world: World) -> None:
        runs = await start_tasks(world)
        leader = world.leader()
        hung = world.hosts(runs)
        reports = {worker.name: worker.report() for worker in hung}
        idle = [worker for worker in world.workers if not worker.tasks]
        for worker in [*hung, *(idle[:2] if self.others_hang else [])]:
            worker.hung = True
        await trio.sleep(0.5)
        status, _ = await world.ask((leader + 1) % world.count, "POST", "/work/run-000001/cancel")
        assert status == 200
        async with trio.open_nursery() as nursery:
            if self.refused_at >= 0:
                nursery.start_soon(self.refuse, world, leader)
            if self.late_report_at >= 0:
                for worker in hung:
                    nursery.start_soon(self.late_report, world, worker, reports[worker.name])
            await trio.sleep(self.outage_at)
            world.state.down = True
            await trio.sleep(CANCEL_S - self.outage_at + 1.0)
        assert world.observer.violations == []
        world.state.down = False
        world.state.refused_sources.clear()
        for worker in hung:
            if not worker.terminated:
                worker.resume()
        await trio.sleep(LEASE_S)

    async def refuse(self, world: World, leader: int) -> None:
        await trio.sleep(self.refused_at)
        world.state.refused_sources.add(NODES[leader])

    async def late_report(self, world: World, worker: Worker, report: dict[str, Any]) -> None:
        await trio.sleep(self.late_report_at)
        await send_late_report(world, worker, report)


@dataclass
class LeaderEnds(HungWithCancelledTask):
    """The leader ends during the outage, in which no other can be elected."""

    ends_at: float = 0.0  # in seconds after the beginning of the outage

    async def scenario(self, world: World) -> None:
        world.nursery.start_soon(self.end, world)
        await super().scenario(world)

    async def end(self, world: World) -> None:
        while not world.state.down:
            await trio.sleep(0.1)
        await trio.sleep(self.ends_at)
        world.kill(world.leader())


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("ends_at", [2.0, 8.0])
def test_followers_return_hung_machines_if_the_leader_ends_during_an_outage(ends_at: float, count: int) -> None:
    """Guards against followers that know of the cancellation, but not which machines may hold its tasks.

    Then no controller returns these machines, and the observer reports ran_cancelled 30 s after the cancellation.
    """
    run_scenario(LeaderEnds(-1.0, -1.0, 1.0, others_hang=True, ends_at=ends_at).scenario, count)


@pytest.mark.parametrize("why", ["it lives", "nobody is reached", "the leader is heard"])
def test_followers_return_no_machine_that_may_live(why: str) -> None:
    """`why`: what keeps them from it. The machines answer, the followers reach no machine at all, or the leader lives.

    In the third case the leader itself may return the machines, but cannot, since the cloud is down.
    """

    async def scenario(world: World) -> None:
        runs = await start_tasks(world)
        leader, hosts = world.leader(), world.hosts(runs)
        for worker in hosts:  # the order to kill the task does not arrive, so the machine is named until its lease ends
            for index in range(world.count):
                world.cut(NODES[index], worker.name, "refuse")
        assert (await world.ask((leader + 1) % 3, "POST", "/work/run-000001/cancel"))[0] == 200
        await trio.sleep(1.0)
        world.state.down = True
        if why == "the leader is heard":
            for worker in hosts:
                world.cut(NODES[leader], worker.name, "refuse")
            world.cloud.down = True
        else:
            world.kill(leader)
        if why == "nobody is reached":
            for index in list(world.nodes):
                for worker in world.workers:
                    world.cut(NODES[index], worker.name, "refuse")
        elif why == "it lives":
            await world.restore_all_links()
        released: list[str] = []
        for index, node in world.nodes.items():
            release = node.cloud.release

            async def counted(names: list[str], index: int = index, release: Any = release) -> None:
                released.extend(names if index != leader else [])
                await release(names)

            node.cloud.release = counted  # type: ignore[method-assign]
        await trio.sleep(CANCEL_S - 4.0)
        assert not released

    run_scenario(scenario)


def test_the_return_of_a_hung_machine_does_not_wait_for_another_whose_answer_is_missing() -> None:
    """Guards against a return that comes too late because it queues behind a request to the cloud without an answer.

    That request is sent again only after nine seconds.
    """

    async def scenario(world: World) -> None:
        runs = await start_tasks(world)
        hung = world.hosts(runs)
        idle = [worker for worker in world.workers if not worker.tasks]
        world.late_delivery_s = lambda source, path, body: (
            300.0 if path == "/hosts/release" and idle[0].name in body["perches"] else 0.0
        )
        for worker in [*hung, *idle[1:3]]:
            worker.hung = True
        await trio.sleep(0.5)
        assert (await world.ask(0, "POST", "/work/run-000001/cancel"))[0] == 200
        await trio.sleep(return_after_s(settings_of(0).params.workers) - 1.0)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        leader.cluster.release(leader.cluster.machines[idle[0].name], "idle")
        await trio.sleep(4.0)
        assert all(worker.terminated for worker in hung)

    run_scenario(scenario)


@dataclass
class AllControllersAway:
    """All controllers end after the cancellation and start again when little of the job's `cancel_s` is left."""

    stamped: bool  # the job's record states when it was cancelled; records of earlier versions do not
    clock_back_s: float = 0.0  # the time of day of the new processes is so much earlier

    async def scenario(self, world: World) -> None:
        runs = await start_tasks(world)
        hung = world.hosts(runs)
        idle = [worker for worker in world.workers if not worker.tasks]
        for worker in [*hung, *idle[:2]]:
            worker.hung = True
        await trio.sleep(0.5)
        assert (await world.ask(0, "POST", "/work/run-000001/cancel"))[0] == 200
        await trio.sleep(1.0)
        for index in list(world.nodes):
            world.kill(index)
        if not self.stamped:
            value, version, lease = world.state.keys["j/job/run-000001"]
            value = {name: field for name, field in value.items() if name != "ended"}
            world.state.keys["j/job/run-000001"] = (value, version, lease)
        await trio.sleep(18.0)
        world.wall_clock = lambda now: 1e9 + now - self.clock_back_s
        for index in range(world.count):
            world.start(index)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 10)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        since, told_at = leader._cancellation_not_before("run-000001"), world.observer.cancel_confirmed_at["run-000001"]
        if self.stamped and not self.clock_back_s:
            assert told_at - 3.0 < since <= told_at, "not later than the user was told, nor much earlier"
        else:
            due_s = return_after_s(settings_of(0).params.workers)
            assert trio.current_time() - since >= due_s, (
                "the time of the cancellation is unknown, so the return is due at once"
            )
        await trio.sleep(CANCEL_S)


@pytest.mark.parametrize(("stamped", "clock_back_s"), [(True, 0.0), (False, 0.0), (True, 3600.0)])
def test_controllers_that_started_after_the_cancellation_return_hung_machines_in_time(
    stamped: bool, clock_back_s: float
) -> None:
    run_scenario(AllControllersAway(stamped, clock_back_s).scenario)


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("others_hang", [False, True])
@pytest.mark.parametrize("late_report_at", [-1.0, 4.0, 9.0])
@pytest.mark.parametrize("outage_at", [1.0, 4.5, 9.5, 14.0])
def test_a_machine_that_hangs_with_a_cancelled_task_is_returned_in_time_whoever_leads(
    outage_at: float, late_report_at: float, others_hang: bool, count: int
) -> None:
    """The leader is refused as the job is cancelled; its successor is elected as the outage begins, or before that."""
    run_scenario(HungWithCancelledTask(0.0, late_report_at, outage_at, others_hang).scenario, count)


@pytest.mark.parametrize("outage_at", [0.0, 6.0, 14.0])
def test_a_machine_that_hangs_with_a_cancelled_task_is_returned_by_the_same_leader_during_an_outage(
    outage_at: float,
) -> None:
    run_scenario(HungWithCancelledTask(-1.0, -1.0, outage_at, others_hang=True).scenario)
