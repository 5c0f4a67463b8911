"""Which job needs which: dependents, readiness, cancellation that reaches what comes after, inherited urgency.

Pure: no I/O, no clock. Jobs are named only after they were accepted and are never deleted, so there are no
cycles; walks use a list of their own instead of recursion and visit each job once.
"""

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pepperlatch.constants.core import CHAIN_STEP_S


@dataclass(frozen=True, slots=True)
class Standing:
    """How urgent a job is: the smaller the rank the stronger; `due`: time of day at which it should be done.

    `after`: how many jobs come after it on the way to the one whose deadline that is.
    """

    rank: int
    due: float = math.inf
    after: int = 0

    def with_(self, other: "Standing") -> "Standing":
        due, after = min((self.due, -self.after), (other.due, -other.after))
        return Standing(min(self.rank, other.rank), due, -after)


@dataclass(slots=True)
class _Link:
    """An unfinished job by itself, and what that asks of the jobs before it."""

    own: Standing
    run_s: float

    def before(self, standing: Standing) -> Standing:
        """The standing that a job needs for this one, which has that standing, to be done in time."""
        chained = standing.due < math.inf
        return Standing(standing.rank, standing.due - self.run_s - CHAIN_STEP_S, standing.after + 1 if chained else 0)


@dataclass(slots=True)
class Prerequisites:
    """Kept up with every change of a job's record; nothing is derived anew for a poll."""

    needs: dict[str, tuple[str, ...]] = field(default_factory=dict)  # of jobs that need any
    dependents: dict[str, list[str]] = field(default_factory=dict)
    through: dict[str, str] = field(default_factory=dict)  # cancelled jobs -> the job whose record says so
    done: dict[str, float] = field(default_factory=dict)  # finished jobs -> time of day; 0 if not recorded
    _links: dict[str, _Link] = field(default_factory=dict)  # of unfinished jobs
    _standing: dict[str, Standing] = field(default_factory=dict)  # if here, so are those of all dependents

    def unfinished(self) -> Iterable[str]:
        """Jobs that are not over, as far as their descriptions are known."""
        return self._links

    # --- changes ----------------------------------------------------------------------------------

    def add(self, job_id: str, needs: Iterable[str], own: Standing, run_s: float) -> set[str]:
        """An unfinished job; the jobs that are cancelled now because of what it names."""
        if job_id in self._links or job_id in self.through or job_id in self.done:
            return set()
        self._links[job_id] = _Link(own, run_s)
        named = tuple(needs)
        if named:
            self.needs[job_id] = named
            for name in named:
                self.dependents.setdefault(name, []).append(job_id)
        self._tighten(job_id)
        over = next((self.through[name] for name in named if name in self.through), None)
        return self.cancel(job_id, over) if over is not None else set()

    def finish(self, job_id: str, at: float) -> set[str]:
        """The job's record says done; the jobs that may be ready now."""
        self.done[job_id] = at
        self._drop(job_id)
        return set(self.dependents.get(job_id, ()))

    def cancel(self, job_id: str, through: str) -> set[str]:
        """The job is cancelled, and so is all that needs it, directly or through others: none of it can have run."""
        found: set[str] = set()
        todo = [job_id]
        while todo:
            name = todo.pop()
            if name in found or name in self.through:
                continue
            found.add(name)
            self.through[name] = through
            todo += self.dependents.get(name, ())
        for name in found:
            self._drop(name)
        return found

    def _drop(self, job_id: str) -> None:
        self._forget_standing(job_id)
        self._links.pop(job_id, None)

    # --- readiness --------------------------------------------------------------------------------

    def waits_for(self, job_id: str) -> list[str]:
        """The jobs that it needs and that are not recorded as done."""
        return [name for name in self.needs.get(job_id, ()) if name not in self.done]

    def ready_at(self, job_id: str, submitted: float) -> float:
        """Time of day at which the last job it needs was done.

        Where that was not recorded (an earlier version wrote it): the submission, which is never later.
        """
        return max([submitted, *(self.done.get(name, 0.0) for name in self.needs.get(job_id, ()))])

    # --- inherited urgency ------------------------------------------------------------------------

    def standing(self, job_id: str) -> Standing | None:
        """The job's own rank and due time, or stronger ones of what needs it; None if it is over."""
        todo = [job_id]
        while todo:
            name = todo[-1]
            missing = [d for d in self._after(name) if d not in self._standing] if name not in self._standing else []
            todo += missing
            if missing:
                continue
            todo.pop()
            if name in self._links and name not in self._standing:
                standing = self._links[name].own
                for after in self._after(name):
                    standing = standing.with_(self._links[after].before(self._standing[after]))
                self._standing[name] = standing
        return self._standing.get(job_id)

    def _after(self, job_id: str) -> Iterator[str]:
        return (name for name in self.dependents.get(job_id, ()) if name in self._links)

    def before(self, job_ids: Iterable[str]) -> set[str]:
        """The jobs given and all unfinished ones that they need, directly or through others."""
        found: set[str] = set()
        todo = list(job_ids)
        while todo:
            name = todo.pop()
            if name not in found:
                found.add(name)
                todo += (n for n in self.needs.get(name, ()) if n in self._links)
        return found

    def _tighten(self, job_id: str) -> None:
        """A job has come: it can only make those before it more urgent, and only what is known already changes."""
        todo = [job_id]
        self.standing(job_id)
        while todo:
            name = todo.pop()
            asks = self._links[name].before(self._standing[name])
            for need in self.needs.get(name, ()):
                held = self._standing.get(need)
                if held is not None and (tighter := held.with_(asks)) != held:
                    self._standing[need] = tighter
                    todo.append(need)

    def _forget_standing(self, job_id: str) -> None:
        """Also of all before it, for theirs may follow from it."""
        for name in self.before([job_id]):
            self._standing.pop(name, None)
