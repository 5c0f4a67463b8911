"""Processes that end are back within a fraction of a second, at every step; late copies of old messages follow."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from pepperlatch.constants import core as c
from pepperlatch.controller.leadership import Leadership
from pepperlatch.controller.store import Replica
from pepperlatch.policy.model import Status
from pepperlatch.protocol.state import Unsure
from pepperlatch.protocol.wire import Cause
from tests.cuts.test_sessions import cluster_of, report
from tests.fakes import CANCEL_S, LEASE_S, NODES, REPORT_S, World, job, run_scenario
from tests.test_edges import machine, spec_of

BACK_S = (0.0, 0.05, 0.2, 0.9)  # s
CANCEL_LATE_S = CANCEL_S + 1  # s; past the bound within which a cancelled task may still be on a machine
Step = Callable[[World, float], Awaitable[None]]


async def election(world: World, back: float) -> None:
    """The leader, and whoever is about to win in its place."""
    await world.restart(world.leader(), back)
    await trio.sleep(c.LEADER_LEASE_MS / 1000)
    for index in list(world.nodes):
        await world.restart(index, back)


async def hand_over(world: World, back: float) -> None:
    """A leader that reaches nobody hands over; it and the next one end meanwhile."""
    leader = world.leader()
    for worker in world.workers:
        world.cut(worker.name, NODES[leader], "hold")
    for other in set(world.nodes) - {leader}:
        world.cut(NODES[other], NODES[leader], "hold")
    await world.until(lambda: any(i != leader and n.leader for i, n in world.nodes.items()), 20)
    await world.restart(leader, back)
    await world.restart(next(i for i, n in world.nodes.items() if i != leader and n.leader), back)
    await world.restore_all_links()


async def fencing(world: World, back: float) -> None:
    """A takeover with half of its machines fenced."""
    hidden = world.workers[0]
    old = world.leader()
    for index in world.nodes:
        world.cut(NODES[index], hidden.name, "hold")
    await world.restart(old, back)
    await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
    await trio.sleep(0.3)
    assert hidden.name in world.nodes[world.leader()].leader.cluster.unaccounted  # type: ignore[union-attr]
    await world.restart(world.leader(), back)
    await trio.sleep(5)
    await world.restore_all_links()


async def unanswered(world: World, back: float) -> None:
    """Launches are carried out, and nobody hears of it."""
    for worker in world.workers:
        world.cut(NODES[world.leader()], worker.name, "lose_answers", both=False)
    await world.submit(job(8, pieces=2, cores=1.0, expected_s=20.0), min(set(world.nodes) - {world.leader()}))
    await trio.sleep(0.5)
    await world.restart(world.leader(), back)
    await trio.sleep(3)
    await world.restore_all_links()


async def outage(world: World, back: float) -> None:
    """Nobody can be elected, and whoever might stand in has just begun."""
    world.state.down = True
    await trio.sleep(1)
    for index in list(world.nodes):
        await world.restart(index, back)
    await trio.sleep(4)
    world.state.down = False


async def held(world: World, back: float) -> None:
    """What was sent to the life before, and by it, arrives when the next one leads."""
    leader = world.leader()
    for name in [w.name for w in world.workers] + ["state"]:
        world.cut(NODES[leader], name, "hold", both=name != "state")
    await world.submit(job(8, pieces=2, cores=1.0, expected_s=20.0), min(set(world.nodes) - {leader}))
    await trio.sleep(1.5)
    await world.restart(leader, back)
    await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
    await trio.sleep(2)
    await world.restore_all_links()


async def everybody(world: World, back: float) -> None:
    async with trio.open_nursery() as nursery:
        for index in list(world.nodes):
            nursery.start_soon(world.restart, index, back)


async def ten_times(world: World, back: float) -> None:
    index = world.leader()
    for _ in range(10):
        await world.restart(index, back)
        await trio.sleep(max(0.0, 1.0 - back))


@pytest.mark.parametrize("back", BACK_S)
@pytest.mark.parametrize("step", [election, hand_over, fencing, unanswered, outage, held, everybody, ten_times])
def test_whoever_ends_is_back_at_once_and_work_goes_on(step: Step, back: float) -> None:
    async def scenario(world: World) -> None:
        world.delivered_requests = []
        service = job(1, shape="daemon", pieces=2, expected_s=0.0)
        sweep = job(2, crew="blue", pieces=4, cores=1.0, expected_s=6.0)
        gang = job(3, shape="group", pieces=2, expected_s=8.0, one_zone=True)
        for body in (service, sweep, gang):
            await world.submit(body)
        await world.until(lambda: world.running(service) == 2 and world.running(gang) == 2, 60)
        await step(world, back)
        for item in world.delivered_requests:  # of all that was carried out
            if item.link[1] in {w.name for w in world.workers} or item.link[1] == "cloud":
                world.nursery.start_soon(world.deliver, item)
        await world.until(lambda: world.state.job_state("run-000002") == "done", 60)
        await world.until(lambda: world.state.job_state("run-000003") == "done", 60)
        await world.until(lambda: world.running(service) == 2, 60)
        late = job(9, pieces=1, cores=1.0, expected_s=1.0)
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
        assert (await world.submit(late))[0] in (200, 201)
        await world.until(lambda: world.state.job_state("run-000009") == "done", 60)

    run_scenario(scenario)


def test_a_leader_that_is_back_at_once_ends_its_own_earlier_term() -> None:
    """Nobody else could: its lease would go on for seconds, with its name in the key."""

    async def scenario(world: World) -> None:
        await trio.sleep(1)
        began = trio.current_time()
        await world.restart(world.leader(), 0.05)
        await world.until(lambda: any(n.leader for n in world.nodes.values()), 20)
        assert trio.current_time() - began < c.LEADER_LEASE_MS / 1000 / 2

    run_scenario(scenario)


class SlowGrant:
    """A state service whose grants take long to be answered, and whose transactions may be lost."""

    def __init__(self, seconds: float, lose: bool) -> None:
        self.seconds, self.lose, self.given_back = seconds, lose, []  # type: ignore[var-annotated]

    async def grant(self, life_ms: int) -> int:
        await trio.sleep(self.seconds)
        return 7

    async def txn(self, conditions: object, writes: object, urgent: bool = False) -> object:
        if self.lose:
            raise Unsure("no answer")
        return type("Done", (), {"applied": True, "revision": 9})

    async def revoke(self, lease: int) -> None:
        self.given_back.append(lease)


@pytest.mark.parametrize("lose", [False, True])
def test_a_term_is_sure_no_longer_than_its_lease_however_slow_its_grant(lose: bool) -> None:
    async def scenario() -> None:
        replica = Replica()
        replica.loaded = True
        state = SlowGrant(1.2, lose)
        leadership = Leadership("n", state, replica, 10.0, trio.current_time, 1)  # type: ignore[arg-type]
        began = trio.current_time()
        if lose:
            with pytest.raises(Unsure):
                await leadership._win()
            assert state.given_back == [7], "or nobody would lead until it ends"
            return
        term = await leadership._win()
        assert term is not None
        assert not term.sure(began + c.ELECTION_JITTER_S + c.LEADER_LEASE_MS / 1000)

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_who_promised_not_to_stand_in_and_began_anew_keeps_the_promise() -> None:
    """The leader counts on it for as long as it was given, and the next life knows nothing of it."""

    async def scenario(world: World) -> None:
        service = job(1, shape="daemon", pieces=1, expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 1, 30)
        leader = world.leader()
        index = next(i for i in world.nodes if i != leader)
        await world.restart(index, 0.0)
        reports = world.nodes[index].heartbeats
        await world.until(lambda: reports.leader_contact.token > 0, 5)
        reports._state.good_at = reports._renewal_revoked_until = float("-inf")  # no state service, no leader heard
        reports._replica.current_at = trio.current_time()
        shown = report(1, 1, token=reports.leader_contact.token)
        assert not reports._may_renew_lease(shown)
        await trio.sleep(c.STAND_IN_BAR_S)
        reports._renewal_revoked_until = reports._state.good_at = float("-inf")
        assert reports._may_renew_lease(shown)

    run_scenario(scenario)


def test_a_worker_that_counts_from_the_beginning_is_returned_and_a_late_report_is_only_late() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(2, 40), 10.0, beat=True)
    cluster.on_report(report(1, 7), 11.0, beat=True)
    cluster.on_report(report(2, 39), 12.0, beat=False, asked_at=9.5)
    assert one.status is Status.UP, "late, or asked before the newest came"
    cluster.on_report(report(1, 2), 13.0, beat=False, asked_at=12.5)
    assert (one.status, one.name in cluster.to_release) == (Status.LEAVING, True)


def test_a_machine_that_is_back_at_once_with_nothing_left_is_replaced() -> None:
    async def scenario(world: World) -> None:
        for zone in ("a", "b", "c"):
            world.cloud.create(zone)
        await trio.sleep(6)
        service = job(1, shape="daemon", pieces=2, expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 2, 60)
        await trio.sleep(3 * REPORT_S)
        world.hosts(service)[0].reboot()
        await world.until(lambda: world.running(service) < 2, 1)
        await world.until(lambda: world.running(service) == 2, LEASE_S / 2)

    run_scenario(scenario)


def test_a_copy_of_a_launch_that_was_answered_starts_nothing_again() -> None:
    """A task that was stopped, and taken off its machine's list, would start there once more."""

    async def scenario(world: World) -> None:
        world.delivered_requests = []
        service = job(1, shape="daemon", pieces=2, expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 2, 60)
        await world.ask(min(world.nodes), "POST", "/work/run-000001/cancel")
        await world.until(lambda: world.running(service) == 0, 10)
        await trio.sleep(CANCEL_LATE_S)
        for item in world.delivered_requests:
            if item.link[1].startswith("n-"):
                await world.deliver(item)
        await trio.sleep(3)
        assert world.observer.starts["run-000001"] == 2

    run_scenario(scenario)


def test_what_was_launched_directly_is_taken_off_the_list_when_no_copy_can_come() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 1), 1.0, beat=True)
    held = cluster.place(cluster.add_job(spec_of(1, pieces=1), 3, 0.0, set()), 0, one, 1.0)
    held.sent_seq, held.phase = -1, held.phase.THERE
    row = {"piece": held.name, "try": held.number, "status": "ended", "cause": Cause.STOPPED.value}
    cluster.on_report(report(1, 2, pieces=[row]), 2.0, beat=True)

    def reaped(now: float) -> bool:
        return any(order["verb"] == "reap" for order in cluster.orders_for_heartbeat(one, True, now))

    assert not reaped(3.0)
    assert reaped(3.0 + c.COPIES_S)
