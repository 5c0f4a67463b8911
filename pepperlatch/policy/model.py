"""The leader's records of jobs, task attempts and machines. Data and sums only; the other policy modules decide.

Times (`..._at`, `since`) are seconds of the node's steady clock; a negative one means never, unless stated otherwise.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from pepperlatch.constants import core as c
from pepperlatch.constants.core import EMPTYING_SHARE, MIN_REASON_SHOWN_S
from pepperlatch.constants.core import EPS as EPS
from pepperlatch.policy.reasons import DEBOUNCED, PLACING, Reason
from pepperlatch.policy.task_queue import TaskQueue
from pepperlatch.protocol import report_size
from pepperlatch.protocol.wire import PRIORITY_RANK, JobSpec, Kind, MachineType, TaskReport, TaskState


class Phase(Enum):
    """How far a launch has come. The attempt counts against room and limits in every phase."""

    PLANNED = "planned"  # not sent, or surely not carried out
    SENT = "sent"  # on its way to the worker, in a direct command or in the answer to a report
    UNCONFIRMED = "unsure"  # the direct command got no answer: the launch may be carried out minutes later
    CONFIRMED = "there"  # a report has listed the task


class Status(Enum):
    """Where a machine is between its renting and its return."""

    BOOTING = "booting"  # rented; its worker has not reported
    JOINING = "joining"  # its record is being written to the state service; nothing is launched before that
    UP = "up"
    LEAVING = "leaving"  # being returned to the cloud


class Size(NamedTuple):
    """What a task takes of a machine, or what a machine has free."""

    cpus: float
    gpus: float
    memory_gb: float
    report_bytes: float  # of its worker's report

    def plus(self, other: "Size", times: int = 1) -> "Size":
        """The sum of this and `times` the other; a negative number subtracts."""
        return Size(
            self.cpus + times * other.cpus,
            self.gpus + times * other.gpus,
            self.memory_gb + times * other.memory_gb,
            self.report_bytes + times * other.report_bytes,
        )

    def holds(self, task: "Size") -> bool:
        """Whether a task of that size fits."""
        return (
            self.cpus >= task.cpus - EPS and self.gpus >= task.gpus - EPS
            and self.memory_gb >= task.memory_gb - EPS and self.report_bytes >= task.report_bytes - EPS
        )  # fmt: skip

    def slots(self, task: "Size") -> int:
        """How many tasks of that size fit."""
        found = (self.report_bytes + EPS) // task.report_bytes
        if task.cpus > 0:  # the quotient by a tiny amount is not finite, and is never the smaller one
            found = min(found, (self.cpus + EPS) // task.cpus)
        if task.gpus > 0:
            found = min(found, (self.gpus + EPS) // task.gpus)
        if task.memory_gb > 0:
            found = min(found, (self.memory_gb + EPS) // task.memory_gb)
        return int(max(0.0, found))


def times_into(amount: float, each: float) -> int:
    """How many times `each`, which is above 0, goes into the amount: 0 for a negative one, at most MAX_TASKS.

    The quotient by a tiny amount is not finite.
    """
    if amount >= each * c.MAX_TASKS:
        return c.MAX_TASKS
    return max(0, int(amount // each)) if amount > 0 else 0


def task_size(spec: JobSpec) -> Size:
    """What one task of the job takes of its machine."""
    return Size(spec.cpus, spec.gpus, spec.memory_gb, report_size.task_bytes(spec))


def smallest_size(specs: Iterable[JobSpec]) -> Size:
    """The smallest amount of each resource that a task of any of the jobs needs; all 0 if there are none."""
    specs = list(specs)
    return Size(
        min((spec.cpus for spec in specs), default=0.0),
        min((spec.gpus for spec in specs), default=0.0),
        min((spec.memory_gb for spec in specs), default=0.0),
        min((report_size.task_bytes(spec) for spec in specs), default=0.0),
    )


def machine_size(kind: MachineType) -> Size:
    """What an empty machine of this type has free."""
    return Size(kind.cpus, kind.gpus, kind.memory_gb, report_size.MAX_TASK_BYTES)


@dataclass(slots=True, eq=False)
class Attempt:
    """One run of a task on one machine, from its planning until it is proven gone."""

    job: "Job"
    task: int  # index within the job
    number: int  # attempt number
    machine: "Machine"
    planned_at: float
    phase: Phase = Phase.PLANNED
    state: TaskState | None = None
    running_at: float | None = None
    sent_seq: int = -1  # number of the report in whose answer the launch was last sent; -1: sent directly
    kill_grace_s: float | None = None  # to be killed, with so many seconds to save its work; None: it is to run
    kill_sent_at: float = -1.0
    stop_reason: str = ""  # why it is to be killed, in a few words

    @property
    def name(self) -> str:
        """The task's name, "JOB/TASK"."""
        return f"{self.job.spec.id}/{self.task}"

    @property
    def wanted(self) -> bool:
        """Whether it is to go on running."""
        return self.kill_grace_s is None


