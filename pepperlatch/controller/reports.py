"""Workers' reports: answered by the leader, carried to it by the others, kept alive in its place in the worst case."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.carrying import Carrier
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leadership import keeps_alive_until
from pepperlatch.controller.owner import Owner, Reply
from pepperlatch.controller.store import Replica
from pepperlatch.policy.cluster import BEGAN
from pepperlatch.policy.model import split_task
from pepperlatch.policy.routes import Routes
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Lost, Network, NotSent
from pepperlatch.protocol.http.server import Response
from pepperlatch.protocol.state import StateClient
from pepperlatch.protocol.wire import Report
from pepperlatch.settings import Settings

log = logging.getLogger(__name__)
Clock = Callable[[], float]


@dataclass(slots=True)
class Contact:
    """The last answer from the leader: when it was asked for, under which token, and what it said of jobs."""

    at: float = float("-inf")
    token: int = 0
    jobs: dict[str, list[Any]] = field(default_factory=dict)


class Reports:
    def __init__(
        self, settings: Settings, network: Network, clock: Clock, owner: Owner, replica: Replica,
        state: StateClient, hold_s: float, leader: Callable[[], Leader | None],
    ) -> None:  # fmt: skip
        self.carrier = Carrier(network)
        self._clock = clock
        self._owner = owner
        self._replica = replica
        self._state = state
        self._hold_s = hold_s
        self._leader = leader
        self._lease_s = settings.params.workers.lease_s
        self._addr = {peer.node: peer.addr for peer in settings.peers}
        self.routes = Routes(
            settings.node, {settings.node: settings.zone} | {peer.node: peer.zone for peer in settings.peers}
        )
        self.contact = Contact()
        self._began_at = clock()
        self._barred_until = float("-inf")
        self._stood_in: dict[str, float] = {}  # machines answered in the leader's place, and when

    # --- from workers -----------------------------------------------------------------------------

    async def beat(self, body: bytes) -> Response:
        """A worker's report. The answer comes within its patience; cancelled, the report may have been taken in."""
        try:
            plain = orjson.loads(body)
            report = wire.convert(plain, Report)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        now = self._clock()
        home = self.routes.home(report.machine, report.zone, now)
        if home is not None and self.routes.send(report.machine, now):
            return Response(421, wire.misdirected(home))
        return await self._take(report, plain, now + c.BEAT_PATIENCE_S)

    async def _take(self, report: Report, plain: Any, until: float) -> Response:
        """Whoever comes to lead meanwhile has it: a worker that is sent away with no better place to go loses time."""
        while True:
            held = self._replica.leader
            if self._leader() is not None:
                return await self.lead(report)
            if held is not None and held[0] in self._addr:
                answer = await self._carry(held[0], report, plain, until)
                if answer is not None:
                    return answer
            elif self.routes.zones[self.routes.node] != report.zone:
                return Response(503, {"error": "nobody leads"})
            if self._clock() + c.BEAT_RETRY_S >= until:
                return Response(421, {}) if held is not None else Response(503, {"error": "nobody leads"})
            await trio.sleep(c.BEAT_RETRY_S)

    async def lead(self, report: Report) -> Response:
        """As the leader."""
        leader = self._leader()
        reply: Reply[dict[str, Any] | None] = Reply()
        if leader is not None and not self._owner.full():
            self._owner.post(lambda: leader.on_beat(report, reply))
            with trio.move_on_after(c.RELAY_S):
                answer = await reply.get()
                if answer is not None:
                    return Response(200, answer)
        return Response(503, {"error": "not entitled to answer"})

    async def lead_all(self, reports: list[Report]) -> list[dict[str, Any] | None]:
        """The same for several that were carried together: an answer for each, or None."""
        answers: list[dict[str, Any] | None] = [None] * len(reports)

        async def one(index: int) -> None:
            response = await self.lead(reports[index])
            answers[index] = response.body if response.status == 200 else None

        async with trio.open_nursery() as nursery:
            for index in range(len(reports)):
                nursery.start_soon(one, index)
        return answers

    async def _carry(self, leader: str, report: Report, plain: Any, until: float) -> Response | None:
        """To the leader, so that a zone that cannot reach it lives on; None: there may be a way soon."""
        heard = self._hears_leader()
        if not heard and self._may_stand_in(report):
            return self._stand_in(report)
        refused = False
        try:
            seconds = min(c.RELAY_S, max(c.BEAT_RETRY_S, until - self._clock()))
            status, answer = await self.carrier.carry(self._addr[leader], plain, seconds)
            if status == 200:
                return Response(200, answer)
        except NotSent:
            refused = True
        except Lost:
            pass
        if self._may_stand_in(report):
            return self._stand_in(report)
        if refused and self._state_here() and self.routes.send(report.machine, self._clock()):
            return Response(421, wire.misdirected(leader))
        return None

    def _hears_leader(self) -> bool:
        """Whether reports may be carried to it: a try at a silent leader costs a worker most of its patience."""
        return self._clock() - self.contact.at < c.LEADER_SILENT_S

    def hears_leader(self) -> bool:
        """For others that ask where a worker should report."""
        return self._leader() is not None or self._hears_leader()

    def _state_here(self) -> bool:
        """Cut off from everything we would not know who leads; then there is no point in sending workers there."""
        return self._clock() - self._state.good_at <= c.STATE_AWAY_S

    # --- standing in ------------------------------------------------------------------------------

    def _may_stand_in(self, report: Report) -> bool:
        """While neither the leader nor the state service can be reached, workers' leases are kept alive for it.

        For as long as the leader itself might: counted from the last proof that it leads, and from when
        we last asked it and were answered, which is what it reckons with. Never while a promise to it
        holds, also one that this node gave just before it ended and was back at once; never for workers that
        another leader has commanded since.
        """
        now, held, contact = self._clock(), self._replica.leader, self.contact
        return (
            held is not None
            and held[1] == contact.token == report.token
            and not self._state_here()
            and now > max(self._barred_until, self._began_at + c.STAND_IN_BAR_S)
            and now < keeps_alive_until(self._hold_s, self._replica.current_at, contact.at)
        )

    def _stand_in(self, report: Report) -> Response:
        """No orders but to stop what this node knows to be over."""
        self._stood_in[report.machine] = self._clock()
        orders = []
        for task in report.tasks:
            parts = split_task(task.task)
            entry = self._replica.jobs.get(parts[0]) if parts else None
            if entry is not None and entry.state in wire.FINAL and task.state is not wire.TaskState.EXITED:
                orders.append(wire.kill(task.task, task.attempt, 0.0))
        return Response(200, wire.report_answer(report.token, orders))

    def barred(self, unreached: list[str]) -> dict[str, float]:
        """The leader is in touch: no standing in for a while. It is told for which machines we did, how long ago,
        and how long this process has lived."""
        now = self._clock()
        self.routes.keep(unreached, now)
        self._barred_until = now + c.STAND_IN_BAR_S
        oldest = now - 2 * self._lease_s
        self._stood_in = {name: at for name, at in self._stood_in.items() if at > oldest}
        ages = {name: round(now - at, 3) for name, at in self._stood_in.items()}
        return {BEGAN: round(now - self._began_at, 3), **ages}
