"""Jobs are cancelled without the leader's knowledge just before an outage of the state service.

The state service refuses the leader alone, a user cancels jobs through another controller, and then the state service
becomes unavailable to all controllers. The tasks must still be gone within CANCEL_S, which the observer counts from the
moment when the user was told. Each scenario also asserts that the tasks ran when the cancellation was confirmed and
that the old leader answered reports afterwards, so that it doesn't pass by chance.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import CANCEL_S, LEASE_S, NODES, REPORT_S, ZONES, World, job, run_scenario

REFUSED_S = 12.0  # from the beginning of the scenario to T0, when the old leader is refused
Scenario = Callable[[World], Awaitable[None]]


@dataclass
class CancelledInAnOutage:
    """At T0 the old leader loses the state service; `outage_after_s` later all controllers do, for `outage_s`."""

    outage_after_s: float
    outage_s: float
    # How the old leader fails: "refused" by the state service; "cut" off from the other controllers as well; "frozen"
    # for 6 s as well; or its "reads" get no answers.
    failure: str = "refused"
    cancels: list[float] = field(default_factory=list)  # seconds after T0, one for each job
    pause_s: float = 0.0  # after half of `outage_s` the outage ends for so long, then begins again for `outage_s`
    shapes: tuple[str, ...] = ("sweep", "saves", "daemon", "group", "chain")
    served_again_s: float = 0.0  # the old leader is served again for so long, before the outage
    late_answers: int = 0  # reports that the old leader answered after the first confirmation
    confirmed: dict[str, float] = field(default_factory=dict)  # by job: when its user was told

    def jobs(self) -> list[dict[str, Any]]:
        made = []
        for n in range(len(self.cancels)):
            shape = self.shapes[n % len(self.shapes)]
            more: dict[str, Any] = {"shape": shape, "pieces": 1, "cores": 1.0, "crew": "red", "expected_s": 400.0}
            if shape == "saves":
                more |= {"shape": "sweep", "snapshot_every_s": 15.0, "snapshot_cost_s": 4.0}
            elif shape == "daemon":
                more |= {"expected_s": 0.0}
            elif shape == "group":
                more |= {"pieces": 2}
            elif shape == "chain":
                more |= {"shape": "sweep"}
            made.append(job(n + 1, **more))
        return made

    async def scenario(self, world: World) -> None:
        old = world.leader()
        zone = world.nodes[old].settings.zone
        for _ in range(3):
            world.cloud.create(zone)
        world.cloud.capacity.clear()
        jobs = self.jobs()
        for one in jobs:
            while (await world.submit(one))[0] not in (200, 201):
                await trio.sleep(0.5)
            if one["expected_s"] and int(one["name_id"][-6:]) % 5 == 0:  # another job needs this one
                await world.submit(job(500 + int(one["name_id"][-6:]), prereqs=[one["name_id"]]))
        await world.until(lambda: all(world.running(one) == one["pieces"] for one in jobs), 40)
        for worker in world.workers:
            worker.reports_to = old
        self.count_late_answers(world, old)
        await trio.sleep(2.5)
        held = job(900, pieces=2, cores=0.5, expected_s=400.0)
        world.nursery.start_soon(self.cancel_while_launches_are_held, world, old, held)
        t0 = trio.current_time()
        async with trio.open_nursery() as nursery:
            for one, at in zip(jobs, self.cancels, strict=True):
                nursery.start_soon(self.cancel, world, old, one, max(0.0, t0 + 2.0 + at - trio.current_time()))
            await trio.sleep(2.0)
            self.inject_failure(world, old)
            if self.served_again_s:
                await trio.sleep(self.outage_after_s)
                world.state.refused_sources.clear()
                await trio.sleep(self.served_again_s)
                self.inject_failure(world, old)
            await trio.sleep(self.outage_after_s)
            world.state.down = True
        assert self.confirmed, "no cancellation was confirmed"
        if self.pause_s:
            await trio.sleep(self.outage_s / 2)
            world.state.down = False
            await trio.sleep(self.pause_s)
            world.state.down = True
        await trio.sleep(self.outage_s)
        world.lose_answer = lambda source, path, body: source == NODES[old] and path.startswith("/changes")
        world.state.down = False
        world.state.refused_sources.clear()
        await world.restore_all_links()
        await trio.sleep(1.0)  # the old leader can renew its lease before it reads any changes
        world.lose_answer = lambda source, path, body: False
        await trio.sleep(LEASE_S)
        assert self.late_answers > 0, "the old leader answered no report after a confirmation"
        for one in jobs:
            if one["name_id"] in self.confirmed:
                assert await world.status(one) == "withdrawn"

    async def cancel_while_launches_are_held(self, world: World, old: int, one: dict[str, Any]) -> None:
        """Hold the job's launches on their way until its user has been told that it is cancelled."""
        await trio.sleep(1.5)
        for worker in world.workers:
            world.cut(NODES[old], worker.name, "hold", both=False)
        await world.submit(one, (old + 1) % world.count)
        await trio.sleep(1.2)
        await self.cancel(world, old, one, 0.0)
        await trio.sleep(5.0)
        await world.restore_links(lambda source, host: source == NODES[old] and host.startswith("n-"))

    def inject_failure(self, world: World, old: int) -> None:
        if self.failure == "reads":  # it goes on proving that it leads, but learns of no changes
            world.lose_answer = lambda source, path, body: source == NODES[old] and path.startswith("/changes")
            return
        world.state.refused_sources.add(NODES[old])
        if self.failure == "frozen":
            world.nursery.start_soon(world.freeze, old, 6.0)
        if self.failure == "cut":
            for index in range(world.count):
                world.cut(NODES[old], NODES[index], "hold")

    def count_late_answers(self, world: World, old: int) -> None:
        """Count, at the workers, the old leader's answers after the first confirmation."""
        for worker in world.workers:
            execute = worker.execute

            def counted(orders: list[dict[str, Any]], worker: Any = worker, execute: Any = execute) -> None:
                if worker.reports_to == old and self.confirmed and trio.current_time() > min(self.confirmed.values()):
                    self.late_answers += 1
                execute(orders)

            worker.execute = counted

    async def cancel(self, world: World, old: int, one: dict[str, Any], after_s: float) -> None:
        await trio.sleep(after_s)
        index = next(i for i in sorted(world.nodes) if i != old)
        runs = world.running(one) or one["name_id"] == "run-000900"
        try:
            status, _ = await world.ask(index, "POST", f"/work/{one['name_id']}/cancel")
        except (NotSent, NoUsableResponse):
            return
        if status == 200:
            assert runs, "the job did not run when its cancellation was confirmed"
            self.confirmed[one["name_id"]] = trio.current_time()


