"""Seven controllers, hundreds of machines: operations are counted, never seconds of the test's own."""

import copy
import random
from typing import Any

import orjson
import pytest
import trio
import trio.testing

from pepperlatch.constants import core as c
from pepperlatch.controller.owner import Owner
from pepperlatch.controller.store import Replica
from pepperlatch.controller.users import UserApi
from pepperlatch.policy import fleet, placement, supply
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.fleet import Bin, Need, Offer
from pepperlatch.policy.model import Job, Machine, Status
from pepperlatch.policy.planner import Planner
from pepperlatch.policy.tuning import Tuning
from pepperlatch.policy.zones import Seen
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request
from pepperlatch.protocol.state import Outcome
from pepperlatch.settings import Objective
from tests.fakes import NODES, ZONES, World, job, run_scenario, settings_of
from tests.test_edges import machine, run_on, spec_of


def planner_of(machines: list[Machine], *jobs: dict[str, Any]) -> Planner:
    params = settings_of(0).params
    params.objectives = [Objective("wait", "x", 250.0)]
    params.teams[0].cpus_max = 1e6
    cluster = Cluster("n", 1, params, 0.0, 15.0, lambda job_id: None)
    cluster.types = {m.type.name: m.type for m in machines}
    cluster.machines = {m.name: m for m in machines}
    for number, body in enumerate(jobs):
        cluster.add_job(wire.convert(body, wire.JobSpec), 10 + number, 0.0, set())
    return Planner(cluster, Tuning())


def test_a_job_looks_at_every_machine_once_not_once_a_task(monkeypatch: pytest.MonkeyPatch) -> None:
    """Seen: 1400 tasks on 400 machines took 1.7 s to place, and submissions waited for it."""
    looks = 0

    def counted(*args: Any) -> Any:
        nonlocal looks
        looks += 1
        return rank(*args)

    rank = placement.rank
    monkeypatch.setattr(placement, "rank", counted)
    machines = [machine(f"n-{n}", ZONES[n % 3]) for n in range(400)]
    planner = planner_of(machines, job(1, pieces=300), job(2, pieces=300))
    planner.place_all(1.0)
    assert sum(len(m.attempts) for m in machines) == 600
    assert looks <= 2 * 400 + 3 * 600
    looks = 0
    planner.cluster.add_job(wire.convert(job(3, pieces=2, cores=8.0), wire.JobSpec), 12, 0.0, set())
    for one in machines:
        one.free_cpus = min(one.free_cpus, 4.0)
    planner.place_all(2.0)
    assert looks == 0, "nobody has room for it"


def test_tasks_that_may_use_spot_machines_go_there_before_they_go_to_their_image() -> None:
    dear, cheap = machine("dear"), machine("cheap", spot=True)
    sweep, board = spec_of(1, loaners=True), spec_of(2, shape="daemon")
    dear.used_image(sweep.image, sweep.image_gb)
    for spec, best in ((sweep, cheap), (board, dear)):
        one = Job(spec, 1, 0.0, False)
        assert placement.Candidates(one, [dear, cheap], ZONES, lambda m: True, 250.0).best() is best
    assert placement.Candidates(Job(sweep, 1, 0.0, False), [dear, cheap], ZONES, lambda m: True, 0.5).best() is dear, (
        "no time to fetch"
    )


def test_small_tasks_leave_large_machines_to_those_that_fit_nowhere_else() -> None:
    """Seen: small alerts on the medium spot machines that hold their image, and large sweeps on dear ordinary ones."""
    large = machine("large", spot=True)
    small = Machine(
        "small", wire.MachineType("m4", 4.0, 0.0, 16.0, 20.0, 1.0, 0.6, 0.2, 9.0, ["a"]), "a", True, "", Status.UP, 0.0
    )
    alert = Job(spec_of(1, loaners=True), 1, 0.0, False)
    large.used_image(alert.spec.image, alert.spec.image_gb)
    assert placement.Candidates(alert, [large, small], ZONES, lambda m: True, 12.0).best() is small
    assert placement.Candidates(alert, [large, small], ZONES, lambda m: True, 0.5).best() is large, "no time to fetch"


def test_replicas_that_fetch_their_image_leave_room_where_it_is_then() -> None:
    """Seen: 42 machines held an image, all full of replicas, and 600 places free where it was not."""
    homes = [machine(f"n-{n}") for n in range(4)]
    for n, home in enumerate(homes):
        run_on(home, Job(spec_of(90 + n, shape="daemon", bundle="other"), 1, 0.0, False), n)
    planner = planner_of(homes, job(1, shape="daemon", pieces=4))
    planner.place_all(1.0)
    assert [len(home.attempts) for home in homes] == [2, 2, 2, 2]