@dataclass(slots=True, eq=False)
class Job:
    """A job that may run, or that has ended and still has tasks on machines."""

    spec: JobSpec
    version: int  # of its record in the state service; the guarantee goes to smaller ones first
    since: float  # when it was submitted, or the last job that it needs was done
    from_earlier_term: bool  # an earlier leader may have started its tasks
    done: set[int] = field(default_factory=set)  # finished tasks
    saved: set[int] = field(default_factory=set)  # finished tasks that the state service holds
    live: dict[int, Attempt] = field(default_factory=dict)  # by task: its attempt, from planning until proven gone
    waiting: TaskQueue = field(default_factory=TaskQueue)  # the tasks to be placed
    failed_on: set[str] = field(default_factory=set)  # machines on which tasks ended with an error
    pause_s: float = 0.0  # current backoff after errors
    not_before: float = 0.0  # no task is placed before: a backoff ends then
    drain_targets: dict[int, "Machine"] = field(default_factory=dict)  # by task: the machine a drain moves it to
    idle_since: float = -math.inf  # it has run nothing since: its last attempt ended then, or it became known
    reason: Reason = PLACING
    reason_since: float = 0.0
    preempt_after: float = float("-inf")  # no task is preempted for it before
    finishing: bool = False  # the write that records it as done is in progress
    ran: bool = False  # a task of it has run: a lost replica is restored wherever there is room
    over: bool = False  # cancelled or done: tasks that still run are to be killed
    rank: int = -1  # of its priority, or the stronger one of a job that needs it; the smallest is placed first
    due_at: float | None = None  # by when it should be done for itself and for the jobs that need it
    after: int = 0  # number of jobs that follow it before that deadline and share the time to spare

    def __post_init__(self) -> None:
        if self.rank < 0:
            self.rank = PRIORITY_RANK[self.spec.priority]
        self.idle_since = max(self.idle_since, self.since)
        if self.due_at is None and self.spec.deadline_s:
            self.due_at = self.since + self.spec.deadline_s

    def running(self) -> int:
        """The number of tasks that are reported as running."""
        return sum(1 for a in self.live.values() if a.state is TaskState.RUNNING)

    def explain(self, reason: Reason, now: float) -> bool:
        """Set the reason why it waits; True if its kind differs from the last one.

        New numbers alone do not restart `reason_since`. The supply of machines that a job waits for may differ from one
        planning round to the next, so a reason of that sort stays for MIN_REASON_SHOWN_S seconds before another one
        replaces it; otherwise thousands of jobs would change theirs several times a second.
        """
        new = reason.kind is not self.reason.kind
        if new and now - self.reason_since < MIN_REASON_SHOWN_S and {reason.kind, self.reason.kind} <= DEBOUNCED:
            return False
        if new:
            self.reason_since = now
        self.reason = reason
        return new


