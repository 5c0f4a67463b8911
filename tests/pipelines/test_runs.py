"""Stories of runs: recorded first, completed once by whoever lives, withdrawn whole."""

import contextlib
from typing import Any

import msgspec
import trio

from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.plan import Plan
from pepperlatch.protocol.http.client import Lost, NotSent
from tests.fakes import World, job, story
from tests.pipelines.helpers import (
    PARTS,
    announce,
    chain,
    insist,
    jobs_stored,
    put,
    show,
    step,
    until_status,
)


def test_a_run_is_sent_whole_and_done_in_order() -> None:
    async def tell(world: World) -> None:
        plan = chain(3)
        announce(world, plan)
        assert (await put(world, plan))[0] == 200
        assert (await until_status(world, "billing", "done"))["total"] == 3
        assert (await put(world, plan))[0] == 200 and len(jobs_stored(world)) == 3
        assert not [key for key in world.state.keys if key.startswith("p/todo/")]

    story(tell, parts=PARTS)


def test_a_plan_that_any_step_spoils_is_refused_whole_and_leaves_nothing() -> None:
    async def tell(world: World) -> None:
        bad = [
            (Plan("x", [step("a"), step("b", crew="green")]), 422),
            (Plan("x", [step("a"), step("b", "a", cores=64.0)]), 422),
            (Plan("x", [step("a"), step("b", jobs=["run-nobody"])]), 422),
            (Plan("x", [step("a", "b"), step("b", "a")]), 400),
            (Plan("x", [step("a", shape="daemon"), step("b", "a")]), 400),
            (Plan("x", [step("a"), step("b", repeat=True)]), 400),
            (Plan("x", [step("a"), step("b", bundle="img-a")]), 400),
        ]
        for plan, status in bad:
            answer = await put(world, plan)
            assert answer[0] == status and len(answer[1]["problems"]) == 1, answer
        assert not [key for key in world.state.keys if key.startswith(("p/", "j/job/"))]

    story(tell, parts=PARTS)


def test_the_same_job_from_both_paths_at_the_same_moment_runs_once_though_the_leader_dies() -> None:
    async def tell(world: World) -> None:
        plan = chain(2, key="2026-11")
        ids = announce(world, plan)
        alone = msgspec.to_builtins(plans.specs(plan)["s0"])
        world.jobs[ids["s0"]] = alone
        leader = world.leader()
        one, other = [n for n in world.nodes if n != leader]
        answers: dict[str, Any] = {}

        async def by_file() -> None:
            answers["file"] = await insist(world, plan, one)

        async def by_command() -> None:
            answers["command"] = await world.submit(alone, other)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(by_file)
            nursery.start_soon(by_command)
            await trio.sleep(0.003)
            world.kill(leader)
        assert answers["file"][0] == 200
        assert answers["command"][0] in (200, 201)
        await until_status(world, plan.address, "done")
        assert sorted(jobs_stored(world)) == sorted(ids.values())
        assert world.observer.starts[ids["s0"]] == 2  # two tasks, once each

    story(tell, parts=PARTS)


def test_a_client_that_dies_after_any_request_leaves_a_run_that_completes_once() -> None:
    """The state service answers so many requests of the node, then that node is killed with all its clients."""

    async def tell(world: World) -> None:
        for survives in range(1, 9):
            plan = chain(9, key=f"k{survives}", expected_s=1.0)
            ids = announce(world, plan)
            victim = next(n for n in world.nodes if n != world.leader())
            left = survives

            def lose(source: str, path: str, body: Any, victim: int = victim) -> bool:
                nonlocal left
                if source == f"perch-{victim}" and path == "/txn" and victim in world.nodes:
                    left -= 1
                    if left <= 0:
                        world.kill(victim)
                        return True
                return False

            world.lose_answer = lose
            async with trio.open_nursery() as nursery:
                nursery.start_soon(put_and_die, world, plan, victim)
                await trio.sleep(6.0)
                nursery.cancel_scope.cancel()
            world.lose_answer = lambda source, path, body: False
            if victim not in world.nodes:
                world.start(victim)
            await trio.sleep(15.0)
            stored = set(jobs_stored(world)) & set(ids.values())
            assert stored in (set(), set(ids.values())), f"half a run after {survives} transactions"
            assert (await insist(world, plan))[0] == 200
            assert set(ids.values()) <= set(jobs_stored(world))
        await until_status(world, plan.address, "done", 200)

    story(tell, parts=PARTS)


async def put_and_die(world: World, plan: Plan, index: int) -> None:
    with contextlib.suppress(NotSent, Lost):
        await put(world, plan, index)


def test_all_controllers_die_in_the_middle_of_a_run() -> None:
    async def tell(world: World) -> None:
        plan = chain(60, expected_s=0.5, pieces=1)
        ids = announce(world, plan)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_and_die, world, plan, 0)
            await world.until(lambda: 5 < len(jobs_stored(world)) < 60, 10)
            for index in list(world.nodes):
                world.kill(index)
            nursery.cancel_scope.cancel()
        for index in range(3):
            world.start(index)
        await world.until(lambda: len(jobs_stored(world)) == 60, 40)  # nobody asks again: the leader takes it up
        assert (await insist(world, plan))[0] == 200
        assert sorted(jobs_stored(world)) == sorted(ids.values())

    story(tell, parts=PARTS)


