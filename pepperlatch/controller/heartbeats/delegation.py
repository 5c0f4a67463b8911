"""The follower's side of delegated heartbeats: what it may answer itself, until when, and what it tells the leader.

A heartbeat that repeats what the leader has processed, and that needs no orders, is answered here; all others are
forwarded. `policy/delegation.py` is the leader's side and says how grants are numbered.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from pepperlatch.constants import core as c
from pepperlatch.policy.delegation import DelegationAnswer, DelegationStatement, HeldGrant
from pepperlatch.policy.model import split_task
from pepperlatch.protocol.wire import Report


@dataclass(slots=True, eq=False)
class _HeldGrant:
    """A grant that this follower holds for one machine."""

    number: int
    report: Report  # the latest of the heartbeats that it covers
    came_at: float  # when that heartbeat came
    answered_at: float = -math.inf  # when this follower last answered the machine itself


class DelegatedAnswers:
    """Grants that one follower holds under the token of the leader that it is in contact with.

    `report_s` and `lease_s`: the workers' report interval and lease, in seconds; `began_at`: when this process began;
    `is_over`: whether this node knows a job to be done or cancelled. Times are of this node's steady clock, in seconds.
    """

    def __init__(self, report_s: float, lease_s: float, began_at: float, is_over: Callable[[str], bool]) -> None:
        self._silent_s = c.DELEGATION_SILENT_REPORTS * report_s
        self._memory_s = c.DELEGATION_MEMORY_LEASES * lease_s
        self._began_at = began_at
        self._is_over = is_over
        self._token = 0
        self._until = -math.inf  # end of the delegation
        self._floor = 0  # grants up to this number are not installed any more
        self._held: dict[str, _HeldGrant] = {}  # by machine
        self._released: dict[str, float] = {}  # by machine without a grant: when this follower last answered it
        self._statement_bytes = 0  # at most, of the rows for held and released grants in the next statement
        self._forwarded: dict[str, Report] = {}  # by machine: its newest heartbeat that is on the way to the leader

    # --- heartbeats -------------------------------------------------------------------------------

    def try_answer(self, report: Report, token: int, now: float) -> bool:
        """Whether this follower may answer the heartbeat, without orders. If True, the answer counts as given.

        `token`: that of the leader's term as this node knows it.
        """
        held = self._held.get(report.machine)
        if held is None or now >= self._until or token != self._token or report.token < token:
            return False
        if report.seq <= held.report.seq or not _same_content(report, held.report) or self._shows_job_over(report):
            return False
        held.report, held.came_at, held.answered_at = report, now, now
        return True

    def _shows_job_over(self, report: Report) -> bool:
        """Whether the heartbeat lists a task of a job that is over: it needs an order, which only the leader gives."""
        for task in report.tasks:
            parts = split_task(task.task)
            if parts is None or self._is_over(parts[0]):
                return True
        return False

    def on_forwarded(self, report: Report) -> None:
        """Release the machine's earlier grant, since the heartbeat is about to be forwarded to the leader."""
        self._release(report.machine)
        self._forwarded[report.machine] = report

    def on_answered(self, report: Report, number: int | None, token: int, now: float) -> None:
        """The leader has answered the heartbeat; `number`: of the grant, None if it gave none; `token`: of its term.

        A grant is not installed if a newer heartbeat was forwarded since, nobody waits for this one, or its number is
        not above the floor.
        """
        if self._forwarded.get(report.machine) is not report:
            return
        del self._forwarded[report.machine]
        if number is None or token != self._token or number <= self._floor:
            return
        row_bytes = _row_bytes(report.machine, number, report.session)
        fits = self._statement_bytes + row_bytes <= c.MAX_STATEMENT_BYTES
        if fits and len(self._held) < c.MAX_DELEGATED_MACHINES:
            self._statement_bytes += row_bytes
            answered_at = self._released.pop(report.machine, -math.inf)
            self._held[report.machine] = _HeldGrant(number, report, now, answered_at)

    def on_forward_ended(self, report: Report) -> None:
        """The answer to the heartbeat has come, or is not waited for any more."""
        if self._forwarded.get(report.machine) is report:
            del self._forwarded[report.machine]

    def _release(self, machine: str) -> None:
        held = self._held.pop(machine, None)
        if held is not None and held.answered_at > -math.inf:
            self._released[machine] = held.answered_at

    # --- messages to and from the leader ----------------------------------------------------------

    def statement(self, token: int, now: float) -> DelegationStatement:
        """All grants held under the token. Those of machines that have fallen silent are released first."""
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
        self._statement_bytes = sum(_row_bytes(row.machine, row.number, row.session) for row in held)
        self._statement_bytes += sum(_row_bytes(name) for name in released)
        return DelegationStatement(self._floor, _age(self._began_at, now), self._memory_s, held, released)

    def _begin(self, token: int) -> None:
        """Start with no grants under another leader's token; those of the earlier leader are released."""
        for machine in list(self._held):
            self._release(machine)
        self._token, self._until, self._floor = token, -math.inf, 0

    def on_leader_answer(
        self, stated: DelegationStatement, answer: DelegationAnswer, token: int, sent_at: float
    ) -> None:
        """Apply the leader's answer to a statement that was sent at `sent_at`, and extend the delegation.

        Grants that the leader has examined and not revoked are kept, and those that are newer than its answer. A grant
        up to the answer's number that was not in the statement has arrived since: the leader may have decided otherwise
        without seeing it, so it is released.
        """
        if token != self._token:
            return
        confirmed = {grant.machine for grant in stated.held} - set(answer.revoked)
        for machine, held in list(self._held.items()):
            if held.number <= answer.number and machine not in confirmed:
                self._release(machine)
        self._floor = max(self._floor, answer.number)
        self._until = max(self._until, sent_at + answer.seconds * (1 - c.CLOCK_DRIFT))


def _row_bytes(machine: str, number: int = 0, session: int = 0) -> int:
    """The most bytes that a machine takes in a statement; without number and session if its grant is released.

    A released grant takes no more than a held one, and none may be left out of a statement: the leader takes a machine
    that is not in it for one that this follower has not answered lately.
    """
    return len(orjson.dumps(machine)) + len(f"{number}{session}") + c.STATEMENT_ROW_BYTES


def _age(at: float, now: float) -> float:
    """Seconds since `at`; -1 if it is -inf, i.e. never."""
    return round(now - at, 3) if at > -math.inf else -1.0


def _same_content(one: Report, other: Report) -> bool:
    """Whether both heartbeats are equal apart from their sequence numbers, and neither has a reclaim notice."""
    return (
        one.notice_s is None
        and other.notice_s is None
        and one.session == other.session
        and one.token == other.token
        and one.tasks == other.tasks
        and one.addr == other.addr
    )
