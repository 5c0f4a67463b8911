"""Schedules start one run for each due time, across failovers, outages, clock errors and daylight saving changes."""

from datetime import datetime
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import trio

from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines import schedules
from pepperlatch.pipelines.plan import Plan
from pepperlatch.pipelines.schedules import ScheduleRecord
from tests.fakes import World, run_scenario
from tests.pipelines.helpers import EXTENSIONS, register_jobs, run_before_write, step, wait_for_status


def at(zone: str, *when: int) -> float:
    return datetime(*when, tzinfo=ZoneInfo(zone)).timestamp()  # type: ignore[arg-type, misc]


def run_keys(cron: str, zone: str, begin: float, end: float, check_s: float = 30.0, missed: str = "run") -> list[str]:
    """The keys of the runs that start if the schedule is checked every `check_s` seconds."""
    record = ScheduleRecord(cron, zone, missed, "", 0, begin)
    found: list[str] = []
    now = begin
    while now <= end:
        for due in schedules.due_times(record, now):
            found.append(schedules.run_key(due))
            record.handled_until = due
        now += check_s
    return found


def test_due_times_in_the_skipped_and_in_the_repeated_hour_of_a_clock_change() -> None:
    zone = "America/New_York"
    spring = (at(zone, 2026, 3, 7, 12), at(zone, 2026, 3, 9, 12))
    assert run_keys("30 2 * * *", zone, *spring) == ["2026-03-08T07:00Z", "2026-03-09T06:30Z"]
    autumn = (at(zone, 2026, 10, 31, 12), at(zone, 2026, 11, 2, 12))
    assert run_keys("30 1 * * *", zone, *autumn) == ["2026-11-01T05:30Z", "2026-11-02T06:30Z"]
    night = (at(zone, 2026, 11, 1, 0, 15), at(zone, 2026, 11, 1, 2, 15))
    assert run_keys("30 * * * *", zone, *night) == ["2026-11-01T04:30Z", "2026-11-01T05:30Z", "2026-11-01T06:30Z"]


def test_missed_due_times_are_run_once_or_skipped() -> None:
    record = ScheduleRecord("0 * * * *", "UTC", "run", "", 0, at("UTC", 2026, 12, 1, 3, 30))
    now = at("UTC", 2026, 12, 1, 9, 20)
    assert [schedules.run_key(due) for due in schedules.due_times(record, now)] == ["2026-12-01T09:00Z"]
    assert schedules.due_times(msgspec.structs.replace(record, missed="skip"), now) == []
    # A due time just past is not missed, and the missed ones before it are not run as well.
    late = at("UTC", 2026, 12, 1, 9, 1)
    for missed in ("run", "skip"):
        assert len(schedules.due_times(msgspec.structs.replace(record, missed=missed), late)) == 1
    minutes = ScheduleRecord("* * * * *", "UTC", "skip", "", 0, late - 3600)
    assert len(schedules.due_times(minutes, late)) == 3  # all due times within MISSED_AFTER_S are run


def test_setting_the_clock_back_starts_no_run_twice() -> None:
    record = ScheduleRecord("* * * * *", "UTC", "run", "", 0, at("UTC", 2026, 12, 1))
    fired: list[float] = []
    for now in (70, 130, 61, 100, 121, 119, 190, 180):
        for due in schedules.due_times(record, BEGIN_S + now):
            fired.append(due)
            record.handled_until = due
    assert fired == sorted(set(fired)) and len(fired) == 3


BEGIN_S = at("UTC", 2026, 12, 1)


