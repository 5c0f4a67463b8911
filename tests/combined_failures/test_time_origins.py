"""What is owed to somebody is counted from when it began, not from when this node heard of it."""

from pepperlatch.controller.rentals import Rentals
from tests.cuts.test_sessions import cluster_of, report
from tests.fakes import World, run_scenario
from tests.test_edges import machine


def test_a_notice_that_came_late_is_corrected_by_the_next_report() -> None:
    """A report that was under way for six seconds said "30 s"; the machine is taken 24 s after it came, not 30.

    Tasks were then told to save six seconds too late, and what they had done since their last checkpoint was lost.
    """
    one = machine("n-1")
    cluster = cluster_of(one)
    cluster.on_report(report(1, 1, reclaim_in_s=30.0), 106.0, beat=True)
    assert one.notice_at == 136.0
    cluster.on_report(report(1, 2, reclaim_in_s=22.0), 108.0, beat=True)
    assert one.notice_at == 130.0
    cluster.on_report(report(1, 3, reclaim_in_s=25.0), 110.0, beat=True)
    assert one.notice_at == 130.0, "a report that came late says nothing of a later end"


def test_the_age_of_a_machine_that_never_comes_up_is_not_counted_anew_by_each_leader() -> None:
    """The next leader repeated the hire, and waited for the whole time of a boot once more while it cost."""

    async def scenario(world: World) -> None:
        world.cloud.boot_failures = 1
        hidden = world.cloud.create("a")
        await world.until(lambda: "n-000000" in machines(world), 15)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        booting = leader.cluster.machines[hidden.name]
        booting.born = leader.clock()  # as after a repeated hire
        listed = [item for item in await leader._rentals._cloud.machines() if item.name == hidden.name]
        assert isinstance(leader._rentals, Rentals)
        leader._rentals._on_list(listed)
        assert booting.born <= leader.clock() - listed[0].age_s

    run_scenario(scenario)


def machines(world: World) -> list[str]:
    leader = world.nodes[world.leader()].leader
    return list(leader.cluster.machines) if leader is not None else []
