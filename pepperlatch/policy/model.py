"""What the leader knows: jobs, attempts, machines. Data and sums only; rules live in the policies."""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from pepperlatch.constants.core import EMPTYING_SHARE, MIN_REASON_SHOWN_S
from pepperlatch.constants.core import EPS as EPS
from pepperlatch.policy.reasons import PLACING, STANDING, Reason
from pepperlatch.protocol.wire import PRIORITY_RANK, JobSpec, Kind, MachineType, TaskReport, TaskState


class Phase(Enum):
    """How far a launch has come; it counts against room and limits in every phase."""

    PLANNED = "planned"  # not sent, or surely not carried out
    SENT = "sent"  # in flight to the worker, by command or in a report's answer
    UNSURE = "unsure"  # a direct command without an answer: may be carried out minutes later
    THERE = "there"  # a report has shown it


class Status(Enum):
    BOOTING = "booting"  # rented; its worker has not reported
    JOINING = "joining"  # its record is being written; no launch before that
    UP = "up"
    LEAVING = "leaving"  # being returned to the cloud


@dataclass(slots=True, eq=False)
class Attempt:
    job: "Job"
    task: int
    number: int
    machine: "Machine"
    planned_at: float
    phase: Phase = Phase.PLANNED
    state: TaskState | None = None
    running_at: float | None = None
    sent_seq: int = -1  # report in whose answer the launch was last sent; -1: sent directly
    kill_grace: float | None = None  # wanted gone, with this time to save
    kill_sent: float = -1.0
    stopped_for: str = ""  # why it is wanted gone, in a few words

    @property
    def name(self) -> str:
        return f"{self.job.spec.id}/{self.task}"

    @property
    def wanted(self) -> bool:
        return self.kill_grace is None


@dataclass(slots=True, eq=False)
class Job:
    spec: JobSpec
    version: int
    since: float  # when it was submitted, or the last job that it needs was done
    old: bool  # older than the term: an earlier leader may have started its tasks
    done: set[int] = field(default_factory=set)
    saved: set[int] = field(default_factory=set)  # finished tasks that the state service holds
    live: dict[int, Attempt] = field(default_factory=dict)
    waiting: deque[int] = field(default_factory=deque)
    failed_on: set[str] = field(default_factory=set)
    pause_s: float = 0.0
    not_before: float = 0.0
    prefer: dict[int, "Machine"] = field(default_factory=dict)  # where a drain wants a task to go
    idle_since: float = -math.inf  # it has run nothing since then: its last task ended, or it became known
    reason: Reason = PLACING
    reason_since: float = 0.0
    preempt_after: float = float("-inf")  # it may have others stopped again from then on
    finishing: bool = False  # the write that makes it done is on its way
    ran: bool = False  # a task of it has run: a lost replica is restored wherever there is room
    over: bool = False  # cancelled or done: what still runs has to go
    rank: int = -1  # of its priority, or of a stronger one of a job that needs it
    due_at: float | None = None  # by when it should be done, so that what needs it can be, too
    after: int = 0  # jobs that come after it before that deadline, and share the time to spare

    def __post_init__(self) -> None:
        if self.rank < 0:
            self.rank = PRIORITY_RANK[self.spec.priority]
        self.idle_since = max(self.idle_since, self.since)
        if self.due_at is None and self.spec.deadline_s:
            self.due_at = self.since + self.spec.deadline_s

    def running(self) -> int:
        return sum(1 for a in self.live.values() if a.state is TaskState.RUNNING)

    def explain(self, reason: Reason, now: float) -> bool:
        """Whether it is of another kind than before; new numbers alone begin no new span.

        What supply a job waits for may differ from round to round; one such reason stands a while before another
        takes its place, or thousands of jobs would change theirs several times a second.
        """
        new = reason.kind is not self.reason.kind
        if new and now - self.reason_since < MIN_REASON_SHOWN_S and {reason.kind, self.reason.kind} <= STANDING:
            return False
        if new:
            self.reason_since = now
        self.reason = reason
        return new


