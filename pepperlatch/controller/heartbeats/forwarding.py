"""Workers' reports on their way to the leader, several in one request when they come faster than it answers.

Reading a request costs a leader on a third of a core more than the report in it. While few come each goes at once and
alone; while requests are under way the others gather, so that what a slow leader has to read grows with the reports'
bytes, and not with their number.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse

PEER_HEARTBEAT, PEER_HEARTBEATS = "/peer/beat", "/peer/beats"
Answer = tuple[int, Any]


@dataclass(slots=True, eq=False)
class _Forwarded:
    addr: str
    plain: Any
    outcome: Answer | Exception | None = None
    settled: trio.Event = field(default_factory=trio.Event)

    def settle(self, outcome: Answer | Exception) -> None:
        self.outcome = outcome
        self.settled.set()


class HeartbeatForwarder:
    """`node`: this one's name. It is told with the reports: the leader then grants what may be answered here."""

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self._node = node
        self._next_at = float("-inf")
        self._queue: deque[_Forwarded] = deque()
        self._flying = 0
        self._wake = trio.Event()
        self._alone_until: dict[str, float] = {}  # versions that take one at a time, and until when that is believed

    async def forward(self, addr: str, plain: Any, seconds: float) -> Answer:
        """Status and answer, as of a request of its own.

        Raises NotSent or NoUsableResponse; cancelled, it may be taken in.
        """
        item = _Forwarded(addr, plain)
        self._queue.append(item)
        self._wake.set()
        with trio.move_on_after(seconds):
            await item.settled.wait()
        if isinstance(item.outcome, Exception):
            raise item.outcome
        if item.outcome is None:
            if item in self._queue:  # its worker has no time left; nobody would read the answer
                self._queue.remove(item)
            raise NoUsableResponse(f"{addr}: no answer within {seconds:.1f} s")
        return item.outcome

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                await trio.sleep_until(max(self._next_at, trio.current_time()))
                while self._queue and self._flying < c.MAX_CONCURRENT_FORWARDS:
                    self._flying += 1
                    self._next_at = trio.current_time() + c.MIN_FORWARD_INTERVAL_S
                    nursery.start_soon(self._deliver, self._take())

    def _take(self) -> list[_Forwarded]:
        """What goes to the same leader, while it fits into a request."""
        batch = [self._queue.popleft()]
        addr = batch[0].addr
        if trio.current_time() < self._alone_until.get(addr, 0.0):
            return batch
        size = len(orjson.dumps(batch[0].plain))
        while self._queue and self._queue[0].addr == addr and len(batch) < c.MAX_FORWARD_REPORTS:
            size += len(orjson.dumps(self._queue[0].plain)) + 1
            if size > c.MAX_FORWARD_BYTES:
                break
            batch.append(self._queue.popleft())
        return batch

    async def _deliver(self, batch: list[_Forwarded]) -> None:
        try:
            if trio.current_time() < self._alone_until.get(batch[0].addr, 0.0):
                await self._one(batch[0])
            else:
                await self._several(batch)
        finally:
            self._flying -= 1
            self._wake.set()

    async def _one(self, item: _Forwarded) -> None:
        try:
            item.settle(await self._network.request(item.addr, "POST", PEER_HEARTBEAT, item.plain, c.FORWARD_TIMEOUT_S))
        except (NotSent, NoUsableResponse) as error:
            item.settle(error)

    async def _several(self, batch: list[_Forwarded]) -> None:
        addr = batch[0].addr
        body = {"beats": [item.plain for item in batch], "node": self._node}
        try:
            status, answer = await self._network.request(addr, "POST", PEER_HEARTBEATS, body, c.FORWARD_TIMEOUT_S)
        except (NotSent, NoUsableResponse) as error:
            for item in batch:
                item.settle(error)
            return
        answers = answer.get("answers") if status == 200 and isinstance(answer, dict) else None
        if not isinstance(answers, list) or len(answers) != len(batch):  # an earlier version does not know the path
            self._alone_until[addr] = trio.current_time() + c.FORWARD_UNBATCHED_S
            async with trio.open_nursery() as nursery:
                for item in batch:
                    nursery.start_soon(self._one, item)
            return
        for item, one in zip(batch, answers, strict=True):
            item.settle((200, one) if one is not None else (503, None))