def test_each_due_time_is_run_once_across_failovers_and_clock_errors() -> None:
    off = 0.0

    def wall(now: float) -> float:
        return BEGIN_S + 30.0 + now + off

    async def scenario(world: World) -> None:
        nonlocal off
        plan = Plan("minutely", [step("a", expected_s=1.0, pieces=1), step("b", "a", expected_s=1.0, pieces=1)])
        for minute in range(1, 30):
            register_jobs(world, Plan(plan.name, plan.steps, schedules.run_key(BEGIN_S + 60.0 * minute)))
        body = {"plan": plans.pack(plan), "schedule": {"cron": "* * * * *", "timezone": "UTC"}}
        for _ in range(2):
            status, answer = await world.ask(0, "PUT", "/schedules/minutely", body)
            assert (status, answer["next"]) == (200, "2026-12-01T00:01Z")
        bad = {**body, "schedule": {"cron": "* * *", "timezone": "UTC"}}
        assert (await world.ask(0, "PUT", "/schedules/minutely", bad))[0] == 400

        for round_ in range(6):
            await trio.sleep(52.0)
            off = [0.0, 1.0, -1.0, 5.0, -5.0, 0.0][round_]  # the time of day drifts and jumps
            leader = world.leader()
            world.kill(leader)  # about when the next run is due
            await trio.sleep(8.0)
            world.start(leader)
        await trio.sleep(20.0)
        keys = [key for key in world.state.keys if key.startswith("p/run/")]
        assert keys == [f"p/run/minutely@2026-12-01T00:0{n}Z" for n in range(1, 7)]
        last = await wait_for_status(world, "minutely@2026-12-01T00:06Z", "done")
        assert last["total"] == 2 and max(world.observer.starts.values()) == 1

        async def schedule(method: str, rest: str) -> Any:
            status, answer = await world.ask(1, method, "/schedules" + rest)
            assert status == 200, answer
            return answer

        assert (await schedule("POST", "/minutely/pause"))["paused"]
        before = len(world.state.keys)
        await trio.sleep(200.0)
        assert len([key for key in world.state.keys if key.startswith("p/run/")]) == 6 and before
        resumed = await schedule("POST", "/minutely/resume")
        assert resumed["next"] == schedules.run_key(schedules.next_due("* * * * *", "UTC", wall(trio.current_time())))
        await trio.sleep(70.0)
        assert 7 <= len([key for key in world.state.keys if key.startswith("p/run/")]) <= 8
        assert (await schedule("GET", ""))["total"] == 1
        await schedule("DELETE", "/minutely")
        assert (await schedule("GET", ""))["total"] == 0
        assert not [key for key in world.state.keys if key.startswith(("p/todo/", "p/scheduled/"))]

    run_scenario(scenario, extensions=EXTENSIONS, wall_clock=wall)


def test_due_time_missed_while_all_controllers_are_down_is_run_once_after_restart() -> None:
    async def scenario(world: World) -> None:
        for name in ("run", "skip"):
            plan = Plan(name, [step(name, pieces=1, expected_s=1.0)])
            for minute in range(60):
                register_jobs(world, Plan(name, plan.steps, schedules.run_key(BEGIN_S + 60.0 * minute)))
            schedule = {"cron": "*/10 * * * *", "timezone": "Asia/Amman", "missed": name}
            body = {"plan": plans.pack(plan), "schedule": schedule}
            assert (await world.ask(0, "PUT", f"/schedules/{name}", body))[0] == 200
        for index in list(world.nodes):
            world.kill(index)
        await trio.sleep(35 * 60.0)
        for index in range(3):
            world.start(index)
        await trio.sleep(30.0)
        assert [key for key in world.state.keys if key.startswith("p/run/")] == ["p/run/run@2026-12-01T00:30Z"]

    run_scenario(scenario, extensions=EXTENSIONS, wall_clock=lambda now: BEGIN_S + now)


def test_schedule_removed_at_the_moment_it_is_due_stays_removed() -> None:
    async def scenario(world: World) -> None:
        plan = Plan("once", [step("a", expected_s=1.0, pieces=1)])
        register_jobs(world, Plan("once", plan.steps, "2026-12-01T00:01Z"))
        body = {"plan": plans.pack(plan), "schedule": {"cron": "* * * * *", "timezone": "UTC"}}
        assert (await world.ask(0, "PUT", "/schedules/once", body))[0] == 200
        run_before_write(world, "p/todo/cron/once", "", lambda: world.state.change([{"delete": "p/todo/cron/once"}]))
        await trio.sleep(80.0)
        assert not [key for key in world.state.keys if key.startswith(("p/todo/", "p/run/"))]

    run_scenario(scenario, extensions=EXTENSIONS, wall_clock=lambda now: BEGIN_S + now)