@dataclass(slots=True, eq=False)
class Machine:
    name: str
    type: MachineType
    zone: str
    spot: bool
    addr: str
    status: Status
    born: float
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_gb: float = 0.0
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    replicas: int = 0  # of services, among the attempts
    replica_share: float = 0.0  # of its CPUs (or GPUs) that they use
    ended: dict[tuple[str, int], TaskReport] = field(default_factory=dict)
    sticky: set[tuple[str, int]] = field(default_factory=set)  # launches that may still arrive: never reaped
    unreaped: dict[tuple[str, int], float] = field(default_factory=dict)  # until when a copy of the launch may come
    images: dict[str, float] = field(default_factory=dict)  # fetched, most recently used last
    session: int = 0
    seq: int = -1
    seen_at: float = -1.0  # last report, however it came
    newest_at: float = -1.0  # when the newest of its messages came, by session and number
    reached_at: float = -1.0  # last report that came with a way back: a beat, or an answer to a question of ours
    beat_at: float = -1.0  # last report that waited for an answer of ours; at first when the leader took over
    cancelled_since: float = math.inf  # a job that may have a task here was cancelled no earlier; infinite: none was
    kept_because: str = ""  # what was decided last if it may hold a cancelled task, as logged
    return_needs_lease: bool = True  # that of the leader's key; not if it may hold a cancelled task and time is short
    unexpected: bool = False  # met by a report; neither recorded nor rented
    fenced: bool = False  # a report has shown our token: no earlier leader commands or answers it any more
    began_by: float = -1.0  # its known session had begun by then, and its worker had our token if it has it
    answered_at: float = -1.0  # a report of it was last answered: by us, or by a stand-in as far as we were told
    over_session: int = -1  # sessions up to this one are surely over
    offered: tuple[int, frozenset[tuple[str, int]]] | None = None  # launches in an answer, and of which report
    unheard: int = 0  # answers with launches in a row that its next report showed not to have arrived
    hire: str | None = None
    up_at: float | None = None
    idle_since: float | None = None
    notice_at: float | None = None  # when the cloud takes it
    leaves_silent: bool = False  # returned only because it was not heard of
    leaves_for: str = ""  # why it is being returned, in a few words
    draining: str | None = None
    quarantined: bool = False
    failed_tasks: set[str] = field(default_factory=set)
    failed_at: float = -1.0
    pace: list[float] = field(default_factory=list)  # run time over usual run time of tasks that finished
    probes: int = 0
    probes_unheard: int = 0  # when no other controller answered either
    probing: bool = False
    fence_failed: bool = False  # a try to show it our token got no answer
    relay_until: float = float("-inf")  # only others reach it
    sending: bool = False
    send_after: float = 0.0
    listed: bool = False  # the cloud has listed it

    def __post_init__(self) -> None:
        self.free_cpus, self.free_gpus, self.free_gb = self.type.cpus, self.type.gpus, self.type.memory_gb

    def take(self, spec: JobSpec) -> None:
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_gb -= spec.memory_gb

    def give(self, spec: JobSpec) -> None:
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_gb += spec.memory_gb

    def has_room(self, spec: JobSpec, tasks: int = 1) -> bool:
        return (
            self.free_cpus >= tasks * spec.cpus - EPS and self.free_gpus >= tasks * spec.gpus - EPS
            and self.free_gb >= tasks * spec.memory_gb - EPS
        )  # fmt: skip

    def used_share(self) -> float:
        share = 1 - self.free_cpus / self.type.cpus if self.type.cpus else 0.0
        return max(share, 1 - self.free_gpus / self.type.gpus) if self.type.gpus else share

    def price(self) -> float:
        return self.type.spot_price if self.spot else self.type.price

    def add(self, attempt: Attempt) -> None:
        self.attempts[(attempt.name, attempt.number)] = attempt
        self._count_replica(attempt.job.spec, 1)
        self.take(attempt.job.spec)
        self.idle_since = None

    def drop(self, attempt: Attempt) -> bool:
        """Whether it was there."""
        if self.attempts.pop((attempt.name, attempt.number), None) is None:
            return False
        self._count_replica(attempt.job.spec, -1)
        self.give(attempt.job.spec)
        return True

    def _count_replica(self, spec: JobSpec, by: int) -> None:
        if spec.kind is Kind.SERVICE:
            self.replicas += by
            self.replica_share += by * max(
                spec.cpus / self.type.cpus if self.type.cpus else 0.0,
                spec.gpus / self.type.gpus if self.type.gpus else 0.0,
            )

    def kept(self) -> bool:
        """Replicas alone keep it from being drained: what else runs there costs nothing more."""
        return self.replica_share >= EMPTYING_SHARE - EPS

    def holds_replicas(self) -> bool:
        return self.replicas > 0

    def holds_image(self, spec: JobSpec) -> bool:
        return spec.image_gb <= 0 or spec.image in self.images

    def fetches(self) -> set[str]:
        """Images that tasks here wait for."""
        return {
            a.job.spec.image for a in self.attempts.values()
            if a.state in (None, TaskState.FETCHING) and a.job.spec.image not in self.images
        }  # fmt: skip

    def fetches_image(self, spec: JobSpec) -> bool:
        return spec.image in self.fetches()

    def used_image(self, image: str, gb: float) -> None:
        """Keep the same most-recently-used list as the worker does."""
        self.images.pop(image, None)
        self.images[image] = gb
        while sum(self.images.values()) > self.type.cache_gb and len(self.images) > 1:
            self.images.pop(next(iter(self.images)))


def split_task(name: str) -> tuple[str, int] | None:
    job_id, _, task = name.rpartition("/")
    return (job_id, int(task)) if job_id and task.isdigit() else None


def allowed_on(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    return (
        (spec.spot or not spot)
        and (spec.zone is None or spec.zone == zone)
        and (spec.types is None or type_name in spec.types)
    )


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    return spec.cpus <= kind.cpus + EPS and spec.gpus <= kind.gpus + EPS and spec.memory_gb <= kind.memory_gb + EPS
