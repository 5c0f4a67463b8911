"""Stories of chained jobs: what waits, what may start, what a cancellation takes along."""

import math
from typing import Any

import pytest
import trio

from pepperlatch.controller import store
from pepperlatch.policy import supply
from pepperlatch.policy.model import Job
from pepperlatch.policy.prerequisites import Prerequisites, Standing
from pepperlatch.protocol import wire
from tests.fakes import CANCEL_S, World, job, run_scenario


def chain(*needs: list[int], **changes: Any) -> list[dict[str, Any]]:
    """Jobs 1, 2, ...: each names those given for it by number."""
    return [
        job(n, prereqs=[f"run-{need:06d}" for need in named] or None, expected_s=4.0, **changes)
        for n, named in enumerate(needs, 1)
    ]


def name(one: dict[str, Any]) -> str:
    return str(one["name_id"])


async def done(world: World, jobs: list[dict[str, Any]], seconds: float = 120) -> None:
    await world.until(lambda: all(world.state.job_state(name(j)) == "done" for j in jobs), seconds)


def test_a_chain_and_a_diamond_run_step_by_step() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [1], [1, 1], [2, 3])
        for index, one in enumerate(jobs):
            assert (await world.submit(one, index % 3))[0] == 201
        _, answer = await world.ask(1, "GET", "/work/run-000004")
        assert answer["status"] == "queued" and answer["reason"] == "waits for run-000002, run-000003"
        await done(world, jobs)
        late = job(9, prereqs=["run-000004", "run-000001"])  # submitted when all before it are over
        assert (await world.submit(late))[0] == 201
        await done(world, [late])
        assert [world.observer.starts[name(j)] for j in jobs] == [2] * 4

    run_scenario(scenario)


def test_a_chain_outlives_a_leader_that_dies_at_every_step() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [1], [2], [2, 3])
        for one in jobs:
            await world.submit(one)
        for one in jobs[:-1]:
            await world.until(lambda one=one: world.state.job_state(name(one)) == "done", 60)
            old = world.leader()
            world.kill(old)
            await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
            world.start(old)
        await done(world, jobs)

    run_scenario(scenario)


def test_bad_prerequisites_are_refused_and_unknown_here_is_not_unknown() -> None:
    async def scenario(world: World) -> None:
        for bad in ("run-000001", [1], {"a": 1}, [None]):
            assert (await world.ask(0, "POST", "/work", job(5, prereqs=bad)))[0] == 400
        for unknown in (["run-000099"], ["run-000005"], ["no id at all"], [""], ["x" * 3000]):
            assert (await world.ask(0, "POST", "/work", job(5, prereqs=unknown)))[0] == 422
        assert (await world.submit(job(6, shape="daemon", pieces=1)))[0] == 201
        assert (await world.ask(0, "POST", "/work", job(5, prereqs=["run-000006"])))[0] == 422
        await world.submit(job(1), 1)
        assert (await world.submit(job(2, prereqs=["run-000001"]), 2))[0] == 201  # at once, at another node
        assert (await world.submit(job(3, prereqs=[]), 2))[0] == 201
        world.state.refused_sources.add("perch-0")
        assert (await world.ask(0, "POST", "/work", job(4, prereqs=["run-000098"])))[0] == 503
        world.state.refused_sources.clear()
        assert (await world.ask(1, "POST", "/work", job(2, prereqs=["run-000099"])))[0] == 200  # known counts more

    run_scenario(scenario)


def test_a_cancellation_takes_along_what_comes_after_and_nothing_else() -> None:
    async def scenario(world: World) -> None:
        jobs = chain([], [], [1, 2], [3], [2])
        jobs[0]["expected_s"] = 60.0
        for one in jobs:
            await world.submit(one)
        await world.until(lambda: world.running(jobs[0]) == 2, 40)
        assert (await world.ask(2, "POST", "/work/run-000001/cancel"))[1]["status"] == "withdrawn"
        for index in range(3):
            answers = [await world.ask(index, "GET", f"/work/{name(j)}") for j in jobs]
            assert [a["status"] for _, a in (answers[0], *answers[2:4])] == ["withdrawn"] * 3
            assert answers[3][1]["reason"] == "run-000001, which it needs, was cancelled"
        after = job(6, prereqs=["run-000004"])  # names one that is cancelled through others
        assert (await world.submit(after))[0] == 201
        assert await world.status(after, 1) == "withdrawn"
        assert (await world.submit(after, 2))[1]["status"] == "withdrawn"
        assert (await world.ask(0, "POST", "/work/run-000003/cancel"))[1]["status"] == "withdrawn"
        await done(world, [jobs[1], jobs[4]])
        await trio.sleep(CANCEL_S + 2)
        assert all(world.observer.starts[name(j)] == 0 for j in (*jobs[2:4], after))

    run_scenario(scenario)


def test_a_cancellation_is_told_and_all_controllers_die_at_once() -> None:
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
def test_cancelled_or_done_is_decided_once(cancel_first: bool) -> None:
    """The last task has ended and the record of the first job is on its way when its user cancels."""

    async def scenario(world: World) -> None:
        first, second = chain([], [1], pieces=1)
        await world.submit(first)
        await world.submit(second)
        await world.until(lambda: len(world.observer.done_tasks["run-000001"]) == 1, 40)
        if not cancel_first:
            await done(world, [first])
        _, answer = await world.ask(1, "POST", "/work/run-000001/cancel")
        if answer["status"] == "done":
            await done(world, [second])
        else:
            await trio.sleep(10)
            assert await world.status(second, 2) == "withdrawn"
            assert world.observer.starts["run-000002"] == 0
        assert answer["status"] == ("withdrawn" if cancel_first else "done")

    run_scenario(scenario)


