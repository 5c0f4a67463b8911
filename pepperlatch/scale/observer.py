"""Checks PROTOCOL's rules on what simulated machines and users recorded, independently of the controllers' code.

Rules about gangs and about types and kinds of machines are not checked: no run has gangs, or several types of machines.
"""

import heapq
import math
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.constants import scale as c
from pepperlatch.scale.history import Answered, AnyEvent, JobDescribed, TaskStarted, TaskStopped

DONE, CANCELLED = "done", "withdrawn"


@dataclass(frozen=True, slots=True)
class Limits:
    """`team_cpus`: CPUs that a team may use. `cancel_s`: seconds from a cancellation until no task may run."""

    team_cpus: float
    cancel_s: float


@dataclass(slots=True)
class Breach:
    """A broken rule. `at`: time of the event or deadline that showed it. `history`: latest events of the job."""

    rule: str
    at: float
    text: str
    history: list[str] = field(default_factory=list)


@dataclass(slots=True)
class _Job:
    """What the observer knows of a job. Each time is infinite until the event that it is the time of has happened."""

    description: JobDescribed
    running: dict[int, list[TaskStarted]] = field(default_factory=lambda: defaultdict(list))  # by the task's number
    zones: Counter[str] = field(default_factory=Counter)  # tasks that run, by zone
    done_tasks: set[int] = field(default_factory=set)
    accepted_at: float = math.inf
    final_state: str | None = None
    final_state_at: float = math.inf
    cancel_asked: bool = False  # an answer to its user's cancel request, or the lack of one, was recorded
    cancelled_at: float = math.inf
    unanswered_since: float = math.inf
    recent_events: deque[AnyEvent] = field(default_factory=lambda: deque(maxlen=c.BREACH_EVENTS_SHOWN))


