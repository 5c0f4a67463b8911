"""Randomized scenarios, each generated from a seed: users submit and cancel jobs while faults begin at random moments.

    python -m tests.cuts.generated --count 10000 [--first SEED] [--processes 6] [--mix hangs]

Requests that a fault holds back are often released at the moment when they do most harm. The observer of
`tests/fakes.py`, which knows only the protocol's rules, judges each scenario. A seed repeats its scenario exactly.
"""

import argparse
import contextlib
import multiprocessing
import random
import sys
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import CANCEL_S, LEASE_S, NODES, ZONES, Worker, World, job, run_scenario

# When faults may begin (earliest, latest), and how long the scenario runs on after users and faults are through.
FAULTS_FROM_S, FAULTS_TO_S, QUIET_S = 9.0, 36.0, 14.0
CHECK_INTERVAL_S = 0.2  # how often a cut checks whether it holds requests that would now do harm
RESTART_DELAYS_S = (0.0, 0.05, 0.2, 0.9)  # how long a controller that is restarted may be away
LATEST_REQUESTS = 400  # so many of the latest requests may be repeated; older ones rarely break anything
Fault = Callable[[World, random.Random, float], Awaitable[None]]  # the last argument: for how many seconds


def draw_jobs(rng: random.Random) -> Iterator[dict[str, Any]]:
    """3 to 6 jobs, enough to fill most machines; some with a zone constraint, some of a few seconds."""
    for number in range(rng.randint(3, 6)):
        shape = rng.choice(["sweep", "sweep", "daemon", "group"])
        yield job(
            number, shape=shape, pieces=rng.randint(1, 6), cores=rng.choice([1.0, 2.0, 4.0]),
            crew=rng.choice(["red", "blue"]), urgency=rng.choice(["production", "urgent", "standard"]),
            expected_s=0.0 if shape == "daemon" else rng.choice([3.0, 12.0, 60.0, 200.0]),
            apart=shape == "daemon" and rng.random() < 0.5, one_zone=shape == "group" and rng.random() < 0.5,
            pull_gb=rng.choice([0.0, 1.0]),
        )  # fmt: skip


def sample(rng: random.Random, names: list[str]) -> list[str]:
    """At least one of the names."""
    return rng.sample(names, rng.randint(1, len(names)))


async def cut_links(world: World, rng: random.Random, seconds: float) -> None:
    """Cut some controllers off from some workers, controllers or the state service, in one direction or both.

    At times, links that hold a harmful request (see `links_with_outdated_launches`) are restored early.
    """
    nodes = sample(rng, NODES[: world.count])
    partners = rng.choice([
        lambda: sample(rng, [w.name for w in world.workers if not w.terminated] or ["state"]),
        lambda: sample(rng, [w.name for w in world.workers if w.zone == rng.choice(ZONES)] or ["state"]),
        lambda: ["state"],
        lambda: sample(rng, NODES[: world.count]),
    ])()  # fmt: skip
    mode, way = rng.choice(["hold", "hold", "refuse", "lose_answers"]), rng.choice(["to", "from", "both"])
    links = {(a, b) for a in nodes for b in partners if a != b and way != "from"}
    links |= {(b, a) for a in nodes for b in partners if a != b and way != "to" and b != "state"}
    for source, host in sorted(links):
        world.cut(source, host, mode, both=False)
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        await trio.sleep(CHECK_INTERVAL_S)
        if rng.random() < 0.5 and (bad := links_with_outdated_launches(world) & links):
            await world.restore_links(lambda source, host: (source, host) in bad)
    await world.restore_links(lambda source, host: (source, host) in links)


def links_with_outdated_launches(world: World) -> set[tuple[str, str]]:
    """Links that hold a launch of a task which now runs on another machine: the worst moment to deliver it."""
    runs = {name: w for w in world.workers for (name, _), t in w.tasks.items() if t.state == "running"}
    return {
        item.link for item in world.held_requests for order in (item.body or {}).get("orders", ())
        if order["verb"] == "launch" and order["piece"] in runs and runs[order["piece"]].name != item.link[1]
    }  # fmt: skip


