"""Loss and return of a zone: which controller takes its reports, what is kept, and what the next leader knows."""

import random
from types import SimpleNamespace
from typing import Any

import orjson
import pytest
import trio

from pepperlatch.constants import core as c
from pepperlatch.constants import zones as z
from pepperlatch.controller.health import Health
from pepperlatch.controller.peers import PEER_INSPECT, PeerProxy
from pepperlatch.policy.heartbeat_router import HeartbeatRouter
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.zones import Zone, ZoneObservation, ZoneState, ZoneTracker
from pepperlatch.protocol.http.client import NoUsableResponse
from pepperlatch.protocol.http.server import Request
from pepperlatch.protocol.workers import WorkerClient
from tests.fakes import CANCEL_S, LEASE_S, NODES, World, job, run_scenario, settings_of
from tests.test_edges import machine
from tests.test_large_clusters import planner_of


def cut_zone(world: World, zone: int, mode: str) -> None:
    """Cut all links between the zone and everything outside. `zone`: the number of its controller."""
    inside = {NODES[zone], *(w.name for w in world.workers if w.zone == "abc"[zone])}
    outside = {*NODES[: world.count], "state", "cloud", *(w.name for w in world.workers)} - inside
    for one in inside:
        for other in outside:
            world.cut(one, other, mode)


async def start_service_in_zone(world: World, zone: int, tied: bool = True) -> dict[str, Any]:
    """Start a service with all replicas in this zone, reporting to its controller. `tied`: it may run only there."""
    for _ in range(3):
        world.cloud.create("abc"[zone])
    service = job(1, shape="daemon", pieces=3, cores=8.0, yard="abc"[zone] if tied else None)
    await trio.sleep(7)
    await world.submit(service)
    await world.until(lambda: world.running(service) == 3, 40)
    await trio.sleep(6)
    assert {w.reports_to for w in world.hosts(service)} == {zone}
    return service


@pytest.mark.parametrize("mode", ["hold", "refuse"])
def test_a_zone_that_is_cut_off_for_a_short_time_loses_no_task_and_no_machine(mode: str) -> None:
    """Failure: 169 living machines were returned 12 s after the cut began, and 690 were rented in a day of 604."""

    async def scenario(world: World) -> None:
        zone = (world.leader() + 1) % 3
        service = await start_service_in_zone(world, zone)
        rented = len(world.workers)
        cut_zone(world, zone, mode)
        await trio.sleep(CANCEL_S - LEASE_S + 4)
        await world.restore_all_links()
        await trio.sleep(LEASE_S + 3)
        assert world.running(service) == 3
        assert world.observer.starts["run-000001"] == 3, "the zone's controller kept the leases alive"
        assert len(world.cloud.machines) == rented == len(world.workers), "none returned, none rented"

    run_scenario(scenario)


def test_work_of_a_lost_zone_moves_after_its_leases_expire_and_its_machines_are_kept() -> None:
    async def scenario(world: World) -> None:
        zone = (world.leader() + 1) % 3
        world.cloud.capacity.clear()
        service = await start_service_in_zone(world, zone, tied=False)
        there = [w.name for w in world.hosts(service)]
        cut_zone(world, zone, "hold")
        world.cloud.capacity.update({other: 3 for other in "abc"})
        await trio.sleep(CANCEL_S + 12)
        assert world.running(service) == 3 and world.observer.starts["run-000001"] == 6
        assert not {w.name for w in world.hosts(service)} & set(there)
        assert all(name in world.cloud.machines for name in there), "its machines are kept for its return"
        await world.restore_all_links()
        await trio.sleep(10)
        assert world.observer.starts["run-000001"] == 6, "the return of the zone moves nothing"

    run_scenario(scenario)


def test_workers_report_to_their_zone_while_the_leader_changes() -> None:
    """A worker that is sent elsewhere while no controller leads tries all in turn while its lease runs out."""

    async def scenario(world: World) -> None:
        leader = world.leader()
        zone = (leader + 1) % 3
        service = await start_service_in_zone(world, zone)
        world.kill(leader)
        tried: set[int] = set()
        for _ in range(60):
            await trio.sleep(0.1)
            tried |= {w.reports_to for w in world.hosts(service)}
        assert tried == {zone}
        assert world.leader() != leader
        assert world.observer.starts["run-000001"] == 3

    run_scenario(scenario)


