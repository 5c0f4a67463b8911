"""The observer finds each broken rule in a history that breaks it, and no breach in one that keeps them all."""

import pytest

from pepperlatch.scale.history import Answered, AnyEvent, JobDescribed, TaskStarted, TaskStopped
from pepperlatch.scale.observer import Limits, find_breaches

LIMITS = Limits(team_cpus=4.0, cancel_s=30.0)


def described(job: str = "run-1", **changes: object) -> JobDescribed:
    values = {"team": "red", "job_class": "x", "shape": "sweep", "tasks": 2, "cpus": 1.0, **changes}
    return JobDescribed(0.0, job, **values)  # type: ignore[arg-type]


def start(at: float, machine: str = "n-1", task: str = "run-1/0", attempt: int = 1, zone: str = "a") -> TaskStarted:
    return TaskStarted(at, machine, zone, task, attempt)


def stop(at: float, machine: str = "n-1", task: str = "run-1/0", attempt: int = 1, done: bool = False) -> TaskStopped:
    return TaskStopped(at, machine, task, attempt, done)


def answer(
    at: float, request: str, state: str | None, status: int = 200, job: str = "run-1", asked: float | None = None
) -> Answered:
    return Answered(at, at if asked is None else asked, request, job, status, state)


ACCEPTED = answer(1.0, "submit", "queued", 201)
BOTH_DONE = [start(2.0), start(2.0, task="run-1/1"), stop(5.0, done=True), stop(6.0, task="run-1/1", done=True)]
HISTORIES_BY_RULE: dict[str, list[list[AnyEvent]]] = {
    "ran_twice": [[described(), start(2.0), start(3.0, "n-2", attempt=2)]],
    "quota": [[described(cpus=3.0), start(2.0), start(3.0, task="run-1/1")]],
    "wrong_place": [
        [described(zone="b"), start(2.0)],
        [described(one_zone=True), start(2.0), start(3.0, "n-2", "run-1/1", zone="b")],
        [described(spread=True), start(2.0), start(3.0, task="run-1/1")],
    ],
    "ran_cancelled": [
        [described(), ACCEPTED, start(2.0), answer(5.0, "cancel", "withdrawn"), stop(35.5)],
        [described(), start(1.0), stop(2.0), answer(5.0, "cancel", "withdrawn"), start(36.0), stop(36.1)],
    ],
    "forgotten": [
        [described(), start(1.0), ACCEPTED, answer(2.0, "poll", None, 404)],
        [described(), start(1.0), ACCEPTED, answer(2.0, "submit", None, 422)],
        [
            described(), described("run-2"), start(0.5), ACCEPTED, answer(1.0, "submit", "queued", 201, "run-2"),
            *(answer(at, "poll", "running", job="run-2") for at in (10.0, 30.0, 50.0, 70.0, 90.0)),
            answer(5.0, "poll", None, 0), answer(99.0, "poll", None, 0),
        ],
    ],
    "invented": [[described(), start(1.0), answer(2.0, "poll", "queued", job="run-9")]],
    "not_done": [[described(), ACCEPTED, start(2.0), stop(5.0, done=True), answer(9.0, "poll", "done")]],
    "went_back": [
        [described(), ACCEPTED, *BOTH_DONE, answer(9.0, "poll", "done"), answer(12.0, "poll", "running")],
        [described(), ACCEPTED, start(2.0), stop(2.5), answer(9.0, "poll", "withdrawn")],
    ],
    "nothing_ran": [[described(), ACCEPTED]],
}  # fmt: skip


@pytest.mark.parametrize("rule", HISTORIES_BY_RULE)
def test_each_broken_rule_is_found_with_the_history_of_its_job(rule: str) -> None:
    for events in HISTORIES_BY_RULE[rule]:
        found = find_breaches(sorted(events, key=lambda event: event.at), LIMITS)
        assert [breach.rule for breach in found] == [rule], found
        assert found[0].history or rule in ("nothing_ran", "invented")


def test_a_history_that_keeps_all_rules_has_no_breach() -> None:
    events: list[AnyEvent] = [
        described(tasks=3, spread=True), ACCEPTED,
        start(2.0), start(2.0, task="run-1/1"), start(2.0, "n-2", "run-1/2", zone="b"),
        stop(3.0), start(4.0, "n-2", attempt=2, zone="b"),  # lost on one machine, then started on another
        stop(5.0, "n-2", attempt=2, done=True), stop(5.0, task="run-1/1", done=True),
        stop(6.0, "n-2", "run-1/2", done=True),
        answer(9.0, "poll", "done"), answer(9.5, "poll", "running", asked=5.0),  # asked before it was done
        described("run-2"), answer(10.0, "submit", "queued", 201, "run-2"), start(11.0, task="run-2/0"),
        answer(12.0, "cancel", "withdrawn", job="run-2"), stop(41.0, task="run-2/0"),
    ]  # fmt: skip
    assert find_breaches(sorted(events, key=lambda event: event.at), LIMITS) == []
