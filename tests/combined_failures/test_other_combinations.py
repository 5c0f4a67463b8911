"""Two failures at once: late transactions or reports, unreachable machines, isolated leaders, slow reads."""

from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leadership import Term
from pepperlatch.controller.store import Replica
from pepperlatch.controller.writer import Write, Writer
from pepperlatch.policy.model import Phase
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import NoUsableResponse
from pepperlatch.protocol.state import StateClient
from pepperlatch.protocol.token_bucket import TokenBucket
from tests.cuts.test_sessions import PREDECESSOR_LEASES_END_S, TOKEN, cluster_of, report
from tests.fakes import CANCEL_S, LEASE_S, NODES, STATE, World, job, run_scenario, settings_of
from tests.test_edges import machine, spec_of

# --- machines whose reports arrive and that receive nothing -----------------------------------------


def test_after_a_leaders_end_older_jobs_do_not_wait_for_a_machine_that_receives_nothing() -> None:
    """It is probed, and returned like a silent one; its tasks start again only once the return is confirmed."""

    async def scenario(world: World) -> None:
        service = job(1, shape="daemon", pieces=3, cores=4.0, expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 3, 40)
        unreachable = world.hosts(service)[0]
        unreachable.inbound_fails = True
        old = world.leader()
        world.kill(old)
        begun = trio.current_time()
        await world.until(lambda: unreachable.terminated, CANCEL_S)
        await world.until(lambda: world.running(service) == 3, 8)
        assert trio.current_time() - begun < 2 * LEASE_S

    run_scenario(scenario)


def test_an_answer_that_did_not_arrive_according_to_a_later_report_renewed_no_lease() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 5, TOKEN - 1), 1.0, heartbeat=True)
    one.answered_at = 1.0
    at = 3.0
    while at < PREDECESSOR_LEASES_END_S + 4:
        cluster.on_report(report(1, 10 + int(at), TOKEN - 1), at, heartbeat=True)
        cluster.expire(at)
        assert (at > PREDECESSOR_LEASES_END_S) == ("n-1" not in cluster.unverified), at
        one.answered_at = at
        at += 2.0
    cluster = cluster_of(two := machine("n-1"))
    two.answered_at = PREDECESSOR_LEASES_END_S
    cluster.on_report(report(1, 5, TOKEN - 1), PREDECESSOR_LEASES_END_S + 1, heartbeat=False)
    cluster.expire(PREDECESSOR_LEASES_END_S + 2)
    assert cluster.unverified, "an answer to a probe does not rule out that an answer to a report is on its way"


def test_a_machine_that_receives_nothing_is_given_no_more_tasks_until_it_does() -> None:
    """Guards against a machine that is given tasks again and again.

    It loses them all when its lease ends, and then the scheduler takes it for empty.
    """

    async def scenario(world: World) -> None:
        unreachable = world.cloud.create("a")
        world.cloud.create("b")
        world.cloud.capacity.clear()
        await trio.sleep(7)
        unreachable.inbound_fails = True
        jobs = [job(n, pieces=2, cores=2.0, expected_s=3.0, pull_gb=0.0) for n in range(1, 9)]
        for one in jobs:
            await world.submit(one)
            await trio.sleep(2.5)
        await world.until(lambda: all(world.state.job_state(j["name_id"]) == "done" for j in jobs[2:]), LEASE_S)
        unreachable.inbound_fails = False
        full = job(20, pieces=4, cores=4.0, expected_s=20.0, pull_gb=0.0)
        await world.submit(full)
        await world.until(lambda: world.running(full) == 4, 2 * LEASE_S)

    run_scenario(scenario)


