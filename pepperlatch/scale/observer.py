"""Judges PROTOCOL's rules from what hollow machines and users saw. Knows nothing of the controllers' code.

The rules about gangs, types and kinds of machines are not among them: no run plays gangs, or more than one type.
"""

import heapq
import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.constants import scale as c
from pepperlatch.scale.history import (
    Answered,
    AnyEvent,
    JobDescribed,
    TaskStarted,
    TaskStopped,
)

DONE, CANCELLED = "done", "withdrawn"


@dataclass(frozen=True, slots=True)
class Limits:
    """What the rules are counted against."""

    team_cpus: float
    cancel_s: float


@dataclass(slots=True)
class Breach:
    """A broken rule, with the latest events of the job that it concerns."""

    rule: str
    at: float
    text: str
    history: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Job:
    described: JobDescribed
    on: dict[int, list[TaskStarted]] = field(default_factory=lambda: defaultdict(list))  # by the task's number
    zones: Counter[str] = field(default_factory=Counter)
    done: set[int] = field(default_factory=set)
    accepted_at: float = math.inf
    final: str | None = None
    final_at: float = math.inf
    cancel_asked: bool = False
    cancelled_at: float = math.inf
    unanswered_since: float = math.inf
    recent: deque[AnyEvent] = field(default_factory=lambda: deque(maxlen=c.BREACH_EVENTS_SHOWN))


