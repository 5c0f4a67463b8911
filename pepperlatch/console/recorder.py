"""Receives a leader's events during one term, and records time lines, costs, recoveries and machine events.

It also marks the jobs whose rows must be rebuilt.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from pepperlatch.console.accounting import CostAccounting, Recoveries
from pepperlatch.console.history import Event, EventKind, History
from pepperlatch.constants import console as c
from pepperlatch.policy.model import Attempt, Job, Machine
from pepperlatch.protocol import wire

Clock = Callable[[], float]


class ClusterEvent(msgspec.Struct, omit_defaults=True):
    """An event of a machine, or of the whole service if `machine` is empty. `at`: time of day, s."""

    at: float
    what: str
    text: str
    machine: str = ""


class Recorder:
    """Implements `policy.events.Listener`. Called by the command loop; each method takes some microseconds."""

    def __init__(
        self, clock: Clock, wall: Clock, accepted_at: Callable[[str], float],
        on_job_over: Callable[[str, list[Event]], None] | None = None,
    ) -> None:  # fmt: skip
        """`clock` and `wall`: steady clock and time of day, s. `accepted_at`: when a job was accepted, time of day, s.

        `on_job_over` is called with the id and the time line of each job that ends.
        """
        now = clock()
        self._clock, self._wall = clock, wall
        self._accepted_at = accepted_at
        self._on_job_over = on_job_over
        self.started_at = wall()  # time of day, s
        self.history = History(float(int(self.started_at - c.MAX_JOB_AGE_S)))
        self.costs = CostAccounting(now, now)
        self.recoveries = Recoveries()
        self.events: deque[ClusterEvent] = deque(maxlen=c.MAX_EVENTS_KEPT)
        self.dirty: set[str] | None = None  # jobs whose rows must be rebuilt; None without viewers
        self.records_written = 0  # by which the next save sees whether there is something new

    def _time_of_day(self, now: float) -> float:
        """The time of day, s, at `now` of the steady clock."""
        return self._wall() + now - self._clock()

    def _record(self, job_id: str, what: EventKind, now: float, text: str = "", subject: str = "") -> None:
        self.history.add(job_id, what, self._time_of_day(now), text, subject)
        self.records_written += 1
        if self.dirty is not None:
            self.dirty.add(job_id)

    # --- methods of the listener ------------------------------------------------------------------

    def explained(self, job: Job, now: float) -> None:
        self._record(job.spec.id, EventKind.REASON, now, job.reason.text())

    def placed(self, attempt: Attempt, now: float) -> None:
        if self.dirty is not None:
            self.dirty.add(attempt.job.spec.id)

    def started(self, attempt: Attempt, now: float) -> None:
        self.recoveries.started(attempt, now)
        self._record(attempt.job.spec.id, EventKind.STARTED, now, subject=attempt.machine.name)

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        if cause == "not sent":
            return
        self.costs.ended(attempt, cause, now)
        self.recoveries.ended(attempt, cause, now)
        self._record(attempt.job.spec.id, EventKind.ENDED, now, cause, attempt.machine.name)

    def job(self, job_id: str, what: str, now: float) -> None:
        if what in (state.value for state in wire.FINAL_JOB_STATES):
            self.recoveries.job_ended(job_id)
            self._record(job_id, EventKind.OVER, now, what)
            if self._on_job_over is not None:
                self._on_job_over(job_id, self.history.timeline(job_id))
            return
        if job_id not in self.history:
            self.history.add(job_id, EventKind.ACCEPTED, self._accepted_at(job_id))
        stage = EventKind.WAITS if what == "waits" else EventKind.READY
        if not self.history.has(job_id, stage):  # a new leader gets the event again
            self._record(job_id, stage, now)
        elif self.dirty is not None:
            self.dirty.add(job_id)

    def machine(self, machine: Machine, what: str, why: str, now: float) -> None:
        kind = f"{machine.type.name} {'spot ' if machine.spot else ''}in {machine.zone}"
        self.events.append(ClusterEvent(self._time_of_day(now), what, f"{kind}: {why}" if why else kind, machine.name))

    def noted(self, what: str, text: str, now: float) -> None:
        self.events.append(ClusterEvent(self._time_of_day(now), what, text))
