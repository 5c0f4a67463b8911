"""A follower that loses the network after a machine stopped with a cancelled task ends by itself when it is back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from sites import zarqa_air_stations
from standin import CannotRun, job, main

CUT_S = 60.0  # the page's own day cuts a controller off for 60 s and holds its packets


async def play(world, trouble):
    # A service keeps one machine, an array runs on two others.
    board = job(1, jobclass="air-index-service", crew="web-services", shape="daemon", urgency="production",
                cores=8.0, memory_gb=24.0, expected_s=0.0)  # fmt: skip
    batch = job(2, jobclass="dust-alert-batch", crew="health-liaison", urgency="urgent", pieces=2, cores=8.0,
                memory_gb=26.0, expected_s=300.0)  # fmt: skip
    for one in (board, batch):
        status, _ = await world.submit(one)
        assert status in (200, 201)
    await world.until(lambda: len(world.tasks_on_machines("run-000002")) == 2, 30, "the array runs")
    await world.until(lambda: world.tasks_on_machines("run-000001"), 30, "the service runs")
    await asyncio.sleep(4.0)
    leader = world.state.leader()
    victim = world.cloud.machines[world.tasks_on_machines("run-000002")[0][1]]
    zones = dict(zip(world.node_names, world.node_zones, strict=True))
    # Not the controller of the machines' zone: while that one is away, the zone may be taken for cut off.
    follower = next(c for c in world.controllers if c.name != leader and zones[c.name] != victim.zone)
    if trouble:
        world.note(f"machine {victim.name} stops with all that is on it")
        victim.stop()
    await asyncio.sleep(0.3)
    told = await world.cancel("run-000002", world.node_names.index(leader))
    assert told == "withdrawn"
    cancelled_at = world.cancelled_at["run-000002"]
    await asyncio.sleep(2.0)  # the leader tells the others every 0.7 s which machines may hold a cancelled task
    asked = []

    def on_connection(worker, sender):
        # While it is cut off, the follower tries two machines that the leader heard of, to know whether it reaches any.
        if sender == follower.name and worker is not victim and world.is_cut_off(sender):
            world.note(f"{sender} tries {worker.name}, which it cannot reach")
            asked.append(time.monotonic())

    world.on_connection = on_connection
    if trouble:
        names = world.node_names
        link = world.links[(names.index(leader), names.index(follower.name))]
        world.cut_off(follower.name)
        cut_at = time.monotonic()
        # The network returns while the follower waits for these machines (up to 0.8 s, about every 4 s), and before the
        # leader tries to reach the follower again (every 1.5 s). Of all moments of the cut's end one in five does.
        while time.monotonic() < cut_at + CUT_S - 1.0:
            await asyncio.sleep(0.02)
            if asked and time.monotonic() - asked[-1] < 0.1 and 0.15 < link.tried.get("/peer/bar", 0.0) + 1.5 - asked[-1] < 0.65:
                break
        world.join()
        world.note(f"the cut lasted {time.monotonic() - cut_at:.1f} s; the cancellation is {time.monotonic() - cancelled_at:.1f} s old")
    await asyncio.sleep(6.0)
    for controller in world.controllers:
        if controller.exit_code() is not None:
            world.broken("node_restarts", f"{controller.name} has ended by itself with code {controller.exit_code()}")
    if world.state.leader() != leader:
        raise CannotRun("the leader changed")


main(Path(__file__).parent, lambda: zarqa_air_stations(__file__), play)
