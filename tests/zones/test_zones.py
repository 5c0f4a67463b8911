"""A zone that is lost and comes back: who carries its reports, what is kept, what the next leader knows."""

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
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.routes import Routes
from pepperlatch.policy.zones import Seen, State, Zone, Zones
from pepperlatch.protocol.http.client import Lost
from pepperlatch.protocol.http.server import Request
from pepperlatch.protocol.workers import WorkerClient
from tests.fakes import CANCEL_S, LEASE_S, NODES, World, job, run_scenario, settings_of
from tests.test_edges import machine
from tests.test_size import planner_of


def cut_zone(world: World, zone: int, mode: str) -> None:
    """From everything outside; `zone`: by the number of its controller."""
    inside = {NODES[zone], *(w.name for w in world.workers if w.zone == "abc"[zone])}
    outside = {*NODES[: world.count], "state", "cloud", *(w.name for w in world.workers)} - inside
    for one in inside:
        for other in outside:
            world.cut(one, other, mode)


async def board_in_zone(world: World, zone: int, tied: bool = True) -> dict[str, Any]:
    """A service whose replicas are all on machines of this zone, reporting to its controller."""
    for _ in range(3):
        world.cloud.create("abc"[zone])
    board = job(1, shape="daemon", pieces=3, cores=8.0, yard="abc"[zone] if tied else None)
    await trio.sleep(7)
    await world.submit(board)
    await world.until(lambda: world.running(board) == 3, 40)
    await trio.sleep(6)
    assert {w.reports_to for w in world.hosts(board)} == {zone}
    return board


@pytest.mark.parametrize("mode", ["hold", "refuse"])
def test_a_zone_that_is_cut_off_for_a_while_loses_nothing(mode: str) -> None:
    """Seen: 169 living machines returned 12 s after the cut began, and 690 machines rented in a day of 604."""

    async def scenario(world: World) -> None:
        zone = (world.leader() + 1) % 3
        board = await board_in_zone(world, zone)
        rented = len(world.workers)
        cut_zone(world, zone, mode)
        await trio.sleep(CANCEL_S - LEASE_S + 4)
        await world.restore_all_links()
        await trio.sleep(LEASE_S + 3)
        assert world.running(board) == 3
        assert world.observer.starts["run-000001"] == 3, "its controller kept the leases alive"
        assert len(world.cloud.machines) == rented == len(world.workers), "none returned, none rented"

    run_scenario(scenario)


def test_work_of_a_zone_that_stays_away_goes_elsewhere_when_its_leases_are_over_and_its_machines_wait() -> None:
    async def scenario(world: World) -> None:
        zone = (world.leader() + 1) % 3
        world.cloud.capacity.clear()
        board = await board_in_zone(world, zone, tied=False)
        there = [w.name for w in world.hosts(board)]
        cut_zone(world, zone, "hold")
        world.cloud.capacity.update({other: 3 for other in "abc"})
        await trio.sleep(CANCEL_S + 12)
        assert world.running(board) == 3 and world.observer.starts["run-000001"] == 6
        assert not {w.name for w in world.hosts(board)} & set(there)
        assert all(name in world.cloud.machines for name in there), "its machines are what it comes back to"
        await world.restore_all_links()
        await trio.sleep(10)
        assert world.observer.starts["run-000001"] == 6, "and nothing moves because it does"

    run_scenario(scenario)


def test_workers_stay_with_their_zone_while_leaders_change() -> None:
    """A worker that is sent on while nobody leads tries everybody in turn, and its lease runs."""

    async def scenario(world: World) -> None:
        leader = world.leader()
        zone = (leader + 1) % 3
        board = await board_in_zone(world, zone)
        world.kill(leader)
        tried: set[int] = set()
        for _ in range(60):
            await trio.sleep(0.1)
            tried |= {w.reports_to for w in world.hosts(board)}
        assert tried == {zone}
        assert world.leader() != leader
        assert world.observer.starts["run-000001"] == 3

    run_scenario(scenario)


def test_a_worker_goes_home_once_a_controller_there_hears_the_leader() -> None:
    routes = Routes("n0", {"n0": "a", "n1": "b", "n2": "b", "n3": "c"})
    assert routes.home("m", "a", 0.0) is None and routes.look(0.0) == []
    assert routes.home("m", "b", 10.0) is None, "nobody there is known to hear the leader"
    assert routes.look(10.0) == ["n1", "n2", "n3"]
    routes.heard("n1", False, 10.0)
    routes.heard("n2", True, 10.0)
    assert routes.home("m", "b", 10.5) == "n2"
    assert routes.home("m", "nowhere", 10.5) is None
    assert routes.send("m", 10.5) and not routes.send("m", 12.0), "soon back: no success there"
    assert not routes.send("m", 12.0 + c.RELAY_STICKY_S) and routes.send("m", 12.1 + c.RELAY_STICKY_S)
    routes.heard("n2", False, 60.0)
    assert routes.home("m", "b", 60.0) is None
    assert routes.look(60.1 + c.HOME_LOOK_S) == []


