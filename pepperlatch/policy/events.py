"""Events that a leader reports to a listener, in order and after the fact. By default they are ignored.

A listener is called by the command loop, the task that runs all changes of the leader's state, between two of its
commands. It must be quick and must not change the objects that it is given. `now` is in seconds of the node's steady
clock.
"""

from typing import Protocol

from pepperlatch.policy.model import Attempt, Job, Machine


class Listener(Protocol):
    """Receives the events. Its methods are called by name in `controller/extensions.py`."""

    def explained(self, job: Job, now: float) -> None:
        """The kind of `job.reason` has changed."""

    def placed(self, attempt: Attempt, now: float) -> None:
        """A launch of the task is planned."""

    def started(self, attempt: Attempt, now: float) -> None:
        """The task has its image and runs, or waits for its gang."""

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        """The task is proven gone from its machine; `cause` says why, in a few words."""

    def job(self, job_id: str, what: str, now: float) -> None:
        """The job's state changed; `what`: `waits` (for jobs that it needs), `ready`, or one of its final states."""

    def machine(self, machine: Machine, what: str, why: str, now: float) -> None:
        """The machine's state changed, or it is underused but not drained.

        `what`: `hired`, `up`, `draining`, `drain cancelled`, `quarantined` or `gone`. `why` states the reason, if any.
        """

    def noted(self, what: str, text: str, now: float) -> None:
        """An event of the whole service: `takeover`, or `dark` for a zone whose state changed; `text` describes it."""


class NullListener:
    """Ignores all events."""

    def explained(self, job: Job, now: float) -> None: ...
    def placed(self, attempt: Attempt, now: float) -> None: ...
    def started(self, attempt: Attempt, now: float) -> None: ...
    def ended(self, attempt: Attempt, cause: str, now: float) -> None: ...
    def job(self, job_id: str, what: str, now: float) -> None: ...
    def machine(self, machine: Machine, what: str, why: str, now: float) -> None: ...
    def noted(self, what: str, text: str, now: float) -> None: ...
