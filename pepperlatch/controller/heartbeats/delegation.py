"""A follower's part of delegated heartbeats: what it may answer itself, until when, and what it tells the leader.

A heartbeat that says what the leader has taken in and settled is answered here, with no orders; all others are
forwarded. `policy/delegation.py` is the leader's part and says how grants are numbered.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from pepperlatch.constants import core as c
from pepperlatch.policy.delegation import DelegationAnswer, DelegationStatement, HeldGrant
from pepperlatch.policy.model import split_task
from pepperlatch.protocol.wire import Report


@dataclass(slots=True, eq=False)
class _Held:
    """A grant: the heartbeat that it is for, and when one like it came last."""

    number: int
    report: Report
    came_at: float
    answered_at: float = -math.inf


class DelegatedAnswers:
    """Grants of one follower under the token of the leader that it is in touch with.

    `is_over`: whether this node knows a job to be done or cancelled. Times are of this node's steady clock, in seconds.
    """

    def __init__(self, report_s: float, lease_s: float, began_at: float, is_over: Callable[[str], bool]) -> None:
        self._silent_s = c.DELEGATION_SILENT_REPORTS * report_s
        self._memory_s = c.DELEGATION_MEMORY_LEASES * lease_s
        self._began_at = began_at
        self._is_over = is_over
        self._token = 0
        self._until = -math.inf
        self._floor = 0
        self._held: dict[str, _Held] = {}
        self._released: dict[str, float] = {}  # machines that were answered and are not held, and when last
        self._forwarded: dict[str, Report] = {}  # the newest heartbeat of each machine that is on its way to the leader

    # --- heartbeats -------------------------------------------------------------------------------

    def may_answer(self, report: Report, token: int, now: float) -> bool:
        """Whether the answer may be given here, under the token; it counts as given then."""
        held = self._held.get(report.machine)
        if held is None or now >= self._until or not token == self._token == report.token:
            return False
        if report.seq <= held.report.seq or not _same(report, held.report) or self._shows_job_over(report):
            return False
        held.report, held.came_at, held.answered_at = report, now, now
        return True

    def _shows_job_over(self, report: Report) -> bool:
        """A task of a job that is over wants an order, which only the leader gives."""
        for task in report.tasks:
            parts = split_task(task.task)
            if parts is None or self._is_over(parts[0]):
                return True
        return False

    def forwarded(self, report: Report) -> None:
        """The heartbeat goes to the leader: what was granted before is given up."""
        self._release(report.machine)
        self._forwarded[report.machine] = report

    def granted(self, report: Report, number: int | None, token: int, now: float) -> None:
        """The leader has answered it; `number` of its grant, None without one. A late or older one is not installed."""
        if self._forwarded.get(report.machine) is not report:
            return
        del self._forwarded[report.machine]
        if number is None or token != self._token or number <= self._floor:
            return
        if len(self._held) < c.MAX_DELEGATED_MACHINES:
            answered_at = self._released.pop(report.machine, -math.inf)
            self._held[report.machine] = _Held(number, report, now, answered_at)

    def gave_up(self, report: Report) -> None:
        """No answer is waited for any more."""
        if self._forwarded.get(report.machine) is report:
            del self._forwarded[report.machine]

    def _release(self, machine: str) -> None:
        held = self._held.pop(machine, None)
        if held is not None and held.answered_at > -math.inf:
            self._released[machine] = held.answered_at

    # --- the leader -------------------------------------------------------------------------------

    def statement(self, token: int, now: float) -> DelegationStatement:
        """All that is held under the token. Machines that have fallen silent are given up first."""
        if token != self._token:
            self._begin(token)
        for machine in [name for name, held in self._held.items() if now - held.came_at > self._silent_s]:
            self._release(machine)
        oldest = now - self._memory_s
        self._released = {name: at for name, at in self._released.items() if at > oldest}
        held = [
            HeldGrant(name, grant.number, grant.report.session, _age(grant.answered_at, now))
            for name, grant in self._held.items()
        ]
        released = {name: _age(at, now) for name, at in self._released.items()}
        return DelegationStatement(self._floor, _age(self._began_at, now), self._memory_s, held, released)

    def _begin(self, token: int) -> None:
        """Another leader, or none: what an earlier one granted is given up."""
        for machine in list(self._held):
            self._release(machine)
        self._token, self._until, self._floor = token, -math.inf, 0

    def prolonged(self, stated: DelegationStatement, answer: DelegationAnswer, token: int, sent_at: float) -> None:
        """The leader's answer to a statement that was sent then.

        Kept are the grants that it has looked at and not revoked, and those that are newer than its answer. A grant up
        to its number that was not stated has come since: the leader may have changed its mind about it unseen.
        """
        if token != self._token:
            return
        looked_at = {grant.machine for grant in stated.held} - set(answer.revoked)
        for machine, held in list(self._held.items()):
            if held.number <= answer.number and machine not in looked_at:
                self._release(machine)
        self._floor = max(self._floor, answer.number)
        self._until = max(self._until, sent_at + answer.seconds * (1 - c.CLOCK_DRIFT))


def _age(at: float, now: float) -> float:
    """Seconds since then; below 0 if it never was."""
    return round(now - at, 3) if at > -math.inf else -1.0


def _same(one: Report, other: Report) -> bool:
    """Whether both say the same of the machine, but for their numbers."""
    return (
        one.notice_s is None
        and other.notice_s is None
        and one.session == other.session
        and one.token == other.token
        and one.tasks == other.tasks
        and one.addr == other.addr
    )
