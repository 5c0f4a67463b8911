"""A simulated machine follows PROTOCOL in its leases, sessions, report numbers, tokens and commands."""

from typing import Any

import pytest

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.scale.history import AnyEvent, LeaseEnded, TaskStarted, TaskStopped
from pepperlatch.scale.machine import JobNeeds, SimulatedMachine
from pepperlatch.scale.scenario import MachineShape, WorkerTimes

TASK = "run-1/0"


class MachineHarness:
    """A machine of 4 CPUs, a job whose tasks take 2 CPUs and about 10 s, and the events that the machine records."""

    def __init__(self) -> None:
        self.events: list[AnyEvent] = []
        self.jobs = {"run-1": JobNeeds(False, 2.0, 1.0, "image", 3.0, 10.0)}
        self.machine = SimulatedMachine(
            "n-1", "127.20.0.1:1", "m1", "a", MachineShape(cpus=4.0), WorkerTimes(lease_s=18.0), self.jobs, set(),
            self.events.append, lease_start=0.0,
        )  # fmt: skip

    def launch(self, now: float, task: str = TASK, attempt: int = 1, token: int = 7) -> tuple[int, dict[str, Any]]:
        orders = [wire.launch(task, attempt)]
        return self.machine.apply_commands(wire.commands_body(token, self.machine.session, orders), now)

    def states(self) -> list[tuple[str, str | None]]:
        return [(row["status"], row.get("cause")) for row in self.machine.report()["pieces"]]


@pytest.fixture
def harness() -> MachineHarness:
    return MachineHarness()


def test_a_task_fetches_its_image_runs_and_its_result_is_kept(harness: MachineHarness) -> None:
    assert harness.launch(1.0)[0] == 200
    assert harness.states() == [("pulling", None)]
    harness.machine.step(4.0)
    assert harness.states() == [("running", None)]
    ends_at = harness.machine.next_due_at()
    assert ends_at is not None
    assert abs(ends_at - 14.0) <= 10.0 * c.TASK_LENGTH_SPREAD, "tasks of a job differ in length"
    harness.machine.step(ends_at - 0.1)
    assert harness.states() == [("running", None)]
    harness.machine.step(ends_at)
    assert harness.states() == [("ended", "done")]
    assert harness.events == [TaskStarted(4.0, "n-1", "a", TASK, 1), TaskStopped(ends_at, "n-1", TASK, 1, True)]
    harness.launch(ends_at, attempt=2)  # its image is cached and its result stored, so it exits at once
    assert harness.states() == [("ended", "done"), ("ended", "done")]


def test_commands_are_refused_ignored_and_reaped_as_the_protocol_says(harness: MachineHarness) -> None:
    harness.launch(1.0)
    harness.launch(1.0)  # no effect
    harness.launch(1.0, attempt=2)
    harness.launch(1.0, task="run-1/1")
    harness.launch(1.0, task="run-1/2")
    harness.launch(1.0, task="run-9/0")
    assert [cause for _, cause in harness.states()] == [None, "in_use", None, "full", "no_such"]
    assert harness.launch(2.0, token=6)[0] == 409
    assert harness.machine.apply_commands({"orders": []}, 2.0)[0] == 400
    assert harness.machine.apply_commands(wire.commands_body(7, 2, []), 2.0)[0] == 409
    harness.machine.execute([wire.kill(TASK, 1, 0.0), wire.reap(TASK, 1), wire.reap("run-1/1", 1)], 2.0)
    assert [row["piece"] for row in harness.machine.report()["pieces"]] == [TASK, "run-1/1", "run-1/2", "run-9/0"]


def test_a_lease_starts_when_the_last_answered_report_was_sent(harness: MachineHarness) -> None:
    harness.launch(0.0)
    harness.machine.step(3.0)
    assert harness.machine.apply_report_answer(wire.report_answer(7, []), 1, sent_at=5.0, now=8.0)
    # A lower token does not renew the lease.
    assert not harness.machine.apply_report_answer(wire.report_answer(6, []), 1, 9.0, 9.0)
    assert not harness.machine.apply_report_answer({"orders": []}, 1, 9.0, 9.0)
    assert not harness.machine.expire_lease(23.0)
    assert harness.machine.expire_lease(23.1)
    assert harness.events[-2:] == [LeaseEnded(23.1, "n-1", False, 1), TaskStopped(23.1, "n-1", TASK, 1, False)]
    assert harness.machine.report()["tenure"] == 2
    # An answer to a report of the previous session is dropped.
    assert not harness.machine.apply_report_answer(wire.report_answer(9, []), 1, 23.0, 23.5)


def test_report_numbers_grow_with_every_message_and_a_higher_token_causes_a_report(harness: MachineHarness) -> None:
    first = harness.machine.report()["tally"]
    assert harness.launch(1.0)[1]["tally"] == first + 1
    assert harness.machine.changed, "the answer to a command does not replace a report"
    harness.machine.changed = False
    harness.machine.apply_report_answer(wire.report_answer(8, []), 1, 1.0, 2.0)
    assert not harness.machine.changed  # at most once in half a lease
    harness.machine.apply_report_answer(wire.report_answer(9, []), 1, 10.0, 11.0)
    assert harness.machine.changed


def test_a_machine_that_restarts_loses_everything_but_its_token(harness: MachineHarness) -> None:
    harness.launch(1.0)
    harness.machine.step(4.0)
    harness.machine.restart(5.0)
    report = harness.machine.report()
    assert (report["tenure"], report["pieces"], report["baton"]) == (2, [], 7)
    assert harness.events[-1] == TaskStopped(5.0, "n-1", TASK, 1, False)
