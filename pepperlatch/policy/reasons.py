"""The reasons why a job waits: one at a time, set by the code that decides about the job, with the numbers behind it.

The texts are made here only, so that a poll, the console, the report and the log say the same. They contain no times,
which would be outdated when they are read: `Reason.until` and `Job.reason_since` are shown beside them.
"""

from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.protocol.wire import JobSpec


class Why(str, Enum):
    """The kinds of reasons. The values are stored and sent; users see the texts below."""

    PLACING = "placing"  # accepted; the next planning round considers it
    NEEDS = "needs"  # jobs that it needs are not done yet
    NEED_CANCELLED = "need-cancelled"  # a job that it needs was cancelled
    REBUILDING = "rebuilding"  # after a takeover: machines that are not verified yet might run its tasks
    BACKOFF = "pausing"  # its tasks failed before
    REFUSED = "refused"  # a worker refused to start a task
    TEAM_LIMIT = "team-limit"  # its team's limit has no room for another task
    EARLIER_ATTEMPT_STOPPING = "leaving"  # all tasks of a gang's earlier attempt have to be gone first
    NO_ROOM = "no-room"  # no machine has room; the planner decides next what to do about it
    ROOM_SOON = "finishing"  # tasks that end soon enough will leave room
    BOOTING = "booting"  # booting machines will have room
    ASKING_CLOUD = "asked"  # the cloud is being asked for machines
    NO_CAPACITY = "no-capacity"  # the cloud has refused every suitable machine
    CUT_OFF = "cut-off"  # all suitable zones are cut off
    CHEAP_ROOM = "cheap-room"  # there is time to wait for room on cheap machines
    NO_RENTING = "held"  # nothing may be rented: this leader's lease is not sure
    STARTING = "starting"  # placed; its worker has not reported the task
    FETCHING = "fetching"  # its machine fetches the image
    RUNNING = "running"
    UNKNOWN = "unknown"  # stated by a controller of a version that sends no kind


CHANGES = {
    Why.PLACING: "the next round of planning, within a second",
    Why.NEEDS: "the jobs named are done; cancelling one of them cancels this one",
    Why.NEED_CANCELLED: "nothing: it is cancelled; submit it again without that job",
    Why.REBUILDING: "every machine has been heard of, was returned, or its lease is over",
    Why.BACKOFF: "the pause ends; if it fails everywhere the job itself is at fault: its owner cancels it",
    Why.REFUSED: "a short pause ends, and it is placed anew",
    Why.TEAM_LIMIT: "tasks of the team end, or its limit is raised in the platform's file",
    Why.EARLIER_ATTEMPT_STOPPING: "the tasks of the earlier attempt have exited",
    Why.NO_ROOM: "a task ends or a machine comes up",
    Why.ROOM_SOON: "tasks that run now end; if they would end too late, machines are rented",
    Why.BOOTING: "the machines come up",
    Why.ASKING_CLOUD: "the cloud answers",
    Why.NO_CAPACITY: "tasks end, or the cloud has machines again; wider types or zones help",
    Why.CUT_OFF: "the cut ends; other zones help, if the job allows them",
    Why.CHEAP_ROOM: "cheap machines have room, or its aims leave no more time to wait",
    Why.NO_RENTING: "the state service answers this leader",
    Why.STARTING: "the worker reports the task",
    Why.FETCHING: "the machine has the image",
    Why.RUNNING: "nothing waits",
    Why.UNKNOWN: "look at the leader's own view",
}


def changes_when(why: str) -> str:
    """What ends a wait of this kind, in words for users; empty for a kind that only a later version knows."""
    try:
        return CHANGES[Why(why)]
    except ValueError:
        return ""


# The reasons of a job that no machine has room for; renting sets one of these after each planning round.
SUPPLY = frozenset(
    (Why.NO_ROOM, Why.ROOM_SOON, Why.BOOTING, Why.ASKING_CLOUD, Why.NO_CAPACITY,
     Why.CUT_OFF, Why.CHEAP_ROOM, Why.NO_RENTING)
)  # fmt: skip
DEBOUNCED = SUPPLY - {Why.NO_ROOM}  # each stays for MIN_REASON_SHOWN_S seconds before another replaces it


