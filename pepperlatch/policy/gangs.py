"""Chooses the tasks to preempt for a gang, which needs room for all of its tasks or none. No I/O, no clock."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pepperlatch.policy.draining import lost_work
from pepperlatch.policy.model import Attempt, Job, Machine, task_size
from pepperlatch.policy.placement import fetch_s, machine_slots


@dataclass(slots=True)
class Slot:
    """Room for one more task on a machine once the victims have left; `cost` is in seconds of CPUs and GPUs."""

    cost: float
    machine: Machine
    victims: list[Attempt]


def slots(job: Job, machine: Machine, may_stop: Iterable[Attempt], now: float) -> list[Slot]:
    """The machine's slots for the job's tasks, cheapest first: free ones, then those of tasks that lose least work.

    A slot where the image must be fetched costs the CPU and GPU time that is idle meanwhile. A slot costs no less than
    the one before it on its machine, since it counts on that one's victims leaving too.
    """
    spec = job.spec
    fetch_cost = 0.0 if machine.holds_image(spec) else fetch_s(machine, spec) * (spec.cpus + spec.gpus)
    found = [Slot(fetch_cost, machine, []) for _ in range(min(spec.tasks, machine_slots(job, machine)))]
    needed = task_size(spec)
    free = machine.free_size().plus(needed, -len(found))
    leaving: list[Attempt] = []
    for victim in sorted(may_stop, key=lambda a: lost_work(a, now)):
        leaving.append(victim)
        free = free.plus(task_size(victim.job.spec))
        if len(found) < spec.tasks and free.holds(needed):
            cost = max(fetch_cost + sum(lost_work(a, now) for a in leaving), found[-1].cost if found else 0.0)
            found.append(Slot(cost, machine, leaving))
            free = free.plus(needed, -1)
            leaving = []
    return found


def victims_for_gang(
    job: Job, machines: Iterable[Machine], may_stop: Callable[[Machine], list[Attempt]], now: float
) -> list[Attempt]:
    """The attempts to stop so that the whole gang finds room at the least cost; empty if it cannot.

    The slots are in one zone if the job must be. Nothing is stopped for a part of a gang: it would hold room and not
    run.
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
