"""Time lines stay within bounds, show what was left out, and can be continued by the next leader.

Costs add up, and recoveries are counted.
"""

import tracemalloc
import zlib
from itertools import pairwise

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as some

from pepperlatch.console.accounting import USE_BOOTING, USE_FREE, USE_IDLE, CostAccounting, Recoveries
from pepperlatch.console.history import Event, EventKind, History, SavedHistory, UnreadableHistory
from pepperlatch.constants import console as c
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.model import Machine, Status
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import TaskState
from tests.fakes import job, settings_of
from tests.test_edges import machine

BASE = 1_000_000.0


def add_jobs(history: History, jobs: int) -> None:
    """Add the events that a leader records of `jobs` jobs, ten for each."""
    for number in range(jobs):
        at, name = BASE + number * 2.0, f"run-{number:08d}"
        history.add(name, EventKind.ACCEPTED, at)
        history.add(name, EventKind.READY, at)
        for n, text in enumerate(("no room", "2 machines booting", "starting", "running")):
            history.add(name, EventKind.REASON, at + 1 + n, text)
        for n in range(2):
            history.add(name, EventKind.STARTED, at + 6 + 2 * n, subject=f"n-{number % 500:06d}")
            history.add(name, EventKind.ENDED, at + 40 + 2 * n, "done", f"n-{number % 500:06d}")
        history.add(name, EventKind.OVER, at + 50, "done")


def test_time_lines_stay_within_their_memory_limit_and_count_what_was_dropped() -> None:
    history = History(BASE)
    tracemalloc.start()
    add_jobs(history, 22_000)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert history.size() <= c.MAX_HISTORY_BYTES
    assert used <= 1.1 * c.MAX_HISTORY_BYTES, "more memory is used than size() tells"
    assert history.dropped > 0 and len(history) + history.dropped == 22_000
    assert history.timeline("run-00021999") and not history.timeline("run-00000000")  # the oldest was dropped


@given(some.lists(some.tuples(some.sampled_from([EventKind.STARTED, EventKind.ENDED, EventKind.REASON]),
                              some.integers(0, 30),
                              some.sampled_from(["", "done", "halted"])), max_size=400))  # fmt: skip
def test_nothing_is_lost_without_a_count(events: list[tuple[EventKind, int, str]]) -> None:
    history = History(BASE)
    at = BASE
    for what, tenths, text in events:
        at += tenths / 10
        history.add("run-1", what, at, text, "n-1")
    line = history.timeline("run-1")
    replaced = len(events) - sum(event.count for event in line)
    reasons = [n for n, (what, _, _) in enumerate(events) if what is EventKind.REASON]
    at_once = sum(1 for n in reasons if n and events[n - 1][0] is EventKind.REASON and events[n][1] == 0)
    assert 0 <= replaced <= at_once  # only a reason that lasted no time is replaced
    assert len(line) <= c.MAX_TIMELINE_RECORDS
    assert all(one.at <= other.at for one, other in pairwise(line))


def test_next_leader_continues_saved_time_lines_and_marks_the_gap() -> None:
    old, new = History(BASE), History(BASE - 1000)
    add_jobs(old, 3)
    old.add("run-w", EventKind.ACCEPTED, BASE)
    old.add("run-w", EventKind.REASON, BASE + 3, "team limit: red uses 32 of 32 CPUs")
    packed = old.pack(BASE + 60, 10_000, ["run-w"])
    new.add("run-w", EventKind.ACCEPTED, BASE + 500)
    new.add("run-w", EventKind.REASON, BASE + 510, "1 machine booting")
    new.add("run-x", EventKind.ACCEPTED, BASE + 500)
    assert new.merge_saved(packed, BASE + 505) == 4
    assert [(event.what, event.text) for event in new.timeline("run-w")] == [
        ("accepted", ""),
        ("reason", "team limit: red uses 32 of 32 CPUs"),
        ("gap", "nothing is known of 445 s: another led"),
        ("reason", "1 machine booting"),
    ]
    assert [event.what for event in new.timeline("run-x")] == ["accepted", "gap"]  # not in the earlier leader's save
    assert new.timeline("run-00000000") == old.timeline("run-00000000")  # an ended job has no gap


