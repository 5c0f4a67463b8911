"""Users ask at all nodes at once, right after a job was accepted, ended or cancelled: nobody answers anything older."""

import contextlib
import random
from collections.abc import Callable
from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Lost, NotSent
from tests.fakes import CANCEL_S, NODES, World, job, run_scenario


class Looks:
    """One user's questions, and how many were answered."""

    def __init__(self, world: World, one: dict[str, Any]) -> None:
        self.world = world
        self.one = one
        self.path = f"/work/{one['name_id']}"
        self.answered = 0

    async def ask(self, index: int, method: str, path: str, body: Any = None) -> str:
        """The state that was told; nothing if there was no answer to go by."""
        with contextlib.suppress(NotSent, Lost):
            status, answer = await self.world.ask(index, method, path, body)
            if status in (200, 201):
                self.answered += 1
                return str(answer["status"])
            assert status in (429, 503, 504), f"{method} {path}: {status}"
        return ""

    async def until(self, index: int, method: str, path: str, body: Any = None, wanted: tuple[str, ...] = ()) -> str:
        for _ in range(120):
            said = await self.ask(index % self.world.count, method, path, body)
            if said and (not wanted or said in wanted):
                return said
            index += 1
            await trio.sleep(0.5)
        raise AssertionError(f"no answer to {method} {path}")

    async def around(self, repeat: bool = True) -> None:
        """All nodes at once, again and again within milliseconds; the submission is repeated as well."""
        async with trio.open_nursery() as nursery:
            for turn in range(4):
                for index in range(self.world.count):
                    nursery.start_soon(self.ask, index, "GET", self.path)
                    if repeat:
                        nursery.start_soon(self.ask, index, "POST", "/work", self.one)
                await trio.sleep((0.0, 0.003, 0.02, 0.0)[turn])


async def use(world: World, one: dict[str, Any], cancels: bool, total: list[int]) -> None:
    looks, number = Looks(world, one), int(one["name_id"][-6:])
    world.jobs[one["name_id"]] = one
    world.observer.done_tasks.setdefault(one["name_id"], set())
    await trio.sleep(0.4 * number)
    await looks.until(number, "POST", "/work", one)
    if cancels and number % 2:
        await looks.until(number + 1, "POST", looks.path + "/cancel")
    await looks.around()
    if cancels and not number % 2:
        await trio.sleep(0.9 * number)
        await looks.until(number + 1, "POST", looks.path + "/cancel")
        await looks.around()
    ended = await looks.until(number, "GET", looks.path, wanted=("done", "withdrawn"))
    assert ended == "done" or cancels
    await looks.around()
    await trio.sleep(5.0)
    await looks.around()
    total.append(looks.answered)


def slow_reads(world: World) -> None:
    rng = random.Random(3)
    world.state.answer_delay_s = (
        lambda source, path: rng.choice([0.0, 0.0, 0.3, 1.2]) if path.startswith("/changes") else 0.0
    )


def behind(world: World) -> None:
    """One node's watch hears nothing for long; what it reads for a question still arrives."""
    world.state.answer_delay_s = lambda source, path: (
        9.0 if source == NODES[2] and f"wait_ms={c.WATCH_WAIT_MS}" in path else 0.0
    )


def no_answers(world: World) -> None:
    """Every third transaction is carried out at once and only its answer is lost, while other nodes read it."""
    count = 0

    def lose(source: str, path: str, body: Any) -> bool:
        nonlocal count
        count += path == "/txn"
        return path == "/txn" and count % 3 == 0

    world.lose_answer = lose


def late(world: World) -> None:
    count = 0

    def late_s(source: str, path: str, body: Any) -> float:
        nonlocal count
        count += path == "/txn"
        return 2.0 + count % 9 if path == "/txn" and count % 4 == 0 else 0.0

    world.late_delivery_s = late_s


def leaders_end(world: World) -> None:
    async def bounce() -> None:
        for _ in range(4):
            await trio.sleep(2.5)
            with contextlib.suppress(StopIteration):
                await world.restart(world.leader(), 0.3)

    world.nursery.start_soon(bounce)


def all_at_once(world: World) -> None:
    no_answers(world)
    leaders_end(world)
    slow_reads(world)


TROUBLES = [None, slow_reads, behind, no_answers, late, leaders_end, all_at_once]


