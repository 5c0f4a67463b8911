"""A leader that is cut off while a later one leads: what it may conclude about machines that the later one answers."""

import math

import pytest
import trio

from pepperlatch.controller.leadership import Term
from pepperlatch.controller.store import Replica
from tests.cuts.test_sessions import SLACK_S, cluster_of, report
from tests.fakes import CANCEL_S, LEASE_S, NODES, World, job, run_scenario
from tests.test_edges import machine
from tests.zones.test_zones import cut_zone

LEASE_OVER_S = LEASE_S + SLACK_S  # s; after a machine's last answer, its session has ended


async def new_leader_without_contacts(world: World) -> int:
    """End the leader and return the next one, as soon as it has shown its token to all machines.

    Controllers refuse each other's connections meanwhile, so that no other controller has been in contact with it.
    """
    for one in range(world.count):
        for other in range(one):
            world.cut(NODES[one], NODES[other], "refuse")
    world.kill(world.leader())
    await world.until(lambda: any(n.leader and n.leader.ready for n in world.nodes.values()), 10)
    leader = world.leader()
    token = world.nodes[leader].leader.term.token  # type: ignore[union-attr]
    await world.until(lambda: all(w.token == token for w in world.workers), 3)
    return leader


@pytest.mark.parametrize("mode", ["hold", "refuse"])
def test_a_leader_cut_off_after_its_election_starts_no_task_that_runs_under_its_successor(mode: str) -> None:
    """Guards against tasks that run twice because a leader without followers took its own last answer for the last."""

    async def scenario(world: World) -> None:
        for zone in "abcabcabc":
            world.cloud.create(zone)
        await trio.sleep(8)
        for number, zone in enumerate("abc", start=2):
            board = job(number, shape="daemon", pieces=3, cores=2.0, yard=zone, expected_s=0.0)
            await world.submit(board)
            await world.until(lambda one=board: world.running(one) == 3, 30)  # type: ignore[misc]
        sweep = job(1, pieces=2, cores=4.0, expected_s=300.0)
        await world.submit(sweep)
        await world.until(lambda: world.running(sweep) == 2, 30)
        old = world.leader()
        leader = await new_leader_without_contacts(world)
        while any(worker.zone == "abc"[leader] for worker in world.hosts(sweep)):
            world.start(old)
            await trio.sleep(5)
            old, leader = leader, await new_leader_without_contacts(world)
        cut_zone(world, leader, mode)
        for one in set(range(world.count)) - {leader, old}:
            world.cut(NODES[one], NODES[old], "whole")
        world.start(old)
        await trio.sleep(CANCEL_S)
        assert world.observer.starts["run-000001"] == 2
        await world.restore_all_links()
        await trio.sleep(5)
        assert (world.running(sweep), world.observer.starts["run-000001"]) == (2, 2)

    run_scenario(scenario)


def test_a_session_counts_as_over_only_if_it_ended_before_a_later_leader_could_answer_it() -> None:
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 5), 1.0, heartbeat=True)
    one.answered_at = 1.0
    much_later = 1.0 + 10 * LEASE_S
    cluster.no_successor_before = 0.9 + LEASE_OVER_S
    assert not cluster.lease_over(one, much_later), "it may have been answered just before its end"
    cluster.no_successor_before = 1.1 + LEASE_OVER_S
    assert cluster.lease_over(one, much_later), "whoever was elected afterwards found the session ended"
    cluster.no_successor_before = math.inf
    assert not cluster.lease_over(one, 0.9 + LEASE_OVER_S), "what is known of the future proves nothing now"


def test_a_term_proves_that_it_is_the_latest_by_its_lease_by_a_read_or_by_what_all_others_know() -> None:
    replica = Replica()
    replica.current_at = 3.0
    term = Term(7, 1, 10.0, 15.0, replica)
    lease_end = term.no_successor_before()
    assert term.lease_valid(lease_end - 0.001) and not term.lease_valid(lease_end)
    replica.current_at = 20.0
    assert term.no_successor_before() == 20.0, "a read has shown the leader's key"
    term.attested_at = 30.0
    assert term.no_successor_before() == 20.0, "whoever was elected and has ended since attests cancellations as well"
    term.attested_latest_at = 30.0
    assert term.no_successor_before() == 30.0


@pytest.mark.parametrize("ended", [False, True])
def test_who_has_led_since_does_not_attest_an_earlier_term_as_the_latest(ended: bool) -> None:
    """Guards against tasks that run twice when a later leader restarts at once and knows no leader any more."""

    async def scenario(world: World) -> None:
        leader = world.leader()
        term = world.nodes[leader].leader.term  # type: ignore[union-attr]
        follower = next(index for index in world.nodes if index != leader)
        if ended:  # the later leader's key is gone again, so that this controller knows of no leader
            world.nodes[follower].watcher.replica.leader = None
        await world.nodes[leader].attestation.request_attestations(term)
        assert (term.attested_at > 0, term.attested_latest_at > 0) == (True, not ended)

    run_scenario(scenario)
