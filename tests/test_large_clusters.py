"""Seven controllers and hundreds of machines: tests count operations or virtual time, never their own run time."""

import copy
import random
from typing import Any

import orjson
import pytest
import trio
import trio.testing

from pepperlatch.constants import core as c
from pepperlatch.controller.command_loop import CommandLoop
from pepperlatch.controller.store import Replica
from pepperlatch.controller.users import UserApi
from pepperlatch.policy import fleet, placement, supply
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.fleet import Bin, Demand, Offer
from pepperlatch.policy.model import Job, Machine, Size, Status
from pepperlatch.policy.operator_settings import OperatorSettings
from pepperlatch.policy.planner import Planner
from pepperlatch.policy.zones import ZoneObservation
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request
from pepperlatch.protocol.state import Outcome
from pepperlatch.settings import Objective
from tests.fakes import NODES, ZONES, World, job, run_scenario, settings_of
from tests.test_edges import machine, run_on, spec_of


def planner_of(machines: list[Machine], *jobs: dict[str, Any]) -> Planner:
    """A planner for these jobs and machines, of a team with a limit that no test reaches."""
    params = settings_of(0).params
    params.objectives = [Objective("wait", "x", 250.0)]
    params.teams[0].cpus_max = 1e6
    cluster = Cluster("n", 1, params, 0.0, 15.0, lambda job_id: None)
    cluster.types = {m.type.name: m.type for m in machines}
    cluster.machines = {m.name: m for m in machines}
    for number, body in enumerate(jobs):
        cluster.add_job(wire.convert(body, wire.JobSpec), 10 + number, 0.0, set())
    return Planner(cluster, OperatorSettings())