class Observer:
    """Takes events in their order; `finish` returns all breaches."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._jobs: dict[str, _Job] = {}
        self._used: defaultdict[str, float] = defaultdict(float)  # CPUs by team
        self._deadlines: list[tuple[float, str]] = []
        self._answers: deque[tuple[float, bool]] = deque()  # of polls within the last while: when, and whether answered
        self._answered = 0
        self.breaches: list[Breach] = []
        self.started = 0

    def take(self, event: AnyEvent) -> None:
        self._check_deadlines(event.at)
        if isinstance(event, JobDescribed):
            self._jobs.setdefault(event.job, _Job(event)).recent.append(event)
        elif isinstance(event, TaskStarted):
            self._on_start(event)
        elif isinstance(event, TaskStopped):
            self._on_stop(event)
        elif isinstance(event, Answered):
            self._on_answer(event)

    def finish(self, at: float) -> list[Breach]:
        self._check_deadlines(at)
        if not self.started and self._jobs:
            self._broken("nothing_ran", at, "no task was started", None)
        return self.breaches

    def _broken(self, rule: str, at: float, text: str, job: _Job | None) -> None:
        history = [repr(event) for event in job.recent] if job is not None else []
        self.breaches.append(Breach(rule, at, text, history))

    # --- tasks ------------------------------------------------------------------------------------

    def _on_start(self, event: TaskStarted) -> None:
        self.started += 1
        job_id, number = _split(event.task)
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.recent.append(event)
        spec = job.described
        others = [other for other in job.on[number] if other.machine != event.machine]
        if others:
            self._broken("ran_twice", event.at, f"{event.task} on {event.machine} and {others[0].machine}", job)
        self._check_place(job, event)
        if event.at > job.cancelled_at + self._limits.cancel_s:
            self._broken("ran_cancelled", event.at, f"{event.task} was started after its bound", job)
        job.on[number].append(event)
        job.zones[event.zone] += 1
        self._used[spec.team] += spec.cpus
        if self._used[spec.team] > self._limits.team_cpus + 1e-6:
            self._broken("quota", event.at, f"{spec.team} uses {self._used[spec.team]:g} CPUs", job)

    def _check_place(self, job: _Job, event: TaskStarted) -> None:
        spec = job.described
        elsewhere = sum(count for zone, count in job.zones.items() if zone != event.zone and count > 0)
        wrong = spec.zone is not None and spec.zone != event.zone
        wrong |= spec.one_zone and elsewhere > 0
        wrong |= spec.spread and job.zones[event.zone] + 1 > math.ceil(spec.tasks / 2)
        if wrong:
            self._broken("wrong_place", event.at, f"{event.task} in {event.zone}", job)

    def _on_stop(self, event: TaskStopped) -> None:
        job_id, number = _split(event.task)
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.recent.append(event)
        if event.done:
            job.done.add(number)
        for start in job.on[number]:
            if (start.machine, start.attempt) == (event.machine, event.attempt):
                job.on[number].remove(start)
                job.zones[start.zone] -= 1
                self._used[job.described.team] -= job.described.cpus
                return

    def _check_deadlines(self, now: float) -> None:
        while self._deadlines and self._deadlines[0][0] < now:
            at, job_id = heapq.heappop(self._deadlines)
            job = self._jobs[job_id]
            left = [start.task for starts in job.on.values() for start in starts]
            if left:
                self._broken("ran_cancelled", at, f"{left[0]} and {len(left) - 1} more are still on machines", job)

    # --- answers ----------------------------------------------------------------------------------

    def _on_answer(self, event: Answered) -> None:
        job = self._jobs.get(event.job)
        if job is None:
            if event.status in (200, 201):
                self._broken("invented", event.at, f"{event.job}: nobody submitted it", None)
            return
        job.recent.append(event)
        if event.request == "cancel":
            job.cancel_asked = True
        if event.request == "poll":
            self._count_poll(job, event)
        if event.status in (200, 201):
            self._on_state(job, event)
        elif event.asked_at > job.accepted_at and event.status in (400, 404, 422):
            self._broken("forgotten", event.at, f"{event.job}: {event.status} to a {event.request}", job)

    def _on_state(self, job: _Job, event: Answered) -> None:
        state = event.state
        job.accepted_at = min(job.accepted_at, event.at)
        if state == DONE and len(job.done) < job.described.tasks:
            missing = job.described.tasks - len(job.done)
            self._broken("not_done", event.at, f"{event.job} is called done, {missing} tasks are not", job)
        if state == CANCELLED and not job.cancel_asked:
            self._broken("went_back", event.at, f"{event.job} is called cancelled, its user did not", job)
        if job.final is not None and event.asked_at > job.final_at and state != job.final:
            self._broken("went_back", event.at, f"{event.job} was {job.final} and is {state}", job)
        if state in (DONE, CANCELLED) and job.final is None:
            job.final, job.final_at = state, event.at
            if state == CANCELLED:
                job.cancelled_at = event.at
                heapq.heappush(self._deadlines, (event.at + self._limits.cancel_s, event.job))

    def _count_poll(self, job: _Job, event: Answered) -> None:
        """For so long no poll of it was answered, while most others were."""
        good = event.status in (200, 404)
        self._answers.append((event.at, good))
        self._answered += good
        while self._answers and self._answers[0][0] < event.at - c.MAX_UNANSWERED_POLLS_S:
            self._answered -= self._answers.popleft()[1]
        if good:
            job.unanswered_since = math.inf
            return
        job.unanswered_since = min(job.unanswered_since, event.asked_at)
        silent = event.at - job.unanswered_since > c.MAX_UNANSWERED_POLLS_S
        if silent and job.accepted_at < job.unanswered_since and 2 * self._answered > len(self._answers):
            self._broken(
                "forgotten", event.at, f"{event.job}: no poll was answered for {c.MAX_UNANSWERED_POLLS_S:g} s", job
            )
            job.unanswered_since = math.inf


def judge(events: Iterable[AnyEvent], limits: Limits) -> list[Breach]:
    """All breaches in a history that is in the order of its times."""
    observer, last = Observer(limits), 0.0
    for event in events:
        observer.take(event)
        last = event.at
    return observer.finish(last)


def _split(task: str) -> tuple[str, int]:
    job_id, _, number = task.rpartition("/")
    return job_id, int(number)
