"""Schedules: each due time once, across failovers, outages, a wandering clock and both changes of clocks."""

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
from tests.pipelines.helpers import PARTS, announce, before, step, until_status


def at(zone: str, *when: int) -> float:
    return datetime(*when, tzinfo=ZoneInfo(zone)).timestamp()  # type: ignore[arg-type, misc]


def stamps(cron: str, zone: str, begin: float, end: float, look_s: float = 30.0, missed: str = "run") -> list[str]:
    """What is run if somebody looks every so often."""
    record = ScheduleRecord(cron, zone, missed, "", 0, begin)
    found: list[str] = []
    now = begin
    while now <= end:
        for due in schedules.due(record, now):
            found.append(schedules.stamp(due))
            record.after = due
        now += look_s
    return found


def test_the_hour_that_is_skipped_and_the_one_that_comes_twice() -> None:
    zone = "America/New_York"
    spring = (at(zone, 2026, 3, 7, 12), at(zone, 2026, 3, 9, 12))
    assert stamps("30 2 * * *", zone, *spring) == ["2026-03-08T07:00Z", "2026-03-09T06:30Z"]
    autumn = (at(zone, 2026, 10, 31, 12), at(zone, 2026, 11, 2, 12))
    assert stamps("30 1 * * *", zone, *autumn) == ["2026-11-01T05:30Z", "2026-11-02T06:30Z"]
    night = (at(zone, 2026, 11, 1, 0, 15), at(zone, 2026, 11, 1, 2, 15))
    assert stamps("30 * * * *", zone, *night) == ["2026-11-01T04:30Z", "2026-11-01T05:30Z", "2026-11-01T06:30Z"]


def test_what_was_missed_is_run_once_or_not_at_all() -> None:
    record = ScheduleRecord("0 * * * *", "UTC", "run", "", 0, at("UTC", 2026, 12, 1, 3, 30))
    now = at("UTC", 2026, 12, 1, 9, 20)
    assert [schedules.stamp(due) for due in schedules.due(record, now)] == ["2026-12-01T09:00Z"]
    assert schedules.due(msgspec.structs.replace(record, missed="skip"), now) == []
    late = at("UTC", 2026, 12, 1, 9, 1)  # just past: not missed, and what was missed before it is not run as well
    for missed in ("run", "skip"):
        assert len(schedules.due(msgspec.structs.replace(record, missed=missed), late)) == 1
    minutes = ScheduleRecord("* * * * *", "UTC", "skip", "", 0, late - 3600)
    assert len(schedules.due(minutes, late)) == 3  # two minutes' worth, each by itself


def test_a_clock_that_is_set_back_fires_nothing_twice() -> None:
    record = ScheduleRecord("* * * * *", "UTC", "run", "", 0, at("UTC", 2026, 12, 1))
    fired: list[float] = []
    for now in (70, 130, 61, 100, 121, 119, 190, 180):
        for due in schedules.due(record, record_begin + now):
            fired.append(due)
            record.after = due
    assert fired == sorted(set(fired)) and len(fired) == 3


record_begin = at("UTC", 2026, 12, 1)


def test_each_due_time_is_run_once_whoever_leads_and_whatever_the_clock_does() -> None:
    off = 0.0

    def wall(now: float) -> float:
        return record_begin + 30.0 + now + off

    async def scenario(world: World) -> None:
        nonlocal off
        plan = Plan("minutely", [step("a", expected_s=1.0, pieces=1), step("b", "a", expected_s=1.0, pieces=1)])
        for minute in range(1, 30):
            announce(world, Plan(plan.name, plan.steps, schedules.stamp(record_begin + 60.0 * minute)))
        body = {"plan": plans.pack(plan), "schedule": {"cron": "* * * * *", "timezone": "UTC"}}
        for _ in range(2):
            status, answer = await world.ask(0, "PUT", "/schedules/minutely", body)
            assert (status, answer["next"]) == (200, "2026-12-01T00:01Z")
        bad = {**body, "schedule": {"cron": "* * *", "timezone": "UTC"}}
        assert (await world.ask(0, "PUT", "/schedules/minutely", bad))[0] == 400

        for round_ in range(6):
            await trio.sleep(52.0)
            off = [0.0, 1.0, -1.0, 5.0, -5.0, 0.0][round_]  # the time of day wanders and leaps
            leader = world.leader()
            world.kill(leader)  # about when the next one is due
            await trio.sleep(8.0)
            world.start(leader)
        await trio.sleep(20.0)
        keys = [key for key in world.state.keys if key.startswith("p/run/")]
        assert keys == [f"p/run/minutely@2026-12-01T00:0{n}Z" for n in range(1, 7)]
        last = await until_status(world, "minutely@2026-12-01T00:06Z", "done")
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
        assert resumed["next"] == schedules.stamp(schedules.next_due("* * * * *", "UTC", wall(trio.current_time())))
        await trio.sleep(70.0)
        assert 7 <= len([key for key in world.state.keys if key.startswith("p/run/")]) <= 8
        assert (await schedule("GET", ""))["total"] == 1
        await schedule("DELETE", "/minutely")
        assert (await schedule("GET", ""))["total"] == 0
        assert not [key for key in world.state.keys if key.startswith(("p/todo/", "p/scheduled/"))]

    run_scenario(scenario, parts=PARTS, wall_clock=wall)


def test_a_due_time_missed_in_an_outage_of_all_controllers_is_run_once_when_they_are_back() -> None:
    async def scenario(world: World) -> None:
        for name in ("run", "skip"):
            plan = Plan(name, [step(name, pieces=1, expected_s=1.0)])
            for minute in range(60):
                announce(world, Plan(name, plan.steps, schedules.stamp(record_begin + 60.0 * minute)))
            asked = {"cron": "*/10 * * * *", "timezone": "Asia/Amman", "missed": name}
            body = {"plan": plans.pack(plan), "schedule": asked}
            assert (await world.ask(0, "PUT", f"/schedules/{name}", body))[0] == 200
        for index in list(world.nodes):
            world.kill(index)
        await trio.sleep(35 * 60.0)
        for index in range(3):
            world.start(index)
        await trio.sleep(30.0)
        assert [key for key in world.state.keys if key.startswith("p/run/")] == ["p/run/run@2026-12-01T00:30Z"]

    run_scenario(scenario, parts=PARTS, wall_clock=lambda now: record_begin + now)


def test_a_schedule_removed_in_the_instant_in_which_it_is_due_stays_removed() -> None:
    async def scenario(world: World) -> None:
        plan = Plan("once", [step("a", expected_s=1.0, pieces=1)])
        announce(world, Plan("once", plan.steps, "2026-12-01T00:01Z"))
        body = {"plan": plans.pack(plan), "schedule": {"cron": "* * * * *", "timezone": "UTC"}}
        assert (await world.ask(0, "PUT", "/schedules/once", body))[0] == 200
        before(world, "p/todo/cron/once", "", lambda: world.state.change([{"delete": "p/todo/cron/once"}]))
        await trio.sleep(80.0)
        assert not [key for key in world.state.keys if key.startswith(("p/todo/", "p/run/"))]

    run_scenario(scenario, parts=PARTS, wall_clock=lambda now: record_begin + now)
