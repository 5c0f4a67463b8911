"""Randomized scenarios: controllers stand still or lose links and go on, while machines with cancelled jobs are silent.

    python -m tests.cuts.standing_still --count 2000 [--first SEED] [--processes 6]

In each of a few episodes machines of a running job stop or hang, the job is cancelled within a second, and controllers
stand still, or lose links, and go on at random moments. The observer of `tests/fakes.py` judges each scenario; it fails
as well if a controller contains an exception. A seed repeats its scenario exactly.
"""

import argparse
import contextlib
import multiprocessing
import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import CANCEL_S, NODES, ZONES, Worker, World, job, run_scenario

MACHINES_PER_ZONE = 4  # of which one is silent at a time, so that no zone is taken for cut off
FIRST_EPISODE_S, BETWEEN_EPISODES_S = 14.0, 40.0
MOST_CANCEL_DELAY_S = 1.0  # from the moment when a machine falls silent
AWAY_S = (0.5, 25.0)  # for how long a controller stands still or lacks links
QUIET_S = 15.0  # after the last episode's cancelled tasks have to be gone


def draw_jobs(rng: random.Random) -> Iterator[dict[str, Any]]:
    """Long jobs, of which each episode cancels one, and short ones that have to be done in the end.

    All of them together are within their teams' limits and leave room.
    """
    for number in range(5):
        shape = rng.choice(["sweep", "sweep", "daemon"])
        yield job(
            number, crew="red", shape=shape, pieces=rng.randint(1, 3), cores=2.0, pull_gb=0.0,
            expected_s=0.0 if shape == "daemon" else 400.0,
        )  # fmt: skip
    for number in range(5, 8):
        yield job(number, crew="blue", pieces=rng.randint(1, 4), cores=1.0, expected_s=rng.choice([3.0, 12.0]))


