"""Once a user was told a job's state, no controller answers an older one.

Users ask all controllers at once, right after a job was accepted, ended or was cancelled. The observer checks the
answers.
"""

import contextlib
import random
from collections.abc import Callable
from typing import Any

import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import CANCEL_S, NODES, World, job, run_scenario


class User:
    """One user's requests about one job, and how many of them were answered."""

    def __init__(self, world: World, one: dict[str, Any]) -> None:
        self.world = world
        self.one = one
        self.path = f"/work/{one['name_id']}"
        self.answered = 0

    async def ask(self, index: int, method: str, path: str, body: Any = None) -> str:
        """The state that was answered; empty if there was no usable answer (429, 503, 504 or none)."""
        with contextlib.suppress(NotSent, NoUsableResponse):
            status, answer = await self.world.ask(index, method, path, body)
            if status in (200, 201):
                self.answered += 1
                return str(answer["status"])
            assert status in (429, 503, 504), f"{method} {path}: {status}"
        return ""

    async def until(self, index: int, method: str, path: str, body: Any = None, wanted: tuple[str, ...] = ()) -> str:
        """Ask one controller after the other, every 0.5 s for 60 s, until one answers a wanted state, or any."""
        for _ in range(120):
            state = await self.ask(index % self.world.count, method, path, body)
            if state and (not wanted or state in wanted):
                return state
            index += 1
            await trio.sleep(0.5)
        raise AssertionError(f"no answer to {method} {path}")

    async def ask_all(self, repeat: bool = True) -> None:
        """Ask all controllers at once, four times within milliseconds; `repeat`: repeat the submission as well."""
        async with trio.open_nursery() as nursery:
            for turn in range(4):
                for index in range(self.world.count):
                    nursery.start_soon(self.ask, index, "GET", self.path)
                    if repeat:
                        nursery.start_soon(self.ask, index, "POST", "/work", self.one)
                await trio.sleep((0.0, 0.003, 0.02, 0.0)[turn])


async def use(world: World, one: dict[str, Any], cancels: bool, total: list[int]) -> None:
    """Submit a job, perhaps cancel it, and ask about it until after its end; appends the number of answers."""
    user, number = User(world, one), int(one["name_id"][-6:])
    world.jobs[one["name_id"]] = one
    world.observer.done_tasks.setdefault(one["name_id"], set())
    await trio.sleep(0.4 * number)
    await user.until(number, "POST", "/work", one)
    if cancels and number % 2:
        await user.until(number + 1, "POST", user.path + "/cancel")
    await user.ask_all()
    if cancels and not number % 2:
        await trio.sleep(0.9 * number)
        await user.until(number + 1, "POST", user.path + "/cancel")
        await user.ask_all()
    ended = await user.until(number, "GET", user.path, wanted=("done", "withdrawn"))
    assert ended == "done" or cancels
    await user.ask_all()
    await trio.sleep(5.0)
    await user.ask_all()
    total.append(user.answered)


def slow_watches(world: World) -> None:
    rng = random.Random(3)
    world.state.answer_delay_s = (
        lambda source, path: rng.choice([0.0, 0.0, 0.3, 1.2]) if path.startswith("/changes") else 0.0
    )


def one_watch_behind(world: World) -> None:
    """One controller's watch gets no answers for a long time; its reads for users' requests do."""
    world.state.answer_delay_s = lambda source, path: (
        9.0 if source == NODES[2] and f"wait_ms={c.WATCH_WAIT_MS}" in path else 0.0
    )


def lost_answers(world: World) -> None:
    """Every third transaction is carried out at once, but its answer is lost; other controllers read its result."""
    count = 0

    def lose(source: str, path: str, body: Any) -> bool:
        nonlocal count
        count += path == "/txn"
        return path == "/txn" and count % 3 == 0

    world.lose_answer = lose


def late_transactions(world: World) -> None:
    """Every fourth transaction gets no answer and is carried out 2 to 10 s later."""
    count = 0

    def late_s(source: str, path: str, body: Any) -> float:
        nonlocal count
        count += path == "/txn"
        return 2.0 + count % 9 if path == "/txn" and count % 4 == 0 else 0.0

    world.late_delivery_s = late_s


def leaders_restart(world: World) -> None:
    """The leader restarts every 2.5 s, four times."""

    async def restart_leader() -> None:
        for _ in range(4):
            await trio.sleep(2.5)
            with contextlib.suppress(StopIteration):
                await world.restart(world.leader(), 0.3)

    world.nursery.start_soon(restart_leader)


def all_at_once(world: World) -> None:
    lost_answers(world)
    leaders_restart(world)
    slow_watches(world)


FAULTS = [None, slow_watches, one_watch_behind, lost_answers, late_transactions, leaders_restart, all_at_once]


@pytest.mark.parametrize(
    ("fault", "count"), [*((one, 3) for one in FAULTS), *((one, 7) for one in (None, lost_answers, all_at_once))]
)
def test_no_controller_answers_an_older_state_than_a_user_was_told(
    fault: Callable[[World], None] | None, count: int
) -> None:
    async def scenario(world: World) -> None:
        if fault:
            fault(world)
        total: list[int] = []
        async with trio.open_nursery() as nursery:
            for number in range(1, 9):
                one = job(number, pieces=1 + number % 2, cores=1.0, expected_s=2.0, pull_gb=0.0)
                nursery.start_soon(use, world, one, number % 3 == 0 or number > 6, total)
        assert len(total) == 8 and sum(total) > 8 * count, total

    run_scenario(scenario, count)


# --- the end of the last task -----------------------------------------------------------------------


