"""Pipeline runs: recorded before their jobs, completed once by any live controller, withdrawn as a whole."""

import contextlib
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.controller import store
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.plan import Plan
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import MAX_MESSAGE_BYTES, World, job, run_scenario
from tests.pipelines.helpers import (
    EXTENSIONS,
    chain_plan,
    get_run,
    put_plan,
    put_with_retries,
    register_jobs,
    run_before_write,
    step,
    stored_job_ids,
    wait_for_status,
)


def test_run_creates_all_jobs_and_they_finish_in_order() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(3)
        register_jobs(world, plan)
        assert (await put_plan(world, plan))[0] == 200
        assert (await wait_for_status(world, "billing", "done"))["total"] == 3
        assert (await put_plan(world, plan))[0] == 200 and len(stored_job_ids(world)) == 3
        assert not [key for key in world.state.keys if key.startswith("p/todo/")]

    run_scenario(scenario, extensions=EXTENSIONS)


def test_plan_with_one_invalid_step_is_refused_and_nothing_is_stored() -> None:
    async def scenario(world: World) -> None:
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
            answer = await put_plan(world, plan)
            assert answer[0] == status and len(answer[1]["problems"]) == 1, answer
        assert not [key for key in world.state.keys if key.startswith(("p/", "j/job/"))]

    run_scenario(scenario, extensions=EXTENSIONS)


def test_job_submitted_alone_and_by_a_run_at_once_runs_once_though_the_leader_dies() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(2, key="2026-11")
        ids = register_jobs(world, plan)
        alone = msgspec.to_builtins(plans.job_specs(plan)["s0"])
        world.jobs[ids["s0"]] = alone
        leader = world.leader()
        one, other = [n for n in world.nodes if n != leader]
        answers: dict[str, Any] = {}

        async def by_file() -> None:
            answers["file"] = await put_with_retries(world, plan, one)

        async def by_command() -> None:
            answers["command"] = await world.submit(alone, other)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(by_file)
            nursery.start_soon(by_command)
            await trio.sleep(0.003)
            world.kill(leader)
        assert answers["file"][0] == 200
        assert answers["command"][0] in (200, 201)
        await wait_for_status(world, plan.run_name, "done")
        assert sorted(stored_job_ids(world)) == sorted(ids.values())
        assert world.observer.starts[ids["s0"]] == 2  # two tasks, once each

    run_scenario(scenario, extensions=EXTENSIONS)


def test_run_completes_once_after_its_node_dies_at_any_transaction() -> None:
    """The answer to one of the node's first eight transactions is lost, and the node is killed with its clients."""

    async def scenario(world: World) -> None:
        for failing_txn in range(1, 9):
            plan = chain_plan(9, key=f"k{failing_txn}", expected_s=1.0)
            ids = register_jobs(world, plan)
            killed_node = next(n for n in world.nodes if n != world.leader())
            left = failing_txn

            def lose(source: str, path: str, body: Any, killed_node: int = killed_node) -> bool:
                nonlocal left
                if source == f"perch-{killed_node}" and path == "/txn" and killed_node in world.nodes:
                    left -= 1
                    if left <= 0:
                        world.kill(killed_node)
                        return True
                return False

            world.lose_answer = lose
            async with trio.open_nursery() as nursery:
                nursery.start_soon(put_ignoring_lost_answer, world, plan, killed_node)
                await trio.sleep(6.0)
                nursery.cancel_scope.cancel()
            world.lose_answer = lambda source, path, body: False
            if killed_node not in world.nodes:
                world.start(killed_node)
            await trio.sleep(15.0)
            stored = set(stored_job_ids(world)) & set(ids.values())
            assert stored in (set(), set(ids.values())), f"half a run after {failing_txn} transactions"
            assert (await put_with_retries(world, plan))[0] == 200
            assert set(ids.values()) <= set(stored_job_ids(world))
        await wait_for_status(world, plan.run_name, "done", 200)

    run_scenario(scenario, extensions=EXTENSIONS)


async def put_ignoring_lost_answer(world: World, plan: Plan, index: int) -> None:
    with contextlib.suppress(NotSent, NoUsableResponse):
        await put_plan(world, plan, index)


