"""Why a job waits: one reason at a time, stated by whoever decides it, with the numbers behind it.

The words are made here and nowhere else, so that a poll, the console, the report and the log say the same. They hold
no moment and no span, which would be old when they are read: `until` (steady clock of the node that states it) goes
beside them, and `Job.reason_since`.
"""

from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.protocol.wire import JobSpec


class Why(str, Enum):
    PLACING = "placing"  # accepted; the next round looks at it
    NEEDS = "needs"  # jobs that it needs are not done
    GONE = "need-cancelled"  # a job that it needs was cancelled
    REBUILDING = "rebuilding"  # after a takeover machines are not accounted for, and might run its tasks
    PAUSING = "pausing"  # it failed before
    REFUSED = "refused"  # a worker refused to start a task
    LIMIT = "team-limit"
    LEAVING = "leaving"  # a gang's earlier attempt has to be gone first
    NO_ROOM = "no-room"  # what is done about it is decided next
    FINISHING = "finishing"  # running tasks will leave room in time
    BOOTING = "booting"  # machines that will have room
    ASKED = "asked"  # the cloud is being asked for machines
    CAPACITY = "no-capacity"  # the cloud has refused whatever would do
    DARK = "cut-off"  # the zones that would do are cut off
    THRIFT = "cheap-room"  # time enough to wait for room on cheap machines
    HELD = "held"  # nothing may be rented: leadership is not proven
    STARTING = "starting"
    FETCHING = "fetching"
    RUNNING = "running"
    UNKNOWN = "unknown"  # stated by a version that names no kind


CHANGES = {
    Why.PLACING: "the next round of planning, within a second",
    Why.NEEDS: "the jobs named are done; cancelling one of them cancels this one",
    Why.GONE: "nothing: it is cancelled; submit it again without that job",
    Why.REBUILDING: "every machine has been heard of, was returned, or its lease is over",
    Why.PAUSING: "the pause ends; if it fails everywhere the job itself is at fault: its owner cancels it",
    Why.REFUSED: "a short pause ends, and it is placed anew",
    Why.LIMIT: "tasks of the team end, or its limit is raised in the platform's file",
    Why.LEAVING: "the tasks of the earlier attempt have exited",
    Why.NO_ROOM: "a task ends or a machine comes up",
    Why.FINISHING: "tasks that run now end; if they would end too late, machines are rented",
    Why.BOOTING: "the machines come up",
    Why.ASKED: "the cloud answers",
    Why.CAPACITY: "tasks end, or the cloud has machines again; wider types or zones help",
    Why.DARK: "the cut ends; other zones help, if the job allows them",
    Why.THRIFT: "cheap machines have room, or its aims leave no more time to wait",
    Why.HELD: "the state service answers this leader",
    Why.STARTING: "the worker reports the task",
    Why.FETCHING: "the machine has the image",
    Why.RUNNING: "nothing waits",
    Why.UNKNOWN: "look at the leader's own view",
}


def changes_when(why: str) -> str:
    """What ends a wait of this kind, in words; empty for a kind of a later version."""
    try:
        return CHANGES[Why(why)]
    except ValueError:
        return ""


# What a job without a place waits for; set by renting, after each round that found no room.
SUPPLY = frozenset(
    (Why.NO_ROOM, Why.FINISHING, Why.BOOTING, Why.ASKED, Why.CAPACITY, Why.DARK, Why.THRIFT, Why.HELD)
)  # fmt: skip
STANDING = SUPPLY - {Why.NO_ROOM}  # one of these stands a while before another takes its place


