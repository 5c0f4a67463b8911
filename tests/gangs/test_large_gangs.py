"""A gang of hundreds of tasks, taken back before any of its launches was sent."""

import msgspec
import pytest

from pepperlatch.constants import core as c
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.model import Job, Machine, Status
from pepperlatch.protocol import wire
from tests.fakes import CPU_PLATFORM, settings_of
from tests.test_edges import spec_of

TASKS, MACHINES = 600, 6


def placed_gang() -> tuple[Cluster, Job]:
    """A cluster in which all tasks of a gang are placed on six machines, and no launch was sent."""
    kind = wire.convert({**CPU_PLATFORM.machine, "cores": 64.0, "memory_gb": 256.0}, wire.MachineType)
    cluster = Cluster("perch-0", 5, settings_of(0).params, 0.0, 8.0, lambda job_id: None)
    cluster.types = {kind.name: kind}
    for name, team in cluster.quota.teams.items():
        cluster.quota.teams[name] = msgspec.structs.replace(team, cpus=0.0, cpus_max=1e6)
    for number in range(MACHINES):
        name = f"n-{number}"
        cluster.machines[name] = Machine(name, kind, "a", False, f"10.1.0.{number}:1", Status.UP, 0.0)
    gang = cluster.add_job(
        spec_of(1, shape="group", pieces=TASKS, cores=0.1, memory_gb=0.05, pull_gb=0.0), 1, 0.0, set()
    )
    machines, attempt = list(cluster.machines.values()), cluster.new_number()
    for number in range(TASKS):
        cluster.place(gang, gang.waiting.popleft(), machines[number % MACHINES], 1.0, attempt)
    assert len(gang.live) == TASKS
    return cluster, gang


@pytest.mark.parametrize("how", ["cancelled", "machine", "lease"])
def test_a_large_gang_that_was_not_sent_is_taken_back_without_nested_calls(how: str) -> None:
    """Guards against a nested call for each task: RecursionError ended the leader (review/8)."""
    cluster, gang = placed_gang()
    if how == "cancelled":
        cluster.end_job(gang.spec.id, 2.0)
    elif how == "machine":
        cluster.remove_machine("n-0", 2.0)
    else:
        cluster.no_successor_before = float("inf")
        cluster.expire(c.MAX_SILENCE_S)
    assert not gang.live and not any(machine.attempts for machine in cluster.machines.values())
    assert cluster.quota.of(gang.spec.team).cpus == pytest.approx(0.0, abs=1e-6)
    if how == "cancelled":
        assert gang.spec.id not in cluster.jobs
    else:
        assert sorted(gang.waiting) == list(range(TASKS)), "each task waits again, once"
