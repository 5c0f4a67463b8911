"""Controllers and workers restart within a second at any step, and late copies of earlier messages arrive."""

from collections.abc import Awaitable, Callable

import pytest
import trio
import trio.testing

from pepperlatch.constants import core as c
from pepperlatch.controller.leadership import Leadership
from pepperlatch.controller.store import Replica
from pepperlatch.policy.model import Status
from pepperlatch.protocol.state import OutcomeUnknown
from pepperlatch.protocol.wire import Cause
from tests.cuts.test_sessions import TOKEN, cluster_of, report
from tests.fakes import CANCEL_S, LEASE_S, NODES, REPORT_S, World, job, run_scenario
from tests.test_edges import machine, spec_of

BACK_S = (0.0, 0.05, 0.2, 0.9)  # s; from the end of a process to its restart
CANCEL_LATE_S = CANCEL_S + 1  # s; by then no cancelled task may be on a machine any more
Disruption = Callable[[World, float], Awaitable[None]]  # restarts processes, each so many seconds after it ended


async def election(world: World, back: float) -> None:
    """The leader restarts, then all controllers while they are electing the next one."""
    await world.restart(world.leader(), back)
    await trio.sleep(c.LEADER_LEASE_MS / 1000)
    for index in list(world.nodes):
        await world.restart(index, back)


async def hand_over(world: World, back: float) -> None:
    """A leader that reaches neither workers nor followers hands over; it and the next leader restart meanwhile."""
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
    """A new leader restarts when it has fenced only half of its machines."""
    unreachable = world.workers[0]
    old = world.leader()
    for index in world.nodes:
        world.cut(NODES[index], unreachable.name, "hold")
    await world.restart(old, back)
    await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
    await trio.sleep(0.3)
    assert unreachable.name in world.nodes[world.leader()].leader.cluster.unverified  # type: ignore[union-attr]
    await world.restart(world.leader(), back)
    await trio.sleep(5)
    await world.restore_all_links()


async def unanswered(world: World, back: float) -> None:
    """Launches are carried out, but their answers are lost, and the leader restarts."""
    for worker in world.workers:
        world.cut(NODES[world.leader()], worker.name, "lose_answers", both=False)
    await world.submit(job(8, pieces=2, cores=1.0, expected_s=20.0), min(set(world.nodes) - {world.leader()}))
    await trio.sleep(0.5)
    await world.restart(world.leader(), back)
    await trio.sleep(3)
    await world.restore_all_links()


async def outage(world: World, back: float) -> None:
    """All controllers restart during an outage of the state service: none can be elected or renew leases instead."""
    world.state.down = True
    await trio.sleep(1)
    for index in list(world.nodes):
        await world.restart(index, back)
    await trio.sleep(4)
    world.state.down = False


async def held(world: World, back: float) -> None:
    """Messages to and from the leader are held, it restarts, and they arrive when the next leader is ready."""
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
    """All controllers restart at the same time."""
    async with trio.open_nursery() as nursery:
        for index in list(world.nodes):
            nursery.start_soon(world.restart, index, back)


async def ten_times(world: World, back: float) -> None:
    """The same controller, at first the leader, restarts ten times, a second apart."""
    index = world.leader()
    for _ in range(10):
        await world.restart(index, back)
        await trio.sleep(max(0.0, 1.0 - back))


@pytest.mark.parametrize("back", BACK_S)
@pytest.mark.parametrize("disrupt", [election, hand_over, fencing, unanswered, outage, held, everybody, ten_times])
def test_work_goes_on_when_controllers_restart_at_once(disrupt: Disruption, back: float) -> None:
    async def scenario(world: World) -> None:
        world.delivered_requests = []
        service = job(1, shape="daemon", pieces=2, expected_s=0.0)
        sweep = job(2, crew="blue", pieces=4, cores=1.0, expected_s=6.0)
        gang = job(3, shape="group", pieces=2, expected_s=8.0, one_zone=True)
        for body in (service, sweep, gang):
            await world.submit(body)
        await world.until(lambda: world.running(service) == 2 and world.running(gang) == 2, 60)
        await disrupt(world, back)
        for item in world.delivered_requests:  # a second copy of all that was carried out
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


def test_a_leader_that_restarts_ends_its_own_earlier_term() -> None:
    """No other controller could end it: its lease, and with it its name in the leader's key, would last for seconds."""

    async def scenario(world: World) -> None:
        await trio.sleep(1)
        began = trio.current_time()
        await world.restart(world.leader(), 0.05)
        await world.until(lambda: any(n.leader for n in world.nodes.values()), 20)
        assert trio.current_time() - began < c.LEADER_LEASE_MS / 1000 / 2

    run_scenario(scenario)