@pytest.mark.parametrize(
    ("trouble", "count"), [*((one, 3) for one in TROUBLES), *((one, 7) for one in (None, no_answers, all_at_once))]
)
def test_no_node_answers_anything_older_than_a_user_was_told(
    trouble: Callable[[World], None] | None, count: int
) -> None:
    async def scenario(world: World) -> None:
        if trouble:
            trouble(world)
        total: list[int] = []
        async with trio.open_nursery() as nursery:
            for number in range(1, 9):
                one = job(number, pieces=1 + number % 2, cores=1.0, expected_s=2.0, pull_gb=0.0)
                nursery.start_soon(use, world, one, number % 3 == 0 or number > 6, total)
        assert len(total) == 8 and sum(total) > 8 * count, total

    run_scenario(scenario, count)


# --- the end of the last task -----------------------------------------------------------------------


MOMENTS = [-0.1, 0.0, 0.002, 0.01, 0.03, 0.06, 0.1, 0.2, 0.5, 1.0, 2.5]  # s after the end


@pytest.mark.parametrize(("after_s", "count"), [*((at, 3) for at in MOMENTS), (0.0, 7), (0.03, 7), (0.2, 7)])
def test_a_cancellation_a_question_and_a_repeat_meet_the_end_of_the_last_task(after_s: float, count: int) -> None:
    async def scenario(world: World) -> None:
        one = job(1, pieces=2, expected_s=4.0, pull_gb=0.0)
        await world.submit(one)
        await world.until(lambda: world.running(one) == 2, 40)
        begun = min(t.state_since for w in world.workers for t in w.tasks.values() if t.job is one)
        last = max(t.state_since for w in world.workers for t in w.tasks.values() if t.job is one)
        assert last - begun < 3.0
        await trio.sleep(last + 4.0 + after_s - trio.current_time())
        looks = Looks(world, one)
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(looks.ask, index, "POST", looks.path + "/cancel")
                nursery.start_soon(looks.ask, index, "GET", looks.path)
                nursery.start_soon(looks.ask, index, "POST", "/work", one)
        told = await looks.until(0, "POST", looks.path + "/cancel")
        assert told in ("done", "withdrawn") and looks.answered >= 3 * count
        assert {await looks.ask(index, "GET", looks.path) for index in range(count)} == {told}
        await trio.sleep(CANCEL_S)
        assert {await looks.ask(index, "GET", looks.path) for index in range(count)} == {told}

    run_scenario(scenario, count)


# --- the seconds in which work changes hands --------------------------------------------------------


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("way", ["ends", "hands over", "freezes", "ends and is back"])
def test_jobs_are_cancelled_in_the_seconds_in_which_a_leaders_work_changes_hands(way: str, count: int) -> None:
    """Waiting, just launched, on their way to machines that cannot be asked, and running; every 0.3 s one."""

    async def scenario(world: World) -> None:
        jobs = [
            job(n, pieces=2, cores=0.5, expected_s=400.0, pull_gb=n % 2, crew="blue" if n % 3 else "red")
            for n in range(1, 17)
        ]
        world.cloud.capacity["a"] = 6
        for one in jobs[:8]:
            await world.submit(one)
        await world.until(lambda: all(world.running(one) == 2 for one in jobs[:8]), 40)
        old = world.leader()
        token = world.nodes[old].leader.term.token  # type: ignore[union-attr]
        far = world.hosts(jobs[0])[0]
        world.cut(NODES[old], far.name, "hold", both=False)
        others = [i for i in range(count) if i != old]
        for one in jobs[8:]:
            await world.submit(one, others[0])
        world.nursery.start_soon(self_change, world, way, old)
        confirmed: list[float] = []
        for n, one in enumerate(jobs):
            await trio.sleep(0.3)
            assert await Looks(world, one).until(others[n % len(others)], "POST", f"/work/{one['name_id']}/cancel")
            confirmed.append(trio.current_time())
        await trio.sleep(LONGEST_S)
        assert all(world.running(one) == 0 for one in jobs), "long before the bound"
        await world.restore_all_links()
        await trio.sleep(CANCEL_S)
        leads = world.nodes[world.leader()].leader
        assert leads is not None and leads.term.token > token, "work did change hands"
        assert confirmed[-1] - confirmed[0] > 3.0

    run_scenario(scenario, count)


LONGEST_S = 12.0  # s; a lease


async def self_change(world: World, way: str, old: int) -> None:
    await trio.sleep(1.0)
    if way == "ends":
        world.kill(old)
    elif way == "hands over":
        await world.nodes[old].leadership.resign(c.HANDOVER_PAUSE_S)
    elif way == "freezes":
        await world.freeze(old, 7.0)
    else:
        await world.restart(old, 0.2)


