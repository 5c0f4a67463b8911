"""When a silent machine that may hold a cancelled task is returned to the cloud, and from when that time is counted."""

import math
from typing import Any

import msgspec
import pytest

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.policy.cancellations import Decision, LeaderView, decide, return_after_s
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.model import Machine
from pepperlatch.protocol import wire
from tests.cuts.test_sessions import TOKEN, cluster_of, report
from tests.fakes import CANCEL_S, REPORT_S, settings_of
from tests.test_edges import machine, spec_of

WORKERS = settings_of(0).params.workers
SILENCE_S = c.SILENT_REPORTS * REPORT_S
CANCELLED_AT = 100.0
DUE_AT = CANCELLED_AT + return_after_s(WORKERS) + 0.1  # when the return is due


def silent(**more: Any) -> Machine:
    """A machine that has been silent since before the cancellation and answered no probes."""
    one = machine("n-1")
    one.last_report_at, one.probes = CANCELLED_AT - 5.0, c.MAX_UNANSWERED_PROBES
    for name, value in more.items():
        setattr(one, name, value)
    return one


def seen(**more: Any) -> LeaderView:
    """The view of a leader that is sure of its lease and gets reports of other machines."""
    return LeaderView(**{"started": 0.0, "sure": True, "heard_at": DUE_AT, "kept_zones": set(), **more})


def test_a_return_is_due_early_enough_for_a_change_of_leader_and_a_lost_answer() -> None:
    left_s = WORKERS.cancel_s - return_after_s(WORKERS)
    takeover_s = c.LEADER_LEASE_MS / 1000 + SILENCE_S
    assert left_s > takeover_s + c.CLOUD_REQUEST_TIMEOUT_S + c.CLOUD_RETRY_PAUSE_S + c.RETURN_CONFIRM_S
    assert return_after_s(msgspec.structs.replace(WORKERS, cancel_s=1.0)) == 0.0


@pytest.mark.parametrize(
    ("one", "known", "since", "now", "decision"),
    [
        (silent(), seen(), math.inf, DUE_AT, Decision.NOTHING),
        (silent(), seen(), CANCELLED_AT, DUE_AT, Decision.RETURN),
        (silent(), seen(), CANCELLED_AT, DUE_AT - 0.2, Decision.WAIT),
        (silent(last_report_at=DUE_AT - 1.0), seen(), CANCELLED_AT, DUE_AT, Decision.WAIT),
        (silent(), seen(started=DUE_AT - 1.0), CANCELLED_AT, DUE_AT, Decision.WAIT),
        (silent(probes=1), seen(), CANCELLED_AT, DUE_AT, Decision.ASK),
        (silent(probes=1, last_report_at=-1.0), seen(), CANCELLED_AT, DUE_AT, Decision.RETURN),
        (silent(), seen(kept_zones={"a"}), CANCELLED_AT, DUE_AT, Decision.KEEP_ZONE),
        (silent(), seen(sure=False), CANCELLED_AT, DUE_AT, Decision.RETURN),
        (silent(), seen(sure=False, heard_at=CANCELLED_AT - 3.0), CANCELLED_AT, DUE_AT, Decision.CUT_OFF),
        (silent(), seen(sure=False), CANCELLED_AT, CANCELLED_AT + CANCEL_S + 1.0, Decision.TOO_LATE),
        (silent(), seen(), CANCELLED_AT, CANCELLED_AT + CANCEL_S + 1.0, Decision.RETURN),
    ],
)
def test_what_is_decided_about_a_silent_machine(
    one: Machine, known: LeaderView, since: float, now: float, decision: Decision
) -> None:
    assert decide(one, since, known, WORKERS, now) is decision


def cluster_with(cancelled: dict[str, float], *machines: Machine) -> Cluster:
    """A cluster of these machines. `cancelled`: when jobs were cancelled, by job."""
    cluster = cluster_of(*machines)
    cluster._cancelled_since = lambda job_id: cancelled.get(job_id, math.inf)
    return cluster


def shown(name: str, attempt: int, seq: int, token: int = TOKEN) -> Any:
    """A report of a machine that runs the first task of run-000001."""
    rows = [{"piece": "run-000001/0", "try": attempt, "status": "running"}]
    return report(1, seq, token, perch=name, pieces=rows)