class Reason(msgspec.Struct, frozen=True, omit_defaults=True):
    """One reason and its numbers; which of them are set depends on the kind."""

    kind: Why
    tasks: int = 0  # number of tasks without a place
    each: str = ""  # what one of them takes, in words
    where: str = ""  # suitable machine types and zones
    machines: int = 0  # number of machines: booting, not verified, or failed on
    among: int = 0  # number of all machines
    team: str = ""
    unit: str = ""  # "CPUs" or "GPUs": what the team's limit counts
    used: float = 0.0  # what the team uses
    most: float = 0.0  # the team's limit
    unseen: float = 0.0  # the part of `used` by tasks that may run unreported
    free: int = 0  # places of a gang that are free together
    zone: str = ""  # where these are; empty if in several zones
    gang: int = 0  # places that the gang needs together
    names: tuple[str, ...] = ()  # ids of jobs
    image: str = ""
    until: float | None = None  # about when it may change, on the steady clock of the node that states it
    said: str = ""  # the whole text, for UNKNOWN

    def text(self) -> str:
        """The reason in words, for users and operators."""
        return _TEXTS[self.kind](self) + _together(self)


def counted(count: int, thing: str) -> str:
    """A number with a noun, in the plural with an "s" if it is not 1."""
    return f"{count} {thing}" if count == 1 else f"{count} {thing}s"


def _tasks(r: Reason) -> str:
    return counted(r.tasks, "task") + (f" of {r.each}" if r.each else "")


def job_list_text(job_ids: Sequence[str]) -> str:
    """A list of job ids in words; of long lists only the first ones."""
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
    Why.NEEDS: lambda r: "waits for " + job_list_text(r.names),
    Why.NEED_CANCELLED: lambda r: f"{r.names[0]}, which it needs, was cancelled",
    Why.REBUILDING: lambda r: (
        f"controllers are rebuilding their picture: {r.machines} of {counted(r.among, 'machine')} not accounted for"
    ),
    Why.BACKOFF: lambda r: f"failed before on {counted(r.machines, 'machine')}, pausing",
    Why.REFUSED: lambda r: "a worker refused to start it, pausing",
    Why.TEAM_LIMIT: _limit,
    Why.EARLIER_ATTEMPT_STOPPING: lambda r: f"{counted(r.tasks, 'task')} of its earlier attempt must be gone first",
    Why.NO_ROOM: lambda r: f"no machine has room for {_tasks(r)}",
    Why.ROOM_SOON: lambda r: f"{_tasks(r)} wait for places that running tasks will leave",
    Why.BOOTING: lambda r: f"{counted(r.machines, 'machine')} booting, with room for {_tasks(r)}",
    Why.ASKING_CLOUD: lambda r: f"the cloud is asked for machines for {_tasks(r)}",
    Why.NO_CAPACITY: lambda r: f"no capacity in the allowed zones for {_tasks(r)} ({r.where})",
    Why.CUT_OFF: lambda r: f"cut off: {r.where}, where alone {_tasks(r)} could run",
    Why.CHEAP_ROOM: lambda r: f"{_tasks(r)} wait for room on cheap machines",
    Why.NO_RENTING: lambda r: f"nothing may be rented for {_tasks(r)} while the state service does not answer",
    Why.STARTING: lambda r: "starting",
    Why.FETCHING: lambda r: f"fetching its image {r.image}",
    Why.RUNNING: lambda r: "running",
    Why.UNKNOWN: lambda r: r.said,
}

PLACING = Reason(Why.PLACING)
STARTING = Reason(Why.STARTING)
RUNNING = Reason(Why.RUNNING)


def task_size_text(spec: JobSpec) -> str:
    """What a task of the job takes, in words."""
    gpus = f", {spec.gpus:g} GPUs" if spec.gpus else ""
    return f"{spec.cpus:g} CPUs{gpus}, {spec.memory_gb:g} GB"


def fetching(spec: JobSpec) -> Reason:
    """The reason of a job whose machines fetch its image."""
    return Reason(Why.FETCHING, image=spec.image)