def test_a_worker_is_sent_to_its_own_zone_once_a_controller_there_hears_the_leader() -> None:
    router = HeartbeatRouter("n0", {"n0": "a", "n1": "b", "n2": "b", "n3": "c"})
    assert router.preferred_controller("m", "a", 0.0) is None and router.controllers_to_query(0.0) == []
    assert router.preferred_controller("m", "b", 10.0) is None, "no controller there is known to hear the leader"
    assert router.controllers_to_query(10.0) == ["n1", "n2", "n3"]
    router.record_health("n1", False, 10.0)
    router.record_health("n2", True, 10.0)
    assert router.preferred_controller("m", "b", 10.5) == "n2"
    assert router.preferred_controller("m", "nowhere", 10.5) is None
    assert router.may_redirect("m", 10.5) and not router.may_redirect("m", 12.0), (
        "it came back soon, so it had no success there"
    )
    assert not router.may_redirect("m", 12.0 + c.FORWARD_PERIOD_S) and router.may_redirect(
        "m", 12.1 + c.FORWARD_PERIOD_S
    )
    router.record_health("n2", False, 60.0)
    assert router.preferred_controller("m", "b", 60.0) is None
    assert router.controllers_to_query(60.1 + c.PREFERRED_CONTROLLER_PROBE_PERIOD_S) == []


def test_the_state_of_a_zone_follows_the_evidence_and_does_not_flap() -> None:
    zone = Zone()
    observations = [
        (0.0, ZoneObservation(10, 4, False), ZoneState.REACHABLE),  # too few are silent
        # Its controller answers: machines are dead, or this leader is slow.
        (1.0, ZoneObservation(10, 6, True), ZoneState.DOUBTFUL),
        (2.0, ZoneObservation(10, 6, False), ZoneState.PARTITIONED),
        (3.0, ZoneObservation(10, 9, False), ZoneState.PARTITIONED),  # one machine that answers is too few
        (9.0, ZoneObservation(10, 2, False), ZoneState.RECOVERING),
        (10.0, ZoneObservation(10, 6, False), ZoneState.PARTITIONED),  # silent again: counts as the same cut
        (20.0, ZoneObservation(10, 4, True), ZoneState.RECOVERING),
        (20.5 + z.RECOVERY_S, ZoneObservation(10, 4, True), ZoneState.REACHABLE),
        # A zone without controllers: only the share of silent machines distinguishes dead machines from a cut.
        (60.0, ZoneObservation(3, 2, None), ZoneState.REACHABLE),
        (61.0, ZoneObservation(3, 3, None), ZoneState.PARTITIONED),
        (62.0, ZoneObservation(0, 0, None), ZoneState.PARTITIONED),  # no machine is left there as evidence
        (61.0 + z.EMPTY_ZONE_RETRY_S, ZoneObservation(0, 0, None), ZoneState.REACHABLE),
    ]
    for at, seen, state in observations:
        zone.observe(seen, at)
        assert zone.state is state, at
        if at == 10.0:
            assert zone.partitioned_at == 2.0


def test_machines_of_a_lost_zone_are_kept_for_a_time_and_none_are_rented_there() -> None:
    zones = ZoneTracker()
    zones.observe("a", ZoneObservation(9, 9, False), 5.0)
    zones.observe("b", ZoneObservation(9, 9, True), 5.0)
    assert zones.unreachable(5.0) == {"a"} and zones.unreachable(5.0 + z.DOUBTFUL_STOP_RENTING_S) == {"a", "b"}
    assert zones.keeps_machines("a", 5.0 + z.CUT_KEEP_S - 1) and not zones.keeps_machines("a", 5.0 + z.CUT_KEEP_S)
    assert not zones.keeps_machines("b", 6.0) and not zones.keeps_machines("c", 6.0)
    zones.observe("a", ZoneObservation(9, 1, True), 20.0)
    assert zones.keeps_machines("a", 20.0 + z.RECOVERY_KEEP_S - 0.1)
    assert not zones.keeps_machines("a", 20.0 + z.RECOVERY_KEEP_S), (
        "otherwise tasks wait for dead machines: 521 waited 15 s for one"
    )