def test_run_is_completed_after_all_controllers_died_halfway() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(60, expected_s=0.5, pieces=1)
        ids = register_jobs(world, plan)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_ignoring_lost_answer, world, plan, 0)
            await world.until(lambda: 5 < len(stored_job_ids(world)) < 60, 10)
            for index in list(world.nodes):
                world.kill(index)
            nursery.cancel_scope.cancel()
        for index in range(3):
            world.start(index)
        await world.until(lambda: len(stored_job_ids(world)) == 60, 40)  # no user retries: the leader resumes the run
        assert (await put_with_retries(world, plan))[0] == 200
        assert sorted(stored_job_ids(world)) == sorted(ids.values())

    run_scenario(scenario, extensions=EXTENSIONS)


def test_cancelling_a_run_also_stops_the_jobs_still_to_be_created() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(40, expected_s=30.0, pieces=1)
        ids = register_jobs(world, plan)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_ignoring_lost_answer, world, plan, 0)
            await world.until(lambda: len(stored_job_ids(world)) > 3, 10)
            status = 202
            while status in (202, 503):
                status, answer = await world.ask(1, "POST", "/pipelines/billing/cancel")
            assert (status, answer["phase"]) == (200, "cancelled")
            for job_id in set(stored_job_ids(world)) & set(ids.values()):
                world.observer.cancel_confirmed_at[job_id] = trio.current_time()
        created_before = len(stored_job_ids(world))
        await trio.sleep(20)
        assert len(stored_job_ids(world)) == created_before < 40
        rows = (await get_run(world, "billing"))["rows"]
        assert {row["status"] for row in rows} == {"withdrawn", "not sent"}
        assert (await put_plan(world, plan))[1]["phase"] == "cancelled"

    run_scenario(scenario, extensions=EXTENSIONS)


def test_run_refused_halfway_cancels_its_own_jobs_and_no_others() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(30, pieces=1, expected_s=60.0)
        ids = register_jobs(world, plan)
        alone = msgspec.to_builtins(plans.job_specs(plan)["s0"])
        assert (await world.submit(alone))[0] == 201  # another user's job, submitted before the run
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_ignoring_lost_answer, world, plan, 0)
            await world.until(lambda: len(stored_job_ids(world)) > 3, 10)
            for node in world.nodes.values():  # the teams' limits are lowered in the settings meanwhile
                node.settings.params.teams[0].cpus_max = 1.0
        status, answer = await put_with_retries(world, plan)
        assert (status, answer["phase"]) == (422, "refused") and "limit" in answer["reason"]
        for node in world.nodes.values():
            node.settings.params.teams[0].cpus_max = 32.0
        rows = {row["step"]: row["status"] for row in (await get_run(world, "billing"))["rows"]}
        assert rows.pop("s0") in ("queued", "running")
        assert set(rows.values()) == {"withdrawn", "not sent"} and ids

    run_scenario(scenario, extensions=EXTENSIONS)


def test_same_key_with_other_content_is_refused_with_the_differences() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(2, key="k")
        register_jobs(world, plan)
        assert (await put_plan(world, plan))[0] == 200
        shuffled = Plan(plan.name, plan.steps[::-1], plan.key)
        assert (await put_plan(world, shuffled, 1))[0] == 200
        other = Plan(plan.name, [plan.steps[0], step("s1", "s0", pieces=3)], plan.key)
        status, answer = await put_plan(world, other, 2)
        assert status == 409 and answer["differs"] == ["step 's1': tasks was 2 and is 3"]

    run_scenario(scenario, extensions=EXTENSIONS)


def test_rerun_from_a_step_keeps_the_finished_steps() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(3, expected_s=4.0, pieces=1)
        ids = register_jobs(world, plan)
        await put_plan(world, plan)
        await world.until(lambda: world.state.job_state(ids["s0"]) == "done", 60)
        await world.ask(0, "POST", f"/work/{ids['s1']}/cancel")
        answer = await world.ask(0, "POST", "/pipelines/billing/rerun", {"from": ["s2"]})
        assert answer[0] == 409 and "s1" in answer[1]["problems"][0]["error"]
        again = plans.next_attempt(plan, ["s1"])
        new = register_jobs(world, again)
        assert new["s0"] == ids["s0"] and new["s1"] != ids["s1"] and new["s2"] != ids["s2"]
        for _ in range(2):  # a repeated request is the same attempt
            status, answer = await world.ask(1, "POST", "/pipelines/billing/rerun", {"from": ["s1"]})
            assert (status, answer["run"]) == (200, "billing~2")
        await wait_for_status(world, "billing~2", "done")
        answer = await world.ask(1, "POST", "/pipelines/billing~2/rerun", {"from": ["s0"]})
        assert answer[0] == 409 and "repeat" in answer[1]["problems"][0]["error"]
        assert world.observer.starts[ids["s0"]] == 1

    run_scenario(scenario, extensions=EXTENSIONS)