def test_nothing_dear_is_rented_for_patient_work_beyond_a_guarantee() -> None:
    planner = planner_of([machine("full")], job(1, pieces=5, cores=4.0, loaners=True, expected_s=5.0))
    run_on(planner.cluster.machines["full"], Job(spec_of(9, cores=8.0, shape="daemon"), 1, 0.0, False), 0)
    planner.place_all(1.0)
    assert not planner.inside and planner.needs
    assert {offer.spot for offer in planner.rent(1.0)} == {True}
    planner.blocked = {Offer("m8", zone, True): 1e9 for zone in "ab"}
    assert planner.rent(1.0) == [], "it waits for spot machines"
    planner.place_all(240.0)
    assert {offer.spot for offer in planner.rent(240.0)} == {False}, "it would be late"


def test_room_for_replicas_is_rented_where_it_counts_only() -> None:
    """Seen: five dear machines rented one after the other as spare room, none of which was counted as such."""
    dear = wire.MachineType("m64", 64.0, 0.0, 256.0, 20.0, 1.0, 4.0, 1.0, 1.0, ["a", "b"])
    planner = planner_of([machine("full")], job(1, shape="daemon", pieces=16, cores=4.0))
    planner.cluster.types[dear.name] = dear
    board = next(iter(planner.cluster.jobs.values()))
    board.waiting.clear()
    planner.place_all(1.0)
    chosen = planner.rent(1.0)
    assert chosen and {offer.type for offer in chosen} == {"m8"}


def test_guaranteed_work_on_ordinary_machines_only_need_not_wait_for_spare_room() -> None:
    """Seen: a step of two tasks waited 78 s, and its pipeline was late, while room was kept for replicas."""
    for loaners, placed in ((True, 0), (False, 2)):
        home = machine("home")
        planner = planner_of([home], job(1, pieces=2, loaners=loaners), job(8, cores=4.0, shape="daemon", pieces=9))
        board = planner.cluster.jobs["run-000008"]
        board.waiting.clear()
        planner.place_all(1.0)
        assert planner.spare.short() and "run-000001" in planner.inside
        assert len(home.attempts) == placed


def test_nothing_is_rented_in_a_zone_that_is_cut_off() -> None:
    """Seen: 40 machines rented in a zone that was cut off, paid for, and never heard of."""
    machines = [machine(f"n-{n}", "ab"[n % 2]) for n in range(8)]
    planner = planner_of(machines, job(1, pieces=90))
    for one in machines:
        one.free_cpus = 0.0
    planner.look_at_zone("a", Seen(4, 4, False), 100.0)
    planner.place_all(100.0)
    assert {offer.zone for offer in planner.rent(100.0)} == {"b"}
    planner.look_at_zone("a", Seen(4, 0, True), 101.0)
    planner.place_all(101.0)
    assert {offer.zone for offer in planner.rent(101.0)} == {"a"}


def test_idle_machines_go_although_others_wait_for_what_they_are_not() -> None:
    """Seen: 80 idle small machines kept for five minutes, since large tasks waited that fit on none of them."""
    planner = planner_of([machine("idle")], job(1, pieces=2, cores=8.0, memory_gb=64.0, loaners=True))
    idle = planner.cluster.machines["idle"]
    idle.idle_since, idle.seen_at = 0.0, 100.0
    planner.place_all(100.0)
    assert planner.needs and planner.idle(100.0) == [idle]
    planner.cluster.add_job(wire.convert(job(2, cores=8.0, expected_s=0.0), wire.JobSpec), 20, 100.0, set())
    idle.quarantined = True
    planner.place_all(100.0)
    idle.quarantined = False
    assert planner.idle(100.0) == [], "it is waited for"


def test_a_cheap_idle_machine_is_kept_as_much_longer_as_it_is_cheaper() -> None:
    """Seen: cheap machines returned after 30 s, and the next alerts waited 35 s for new ones."""
    dear, cheap = machine("dear"), machine("cheap", spot=True)
    planner = planner_of([dear, cheap])
    dear.idle_since = cheap.idle_since = 0.0
    assert planner.idle(70.0) == [dear]
    assert planner.idle(30.0 * 1.0 / 0.3 + 1.0) == [dear, cheap]


def test_in_a_crowd_what_is_late_anyway_yields_to_what_is_not() -> None:
    """Seen: a burst that no fleet could serve in time, and strict order of arrival made every job late."""
    planner = planner_of([machine("full")], *(job(n, pieces=6) for n in range(3)))
    planner.cluster.params.objectives = [Objective("wait", "x", 8.0), Objective("wait", "x", 60.0)]
    late, later, fresh = planner.cluster.jobs.values()
    late.since, later.since, fresh.since = 0.0, 55.0, 98.0
    assert planner.ordered(100.0) == [fresh, later, late], "also before the one within the guarantee"
    assert planner.ordered(113.0)[0] is later, "two seconds from its next aim"
    later.ran = True
    assert planner.ordered(100.0) == [fresh, late, later], "what has run keeps its place behind the guaranteed"
    assert planner.ordered(121.0)[0] is late, "twice its longest aim"