# When jobs are cancelled, in seconds after T0.
BEFORE = [-2.0, -1.0, 0.0, 0.5, 1.0, 1.5, 1.9]
AT_ONCE = [-0.05, -0.02, 0.0, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2]
AFTER = [*(float(n) for n in range(-2, 11)), 10.45]


FAILURES = ["refused", "cut", "frozen", "reads"]


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("lasts", [1.0, 1.5, 3.0])
def test_an_outage_that_begins_before_a_successor_is_elected(failure: str, lasts: float) -> None:
    run_scenario(CancelledInAnOutage(2.0, lasts * CANCEL_S, failure, BEFORE).scenario)


@pytest.mark.parametrize(("failure", "count"), [*((one, 3) for one in FAILURES), ("refused", 7), ("cut", 7)])
def test_an_outage_a_second_after_cancellations_at_the_moment_of_the_refusal(failure: str, count: int) -> None:
    run_scenario(CancelledInAnOutage(1.0, 1.5 * CANCEL_S, failure, AT_ONCE).scenario, count)


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("count", [3, 7])
def test_an_outage_that_begins_after_a_successor_is_elected(failure: str, count: int) -> None:
    run_scenario(CancelledInAnOutage(10.5, 1.5 * CANCEL_S, failure, AFTER).scenario, count)


def test_a_leader_whose_lease_renewals_are_answered_and_whose_reads_are_not() -> None:
    run_scenario(
        CancelledInAnOutage(c.HANDOVER_STALE_S - 0.6, 1.5 * CANCEL_S, "reads", [0.3, 0.6, 1.0, 2.0, 4.0]).scenario
    )


def test_a_controller_that_renews_leases_for_the_leader_and_does_not_know_of_the_cancellation_either() -> None:
    """The state service refuses both. They reach each other throughout the outage, but the third one confirmed it."""

    async def scenario(world: World) -> None:
        old = world.leader()
        renewing, knows = (old + 1) % 3, (old + 2) % 3
        for _ in range(2):
            world.cloud.create(ZONES[renewing])
        world.cloud.capacity.clear()
        one = job(1, pieces=3, expected_s=400.0, snapshot_every_s=15.0, snapshot_cost_s=4.0)
        await world.submit(one)
        await world.until(lambda: world.running(one) == 3, 30)
        for worker in world.workers:
            worker.reports_to = renewing
            world.cut(worker.name, NODES[knows], "refuse")
            world.cut(worker.name, NODES[old], "refuse")
        await trio.sleep(REPORT_S)
        world.state.refused_sources |= {NODES[old], NODES[renewing]}
        await trio.sleep(1.0)
        assert (await world.ask(knows, "POST", "/work/run-000001/cancel"))[0] == 200
        await trio.sleep(0.5)
        world.state.down = True
        await trio.sleep(8.0)
        world.kill(old)
        await trio.sleep(5.0)
        assert world.nodes[renewing].heartbeats._renewed_at, "it renewed leases on the leader's behalf"
        await trio.sleep(1.5 * CANCEL_S)
        assert world.running(one) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("count", [3, 7])
def test_an_outage_that_ends_for_a_moment_and_begins_again(count: int) -> None:
    run_scenario(CancelledInAnOutage(2.0, 2 * CANCEL_S, "refused", BEFORE, pause_s=0.6).scenario, count)


@pytest.mark.parametrize("away", [1.0, 2.2, 4.0])
def test_a_leader_that_is_served_again_for_a_moment_before_the_outage(away: float) -> None:
    """First the old leader renews leases, then the controllers that do so on its behalf."""
    run_scenario(CancelledInAnOutage(away, 1.5 * CANCEL_S, "refused", BEFORE, served_again_s=0.4).scenario)
