"""Cancelled behind a leader's back, then no state service for anybody: the tasks are gone in time all the same.

The observer counts from what the user was told, by the world's own clock. Each story also asserts that tasks ran when
the cancellation was confirmed and that the old leader answered reports afterwards, or it could pass by chance.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol.http.client import Lost, NotSent
from tests.fakes import CANCEL_S, LEASE_S, NODES, REPORT_S, ZONES, World, job, run_scenario

REFUSED_S = 12.0  # s; from the beginning of the story to T0, when the old leader is refused
Tell = Callable[[World], Awaitable[None]]


@dataclass
class Day:
    """T0: the state service refuses the leader alone. `away_s` later it is down for all, for `lasts_s`."""

    away_s: float
    lasts_s: float
    alone: str = "refused"  # what the old leader has lost: "refused", "cut" (peers, too), "frozen" (for 6 s), "reads"
    cancels: list[float] = field(default_factory=list)  # s after T0, one for each job
    again_s: float = 0.0  # the outage ends for so long, and begins anew
    shapes: tuple[str, ...] = ("sweep", "saves", "daemon", "group", "chain")
    back_s: float = 0.0  # the old leader is served again for so long, before the outage
    answered_late: int = 0
    confirmed: dict[str, float] = field(default_factory=dict)

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
            if one["expected_s"] and int(one["name_id"][-6:]) % 5 == 0:  # something waits behind it
                await world.submit(job(500 + int(one["name_id"][-6:]), prereqs=[one["name_id"]]))
        await world.until(lambda: all(world.running(one) == one["pieces"] for one in jobs), 40)
        for worker in world.workers:
            worker.reports_to = old
        self.watch_answers(world, old)
        await trio.sleep(2.5)
        flying = job(900, pieces=2, cores=0.5, expected_s=400.0)
        world.nursery.start_soon(self.launch_in_flight, world, old, flying)
        t0 = trio.current_time()
        async with trio.open_nursery() as nursery:
            for one, at in zip(jobs, self.cancels, strict=True):
                nursery.start_soon(self.cancel, world, old, one, max(0.0, t0 + 2.0 + at - trio.current_time()))
            await trio.sleep(2.0)
            self.lose(world, old)
            if self.back_s:
                await trio.sleep(self.away_s)
                world.state.refused_sources.clear()
                await trio.sleep(self.back_s)
                self.lose(world, old)
            await trio.sleep(self.away_s)
            world.state.down = True
        assert self.confirmed, "nobody was told anything"
        if self.again_s:
            await trio.sleep(self.lasts_s / 2)
            world.state.down = False
            await trio.sleep(self.again_s)
            world.state.down = True
        await trio.sleep(self.lasts_s)
        world.lose_answer = lambda source, path, body: source == NODES[old] and path.startswith("/changes")
        world.state.down = False
        world.state.refused_sources.clear()
        await world.restore_all_links()
        await trio.sleep(1.0)  # it can touch its lease before it hears any news
        world.lose_answer = lambda source, path, body: False
        await trio.sleep(LEASE_S)
        assert self.answered_late > 0, "the old leader answered nothing after a confirmation"
        for one in jobs:
            if one["name_id"] in self.confirmed:
                assert await world.status(one) == "withdrawn"

    async def launch_in_flight(self, world: World, old: int, one: dict[str, Any]) -> None:
        """Its launches are held on their way, and arrive when its user has been told that it is cancelled."""
        await trio.sleep(1.5)
        for worker in world.workers:
            world.cut(NODES[old], worker.name, "hold", both=False)
        await world.submit(one, (old + 1) % world.count)
        await trio.sleep(1.2)
        await self.cancel(world, old, one, 0.0)
        await trio.sleep(5.0)
        await world.restore_links(lambda source, host: source == NODES[old] and host.startswith("n-"))

    def lose(self, world: World, old: int) -> None:
        if self.alone == "reads":  # it goes on proving that it leads, and hears no news
            world.lose_answer = lambda source, path, body: source == NODES[old] and path.startswith("/changes")
            return
        world.state.refused_sources.add(NODES[old])
        if self.alone == "frozen":
            world.nursery.start_soon(world.freeze, old, 6.0)
        if self.alone == "cut":
            for index in range(world.count):
                world.cut(NODES[old], NODES[index], "hold")

    def watch_answers(self, world: World, old: int) -> None:
        """What the old leader answers workers, counted where it arrives."""
        for worker in world.workers:
            execute = worker.execute

            def counted(orders: list[dict[str, Any]], worker: Any = worker, execute: Any = execute) -> None:
                if worker.reports_to == old and self.confirmed and trio.current_time() > min(self.confirmed.values()):
                    self.answered_late += 1
                execute(orders)

            worker.execute = counted

    async def cancel(self, world: World, old: int, one: dict[str, Any], after_s: float) -> None:
        await trio.sleep(after_s)
        index = next(i for i in sorted(world.nodes) if i != old)
        there = world.running(one) or one["name_id"] == "run-000900"
        try:
            status, _ = await world.ask(index, "POST", f"/work/{one['name_id']}/cancel")
        except (NotSent, Lost):
            return
        if status == 200:
            assert there, "it did not run when its cancellation was confirmed"
            self.confirmed[one["name_id"]] = trio.current_time()


BEFORE = [-2.0, -1.0, 0.0, 0.5, 1.0, 1.5, 1.9]
AT_ONCE = [-0.05, -0.02, 0.0, 0.003, 0.01, 0.03, 0.06, 0.1, 0.2]
AFTER = [*(float(n) for n in range(-2, 11)), 10.45]


ALONE = ["refused", "cut", "frozen", "reads"]


@pytest.mark.parametrize("alone", ALONE)
@pytest.mark.parametrize("lasts", [1.0, 1.5, 3.0])
def test_an_outage_that_begins_before_a_successor_is_there(alone: str, lasts: float) -> None:
    run_scenario(Day(2.0, lasts * CANCEL_S, alone, BEFORE).scenario)


@pytest.mark.parametrize(("alone", "count"), [*((alone, 3) for alone in ALONE), ("refused", 7), ("cut", 7)])
def test_an_outage_a_second_after_cancellations_at_the_very_moment_of_the_refusal(alone: str, count: int) -> None:
    run_scenario(Day(1.0, 1.5 * CANCEL_S, alone, AT_ONCE).scenario, count)


@pytest.mark.parametrize("alone", ALONE)
@pytest.mark.parametrize("count", [3, 7])
def test_an_outage_that_begins_after_a_successor_is_there(alone: str, count: int) -> None:
    run_scenario(Day(10.5, 1.5 * CANCEL_S, alone, AFTER).scenario, count)


def test_a_leader_whose_touches_are_answered_and_whose_reads_are_not() -> None:
    run_scenario(Day(c.HANDOVER_STALE_S - 0.6, 1.5 * CANCEL_S, "reads", [0.3, 0.6, 1.0, 2.0, 4.0]).scenario)


def test_one_that_stands_in_for_a_leader_and_knows_as_little() -> None:
    """Both are refused. They hear each other all through the outage, which proves nothing of what others confirmed."""

    async def scenario(world: World) -> None:
        old = world.leader()
        who, knows = (old + 1) % 3, (old + 2) % 3
        for _ in range(2):
            world.cloud.create(ZONES[who])
        world.cloud.capacity.clear()
        one = job(1, pieces=3, expected_s=400.0, snapshot_every_s=15.0, snapshot_cost_s=4.0)
        await world.submit(one)
        await world.until(lambda: world.running(one) == 3, 30)
        for worker in world.workers:
            worker.reports_to = who
            world.cut(worker.name, NODES[knows], "refuse")
            world.cut(worker.name, NODES[old], "refuse")
        await trio.sleep(REPORT_S)
        world.state.refused_sources |= {NODES[old], NODES[who]}
        await trio.sleep(1.0)
        assert (await world.ask(knows, "POST", "/work/run-000001/cancel"))[0] == 200
        await trio.sleep(0.5)
        world.state.down = True
        await trio.sleep(8.0)
        world.kill(old)
        await trio.sleep(5.0)
        assert world.nodes[who].heartbeats._renewed_at, "it stood in"
        await trio.sleep(1.5 * CANCEL_S)
        assert world.running(one) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("count", [3, 7])
def test_an_outage_that_ends_for_a_moment_and_begins_anew(count: int) -> None:
    run_scenario(Day(2.0, 2 * CANCEL_S, "refused", BEFORE, again_s=0.6).scenario, count)


@pytest.mark.parametrize("away", [1.0, 2.2, 4.0])
def test_a_leader_that_is_served_again_for_a_moment_before_the_outage(away: float) -> None:
    """The old leader's turn, and that of those who stand in for it, one after the other."""
    run_scenario(Day(away, 1.5 * CANCEL_S, "refused", BEFORE, back_s=0.4).scenario)
