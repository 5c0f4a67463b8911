"""Workers' reports: answered by the leader, carried to it by the others, kept alive in its place in the worst case."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.heartbeats.delegation import DelegatedAnswers
from pepperlatch.controller.heartbeats.forwarding import HeartbeatForwarder
from pepperlatch.controller.leader import GRANT, HeartbeatAnswer, Leader
from pepperlatch.controller.leadership import keeps_alive_until
from pepperlatch.controller.owner import Owner, Reply
from pepperlatch.controller.store import Replica
from pepperlatch.policy.cluster import BEGAN
from pepperlatch.policy.model import split_task
from pepperlatch.policy.routes import Routes
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Response
from pepperlatch.protocol.state import StateClient
from pepperlatch.protocol.wire import Report
from pepperlatch.settings import Settings

log = logging.getLogger(__name__)
Clock = Callable[[], float]


@dataclass(slots=True)
class LeaderContact:
    """The last answer from the leader: when it was asked for, under which token, and what it said of jobs."""

    at: float = float("-inf")
    token: int = 0
    jobs: dict[str, list[Any]] = field(default_factory=dict)


class HeartbeatHandler:
    def __init__(
        self, settings: Settings, network: Network, clock: Clock, owner: Owner, replica: Replica,
        state: StateClient, hold_s: float, leader: Callable[[], Leader | None],
    ) -> None:  # fmt: skip
        self.forwarder = HeartbeatForwarder(network, settings.node)
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
        self.contact = LeaderContact()
        self._began_at = clock()
        self.delegated = DelegatedAnswers(
            settings.params.workers.report_s, self._lease_s, self._began_at, self._knows_over
        )
        self._barred_until = float("-inf")
        self._stood_in: dict[str, float] = {}  # machines answered in the leader's place, and when

    # --- from workers -----------------------------------------------------------------------------

    async def heartbeat(self, body: bytes) -> Response:
        """A worker's report. The answer comes within its patience; cancelled, the report may have been taken in."""
        try:
            plain = orjson.loads(body)
            report = wire.convert(plain, Report)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        now = self._clock()
        home = self.routes.home(report.machine, report.zone, now)
        if home is not None and self.routes.send(report.machine, now):
            return Response(421, wire.redirect_body(home))
        return await self._take(report, plain, now + c.MAX_HEARTBEAT_WAIT_S)

    async def _take(self, report: Report, plain: Any, until: float) -> Response:
        """Whoever comes to lead meanwhile has it: a worker that is sent away with no better place to go loses time."""
        while True:
            held = self._replica.leader
            leader = self._leader()
            token = leader.term.token if leader is not None else held[1] if held is not None else 0
            if self._answers_itself(report, token):
                return Response(200, wire.report_answer(report.token, []))
            if leader is not None:
                return await self._lead_own(report, token)
            if held is not None and held[0] in self._addr:
                answer = await self._forward(held[0], report, plain, until)
                if answer is not None:
                    return answer
            elif self.routes.zones[self.routes.node] != report.zone:
                return Response(503, {"error": "nobody leads"})
            if self._clock() + c.HEARTBEAT_RETRY_S >= until:
                return Response(421, {}) if held is not None else Response(503, {"error": "nobody leads"})
            await trio.sleep(c.HEARTBEAT_RETRY_S)

    async def lead(self, report: Report) -> Response:
        """As the leader."""
        return _response((await self.lead_all([report]))[0])

    async def _lead_own(self, report: Report, token: int) -> Response:
        """As the leader, for a worker that reports here: this node is one of its own followers."""
        self.delegated.forwarded(report)
        try:
            answer = (await self.lead_all([report], self.routes.node))[0]
            if answer is not None:
                self.delegated.granted(report, answer.pop(GRANT, None), token, self._clock())
            return _response(answer)
        finally:
            self.delegated.gave_up(report)

    async def lead_all(self, reports: list[Report], follower: str = "") -> list[HeartbeatAnswer]:
        """As the leader, for several that came together: an answer for each, or None.

        `follower`: who forwarded them, if it takes delegations.
        """
        leader = self._leader()
        reply: Reply[list[HeartbeatAnswer]] = Reply()
        if leader is not None and not self._owner.full():
            self._owner.post(lambda: leader.on_heartbeats(reports, follower, reply))
            with trio.move_on_after(c.FORWARD_TIMEOUT_S):
                answers = await reply.get()
                if answers is not None:
                    return answers
        return [None] * len(reports)

    async def _forward(self, leader: str, report: Report, plain: Any, until: float) -> Response | None:
        """To the leader, so that a zone that cannot reach it lives on; None: there may be a way soon."""
        heard = self._hears_leader()
        if not heard and self._may_stand_in(report):
            return self._stand_in(report)
        refused = False
        try:
            seconds = min(c.FORWARD_TIMEOUT_S, max(c.HEARTBEAT_RETRY_S, until - self._clock()))
            self.delegated.forwarded(report)
            status, answer = await self.forwarder.forward(self._addr[leader], plain, seconds)
            if status == 200 and isinstance(answer, dict):
                number = answer.pop(GRANT, None)
                self.delegated.granted(report, number, wire.answer_token(answer), self._clock())
                return Response(200, answer)
        except NotSent:
            refused = True
        except NoUsableResponse:
            pass
        finally:
            self.delegated.gave_up(report)
        if self._may_stand_in(report):
            return self._stand_in(report)
        if refused and self._state_here() and self.routes.send(report.machine, self._clock()):
            return Response(421, wire.redirect_body(leader))
        return None

    def _answers_itself(self, report: Report, token: int) -> bool:
        """On the leader's delegation, and only while it hears us: one that does not know who is there must be found.

        Seen in a story: apart from its followers alone, it took the machines that these answered for a lost zone.
        """
        return self.hears_leader() and self.delegated.may_answer(report, token, self._clock())

    def _hears_leader(self) -> bool:
        """Whether reports may be carried to it: a try at a silent leader costs a worker most of its patience."""
        return self._clock() - self.contact.at < c.LEADER_SILENT_S

    def hears_leader(self) -> bool:
        """For others that ask where a worker should report."""
        return self._leader() is not None or self._hears_leader()

    def _state_here(self) -> bool:
        """Cut off from everything we would not know who leads; then there is no point in sending workers there."""
        return self._clock() - self._state.last_success_at <= c.STATE_UNAVAILABLE_S

    def _knows_over(self, job_id: str) -> bool:
        entry = self._replica.jobs.get(job_id)
        return entry is not None and entry.state in wire.FINAL_JOB_STATES

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
            and now > max(self._barred_until, self._began_at + c.DELEGATED_RENEWAL_BAR_S)
            and now < keeps_alive_until(self._hold_s, self._replica.current_at, contact.at)
        )

    def _stand_in(self, report: Report) -> Response:
        """No orders but to stop what this node knows to be over."""
        self._stood_in[report.machine] = self._clock()
        orders = []
        for task in report.tasks:
            parts = split_task(task.task)
            if parts and self._knows_over(parts[0]) and task.state is not wire.TaskState.EXITED:
                orders.append(wire.kill(task.task, task.attempt, 0.0))
        return Response(200, wire.report_answer(report.token, orders))

    def barred(self, unreached: list[str]) -> dict[str, float]:
        """The leader is in touch: no standing in for a while. It is told for which machines we did, how long ago,
        and how long this process has lived."""
        now = self._clock()
        self.routes.keep(unreached, now)
        self._barred_until = now + c.DELEGATED_RENEWAL_BAR_S
        oldest = now - 2 * self._lease_s
        self._stood_in = {name: at for name, at in self._stood_in.items() if at > oldest}
        ages = {name: round(now - at, 3) for name, at in self._stood_in.items()}
        return {BEGAN: round(now - self._began_at, 3), **ages}


def _response(answer: HeartbeatAnswer) -> Response:
    """What the worker gets for the leader's answer, if there is one."""
    return Response(503, {"error": "not entitled to answer"}) if answer is None else Response(200, answer)
