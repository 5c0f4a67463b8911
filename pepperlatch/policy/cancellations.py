"""When a silent machine that may hold a task of a cancelled job is returned. No I/O, no clock.

`cancel_s` after a user was told, nothing of the job may be on a machine. A machine that hangs proves nothing by the end
of its lease, for it ends that only once it goes on; its return by the cloud proves all. So it is returned while every
step that may fail once still fits before that bound ("Machines that hang" in `docs/safety.md`).
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
    ago_s: float  # no user was told earlier


class Decision(Enum):
    """What to do about a silent machine; the texts stand in the log."""

    NOTHING = "it holds no cancelled task"
    RETURN = "it is returned"
    WAIT = "it may be heard of again"
    ASK = "it is being asked"
    KEEP_ZONE = "its zone seems cut off"
    CUT_OFF = "this leader's lease is not sure, and it has heard of nobody else since"
    TOO_LATE = "this leader's lease is not sure, and the bound is past"


@dataclass(frozen=True, slots=True)
class Seen:
    """What the leader knows beside the machine itself.

    `sure`: its lease cannot have ended. `heard_at`: when any other machine or controller was last heard of.
    """

    started: float
    sure: bool
    heard_at: float
    kept_zones: set[str]


def return_after_s(workers: WorkerTimings) -> float:
    """Seconds after a cancellation at which a silent machine that may hold a task of the job is asked to be returned.

    The leader may end at that very moment, and the answer to its successor's first request may be lost.
    """
    successor_s = c.LEADER_LEASE_MS / 1000 + c.TAKEOVER_S
    asking_s = (
        c.MAX_UNANSWERED_PROBES * (c.PROBE_TIMEOUT_S + c.TICK_S) + c.PROBE_TIMEOUT_S
    )  # directly, then through others as well
    lost_request_s = c.CLOUD_REQUEST_TIMEOUT_S + c.CLOUD_RETRY_PAUSE_S
    takes_s = successor_s + _silence_s(workers) + asking_s + lost_request_s + c.RETURN_CONFIRM_S + c.TICK_S
    return max(0.0, workers.cancel_s - takes_s)


def _silence_s(workers: WorkerTimings) -> float:
    return c.SILENT_REPORTS * workers.report_s


def decide(machine: Machine, since: float, seen: Seen, workers: WorkerTimings, now: float) -> Decision:
    """`since`: when a job that may have a task on the machine was cancelled, infinite if there is none.

    A return carries no token and names are used once, so one sent by a leader that has been succeeded breaks no rule;
    it costs what runs there. So one that is not sure returns only what is late, does not answer, and cannot be silent
    just because this node is cut off from everybody; and only while that is of use.
    """
    if math.isinf(since):
        return Decision.NOTHING
    if machine.zone in seen.kept_zones:
        return Decision.KEEP_ZONE
    silent_since = max(machine.seen_at, seen.started) + _silence_s(workers)
    if now <= silent_since or now - since <= return_after_s(workers):
        return Decision.WAIT
    if machine.probes + machine.probes_unheard < (1 if machine.seen_at < 0 else c.MAX_UNANSWERED_PROBES):
        return Decision.ASK
    if seen.sure:
        return Decision.RETURN
    if seen.heard_at <= silent_since:
        return Decision.CUT_OFF
    return Decision.RETURN if now - since <= workers.cancel_s else Decision.TOO_LATE