class Reason(msgspec.Struct, frozen=True, omit_defaults=True):
    """One reason and its numbers; which of them are set depends on the kind."""

    kind: Why
    tasks: int = 0  # without a place
    each: str = ""  # what one of them takes
    where: str = ""  # machine types and zones that would do
    machines: int = 0  # booting, or not accounted for
    among: int = 0  # of so many machines
    team: str = ""
    unit: str = ""  # what the team's limit counts
    used: float = 0.0
    most: float = 0.0
    unseen: float = 0.0  # of `used`, by tasks of machines that are not accounted for
    free: int = 0  # places of a gang that are free together
    zone: str = ""  # where they are; empty if in several
    gang: int = 0  # places that it needs together
    names: tuple[str, ...] = ()  # jobs
    image: str = ""
    until: float | None = None  # steady clock of who states it; about when it may change
    said: str = ""  # in words, where only those are known

    def text(self) -> str:
        return _TEXTS[self.kind](self) + _together(self)


def counted(count: int, thing: str) -> str:
    return f"{count} {thing}" if count == 1 else f"{count} {thing}s"


def _tasks(r: Reason) -> str:
    return counted(r.tasks, "task") + (f" of {r.each}" if r.each else "")


def named(job_ids: Sequence[str]) -> str:
    more = len(job_ids) - c.MAX_NAMES_SHOWN
    return ", ".join(job_ids[: c.MAX_NAMES_SHOWN]) + (f" and {more} more" if more > 0 else "")


def _together(r: Reason) -> str:
    if not r.gang:
        return ""
    where = f"zone {r.zone}" if r.zone else "all zones"
    return f"; all at once, and {r.free} of {counted(r.gang, 'place')} free in {where}"


def _limit(r: Reason) -> str:
    unseen = f", {r.unseen:g} of them perhaps, by tasks not seen yet" if r.unseen else ""
    return f"team limit: {r.team} uses {r.used:g} of {r.most:g} {r.unit}{unseen}"


_TEXTS: dict[Why, Callable[[Reason], str]] = {
    Why.PLACING: lambda r: "waiting to be placed",
    Why.NEEDS: lambda r: "waits for " + named(r.names),
    Why.GONE: lambda r: f"{r.names[0]}, which it needs, was cancelled",
    Why.REBUILDING: lambda r: (
        f"controllers are rebuilding their picture: {r.machines} of {counted(r.among, 'machine')} not accounted for"
    ),
    Why.PAUSING: lambda r: f"failed before on {counted(r.machines, 'machine')}, pausing",
    Why.REFUSED: lambda r: "a worker refused to start it, pausing",
    Why.LIMIT: _limit,
    Why.LEAVING: lambda r: f"{counted(r.tasks, 'task')} of its earlier attempt must be gone first",
    Why.NO_ROOM: lambda r: f"no machine has room for {_tasks(r)}",
    Why.FINISHING: lambda r: f"{_tasks(r)} wait for places that running tasks will leave",
    Why.BOOTING: lambda r: f"{counted(r.machines, 'machine')} booting, with room for {_tasks(r)}",
    Why.ASKED: lambda r: f"the cloud is asked for machines for {_tasks(r)}",
    Why.CAPACITY: lambda r: f"no capacity in the allowed zones for {_tasks(r)} ({r.where})",
    Why.DARK: lambda r: f"cut off: {r.where}, where alone {_tasks(r)} could run",
    Why.THRIFT: lambda r: f"{_tasks(r)} wait for room on cheap machines",
    Why.HELD: lambda r: f"nothing may be rented for {_tasks(r)} while the state service does not answer",
    Why.STARTING: lambda r: "starting",
    Why.FETCHING: lambda r: f"fetching its image {r.image}",
    Why.RUNNING: lambda r: "running",
    Why.UNKNOWN: lambda r: r.said,
}

PLACING = Reason(Why.PLACING)
STARTING = Reason(Why.STARTING)
RUNNING = Reason(Why.RUNNING)


def each(spec: JobSpec) -> str:
    """What a task takes, in words."""
    gpus = f", {spec.gpus:g} GPUs" if spec.gpus else ""
    return f"{spec.cpus:g} CPUs{gpus}, {spec.memory_gb:g} GB"


def fetching(spec: JobSpec) -> Reason:
    return Reason(Why.FETCHING, image=spec.image)
