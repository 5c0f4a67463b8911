"""Forwarding of heartbeats to a leader that answers more slowly than they arrive: batching, limits and errors."""

from typing import Any

import pytest
import trio
import trio.testing

from pepperlatch.controller.heartbeats.forwarding import PEER_HEARTBEATS, HeartbeatForwarder
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import World, job, run_scenario

LEADER = "10.0.0.1:2"


class SlowLeader:
    """A leader that takes 0.5 s for each request, whatever its size. `old`: an earlier version, without batches.

    `asked`: number of reports in each request. `fails`: raised instead of an answer.
    """

    def __init__(self, old: bool = False) -> None:
        self.old = old
        self.asked: list[int] = []
        self.fails: Exception | None = None

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]:
        batch = path == PEER_HEARTBEATS
        if batch and self.old:
            return 404, {"error": "no such path"}
        self.asked.append(len(body["beats"]) if batch else 1)
        await trio.sleep(0.5)
        if self.fails:
            raise self.fails
        if not batch:
            return 200, {"of": body["n"]}
        return 200, {"answers": [None if b["n"] == 7 else {"of": b["n"]} for b in body["beats"]]}


def forward_reports(
    leader: SlowLeader, count: int, seconds: float = 3.0, each: str = ""
) -> tuple[dict[int, Any], float]:
    """Forward `count` reports at once; returns their answers by number, and the seconds until the last had one.

    `seconds`: how long each may wait. `each`: content of a report. For a failed report, the error type is its answer.
    """
    answers: dict[int, Any] = {}

    async def main() -> None:
        forwarder = HeartbeatForwarder(leader, "perch-9")

        async def forward(number: int) -> None:
            try:
                answers[number] = await forwarder.forward(LEADER, {"n": number, "pieces": each}, seconds)
            except (NoUsableResponse, NotSent) as error:
                answers[number] = type(error)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(forwarder.run)
            async with trio.open_nursery() as reports:
                for number in range(count):
                    reports.start_soon(forward, number)
                    await trio.sleep(0.001)
            ends.append(trio.current_time())
            nursery.cancel_scope.cancel()

    ends: list[float] = []
    clock = trio.testing.MockClock(autojump_threshold=0)
    began = clock.current_time()
    trio.run(main, clock=clock)
    return answers, ends[0] - began


def test_reports_are_batched_while_the_leader_answers_slowly() -> None:
    leader = SlowLeader()
    answers, _ = forward_reports(leader, 20)
    assert leader.asked == [1, 19], "one after the other would take 5 s"
    assert answers[3] == (200, {"of": 3})
    assert answers[7] == (503, None), "the leader had no answer for this one"


def test_no_batch_exceeds_the_largest_request_body() -> None:
    leader = SlowLeader()
    answers, _ = forward_reports(leader, 10, each="x" * 10_000)
    assert leader.asked == [1, 4, 4, 1]
    assert sum(status == 200 for status, _ in answers.values()) == 9


def test_a_leader_of_an_earlier_version_gets_single_reports() -> None:
    leader = SlowLeader(old=True)
    answers, _ = forward_reports(leader, 8)
    assert set(leader.asked) == {1}
    assert answers == {n: (200, {"of": n}) for n in range(8)}


@pytest.mark.parametrize("fails", [NoUsableResponse("cut"), NotSent("refused")])
def test_every_report_of_a_failed_batch_gets_its_error(fails: Exception) -> None:
    leader = SlowLeader()
    leader.fails = fails
    answers, _ = forward_reports(leader, 6)
    assert answers == dict.fromkeys(range(6), type(fails))


def test_a_report_whose_worker_no_longer_waits_is_not_forwarded() -> None:
    leader = SlowLeader()
    answers, took = forward_reports(leader, 6, seconds=0.3, each="x" * 10_000)
    assert answers == dict.fromkeys(range(6), NoUsableResponse)
    assert took < 1.0
    assert leader.asked == [1, 4], "the sixth had to wait until one of the requests ended"


def test_several_forwarded_reports_are_answered_as_each_would_be_alone() -> None:
    async def scenario(world: World) -> None:
        sweep = job(1, pieces=8, cores=2.0, expected_s=4.0)
        await world.submit(sweep)
        await world.until(lambda: world.running(sweep) == 8, 60)
        leader = world.leader()
        reports = [worker.report() for worker in world.workers if worker.up]
        status, answer = await world.send(
            "perch-9", f"10.0.0.{leader}:2", "POST", PEER_HEARTBEATS, {"beats": reports}, 4.0
        )
        assert status == 200
        token = world.nodes[leader].leader.term.token  # type: ignore[union-attr]
        assert [one["baton"] for one in answer["answers"]] == [token] * len(reports)
        other = next(i for i in world.nodes if i != leader)
        status, answer = await world.send(
            "perch-9", f"10.0.0.{other}:2", "POST", PEER_HEARTBEATS, {"beats": reports}, 4.0
        )
        assert (status, set(answer["answers"])) == (200, {None}), "a controller that does not lead answers none"
        assert (await world.send("x", f"10.0.0.{other}:2", "POST", PEER_HEARTBEATS, {"beats": 3}, 4.0))[0] == 400

    run_scenario(scenario)
