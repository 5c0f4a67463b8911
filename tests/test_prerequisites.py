"""Jobs with prerequisites: which wait, which may start, and which are cancelled together with another."""

import math
from typing import Any

import pytest
import trio

from pepperlatch.controller import store
from pepperlatch.policy import supply
from pepperlatch.policy.inherited_urgency import Urgency
from pepperlatch.policy.model import Job
from pepperlatch.policy.prerequisites import Prerequisites
from pepperlatch.protocol import wire
from tests.fakes import CANCEL_S, World, job, run_scenario


def chain(*needs: list[int], **changes: Any) -> list[dict[str, Any]]:
    """Jobs 1, 2, ...; each has the jobs with the numbers given for it as prerequisites."""
    return [
        job(n, prereqs=[f"run-{need:06d}" for need in named] or None, expected_s=4.0, **changes)
        for n, named in enumerate(needs, 1)
    ]


def job_id_of(one: dict[str, Any]) -> str:
    return str(one["name_id"])


async def wait_until_done(world: World, jobs: list[dict[str, Any]], seconds: float = 120) -> None:
    await world.until(lambda: all(world.state.job_state(job_id_of(j)) == "done" for j in jobs), seconds)


def test_a_chain_and_a_diamond_of_jobs_run_in_order() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [1], [1, 1], [2, 3])
        for index, one in enumerate(jobs):
            assert (await world.submit(one, index % 3))[0] == 201
        _, answer = await world.ask(1, "GET", "/work/run-000004")
        assert answer["status"] == "queued" and answer["reason"] == "waits for run-000002, run-000003"
        await wait_until_done(world, jobs)
        late = job(9, prereqs=["run-000004", "run-000001"])  # submitted when all its prerequisites are over
        assert (await world.submit(late))[0] == 201
        await wait_until_done(world, [late])
        assert [world.observer.starts[job_id_of(j)] for j in jobs] == [2] * 4

    run_scenario(scenario)


def test_a_chain_finishes_though_the_leader_dies_after_every_job() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [1], [2], [2, 3])
        for one in jobs:
            await world.submit(one)
        for one in jobs[:-1]:
            await world.until(lambda one=one: world.state.job_state(job_id_of(one)) == "done", 60)
            old = world.leader()
            world.kill(old)
            await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
            world.start(old)
        await wait_until_done(world, jobs)

    run_scenario(scenario)


def test_bad_prerequisites_are_rejected_and_those_unknown_to_this_node_are_looked_up() -> None:
    async def scenario(world: World) -> None:
        for bad in ("run-000001", [1], {"a": 1}, [None]):
            assert (await world.ask(0, "POST", "/work", job(5, prereqs=bad)))[0] == 400
        for unknown in (["run-000099"], ["run-000005"], ["no id at all"], [""], ["x" * 3000]):
            assert (await world.ask(0, "POST", "/work", job(5, prereqs=unknown)))[0] == 422
        assert (await world.submit(job(6, shape="daemon", pieces=1)))[0] == 201
        assert (await world.ask(0, "POST", "/work", job(5, prereqs=["run-000006"])))[0] == 422
        await world.submit(job(1), 1)
        assert (await world.submit(job(2, prereqs=["run-000001"]), 2))[0] == 201  # immediately, at another node
        assert (await world.submit(job(3, prereqs=[]), 2))[0] == 201
        world.state.refused_sources.add("perch-0")
        assert (await world.ask(0, "POST", "/work", job(4, prereqs=["run-000098"])))[0] == 503
        world.state.refused_sources.clear()
        assert (await world.ask(1, "POST", "/work", job(2, prereqs=["run-000099"])))[0] == 200  # a known ID comes first

    run_scenario(scenario)


def test_a_cancellation_cancels_all_dependent_jobs_and_no_others() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [], [1, 2], [3], [2])
        jobs[0]["expected_s"] = 60.0
        for one in jobs:
            await world.submit(one)
        await world.until(lambda: world.running(jobs[0]) == 2, 40)
        assert (await world.ask(2, "POST", "/work/run-000001/cancel"))[1]["status"] == "withdrawn"
        for index in range(3):
            answers = [await world.ask(index, "GET", f"/work/{job_id_of(j)}") for j in jobs]
            assert [a["status"] for _, a in (answers[0], *answers[2:4])] == ["withdrawn"] * 3
            assert answers[3][1]["reason"] == "run-000001, which it needs, was cancelled"
        after = job(6, prereqs=["run-000004"])  # its prerequisite was cancelled through other jobs
        assert (await world.submit(after))[0] == 201
        assert await world.status(after, 1) == "withdrawn"
        assert (await world.submit(after, 2))[1]["status"] == "withdrawn"
        assert (await world.ask(0, "POST", "/work/run-000003/cancel"))[1]["status"] == "withdrawn"
        await wait_until_done(world, [jobs[1], jobs[4]])
        await trio.sleep(CANCEL_S + 2)
        assert all(world.observer.starts[job_id_of(j)] == 0 for j in (*jobs[2:4], after))

    run_scenario(scenario)


