"""Two of a zone's three machines hang while controllers cannot reach each other; a job that runs there is cancelled."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from standin import World, job, main

LEASE_S, CANCEL_S = 14.0, 39.0
HANG_S = 50.0  # the page's own days hang 30 machines for 50 s and 35 machines for 60 s
REFUSED_S = 12.0  # the page's own day refuses connections between controllers for 40 s
KIND = {"sku": "falcon-gpu", "cores": 24.0, "gpus": 2.0, "memory_gb": 96.0, "cache_gb": 90.0, "pull_gb_per_s": 1.0,
        "rate": 4.98, "market_price": 1.32, "ready_s": 60.0, "yards": ["mafraq-plain", "zarqa-river"]}  # fmt: skip
HOME, FAR = "mafraq-plain", "zarqa-river"


def make_world():
    return World(
        Path(__file__).parent, nodes=[HOME, FAR, HOME], zones=[HOME, FAR],
        times={"report_s": 3.0, "lease_s": LEASE_S, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": CANCEL_S},
        state={"rps": 100.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
        cloud={"rps": 4.0, "list_lag_s": 5.0},
        teams=[{"name": "forecast-modellers", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 136.0}],
        kinds=[KIND], limits=(0.54, 266.0, 1800),
    )  # fmt: skip


async def play(world, trouble):
    # The zone that the leader is not in: it sees that one from outside.
    zones = dict(zip(world.node_names, world.node_zones, strict=True))
    far = FAR if zones[world.state.leader()] == HOME else HOME
    # Three machines of that zone run two tasks each: one job of two tasks that lasts, and two others.
    common = {"crew": "forecast-modellers", "cores": 10.0, "gpus": 1.0, "memory_gb": 36.0, "yard": far,
              "urgency": "urgent", "expected_s": 600.0, "bundle": "img-1"}  # fmt: skip
    jobs = [job(n, pieces=2, **common) for n in (1, 2, 3)]
    for one in jobs:
        status, _ = await world.submit(one, node=0)
        assert status in (200, 201)
    await world.until(lambda: sum(len(world.tasks_on_machines(j["name_id"])) for j in jobs) == 6, 30, "six tasks run")
    await asyncio.sleep(4.0)
    machines = [m for m in world.cloud.machines.values() if m.zone == far and m.up]
    victim = jobs[0]["name_id"]
    holders = {name for _, name in world.tasks_on_machines(victim)}
    hanging = [m for m in machines if m.name in holders]
    hanging += [m for m in machines if m.name not in holders][: 2 - len(hanging)]
    world.note(f"zone {far} has {len(machines)} machines; {victim} is on {sorted(holders)}")
    if trouble:
        for link in world.links.values():
            link.refuse()
        world.note("connections between controllers are refused")
        refused_at = time.monotonic()
        await asyncio.sleep(1.0)
        for machine in hanging:
            machine.hung = True
            world.note(f"machine {machine.name} hangs")
        hung_at = time.monotonic()
    await asyncio.sleep(1.0)
    told = await world.cancel(victim, node=0)
    assert told == "withdrawn"
    if trouble:
        await asyncio.sleep(max(0.0, refused_at + REFUSED_S - time.monotonic()))
        for link in world.links.values():
            await link.allow()
        world.note("controllers reach each other again")
    bound = world.cancelled_at[victim] + CANCEL_S
    while time.monotonic() < bound + 0.5:
        await asyncio.sleep(0.1)
        if trouble and time.monotonic() > hung_at + HANG_S:
            break
    left = world.tasks_on_machines(victim)
    late = time.monotonic() - world.cancelled_at[victim]
    world.note(f"{late:.1f} s after its user was told, {victim} is on: {left}")
    if left and late > CANCEL_S:
        world.broken("ran_cancelled", f"{victim} is on {left} {late:.1f} s after its user was told; the bound is {CANCEL_S} s")
    for machine in hanging if trouble else ():
        machine.hung = False


main(Path(__file__).parent, make_world, play)
