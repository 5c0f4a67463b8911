"""Gangs: all tasks or none, so room for one is found whole or not at all. No I/O, no clock."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pepperlatch.policy.draining import lost_work
from pepperlatch.policy.model import EPS, Attempt, Job, Machine
from pepperlatch.policy.placement import fetch_s, machine_slots


@dataclass(slots=True)
class Slot:
    """Room for one more task on a machine, once these have left it; `cost` in CPU (and GPU) seconds."""

    cost: float
    machine: Machine
    victims: list[Attempt]


def slots(job: Job, machine: Machine, may_stop: Iterable[Attempt], now: float) -> list[Slot]:
    """For one task after the other, cheapest first: what is free, then what those who lose least would leave.

    An image that is not there costs what its cards do not do while it is fetched. A place costs no less than the one
    before it on its machine, whose victims it counts on.
    """
    spec = job.spec
    fetch_cost = 0.0 if machine.holds_image(spec) else fetch_s(machine, spec) * (spec.cpus + spec.gpus)
    found = [Slot(fetch_cost, machine, []) for _ in range(min(spec.tasks, machine_slots(job, machine)))]
    free = [machine.free_cpus, machine.free_gpus, machine.free_gb]
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    for _ in found:
        free = [f - n for f, n in zip(free, need, strict=True)]
    leaving: list[Attempt] = []
    for victim in sorted(may_stop, key=lambda a: lost_work(a, now)):
        gone = victim.job.spec
        leaving.append(victim)
        free = [f + g for f, g in zip(free, (gone.cpus, gone.gpus, gone.memory_gb), strict=True)]
        if len(found) < spec.tasks and all(f >= n - EPS for f, n in zip(free, need, strict=True)):
            cost = max(fetch_cost + sum(lost_work(a, now) for a in leaving), found[-1].cost if found else 0.0)
            found.append(Slot(cost, machine, leaving))
            free = [f - n for f, n in zip(free, need, strict=True)]
            leaving = []
    return found


def victims_for_gang(
    job: Job, machines: Iterable[Machine], may_stop: Callable[[Machine], list[Attempt]], now: float
) -> list[Attempt]:
    """Whom to stop so that all tasks of the gang find room, where that throws away least; nobody if it cannot be.

    In one zone if the job wants that. Nobody is stopped for a part of a gang: it would hold room and not run.
    """
    by_zone: dict[str, list[Slot]] = {}
    for machine in machines:
        found = slots(job, machine, may_stop(machine), now)
        by_zone.setdefault(machine.zone if job.spec.one_zone else "", []).extend(found)
    best: list[Slot] = []
    least = float("inf")
    for zone in sorted(by_zone):
        chosen = heapq.nsmallest(job.spec.tasks, by_zone[zone], key=lambda slot: slot.cost)
        cost = sum(slot.cost for slot in chosen)
        if len(chosen) == job.spec.tasks and cost < least:
            best, least = chosen, cost
    return [victim for slot in best for victim in slot.victims]
