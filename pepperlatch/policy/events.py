"""What a leader tells of what it decided and saw, after the fact and in order. Nobody listens by default.

A listener runs in the command loop, between two commands: it must be quick, and changes nothing of what it is shown.
"""

from typing import Protocol

from pepperlatch.policy.model import Attempt, Job, Machine


class Listener(Protocol):
    def explained(self, job: Job, now: float) -> None:
        """`job.reason` is of another kind than before."""

    def placed(self, attempt: Attempt, now: float) -> None:
        """A launch is planned."""

    def started(self, attempt: Attempt, now: float) -> None:
        """The task has its image and runs, or waits for its gang."""

    def ended(self, attempt: Attempt, cause: str, now: float) -> None:
        """The task is proven gone; `cause` in a few words."""

    def job(self, job_id: str, what: str, now: float) -> None:
        """`waits` (for jobs that it needs), `ready`, or one of its final states."""

    def machine(self, machine: Machine, what: str, why: str, now: float) -> None:
        """`hired`, `up`, `draining`, `quarantined`, `returned`, `gone`."""

    def noted(self, what: str, text: str, now: float) -> None:
        """Something of the whole service."""


class Nobody:
    """Hears nothing."""

    def explained(self, job: Job, now: float) -> None: ...
    def placed(self, attempt: Attempt, now: float) -> None: ...
    def started(self, attempt: Attempt, now: float) -> None: ...
    def ended(self, attempt: Attempt, cause: str, now: float) -> None: ...
    def job(self, job_id: str, what: str, now: float) -> None: ...
    def machine(self, machine: Machine, what: str, why: str, now: float) -> None: ...
    def noted(self, what: str, text: str, now: float) -> None: ...