@dataclass
class StandingStill:
    """The scenario of a seed. The order of the random draws determines it."""

    seed: int
    accepted: list[dict[str, Any]] = field(default_factory=list)

    async def scenario(self, world: World) -> None:
        rng = random.Random(self.seed)
        for zone in ZONES:
            for _ in range(MACHINES_PER_ZONE):
                world.cloud.create(zone)
        if rng.random() < 0.5:
            world.cloud.capacity.clear()
        await trio.sleep(6.0)
        async with trio.open_nursery() as nursery:
            for one in draw_jobs(rng):
                nursery.start_soon(self.submit, world, rng, one)
            await trio.sleep(FIRST_EPISODE_S)
            for _ in range(rng.choice([1, 2, 2, 3])):
                nursery.start_soon(self.play_episode, world, rng)
                await trio.sleep(BETWEEN_EPISODES_S)
        await trio.sleep(CANCEL_S + QUIET_S)
        await self.check_all_known(world)

    async def submit(self, world: World, rng: random.Random, one: dict[str, Any]) -> None:
        await trio.sleep(rng.uniform(0.0, 5.0))
        if await self.ask(world, rng, one, "POST", "/work"):
            self.accepted.append(one)

    async def play_episode(self, world: World, rng: random.Random) -> None:
        """One machine of a running job falls silent, its job is cancelled, and controllers are away for a time."""
        running = [one for one in self.accepted if world.running(one) and world.hosts(one)]
        if not running:
            return
        one = rng.choice(running)
        silent = rng.choice(world.hosts(one))
        async with trio.open_nursery() as nursery:
            if rng.random() < 0.5:
                silent.terminate()
            else:
                nursery.start_soon(self.hang, world, silent, rng.uniform(2.0, 2 * CANCEL_S))
            nursery.start_soon(self.cancel, world, rng, one, rng.uniform(0.0, MOST_CANCEL_DELAY_S))
            for index in self.controllers_away(world, rng, silent):
                nursery.start_soon(self.be_away, world, rng, index, rng.uniform(0.0, 6.0))

    def controllers_away(self, world: World, rng: random.Random, silent: Worker) -> list[int]:
        """At least one controller, and not all; none of the machine's zone, which might be taken for cut off then."""
        others = [index for index in sorted(world.nodes) if ZONES[index % len(ZONES)] != silent.zone]
        return rng.sample(others, rng.randint(1, max(1, len(others) - 1)))

    async def hang(self, world: World, worker: Worker, seconds: float) -> None:
        worker.hung = True
        await trio.sleep(seconds)
        if not worker.terminated:
            worker.resume()
            await world.restore_links(lambda source, host: host == worker.name)

    async def cancel(self, world: World, rng: random.Random, one: dict[str, Any], after_s: float) -> None:
        await trio.sleep(after_s)
        await self.ask(world, rng, one, "POST", f"/work/{one['name_id']}/cancel")

    async def be_away(self, world: World, rng: random.Random, index: int, after_s: float) -> None:
        """The controller stands still, or loses all links or some of them, and goes on."""
        await trio.sleep(after_s)
        seconds = rng.uniform(*AWAY_S)
        name = NODES[index]
        others = {
            "all": ["state", "cloud", *NODES[: world.count], *(worker.name for worker in world.workers)],
            "state": ["state"],
            "controllers": NODES[: world.count],
            "workers": [worker.name for worker in world.workers],
        }
        how = rng.choice(["still", "still", *others])
        if how == "still":
            await world.freeze(index, seconds)
            return
        mode = rng.choice(["hold", "hold", "refuse", "lose_answers"])
        links = {(name, other) for other in others[how]} | {(other, name) for other in others[how]}
        for source, host in sorted(links):
            world.cut(source, host, mode, both=False)
        await trio.sleep(seconds)
        await world.restore_links(lambda source, host: (source, host) in links)

    async def check_all_known(self, world: World) -> None:
        """Check that every controller still runs, and knows every accepted job."""
        for one in self.accepted:
            for index in sorted(world.nodes):
                status, _ = await world.ask(index, "GET", f"/work/{one['name_id']}")
                if status != 200:
                    world.observer.violations.append(f"forgotten {one['name_id']}: {status} of {NODES[index]}")
        for one in self.accepted:
            cancelled = one["name_id"] in world.observer.cancel_requested
            if 0.0 < one["expected_s"] < 100.0 and not cancelled and await world.status(one) != "done":
                world.observer.violations.append(f"forgotten {one['name_id']}: not done")

    async def ask(self, world: World, rng: random.Random, one: dict[str, Any], method: str, path: str) -> bool:
        """Ask random controllers, as a load balancer would, until one does it."""
        for _ in range(40):
            with contextlib.suppress(NotSent, NoUsableResponse):
                index = rng.choice(sorted(world.nodes))
                asked = world.submit(one, index) if path == "/work" else world.ask(index, method, path)
                if (await asked)[0] in (200, 201):
                    return True
            await trio.sleep(1.0)
        return False


def run_seed(seed: int) -> str:
    """Run the scenario of this seed; returns what failed, or an empty string."""
    count = random.Random(seed).choice([3, 3, 5, 7])
    try:
        run_scenario(StandingStill(seed).scenario, count)
    except BaseExceptionGroup as group:
        return repr(group.exceptions)
    return ""


def failures_by_seed(seeds: range, processes: int) -> dict[int, str]:
    """Run the scenarios of these seeds; returns the failures, by seed."""
    with multiprocessing.Pool(processes) as pool:
        failures = pool.imap(run_seed, seeds, 5)
        return {seed: failure for seed, failure in zip(seeds, failures, strict=True) if failure}


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--first", type=int, default=0)
    options.add_argument("--count", type=int, default=100)
    options.add_argument("--processes", type=int, default=6)
    args = options.parse_args()
    failures = failures_by_seed(range(args.first, args.first + args.count), args.processes)
    for seed, failure in failures.items():
        print(f"seed {seed}: {failure}")
    print(f"{args.count - len(failures)} passed, {len(failures)} failed")
    sys.exit(bool(failures))


if __name__ == "__main__":
    main()
