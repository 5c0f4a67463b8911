"""Tracks which machines may hold a task of a cancelled job, and since when.

"Since when" is the earliest time at which a user may have been told of the cancellation. No I/O, no clock.
`policy/cancellations.py` decides when such a machine is returned.
"""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from pepperlatch.policy.model import Machine
from pepperlatch.protocol.wire import JobSpec

log = logging.getLogger(__name__)
# By job id: the earliest time at which a user may have been told of its cancellation; infinite if it is not cancelled.
CancelledSince = Callable[[str], float]


@dataclass(slots=True)
class UnverifiedCancellation:
    """A job that was cancelled while some of its tasks may still be on machines that are not verified."""

    spec: JobSpec
    unseen: int  # number of tasks that no report has shown
    since: float  # it was cancelled no earlier


class CancelledTasks:
    """Sets `Machine.cancelled_since`, which counts from the cancellation, however late a task of the job is found.

    `cancel_s`: seconds after a cancellation until which no machine may hold a task of the job.
    """

    def __init__(self, cancelled_since: CancelledSince, cancel_s: float) -> None:
        self._cancelled_since = cancelled_since
        self._cancel_s = cancel_s
        self.unverified: dict[str, UnverifiedCancellation] = {}  # by job id

    def may_hold(self, machine: Machine, task: str, job_id: str, now: float) -> None:
        """Note that the machine may hold this task of a cancelled job."""
        since = min(now, self._cancelled_since(job_id))
        if since < machine.cancelled_since:
            machine.cancelled_since = since
            log.info(
                "machine %s may hold task %s of a job cancelled at most %.1f s ago; last report %.1f s ago",
                machine.name, task, now - since, now - machine.last_report_at,
                extra={"job": job_id, "machine": machine.name},
            )  # fmt: skip

    def holds_none(self, machine: Machine, now: float) -> None:
        """Note that a report has shown that the machine holds no task of a cancelled job any more."""
        log.info(
            "machine %s holds no task of a cancelled job any more, at most %.1f s after the cancellation",
            machine.name, now - machine.cancelled_since, extra={"machine": machine.name},
        )  # fmt: skip
        machine.cancelled_since = math.inf
        machine.logged_decision = ""

    def add_unverified_cancellation(self, spec: JobSpec, unseen: int, now: float) -> None:
        """Note that a job was cancelled while `unseen` tasks of it may be on machines that are not verified."""
        self.unverified[spec.id] = UnverifiedCancellation(spec, unseen, min(now, self._cancelled_since(spec.id)))

    def task_reported(self, job_id: str) -> None:
        """Note that a machine has reported a task of the job, so that one task less is unseen."""
        cancelled = self.unverified.get(job_id)
        if cancelled is not None:
            cancelled.unseen = max(0, cancelled.unseen - 1)

    def unverified_cancelled_since(self, now: float) -> float:
        """When the first job was cancelled that may have tasks on unverified machines; infinite if there is none.

        Jobs cancelled longer than `cancel_s` seconds ago are left out.
        """
        recent = (job.since for job in self.unverified.values() if now - job.since <= self._cancel_s)
        return min(recent, default=math.inf)