def test_what_is_cancelled_as_it_is_launched_seldom_starts_after_its_user_was_told() -> None:
    """The leader is told before the user: without that, what it launched until its watch told it began afterwards."""

    async def scenario(world: World) -> None:
        board = job(900, shape="daemon", pieces=3, cores=1.0, expected_s=0.0, pull_gb=0.0)
        await world.submit(board)
        await world.until(lambda: world.running(board) == 3, 40)
        await trio.sleep(3.0)
        other, watch = (world.leader() + 1) % 3, f"wait_ms={c.WATCH_WAIT_MS}"
        world.state.answer_delay_s = lambda source, path: 0.3 if watch in path and source != NODES[other] else 0.0
        for n in range(40):
            one = job(n, pieces=1, cores=1.0, expected_s=30.0, pull_gb=0.3, bundle=f"image-{n}")
            await world.submit(one, other)
            await trio.sleep(n * 0.02)
            assert (await world.ask(other, "POST", f"/work/{one['name_id']}/cancel"))[1]["status"] == "withdrawn"
            await trio.sleep(0.7)
        started = sum(world.observer.starts[f"run-{n:06d}"] for n in range(40))
        assert 0 < started < 40, "some were cancelled before and some after their start"
        assert sum(world.observer.starts_after_cancellation.values()) <= 2, world.observer.starts_after_cancellation

    run_scenario(scenario)


# --- what nobody can run ----------------------------------------------------------------------------


REQUIRED = [name for name in job(1) if name not in ("builds", "yard", "due_s")]
WRONG = {
    "name_id": ["x", 5, "run-1 2", ""], "jobclass": [5], "crew": [5], "shape": ["ring", 3], "urgency": ["mild", 1],
    "pieces": [0, -1, 100_001, 1.5, "2"], "cores": [-1.0, "2", True], "gpus": [-1.0, "0"], "memory_gb": [-0.5, []],
    "bundle": [7], "pull_gb": [-1.0], "one_zone": ["no", 0], "apart": [None, 1], "loaners": ["yes"],
    "expected_s": [-1.0], "snapshot_every_s": [-1.0], "snapshot_cost_s": ["4"], "builds": ["m8", [5]], "yard": [4],
    "due_s": [-1.0, "soon"],
}  # fmt: skip


def test_what_lacks_a_field_or_can_never_run_is_refused_by_every_node_and_a_known_job_is_known() -> None:
    async def scenario(world: World) -> None:
        known = job(900, expected_s=400.0)
        assert (await world.submit(known))[0] == 201
        bad = [{k: v for k, v in job(1).items() if k != name} for name in REQUIRED]
        bad += [job(1, **{name: None}) for name in REQUIRED]
        bad += [job(1, **{name: value}) for name, values in WRONG.items() for value in values]
        for n, body in enumerate(bad):
            status, answer = await world.send("user", f"10.0.0.{n % 3}:1", "POST", "/work", body, 5.0)
            assert status == 400 and answer["error"], (status, body)
        never = [
            {"cores": 9.0}, {"gpus": 1.0}, {"memory_gb": 33.0}, {"builds": ["x9"]}, {"builds": []}, {"yard": "q"},
            {"crew": "green"}, {"shape": "group", "pieces": 17}, {"shape": "daemon", "pieces": 17},
            {"crew": "blue", "shape": "group", "pieces": 9}, {"shape": "group", "one_zone": True, "apart": True},
            {"shape": "daemon", "yard": "a", "apart": True},
        ]  # fmt: skip
        for n, more in enumerate(never):
            status, answer = await world.ask(n % 3, "POST", "/work", job(1, **more))
            assert status == 422 and answer["error"], (status, more)
        possible = [{"one_zone": True, "apart": True}, {"shape": "group", "pieces": 1, "one_zone": True, "apart": True}]
        for n, more in enumerate(possible):
            one = job(2 + n, expected_s=1.0, **more)
            assert (await world.submit(one, n))[0] == 201
        spoilt: list[dict[str, Any]] = [{"cores": 9.0}, {"pieces": None}, {"crew": "green"}, {"yard": "q"}]
        for n, more in enumerate(spoilt):
            status, answer = await world.ask(n % 3, "POST", "/work", {**known, **more})
            assert (status, answer["status"]) in [(200, "queued"), (200, "running")]
        assert (await world.ask(1, "GET", "/work/run-000001"))[0] == 404
        assert (await world.ask(1, "POST", "/work/run-000001/cancel"))[0] == 404
        await world.until(lambda: all(world.state.job_state(f"run-00000{n}") == "done" for n in (2, 3)), 60)
        assert (await world.ask(1, "POST", "/work/run-000002/cancel"))[1]["status"] == wire.JobState.DONE.value

    run_scenario(scenario)
