"""Which machines may hold a task of a cancelled job, and since when a user may have been told so. No I/O, no clock.

When such a machine is returned: `policy/cancellations.py`.
"""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from pepperlatch.policy.model import Machine
from pepperlatch.protocol.wire import JobSpec

log = logging.getLogger(__name__)
CancelledSince = Callable[[str], float]  # no user was told before then that the job is cancelled; infinite: it is not


@dataclass(slots=True)
class UnverifiedCancellation:
    """A job that was cancelled while some of its tasks may still be on machines that are not accounted for."""

    spec: JobSpec
    unseen: int  # tasks
    since: float  # it was cancelled no earlier


class CancelledTasks:
    """Counted from the cancellation, whenever it shows that a machine may hold a task of the job."""

    def __init__(self, cancelled_since: CancelledSince, cancel_s: float) -> None:
        self._cancelled_since = cancelled_since
        self._cancel_s = cancel_s
        self.unverified: dict[str, UnverifiedCancellation] = {}

    def may_hold(self, machine: Machine, task: str, job_id: str, now: float) -> None:
        """The machine may hold this task of a cancelled job."""
        since = min(now, self._cancelled_since(job_id))
        if since < machine.cancelled_since:
            machine.cancelled_since = since
            log.info(
                "%s may hold %s of a cancelled job, counted from %.1f s ago, last heard of %.1f s ago",
                machine.name, task, now - since, now - machine.last_report_at,
                extra={"job": job_id, "machine": machine.name},
            )  # fmt: skip

    def holds_none(self, machine: Machine, now: float) -> None:
        """A report has shown that the machine holds no such task any more."""
        log.info(
            "%s holds no cancelled task any more, %.1f s after", machine.name, now - machine.cancelled_since,
            extra={"machine": machine.name},
        )  # fmt: skip
        machine.cancelled_since = math.inf
        machine.logged_decision = ""

    def add_unverified_cancellation(self, spec: JobSpec, unseen: int, now: float) -> None:
        """The job was cancelled; so many of its tasks may yet be on machines that nobody can ask."""
        self.unverified[spec.id] = UnverifiedCancellation(spec, unseen, min(now, self._cancelled_since(spec.id)))

    def seen(self, job_id: str) -> None:
        """A machine has shown one of its tasks."""
        gone = self.unverified.get(job_id)
        if gone is not None:
            gone.unseen = max(0, gone.unseen - 1)

    def unverified_cancelled_since(self, now: float) -> float:
        """When the first of these jobs may have been cancelled; infinite if there is none.

        What was cancelled longer ago than `cancel_s` is not looked for.
        """
        lately = (gone.since for gone in self.unverified.values() if now - gone.since <= self._cancel_s)
        return min(lately, default=math.inf)