def test_run_survives_an_outage_and_lowered_limits_of_the_state_service() -> None:
    async def scenario(world: World) -> None:
        # The rate is far below the nodes' settings.
        world.state.limits = {"write_rps": 12.0, "value_kb": 2.0, "txn_ops": 10}
        plan = chain_plan(20, expected_s=0.5, pieces=1)
        ids = register_jobs(world, plan)

        async def outage() -> None:
            await trio.sleep(1.0)
            world.state.down = True
            await trio.sleep(8.0)
            world.state.down = False

        async with trio.open_nursery() as nursery:
            nursery.start_soon(outage)
            assert (await put_with_retries(world, plan, seconds=90))[0] == 200
        assert sorted(stored_job_ids(world)) == sorted(ids.values())

    run_scenario(scenario, extensions=EXTENSIONS, next_state_limits="txn_ops = 10\nvalue_kb = 2.0")


def test_single_jobs_are_not_delayed_by_many_runs() -> None:
    async def scenario(world: World) -> None:
        many = [chain_plan(10, name=f"run{n}", key="k", pieces=1, crew="blue", cores=0.5) for n in range(10)]
        for number, plan in enumerate(many):
            for one in plan.steps:
                one.job["memory_gb"] = 1.0 + number / 64  # else all runs would have the same jobs
            register_jobs(world, plan)
        waits: list[float] = []
        async with trio.open_nursery() as nursery:
            for plan in many:
                nursery.start_soon(put_with_retries, world, plan)
            for number in range(15):
                at = trio.current_time()
                # This node also creates the jobs of all runs.
                assert (await world.submit(job(number), 0))[0] == 201
                waits.append(trio.current_time() - at)
                await trio.sleep(0.3)
        assert max(waits) < 0.1
        assert len(stored_job_ids(world)) == 115

    run_scenario(scenario, extensions=EXTENSIONS, write_rps=40.0)


def test_run_without_spare_writes_gets_503_in_time() -> None:
    async def scenario(world: World) -> None:
        node = world.nodes[0]
        node.state.spare_writes = lambda: 0  # type: ignore[method-assign]
        at = trio.current_time()
        assert (await put_plan(world, chain_plan(2), 0))[0] == 503 and trio.current_time() - at < 4.5
        assert not [key for key in world.state.keys if key.startswith("p/")]

    run_scenario(scenario, extensions=EXTENSIONS)


def test_node_without_state_service_answers_503_to_runs_and_single_jobs() -> None:
    async def scenario(world: World) -> None:
        world.cut("perch-1", "state", "refuse")
        await trio.sleep(1.0)
        plan = chain_plan(1)
        register_jobs(world, plan)
        assert (await put_plan(world, plan, 1))[0] == 503
        assert (await world.submit(job(1), 1))[0] == 503

    run_scenario(scenario, extensions=EXTENSIONS)


def test_delayed_creation_after_the_cancellation_creates_no_job() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(40, expected_s=30.0, pieces=1)
        register_jobs(world, plan)
        cut_off_node = next(n for n in world.nodes if n != world.leader())
        late: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(put_ignoring_lost_answer, world, plan, cut_off_node)
            await world.until(lambda: len(stored_job_ids(world)) > 3, 10)
            world.cut(f"perch-{cut_off_node}", "state", "hold", both=False)
            await trio.sleep(1.0)  # its next batch is in flight now
            status = 202
            while status in (202, 503):
                status, _ = await world.ask(world.leader(), "POST", "/pipelines/billing/cancel")
                await trio.sleep(0.5)
            created_before = set(stored_job_ids(world))
            txn = world.state.txn

            def watched(body: Any) -> Any:
                answer = txn(body)
                if any(w.get("set", "").startswith("j/job/") for w in body.get("writes", [])):
                    late.extend(answer[1].get("failed", ["applied"]))
                return answer

            world.state.txn = watched  # type: ignore[method-assign]
            await world.restore_all_links()
            await trio.sleep(10.0)
        assert set(late) == {"p/run/billing"}, "a batch came late, and it was the run's version that refused it"
        assert set(stored_job_ids(world)) == created_before

    run_scenario(scenario, extensions=EXTENSIONS)