async def hang_machines(world: World, rng: random.Random, seconds: float) -> None:
    """Some machines hang, at most for a lease less 1 s or for two leases, and then read what arrived meanwhile."""
    hung = [w for w in world.workers if w.up and not w.terminated and rng.random() < 0.4]
    for worker in hung:
        worker.hung = True
    await trio.sleep(min(seconds, rng.choice([LEASE_S - 1, 2 * LEASE_S])))
    for worker in hung:
        worker.resume()
        await world.restore_links(lambda source, host, name=worker.name: host == name)  # type: ignore[misc]


async def stop_controllers(world: World, rng: random.Random, seconds: float) -> None:
    """Some controllers end, and start again after 0.5 to 5 s."""
    ended = [i for i in list(world.nodes) if rng.random() < 0.5]
    for index in ended:
        world.kill(index)
    await trio.sleep(rng.uniform(0.5, 5.0))
    for index in ended:
        world.start(index)


async def restart_controllers(world: World, rng: random.Random, seconds: float) -> None:
    """Some controllers, or all, end and start again within a second, one or several times."""
    everybody = rng.random() < 0.3
    for _ in range(rng.choice([1, 1, 2, 10])):
        ended = [i for i in list(world.nodes) if everybody or rng.random() < 0.4]
        async with trio.open_nursery() as nursery:
            for index in ended:
                nursery.start_soon(world.restart, index, rng.choice(RESTART_DELAYS_S))
        await trio.sleep(rng.uniform(0.0, 1.0))


async def restart_worker(world: World, rng: random.Random, seconds: float) -> None:
    """A worker restarts at once without its state."""
    up = [w for w in world.workers if w.up and not w.hung]
    # Not together with `repeat_requests`: the new worker can't know that a repeated launch is from before its restart.
    if up and world.delivered_requests is None:
        rng.choice(up).reboot()


async def repeat_requests(world: World, rng: random.Random, seconds: float) -> None:
    """Requests that were carried out are delivered again, in random order."""
    if world.delivered_requests is None:
        world.delivered_requests = []
    until = trio.current_time() + seconds
    while trio.current_time() < until:
        await trio.sleep(rng.uniform(0.0, 2 * CHECK_INTERVAL_S))
        if world.delivered_requests:
            item = rng.choice(world.delivered_requests[-LATEST_REQUESTS:])
            if item.link not in world.link_faults:
                world.nursery.start_soon(world.deliver, item)


async def state_outage(world: World, rng: random.Random, seconds: float) -> None:
    """The state service is unavailable, for all controllers or for one."""
    alone = rng.choice(NODES[: world.count]) if rng.random() < 0.5 else None
    if alone:
        world.state.refused_sources.add(alone)
    else:
        world.state.down = True
    await trio.sleep(seconds)
    if alone:
        world.state.refused_sources.discard(alone)
    else:
        world.state.down = False


async def cloud_outage(world: World, rng: random.Random, seconds: float) -> None:
    """The cloud is unavailable."""
    world.cloud.down = True
    await trio.sleep(seconds)
    world.cloud.down = False


async def terminate_machine(world: World, rng: random.Random, seconds: float) -> None:
    """A machine dies with all its tasks."""
    up = [w for w in world.workers if w.up]
    if up:
        rng.choice(up).terminate()


async def delay_transactions(world: World, rng: random.Random, seconds: float) -> None:
    """Some transactions get no answer and are carried out 2 to 12 s later, after newer ones."""
    share = rng.choice([0.1, 0.3, 0.6])
    world.late_delivery_s = (
        lambda source, path, body: rng.uniform(2.0, 12.0) if path == "/txn" and rng.random() < share else 0.0
    )
    await trio.sleep(seconds)
    world.late_delivery_s = lambda source, path, body: 0.0


async def duplicate_reports(world: World, rng: random.Random, seconds: float) -> None:
    """Copies of some workers' reports arrive again, up to 4 s or two leases later."""
    share, most = rng.choice([0.1, 0.5]), rng.choice([4.0, 2 * LEASE_S])
    world.duplicate_delivery_s = (
        lambda source, path, body: rng.uniform(2.0, most) if "beat" in path and rng.random() < share else 0.0
    )
    await trio.sleep(seconds)
    world.duplicate_delivery_s = lambda source, path, body: 0.0


