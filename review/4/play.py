"""A leader ends; the zone of the next one is cut off right after its election; both it and its successor start tasks."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from sites import guild_member_portal
from standin import CannotRun, job, main

BACK_S = 5.0  # the page: a controller is back about 5 s after an end
CUT_S = 20.0  # the page's own day cuts a zone off for 39 s and holds its packets
ELECTIONS = 7  # tries to find the moment


async def settle(world, names):
    await world.until(lambda: all(world.state.leader() and not c.exit_code() for c in world.controllers), 20, "a leader")
    for addr in world.user_addrs:
        await world.until(lambda a=addr: world.healthy(a), 20, f"{addr} is healthy")
    await world.until(lambda: all(len(world.tasks_on_machines(n)) >= min(3, world.jobs[n]["pieces"]) for n in names), 40,
                      "all run")  # fmt: skip


async def play(world, trouble):
    zones = dict(zip(world.node_names, world.node_zones, strict=True))
    # In each zone three machines with a replica each, and room for a task of the array beside it.
    boards = [job(n + 1, jobclass="fault-board", crew="tower-ops", shape="daemon", urgency="production", pieces=3,
                  cores=9.0, memory_gb=15.0, yard=zone, expected_s=0.0) for n, zone in enumerate(world.node_zones)]  # fmt: skip
    for one in boards:
        status, _ = await world.submit(one)
        assert status in (200, 201)
    names = [one["name_id"] for one in boards]
    await settle(world, names)
    report = job(9, jobclass="outage-report", crew="tower-ops", urgency="urgent", pieces=2, cores=4.0, memory_gb=14.0,
                 expected_s=600.0)  # fmt: skip
    status, _ = await world.submit(report)
    assert status in (200, 201)
    name = report["name_id"]
    await world.until(lambda: len(world.tasks_on_machines(name)) == 2, 30, "the array runs")
    await asyncio.sleep(4.0)
    held_in = {world.cloud.machines[machine].zone for _, machine in world.tasks_on_machines(name)}
    world.note(f"{name} runs in {sorted(held_in)}")
    found = not trouble
    for _ in range(ELECTIONS if trouble else 0):
        if world.violations or world.now() > 70.0:
            break
        old = world.state.leader()
        third = {n for n in world.node_names if n != old}
        world.controllers[world.node_names.index(old)].kill()
        ended_at = time.monotonic()
        await world.until(lambda o=old: world.state.leader() not in (None, o), 10, "another controller leads")
        new, token = world.state.leader(), world.state.leader_log[-1][2]
        other = (third - {new}).pop()
        link = world.links[(world.node_names.index(other), world.node_names.index(new))]
        elected_at = world.state.leader_log[-1][0]
        world.note(f"{new} leads with token {token}")
        machines = [m for m in world.cloud.machines.values() if m.up]
        while time.monotonic() < elected_at + 0.7:
            await asyncio.sleep(0.005)
            if link.sent.get("/peer/contact", 0.0) > elected_at or all(m.token == token for m in machines):
                break
        met = link.sent.get("/peer/contact", 0.0) > elected_at
        seen = all(m.token == token for m in machines)
        if seen and not met and zones[new] not in held_in:
            await asyncio.sleep(0.03)  # the answers of the machines are on their way
            world.cut_zone(zones[new])
            await asyncio.sleep(max(0.0, ended_at + BACK_S - time.monotonic()))
            world.controllers[world.node_names.index(old)].start()
            cut_at = time.monotonic()
            while time.monotonic() < cut_at + CUT_S and not world.violations:
                await asyncio.sleep(0.1)
            world.join()
            found = True
        else:
            world.note(f"not this one: machines have seen its token: {seen}; {other} was in contact with it: {met}")
            await asyncio.sleep(max(0.0, ended_at + BACK_S - time.monotonic()))
            world.controllers[world.node_names.index(old)].start()
        if not world.violations:
            await settle(world, [*names, name])
            held_in = {world.cloud.machines[machine].zone for _, machine in world.tasks_on_machines(name)}
    if not found:
        raise CannotRun("no election was of the wanted kind")
    if not trouble:
        await asyncio.sleep(20.0)


main(Path(__file__).parent, lambda: guild_member_portal(__file__), play)