def test_a_machine_that_shows_an_offered_task_counts_as_reachable_again() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 1), 0.1, heartbeat=True)
    attempt = cluster.place(cluster.add_job(spec_of(1, pieces=1), 9, 0.1, set()), 0, one, 0.1)
    shown = [{"piece": attempt.name, "try": attempt.number, "status": "pulling"}]
    for seq in range(2, 2 + c.MAX_LOST_LAUNCH_ANSWERS):
        cluster.on_report(report(1, seq), float(seq), heartbeat=True)
        assert cluster.orders_for_heartbeat(one, True, float(seq)), "offered again"
    assert one.lost_answers == c.MAX_LOST_LAUNCH_ANSWERS - 1 and attempt.phase is Phase.SENT
    cluster.on_report(report(1, 9, pieces=shown), 9.0, heartbeat=True)
    assert (one.lost_answers, attempt.phase) == (0, Phase.CONFIRMED)


# --- transactions that are carried out late ---------------------------------------------------------


class LaggingNetwork:
    """A link to the state service that keeps transactions, so that a test can carry them out later."""

    def __init__(self, world_state: Any) -> None:
        self.state = world_state
        self.lose = 0  # how many of the next transactions are kept; their sender gets no answer
        self.kept: list[Any] = []

    async def request(self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0) -> Any:
        if path == "/txn" and self.lose:
            self.lose -= 1
            self.kept.append(body)
            await trio.sleep(deadline_s)
            raise NoUsableResponse(path)
        return await self.state.serve("perch-0", method, path, body)


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_a_leaders_write_that_is_carried_out_late_undoes_nothing_newer(lost: int) -> None:
    """Guards against a machine's record that reappears after its removal, or an older drain mark that returns."""

    async def scenario(world: World) -> None:
        world.state.change([{"set": store.LEADER, "value": {"node": "n"}}])
        token = world.state.revision
        network = LaggingNetwork(world.state)
        state = StateClient(network, STATE, settings_of(0).params.state, 3, trio.current_time)
        state._writes.rate = state._requests.rate = 1e6
        assert isinstance(state._requests, TokenBucket)
        writer = Writer(state, Term(token, 1, 0.0, 1e9, Replica()), 16)
        world.nursery.start_soon(writer.run)
        outcomes: list[bool] = []
        key = store.MACHINE + "n-1"
        network.lose = lost
        writer.add(Write([wire.put(key, {"draining": None})], outcomes.append))
        await world.until(lambda: len(outcomes) == 1, 20)
        writer.add(Write([wire.put(key, {"draining": "busy"})], outcomes.append))
        await world.until(lambda: len(outcomes) == 2, 20)
        for body in network.kept:
            assert world.state.txn(body)[0] == 409, "late"
        assert world.state.keys[key][0] == {"draining": "busy"}
        writer.add(Write([wire.delete(key)], outcomes.append))
        await world.until(lambda: len(outcomes) == 3, 20)
        for body in network.kept:
            assert world.state.txn(body)[0] == 409
        assert key not in world.state.keys and outcomes == [True] * 3

    run_scenario(scenario)


def test_a_write_that_was_carried_out_without_an_answer_blocks_no_later_write() -> None:
    """The update of the key that orders the leader's writes may also be carried out without an answer."""

    async def scenario(world: World) -> None:
        world.lose_answer = lambda source, path, body: path == "/txn" and trio.current_time() % 2.0 < 0.5
        one = job(1, pieces=3, expected_s=3.0)
        while (await world.submit(one))[0] not in (200, 201):
            await trio.sleep(1.0)
        await world.until(lambda: world.state.job_state("run-000001") == "done", 60)
        records = {k for k in world.state.keys if k.startswith(store.MACHINE)}
        assert records <= {store.MACHINE + w.name for w in world.workers if not w.terminated}

    run_scenario(scenario)