def test_a_cancellation_that_was_confirmed_survives_the_death_of_all_controllers() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [1], [2])
        jobs[0]["expected_s"] = 60.0
        for one in jobs:
            await world.submit(one)
        await world.until(lambda: world.running(jobs[0]) == 2, 40)
        await world.ask(0, "POST", "/work/run-000001/cancel")
        for index in list(world.nodes):
            world.kill(index)
        await trio.sleep(4)
        for index in range(3):
            world.start(index)
        await world.until(lambda: all(n.replica.loaded for n in world.nodes.values()), 20)
        for index in range(3):
            assert [await world.status(j, index) for j in jobs] == ["withdrawn"] * 3
        await world.until(lambda: world.running(jobs[0]) == 0, CANCEL_S)

    run_scenario(scenario)


@pytest.mark.parametrize("cancel_first", [True, False])
def test_whether_a_job_is_cancelled_or_done_is_decided_once(cancel_first: bool) -> None:
    """The user cancels when the last task has ended and the record of the job is being written."""

    async def scenario(world: World) -> None:
        first, second = chain([], [1], pieces=1)
        await world.submit(first)
        await world.submit(second)
        await world.until(lambda: len(world.observer.done_tasks["run-000001"]) == 1, 40)
        if not cancel_first:
            await wait_until_done(world, [first])
        _, answer = await world.ask(1, "POST", "/work/run-000001/cancel")
        if answer["status"] == "done":
            await wait_until_done(world, [second])
        else:
            await trio.sleep(10)
            assert await world.status(second, 2) == "withdrawn"
            assert world.observer.starts["run-000002"] == 0
        assert answer["status"] == ("withdrawn" if cancel_first else "done")

    run_scenario(scenario)


def test_a_dependent_job_waits_until_the_prerequisite_is_recorded_as_done() -> None:
    """The state service fails between a job's last task and its record; until then a cancellation may still win."""

    async def scenario(world: World) -> None:
        first, second = chain([], [1])
        await world.submit(first)
        await world.submit(second)
        await world.until(lambda: world.running(first) == 2, 40)
        world.state.down = True
        await world.until(lambda: len(world.observer.done_tasks["run-000001"]) == 2, 20)
        await trio.sleep(8)
        assert world.observer.starts["run-000002"] == 0
        assert (await world.ask(0, "GET", "/work/run-000002"))[0] == 503
        world.state.down = False
        await wait_until_done(world, [first, second])

    run_scenario(scenario)


def test_a_cut_off_leader_with_a_stale_replica_starts_no_dependent_job() -> None:
    async def scenario(world: World) -> None:
        first, second, third = chain([], [1], [2])
        for one in (first, second, third):
            await world.submit(one)
        await world.until(lambda: world.running(first) == 2, 40)
        old = world.leader()
        world.cut(f"perch-{old}", "state", "hold")
        await wait_until_done(world, [first, second])
        await world.restore_all_links()
        await wait_until_done(world, [third])

    run_scenario(scenario)


def test_a_job_that_waits_for_prerequisites_uses_no_limit_guarantee_or_machine() -> None:
    async def scenario(world: World) -> None:
        first = job(1, crew="blue", expected_s=30.0, pieces=1)
        waiting = [job(n, crew="blue", pieces=8, prereqs=["run-000001"]) for n in (2, 3)]
        other = job(4, crew="blue", pieces=7)
        for one in (first, *waiting, other):
            await world.submit(one)
        await world.until(lambda: world.running(other) == 7, 40)  # with the first job the team's whole limit
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        assert sorted(j.spec.id for j in leader.cluster.jobs.values()) == ["run-000001", "run-000004"]
        assert {"run-000001", "run-000004"} >= leader.planner.within_guarantee
        assert world.nodes[world.leader()].view()["jobs"]["waiting_for_others"] == 2
        await wait_until_done(world, [first, *waiting, other])

    run_scenario(scenario)