def test_a_cancelled_run_takes_along_what_was_still_on_its_way() -> None:
    async def tell(world: World) -> None:
        plan = chain(40, expected_s=30.0, pieces=1)
        ids = announce(world, plan)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_and_die, world, plan, 0)
            await world.until(lambda: len(jobs_stored(world)) > 3, 10)
            status = 202
            while status in (202, 503):
                status, answer = await world.ask(1, "POST", "/pipelines/billing/cancel")
            assert (status, answer["phase"]) == (200, "cancelled")
            for job_id in set(jobs_stored(world)) & set(ids.values()):
                world.observer.cancelled[job_id] = trio.current_time()
        there = len(jobs_stored(world))
        await trio.sleep(20)
        assert len(jobs_stored(world)) == there < 40
        rows = (await show(world, "billing"))["rows"]
        assert {row["status"] for row in rows} == {"withdrawn", "not sent"}
        assert (await put(world, plan))[1]["phase"] == "cancelled"

    story(tell, parts=PARTS)


def test_a_refusal_in_the_middle_withdraws_what_went_before_and_nothing_of_others() -> None:
    async def tell(world: World) -> None:
        plan = chain(30, pieces=1, expected_s=60.0)
        ids = announce(world, plan)
        alone = msgspec.to_builtins(plans.specs(plan)["s0"])
        assert (await world.submit(alone))[0] == 201  # another user's, before the run
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_and_die, world, plan, 0)
            await world.until(lambda: len(jobs_stored(world)) > 3, 10)
            for node in world.nodes.values():  # the teams' limits are lowered in the settings meanwhile
                node.settings.params.teams[0].cpus_max = 1.0
        status, answer = await insist(world, plan)
        assert (status, answer["phase"]) == (422, "refused") and "limit" in answer["reason"]
        for node in world.nodes.values():
            node.settings.params.teams[0].cpus_max = 32.0
        rows = {row["step"]: row["status"] for row in (await show(world, "billing"))["rows"]}
        assert rows.pop("s0") in ("queued", "running")
        assert set(rows.values()) == {"withdrawn", "not sent"} and ids

    story(tell, parts=PARTS)


def test_the_same_key_with_other_content_is_refused_with_what_differs() -> None:
    async def tell(world: World) -> None:
        plan = chain(2, key="k")
        announce(world, plan)
        assert (await put(world, plan))[0] == 200
        shuffled = Plan(plan.name, plan.steps[::-1], plan.key)
        assert (await put(world, shuffled, 1))[0] == 200
        other = Plan(plan.name, [plan.steps[0], step("s1", "s0", pieces=3)], plan.key)
        status, answer = await put(world, other, 2)
        assert status == 409 and answer["differs"] == ["step 's1': tasks was 2 and is 3"]

    story(tell, parts=PARTS)


def test_a_run_goes_on_from_a_step_and_keeps_what_was_done() -> None:
    async def tell(world: World) -> None:
        plan = chain(3, expected_s=4.0, pieces=1)
        ids = announce(world, plan)
        await put(world, plan)
        await world.until(lambda: world.state.job_state(ids["s0"]) == "done", 60)
        await world.ask(0, "POST", f"/work/{ids['s1']}/cancel")
        answer = await world.ask(0, "POST", "/pipelines/billing/rerun", {"from": ["s2"]})
        assert answer[0] == 409 and "s1" in answer[1]["problems"][0]["error"]
        again = plans.redone(plan, ["s1"])
        new = announce(world, again)
        assert new["s0"] == ids["s0"] and new["s1"] != ids["s1"] and new["s2"] != ids["s2"]
        for _ in range(2):  # repeated, it is the same attempt
            status, answer = await world.ask(1, "POST", "/pipelines/billing/rerun", {"from": ["s1"]})
            assert (status, answer["run"]) == (200, "billing~2")
        await until_status(world, "billing~2", "done")
        answer = await world.ask(1, "POST", "/pipelines/billing~2/rerun", {"from": ["s0"]})
        assert answer[0] == 409 and "repeat" in answer[1]["problems"][0]["error"]
        assert world.observer.starts[ids["s0"]] == 1

    story(tell, parts=PARTS)


def test_a_run_waits_out_an_outage_and_refusals_and_loses_nothing() -> None:
    async def tell(world: World) -> None:
        world.state.limits = {"write_rps": 12.0, "value_kb": 2.0, "txn_ops": 10}  # far below what nodes count on
        plan = chain(20, expected_s=0.5, pieces=1)
        ids = announce(world, plan)

        async def outage() -> None:
            await trio.sleep(1.0)
            world.state.out = True
            await trio.sleep(8.0)
            world.state.out = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(outage)
            assert (await insist(world, plan, seconds=90))[0] == 200
        assert sorted(jobs_stored(world)) == sorted(ids.values())

    story(tell, parts=PARTS, after="txn_ops = 10\nvalue_kb = 2.0")


def test_single_jobs_go_before_a_crowd_of_runs() -> None:
    async def tell(world: World) -> None:
        many = [chain(10, name=f"run{n}", key="k", pieces=1, crew="blue", cores=0.5) for n in range(10)]
        for number, plan in enumerate(many):
            for one in plan.steps:
                one.job["memory_gb"] = 1.0 + number / 64  # or all runs would ask for the same jobs
            announce(world, plan)
        waits: list[float] = []
        async with trio.open_nursery() as nursery:
            for plan in many:
                nursery.start_soon(insist, world, plan)
            for number in range(15):
                at = trio.current_time()
                assert (await world.submit(job(number), 1))[0] == 201
                waits.append(trio.current_time() - at)
                await trio.sleep(0.2)
        assert max(waits) < 1.0
        assert len(jobs_stored(world)) == 115

    story(tell, parts=PARTS)


def test_two_paths_are_told_the_same_by_a_node_that_cannot_reach_the_state_service() -> None:
    async def tell(world: World) -> None:
        world.cut("perch-1", "state", "refuse")
        await trio.sleep(1.0)
        plan = chain(1)
        announce(world, plan)
        assert (await put(world, plan, 1))[0] == 503
        assert (await world.submit(job(1), 1))[0] == 503

    story(tell, parts=PARTS)