MOMENTS = [-0.1, 0.0, 0.002, 0.01, 0.03, 0.06, 0.1, 0.2, 0.5, 1.0, 2.5]  # seconds after the end


@pytest.mark.parametrize(("after_s", "count"), [*((at, 3) for at in MOMENTS), (0.0, 7), (0.03, 7), (0.2, 7)])
def test_cancellations_questions_and_repeated_submissions_around_the_end_of_the_last_task(
    after_s: float, count: int
) -> None:
    async def scenario(world: World) -> None:
        one = job(1, pieces=2, expected_s=4.0, pull_gb=0.0)
        await world.submit(one)
        await world.until(lambda: world.running(one) == 2, 40)
        begun = min(t.state_since for w in world.workers for t in w.tasks.values() if t.job is one)
        last = max(t.state_since for w in world.workers for t in w.tasks.values() if t.job is one)
        assert last - begun < 3.0
        await trio.sleep(last + 4.0 + after_s - trio.current_time())
        user = User(world, one)
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(user.ask, index, "POST", user.path + "/cancel")
                nursery.start_soon(user.ask, index, "GET", user.path)
                nursery.start_soon(user.ask, index, "POST", "/work", one)
        final = await user.until(0, "POST", user.path + "/cancel")
        assert final in ("done", "withdrawn") and user.answered >= 3 * count
        assert {await user.ask(index, "GET", user.path) for index in range(count)} == {final}
        await trio.sleep(CANCEL_S)
        assert {await user.ask(index, "GET", user.path) for index in range(count)} == {final}

    run_scenario(scenario, count)


# --- during a change of leader ----------------------------------------------------------------------


@pytest.mark.parametrize("count", [3, 7])
@pytest.mark.parametrize("way", ["ends", "hands over", "freezes", "ends and is back"])
def test_jobs_that_are_cancelled_during_a_change_of_leader_are_stopped(way: str, count: int) -> None:
    """One job is cancelled every 0.3 s.

    Jobs are waiting, running, just launched, or on their way to a machine to which the leader's requests are held.
    """

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
        unreachable = world.hosts(jobs[0])[0]
        world.cut(NODES[old], unreachable.name, "hold", both=False)
        others = [i for i in range(count) if i != old]
        for one in jobs[8:]:
            await world.submit(one, others[0])
        world.nursery.start_soon(change_leader, world, way, old)
        confirmed: list[float] = []
        for n, one in enumerate(jobs):
            await trio.sleep(0.3)
            assert await User(world, one).until(others[n % len(others)], "POST", f"/work/{one['name_id']}/cancel")
            confirmed.append(trio.current_time())
        await trio.sleep(LONGEST_S)
        assert all(world.running(one) == 0 for one in jobs), "no task runs, well before the bound of 30 s"
        await world.restore_all_links()
        await trio.sleep(CANCEL_S)
        leader = world.nodes[world.leader()].leader
        assert leader is not None and leader.term.token > token, "the leader did change"
        assert confirmed[-1] - confirmed[0] > 3.0

    run_scenario(scenario, count)


LONGEST_S = 12.0  # after which no cancelled task may run: a worker's lease


async def change_leader(world: World, way: str, old: int) -> None:
    await trio.sleep(1.0)
    if way == "ends":
        world.kill(old)
    elif way == "hands over":
        await world.nodes[old].leadership.resign(c.HANDOVER_PAUSE_S)
    elif way == "freezes":
        await world.freeze(old, 7.0)
    else:
        await world.restart(old, 0.2)


def test_tasks_that_are_cancelled_as_they_are_launched_seldom_start_after_their_user_was_told() -> None:
    """Guards against a cancellation that is confirmed to its user before the leader knows of it.

    Then the leader launches tasks of the job until its watch shows the cancellation, and they start afterwards.
    """

    async def scenario(world: World) -> None:
        service = job(900, shape="daemon", pieces=3, cores=1.0, expected_s=0.0, pull_gb=0.0)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 3, 40)
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


# --- jobs that cannot run ---------------------------------------------------------------------------


REQUIRED = [name for name in job(1) if name not in ("builds", "yard", "due_s")]
WRONG = {
    "name_id": ["x", 5, "run-1 2", ""], "jobclass": [5], "crew": [5], "shape": ["ring", 3], "urgency": ["mild", 1],
    "pieces": [0, -1, 100_001, 1.5, "2"], "cores": [-1.0, "2", True], "gpus": [-1.0, "0"], "memory_gb": [-0.5, []],
    "bundle": [7], "pull_gb": [-1.0], "one_zone": ["no", 0], "apart": [None, 1], "loaners": ["yes"],
    "expected_s": [-1.0], "snapshot_every_s": [-1.0], "snapshot_cost_s": ["4"], "builds": ["m8", [5]], "yard": [4],
    "due_s": [-1.0, "soon"],
}  # fmt: skip


def test_every_controller_refuses_invalid_and_impossible_jobs_but_not_a_repeated_known_one() -> None:
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
        changed: list[dict[str, Any]] = [{"cores": 9.0}, {"pieces": None}, {"crew": "green"}, {"yard": "q"}]
        for n, more in enumerate(changed):
            status, answer = await world.ask(n % 3, "POST", "/work", {**known, **more})
            assert (status, answer["status"]) in [(200, "queued"), (200, "running")]
        assert (await world.ask(1, "GET", "/work/run-000001"))[0] == 404
        assert (await world.ask(1, "POST", "/work/run-000001/cancel"))[0] == 404
        await world.until(lambda: all(world.state.job_state(f"run-00000{n}") == "done" for n in (2, 3)), 60)
        assert (await world.ask(1, "POST", "/work/run-000002/cancel"))[1]["status"] == wire.JobState.DONE.value

    run_scenario(scenario)
