"""Times that must be counted from when something began, not from when this controller learned of it."""

from pepperlatch.controller.rentals import Rentals
from tests.cuts.test_sessions import cluster_of, report
from tests.fakes import World, run_scenario
from tests.test_edges import machine


def test_a_reclaim_notice_that_arrived_late_is_corrected_by_the_next_report() -> None:
    """Guards against tasks that are notified of a reclaim too late, and lose their work since the last checkpoint.

    A report that says "reclaimed in 30 s" takes six seconds to arrive: the machine goes 24 s later, not 30.
    """
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 1, reclaim_in_s=30.0), 106.0, heartbeat=True)
    assert one.reclaim_at == 136.0
    cluster.on_report(report(1, 2, reclaim_in_s=22.0), 108.0, heartbeat=True)
    assert one.reclaim_at == 130.0
    cluster.on_report(report(1, 3, reclaim_in_s=25.0), 110.0, heartbeat=True)
    assert one.reclaim_at == 130.0, "a report that arrived late does not postpone the end"


def test_each_leader_counts_the_age_of_a_machine_that_never_comes_up_from_its_rental() -> None:
    """Guards against a new leader that repeats the rental request and waits for a whole boot again, at a cost."""

    async def scenario(world: World) -> None:
        world.cloud.boot_failures = 1
        never_up = world.cloud.create("a")
        await world.until(lambda: "n-000000" in machines(world), 15)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        booting = leader.cluster.machines[never_up.name]
        booting.created_at = leader.clock()  # as after a repeated rental request
        listed = [item for item in await leader._rentals._cloud.machines() if item.name == never_up.name]
        assert isinstance(leader._rentals, Rentals)
        leader._rentals._on_list(listed)
        assert booting.created_at <= leader.clock() - listed[0].age_s

    run_scenario(scenario)


def machines(world: World) -> list[str]:
    leader = world.nodes[world.leader()].leader
    return list(leader.cluster.machines) if leader is not None else []