def drawn_needs(rng: random.Random) -> list[Need]:
    """Jobs of all kinds that wait, some for little, some bound to a zone, a type or spot machines."""
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
        needs.append(Need(waits, rng.randint(0, 9), {}, rng.random() < 0.2, rng.choice([1, 3])))
    return needs


def test_room_that_is_coming_is_reckoned_as_if_every_pair_was_looked_at() -> None:
    """Hundreds boot while hundreds of jobs wait: it is found out sooner which do not fit, and nothing else changes."""
    for seed in range(300):
        rng = random.Random(seed)
        needs, plain = drawn_needs(rng), drawn_needs(random.Random(seed))
        kinds = [("m8", 8.0, 0.0, 32.0), ("g2", 24.0, 2.0, 96.0), ("m8", 3.0, 0.0, 2.0)]
        bins = [
            Bin(Offer(kind[0], rng.choice(ZONES), rng.random() < 0.4), *kind[1:])
            for kind in (rng.choice(kinds) for _ in range(rng.randint(0, 25)))
        ]
        least, alike = fleet.smallest(needs), copy.deepcopy(bins)
        wanted = [room.would_take(needs, least) for room in copy.deepcopy(bins)]
        fleet.fill_all(bins, needs, least)
        for room, said in zip(copy.deepcopy(alike), wanted, strict=True):
            taken = 0.0
            for need in plain:
                places = room.take(need)[1]
                taken += places * (need.job.spec.cpus + need.job.spec.gpus)
            assert taken == said
        for room in alike:
            for need in plain:
                count, _ = room.take(need)
                if count:
                    need.count -= count
                    need.spread[room.offer.zone] = need.spread.get(room.offer.zone, 0) + count
        assert [(n.count, n.spread) for n in needs] == [(n.count, n.spread) for n in plain], seed
        assert [(r.cpus, r.gpus, r.memory_gb) for r in bins] == [(r.cpus, r.gpus, r.memory_gb) for r in alike]


def test_places_that_come_free_are_reckoned_as_if_all_were_looked_at() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        machines = [machine(f"n-{n}", rng.choice(ZONES), rng.random() < 0.4) for n in range(6)]
        planner = planner_of(machines)
        for n in range(rng.randint(0, 20)):
            spec = spec_of(900 + n, cores=rng.choice([1.0, 2.0]), expected_s=rng.choice([3.0, 60.0, 400.0]))
            run_on(rng.choice(machines), Job(spec, 1, 0.0, False), 0)
        for one in machines:
            one.seen_at = one.reached_at = one.beat_at = 100.0
            for attempt in one.attempts.values():
                attempt.running_at = rng.choice([None, 40.0, 99.0])
        needs = drawn_needs(rng)
        plain = copy.deepcopy(needs)
        places = [
            supply.Place(a.machine, a.job.spec, supply.remaining_s(a, 100.0))
            for m in planner.usable(100.0) for a in m.attempts.values()
            if a.job.spec.kind is wire.Kind.ARRAY and a.wanted
        ]  # fmt: skip
        places.sort(key=supply.SOONEST)
        for need in plain:
            if need.job.spec.kind is wire.Kind.ARRAY and need.count > 0:
                supply.absorb(need, places, planner._patience_s(need.job, 100.0))
        planner._count_on_finishing(needs, 100.0)
        assert [n.count for n in needs] == [n.count for n in plain], seed


def test_idle_machines_are_returned_one_by_one_the_poorest_first() -> None:
    """Seen: all idle machines were judged against the same sum, returned together, and rented again."""
    idle = [machine(f"n-{n}") for n in range(4)]
    planner = planner_of([*idle, machine("busy")], job(1, shape="daemon", pieces=5, cores=4.0, pull_gb=9.0))
    planner.cluster.params.objectives = [Objective("wait", "x", 2.0)]
    board = next(iter(planner.cluster.jobs.values()))
    board.waiting.clear()
    for one in idle:
        one.idle_since = 0.0
    idle[0].used_image(board.spec.image, board.spec.image_gb)
    run_on(planner.cluster.machines["busy"], Job(spec_of(9, cores=8.0), 1, 0.0, False), 0)
    for one in planner.cluster.machines.values():
        one.seen_at = one.reached_at = one.beat_at = 100.0
    planner.place_all(100.0)
    assert planner.idle(100.0) == [idle[1]], "five places are wanted, and those where the image is"


