"""Chooses an underused machine to drain: all of its tasks move to busy machines, or none does.

Pure functions of the leader's state; `docs/design.md` says what was kept of the paper that the design follows.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pepperlatch.policy.model import Attempt, Machine, Phase, Size, allowed_on, task_size
from pepperlatch.policy.placement import zone_task_limit
from pepperlatch.protocol.wire import Kind, TaskState


@dataclass(slots=True)
class Drain:
    """A machine to drain, and for each of its tasks the machine that it moves to."""

    machine: Machine
    moves: list[tuple[Attempt, Machine]]


def underused(machines: Iterable[Machine], threshold: float) -> list[Machine]:
    """Machines with tasks whose share in use is below the threshold, least used first."""
    low = [m for m in machines if m.attempts and m.used_share() < threshold]
    return sorted(low, key=lambda m: (m.used_share(), m.name))


def movable(machine: Machine, now: float, age_s: float, lost_s: float) -> bool:
    """Whether all tasks of the machine may be moved, see `reason_to_stay`."""
    return not any(reason_to_stay(attempt, now, age_s, lost_s) for attempt in machine.attempts.values())


def reason_to_stay(attempt: Attempt, now: float, age_s: float, lost_s: float) -> str:
    """Why a task may not be moved, in words that follow the task's name; empty if it may be moved.

    It must run, for less than `age_s` seconds, lose at most `lost_s` seconds of work and belong to no gang. A replica
    moves only while another one of its service runs.
    """
    if attempt.phase is not Phase.CONFIRMED or not attempt.wanted or attempt.state is not TaskState.RUNNING:
        return "is starting or ending"
    if attempt.running_at is None or now - attempt.running_at >= age_s:
        return f"has run for over {age_s:g} s"
    if attempt.job.spec.kind is Kind.GANG:
        return "is of a gang"
    if attempt.job.spec.kind is Kind.SERVICE:
        return "" if _other_replica_runs(attempt) else "is the only replica that runs"
    return f"would lose over {lost_s:g} s of work" if unsaved_s(attempt, now) > lost_s else ""


def unsaved_s(attempt: Attempt, now: float) -> float:
    """Seconds of run time that are lost if the task is stopped; a replica loses none."""
    spec = attempt.job.spec
    if attempt.running_at is None or attempt.state is not TaskState.RUNNING or spec.kind is Kind.SERVICE:
        return 0.0
    return spec.save_s if spec.checkpoint_s > 0 else now - attempt.running_at


def lost_work(attempt: Attempt, now: float) -> float:
    """Seconds of CPUs and GPUs that are lost if the task is stopped."""
    return unsaved_s(attempt, now) * (attempt.job.spec.cpus + attempt.job.spec.gpus)


def _other_replica_runs(attempt: Attempt) -> bool:
    return any(a.state is TaskState.RUNNING and a is not attempt and a.wanted for a in attempt.job.live.values())


def destinations(machine: Machine, busy: list[Machine]) -> list[tuple[Attempt, Machine]] | None:
    """For each task the fullest busy machine that it fits, preferably in its zone; None if any task fits nowhere."""
    room = {m: m.free_size() for m in busy if m is not machine}
    moves: list[tuple[Attempt, Machine]] = []
    for attempt in sorted(machine.attempts.values(), key=lambda a: -a.job.spec.cpus):
        target = _target(attempt, machine, room)
        if target is None:
            return None
        room[target] = room[target].plus(task_size(attempt.job.spec), -1)
        moves.append((attempt, target))
    return moves


def _target(attempt: Attempt, source: Machine, room: dict[Machine, Size]) -> Machine | None:
    spec = attempt.job.spec
    needed = task_size(spec)
    fitting = [
        m for m, free in room.items() if free.holds(needed) and allowed_on(spec, m.type.name, m.zone, m.spot)
    ]  # fmt: skip
    if spec.kind is Kind.SERVICE:  # the replica would be missing while the image is fetched
        fitting = [m for m in fitting if m.holds_image(spec)]
    near = [m for m in fitting if m.zone == source.zone]
    far = [] if spec.kind is Kind.SERVICE or spec.one_zone else [m for m in fitting if _zone_allowed(attempt, m.zone)]
    return min(near or far, key=lambda m: (room[m].cpus, m.name), default=None)


def _zone_allowed(attempt: Attempt, zone: str) -> bool:
    in_zone = sum(1 for a in attempt.job.live.values() if a.machine.zone == zone and a is not attempt)
    return in_zone < zone_task_limit(attempt.job)


def choose_drain(
    machines: list[Machine],
    threshold: float,
    age_s: float,
    lost_s: float,
    now: float,
    needed: Callable[[Machine], bool],
) -> Drain | None:
    """The least used underused machine that can be emptied and that no waiting task needs; None if there is none.

    `threshold` is a share of the machine; `age_s` and `lost_s` are in seconds, see `reason_to_stay`. `needed` tells
    whether a waiting task would be placed on a machine.
    """
    busy = [m for m in machines if m.attempts]
    for machine in underused(machines, threshold):
        if needed(machine) or not movable(machine, now, age_s, lost_s):
            continue
        moves = destinations(machine, busy)
        if moves is not None:
            return Drain(machine, moves)
    return None


def reason_not_drained(
    machine: Machine, machines: list[Machine], age_s: float, lost_s: float, now: float,
    needed: Callable[[Machine], bool],
) -> str:  # fmt: skip
    """Why an underused machine is not drained; empty if it can be."""
    if needed(machine):
        return "somebody waits who would go there"
    for attempt in machine.attempts.values():
        if why := reason_to_stay(attempt, now, age_s, lost_s):
            return f"{attempt.name} {why}"
    busy = [m for m in machines if m.attempts]
    return "a task has no place elsewhere" if destinations(machine, busy) is None else ""
