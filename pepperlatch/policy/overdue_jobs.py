"""Keeps jobs that have waited long from starving, at a bounded cost to the others. No I/O, no clock.

Priorities, guarantees and objectives decide the order (`Planner.placement_order`). Under a stream of jobs that go
before it a job could wait for ever. A gang could wait for ever even as the first: what becomes free is too little for
all of its tasks, and the next job takes it.
"""

from collections.abc import Iterable

from pepperlatch.constants import core as c
from pepperlatch.policy.model import Job, Machine, allowed_on, machine_size, task_size
from pepperlatch.protocol.wire import JobSpec, Kind


def is_overdue(job: Job, now: float) -> bool:
    """Whether the job has waited so long that it must start: `OVERDUE_GANG_S` for a gang, `OVERDUE_S` for others.

    Both are in seconds. A job that failed on a machine is never overdue: one submitted with a mistake would go before
    its team's others for ever.
    """
    max_wait_s = c.OVERDUE_GANG_S if job.spec.kind is Kind.GANG else c.OVERDUE_S
    return not job.ran and not job.live and not job.failed_on and now - job.since > max_wait_s


def first_overdue_by_team(order: list[Job], now: float) -> list[Job]:
    """Each team's overdue job that has waited longest, oldest first.

    Only one of each team: otherwise all old jobs would go first.
    """
    first: dict[str, Job] = {}
    for job in order:
        if is_overdue(job, now) and (job.spec.team not in first or job.since < first[job.spec.team].since):
            first[job.spec.team] = job
    return sorted(first.values(), key=lambda job: job.since)


def reserves_room(job: Job, now: float) -> bool:
    """Whether other jobs must leave room for the overdue gang now.

    They must for `GANG_RESERVATION_S` seconds, then need not for as long, and so on: enough room may never become free.
    """
    if job.spec.kind is not Kind.GANG or not is_overdue(job, now):
        return False
    return (now - job.since - c.OVERDUE_GANG_S) % (2 * c.GANG_RESERVATION_S) < c.GANG_RESERVATION_S


def reserved_machines(job: Job, machines: Iterable[Machine], zones: Iterable[str]) -> set[Machine]:
    """The machines expected to be the first with room for the whole gang; empty if they can never hold it.

    Replicas are taken to stay and all other tasks to end. Machines with most room free now come first: it is the best
    estimate of where running tasks end soonest.
    """
    spec = job.spec
    fitting = [
        m for m in machines if allowed_on(spec, m.type.name, m.zone, m.spot) and _slots_beside_replicas(m, spec) > 0
    ]
    fitting.sort(key=lambda m: (-m.free_cpus - m.free_gpus, m.name))
    groups = [[m for m in fitting if m.zone == zone] for zone in zones] if spec.one_zone else [fitting]
    found = sorted((chosen for group in groups if (chosen := _enough_machines(spec, group))), key=len)
    return set(found[0]) if found else set()


def _enough_machines(spec: JobSpec, machines: list[Machine]) -> list[Machine]:
    """The first of the machines that together hold all tasks; empty if all of them do not."""
    chosen: list[Machine] = []
    left = spec.tasks
    for machine in machines:
        if left <= 0:
            break
        chosen.append(machine)
        left -= _slots_beside_replicas(machine, spec)
    return chosen if left <= 0 else []


def _slots_beside_replicas(machine: Machine, spec: JobSpec) -> int:
    """How many of the job's tasks would fit on the machine if only replicas ran there."""
    free = machine_size(machine.type)
    for attempt in machine.attempts.values():
        if attempt.job.spec.kind is Kind.SERVICE:
            free = free.plus(task_size(attempt.job.spec), -1)
    return free.slots(task_size(spec))