def test_a_zone_changes_its_state_by_evidence_and_does_not_flap() -> None:
    zone = Zone()
    told = [
        (0.0, Seen(10, 4, False), State.WHOLE),  # too few
        (1.0, Seen(10, 6, True), State.DOUBTFUL),  # its controller answers: machines, or we are slow
        (2.0, Seen(10, 6, False), State.CUT),
        (3.0, Seen(10, 9, False), State.CUT),  # one that answers does not make it whole
        (9.0, Seen(10, 2, False), State.BACK),
        (10.0, Seen(10, 6, False), State.CUT),  # again: still the same cut
        (20.0, Seen(10, 4, True), State.BACK),
        (20.5 + z.BACK_S, Seen(10, 4, True), State.WHOLE),
        (60.0, Seen(3, 2, None), State.WHOLE),  # without controllers nothing else tells deaths from a cut
        (61.0, Seen(3, 3, None), State.CUT),
        (62.0, Seen(0, 0, None), State.CUT),  # nothing is left there to tell
        (61.0 + z.TRY_AGAIN_S, Seen(0, 0, None), State.WHOLE),
    ]
    for at, seen, state in told:
        zone.look(seen, at)
        assert zone.state is state, at
        if at == 10.0:
            assert zone.cut_at == 2.0


def test_machines_of_a_lost_zone_are_kept_for_a_time_and_nothing_is_rented_there() -> None:
    zones = Zones()
    zones.look("a", Seen(9, 9, False), 5.0)
    zones.look("b", Seen(9, 9, True), 5.0)
    assert zones.dark(5.0) == {"a"} and zones.dark(5.0 + z.DOUBT_S) == {"a", "b"}
    assert zones.kept("a", 5.0 + z.KEEP_S - 1) and not zones.kept("a", 5.0 + z.KEEP_S)
    assert not zones.kept("b", 6.0) and not zones.kept("c", 6.0)
    zones.look("a", Seen(9, 1, True), 20.0)
    assert zones.kept("a", 20.0 + z.BACK_KEEP_S - 0.1)
    assert not zones.kept("a", 20.0 + z.BACK_KEEP_S), "seen: 521 tasks waited 15 s for one machine that had died"


def test_idle_machines_of_a_lost_zone_are_not_returned() -> None:
    """When its leases are over they look idle, and are what it comes back to."""
    planner = planner_of([machine("lost", "a"), machine("idle", "b")])
    for one in planner.cluster.machines.values():
        one.idle_since = 0.0
    planner.look_at_zone("a", Seen(9, 9, False), 100.0)
    assert [m.name for m in planner.idle(100.0)] == ["idle"]
    assert len(planner.idle(100.0 + z.KEEP_S)) == 2


def test_machines_whose_turn_to_be_fenced_has_not_come_tell_of_their_zone_but_are_not_asked() -> None:
    """Seen: 86 living machines returned after a takeover, before their zone was known to be lost."""
    planner = planner_of([machine(f"n-{n}", "c") for n in range(6)])
    cluster, begun = planner.cluster, list[Any]()
    for one in cluster.machines.values():
        one.seen_at = -1.0
        cluster.unaccounted.add(one.name)
    cluster.machines["n-0"].fence_failed = True
    duty: Any = SimpleNamespace(
        cluster=cluster, planner=planner, settings=settings_of(0), spawn=lambda task, one: begun.append(one.name)
    )  # fmt: skip
    unused: Any = None
    Health(duty, unused, unused, unused).look(c.FENCE_SILENT_S + 0.5, sure=True)
    assert planner.zones.cut("c") and begun == ["n-0"]


class Wires:
    """A network on which only some addresses answer."""

    def __init__(self, *up: str) -> None:
        self.up = up

    async def request(self, addr: str, *more: Any) -> tuple[int, Any]:
        if addr not in self.up:
            raise Lost(addr)
        return 200, {"perch": "n", "endpoint": addr, "build": "m8", "yard": "a", "loaners": False, "tenure": 1,
                     "tally": 1, "baton": 1, "pieces": []}  # fmt: skip


def test_a_controller_that_reaches_nobody_cannot_tell_of_one() -> None:
    """Seen: the leader and another were cut off from the workers; on the other's word 151 living machines went."""

    async def ask(*up: str) -> tuple[int, Any]:
        network: Any = Wires(*up)
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


def test_the_next_leader_knows_where_images_are() -> None:
    """Seen: 466 of 531 tasks fetched an image anew whose old machine was alive and held it."""

    async def scenario(world: World) -> None:
        home = world.cloud.create("a")
        await trio.sleep(7)
        sweep = job(1, pieces=1, expected_s=2.0, bundle="rare")
        await world.submit(sweep)
        await world.until(lambda: world.state.job_state("run-000001") == "done", 30)
        await trio.sleep(2 * c.CONTACT_EVERY_S)
        world.kill(world.leader())
        await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 15)
        leader = world.nodes[world.leader()].leader
        assert leader is not None and "rare" in leader.cluster.machines[home.name].images

    run_scenario(scenario)


def test_the_memory_of_images_is_bounded_told_in_pieces_and_takes_no_nonsense(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(c, "IMAGE_USES_MOST", 50)
    monkeypatch.setattr(c, "IMAGE_USES_TOLD", 20)
    one, other, rng, told = ImageMemory(), ImageMemory(), random.Random(1), 0
    for _ in range(300):
        one.used(f"m{rng.randint(0, 30)}", f"i{rng.randint(0, 9)}", 1.5)
    while uses := one.after(told):
        assert len(uses) <= 20
        told = other.learn(orjson.loads(orjson.dumps(uses)))
    names = [f"m{n}" for n in range(31)]
    assert len(list(one.on(names))) == 50
    assert [use[1:] for use in one.on(names)] == [use[1:] for use in other.on(names)], "the same, in the same order"
    for nonsense in (None, 7, "x", [1], [["a", "b", "c", 1.0]], [[1, "m", "i", "much"]], {"a": 1}):
        assert other.learn(nonsense) == 0
    assert len(list(other.on(names))) == 50
