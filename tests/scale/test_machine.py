"""A hollow machine keeps PROTOCOL's leases, sessions, numbers, tokens and commands."""

from typing import Any

import pytest

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.scale.history import AnyEvent, LeaseEnded, TaskStarted, TaskStopped
from pepperlatch.scale.machine import JobNeeds, Machine
from pepperlatch.scale.scenario import MachineShape, WorkerTimes

TASK = "run-1/0"


class Bench:
    """A machine with a job of 2 CPUs that runs 10 s, and what it records."""

    def __init__(self) -> None:
        self.events: list[AnyEvent] = []
        self.jobs = {"run-1": JobNeeds(False, 2.0, 1.0, "image", 3.0, 10.0)}
        self.machine = Machine(
            "n-1", "127.20.0.1:1", "m1", "a", MachineShape(cpus=4.0), WorkerTimes(lease_s=18.0), self.jobs, set(),
            self.events.append, lease_from=0.0,
        )  # fmt: skip

    def launch(self, now: float, task: str = TASK, attempt: int = 1, token: int = 7) -> tuple[int, dict[str, Any]]:
        orders = [wire.launch(task, attempt)]
        return self.machine.take_command(wire.commands_body(token, self.machine.session, orders), now)

    def states(self) -> list[tuple[str, str | None]]:
        return [(row["status"], row.get("cause")) for row in self.machine.report()["pieces"]]


@pytest.fixture
def bench() -> Bench:
    return Bench()


def test_a_task_fetches_its_image_runs_and_keeps_its_result(bench: Bench) -> None:
    assert bench.launch(1.0)[0] == 200
    assert bench.states() == [("pulling", None)]
    bench.machine.step(4.0)
    assert bench.states() == [("running", None)]
    ends_at = bench.machine.next_due()
    assert ends_at is not None
    assert abs(ends_at - 14.0) <= 10.0 * c.TASK_LENGTH_SPREAD, "tasks of a job differ in length"
    bench.machine.step(ends_at - 0.1)
    assert bench.states() == [("running", None)]
    bench.machine.step(ends_at)
    assert bench.states() == [("ended", "done")]
    assert bench.events == [TaskStarted(4.0, "n-1", "a", TASK, 1), TaskStopped(ends_at, "n-1", TASK, 1, True)]
    bench.launch(ends_at, attempt=2)  # its image is there, so it exits with the result at once
    assert bench.states() == [("ended", "done"), ("ended", "done")]


def test_commands_are_refused_repeated_and_reaped_as_the_protocol_says(bench: Bench) -> None:
    bench.launch(1.0)
    bench.launch(1.0)  # no effect
    bench.launch(1.0, attempt=2)
    bench.launch(1.0, task="run-1/1")
    bench.launch(1.0, task="run-1/2")
    bench.launch(1.0, task="run-9/0")
    assert [cause for _, cause in bench.states()] == [None, "in_use", None, "full", "no_such"]
    assert bench.launch(2.0, token=6)[0] == 409
    assert bench.machine.take_command({"orders": []}, 2.0)[0] == 400
    assert bench.machine.take_command(wire.commands_body(7, 2, []), 2.0)[0] == 409
    bench.machine.execute([wire.kill(TASK, 1, 0.0), wire.reap(TASK, 1), wire.reap("run-1/1", 1)], 2.0)
    assert [row["piece"] for row in bench.machine.report()["pieces"]] == [TASK, "run-1/1", "run-1/2", "run-9/0"]


def test_a_lease_runs_from_the_sending_of_the_last_answered_report(bench: Bench) -> None:
    bench.launch(0.0)
    bench.machine.step(3.0)
    assert bench.machine.take_answer(wire.report_answer(7, []), 1, sent_at=5.0, now=8.0)
    assert not bench.machine.take_answer(wire.report_answer(6, []), 1, 9.0, 9.0)  # a lower token renews nothing
    assert not bench.machine.take_answer({"orders": []}, 1, 9.0, 9.0)
    assert not bench.machine.check_lease(23.0)
    assert bench.machine.check_lease(23.1)
    assert bench.events[-2:] == [LeaseEnded(23.1, "n-1", False, 1), TaskStopped(23.1, "n-1", TASK, 1, False)]
    assert bench.machine.report()["tenure"] == 2
    assert not bench.machine.take_answer(wire.report_answer(9, []), 1, 23.0, 23.5)  # to the session before


def test_numbers_grow_with_every_message_and_a_higher_token_is_a_change(bench: Bench) -> None:
    first = bench.machine.report()["tally"]
    assert bench.launch(1.0)[1]["tally"] == first + 1
    assert bench.machine.changed, "the answer to a command is no report"
    bench.machine.changed = False
    bench.machine.take_answer(wire.report_answer(8, []), 1, 1.0, 2.0)
    assert not bench.machine.changed  # at most once in half a lease
    bench.machine.take_answer(wire.report_answer(9, []), 1, 10.0, 11.0)
    assert bench.machine.changed


def test_a_machine_that_restarts_has_lost_everything_but_its_token(bench: Bench) -> None:
    bench.launch(1.0)
    bench.machine.step(4.0)
    bench.machine.restart(5.0)
    report = bench.machine.report()
    assert (report["tenure"], report["pieces"], report["baton"]) == (2, [], 7)
    assert bench.events[-1] == TaskStopped(5.0, "n-1", TASK, 1, False)