def test_seven_nodes_lose_four_and_go_on() -> None:
    async def scenario(world: World) -> None:
        board, sweep = job(1, shape="daemon", pieces=4), job(2, pieces=6)
        await world.submit(board)
        await world.submit(sweep, 5)
        await world.until(lambda: world.running(board) == 4, 40)
        for index in [world.leader(), *[i for i in range(7) if i != world.leader()][:3]]:
            world.kill(index)
        late = job(3)
        await world.submit(late)
        await world.until(lambda: all(world.state.job_state(f"run-00000{n}") == "done" for n in (2, 3)), 90)
        assert world.observer.starts["run-000001"] == 4

    run_scenario(scenario, 7)


def test_hundreds_of_machines_are_fenced_a_bounded_number_at_once() -> None:
    async def scenario(world: World) -> None:
        for number in range(200):
            world.cloud.create(ZONES[number % 3])
        await world.until(lambda: len([k for k in world.state.keys if k.startswith("f/machine/")]) == 200, 40)
        flying = most = asked = 0
        send = world.send

        async def counted(source: str, addr: str, method: str, path: str, body: Any, deadline: float) -> Any:
            nonlocal flying, most, asked
            fences = path == "/commands" and not body["orders"]
            flying, asked = flying + fences, asked + fences
            most = max(most, flying)
            try:
                return await send(source, addr, method, path, body, deadline)
            finally:
                flying -= fences

        world.send = counted  # type: ignore[method-assign]
        world.kill(world.leader())
        await world.until(
            lambda: any(n.leader and n.leader.ready and not n.leader.cluster.unaccounted for n in world.nodes.values()),
            6,
        )
        assert 0 < most <= c.FENCE_AT_ONCE
        assert asked <= 200, "one request a machine"

    run_scenario(scenario)


def test_a_leader_fences_through_others_what_it_cannot_reach() -> None:
    """Seen: a new leader apart from a zone waited 12 s for that zone's reports to be passed on."""

    async def scenario(world: World) -> None:
        for zone in ZONES:
            world.cloud.create(zone)
        await world.until(lambda: len([k for k in world.state.keys if k.startswith("f/machine/")]) == 3, 40)
        old = world.leader()
        bridge = (old + 1) % 3
        next_leader = (old + 2) % 3
        world.nodes[bridge].leadership.yield_until = 1e9
        far = world.workers[0].name
        world.cut(NODES[next_leader], far, "refuse")
        world.workers[0].reports_to = bridge
        world.kill(old)
        await world.until(lambda: next_leader in world.nodes and world.nodes[next_leader].leader is not None, 6)
        leader = world.nodes[next_leader].leader
        await world.until(lambda: leader is not None and leader.ready and not leader.cluster.unaccounted, 2)
        assert leader is not None and far in leader.cluster.relayed(trio.current_time())

    run_scenario(scenario)


def test_a_machine_that_died_while_nobody_led_delays_older_tasks_for_seconds_only() -> None:
    """Seen: 12 s, since the others were asked about it late, and one after the other."""

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


def test_bodies_and_reports_of_the_largest_size_are_taken_and_no_larger_ones() -> None:
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
        assert answer.status == 200 and len(answer.body["orders"]) == count, "all are to be reaped"
        beat["pieces"][0]["status"] = "dancing"
        assert (await node.handle(Request("POST", "/agent/beat", orjson.dumps(beat)))).status == 400

    run_scenario(scenario)


def test_what_cannot_be_taken_in_time_is_answered_at_once() -> None:
    async def main() -> None:
        class Watched:
            replica = Replica()

        state = SlowState()
        users = UserApi(settings_of(0), Watched(), state, lambda: 0.0, lambda job_id: None)  # type: ignore[arg-type]
        users.types = [machine("m").type]
        async with trio.open_nursery() as nursery:
            for number in range(state.share):
                nursery.start_soon(users.submit, wire_body(number))
            await trio.sleep(0.1)
            with trio.fail_after(0.05):
                answer = await users.submit(wire_body(900))
            assert answer.status == 503 and "Retry-After" in answer.headers
            nursery.cancel_scope.cancel()
        owner = Owner(lambda: None, 0.1)
        for _ in range(c.QUEUE_MOST):
            assert not owner.full()
            owner.post(lambda: None)
        assert owner.full()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class SlowState:
    """Answers transactions at once, but the first after two seconds."""

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


def test_one_slow_transaction_holds_up_no_other_submission() -> None:
    async def main() -> None:
        class Watched:
            replica = Replica()

        users = UserApi(settings_of(0), Watched(), SlowState(), lambda: 0.0, lambda job_id: None)  # type: ignore[arg-type]
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


def test_a_crowd_that_nobody_can_serve_is_looked_at_rarely_and_a_newcomer_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rounds are slow here: without a rest by their length, looks for what time alone may change took a whole share."""

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