class Observer:
    """Takes all events ordered by time; `finish` returns all breaches.

    A job's description must come before its other events; events of tasks of unknown jobs are ignored.
    """

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._jobs: dict[str, _Job] = {}
        self._cpus_by_team: defaultdict[str, float] = defaultdict(float)  # CPUs of running tasks
        self._cancel_deadlines: list[tuple[float, str]] = []  # a heap of (time, job id)
        # Polls of all jobs in the last MAX_UNANSWERED_POLLS_S: when each ended, and whether it was answered.
        self._recent_polls: deque[tuple[float, bool]] = deque()
        self._answered_polls = 0
        self.breaches: list[Breach] = []
        self.starts = 0

    def add(self, event: AnyEvent) -> None:
        """Check the rules that the event, or the time that has passed until it, may break."""
        self._check_deadlines(event.at)
        if isinstance(event, JobDescribed):
            self._jobs.setdefault(event.job, _Job(event)).recent_events.append(event)
        elif isinstance(event, TaskStarted):
            self._on_start(event)
        elif isinstance(event, TaskStopped):
            self._on_stop(event)
        elif isinstance(event, Answered):
            self._on_answer(event)

    def finish(self, at: float) -> list[Breach]:
        """Check what can only be checked at the end, at time `at`; returns all breaches."""
        self._check_deadlines(at)
        if not self.starts and self._jobs:
            self._add_breach("nothing_ran", at, "no task was started", None)
        return self.breaches

    def _add_breach(self, rule: str, at: float, text: str, job: _Job | None) -> None:
        history = [repr(event) for event in job.recent_events] if job is not None else []
        self.breaches.append(Breach(rule, at, text, history))

    # --- tasks ------------------------------------------------------------------------------------

    def _on_start(self, event: TaskStarted) -> None:
        self.starts += 1
        job_id, number = _split_task(event.task)
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.recent_events.append(event)
        spec = job.description
        others = [other for other in job.running[number] if other.machine != event.machine]
        if others:
            self._add_breach("ran_twice", event.at, f"{event.task} on {event.machine} and {others[0].machine}", job)
        self._check_placement(job, event)
        if event.at > job.cancelled_at + self._limits.cancel_s:
            self._add_breach("ran_cancelled", event.at, f"{event.task} was started after its bound", job)
        job.running[number].append(event)
        job.zones[event.zone] += 1
        self._cpus_by_team[spec.team] += spec.cpus
        if self._cpus_by_team[spec.team] > self._limits.team_cpus + 1e-6:
            self._add_breach("quota", event.at, f"{spec.team} uses {self._cpus_by_team[spec.team]:g} CPUs", job)

    def _check_placement(self, job: _Job, event: TaskStarted) -> None:
        spec = job.description
        elsewhere = sum(count for zone, count in job.zones.items() if zone != event.zone and count > 0)
        misplaced = spec.zone is not None and spec.zone != event.zone
        misplaced |= spec.one_zone and elsewhere > 0
        misplaced |= spec.spread and job.zones[event.zone] + 1 > math.ceil(spec.tasks / 2)
        if misplaced:
            self._add_breach("wrong_place", event.at, f"{event.task} in {event.zone}", job)

    def _on_stop(self, event: TaskStopped) -> None:
        job_id, number = _split_task(event.task)
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.recent_events.append(event)
        if event.done:
            job.done_tasks.add(number)
        for start in job.running[number]:
            if (start.machine, start.attempt) == (event.machine, event.attempt):
                job.running[number].remove(start)
                job.zones[start.zone] -= 1
                self._cpus_by_team[job.description.team] -= job.description.cpus
                return

    def _check_deadlines(self, now: float) -> None:
        while self._cancel_deadlines and self._cancel_deadlines[0][0] < now:
            at, job_id = heapq.heappop(self._cancel_deadlines)
            job = self._jobs[job_id]
            running_tasks = [start.task for starts in job.running.values() for start in starts]
            if running_tasks:
                self._add_breach(
                    "ran_cancelled",
                    at,
                    f"{running_tasks[0]} and {len(running_tasks) - 1} more are still on machines",
                    job,
                )

    # --- answers ----------------------------------------------------------------------------------

    def _on_answer(self, event: Answered) -> None:
        job = self._jobs.get(event.job)
        if job is None:
            if event.status in (200, 201):
                self._add_breach("invented", event.at, f"{event.job}: nobody submitted it", None)
            return
        job.recent_events.append(event)
        if event.request == "cancel":
            job.cancel_asked = True
        if event.request == "poll":
            self._count_poll(job, event)
        if event.status in (200, 201):
            self._on_state(job, event)
        elif event.asked_at > job.accepted_at and event.status in (400, 404, 422):
            self._add_breach("forgotten", event.at, f"{event.job}: {event.status} to a {event.request}", job)

    def _on_state(self, job: _Job, event: Answered) -> None:
        state = event.state
        job.accepted_at = min(job.accepted_at, event.at)
        if state == DONE and len(job.done_tasks) < job.description.tasks:
            missing = job.description.tasks - len(job.done_tasks)
            self._add_breach("not_done", event.at, f"{event.job} is called done, {missing} tasks are not", job)
        if state == CANCELLED and not job.cancel_asked:
            self._add_breach("went_back", event.at, f"{event.job} is called cancelled, its user did not", job)
        if job.final_state is not None and event.asked_at > job.final_state_at and state != job.final_state:
            self._add_breach("went_back", event.at, f"{event.job} was {job.final_state} and is {state}", job)
        if state in (DONE, CANCELLED) and job.final_state is None:
            job.final_state, job.final_state_at = state, event.at
            if state == CANCELLED:
                job.cancelled_at = event.at
                heapq.heappush(self._cancel_deadlines, (event.at + self._limits.cancel_s, event.job))

    def _count_poll(self, job: _Job, event: Answered) -> None:
        """Report a job whose polls all failed for MAX_UNANSWERED_POLLS_S while over half of all polls were answered.

        Otherwise the service as a whole may have been down, which does not break the rule.
        """
        answered = event.status in (200, 404)
        self._recent_polls.append((event.at, answered))
        self._answered_polls += answered
        while self._recent_polls and self._recent_polls[0][0] < event.at - c.MAX_UNANSWERED_POLLS_S:
            self._answered_polls -= self._recent_polls.popleft()[1]
        if answered:
            job.unanswered_since = math.inf
            return
        job.unanswered_since = min(job.unanswered_since, event.asked_at)
        unanswered_too_long = event.at - job.unanswered_since > c.MAX_UNANSWERED_POLLS_S
        if (
            unanswered_too_long
            and job.accepted_at < job.unanswered_since
            and 2 * self._answered_polls > len(self._recent_polls)
        ):
            self._add_breach(
                "forgotten", event.at, f"{event.job}: no poll was answered for {c.MAX_UNANSWERED_POLLS_S:g} s", job
            )
            job.unanswered_since = math.inf


def find_breaches(events: Iterable[AnyEvent], limits: Limits) -> list[Breach]:
    """All breaches in a history, whose events must be ordered by time."""
    observer, last = Observer(limits), 0.0
    for event in events:
        observer.add(event)
        last = event.at
    return observer.finish(last)


def _split_task(task: str) -> tuple[str, int]:
    job_id, _, number = task.rpartition("/")
    return job_id, int(number)