async def _set_flag_on_some_machines(world: World, rng: random.Random, seconds: float, flag: str) -> None:
    affected = [w for w in world.workers if w.up and rng.random() < 0.4]
    for worker in affected:
        setattr(worker, flag, True)
    await trio.sleep(seconds)
    for worker in affected:
        setattr(worker, flag, False)


async def fail_inbound(world: World, rng: random.Random, seconds: float) -> None:
    """The reports of some machines arrive, but no answers and no requests reach those machines."""
    await _set_flag_on_some_machines(world, rng, seconds, "inbound_fails")


async def fail_outbound(world: World, rng: random.Random, seconds: float) -> None:
    """Some machines reach no controller, while requests to them arrive and are answered."""
    await _set_flag_on_some_machines(world, rng, seconds, "outbound_fails")


async def lose_transaction_answers(world: World, rng: random.Random, seconds: float) -> None:
    """Some transactions are carried out at once, but their answers are lost; other controllers read what they wrote."""
    share = rng.choice([0.2, 0.5])
    world.lose_answer = lambda source, path, body: path == "/txn" and rng.random() < share
    await trio.sleep(seconds)
    world.lose_answer = lambda source, path, body: False


async def replay_old_reports(world: World, rng: random.Random, seconds: float) -> None:
    """Reports that workers sent a while ago reach every controller again as a new leader begins, or soon after."""
    kept: list[tuple[str, Any]] = []

    def keep(source: str, path: str, body: Any) -> float:
        if "beat" in path and "beats" not in path and rng.random() < 0.3:
            kept.append((source, body))
        return 0.0

    world.duplicate_delivery_s = keep
    await trio.sleep(rng.uniform(1.0, 8.0))
    world.duplicate_delivery_s = lambda source, path, body: 0.0
    leaders = [i for i, n in world.nodes.items() if n.leader is not None]
    if leaders and rng.random() < 0.8:
        await world.restart(rng.choice(leaders), rng.choice([0.1, 3.0]))
    await trio.sleep(rng.choice([0.0, 0.5, 2.5, 4.0, LEASE_S]))
    for source, body in kept[-LATEST_REQUESTS:]:
        for index in list(world.nodes):
            world.nursery.start_soon(_send_report, world, source, index, body)


async def _send_report(world: World, source: str, index: int, body: Any) -> None:
    with contextlib.suppress(NotSent, NoUsableResponse):
        await world.send(source, f"10.0.0.{index}:1", "POST", "/agent/beat", body, 4.0)


async def cancel_running_jobs(world: World, rng: random.Random, seconds: float) -> None:
    """Users cancel running jobs within 0.2 s, at different controllers; some of the jobs' machines hang."""
    async with trio.open_nursery() as nursery:
        for one in list(world.jobs.values()):
            if world.running(one) and rng.random() < 0.5:
                for worker in world.hosts(one)[:2]:
                    if rng.random() < 0.4 and not worker.hung:
                        nursery.start_soon(_hang_for, world, worker, min(seconds, 2 * CANCEL_S))
                nursery.start_soon(_cancel, world, rng, one, rng.uniform(0.0, 0.2))


async def _hang_for(world: World, worker: Worker, seconds: float) -> None:
    worker.hung = True
    await trio.sleep(seconds)
    if not worker.terminated:
        worker.resume()
        await world.restore_links(lambda source, host: host == worker.name)


async def _cancel(world: World, rng: random.Random, one: dict[str, Any], after_s: float) -> None:
    await trio.sleep(after_s)
    for _ in range(20):
        if world.nodes:
            with contextlib.suppress(NotSent, NoUsableResponse):
                index = rng.choice(sorted(world.nodes))
                if (await world.ask(index, "POST", f"/work/{one['name_id']}/cancel"))[0] == 200:
                    return
        await trio.sleep(1.0)


