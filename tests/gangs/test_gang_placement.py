"""Placement of gangs: room for all tasks or none, in one zone, at the least loss of other work.

Hypothesis derives its examples from the source of a test: a change there, even of a name, changes the examples.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pepperlatch.policy import fleet, gangs, placement
from pepperlatch.policy.model import Attempt, Job, Machine, Size, Status
from pepperlatch.protocol import wire
from tests.fakes import GPU_PLATFORM, World, job, run_scenario
from tests.test_edges import run_on, spec_of

ONE_GPU_TASK = {"cores": 10.0, "gpus": 1.0, "memory_gb": 30.0}
KIND: wire.MachineType = wire.convert(GPU_PLATFORM.machine, wire.MachineType)
NOW = 100.0


def cards(name: str, zone: str = "a", images: tuple[str, ...] = ()) -> Machine:
    """A machine with two GPUs that has just reported and holds these images."""
    made = Machine(name, KIND, zone, False, "", Status.UP, 0.0, last_report_at=NOW, reached_at=NOW, heartbeat_at=NOW)
    made.images = dict.fromkeys(images, 1.0)
    return made


def gang_of(tasks: int, one_zone: bool = True, gb: float = 0.0) -> Job:
    spec = spec_of(1, shape="group", pieces=tasks, one_zone=one_zone, urgency="urgent", pull_gb=gb, **ONE_GPU_TASK)
    return Job(spec, 1, 0.0, False)


def busy(machine: Machine, number: int, since: float) -> Attempt:
    """Run a one-task job on one GPU of the machine, started at `since`."""
    return run_on(machine, Job(spec_of(number, pieces=1, **ONE_GPU_TASK), number, 0.0, False), 0, since)


def stop_all(machine: Machine) -> list[Attempt]:
    """All attempts of the machine: every one may be stopped."""
    return list(machine.attempts.values())


def test_the_attempts_that_lose_least_work_are_stopped_for_a_gang() -> None:
    one, two, far = cards("n-1"), cards("n-2"), cards("n-3", "b")
    old, young = busy(one, 10, since=20.0), busy(one, 11, since=95.0)
    other = busy(two, 12, since=90.0)
    distant = [busy(far, 13, since=99.0), busy(far, 14, since=98.0)]
    assert gangs.victims_for_gang(gang_of(2), [one, two, far], stop_all, NOW) == distant
    assert gangs.victims_for_gang(gang_of(3), [one, two, far], stop_all, NOW) == [young, other], "one more GPU is free"
    assert old not in gangs.victims_for_gang(gang_of(4, one_zone=False), [one, two, far], stop_all, NOW)
    assert gangs.victims_for_gang(gang_of(5), [one, two, far], stop_all, NOW) == [], (
        "nothing is stopped for a part of a gang"
    )


def test_a_zone_that_holds_the_image_is_preferred_by_the_cost_of_fetching_it() -> None:
    near, far = cards("n-1", images=("img",)), cards("n-2", "b")
    kept = [busy(near, 10, since=99.0), busy(near, 11, since=98.0)]
    busy(far, 12, since=99.9)
    assert gangs.victims_for_gang(gang_of(2, gb=7.0), [near, far], stop_all, NOW) == kept
    whole = [near, far, cards("n-3"), cards("n-4", "b", ("img",))]
    assert placement.choose_zone(gang_of(2, gb=7.0), whole, ["a", "b"]) == "b"
    assert placement.choose_zone(gang_of(4, gb=7.0), [cards("n-3"), near, *whole[1:], cards("n-5")], ["a", "b"]) == "a"


def test_places_on_one_machine_are_ordered_by_rising_cost() -> None:
    """Otherwise the second place could be taken without the first, whose victims it relies on."""
    one = cards("n-1")
    half = {**ONE_GPU_TASK, "gpus": 0.5, "cores": 5.0}
    for number in (1, 2):
        run_on(one, Job(spec_of(number, pieces=1, **half), number, 0.0, False), 0, NOW - 1.8)
    busy(one, 3, since=NOW - 1.0)
    found = gangs.slots(gang_of(2), one, stop_all(one), NOW)
    assert [len(place.victims) for place in found] == [2, 1]
    assert found[0].cost <= found[1].cost


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.lists(st.tuples(st.sampled_from("ab"), st.lists(st.integers(0, 99), max_size=2)), max_size=8),
       st.integers(1, 6), st.booleans())  # fmt: skip
def test_room_is_found_whole_and_only_if_it_is_there(
    rows: list[tuple[str, list[int]]], tasks: int, one_zone: bool
) -> None:
    machines = [cards(f"n-{n}", zone) for n, (zone, _) in enumerate(rows)]
    for n, (machine, (_, ages)) in enumerate(zip(machines, rows, strict=True)):
        for m, age in enumerate(ages):
            busy(machine, 100 + 10 * n + m, since=float(age))
    victims = gangs.victims_for_gang(gang_of(tasks, one_zone), machines, stop_all, NOW)
    assert victims == gangs.victims_for_gang(gang_of(tasks, one_zone), machines, stop_all, NOW)
    zones = [[m for m in machines if not one_zone or m.zone == zone] for zone in ("a", "b")]
    possible = any(2 * len(zone) >= tasks for zone in zones)
    if not victims:
        assert not possible or any(sum(m.free_gpus for m in zone) >= tasks for zone in zones)
        return
    for victim in victims:
        victim.machine.drop(victim)
    assert any(sum(m.free_gpus for m in zone) >= tasks for zone in zones)


@pytest.mark.parametrize("tasks", [1, 2, 4])
def test_an_urgent_gang_preempts_younger_work_when_every_gpu_is_taken(tasks: int) -> None:
    async def scenario(world: World) -> None:
        world.cloud.capacity.clear()
        for zone in GPU_PLATFORM.zones:
            for _ in range(2):
                world.cloud.create(zone)
        sweep = job(1, pieces=8, expected_s=200.0, **ONE_GPU_TASK)
        await world.submit(sweep)
        await world.until(lambda: world.running(sweep) == 8, 40)
        gang = job(
            2, crew="blue", shape="group", pieces=tasks, one_zone=True, urgency="urgent", expected_s=5.0, **ONE_GPU_TASK
        )
        await world.submit(gang)
        await world.until(lambda: world.running(gang) == tasks, 8)
        assert world.running(sweep) == 8 - tasks, "no more than the gang needs"
        await world.until(lambda: world.state.job_state("run-000002") == "done", 20)
        await world.until(lambda: world.running(sweep) == 8, 10)

    run_scenario(scenario, platform=GPU_PLATFORM)


def test_work_that_may_use_spot_machines_leaves_ordinary_machines_without_replicas_empty() -> None:
    kept, other = cards("n-1"), cards("n-2", images=("img",))
    service = spec_of(20, shape="daemon", pieces=1, expected_s=0.0, **ONE_GPU_TASK)
    run_on(kept, Job(service, 20, 0.0, False), 0, 0.0)
    busy(other, 21, since=NOW)
    job_ = Job(spec_of(22, loaners=True, **ONE_GPU_TASK), 22, 0.0, False)
    assert placement.Candidates(job_, [other, kept], ["a"], lambda m: True, 1e9).best() is kept
    cheap = cards("n-3")
    cheap.spot = True
    assert placement.Candidates(job_, [other, kept, cheap], ["a"], lambda m: True, 1e9).best() is cheap


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from([0.0, 1.0, 2.0]), st.integers(1, 12)), max_size=8))
def test_a_machine_that_holds_not_even_the_smallest_task_is_looked_at_no_further(
    rows: list[tuple[int, float, int]],
) -> None:
    """Four fifths of a round's renting went into machines whose cards were taken and whose CPUs were not."""

    def needs() -> list[fleet.Demand]:
        return [
            fleet.Demand(Job(spec_of(n, pieces=9, cores=float(cpus), gpus=gpus, memory_gb=1.0), n, 0.0, False), count)
            for n, (cpus, gpus, count) in enumerate(rows)
        ]

    offer = fleet.Offer(KIND.name, "a", False)
    never = Size(-1.0, -1.0, -1.0, -1.0)
    mine, theirs = needs(), needs()
    fleet.empty_bin(offer, KIND).fill(mine, fleet.smallest_task(mine))
    fleet.empty_bin(offer, KIND).fill(theirs, never)
    assert [need.count for need in mine] == [need.count for need in theirs]
    assert fleet.empty_bin(offer, KIND).would_take(needs(), fleet.smallest_task(mine)) == fleet.empty_bin(
        offer, KIND
    ).would_take(needs(), never)
