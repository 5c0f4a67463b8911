"""Jobs with amounts close to 0 are valid; quotients by them are larger than any integer, or not finite."""

import math

import pytest

from pepperlatch.constants import core as c
from pepperlatch.policy.model import times_into
from tests.fakes import CPU_PLATFORM, GPU_PLATFORM, Platform, World, job, run_scenario

FIELDS = ["cores", "memory_gb", "expected_s", "pull_gb", "snapshot_every_s"]


@pytest.mark.parametrize(
    ("platform", "field"),
    [(CPU_PLATFORM, field) for field in FIELDS] + [(GPU_PLATFORM, field) for field in [*FIELDS, "gpus"]],
)
@pytest.mark.parametrize("amount", [5e-324, 1e-310, 1e-200, 1e-12])
def test_a_job_with_a_tiny_amount_runs_and_ends_no_leader(platform: Platform, amount: float, field: str) -> None:
    """Guards against OverflowError in planning, which ended every leader until the job was cancelled."""

    async def scenario(world: World) -> None:
        first, term = world.leader(), world.nodes[world.leader()].leader
        tiny = job(1, **{field: amount})
        assert (await world.submit(tiny))[0] == 201
        await world.until(lambda: world.state.job_state("run-000001") == "done", 60)
        assert world.leader() == first and world.nodes[first].leader is term

    run_scenario(scenario, platform=platform)


@pytest.mark.parametrize(
    ("amount", "each", "times"),
    [
        (8.0, 2.0, 4), (8.0, 3.0, 2), (0.0, 1.0, 0), (-8.0, 1e-310, 0), (8.0, 1e-310, c.MAX_TASKS),
        (8.0, 5e-324, c.MAX_TASKS), (math.inf, 1.0, c.MAX_TASKS), (1e-320, 1e-320, 1), (1.0, 1e300, 0),
    ],
)  # fmt: skip
def test_how_often_one_amount_goes_into_another(amount: float, each: float, times: int) -> None:
    assert times_into(amount, each) == times