def test_a_late_report_that_the_next_leader_accepts_does_not_restart_the_time() -> None:
    """Guards against counting from the report's arrival, 11 s after the cancellation (randomized scenario 700511)."""
    one = machine("n-1")
    cluster = cluster_with({"run-000001": 27.5}, one)
    cluster.add_job(spec_of(1, pieces=1), 3, 0.0, set(), over=True)
    cluster.on_report(shown("n-1", 41, 5, TOKEN - 1), 38.5, heartbeat=True)
    assert one.cancelled_since == 27.5
    cluster.on_report(report(1, 6), 40.0, heartbeat=True)
    assert math.isinf(one.cancelled_since), "its report shows no task of the job"


def test_a_late_report_from_before_the_launch_does_not_show_that_the_task_is_gone() -> None:
    one = machine("n-1")
    cluster = cluster_with({"run-000001": 27.5}, one)
    cluster.add_unverified_cancellation(spec_of(1, pieces=1), 1, 30.0)
    cluster.on_report(report(1, 5, TOKEN - 1), 38.5, heartbeat=True)
    assert cluster.cancelled_since(one, cluster.unverified_cancelled_since(39.0)) == 27.5
    assert math.isinf(cluster.unverified_cancelled_since(27.5 + CANCEL_S + 0.1)), (
        "jobs that were cancelled longer ago do not count"
    )
    cluster.on_report(report(1, 6), 40.0, heartbeat=True)
    assert math.isinf(cluster.cancelled_since(one, cluster.unverified_cancelled_since(41.0))), (
        "it has shown this leader's token"
    )


@pytest.mark.parametrize("first", [True, False])
def test_a_cancelled_task_that_two_machines_show_is_expected_gone_from_both(first: bool) -> None:
    """`first`: the outdated attempt is shown before the cancellation."""
    one, two = machine("n-1"), machine("n-2")
    cancelled: dict[str, float] = {}
    cluster = cluster_with(cancelled, one, two)
    cluster.add_job(spec_of(1, pieces=1), 3, 0.0, set())
    cluster.on_report(shown("n-2", 42, 1), 1.0, heartbeat=True)
    if first:
        cluster.on_report(shown("n-1", 41, 1), 2.0, heartbeat=True)
    cancelled["run-000001"] = 4.0
    cluster.end_job("run-000001", 5.0)
    if not first:
        cluster.on_report(shown("n-1", 41, 1), 6.0, heartbeat=True)
    assert one.cancelled_since == two.cancelled_since == 4.0
    cluster.on_report(report(1, 2), 7.0, heartbeat=True)
    assert math.isinf(one.cancelled_since)


# --- from when the time is counted --------------------------------------------------------------------


def record(state: str, ended: float = 0.0) -> dict[str, Any]:
    made: dict[str, Any] = wire.to_plain(store.JobRecord(state, spec_of(1), 2, ended=ended))
    return made


def test_no_user_was_told_of_a_cancellation_before_the_last_reading_that_did_not_show_it() -> None:
    replica = store.Replica()
    replica.reload(5, [], 10.0)
    replica.current_at = 9.0
    replica.learn([("run-000001", record("queued"), 6)], 11.0)
    replica.current_at = 20.0
    replica.learn([("run-000001", record("withdrawn"), 7)], 26.0)
    assert replica.cancelling_job("run-000001") == "run-000001"
    assert replica.cancellation_not_before("run-000001") == 20.0


def test_a_controller_that_started_after_a_cancellation_cannot_date_it_by_its_own_readings() -> None:
    replica = store.Replica()
    replica.reload(7, [wire.KeyValue("j/job/run-000001", record("withdrawn"), 7)], 10.0)
    assert replica.cancelling_job("run-000001") == "run-000001"
    assert replica.cancellation_not_before("run-000001") is None
    assert replica.cancelling_job("run-000002") is None


def test_a_record_states_when_its_job_was_cancelled_and_an_earlier_version_can_read_it() -> None:
    before = store.JobRecord("queued", spec_of(1), 2, at=100.0)
    after = store.cancelled_record(before, 16.0, 160.0)
    assert (after.state, after.ended, after.at) == ("withdrawn", 160.0, 100.0)
