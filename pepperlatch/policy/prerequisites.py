"""The graph of jobs that need others: when a job is ready, which are cancelled with it, and inherited urgency.

No I/O, no clock. A job can name only jobs accepted before it, and none is ever deleted, so there are no cycles. Walks
use a list instead of recursion, since chains may be long, and visit each job once.
"""

import math
from collections.abc import Iterable, Iterator
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


@dataclass(slots=True)
class _UnfinishedJob:
    """What is known of an unfinished job, without its dependents."""

    own: Urgency  # without what it inherits
    run_s: float  # estimated run time in seconds

    def required_of_needed(self, urgency: Urgency) -> Urgency:
        """The urgency that a job needed by this one must have for this one, with the given urgency, to be in time."""
        chained = urgency.due < math.inf
        return Urgency(urgency.rank, urgency.due - self.run_s - CHAIN_STEP_S, urgency.jobs_after + 1 if chained else 0)


@dataclass(slots=True)
class Prerequisites:
    """The graph, updated with every change of a job's record, so that a user's poll recomputes nothing."""

    needs: dict[str, tuple[str, ...]] = field(default_factory=dict)  # the jobs that a job needs, if any
    dependents: dict[str, list[str]] = field(default_factory=dict)  # the jobs that need a job
    # Cancelled job -> the job whose record says cancelled.
    cancelled_through: dict[str, str] = field(default_factory=dict)
    done_at: dict[str, float] = field(default_factory=dict)  # finished job -> time of day; 0 if it was not recorded
    _unfinished: dict[str, _UnfinishedJob] = field(default_factory=dict)
    # A cache: if it holds a job, it also holds all of the job's unfinished dependents.
    _urgency: dict[str, Urgency] = field(default_factory=dict)

    def unfinished(self) -> Iterable[str]:
        """Jobs that are neither done nor cancelled and whose descriptions have been read."""
        return self._unfinished

    # --- changes ----------------------------------------------------------------------------------

    def add(self, job_id: str, needs: Iterable[str], own: Urgency, run_s: float) -> set[str]:
        """Add an unfinished job; returns the jobs that are cancelled because it needs a cancelled one.

        `own` is its urgency without dependents, `run_s` its estimated run time in seconds.
        """
        if job_id in self._unfinished or job_id in self.cancelled_through or job_id in self.done_at:
            return set()
        self._unfinished[job_id] = _UnfinishedJob(own, run_s)
        named = tuple(needs)
        if named:
            self.needs[job_id] = named
            for name in named:
                self.dependents.setdefault(name, []).append(job_id)
        self._tighten(job_id)
        over = next((self.cancelled_through[name] for name in named if name in self.cancelled_through), None)
        return self.cancel(job_id, over) if over is not None else set()

    def finish(self, job_id: str, at: float) -> set[str]:
        """Note that the job's record says done since `at`, a time of day; returns the jobs that may be ready now."""
        self.done_at[job_id] = at
        self._drop(job_id)
        return set(self.dependents.get(job_id, ()))

    def cancel(self, job_id: str, through: str) -> set[str]:
        """Cancel the job and all that need it, directly or through others, none of which can have run; returns them.

        `through` is the job whose record says cancelled.
        """
        found: set[str] = set()
        todo = [job_id]
        while todo:
            name = todo.pop()
            if name in found or name in self.cancelled_through:
                continue
            found.add(name)
            self.cancelled_through[name] = through
            todo += self.dependents.get(name, ())
        for name in found:
            self._drop(name)
        return found

    def _drop(self, job_id: str) -> None:
        self._forget_urgency(job_id)
        self._unfinished.pop(job_id, None)

    # --- readiness --------------------------------------------------------------------------------

    def unmet_needs(self, job_id: str) -> list[str]:
        """The jobs that it needs whose records do not say done."""
        return [name for name in self.needs.get(job_id, ()) if name not in self.done_at]

    def ready_at(self, job_id: str, submitted: float) -> float:
        """Time of day at which the last job that it needs was done; its submission if it needs none.

        If an earlier version wrote the record of a needed job, the time is missing; the submission, which is never
        later, is used instead.
        """
        return max([submitted, *(self.done_at.get(name, 0.0) for name in self.needs.get(job_id, ()))])

    # --- inherited urgency ------------------------------------------------------------------------

    def urgency(self, job_id: str) -> Urgency | None:
        """The job's urgency, with what it inherits from jobs that need it; None if it is over or unknown."""
        todo = [job_id]
        while todo:
            name = todo[-1]
            missing = (
                [d for d in self._unfinished_dependents(name) if d not in self._urgency]
                if name not in self._urgency
                else []
            )
            todo += missing
            if missing:
                continue
            todo.pop()
            if name in self._unfinished and name not in self._urgency:
                urgency = self._unfinished[name].own
                for after in self._unfinished_dependents(name):
                    urgency = urgency.combined_with(self._unfinished[after].required_of_needed(self._urgency[after]))
                self._urgency[name] = urgency
        return self._urgency.get(job_id)

    def _unfinished_dependents(self, job_id: str) -> Iterator[str]:
        return (name for name in self.dependents.get(job_id, ()) if name in self._unfinished)

    def with_needed(self, job_ids: Iterable[str]) -> set[str]:
        """The given jobs and all unfinished ones that they need, directly or through others."""
        found: set[str] = set()
        todo = list(job_ids)
        while todo:
            name = todo.pop()
            if name not in found:
                found.add(name)
                todo += (n for n in self.needs.get(name, ()) if n in self._unfinished)
        return found

    def _tighten(self, job_id: str) -> None:
        """Update the cache for a new job: it can only make the jobs that it needs more urgent."""
        todo = [job_id]
        self.urgency(job_id)
        while todo:
            name = todo.pop()
            required = self._unfinished[name].required_of_needed(self._urgency[name])
            for need in self.needs.get(name, ()):
                known = self._urgency.get(need)
                if known is not None and (tighter := known.combined_with(required)) != known:
                    self._urgency[need] = tighter
                    todo.append(need)

    def _forget_urgency(self, job_id: str) -> None:
        """Drop the cached urgency of the job and of all that it needs, since theirs may follow from it."""
        for name in self.with_needed([job_id]):
            self._urgency.pop(name, None)
