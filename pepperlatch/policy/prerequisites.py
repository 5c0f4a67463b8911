"""The graph of jobs that need others: when a job is ready, and which are cancelled with it.

`inherited_urgency.py` says how urgent they are. No I/O, no clock. A job can name only jobs accepted before it, and none
is ever deleted, so there are no cycles. Walks use a list instead of recursion, since chains may be long, and visit each
job once.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from pepperlatch.policy.inherited_urgency import InheritedUrgency, Urgency


@dataclass(slots=True)
class Prerequisites:
    """The graph, updated with every change of a job's record, so that a user's poll recomputes nothing."""

    needs: dict[str, tuple[str, ...]] = field(default_factory=dict)  # the jobs that a job needs, if any
    dependents: dict[str, list[str]] = field(default_factory=dict)  # the jobs that need a job
    # Cancelled job -> the job whose record says cancelled.
    cancelled_through: dict[str, str] = field(default_factory=dict)
    done_at: dict[str, float] = field(default_factory=dict)  # finished job -> time of day; 0 if it was not recorded
    urgencies: InheritedUrgency = field(init=False)
    _unfinished: set[str] = field(default_factory=set)  # neither done nor cancelled, their descriptions have been read

    def __post_init__(self) -> None:
        self.urgencies = InheritedUrgency(self.needs, self.dependents)

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
        self._unfinished.add(job_id)
        named = tuple(needs)
        if named:
            self.needs[job_id] = named
            for name in named:
                self.dependents.setdefault(name, []).append(job_id)
        self.urgencies.add(job_id, own, run_s)
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
        self.urgencies.remove(job_id)
        self._unfinished.discard(job_id)

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
