"""Teams whose guarantee and limit are given in GPUs alone, and jobs that can never run."""

import pytest
import trio

from pepperlatch.controller.users import Unsatisfiable, check_possible
from pepperlatch.policy import quota
from pepperlatch.policy.model import Job
from pepperlatch.policy.quota import Quota
from pepperlatch.protocol import wire
from pepperlatch.settings import Team
from tests.fakes import GPU_PLATFORM, World, job, run_scenario, settings_of
from tests.test_edges import spec_of

ONE_GPU_TASK = {"cores": 10.0, "gpus": 1.0, "memory_gb": 30.0}


def test_teams_with_limits_in_gpus_alone_are_served_up_to_their_gpu_limit() -> None:
    """Failure: no job of a whole day was accepted, since a limit of 0 CPUs was read as "no CPUs allowed"."""

    async def scenario(world: World) -> None:
        gang = job(1, shape="group", pieces=4, one_zone=True, expected_s=5.0, **ONE_GPU_TASK)
        sweep = job(2, crew="blue", pieces=12, expected_s=5.0, **ONE_GPU_TASK)
        for body in (gang, sweep):
            assert (await world.submit(body))[0] == 201
        world.cloud.capacity.update({zone: 20 for zone in GPU_PLATFORM.zones})
        await world.until(lambda: world.running(sweep) == 8, 60)
        await trio.sleep(2)
        assert world.running(sweep) == 8, "12 tasks, and the team may use 8 GPUs"
        await world.until(lambda: world.state.job_state("run-000001") == "done", 60)
        await world.until(lambda: world.state.job_state("run-000002") == "done", 60)
        too_many = job(3, shape="daemon", pieces=13, expected_s=0.0, **ONE_GPU_TASK)
        status, said = await world.submit(too_many)
        assert (status, "13 GPUs" in said["error"], "red: 12" in said["error"]) == (422, True, True)

    run_scenario(scenario, platform=GPU_PLATFORM)


def test_a_guarantee_is_counted_in_the_resources_it_is_given_in() -> None:
    gpus_only = Team("red", 0.0, 0.0, gpus=4.0, gpus_max=8.0)
    both = Team("blue", 20.0, 40.0, gpus=4.0, gpus_max=8.0)
    none = Team("grey", 0.0, 0.0)

    def inside(team: Team, *bodies: dict[str, object]) -> list[str]:
        jobs = [Job(spec_of(n, crew=team.name, **body), n, 0.0, False) for n, body in enumerate(bodies)]
        return sorted(quota.within_guarantee(jobs, {team.name: team}))

    two = {"pieces": 2, **ONE_GPU_TASK}
    assert inside(gpus_only, two, two, two) == ["run-000000", "run-000001"]
    assert inside(both, two, two) == ["run-000000"], "the CPUs are used up before the GPUs"
    assert inside(gpus_only, {"pieces": 1, "cores": 1.0}) == [], "tasks without GPUs have no guarantee"
    assert inside(none, two) == []
    held = Quota({team.name: team for team in (gpus_only, both, none)})
    for name in held.teams:
        held.of(name).add(spec_of(1, **ONE_GPU_TASK), 3)
    assert [held.over_guarantee(name) for name in ("red", "blue", "grey")] == [False, True, True]
    assert [held.room(spec_of(1, crew=name, pieces=9, **ONE_GPU_TASK)) for name in ("red", "blue", "grey")] == [5, 1, 9]


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        ({"shape": "group", "pieces": 13}, "needs 13 GPUs at once, more than the limit of its team red: 12"),
        ({"gpus": 3.0}, "a task of 10 CPUs, 3 GPUs, 30 GB fits no allowed machine type (any)"),
        ({"builds": ["g9"]}, "fits no allowed machine type (g9)"),
        ({"yard": "z"}, "no machine type that a task fits exists in zone z"),
        ({"crew": "green"}, "unknown team"),
    ],
)
def test_a_job_that_can_never_run_is_rejected_with_the_reason(changes: dict[str, object], said: str) -> None:
    kind: wire.MachineType = wire.convert(GPU_PLATFORM.machine, wire.MachineType)
    with pytest.raises(Unsatisfiable) as refused:
        check_possible(spec_of(1, **{**ONE_GPU_TASK, **changes}), settings_of(0, platform=GPU_PLATFORM), [kind])
    assert said in str(refused.value)


def test_the_reason_of_a_gang_that_waits_for_gpus_says_how_many_places_are_free_in_which_zone() -> None:
    async def scenario(world: World) -> None:
        world.cloud.capacity.clear()
        for zone in GPU_PLATFORM.zones:
            world.cloud.create(zone)
        await trio.sleep(7)
        held = job(1, pieces=1, yard="a", expected_s=0.0, shape="daemon", **ONE_GPU_TASK)
        await world.submit(held)
        await world.until(lambda: world.running(held) == 1, 20)
        gang = job(2, shape="group", pieces=4, one_zone=True, expected_s=5.0, **ONE_GPU_TASK)
        assert (await world.submit(gang))[0] == 201, "it is within the limit, though not within the present capacity"
        await trio.sleep(12)
        _, answer = await world.ask(world.leader(), "GET", "/work/run-000002")
        assert "4 tasks of 10 CPUs, 1 GPUs, 30 GB" in answer["reason"]
        assert answer["reason"].endswith("; all at once, and 2 of 4 places free in zone b")
        world.cloud.capacity["b"] = 2
        await world.until(lambda: world.state.job_state("run-000002") == "done", 60)

    run_scenario(scenario, platform=GPU_PLATFORM)
