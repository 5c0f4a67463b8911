"""Whose turn it is when order alone would starve somebody.

Priorities, guarantees and aims decide who goes first (`planner.ordered`). Under a stream of work that goes before it a
job could wait for ever, and a gang could even at the head of the order: what comes free is too little for all of its
tasks, and whoever comes next takes it. Both end here, at bounded cost to the others.
"""

from collections.abc import Iterable

from pepperlatch.constants import core as c
from pepperlatch.policy.model import EPS, Job, Machine, allowed_on
from pepperlatch.protocol.wire import JobSpec, Kind


def overdue(job: Job, now: float) -> bool:
    """It has waited so long that it must begin, and nothing says that it cannot.

    What failed is left out: a job submitted with a mistake would stand before all others of its team for ever.
    """
    patience_s = c.OVERDUE_GANG_S if job.spec.kind is Kind.GANG else c.OVERDUE_S
    return not job.ran and not job.live and not job.failed_on and now - job.since > patience_s


def ahead(order: list[Job], now: float) -> list[Job]:
    """Of each team the overdue job that has waited longest: one, or a crowd of old work would be first."""
    first: dict[str, Job] = {}
    for job in order:
        if overdue(job, now) and (job.spec.team not in first or job.since < first[job.spec.team].since):
            first[job.spec.team] = job
    return sorted(first.values(), key=lambda job: job.since)


def holds(job: Job, now: float) -> bool:
    """Whether others leave a gang that is ahead what comes free. Half of the time only: it may never come free."""
    if job.spec.kind is not Kind.GANG or not overdue(job, now):
        return False
    return (now - job.since - c.OVERDUE_GANG_S) % (2 * c.GANG_RESERVATION_S) < c.GANG_RESERVATION_S


def held_for(job: Job, machines: Iterable[Machine], zones: Iterable[str]) -> set[Machine]:
    """The machines that will have room for all its tasks first, if only replicas stay; none if they never will.

    Those with most room free now: what still runs there ends soonest, as far as anybody can tell.
    """
    spec = job.spec
    fitting = [m for m in machines if allowed_on(spec, m.type.name, m.zone, m.spot) and _without_others(m, spec) > 0]
    fitting.sort(key=lambda m: (-m.free_cpus - m.free_gpus, m.name))
    groups = [[m for m in fitting if m.zone == zone] for zone in zones] if spec.one_zone else [fitting]
    found = sorted((chosen for group in groups if (chosen := _enough(spec, group))), key=len)
    return set(found[0]) if found else set()


def _enough(spec: JobSpec, machines: list[Machine]) -> list[Machine]:
    chosen: list[Machine] = []
    left = spec.tasks
    for machine in machines:
        if left <= 0:
            break
        chosen.append(machine)
        left -= _without_others(machine, spec)
    return chosen if left <= 0 else []


def _without_others(machine: Machine, spec: JobSpec) -> int:
    """How many of its tasks fit beside the replicas."""
    stay = [a.job.spec for a in machine.attempts.values() if a.job.spec.kind is Kind.SERVICE]
    rooms = [
        int((getattr(machine.type, what) - sum(getattr(other, what) for other in stay) + EPS) // getattr(spec, what))
        for what in ("cpus", "gpus", "memory_gb")
        if getattr(spec, what) > 0
    ]
    return max(0, min(rooms, default=spec.tasks))