def test_a_step_waits_for_the_record_not_for_the_leaders_belief() -> None:
    """The state service goes away between a job's last task and its record; a cancellation might still win."""

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
        await done(world, [first, second])

    run_scenario(scenario)


def test_a_cut_off_leader_with_a_stale_copy_starts_no_step() -> None:
    async def scenario(world: World) -> None:
        first, second, third = chain([], [1], [2])
        for one in (first, second, third):
            await world.submit(one)
        await world.until(lambda: world.running(first) == 2, 40)
        old = world.leader()
        world.cut(f"perch-{old}", "state", "hold")
        await done(world, [first, second])
        await world.restore_all_links()
        await done(world, [third])

    run_scenario(scenario)


def test_what_waits_holds_no_limit_guarantee_or_machine() -> None:
    async def scenario(world: World) -> None:
        first = job(1, crew="blue", expected_s=30.0, pieces=1)
        waiting = [job(n, crew="blue", pieces=8, prereqs=["run-000001"]) for n in (2, 3)]
        other = job(4, crew="blue", pieces=7)
        for one in (first, *waiting, other):
            await world.submit(one)
        await world.until(lambda: world.running(other) == 7, 40)  # all of the team's limit, besides the first
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        assert sorted(j.spec.id for j in leader.cluster.jobs.values()) == ["run-000001", "run-000004"]
        assert {"run-000001", "run-000004"} >= leader.planner.inside
        assert world.nodes[world.leader()].view()["jobs"]["waiting_for_others"] == 2
        await done(world, [first, *waiting, other])

    run_scenario(scenario)


def test_urgency_is_inherited_raised_late_and_dropped_again() -> None:
    async def scenario(world: World) -> None:
        first, second = chain([], [1], urgency="low")
        first["expected_s"] = 60.0
        await world.submit(first)
        await world.submit(second)
        await world.until(lambda: world.running(first) == 2, 40)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        known = leader.cluster.jobs["run-000001"]
        assert known.rank == wire.RANK[wire.Priority.LOW] and known.due_at is None
        await world.submit(job(3, prereqs=["run-000002"], urgency="urgent", due_s=100.0, expected_s=8.0))
        submitted = trio.current_time()
        await world.until(lambda: known.rank == wire.RANK[wire.Priority.HIGH], 5)
        assert known.due_at is not None
        assert known.due_at - submitted == pytest.approx(100 - 8 - 4 - 2 * 3, abs=0.5)
        await world.ask(0, "POST", "/work/run-000003/cancel")
        await world.until(lambda: known.rank == wire.RANK[wire.Priority.LOW] and known.due_at is None, 5)

    run_scenario(scenario)


def test_times_count_from_readiness_also_under_a_new_leader() -> None:
    async def scenario(world: World) -> None:
        first, second = chain([], [1])
        second["expected_s"] = 60.0
        await world.submit(first)
        await world.submit(second)
        await done(world, [first])
        ready = trio.current_time()
        await world.until(lambda: world.running(second) == 2, 20)
        world.kill(world.leader())
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 20)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        assert leader.cluster.jobs["run-000002"].since == pytest.approx(ready, abs=1.0)
        assert leader.cluster.jobs["run-000002"].old

    run_scenario(scenario)


def test_long_chains_and_wide_fans_are_walked_once_without_recursion() -> None:
    graph = Prerequisites()
    own = Standing(3)
    graph.add("j0", (), own, 1.0)
    for n in range(1, 20_000):
        graph.add(f"j{n}", (f"j{n - 1}",), own, 1.0)
    graph.add("last", ("j19999",), Standing(1, 100_000.0), 1.0)
    standing = graph.standing("j0")
    assert standing is not None and standing.rank == 1 and standing.due == pytest.approx(100_000 - 20_000 * 4)
    assert graph.ready_at("last", 5.0) == 5.0 and graph.waits_for("last") == ["j19999"]
    wide = [f"w{n}" for n in range(20_000)]
    for one in wide:
        graph.add(one, ("j0",), own, 1.0)
    assert graph.finish("j0", 7.0) >= {"j1", *wide}
    assert graph.ready_at("w1", 5.0) == 7.0
    assert len(graph.cancel("j1", "j1")) == 20_000


def test_the_steps_of_a_chain_share_the_time_to_spare() -> None:
    """Seen: the last tasks of a middle step waited 70 s for free places, and its pipeline was late."""
    graph = Prerequisites()
    for job_id, needs, due in (("a", (), math.inf), ("b", ("a",), math.inf), ("c", ("a",), 90.0), ("d", ("b",), 90.0)):
        graph.add(job_id, needs, Standing(3, due), 10.0)
    assert graph.standing("a") == Standing(3, 90.0 - 2 * 13, 2)  # by way of b and d
    assert graph.standing("c") == Standing(3, 90.0, 0)
    spec = wire.convert(job(1, expected_s=10.0), wire.JobSpec)
    alone, first = Job(spec, 1, 0.0, False, due_at=70.0), Job(spec, 1, 0.0, False, due_at=70.0, after=2)
    assert supply.slack_s(alone, [], 0.0) > 0
    assert supply.slack_s(alone, [], 0.0) == pytest.approx(3 * supply.slack_s(first, [], 0.0))


def test_a_reading_in_any_order_tells_the_same() -> None:
    """Keys come in the order of their names: what needs a job may be read before the job itself."""
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