@dataclass(slots=True, eq=False)
class Machine:
    """A rented machine as this leader knows it."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    addr: str
    status: Status
    created_at: float  # when it was rented, as far as this leader knows
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_gb: float = 0.0
    free_report_bytes: float = 0.0  # of its worker's report; negative if an earlier version placed more
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    replicas: int = 0  # attempts that are replicas of services
    replica_share: float = 0.0  # share of its CPUs or GPUs, whichever is larger, that replicas use
    ended: dict[tuple[str, int], TaskReport] = field(default_factory=dict)  # exited tasks that its worker still lists
    in_flight: set[tuple[str, int]] = field(default_factory=set)  # launches that may still arrive; not reaped
    # Attempts launched by direct commands that its worker may hold: the token of the last such command. A copy of it
    # launches the attempt again once that is reaped, unless the worker has seen a higher token by then.
    direct_launches: dict[tuple[str, int], int] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)  # fetched images and their GB, most recently used last
    session: int = 0  # newest known session of its worker; each lasts as long as its lease
    seq: int = -1  # number of the newest report in that session
    last_report_at: float = -1.0  # last report, whichever way it came
    newest_message_at: float = -1.0  # when the message with the highest session and number came
    reached_at: float = -1.0  # last report that this leader could answer or had asked for: it reaches the worker
    heartbeat_at: float = -1.0  # last report that waited for this leader's answer; at first the time of the takeover
    cancelled_since: float = math.inf  # a job that may have a task here was cancelled no earlier; infinite: none was
    logged_decision: str = ""  # last logged decision on its return while it may hold a cancelled task
    return_needs_lease: bool = True  # of the leader's key; False: it may hold a cancelled task and time is short
    unexpected: bool = False  # known only by a report; neither recorded nor rented
    fenced: bool = False  # it has shown this leader's token: its worker ignores earlier leaders' orders and answers
    token: int = 0  # a token above the term's with which it is answered and commanded; 0: the term's
    began_by: float = -1.0  # by then its session had begun and, if it is fenced, its worker had this leader's token
    answered_at: float = -1.0  # this leader's last answer to its reports that may have arrived
    renewed_at: float = -1.0  # last answer of another controller on this leader's behalf, as far as the leader knows
    last_ended_session: int = -1  # sessions up to this one have surely ended
    # Number of the report last answered, and the launches in that answer; None if it had none.
    offered_launches: tuple[int, frozenset[tuple[str, int]]] | None = None
    lost_answers: int = 0  # answers with launches in a row that did not arrive, as its next report showed
    hire: str | None = None
    up_at: float | None = None
    idle_since: float | None = None  # when its last attempt was removed; None while it has one
    reclaim_at: float | None = None  # when the cloud reclaims it, by its notice
    released_as_silent: bool = False  # returned only because it was silent: called off if it reports again in time
    release_reason: str = ""  # why it is being returned, in a few words
    draining: str | None = None  # why it is being drained, in a word; None: it is not
    quarantined: bool = False  # several tasks failed on it: it gets no new ones
    failed_tasks: set[str] = field(default_factory=set)  # failed on it in a row
    failed_at: float = -1.0  # last of these failures
    pace: list[float] = field(default_factory=list)  # run time over estimated run time of finished tasks, latest last
    probes: int = 0  # probes without an answer since its last report
    isolated_probes: int = 0  # the same, where no other controller knew either: this leader may be cut off itself
    probing: bool = False  # a probe is under way
    fence_failed: bool = False  # an attempt to send it this leader's token got no answer
    forwarding_until: float = float("-inf")  # until then this leader takes it to be reached only by other controllers
    sending: bool = False  # a direct command is under way
    send_after: float = 0.0  # no direct command before, after one that failed
    listed: bool = False  # the cloud has listed it

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus, self.free_gb, self.free_report_bytes = machine_size(self.type)

    def free_size(self) -> Size:
        """What it has free."""
        return Size(self.free_cpus, self.free_gpus, self.free_gb, self.free_report_bytes)

    def reserve_room(self, spec: JobSpec) -> None:
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_gb -= spec.memory_gb
        self.free_report_bytes -= report_size.task_bytes(spec)

    def free_room(self, spec: JobSpec) -> None:
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_gb += spec.memory_gb
        self.free_report_bytes += report_size.task_bytes(spec)

    def has_room(self, spec: JobSpec, tasks: int = 1) -> bool:
        return (
            self.free_cpus >= tasks * spec.cpus - EPS and self.free_gpus >= tasks * spec.gpus - EPS
            and self.free_gb >= tasks * spec.memory_gb - EPS
            and self.free_report_bytes >= tasks * (report_size.TASK_BYTES_BESIDE_ID + len(spec.id))
        )  # fmt: skip

    def list_ended(self, tasks: dict[tuple[str, int], TaskReport]) -> None:
        """Take in which exited tasks its worker lists; they take room in its reports until they are reaped."""
        before, self.ended = self.ended, tasks
        self.free_report_bytes += sum(report_size.reported_bytes(task) for task in before.values())
        self.free_report_bytes -= sum(report_size.reported_bytes(task) for task in tasks.values())

    def used_share(self) -> float:
        """The share of its CPUs or GPUs that is in use, whichever is larger."""
        share = 1 - self.free_cpus / self.type.cpus if self.type.cpus else 0.0
        return max(share, 1 - self.free_gpus / self.type.gpus) if self.type.gpus else share

    def price(self) -> float:
        """What it costs, in the unit of its type's prices."""
        return self.type.spot_price if self.spot else self.type.price

    def add(self, attempt: Attempt) -> None:
        """Add an attempt and take its room."""
        self.attempts[(attempt.name, attempt.number)] = attempt
        self._count_replica(attempt.job.spec, 1)
        self.reserve_room(attempt.job.spec)
        self.idle_since = None

    def drop(self, attempt: Attempt) -> bool:
        """Remove an attempt and free its room; False if it was not there."""
        if self.attempts.pop((attempt.name, attempt.number), None) is None:
            return False
        self._count_replica(attempt.job.spec, -1)
        self.free_room(attempt.job.spec)
        return True

    def _count_replica(self, spec: JobSpec, by: int) -> None:
        if spec.kind is Kind.SERVICE:
            self.replicas += by
            self.replica_share += by * max(
                spec.cpus / self.type.cpus if self.type.cpus else 0.0,
                spec.gpus / self.type.gpus if self.type.gpus else 0.0,
            )

    def exempt_from_draining(self) -> bool:
        """Whether replicas use so much of it that it stays in any case: other tasks on it cost nothing more."""
        return self.replica_share >= EMPTYING_SHARE - EPS

    def holds_replicas(self) -> bool:
        return self.replicas > 0

    def holds_image(self, spec: JobSpec) -> bool:
        return spec.image_gb <= 0 or spec.image in self.images

    def fetches(self) -> set[str]:
        """Images that tasks on this machine wait for."""
        return {
            a.job.spec.image for a in self.attempts.values()
            if a.state in (None, TaskState.FETCHING) and a.job.spec.image not in self.images
        }  # fmt: skip

    def fetches_image(self, spec: JobSpec) -> bool:
        return spec.image in self.fetches()

    def used_image(self, image: str, gb: float) -> None:
        """Note a use of an image of `gb` GB, and evict the least recently used ones as the worker does."""
        self.images.pop(image, None)
        self.images[image] = gb
        while sum(self.images.values()) > self.type.cache_gb and len(self.images) > 1:
            self.images.pop(next(iter(self.images)))


def split_task(name: str) -> tuple[str, int] | None:
    """Split a task's name "JOB/TASK" into the job's id and the task's index; None if it has another form."""
    job_id, _, task = name.rpartition("/")
    return (job_id, int(task)) if job_id and task.isdigit() else None


def allowed_on(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Whether the job permits machines of this type, zone and kind (spot or not)."""
    return (
        (spec.spot or not spot)
        and (spec.zone is None or spec.zone == zone)
        and (spec.types is None or type_name in spec.types)
    )


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    """Whether an empty machine of this type has room for a task of the job."""
    return spec.cpus <= kind.cpus + EPS and spec.gpus <= kind.gpus + EPS and spec.memory_gb <= kind.memory_gb + EPS