def test_a_save_holds_what_fits_with_waiting_jobs_first() -> None:
    history = History(BASE)
    add_jobs(history, 2000)
    for number in range(50):
        history.add(f"run-w{number}", EventKind.REASON, BASE + 5000, f"reason {number}")
    waiting = [f"run-w{number}" for number in range(50)]
    packed = history.pack(BASE + 6000, 4000, waiting)
    assert len(packed) <= 4000
    found = History(BASE)
    found.merge_saved(packed, BASE + 6000)
    assert all(found.timeline(name)[:1] == history.timeline(name) for name in waiting)


def test_an_unreadable_save_changes_nothing() -> None:
    history = History(BASE)
    history.add("run-1", EventKind.READY, BASE + 1)
    before = history.timeline("run-1")
    saved = History(BASE)
    add_jobs(saved, 5)
    packed = saved.pack(BASE + 60, 10_000, [])
    later = SavedHistory(2, BASE, BASE, [""], [""], {})
    later_version = zlib.compress(msgspec.msgpack.encode(later))
    for unreadable in (later_version, b"", b"nonsense", packed[: len(packed) // 2], packed[:20] + b"\0" + packed[21:]):
        with pytest.raises(UnreadableHistory):
            history.merge_saved(unreadable, BASE + 60)
        assert history.timeline("run-1") == before == [Event(BASE + 1, "ready")]


# --- costs and recoveries -------------------------------------------------------------------------


def cluster_of(machines: list[Machine]) -> Cluster:
    params = settings_of(0).params
    params.teams[0].cpus_max = 1e6
    cluster = Cluster("n", 1, params, 0.0, 15.0, lambda job_id: None)
    cluster.machines = {m.name: m for m in machines}
    return cluster


@given(some.lists(some.tuples(some.integers(0, 3), some.booleans(), some.integers(1, 40)), min_size=1, max_size=12))
def test_money_is_divided_without_a_rest(plan: list[tuple[int, bool, int]]) -> None:
    """The costs by machine type and the costs by use add up to the same sum, whatever runs where."""
    machines = [machine(f"n-{n}", "a") for n in range(len(plan))]
    cluster = cluster_of(machines)
    money, now = CostAccounting(0.0, 0.0), 0.0
    for n, (tasks, booting, seconds) in enumerate(plan):
        spec = wire.convert(job(n, jobclass=f"c{n % 3}", pieces=max(1, tasks)), wire.JobSpec)
        held = cluster.add_job(spec, n, 0.0, set())
        for task in range(tasks):
            cluster.place(held, task, machines[n], now)
        machines[n].status = Status.BOOTING if booting and not tasks else Status.UP
        now += seconds
        money.charge(machines, now)
    price = machines[0].price()
    assert sum(money.by_machine.values()) == pytest.approx(price * len(plan) * now / 3600)
    assert sum(money.by_use.values()) == pytest.approx(sum(money.by_machine.values()))
    shown = money.summary(now)
    parts = sum(row["spent"] for row in shown["by_use"]) + sum(
        shown["unused"][n] for n in (USE_BOOTING, USE_IDLE, USE_FREE)
    )
    assert parts == pytest.approx(shown["spent"], abs=0.01)


def test_recoveries_are_counted_by_cause_until_the_task_runs_again() -> None:
    cluster = cluster_of([machine("n-0", "a"), machine("n-1", "b")])
    one, other = cluster.machines.values()
    held = cluster.add_job(wire.convert(job(1, pieces=3), wire.JobSpec), 1, 0.0, set())
    attempts = [cluster.place(held, task, one, 0.0) for task in range(3)]
    for attempt in attempts:
        attempt.state, attempt.running_at = TaskState.RUNNING, 1.0
    recoveries = Recoveries()
    recoveries.ended(attempts[0], "its machine's lease is over", 10.0)
    recoveries.ended(attempts[1], "stopped for run-000007", 10.0)
    recoveries.ended(attempts[2], "done", 10.0)
    again = cluster.place(held, 0, other, 12.0)
    recoveries.started(again, 15.0)
    shown = {row["cause"]: row for row in recoveries.summary()}
    assert shown["its machine's lease is over"]["median_s"] == 5.0
    assert shown["stopped for"]["waiting"] == 1 and "done" not in shown
    recoveries.job_ended("run-000001")
    assert all(row["waiting"] == 0 for row in recoveries.summary())