def test_run_is_refused_if_the_state_service_rejects_its_jobs() -> None:
    async def scenario(world: World) -> None:
        world.state.limits = {"write_rps": 100.0, "value_kb": 16.0, "txn_ops": 3}  # fewer than the nodes' settings say
        plan = chain_plan(8, expected_s=1.0, pieces=1)
        register_jobs(world, plan)
        status, answer = await put_with_retries(world, plan)
        assert (status, answer["phase"]) == (422, "refused") and "400" not in answer["reason"]
        assert not [key for key in world.state.keys if key.startswith("p/todo/")]

    run_scenario(scenario, extensions=EXTENSIONS)


def test_job_created_by_another_at_the_same_moment_is_not_overwritten() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(3, expected_s=1.0, pieces=1)
        ids = register_jobs(world, plan)
        key = "j/job/" + ids["s1"]
        theirs = store.creation_changes(plans.job_specs(plan)["s1"], [], 7.0)
        run_before_write(world, key, "queued", lambda: world.state.change(theirs))
        assert (await put_with_retries(world, plan))[0] == 200
        assert world.state.keys[key][0]["at"] == 7.0
        await wait_for_status(world, "billing", "done")

    run_scenario(scenario, extensions=EXTENSIONS)


def test_cancellation_while_the_last_job_is_created_is_not_lost() -> None:
    async def scenario(world: World) -> None:
        plan = chain_plan(3, expected_s=60.0, pieces=1)
        register_jobs(world, plan)
        key = "p/run/billing"

        def cancelled() -> None:
            value = {**world.state.keys[key][0], "phase": "cancelling"}
            world.state.change([{"set": key, "value": value}, {"set": "p/todo/run/billing", "value": {}}])

        run_before_write(world, key, "sent", cancelled)
        status, answer = await put_with_retries(world, plan)
        assert (status, answer["phase"]) == (200, "cancelled")
        assert {row["status"] for row in (await get_run(world, "billing"))["rows"]} == {"withdrawn"}

    run_scenario(scenario, extensions=EXTENSIONS)


def test_one_of_two_plans_sent_at_once_under_one_key_is_accepted() -> None:
    async def scenario(world: World) -> None:
        one, other = chain_plan(4, key="k", pieces=1), chain_plan(4, key="k", pieces=2)
        ids = [register_jobs(world, plan) for plan in (one, other)]
        answers: list[tuple[int, Any]] = []

        async def send(plan: Plan, index: int) -> None:
            answers.append(await put_with_retries(world, plan, index))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, one, 0)
            nursery.start_soon(send, other, 1)
        assert sorted(status for status, _ in answers) == [200, 409]
        assert set(stored_job_ids(world)) in [set(named.values()) for named in ids]

    run_scenario(scenario, extensions=EXTENSIONS)


def test_every_page_of_a_run_fits_into_a_line_and_all_pages_have_every_step() -> None:
    """Guards against 200 steps in one answer, which has over 64 KiB if names and reasons are long."""

    async def scenario(world: World) -> None:
        long = [f"step-{n:03d}-" + "x" * 51 for n in range(220)]
        steps = [step(name, *long[max(0, n - 4) : n], bundle=f"img-{n}") for n, name in enumerate(long)]
        plan = Plan("p" * 60, steps, "k" * 60)
        register_jobs(world, plan)
        assert (await put_with_retries(world, plan, seconds=120))[0] == 200
        shown: list[str] = []
        after = ""
        while len(shown) < len(long):
            status, answer = await world.ask(0, "GET", f"/pipelines/{plan.run_name}?after={after}")
            assert status == 200 and answer["rows"] and len(orjson.dumps(answer)) <= MAX_MESSAGE_BYTES
            shown += [row["step"] for row in answer["rows"]]
            after = answer.get("next", "")
        assert shown == long

    run_scenario(scenario, extensions=EXTENSIONS)