def test_idle_machines_of_a_lost_zone_are_not_returned() -> None:
    """They count as idle once the leases of their tasks have ended, but they are kept for the return of the zone."""
    planner = planner_of([machine("lost", "a"), machine("idle", "b")])
    for one in planner.cluster.machines.values():
        one.idle_since = 0.0
    planner.observe_zone("a", ZoneObservation(9, 9, False), 100.0)
    assert [m.name for m in planner.machines_to_return(100.0)] == ["idle"]
    assert len(planner.machines_to_return(100.0 + z.CUT_KEEP_S)) == 2


def test_machines_not_yet_fenced_count_as_evidence_of_a_lost_zone_but_are_not_probed() -> None:
    """Failure: after a takeover 86 living machines were returned before their zone was known to be lost."""
    planner = planner_of([machine(f"n-{n}", "c") for n in range(6)])
    cluster, probed = planner.cluster, list[Any]()
    for one in cluster.machines.values():
        one.last_report_at = -1.0
        cluster.unverified.add(one.name)
    cluster.machines["n-0"].fence_failed = True
    context: Any = SimpleNamespace(
        cluster=cluster, planner=planner, settings=settings_of(0), spawn=lambda task, one: probed.append(one.name)
    )  # fmt: skip
    unused: Any = None
    Health(context, unused, unused, unused).check(c.FENCE_SILENT_S + 0.5, lease_valid=True)
    assert planner.zones.partitioned("c") and probed == ["n-0"]


class PartialNetwork:
    """A network on which only the addresses `up` answer."""

    def __init__(self, *up: str) -> None:
        self.up = up

    async def request(self, addr: str, *more: Any) -> tuple[int, Any]:
        if addr not in self.up:
            raise NoUsableResponse(addr)
        return 200, {"perch": "n", "endpoint": addr, "build": "m8", "yard": "a", "loaners": False, "tenure": 1,
                     "tally": 1, "baton": 1, "pieces": []}  # fmt: skip


def test_a_controller_that_reaches_no_machine_says_so_when_asked_about_one() -> None:
    """Failure: the leader, cut off from workers, gave up 151 living machines since a follower, also cut off, agreed."""

    async def ask(*up: str) -> tuple[int, Any]:
        network: Any = PartialNetwork(*up)
        peers = PeerProxy(settings_of(0), network, WorkerClient(network))
        body = {"addr": "1:1", "others": ["2:2", "3:3"]}
        answer = await peers.serve(Request("POST", PEER_INSPECT, orjson.dumps(body)))
        return answer.status, answer.body

    async def main() -> None:
        assert (await ask("1:1"))[0] == 200
        status, body = await ask("3:3")
        assert status == 504 and body["reaches"] is True
        status, body = await ask()
        assert status == 504 and body["reaches"] is False

    trio.run(main)


def test_the_next_leader_knows_which_machines_hold_which_images() -> None:
    """Failure: 466 of 531 tasks fetched their image again although their earlier machine was alive and held it."""

    async def scenario(world: World) -> None:
        worker = world.cloud.create("a")
        await trio.sleep(7)
        sweep = job(1, pieces=1, expected_s=2.0, bundle="rare")
        await world.submit(sweep)
        await world.until(lambda: world.state.job_state("run-000001") == "done", 30)
        await trio.sleep(2 * c.CONTACT_INTERVAL_S)
        world.kill(world.leader())
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 15)
        leader = world.nodes[world.leader()].leader
        assert leader is not None and "rare" in leader.cluster.machines[worker.name].images

    run_scenario(scenario)


def test_the_image_memory_is_bounded_sent_in_pieces_and_ignores_bad_input(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(c, "MAX_IMAGE_USES", 50)
    monkeypatch.setattr(c, "MAX_IMAGE_USES_PER_ANSWER", 20)
    one, other, rng, learned = ImageMemory(), ImageMemory(), random.Random(1), 0
    for _ in range(300):
        one.used(f"m{rng.randint(0, 30)}", f"i{rng.randint(0, 9)}", 1.5)
    while uses := one.after(learned):
        assert len(uses) <= 20
        learned = other.learn(orjson.loads(orjson.dumps(uses)))
    names = [f"m{n}" for n in range(31)]
    assert len(list(one.on(names))) == 50
    assert [use[1:] for use in one.on(names)] == [use[1:] for use in other.on(names)], "the same uses in the same order"
    for malformed in (None, 7, "x", [1], [["a", "b", "c", 1.0]], [[1, "m", "i", "much"]], {"a": 1}):
        assert other.learn(malformed) == 0
    assert len(list(other.on(names))) == 50