def test_late_transactions_of_leaders_that_restart_do_no_harm() -> None:
    """Submissions, cancellations, done tasks, chunks, machines, rentals and the leader's key are late by 2 to 12 s."""

    async def scenario(world: World) -> None:
        count = 0

        def late(source: str, path: str, body: Any) -> float:
            nonlocal count
            count += path == "/txn"
            return 2.0 + count % 11 if path == "/txn" and count % 3 == 0 else 0.0

        world.late_delivery_s = late
        jobs = [job(n, pieces=2 + n % 2, expected_s=4.0 + 9 * (n % 3), cores=1.0) for n in range(1, 9)]
        for n, one in enumerate(jobs):
            while (await world.submit(one))[0] not in (200, 201):
                await trio.sleep(1.0)
            if n % 4 == 3:
                await world.restart(world.leader() if any(x.leader for x in world.nodes.values()) else 0, 0.2)
        for _ in range(20):
            if (await world.ask(1, "POST", "/work/run-000008/cancel"))[0] == 200:
                break
            await trio.sleep(1.0)
        await trio.sleep(30)
        world.late_delivery_s = lambda source, path, body: 0.0
        await world.until(lambda: all(world.state.job_state(j["name_id"]) in ("done", "withdrawn") for j in jobs), 120)
        await trio.sleep(13)
        for one in jobs:
            assert await world.status(one, 2) in ("done", "withdrawn")

    run_scenario(scenario)


def test_a_submission_without_an_answer_is_written_again_before_its_user_gives_up() -> None:
    async def scenario(world: World) -> None:
        seen: set[str] = set()

        def late(source: str, path: str, body: Any) -> float:
            writes = body["writes"] if path == "/txn" else []
            ids = {w["set"] for w in writes if w.get("set", "").startswith(store.JOB)}
            new = ids - seen
            seen.update(ids)
            return 5.0 if new else 0.0

        world.late_delivery_s = late
        for number in range(1, 4):
            begun = trio.current_time()
            status, _ = await world.submit(job(number, expected_s=3.0), number % 3)
            assert (status, trio.current_time() - begun < 1.0) == (201, True)
        await trio.sleep(20.0)
        assert {world.observer.starts[f"run-00000{n}"] for n in range(1, 4)} == {2}

    run_scenario(scenario)


# --- controllers ------------------------------------------------------------------------------------


@pytest.mark.parametrize("count", [3, 7])
def test_users_ask_an_isolated_leader_and_its_successor_in_turn(count: int) -> None:
    """Jobs are submitted, finished and cancelled through the new leader; the old one contradicts none of that."""

    async def scenario(world: World) -> None:
        before = [job(n, pieces=2, cores=1.0, expected_s=20.0) for n in range(1, 4)]
        for one in before:
            await world.submit(one)
        await world.until(lambda: all(world.running(one) == 2 for one in before), 40)
        old = world.leader()
        for name in ["state", *NODES[:count]]:
            world.cut(NODES[old], name, "hold")
        new = (old + 1) % count
        await trio.sleep(4.0)
        after = [job(n, pieces=1, cores=1.0, expected_s=5.0) for n in range(11, 14)]
        for one in after:
            assert (await world.submit(one, new))[0] == 201
        assert (await world.ask(new, "POST", "/work/run-000001/cancel"))[0] == 200
        for _ in range(12):
            for one in before + after:
                status, _ = await world.ask(old, "GET", f"/work/{one['name_id']}")
                assert status in (200, 503), "it cannot know that there is no such job"
                assert (await world.ask(new, "GET", f"/work/{one['name_id']}"))[0] == 200
            await trio.sleep(4.0)
        await world.restore_all_links()
        await trio.sleep(3.0)
        for one in before + after:
            assert [(await world.ask(i, "GET", f"/work/{one['name_id']}"))[0] for i in range(count)] == [200] * count

    run_scenario(scenario, count)


def test_a_leader_proves_its_lease_while_every_answer_takes_a_second() -> None:
    """Guards against renewals of the lease that give up after half a second: on a slow service, all leases expire."""

    async def scenario(world: World) -> None:
        service = job(1, shape="daemon", expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 2, 40)
        world.state.answer_delay_s = lambda source, path: 1.0
        old, token = world.leader(), world.nodes[world.leader()].leader.term.token  # type: ignore[union-attr]
        await trio.sleep(3 * LEASE_S)
        assert (world.leader(), world.nodes[old].leader.term.token) == (old, token)  # type: ignore[union-attr]
        assert world.running(service) == 2 and world.observer.starts["run-000001"] == 2

    run_scenario(scenario)