def test_urgency_is_inherited_from_dependent_jobs_submitted_later_and_dropped_with_them() -> None:
    async def scenario(world: World) -> None:
        first, second = chain([], [1], urgency="low")
        first["expected_s"] = 60.0
        await world.submit(first)
        await world.submit(second)
        await world.until(lambda: world.running(first) == 2, 40)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        known = leader.cluster.jobs["run-000001"]
        assert known.rank == wire.PRIORITY_RANK[wire.Priority.LOW] and known.due_at is None
        await world.submit(job(3, prereqs=["run-000002"], urgency="urgent", due_s=100.0, expected_s=8.0))
        submitted = trio.current_time()
        await world.until(lambda: known.rank == wire.PRIORITY_RANK[wire.Priority.HIGH], 5)
        assert known.due_at is not None
        assert known.due_at - submitted == pytest.approx(100 - 8 - 4 - 2 * 3, abs=0.5)
        await world.ask(0, "POST", "/work/run-000003/cancel")
        await world.until(lambda: known.rank == wire.PRIORITY_RANK[wire.Priority.LOW] and known.due_at is None, 5)

    run_scenario(scenario)


def test_waiting_time_counts_from_readiness_also_under_a_new_leader() -> None:
    async def scenario(world: World) -> None:
        first, second = chain([], [1])
        second["expected_s"] = 60.0
        await world.submit(first)
        await world.submit(second)
        await wait_until_done(world, [first])
        ready = trio.current_time()
        await world.until(lambda: world.running(second) == 2, 20)
        world.kill(world.leader())
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        assert leader.cluster.jobs["run-000002"].since == pytest.approx(ready, abs=1.0)
        assert leader.cluster.jobs["run-000002"].from_earlier_term

    run_scenario(scenario)


def test_long_chains_and_wide_fans_are_walked_without_recursion() -> None:
    graph = Prerequisites()
    own = Urgency(3)
    graph.add("j0", (), own, 1.0)
    for n in range(1, 20_000):
        graph.add(f"j{n}", (f"j{n - 1}",), own, 1.0)
    graph.add("last", ("j19999",), Urgency(1, 100_000.0), 1.0)
    graph.urgencies.update()
    urgency = graph.urgencies.of("j0")
    assert urgency is not None and urgency.rank == 1 and urgency.due == pytest.approx(100_000 - 20_000 * 4)
    assert graph.ready_at("last", 5.0) == 5.0 and graph.unmet_needs("last") == ["j19999"]
    wide = [f"w{n}" for n in range(20_000)]
    for one in wide:
        graph.add(one, ("j0",), own, 1.0)
    assert graph.finish("j0", 7.0) >= {"j1", *wide}
    assert graph.ready_at("w1", 5.0) == 7.0
    assert len(graph.cancel("j1", "j1")) == 20_000


def test_the_jobs_of_a_chain_share_the_slack() -> None:
    """Failure: the last tasks of a job in mid-chain waited 70 s for free places, and its pipeline was late."""
    graph = Prerequisites()
    for job_id, needs, due in (("a", (), math.inf), ("b", ("a",), math.inf), ("c", ("a",), 90.0), ("d", ("b",), 90.0)):
        graph.add(job_id, needs, Urgency(3, due), 10.0)
    graph.urgencies.update()
    assert graph.urgencies.of("a") == Urgency(3, 90.0 - 2 * 13, 2)  # through b and d
    assert graph.urgencies.of("c") == Urgency(3, 90.0, 0)
    spec = wire.convert(job(1, expected_s=10.0), wire.JobSpec)
    alone, first = Job(spec, 1, 0.0, False, due_at=70.0), Job(spec, 1, 0.0, False, due_at=70.0, after=2)
    assert supply.slack_s(alone, [], 0.0) > 0
    assert supply.slack_s(alone, [], 0.0) == pytest.approx(3 * supply.slack_s(first, [], 0.0))


def test_records_read_in_any_order_give_the_same_states() -> None:
    """Keys are read in the order of their names, so a dependent job may be read before its prerequisite."""
    spec = wire.to_plain(wire.convert(job(1, prereqs=["run-9"]), wire.JobSpec))
    rows = {"run-1": ("queued", ["run-9"]), "run-5": ("withdrawn", None), "run-9": ("queued", ["run-5"])}
    pairs = [
        wire.KeyValue(store.JOB + job_id, {"state": state, "spec": {**spec, "name_id": job_id, "prereqs": needs}}, 3)
        for job_id, (state, needs) in rows.items()
    ]
    for order in (pairs, pairs[::-1], [pairs[2], pairs[0], pairs[1]]):
        replica = store.Replica()
        replica.reload(3, order)
        assert {j: e.state.value for j, e in replica.jobs.items()} == dict.fromkeys(rows, "withdrawn")
