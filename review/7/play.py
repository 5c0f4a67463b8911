"""A follower that stands still for 20 s after a machine stopped with a cancelled task ends by itself as it goes on."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from sites import guild_member_portal
from standin import CannotRun, job, main

STILL_S = 20.0  # the page's own day lets one controller stand still for 20 s


ROUNDS = 2  # whether it ends depends on what it reads first as it goes on; a second try in case it did not


async def play(world, trouble):
    board = job(1, jobclass="fault-board", crew="tower-ops", shape="daemon", urgency="production", pieces=2, cores=8.0,
                memory_gb=15.0, expected_s=0.0, apart=True)  # fmt: skip
    status, _ = await world.submit(board)
    assert status in (200, 201)
    await world.until(lambda: len(world.tasks_on_machines("run-000001")) == 2, 30, "the service runs")
    for number in range(ROUNDS):
        await one_round(world, f"run-{number + 2:06d}", trouble)
        if world.violations:
            return


async def one_round(world, name, trouble):
    report = job(0, name_id=name, jobclass="outage-report", crew="tower-ops", urgency="urgent", pieces=4, cores=8.0,
                 memory_gb=14.0, expected_s=300.0)  # fmt: skip
    status, _ = await world.submit(report)
    assert status in (200, 201)
    await world.until(lambda: len(world.tasks_on_machines(name)) == 4, 30, "the array runs")
    await asyncio.sleep(4.0)
    leader = world.state.leader()
    victim = world.cloud.machines[world.tasks_on_machines(name)[0][1]]
    zones = dict(zip(world.node_names, world.node_zones, strict=True))
    # Not the controller of the machine's zone: while that one is away, the zone may be taken for cut off.
    follower = next(c for c in world.controllers if c.name != leader and zones[c.name] != victim.zone)
    if trouble:
        world.note(f"machine {victim.name} stops with all that is on it")
        victim.stop()
    await asyncio.sleep(0.3)
    told = await world.cancel(name, world.node_names.index(leader))
    assert told == "withdrawn"
    await asyncio.sleep(2.0)  # the leader tells the others every 0.7 s which machines may hold a cancelled task
    if trouble:
        world.note(f"controller {follower.name} stands still")
        follower.signal(signal.SIGSTOP)
        await asyncio.sleep(STILL_S)
        follower.signal(signal.SIGCONT)
        world.note(f"controller {follower.name} goes on")
    await asyncio.sleep(6.0)
    for controller in world.controllers:
        if controller.exit_code() is not None:
            world.broken("node_restarts", f"{controller.name} has ended by itself with code {controller.exit_code()}")
    if world.state.leader() != leader:
        raise CannotRun("the leader changed")


main(Path(__file__).parent, lambda: guild_member_portal(__file__), play)