class SlowGrant:
    """Grants a lease after `seconds`. `lose`: transactions get no answer. `revoked`: the leases that were revoked."""

    def __init__(self, seconds: float, lose: bool) -> None:
        self.seconds, self.lose, self.revoked = seconds, lose, []  # type: ignore[var-annotated]

    async def grant_lease(self, life_ms: int) -> int:
        await trio.sleep(self.seconds)
        return 7

    async def txn(self, conditions: object, writes: object, urgent: bool = False) -> object:
        if self.lose:
            raise OutcomeUnknown("no answer")
        return type("Done", (), {"applied": True, "revision": 9})

    async def revoke_lease(self, lease: int) -> None:
        self.revoked.append(lease)


@pytest.mark.parametrize("lose", [False, True])
def test_a_term_counts_from_the_request_for_its_lease_even_if_the_grant_is_slow(lose: bool) -> None:
    async def scenario() -> None:
        replica = Replica()
        replica.loaded = True
        state = SlowGrant(1.2, lose)
        leadership = Leadership("n", state, replica, 10.0, trio.current_time, 1)  # type: ignore[arg-type]
        began = trio.current_time()
        if lose:
            with pytest.raises(OutcomeUnknown):
                await leadership._try_to_win()
            assert state.revoked == [7], "otherwise no controller could lead until it expires"
            return
        term = await leadership._try_to_win()
        assert term is not None
        assert not term.lease_valid(began + c.ELECTION_JITTER_S + c.LEADER_LEASE_MS / 1000)

    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_follower_that_restarts_keeps_its_promise_not_to_renew_leases_for_the_leader() -> None:
    """The leader relies on the promise until it ends, but the restarted process does not remember it."""

    async def scenario(world: World) -> None:
        service = job(1, shape="daemon", pieces=1, expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 1, 30)
        leader = world.leader()
        index = next(i for i in world.nodes if i != leader)
        await world.restart(index, 0.0)
        reports = world.nodes[index].heartbeats
        await world.until(lambda: reports.leader_contact.token > 0, 5)
        # neither the state service nor the leader is reached
        reports._state.last_success_at = reports._renewal_revoked_until = float("-inf")
        reports._replica.current_at = trio.current_time()
        shown = report(1, 1, token=reports.leader_contact.token)
        assert not reports._may_renew_lease(shown)
        await trio.sleep(c.RENEWAL_REVOCATION_S)
        reports._renewal_revoked_until = reports._state.last_success_at = float("-inf")
        assert reports._may_renew_lease(shown)

    run_scenario(scenario)


def test_a_worker_that_restarts_with_an_earlier_session_is_returned_and_a_late_report_is_ignored() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(2, 40), 10.0, heartbeat=True)
    cluster.on_report(report(1, 7), 11.0, heartbeat=True)
    cluster.on_report(report(2, 39), 12.0, heartbeat=False, asked_at=9.5)
    assert one.status is Status.UP, "a report came late, or was asked for before the newest one came"
    cluster.on_report(report(1, 2), 13.0, heartbeat=False, asked_at=12.5)
    assert (one.status, one.name in cluster.to_release) == (Status.LEAVING, True)


def test_a_machine_that_reboots_at_once_without_its_tasks_is_replaced() -> None:
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


def test_a_late_copy_of_an_answered_launch_starts_nothing() -> None:
    """Otherwise a task that was stopped and reaped would start again on its machine."""

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


def test_a_directly_launched_task_is_reaped_only_with_a_token_that_ends_copies_of_its_launch() -> None:
    """Guards against tasks that run twice: a copy arrives at any later time and counts until a higher token is seen."""
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 1), 1.0, heartbeat=True)
    held = cluster.place(cluster.add_job(spec_of(1, pieces=1), 3, 0.0, set()), 0, one, 1.0)
    _, launched = cluster.orders_direct(one, 1.0)
    row = {"piece": held.name, "try": held.number, "status": "running"}
    cluster.on_report(report(1, 2, pieces=[row]), 2.0, heartbeat=False)
    cluster.direct_result(one, launched, True, 2.0)
    ended = {**row, "status": "ended", "cause": Cause.STOPPED.value}
    cluster.on_report(report(1, 3, pieces=[ended]), 3.0, heartbeat=True)

    def is_reaped(now: float) -> bool:
        return any(order["verb"] == "reap" for order in cluster.orders_for_heartbeat(one, True, now))

    assert not is_reaped(3.0)
    assert not is_reaped(1e6), "time alone proves nothing"
    assert (cluster.newer_token_wanted, cluster.command_token(one)) == (True, TOKEN)
    cluster.newest_token = TOKEN + 5
    one.sending = True
    assert not is_reaped(4.0), "the worker might refuse the direct command that is under way"
    one.sending = False
    assert is_reaped(5.0)
    assert cluster.command_token(one) == TOKEN + 5, "the answer that reaps carries it"


def test_a_leader_knows_its_own_newer_tokens_from_those_of_a_later_leader() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.newest_token = TOKEN + 5
    cluster.on_report(report(1, 1, TOKEN + 5), 1.0, heartbeat=True)
    assert (cluster.higher_token, one.fenced, cluster.command_token(one)) == (False, True, TOKEN + 5)
    cluster.on_report(report(1, 2, TOKEN + 6), 2.0, heartbeat=True)
    assert cluster.higher_token
