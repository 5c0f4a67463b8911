"""Inherited urgency: a job is as urgent as the most urgent job that needs it, directly or through others.

No I/O, no clock. A change spreads from a job to the jobs that it needs in the order of their levels, so each change
visits a job at most once, however many paths lead to it. The work is done in slices of a bounded number of steps,
since a graph may have hundreds of thousands of edges; until a change has spread, some jobs have their earlier urgency.
"""

import heapq
import math
from dataclasses import dataclass, field

from pepperlatch.constants.core import CHAIN_STEP_S


@dataclass(frozen=True, slots=True)
class Urgency:
    """How urgent a job is, by its own priority and deadline or by those of jobs that need it."""

    rank: int  # of a priority; a smaller rank is stronger
    due: float = math.inf  # time of day, in seconds, at which it should be done
    jobs_after: int = 0  # jobs between this one and the end of the chain whose deadline `due` comes from

    def combined_with(self, other: "Urgency") -> "Urgency":
        """The stronger rank and the earlier due time of both."""
        due, after = min((self.due, -self.jobs_after), (other.due, -other.jobs_after))
        return Urgency(min(self.rank, other.rank), due, -after)

    def covers(self, other: "Urgency") -> bool:
        """Whether it is as urgent as the other in every respect, so that both combined are no more than this one."""
        if self.rank > other.rank or self.due > other.due:
            return False
        return self.due < other.due or self.jobs_after >= other.jobs_after


@dataclass(slots=True)
class _Job:
    """An unfinished job and its urgency as far as changes have spread."""

    own: Urgency  # without what it inherits
    run_s: float  # estimated run time in seconds
    level: int  # higher than those of all unfinished jobs that it needs
    urgency: Urgency
    spread: Urgency | None = None  # the urgency that the jobs it needs have taken into account; None: none yet

    def required_of_needed(self) -> Urgency:
        """The urgency that a job needed by this one must have for this one to be in time."""
        chained = self.urgency.due < math.inf
        due = self.urgency.due - self.run_s - CHAIN_STEP_S
        return Urgency(self.urgency.rank, due, self.urgency.jobs_after + 1 if chained else 0)


@dataclass(slots=True)
class InheritedUrgency:
    """The urgencies of all unfinished jobs.

    `needs` and `dependents` are the edges of the graph, in both directions, kept by the caller; they also hold jobs
    that are over or unknown. Adding and removing a job only notes what has changed; `update` spreads the changes.
    """

    needs: dict[str, tuple[str, ...]]
    dependents: dict[str, list[str]]
    _jobs: dict[str, _Job] = field(default_factory=dict)
    # Job whose urgency may have changed -> whether it must be computed again from those of its dependents.
    _pending: dict[str, bool] = field(default_factory=dict)
    _queue: list[tuple[int, str]] = field(default_factory=list)  # heap of the pending jobs, the highest level first
    _levels_valid: bool = True

    def of(self, job_id: str) -> Urgency | None:
        """The job's urgency as far as changes have spread; None if it is over or unknown."""
        job = self._jobs.get(job_id)
        return job.urgency if job is not None else None

    def pending(self) -> bool:
        """Whether changes are left that `update` has not spread yet."""
        return bool(self._pending)

    def add(self, job_id: str, own: Urgency, run_s: float) -> None:
        """Add an unfinished job, whose edges the caller has added. Takes a step for each of its edges."""
        levels = (self._jobs[name].level for name in self.needs.get(job_id, ()) if name in self._jobs)
        self._jobs[job_id] = _Job(own, run_s, 1 + max(levels, default=0), own)
        if any(name in self._jobs for name in self.dependents.get(job_id, ())):
            self._levels_valid = False  # records are read in the order of their ids: a dependent may come first
            self._mark(job_id, recompute=True)
        elif job_id in self.needs:
            self._mark(job_id, recompute=False)

    def remove(self, job_id: str) -> None:
        """Remove a job that is over, if it is known. Takes a step for each job that it needs."""
        self._pending.pop(job_id, None)
        if self._jobs.pop(job_id, None) is not None:
            for name in self.needs.get(job_id, ()):
                self._mark(name, recompute=True)

    def update(self, max_steps: float = math.inf) -> set[str]:
        """Spread changes until about `max_steps` edges have been followed; returns the jobs whose urgency changed."""
        if not self._levels_valid:
            self._compute_levels()
        changed: set[str] = set()
        steps = 0
        while self._queue and steps < max_steps:
            _, job_id = heapq.heappop(self._queue)
            recompute = self._pending.pop(job_id, None)
            if recompute is None:  # it is over
                continue
            if recompute:
                steps += self._recompute(job_id, changed)
            steps += 1 + self._spread(job_id, changed)
        return changed

    def _mark(self, job_id: str, recompute: bool) -> None:
        if job_id not in self._jobs:
            return
        if job_id not in self._pending:
            heapq.heappush(self._queue, (-self._jobs[job_id].level, job_id))
        self._pending[job_id] = self._pending.get(job_id, False) or recompute

    def _recompute(self, job_id: str, changed: set[str]) -> int:
        """Compute the job's urgency from those of its dependents; returns the number of steps."""
        job, dependents = self._jobs[job_id], self.dependents.get(job_id, ())
        urgency = job.own
        for name in dependents:
            if name in self._jobs and not urgency.covers(required := self._jobs[name].required_of_needed()):
                urgency = urgency.combined_with(required)
        if urgency != job.urgency:
            job.urgency = urgency
            changed.add(job_id)
        return len(dependents)

    def _spread(self, job_id: str, changed: set[str]) -> int:
        """Pass a changed urgency on to the jobs that the job needs; returns the number of steps."""
        job, needs = self._jobs[job_id], self.needs.get(job_id, ())
        if job.urgency == job.spread:
            return 0
        stronger = job.spread is None or job.urgency.covers(job.spread)
        job.spread = job.urgency
        required = job.required_of_needed()
        for name in needs:
            needed = self._jobs.get(name)
            if needed is None:
                continue
            if not stronger:
                self._mark(name, recompute=True)
            elif not needed.urgency.covers(required):
                needed.urgency = needed.urgency.combined_with(required)
                changed.add(name)
                self._mark(name, recompute=False)
        return len(needs)

    def _compute_levels(self) -> None:
        """Compute all levels anew, and put the queue in their order. Takes a step for each edge."""
        unmet = {job_id: sum(1 for name in self.needs.get(job_id, ()) if name in self._jobs) for job_id in self._jobs}
        ready = [job_id for job_id, count in unmet.items() if count == 0]
        for job_id in ready:
            self._jobs[job_id].level = 1
        while ready:
            job_id = ready.pop()
            level = self._jobs[job_id].level
            for name in self.dependents.get(job_id, ()):
                if name not in self._jobs:
                    continue
                unmet[name] -= 1
                if unmet[name] == 0:
                    ready.append(name)
                    self._jobs[name].level = level + 1
        self._levels_valid = True
        self._queue = [(-self._jobs[job_id].level, job_id) for job_id in self._pending]
        heapq.heapify(self._queue)