async def query_all_controllers(world: World, rng: random.Random, seconds: float) -> None:
    """All controllers are asked for all jobs within milliseconds, and some submissions are repeated."""
    until = trio.current_time() + min(seconds, 10.0)
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            for job_id in list(world.observer.reported_state):
                for index in list(world.nodes):
                    nursery.start_soon(_query, world, rng, world.jobs[job_id], index)
            await trio.sleep(rng.choice([0.003, 0.5, 1.5]))


async def _query(world: World, rng: random.Random, one: dict[str, Any], index: int) -> None:
    with contextlib.suppress(NotSent, NoUsableResponse):
        if rng.random() < 0.3:
            await world.ask(index, "POST", "/work", one)
        else:
            await world.ask(index, "GET", f"/work/{one['name_id']}")


async def slow_state_service(world: World, rng: random.Random, seconds: float) -> None:
    """Answers of the state service take up to 0.5 or 4 s: all of them, those to one controller, or those to watches."""
    alone, reads = rng.choice([None, *NODES[: world.count]]), rng.random() < 0.4
    most = rng.choice([0.5, 4.0])
    world.state.answer_delay_s = lambda source, path: (
        rng.uniform(0.1, most) if alone in (None, source) and (not reads or path.startswith("/changes")) else 0.0
    )
    await trio.sleep(seconds)
    world.state.answer_delay_s = lambda source, path: 0.0


async def isolate_controller(world: World, rng: random.Random, seconds: float) -> None:
    """A controller, mostly the leader, is cut off from the state service and the others, not from workers and users.

    In half of the cases the state service becomes unavailable to everybody before that ends.
    """
    leaders = [i for i, n in world.nodes.items() if n.leader is not None]
    index = rng.choice(leaders if leaders and rng.random() < 0.8 else list(range(world.count)))
    others = ["state", *(n for n in NODES[: world.count] if n != NODES[index])]
    links = {(NODES[index], n) for n in others} | {(n, NODES[index]) for n in others}
    for one, other in sorted(links):
        world.cut(one, other, "hold", both=False)
    if rng.random() < 0.5:
        await trio.sleep(rng.uniform(1.0, 6.0))
        world.state.down = True
    await trio.sleep(seconds)
    world.state.down = False
    await world.restore_links(lambda source, host: (source, host) in links)


# A fault that is listed several times is chosen more often.
FAULTS: list[Fault] = [
    cut_links, cut_links, cut_links, cut_links, hang_machines, stop_controllers,
    restart_controllers, restart_controllers, restart_controllers, repeat_requests, repeat_requests, restart_worker,
    state_outage, state_outage, cloud_outage, terminate_machine, delay_transactions, delay_transactions,
    duplicate_reports, duplicate_reports, fail_inbound, fail_inbound, slow_state_service, slow_state_service,
    isolate_controller, isolate_controller, isolate_controller, fail_outbound, fail_outbound,
    lose_transaction_answers, lose_transaction_answers, replay_old_reports, replay_old_reports,
    cancel_running_jobs, cancel_running_jobs, query_all_controllers, query_all_controllers,
]  # fmt: skip


MIXES: dict[str, list[Fault]] = {
    "all": FAULTS,
    # Machines hang with cancelled tasks while leaders change and the state service is slow or unavailable.
    "hangs": (
        FAULTS + [cancel_running_jobs] * 16 + [hang_machines] * 6
        + [state_outage, slow_state_service, isolate_controller, restart_controllers, duplicate_reports] * 4
    ),
}  # fmt: skip


