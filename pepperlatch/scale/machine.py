"""A hollow machine as PROTOCOL's workers are: lease, sessions, numbers, token, tasks, images. No I/O, no clock.

What is due later (an image that has arrived, a task that completes) is told by `next_due`; `step` carries it out.
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

Key = tuple[str, int]


@dataclass(slots=True)
class JobNeeds:
    """What a worker reads in a job's description."""

    service: bool
    cpus: float
    memory_gb: float
    image: str
    image_gb: float
    run_s: float


@dataclass(slots=True)
class Task:
    needs: JobNeeds
    state: TaskState
    cause: Cause | None = None
    due_at: float | None = None  # when its image is there, or it completes
    started: bool = False


@dataclass(slots=True)
class Order:
    """A command of a controller. Raises KeyError if a field is missing."""

    verb: str
    task: str
    attempt: int

    @classmethod
    def of(cls, plain: dict[str, Any]) -> "Order":
        return cls(plain["verb"], plain["piece"], plain["try"])


@dataclass(eq=False)
class Machine:
    """`jobs`: descriptions by id, uploaded by users. `record`: told what the observer judges."""

    name: str
    address: str
    kind: str
    zone: str
    shape: MachineShape
    times: WorkerTimes
    jobs: dict[str, JobNeeds]
    completed: set[str]  # tasks whose result is kept, on any machine
    record: Callable[[AnyEvent], None]
    lease_from: float
    session: int = 1
    number: int = 0
    token: int = 0
    tasks: dict[Key, Task] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    image_due: dict[str, float] = field(default_factory=dict)
    disturbed_until: float = 0.0  # a trouble of the scenario explains a lost lease until then
    token_told_at: float = float("-inf")
    changed: bool = False

    # --- what it says -----------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """What it says of itself, in a report or in the answer to a command."""
        self.number += 1
        rows = [self._row(key, task) for key, task in self.tasks.items()]
        return {
            "perch": self.name, "endpoint": self.address, "build": self.kind, "yard": self.zone, "loaners": False,
            "tenure": self.session, "tally": self.number, "baton": self.token, "reclaim_in_s": None, "pieces": rows,
        }  # fmt: skip

    @staticmethod
    def _row(key: Key, task: Task) -> dict[str, Any]:
        row: dict[str, Any] = {"piece": key[0], "try": key[1], "status": task.state.value}
        if task.cause is not None:
            row["cause"] = task.cause.value
        return row

    # --- what it is told --------------------------------------------------------------------------

    def take_answer(self, answer: Any, session: int, sent_at: float, now: float) -> bool:
        """The 200 to a report that was sent then in that session; False if it is dropped."""
        token = answer.get("baton") if isinstance(answer, dict) else None
        if not isinstance(token, int) or token < self.token or session != self.session:
            return False
        self.lease_from = max(self.lease_from, sent_at)
        self._see_token(token, now)
        self.execute(answer.get("orders") or [], now)
        return True

    def take_command(self, body: Any, now: float) -> tuple[int, dict[str, Any]]:
        """A direct command: status and report after it."""
        if not isinstance(body, dict) or "baton" not in body or "tenure" not in body:
            return 400, self.report()
        if body["baton"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self._see_token(body["baton"], now)
        self.execute(body.get("orders") or [], now)
        return 200, self.report()

    def _see_token(self, token: int, now: float) -> None:
        """A higher one counts as a change, at most once in half a lease."""
        if token <= self.token:
            return
        self.token = token
        if now - self.token_told_at > self.times.lease_s / 2:
            self.token_told_at = now
            self.changed = True

    def execute(self, orders: list[dict[str, Any]], now: float) -> None:
        for plain in orders:
            order = Order.of(plain)
            key = (order.task, order.attempt)
            task = self.tasks.get(key)
            if order.verb == "launch" and task is None:
                self._launch(key, now)
            elif order.verb == "kill" and task is not None and task.state is not TaskState.EXITED:
                self._exit(key, task, Cause.STOPPED, now)
            elif order.verb == "reap" and task is not None and task.state is TaskState.EXITED:
                del self.tasks[key]
                self.changed = True

    def _launch(self, key: Key, now: float) -> None:
        self.changed = True
        needs = self.jobs.get(key[0].rpartition("/")[0])
        if needs is None:
            unknown = JobNeeds(False, 0.0, 0.0, "", 0.0, 0.0)
            self.tasks[key] = Task(unknown, TaskState.EXITED, Cause.UNKNOWN)
            return
        if any(other[0] == key[0] and task.state is not TaskState.EXITED for other, task in self.tasks.items()):
            self.tasks[key] = Task(needs, TaskState.EXITED, Cause.ALREADY_RUNNING)
        elif not self._room_for(needs):
            self.tasks[key] = Task(needs, TaskState.EXITED, Cause.NO_ROOM)
        else:
            self.tasks[key] = Task(needs, TaskState.FETCHING, due_at=self._image_at(needs, now))
            self.step(now)

    def _room_for(self, needs: JobNeeds) -> bool:
        held = [task.needs for task in self.tasks.values() if task.state is not TaskState.EXITED]
        cpus = sum(one.cpus for one in held) + needs.cpus
        memory_gb = sum(one.memory_gb for one in held) + needs.memory_gb
        return cpus <= self.shape.cpus + 1e-6 and memory_gb <= self.shape.memory_gb + 1e-6

    def _image_at(self, needs: JobNeeds, now: float) -> float:
        """When the image is there; it is fetched once for all tasks that need it."""
        if needs.image in self.images or needs.image_gb <= 0:
            return now
        due_at = self.image_due.setdefault(needs.image, now + needs.image_gb / self.shape.fetch_gb_per_s)
        return due_at

    # --- time -------------------------------------------------------------------------------------

    def next_due(self) -> float | None:
        """When `step` has something to do."""
        return min((task.due_at for task in self.tasks.values() if task.due_at is not None), default=None)

    def step(self, now: float) -> None:
        for key, task in list(self.tasks.items()):
            if task.due_at is None or task.due_at > now:
                continue
            if task.state is TaskState.FETCHING:
                self._start(key, task, now)
            elif task.state is TaskState.RUNNING:
                self._exit(key, task, Cause.DONE, now)

    def _start(self, key: Key, task: Task, now: float) -> None:
        self._keep_image(task.needs)
        self.changed = True
        if key[0] in self.completed:  # its result is kept
            self._exit(key, task, Cause.DONE, now)
            return
        task.state, task.started = TaskState.RUNNING, True
        task.due_at = None if task.needs.service else now + task.needs.run_s * _length(key[0])
        self.record(TaskStarted(now, self.name, self.zone, key[0], key[1]))

    def _keep_image(self, needs: JobNeeds) -> None:
        self.image_due.pop(needs.image, None)
        self.images.pop(needs.image, None)
        self.images[needs.image] = needs.image_gb
        while sum(self.images.values()) > self.shape.cache_gb and len(self.images) > 1:
            self.images.pop(next(iter(self.images)))

    def _exit(self, key: Key, task: Task, cause: Cause, now: float) -> None:
        was_started = task.started
        task.state, task.cause, task.due_at = TaskState.EXITED, cause, None
        self.changed = True
        done = cause is Cause.DONE
        if done:
            self.completed.add(key[0])
        if was_started:
            self.record(TaskStopped(now, self.name, key[0], key[1], done))

    # --- leases and ends --------------------------------------------------------------------------

    def check_lease(self, now: float) -> bool:
        """End the session if its lease is over; whether it was."""
        if now - self.lease_from <= self.times.lease_s:
            return False
        live = sum(1 for task in self.tasks.values() if task.state is not TaskState.EXITED)
        self.record(LeaseEnded(now, self.name, now <= self.disturbed_until, live))
        self.forget_tasks(now)
        self.session += 1
        self.lease_from = now
        self.changed = True
        return True

    def forget_tasks(self, now: float) -> None:
        for key, task in self.tasks.items():
            if task.started and task.state is not TaskState.EXITED:
                self.record(TaskStopped(now, self.name, key[0], key[1], False))
        self.tasks.clear()
        self.image_due.clear()

    def restart(self, now: float) -> None:
        """It ends, and is back under its name in a later session with nothing that it held."""
        self.forget_tasks(now)
        self.images.clear()
        self.session += 1
        self.lease_from = now
        self.changed = True


def _length(task: str) -> float:
    """How long the task runs, in times of its job's mean; the same wherever it runs."""
    return 1 + c.TASK_LENGTH_SPREAD * (2 * crc32(task.encode()) / 0xFFFFFFFF - 1)


def needs_of(spec: wire.JobSpec) -> JobNeeds:
    """A job's description as a worker reads it."""
    service = spec.kind is wire.Kind.SERVICE
    return JobNeeds(service, spec.cpus, spec.memory_gb, spec.image, spec.image_gb, spec.estimate_s)
