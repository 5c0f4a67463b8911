"""Decides when a silent machine that may hold a task of a cancelled job is returned to the cloud. No I/O, no clock.

No task of a cancelled job may be on a machine later than `cancel_s` seconds after a user was told of the cancellation.
The end of a hung machine's lease proves nothing, since its worker stops the tasks only once it resumes; only the return
of the machine is a proof. So it is returned early enough that every step on the way may fail once and the bound still
holds ("Machines that hang" in `docs/safety.md`).
"""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.policy.model import Machine
from pepperlatch.settings import WorkerTimings


class CancelledOn(msgspec.Struct, array_like=True):
    """A machine that may hold a task of a cancelled job, as the leader tells the other controllers."""

    machine: str
    addr: str
    ago_s: float  # seconds since the earliest time at which a user may have been told of the cancellation


class Decision(Enum):
    """What to do about a silent machine; the values appear in the log."""

    NOTHING = "it holds no cancelled task"
    RETURN = "it is returned"
    WAIT = "it may be heard of again"
    ASK = "it is being asked"
    KEEP_ZONE = "its zone seems cut off"
    CUT_OFF = "this leader's lease is not sure, and it has heard of nobody else since"
    TOO_LATE = "this leader's lease is not sure, and the bound is past"


@dataclass(frozen=True, slots=True)
class LeaderView:
    """What the leader knows besides the machine itself; times are in seconds of the node's steady clock."""

    started: float  # when it took over
    sure: bool  # its lease of the leader's key cannot have ended
    heard_at: float  # when any machine or other controller was last reached
    kept_zones: set[str]  # zones that seem cut off, whose machines are kept


def return_after_s(workers: WorkerTimings) -> float:
    """Seconds after a cancellation from which on the return of a silent machine that may hold a task is requested.

    Leaves time for the case that the leader ends at that very moment and its successor's first request gets no answer.
    """
    successor_s = c.LEADER_LEASE_MS / 1000 + c.TAKEOVER_S
    # The machine is probed directly, then through other controllers as well.
    asking_s = c.MAX_UNANSWERED_PROBES * (c.PROBE_TIMEOUT_S + c.TICK_S) + c.PROBE_TIMEOUT_S
    lost_request_s = c.CLOUD_REQUEST_TIMEOUT_S + c.CLOUD_RETRY_PAUSE_S
    takes_s = successor_s + _silence_s(workers) + asking_s + lost_request_s + c.RETURN_CONFIRM_S + c.TICK_S
    return max(0.0, workers.cancel_s - takes_s)


def _silence_s(workers: WorkerTimings) -> float:
    """Seconds without a report after which a machine counts as silent."""
    return c.SILENT_REPORTS * workers.report_s


def decide(machine: Machine, since: float, view: LeaderView, workers: WorkerTimings, now: float) -> Decision:
    """Decide about a silent machine; the leader's health checks call this in each round.

    `since`: when a job that may have a task on the machine was cancelled; infinite if there is none.

    A request to return a machine carries no token, and machine names are never reused. So a return requested by a
    leader that has been succeeded breaks no rule; it only costs what runs on the machine. A leader that is not sure
    of its lease therefore returns a machine only if its time is up, it does not answer, and something else was reached
    since it fell silent (else this node may be cut off from everything), and only while the bound is not yet past.
    """
    if math.isinf(since):
        return Decision.NOTHING
    if machine.zone in view.kept_zones:
        return Decision.KEEP_ZONE
    silent_since = max(machine.last_report_at, view.started) + _silence_s(workers)
    if now <= silent_since or now - since <= return_after_s(workers):
        return Decision.WAIT
    if machine.probes + machine.isolated_probes < (1 if machine.last_report_at < 0 else c.MAX_UNANSWERED_PROBES):
        return Decision.ASK
    if view.sure:
        return Decision.RETURN
    if view.heard_at <= silent_since:
        return Decision.CUT_OFF
    return Decision.RETURN if now - since <= workers.cancel_s else Decision.TOO_LATE