@dataclass
class RandomScenario:
    """The scenario of a seed. `mix`: which faults are likely (a key of `MIXES`).

    The order of the random draws, and the lists of faults, determine the scenario of a seed: a change to
    either changes the scenarios of all seeds.
    """

    seed: int
    mix: str = "all"
    accepted: set[str] = field(default_factory=set)

    async def scenario(self, world: World) -> None:
        rng = random.Random(self.seed)
        for zone in ZONES:
            for _ in range(rng.randint(1, 2)):
                world.cloud.create(zone)
        if rng.random() < 0.6:
            world.cloud.capacity.clear()
        jobs = list(draw_jobs(rng))
        faults = sorted(
            (rng.uniform(FAULTS_FROM_S, FAULTS_TO_S), rng.uniform(2.0, 3 * LEASE_S), rng.choice(MIXES[self.mix]))
            for _ in range(rng.randint(2, 5))
        )  # fmt: skip
        if rng.random() < 0.5:  # another fault while the first one lasts
            at, seconds, _ = faults[0]
            faults.append((at + rng.uniform(0.0, 5.0), rng.uniform(2.0, 1.5 * CANCEL_S), rng.choice(MIXES[self.mix])))
        async with trio.open_nursery() as nursery:
            for one in jobs:
                nursery.start_soon(self.act_as_user, world, rng, one, rng.uniform(6.0, 30.0))
            for at, seconds, fault in faults:
                nursery.start_soon(self.inject, world, rng, at, seconds, fault)
        await trio.sleep(QUIET_S)
        await self.check_all_known(world, jobs)

    async def check_all_known(self, world: World, jobs: list[dict[str, Any]]) -> None:
        """Check that every controller knows every accepted job, soon after all faults are over."""
        for one in (j for j in jobs if j["name_id"] in self.accepted):
            for index in sorted(world.nodes):
                status, _ = await world.ask(index, "GET", f"/work/{one['name_id']}")
                if status != 200:
                    world.observer.violations.append(f"forgotten {one['name_id']}: {status} of {NODES[index]}")

    async def inject(self, world: World, rng: random.Random, at: float, seconds: float, fault: Fault) -> None:
        await trio.sleep(at)
        await fault(world, rng, seconds)

    async def act_as_user(self, world: World, rng: random.Random, one: dict[str, Any], at: float) -> None:
        """Submit a job until it is accepted, then poll it, and perhaps cancel it."""
        await trio.sleep(at)
        if not await self.request(world, rng, one, lambda index: world.submit(one, index)):
            return
        self.accepted.add(one["name_id"])
        cancels = trio.current_time() + rng.uniform(5.0, 25.0) if rng.random() < 0.3 else 1e9
        for _ in range(6):
            await trio.sleep(rng.uniform(2.0, 6.0))
            path = f"/work/{one['name_id']}"
            if trio.current_time() > cancels:
                await self.request(world, rng, one, lambda index: world.ask(index, "POST", path + "/cancel"))
            await self.request(world, rng, one, lambda index: world.ask(index, "GET", path))

    async def request(
        self, world: World, rng: random.Random, one: dict[str, Any], call: Callable[[int], Awaitable[tuple[int, Any]]]
    ) -> bool:
        """Make up to five attempts at random controllers, as a load balancer would; returns whether one succeeded."""
        for _ in range(5):
            if world.nodes:
                with contextlib.suppress(NotSent, NoUsableResponse):
                    status, _ = await call(rng.choice(sorted(world.nodes)))
                    if status in (200, 201):
                        return True
            await trio.sleep(1.0)
        return False


def run_seed(seed: int, mix: str = "all") -> str:
    """Run the scenario of this seed; returns what failed, or an empty string."""
    count = random.Random(seed).choice([3, 3, 3, 5, 7])
    try:
        run_scenario(RandomScenario(seed, mix).scenario, count)
    except BaseExceptionGroup as group:
        return repr(group.exceptions)
    return ""


def failures_by_seed(seeds: range, processes: int, mix: str = "all") -> dict[int, str]:
    """Run the scenarios of these seeds; returns the failures, by seed."""
    with multiprocessing.Pool(processes) as pool:
        failures = pool.imap(partial(run_seed, mix=mix), seeds, 5)
        return {seed: failure for seed, failure in zip(seeds, failures, strict=True) if failure}


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--first", type=int, default=0)
    options.add_argument("--count", type=int, default=100)
    options.add_argument("--processes", type=int, default=6)
    options.add_argument("--mix", choices=sorted(MIXES), default="all")
    args = options.parse_args()
    failures = failures_by_seed(range(args.first, args.first + args.count), args.processes, args.mix)
    for seed, failure in failures.items():
        print(f"seed {seed}: {failure}")
    print(f"{args.count - len(failures)} passed, {len(failures)} failed")
    sys.exit(bool(failures))


if __name__ == "__main__":
    main()