def test_placing_a_job_ranks_every_machine_once_not_once_per_task(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: placing 1400 tasks on 400 machines took 1.7 s, and submissions waited for it."""
    rankings = 0

    def counting(*args: Any) -> Any:
        nonlocal rankings
        rankings += 1
        return rank(*args)

    rank = placement.placement_rank
    monkeypatch.setattr(placement, "placement_rank", counting)
    machines = [machine(f"n-{n}", ZONES[n % 3]) for n in range(400)]
    planner = planner_of(machines, job(1, pieces=300), job(2, pieces=300))
    planner.place_all(1.0)
    assert sum(len(m.attempts) for m in machines) == 600
    assert rankings <= 2 * 400 + 3 * 600
    rankings = 0
    planner.cluster.add_job(wire.convert(job(3, pieces=2, cores=8.0), wire.JobSpec), 12, 0.0, set())
    for one in machines:
        one.free_cpus = min(one.free_cpus, 4.0)
    planner.place_all(2.0)
    assert rankings == 0, "no machine has room for it"


def test_tasks_that_may_use_spot_machines_prefer_them_to_machines_with_their_image() -> None:
    ordinary, spot = machine("dear"), machine("cheap", spot=True)
    sweep, service = spec_of(1, loaners=True), spec_of(2, shape="daemon")
    ordinary.used_image(sweep.image, sweep.image_gb)
    for spec, best in ((sweep, spot), (service, ordinary)):
        one = Job(spec, 1, 0.0, False)
        assert placement.Candidates(one, [ordinary, spot], ZONES, lambda m: True, 250.0).best() is best
    assert (
        placement.Candidates(Job(sweep, 1, 0.0, False), [ordinary, spot], ZONES, lambda m: True, 0.5).best() is ordinary
    ), "no time to fetch the image"


def test_small_tasks_leave_large_machines_to_tasks_that_fit_nowhere_else() -> None:
    """Failure: small tasks took medium spot machines with their image, and large ones expensive ordinary machines."""
    large = machine("large", spot=True)
    small = Machine(
        "small", wire.MachineType("m4", 4.0, 0.0, 16.0, 20.0, 1.0, 0.6, 0.2, 9.0, ["a"]), "a", True, "", Status.UP, 0.0
    )
    small_task = Job(spec_of(1, loaners=True), 1, 0.0, False)
    large.used_image(small_task.spec.image, small_task.spec.image_gb)
    assert placement.Candidates(small_task, [large, small], ZONES, lambda m: True, 12.0).best() is small
    assert placement.Candidates(small_task, [large, small], ZONES, lambda m: True, 0.5).best() is large, (
        "no time to fetch"
    )


def test_replicas_that_fetch_their_image_are_spread_over_several_machines() -> None:
    """Failure: all 42 machines that held an image were full of replicas, and 600 places were free elsewhere."""
    machines = [machine(f"n-{n}") for n in range(4)]
    for n, host in enumerate(machines):
        run_on(host, Job(spec_of(90 + n, shape="daemon", bundle="other"), 1, 0.0, False), n)
    planner = planner_of(machines, job(1, shape="daemon", pieces=4))
    planner.place_all(1.0)
    assert [len(host.attempts) for host in machines] == [2, 2, 2, 2]


def test_no_ordinary_machine_is_rented_for_work_with_slack_beyond_its_guarantee() -> None:
    planner = planner_of([machine("full")], job(1, pieces=5, cores=4.0, loaners=True, expected_s=5.0))
    run_on(planner.cluster.machines["full"], Job(spec_of(9, cores=8.0, shape="daemon"), 1, 0.0, False), 0)
    planner.place_all(1.0)
    assert not planner.within_guarantee and planner.demands
    assert {offer.spot for offer in planner.offers_to_rent(1.0)} == {True}
    planner.blocked_until = {Offer("m8", zone, True): 1e9 for zone in "ab"}
    assert planner.offers_to_rent(1.0) == [], "it waits for spot capacity"
    planner.place_all(240.0)
    assert {offer.spot for offer in planner.offers_to_rent(240.0)} == {False}, "otherwise it would be late"


def test_spare_room_is_rented_only_on_machines_where_it_counts() -> None:
    """Failure: five expensive machines were rented one by one as spare room, and none of them counted as such."""
    expensive = wire.MachineType("m64", 64.0, 0.0, 256.0, 20.0, 1.0, 4.0, 1.0, 1.0, ["a", "b"])
    planner = planner_of([machine("full")], job(1, shape="daemon", pieces=16, cores=4.0))
    planner.cluster.types[expensive.name] = expensive
    service = next(iter(planner.cluster.jobs.values()))
    service.waiting.clear()
    planner.place_all(1.0)
    chosen = planner.offers_to_rent(1.0)
    assert chosen and {offer.type for offer in chosen} == {"m8"}


def test_guaranteed_work_that_needs_ordinary_machines_may_use_spare_room() -> None:
    """Failure: a job of two tasks waited 78 s, and its pipeline was late, while spare room was kept for replicas."""
    for loaners, placed in ((True, 0), (False, 2)):
        host = machine("host")
        planner = planner_of([host], job(1, pieces=2, loaners=loaners), job(8, cores=4.0, shape="daemon", pieces=9))
        service = planner.cluster.jobs["run-000008"]
        service.waiting.clear()
        planner.place_all(1.0)
        assert planner.reserve.is_short() and "run-000001" in planner.within_guarantee
        assert len(host.attempts) == placed


def test_nothing_is_rented_in_a_zone_that_is_cut_off() -> None:
    """Failure: 40 machines were rented in a zone that was cut off; they were paid for and never reported."""
    machines = [machine(f"n-{n}", "ab"[n % 2]) for n in range(8)]
    planner = planner_of(machines, job(1, pieces=90))
    for one in machines:
        one.free_cpus = 0.0
    planner.observe_zone("a", ZoneObservation(4, 4, False), 100.0)
    planner.place_all(100.0)
    assert {offer.zone for offer in planner.offers_to_rent(100.0)} == {"b"}
    planner.observe_zone("a", ZoneObservation(4, 0, True), 101.0)
    planner.place_all(101.0)
    assert {offer.zone for offer in planner.offers_to_rent(101.0)} == {"a"}


def test_idle_machines_are_returned_although_tasks_wait_that_do_not_fit_on_them() -> None:
    """Failure: 80 idle small machines were kept for five minutes, since large tasks waited that fit on none of them."""
    planner = planner_of([machine("idle")], job(1, pieces=2, cores=8.0, memory_gb=64.0, loaners=True))
    idle = planner.cluster.machines["idle"]
    idle.idle_since, idle.last_report_at = 0.0, 100.0
    planner.place_all(100.0)
    assert planner.demands and planner.machines_to_return(100.0) == [idle]
    planner.cluster.add_job(wire.convert(job(2, cores=8.0, expected_s=0.0), wire.JobSpec), 20, 100.0, set())
    idle.quarantined = True
    planner.place_all(100.0)
    idle.quarantined = False
    assert planner.machines_to_return(100.0) == [], "a waiting task fits on it"


def test_an_idle_machine_is_kept_the_longer_the_cheaper_it_is() -> None:
    """Failure: cheap machines were returned after 30 s, and the next tasks waited 35 s for new ones."""
    ordinary, spot = machine("dear"), machine("cheap", spot=True)
    planner = planner_of([ordinary, spot])
    ordinary.idle_since = spot.idle_since = 0.0
    assert planner.machines_to_return(70.0) == [ordinary]
    assert planner.machines_to_return(30.0 * 1.0 / 0.3 + 1.0) == [ordinary, spot]


def test_under_overload_jobs_that_are_already_late_yield_to_those_that_are_not() -> None:
    """Failure: in a burst beyond what any fleet could serve in time, strict order of arrival made every job late."""
    planner = planner_of([machine("full")], *(job(n, pieces=6) for n in range(3)))
    planner.cluster.params.objectives = [Objective("wait", "x", 8.0), Objective("wait", "x", 60.0)]
    late, later, fresh = planner.cluster.jobs.values()
    late.since, later.since, fresh.since = 0.0, 55.0, 98.0
    assert planner.placement_order(100.0) == [fresh, later, late], "also before the job within the guarantee"
    assert planner.placement_order(113.0)[0] is later, "two seconds before its next objective is missed"
    later.ran = True
    assert planner.placement_order(100.0) == [fresh, late, later], "what has run keeps its place behind the guaranteed"
    assert planner.placement_order(121.0)[0] is late, "it has waited twice its longest objective"


def random_needs(rng: random.Random) -> list[Demand]:
    """Waiting jobs of all kinds, some small, some bound to a zone or a machine type, some allowed on spot machines."""
    needs = []
    for n in range(rng.randint(1, 12)):
        spec = spec_of(
            n, shape=rng.choice(["sweep", "sweep", "group", "daemon"]), pieces=rng.randint(1, 9),
            cores=rng.choice([0.5, 1.0, 2.0, 3.3, 8.0, 9.0]), gpus=rng.choice([0.0, 0.0, 1.0]),
            memory_gb=rng.choice([0.0, 1.0, 30.0]), yard=rng.choice([None, None, "b"]),
            builds=rng.choice([None, None, ["m8"], ["g2"]]), loaners=rng.random() < 0.5,
            one_zone=rng.random() < 0.3, apart=rng.random() < 0.3, expected_s=rng.choice([0.0, 5.0, 60.0]),
        )  # fmt: skip
        waited = rng.choice([0.0, 40.0, 200.0])
        waits = Job(spec, n, 100.0 - waited, False)
        needs.append(Demand(waits, rng.randint(0, 9), {}, rng.random() < 0.2, rng.choice([1, 3])))
    return needs


def test_room_on_booting_machines_is_assigned_as_if_every_pair_was_compared() -> None:
    """Of hundreds of booting machines and waiting jobs, pairs that do not fit are skipped early, at the same result."""
    for seed in range(300):
        rng = random.Random(seed)
        needs, reference = random_needs(rng), random_needs(random.Random(seed))
        kinds = [("m8", 8.0, 0.0, 32.0, 60_000.0), ("g2", 24.0, 2.0, 96.0, 60_000.0), ("m8", 3.0, 0.0, 2.0, 300.0)]
        bins = [
            Bin(Offer(kind[0], rng.choice(ZONES), rng.random() < 0.4), Size(*kind[1:]))
            for kind in (rng.choice(kinds) for _ in range(rng.randint(0, 25)))
        ]
        least, reference_bins = fleet.smallest_task(needs), copy.deepcopy(bins)
        wanted = [room.would_take(needs, least) for room in copy.deepcopy(bins)]
        fleet.fill_all(bins, needs, least)
        for room, expected in zip(copy.deepcopy(reference_bins), wanted, strict=True):
            taken = 0.0
            for need in reference:
                places = room.take(need)[1]
                taken += places * (need.job.spec.cpus + need.job.spec.gpus)
            assert taken == expected
        for room in reference_bins:
            for need in reference:
                count, _ = room.take(need)
                if count:
                    need.count -= count
                    need.tasks_per_zone[room.offer.zone] = need.tasks_per_zone.get(room.offer.zone, 0) + count
        assert [(n.count, n.tasks_per_zone) for n in needs] == [(n.count, n.tasks_per_zone) for n in reference], seed
        assert [r.free for r in bins] == [r.free for r in reference_bins]


def test_places_that_become_free_are_assigned_as_if_all_were_compared() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        machines = [machine(f"n-{n}", rng.choice(ZONES), rng.random() < 0.4) for n in range(6)]
        planner = planner_of(machines)
        for n in range(rng.randint(0, 20)):
            spec = spec_of(900 + n, cores=rng.choice([1.0, 2.0]), expected_s=rng.choice([3.0, 60.0, 400.0]))
            run_on(rng.choice(machines), Job(spec, 1, 0.0, False), 0)
        for one in machines:
            one.last_report_at = one.reached_at = one.heartbeat_at = 100.0
            for attempt in one.attempts.values():
                attempt.running_at = rng.choice([None, 40.0, 99.0])
        needs = random_needs(rng)
        reference = copy.deepcopy(needs)
        places = [
            supply.FinishingSlot(a.machine, a.job.spec, supply.remaining_s(a, 100.0))
            for m in planner.usable_machines(100.0) for a in m.attempts.values()
            if a.job.spec.kind is wire.Kind.ARRAY and a.wanted
        ]  # fmt: skip
        places.sort(key=supply.BY_FREE_TIME)
        for need in reference:
            if need.job.spec.kind is wire.Kind.ARRAY and need.count > 0:
                supply.assign_finishing_slots(need, places, planner._max_slot_wait_s(need.job, 100.0))
        planner._assign_finishing_slots(needs, 100.0)
        assert [n.count for n in needs] == [n.count for n in reference], seed


def test_idle_machines_are_returned_one_by_one_the_least_useful_first() -> None:
    """Failure: all idle machines were judged against the same total, returned together, and rented again."""
    idle = [machine(f"n-{n}") for n in range(4)]
    planner = planner_of([*idle, machine("busy")], job(1, shape="daemon", pieces=5, cores=4.0, pull_gb=9.0))
    planner.cluster.params.objectives = [Objective("wait", "x", 2.0)]
    service = next(iter(planner.cluster.jobs.values()))
    service.waiting.clear()
    for one in idle:
        one.idle_since = 0.0
    idle[0].used_image(service.spec.image, service.spec.image_gb)
    run_on(planner.cluster.machines["busy"], Job(spec_of(9, cores=8.0), 1, 0.0, False), 0)
    for one in planner.cluster.machines.values():
        one.last_report_at = one.reached_at = one.heartbeat_at = 100.0
    planner.place_all(100.0)
    assert planner.machines_to_return(100.0) == [idle[1]], "five places are wanted, and also those where the image is"


def test_the_remaining_three_of_seven_nodes_go_on() -> None:
    async def scenario(world: World) -> None:
        service, sweep = job(1, shape="daemon", pieces=4), job(2, pieces=6)
        await world.submit(service)
        await world.submit(sweep, 5)
        await world.until(lambda: world.running(service) == 4, 40)
        for index in [world.leader(), *[i for i in range(7) if i != world.leader()][:3]]:
            world.kill(index)
        late = job(3)
        await world.submit(late)
        await world.until(lambda: all(world.state.job_state(f"run-00000{n}") == "done" for n in (2, 3)), 90)
        assert world.observer.starts["run-000001"] == 4

    run_scenario(scenario, 7)


def test_hundreds_of_machines_are_fenced_a_bounded_number_at_a_time() -> None:
    async def scenario(world: World) -> None:
        for number in range(200):
            world.cloud.create(ZONES[number % 3])
        await world.until(lambda: len([k for k in world.state.keys if k.startswith("f/machine/")]) == 200, 40)
        in_flight = most = asked = 0
        send = world.send

        async def counting(source: str, addr: str, method: str, path: str, body: Any, deadline: float) -> Any:
            nonlocal in_flight, most, asked
            fences = path == "/commands" and not body["orders"]
            in_flight, asked = in_flight + fences, asked + fences
            most = max(most, in_flight)
            try:
                return await send(source, addr, method, path, body, deadline)
            finally:
                in_flight -= fences

        world.send = counting  # type: ignore[method-assign]
        world.kill(world.leader())
        await world.until(
            lambda: any(n.leader and n.leader.ready and not n.leader.cluster.unverified for n in world.nodes.values()),
            6,
        )
        assert 0 < most <= c.MAX_CONCURRENT_FENCES
        assert asked <= 200, "one request per machine"

    run_scenario(scenario)


def test_a_leader_fences_a_machine_that_it_cannot_reach_through_other_nodes() -> None:
    """Failure: a new leader that was cut off from a zone waited 12 s for reports of that zone to be forwarded."""

    async def scenario(world: World) -> None:
        for zone in ZONES:
            world.cloud.create(zone)
        await world.until(lambda: len([k for k in world.state.keys if k.startswith("f/machine/")]) == 3, 40)
        old = world.leader()
        bridge = (old + 1) % 3
        next_leader = (old + 2) % 3
        world.nodes[bridge].leadership.no_election_until = 1e9
        far = world.workers[0].name
        world.cut(NODES[next_leader], far, "refuse")
        world.workers[0].reports_to = bridge
        world.kill(old)
        await world.until(lambda: next_leader in world.nodes and world.nodes[next_leader].leader is not None, 6)
        leader = world.nodes[next_leader].leader
        await world.until(lambda: leader is not None and leader.ready and not leader.cluster.unverified, 2)
        assert leader is not None and far in leader.cluster.machines_needing_forwarding(trio.current_time())

    run_scenario(scenario)


def test_a_machine_that_died_while_nobody_led_delays_tasks_only_for_seconds() -> None:
    """Failure: the delay was 12 s, since the other controllers were asked about the machine late and one by one."""

    async def scenario(world: World) -> None:
        for number in range(6):
            world.cloud.create(ZONES[number % 3])
        await world.until(lambda: len([k for k in world.state.keys if k.startswith("f/machine/")]) == 6, 40)
        world.kill(world.leader())
        world.workers[0].up = False
        world.workers[0].terminated = True
        one = job(1)
        await world.submit(one)
        await world.until(lambda: world.running(one) == 2, 9)

    run_scenario(scenario)


def test_bodies_and_reports_of_the_largest_size_are_accepted() -> None:
    async def scenario(world: World) -> None:
        one = job(1)
        one["note"] = "x" * (c.MAX_BODY_BYTES - len(orjson.dumps({**one, "note": ""})))
        world.jobs["run-000001"] = one
        node = world.nodes[world.leader()]
        assert (await node.handle(Request("POST", "/work", orjson.dumps(one)))).status == 201
        world.cloud.create("a")
        await world.until(lambda: len([k for k in world.state.keys if k.startswith("f/machine/")]) > 0, 40)
        row = {"piece": "run-009999/00000", "try": 2**40, "status": "ended", "cause": "halted"}
        count = (c.MAX_BODY_BYTES - 400) // (len(orjson.dumps(row)) + 1)
        beat = {**world.workers[0].report(), "tally": 10**6, "baton": node.leader.term.token if node.leader else 0}
        beat["pieces"] = [{**row, "piece": f"run-009999/{n}"} for n in range(count)]
        body = orjson.dumps(beat)
        assert c.MAX_BODY_BYTES - 6000 < len(body) <= c.MAX_BODY_BYTES
        answer = await node.handle(Request("POST", "/agent/beat", body))
        assert answer.status == 200 and len(answer.body["orders"]) == count, "there is one order to reap each task"
        beat["pieces"][0]["status"] = "dancing"
        assert (await node.handle(Request("POST", "/agent/beat", orjson.dumps(beat)))).status == 400

    run_scenario(scenario)


def test_a_submission_that_cannot_be_written_in_time_is_refused_at_once() -> None:
    async def main() -> None:
        class StateWatcher:
            replica = Replica()

        state = SlowState()
        users = UserApi(settings_of(0), StateWatcher(), state, lambda: 0.0, lambda job_id: None)  # type: ignore[arg-type]
        users.types = [machine("m").type]
        async with trio.open_nursery() as nursery:
            for number in range(state.share):
                nursery.start_soon(users.submit, wire_body(number))
            await trio.sleep(0.1)
            with trio.fail_after(0.05):
                answer = await users.submit(wire_body(900))
            assert answer.status == 503 and "Retry-After" in answer.headers
            nursery.cancel_scope.cancel()
        command_loop = CommandLoop(lambda: None, 0.1)
        for _ in range(c.MAX_QUEUE_COMMANDS):
            assert not command_loop.is_full()
            command_loop.enqueue(lambda: None)
        assert command_loop.is_full()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class SlowState:
    """A state service that answers the first transaction after 1.9 s and all others at once.

    `share`: how many writes it says may be made within any time.
    """

    share = 5

    def __init__(self) -> None:
        self.asked = 0

    def writes_within(self, seconds: float) -> int:
        return self.share

    async def txn(self, conditions: list[Any], writes: list[Any], seconds: float = 1.5) -> Outcome:
        self.asked += 1
        if self.asked == 1:
            await trio.sleep(1.9)
        return Outcome(self.asked)


def test_one_slow_transaction_delays_no_other_submission() -> None:
    async def main() -> None:
        class StateWatcher:
            replica = Replica()

        users = UserApi(settings_of(0), StateWatcher(), SlowState(), lambda: 0.0, lambda job_id: None)  # type: ignore[arg-type]
        users.types = [machine("m").type]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(users.create_loop)
            nursery.start_soon(users.submit, wire_body(1))
            await trio.sleep(0.1)
            with trio.fail_after(0.5):
                assert (await users.submit(wire_body(2))).status == 201
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def wire_body(number: int) -> bytes:
    return orjson.dumps(job(number))


def test_jobs_without_room_are_planned_rarely_and_a_new_job_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rounds are slow here: without pauses in proportion to them, planning took the whole CPU share for nothing."""

    async def scenario(world: World) -> None:
        world.cloud.capacity.clear()
        for number in range(20):
            await world.submit(job(number, pieces=20))
        await trio.sleep(20.0)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        rounds: list[float] = []
        place_all = Planner.place_all

        def slow(planner: Planner, now: float) -> None:
            place_all(planner, now)
            trio.lowlevel.current_clock().jump(0.3)  # type: ignore[attr-defined]
            rounds.append(now)

        monkeypatch.setattr(Planner, "place_all", slow)
        began = trio.current_time()
        await trio.sleep(60.0)
        assert len(rounds) * 0.3 < 0.08 * (trio.current_time() - began)
        sent = trio.current_time()
        await world.submit(job(99, urgency="urgent"))
        await world.until(lambda: "run-000099" in leader.cluster.jobs, 2)
        await trio.sleep(2.0)
        assert any(sent < now < sent + 1.5 for now in rounds)

    run_scenario(scenario)