def test_a_leader_whose_reads_get_no_answers_hands_over_before_workers_leases_expire() -> None:
    """Guards against a leader that renews its own lease for ever, but may no longer renew the workers' leases.

    It may not renew them once its copy of the state is older than the lease extension G.
    """

    async def scenario(world: World) -> None:
        service = job(1, shape="daemon", expected_s=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 2, 40)
        old = world.leader()
        world.lose_answer = lambda source, path, body: source == NODES[old] and path.startswith("/changes")
        await trio.sleep(3 * CANCEL_S)
        assert world.leader() != old
        assert world.observer.starts["run-000001"] == 2

    run_scenario(scenario)


def test_an_isolated_controller_is_unhealthy_and_one_in_an_outage_of_the_state_service_is_not() -> None:
    async def scenario(world: World) -> None:
        async def healthy() -> list[bool]:
            return [(await world.ask(i, "GET", "/healthz"))[0] == 200 for i in range(3)]

        for name in ["state", *NODES[:3]]:
            world.cut(NODES[1], name, "hold")
        await trio.sleep(9.0)
        assert await healthy() == [True, False, True]
        await world.restore_all_links()
        await trio.sleep(3.0)
        world.state.down = True
        await trio.sleep(20.0)
        assert await healthy() == [True] * 3

    run_scenario(scenario)


def test_polls_are_answered_in_time_while_some_reads_are_slow() -> None:
    async def scenario(world: World) -> None:
        one = job(1, shape="daemon", expected_s=0.0)
        await world.submit(one)
        count = 0

        def slow(source: str, path: str) -> float:
            nonlocal count
            count += path.endswith("wait_ms=0")
            return 1.4 if path.endswith("wait_ms=0") and count % 2 else 0.0

        world.state.answer_delay_s = slow
        took = []
        for _ in range(30):
            begun = trio.current_time()
            await world.status(one, 1)
            took.append(trio.current_time() - begun)
            await trio.sleep(0.1)
        assert max(took) < 2.0 and sum(t < 0.5 for t in took) >= 10

    run_scenario(scenario)


def test_tasks_that_end_far_apart_across_changes_of_leader_are_each_done_once() -> None:
    """The machine of the task that was done first is gone, and the writes that record its end got no answers."""

    async def scenario(world: World) -> None:
        world.lose_answer = lambda source, path, body: path == "/txn" and "j/done/" in str(body)
        one = job(1, pieces=2, cores=8.0, expected_s=70.0)
        await world.submit(one)
        await world.until(lambda: world.running(one) == 2, 40)
        first = world.hosts(one)[0]
        for task in first.tasks.values():
            if task.job is one:
                task.state_since -= 65.0  # much closer to its end than the other
        await trio.sleep(8.0)
        first.terminate()
        for _ in range(3):
            old = world.leader()
            world.kill(old)
            await trio.sleep(6.0)
            world.start(old)
            await trio.sleep(2.0)
        assert await world.status(one, 0) in ("running", "queued")
        await world.until(lambda: world.state.job_state("run-000001") == "done", 80)
        assert world.observer.done_tasks["run-000001"] == {0, 1}

    run_scenario(scenario)


def test_old_reports_of_earlier_sessions_and_attempts_do_no_harm() -> None:
    """Copies of reports arrive 2 to 24 s later, through any controller, while machines hang and leaders restart."""

    async def scenario(world: World) -> None:
        count = 0

        def again(source: str, path: str, body: Any) -> float:
            nonlocal count
            count += 1
            return (2.0, 9.0, LEASE_S + 3, 2 * LEASE_S)[count % 4] if "beat" in path else 0.0

        world.duplicate_delivery_s = again
        jobs = [job(n, pieces=3, cores=2.0, expected_s=6.0 * n) for n in range(1, 5)]
        for one in jobs:
            await world.submit(one)
        for _ in range(3):
            await trio.sleep(9.0)
            for worker in [w for w in world.workers if w.up][:1]:
                worker.hung = True
                await trio.sleep(LEASE_S + 1)
                worker.resume()
            await world.restart(world.leader(), 0.2)
        await world.until(lambda: all(world.state.job_state(j["name_id"]) == "done" for j in jobs), 150)

    run_scenario(scenario)
