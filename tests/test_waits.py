"""No job waits for 90 s while a machine that fits has room and its team is under its limit.

What happened: a job ran nothing for minutes beside a machine with room for it. Why: that room was kept, for as long as
it was short, for replicas that nobody had asked for; or the job had so much time left that 40 % of it, here 750 s, was
to be waited for cheaper room. The planner's reasons showed it: "wait for room on cheap machines", and "no room" beside
machines with 3 of 8 CPUs free. All three stories failed at 90 s.
"""

from typing import Any

import pytest
import trio

from tests.fakes import World, job, run_scenario

WAIT_MOST_S = 90.0  # s; the users' bound, troubles being over


async def a_room_that_stays(world: World) -> None:
    """Three ordinary machines, each with work of another team that lasts, and room beside it; no more are to be had."""
    for zone in "abc":
        world.cloud.create(zone)
    world.cloud.capacity.clear()
    await trio.sleep(7)
    lasting = job(1, pieces=3, cores=5.0, crew="blue", expected_s=4000.0)
    await world.submit(lasting)
    await world.until(lambda: world.running(lasting) == 3, 30)


def room_for(world: World, one: dict[str, Any]) -> bool:
    """Whether a machine has room for a task of the job now."""
    used = {w.name: sum(t.job["cores"] for t in w.tasks.values() if t.state != "ended") for w in world.workers}
    return any(w.up and 8.0 - used[w.name] >= one["cores"] for w in world.workers)


async def begins(world: World, one: dict[str, Any]) -> None:
    await world.submit(one)
    assert room_for(world, one)
    waited_from = trio.current_time()
    while not world.running(one):
        assert trio.current_time() - waited_from < WAIT_MOST_S or not room_for(world, one), "room, and it waits"
        await trio.sleep(0.5)


def test_work_that_has_much_time_left_does_not_wait_for_cheap_room_while_there_is_other() -> None:
    """Seen on reading: it waits for 40 % of the time that it has, here 750 s, beside room that nobody uses."""

    async def scenario(world: World) -> None:
        await a_room_that_stays(world)
        patient = job(2, pieces=20, cores=2.0, loaners=True, expected_s=10.0, due_s=2000.0)
        await begins(world, patient)

    run_scenario(scenario)


@pytest.mark.parametrize("spot", [False, True])
def test_room_kept_for_replicas_that_nobody_asked_for_is_used_by_what_has_waited_long(spot: bool) -> None:
    """Seen on reading: as long as there is less room than one more service would want, other work waits for ever."""

    async def scenario(world: World) -> None:
        await a_room_that_stays(world)
        board = job(2, shape="daemon", pieces=6, cores=1.0, expected_s=0.0)
        await world.submit(board)
        await world.until(lambda: world.running(board) == 6, 30)
        other = job(3, pieces=20, cores=1.0, loaners=spot, expected_s=10.0)
        await begins(world, other)

    run_scenario(scenario)
