"""The state of a simulated machine that follows PROTOCOL: lease, session, report number, token, tasks and images.

It does no I/O and reads no clock: its worker (`worker_host.Worker`) passes the time, in seconds of the monotonic clock.
`next_due_at` tells when work is due later (an image arrives, a task completes), and `step` does it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import Cause, TaskState
from pepperlatch.scale.history import AnyEvent, LeaseEnded, TaskStarted, TaskStopped
from pepperlatch.scale.scenario import MachineShape, WorkerTimes

TaskKey = tuple[str, int]  # task and number of the attempt


@dataclass(slots=True)
class JobNeeds:
    """What a worker needs to know of a job. `run_s`: mean length of its tasks; services run until they are stopped."""

    service: bool
    cpus: float
    memory_gb: float
    image: str
    image_gb: float
    run_s: float


@dataclass(slots=True)
class Task:
    """An attempt of a task on the machine, which is fetching its image, running, or has exited with a cause."""

    needs: JobNeeds
    state: TaskState
    cause: Cause | None = None
    due_at: float | None = None  # when its image arrives or, once it runs, when it completes
    started: bool = False  # it has run, so it may have to be recorded as stopped


@dataclass(slots=True)
class Command:
    """A command of a controller: launch, kill or reap an attempt of a task."""

    verb: str
    task: str
    attempt: int

    @classmethod
    def from_wire(cls, plain: dict[str, Any]) -> "Command":
        """The command in its wire form. Raises KeyError if a field is missing."""
        return cls(plain["verb"], plain["piece"], plain["try"])


@dataclass(eq=False)
class SimulatedMachine:
    """A machine and its worker's state, which controllers see through reports and answers to commands.

    `jobs`: needs of jobs by job id, uploaded by users. `record_event`: called with each event for the history.
    """

    name: str
    address: str
    type_name: str
    zone: str
    shape: MachineShape
    times: WorkerTimes
    jobs: dict[str, JobNeeds]
    completed: set[str]  # tasks whose result is stored; all machines of the worker host share the set
    record_event: Callable[[AnyEvent], None]
    lease_start: float  # when the last report that was answered was sent
    session: int = 1  # one more after each end of a lease and each restart
    report_count: int = 0  # the number that the last report carried
    token: int = 0  # highest fencing token received from a controller
    tasks: dict[TaskKey, Task] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)  # GB of each cached image, least recently used first
    image_due_at: dict[str, float] = field(default_factory=dict)  # images that are being fetched: when they arrive
    disturbed_until: float = 0.0  # until then a trouble of the scenario explains an expired lease
    token_reported_at: float = float("-inf")
    changed: bool = False  # there is something new to report, so a report is due at once

    # --- reports ----------------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """The state in wire form, for a report or the answer to a command. Each call takes the next report number."""
        self.report_count += 1
        rows = [self._row(key, task) for key, task in self.tasks.items()]
        return {
            "perch": self.name, "endpoint": self.address, "build": self.type_name, "yard": self.zone, "loaners": False,
            "tenure": self.session, "tally": self.report_count, "baton": self.token, "reclaim_in_s": None,
            "pieces": rows,
        }  # fmt: skip

    @staticmethod
    def _row(key: TaskKey, task: Task) -> dict[str, Any]:
        row: dict[str, Any] = {"piece": key[0], "try": key[1], "status": task.state.value}
        if task.cause is not None:
            row["cause"] = task.cause.value
        return row

    # --- answers and commands ---------------------------------------------------------------------

    def apply_report_answer(self, answer: Any, session: int, sent_at: float, now: float) -> bool:
        """Renew the lease and carry out the commands of a 200 to the report that was sent at `sent_at` in `session`.

        Returns False and does nothing if the answer is malformed, has a lower token, or belongs to an earlier session.
        """
        token = answer.get("baton") if isinstance(answer, dict) else None
        if not isinstance(token, int) or token < self.token or session != self.session:
            return False
        self.lease_start = max(self.lease_start, sent_at)
        self._accept_token(token, now)
        self.execute(answer.get("orders") or [], now)
        return True

    def apply_commands(self, body: Any, now: float) -> tuple[int, dict[str, Any]]:
        """Carry out commands that a controller sent to the worker; returns the HTTP status and the report to answer.

        400 without token or session, 409 with a lower token or another session. Raises KeyError on a malformed command.
        """
        if not isinstance(body, dict) or "baton" not in body or "tenure" not in body:
            return 400, self.report()
        if body["baton"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self._accept_token(body["baton"], now)
        self.execute(body.get("orders") or [], now)
        return 200, self.report()

    def _accept_token(self, token: int, now: float) -> None:
        """Keep the token if it is higher. That causes a report at once, but at most once in half a lease."""
        if token <= self.token:
            return
        self.token = token
        if now - self.token_reported_at > self.times.lease_s / 2:
            self.token_reported_at = now
            self.changed = True

    def execute(self, commands: list[dict[str, Any]], now: float) -> None:
        """Carry out commands in wire form; those that do not apply to the state of their task have no effect."""
        for plain in commands:
            command = Command.from_wire(plain)
            key = (command.task, command.attempt)
            task = self.tasks.get(key)
            if command.verb == "launch" and task is None:
                self._launch(key, now)
            elif command.verb == "kill" and task is not None and task.state is not TaskState.EXITED:
                self._exit(key, task, Cause.STOPPED, now)
            elif command.verb == "reap" and task is not None and task.state is TaskState.EXITED:
                del self.tasks[key]
                self.changed = True

    def _launch(self, key: TaskKey, now: float) -> None:
        self.changed = True
        needs = self.jobs.get(key[0].rpartition("/")[0])
        if needs is None:
            unknown = JobNeeds(False, 0.0, 0.0, "", 0.0, 0.0)
            self.tasks[key] = Task(unknown, TaskState.EXITED, Cause.UNKNOWN)
            return
        if any(other[0] == key[0] and task.state is not TaskState.EXITED for other, task in self.tasks.items()):
            self.tasks[key] = Task(needs, TaskState.EXITED, Cause.ALREADY_RUNNING)
        elif not self._has_room_for(needs):
            self.tasks[key] = Task(needs, TaskState.EXITED, Cause.NO_ROOM)
        else:
            self.tasks[key] = Task(needs, TaskState.FETCHING, due_at=self._image_available_at(needs, now))
            self.step(now)

    def _has_room_for(self, needs: JobNeeds) -> bool:
        live_needs = [task.needs for task in self.tasks.values() if task.state is not TaskState.EXITED]
        cpus = sum(other_needs.cpus for other_needs in live_needs) + needs.cpus
        memory_gb = sum(other_needs.memory_gb for other_needs in live_needs) + needs.memory_gb
        return cpus <= self.shape.cpus + 1e-6 and memory_gb <= self.shape.memory_gb + 1e-6

    def _image_available_at(self, needs: JobNeeds, now: float) -> float:
        """When the image will be on the machine; it is fetched once for all tasks that need it."""
        if needs.image in self.images or needs.image_gb <= 0:
            return now
        due_at = self.image_due_at.setdefault(needs.image, now + needs.image_gb / self.shape.fetch_gb_per_s)
        return due_at

    # --- time -------------------------------------------------------------------------------------

    def next_due_at(self) -> float | None:
        """When `step` next has something to do; None if nothing is due."""
        return min((task.due_at for task in self.tasks.values() if task.due_at is not None), default=None)

    def step(self, now: float) -> None:
        """Start tasks whose image has arrived, and end those that have run their time."""
        for key, task in list(self.tasks.items()):
            if task.due_at is None or task.due_at > now:
                continue
            if task.state is TaskState.FETCHING:
                self._start(key, task, now)
            elif task.state is TaskState.RUNNING:
                self._exit(key, task, Cause.DONE, now)

    def _start(self, key: TaskKey, task: Task, now: float) -> None:
        self._keep_image(task.needs)
        self.changed = True
        if key[0] in self.completed:  # its result is stored already, so it exits at once
            self._exit(key, task, Cause.DONE, now)
            return
        task.state, task.started = TaskState.RUNNING, True
        task.due_at = None if task.needs.service else now + task.needs.run_s * _length_factor(key[0])
        self.record_event(TaskStarted(now, self.name, self.zone, key[0], key[1]))

    def _keep_image(self, needs: JobNeeds) -> None:
        self.image_due_at.pop(needs.image, None)
        self.images.pop(needs.image, None)
        self.images[needs.image] = needs.image_gb
        while sum(self.images.values()) > self.shape.cache_gb and len(self.images) > 1:
            self.images.pop(next(iter(self.images)))

    def _exit(self, key: TaskKey, task: Task, cause: Cause, now: float) -> None:
        was_started = task.started
        task.state, task.cause, task.due_at = TaskState.EXITED, cause, None
        self.changed = True
        done = cause is Cause.DONE
        if done:
            self.completed.add(key[0])
        if was_started:
            self.record_event(TaskStopped(now, self.name, key[0], key[1], done))

    # --- end of leases and sessions ---------------------------------------------------------------

    def expire_lease(self, now: float) -> bool:
        """If the lease is over, drop all tasks and begin a new session and lease; returns whether it was."""
        if now - self.lease_start <= self.times.lease_s:
            return False
        live_tasks = sum(1 for task in self.tasks.values() if task.state is not TaskState.EXITED)
        self.record_event(LeaseEnded(now, self.name, now <= self.disturbed_until, live_tasks))
        self.drop_tasks(now)
        self.session += 1
        self.lease_start = now
        self.changed = True
        return True

    def drop_tasks(self, now: float) -> None:
        """Stop and forget all tasks; those that had started are recorded as stopped without a result."""
        for key, task in self.tasks.items():
            if task.started and task.state is not TaskState.EXITED:
                self.record_event(TaskStopped(now, self.name, key[0], key[1], False))
        self.tasks.clear()
        self.image_due_at.clear()

    def restart(self, now: float) -> None:
        """The machine restarts under its name with a new session: it loses tasks and images, but keeps its token."""
        self.drop_tasks(now)
        self.images.clear()
        self.session += 1
        self.lease_start = now
        self.changed = True


def _length_factor(task: str) -> float:
    """How long the task runs, as a multiple of its job's mean; the same on every machine and in every attempt."""
    return 1 + c.TASK_LENGTH_SPREAD * (2 * crc32(task.encode()) / 0xFFFFFFFF - 1)


def job_needs(spec: wire.JobSpec) -> JobNeeds:
    """What a worker needs to know of a submitted job."""
    service = spec.kind is wire.Kind.SERVICE
    return JobNeeds(service, spec.cpus, spec.memory_gb, spec.image, spec.image_gb, spec.estimate_s)
