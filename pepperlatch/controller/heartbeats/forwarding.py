"""Forwarding of workers' reports to the leader, in batches when they come faster than it answers.

On a leader with a third of a core, reading a request costs more than the report in it. While few reports come, each is
sent at once and by itself. While requests are in flight the others are queued and share the next request, so that the
work of a slow leader grows with the reports' bytes, not with their number.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse

PEER_HEARTBEAT, PEER_HEARTBEATS = "/peer/beat", "/peer/beats"
Answer = tuple[int, Any]  # status and decoded body


@dataclass(slots=True, eq=False)
class _PendingReport:
    """A report that waits to be sent, or for its answer."""

    addr: str  # of the leader
    plain: Any  # the report as decoded from JSON
    outcome: Answer | Exception | None = None
    settled: trio.Event = field(default_factory=trio.Event)

    def settle(self, outcome: Answer | Exception) -> None:
        self.outcome = outcome
        self.settled.set()


class HeartbeatForwarder:
    """Queue of reports for the leader.

    `node`: this controller's name. It is sent with each batch, so that the leader can grant this controller the right
    to answer the same reports itself.
    """

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self._node = node
        self._next_at = float("-inf")  # no request is started earlier
        self._queue: deque[_PendingReport] = deque()
        self._in_flight = 0  # requests
        self._wake = trio.Event()
        self._single_until: dict[str, float] = {}  # by address of a leader of an earlier version: no batches until then

    async def forward(self, addr: str, plain: Any, seconds: float) -> Answer:
        """Status and answer for one report, as if it had been sent by itself; waits at most `seconds`.

        Raises NotSent or NoUsableResponse. After NoUsableResponse or a cancellation, the leader may have processed the
        report.
        """
        item = _PendingReport(addr, plain)
        self._queue.append(item)
        self._wake.set()
        with trio.move_on_after(seconds):
            await item.settled.wait()
        if isinstance(item.outcome, Exception):
            raise item.outcome
        if item.outcome is None:
            if item in self._queue:  # its worker has stopped waiting: nobody would read the answer
                self._queue.remove(item)
            raise NoUsableResponse(f"{addr}: no answer within {seconds:.1f} s")
        return item.outcome

    async def run(self) -> None:
        """Send queued reports until cancelled, with at most MAX_CONCURRENT_FORWARDS requests in flight.

        After a request is started, reports gather for MIN_FORWARD_INTERVAL_S before the queue is emptied again.
        """
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                await trio.sleep_until(max(self._next_at, trio.current_time()))
                while self._queue and self._in_flight < c.MAX_CONCURRENT_FORWARDS:
                    batch = self._take_batch()
                    self._in_flight += 1
                    self._next_at = trio.current_time() + c.MIN_FORWARD_INTERVAL_S
                    nursery.start_soon(self._deliver, batch)

    def _take_batch(self) -> list[_PendingReport]:
        """Remove from the queue the next reports for one leader, as many as fit into a request."""
        batch = [self._queue.popleft()]
        addr = batch[0].addr
        if trio.current_time() < self._single_until.get(addr, 0.0):
            return batch
        size = len(orjson.dumps(batch[0].plain))
        while self._queue and self._queue[0].addr == addr and len(batch) < c.MAX_FORWARD_REPORTS:
            size += len(orjson.dumps(self._queue[0].plain)) + 1
            if size > c.MAX_FORWARD_BYTES:
                break
            batch.append(self._queue.popleft())
        return batch

    async def _deliver(self, batch: list[_PendingReport]) -> None:
        try:
            if trio.current_time() < self._single_until.get(batch[0].addr, 0.0):
                await self._send_singly(batch)  # more than one if the leader's version became known meanwhile
            else:
                await self._send_batch(batch)
        finally:
            self._in_flight -= 1
            self._wake.set()

    async def _send_singly(self, batch: list[_PendingReport]) -> None:
        async with trio.open_nursery() as nursery:
            for item in batch:
                nursery.start_soon(self._send_single, item)

    async def _send_single(self, item: _PendingReport) -> None:
        """Send one report by itself, which every version understands."""
        try:
            item.settle(await self._network.request(item.addr, "POST", PEER_HEARTBEAT, item.plain, c.FORWARD_TIMEOUT_S))
        except (NotSent, NoUsableResponse) as error:
            item.settle(error)

    async def _send_batch(self, batch: list[_PendingReport]) -> None:
        """Send reports in one request, or singly if the answer is not that of a version that takes batches."""
        addr = batch[0].addr
        body = {"beats": [item.plain for item in batch], "node": self._node}
        if len(batch) == 1 and len(orjson.dumps(body)) > c.MAX_BODY_BYTES:  # a report of almost that size
            await self._send_single(batch[0])
            return
        try:
            status, answer = await self._network.request(addr, "POST", PEER_HEARTBEATS, body, c.FORWARD_TIMEOUT_S)
        except (NotSent, NoUsableResponse) as error:
            for item in batch:
                item.settle(error)
            return
        answers = answer.get("answers") if status == 200 and isinstance(answer, dict) else None
        if not isinstance(answers, list) or len(answers) != len(batch):  # an earlier version, without this path
            self._single_until[addr] = trio.current_time() + c.FORWARD_UNBATCHED_S
            await self._send_singly(batch)
            return
        for item, report_answer in zip(batch, answers, strict=True):
            item.settle((200, report_answer) if report_answer is not None else (503, None))
