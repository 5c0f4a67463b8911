"""A controller node: its parts, put together, and the loops that keep them going."""

import logging
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch import __version__
from pepperlatch.constants import core as c
from pepperlatch.controller.admin import Admin
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leadership import Leadership, Term, hold_seconds
from pepperlatch.controller.owner import Owner, Reply
from pepperlatch.controller.parts import Core, Part, Parts, Told
from pepperlatch.controller.peers import PEER_FENCE, PEER_INSPECT, Peers
from pepperlatch.controller.store import Replica, Watched
from pepperlatch.controller.users import Progress, Users
from pepperlatch.policy.cluster import BEGAN
from pepperlatch.policy.model import Status, split_task
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol import wire
from pepperlatch.protocol.cloud import CloudClient, CloudTrouble
from pepperlatch.protocol.http.client import HttpNetwork, Lost, Network, NotSent
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.protocol.state import StateClient
from pepperlatch.protocol.wire import Report
from pepperlatch.protocol.workers import WorkerClient
from pepperlatch.settings import Peer, Settings, split_address

log = logging.getLogger(__name__)
PEER_BEAT, PEER_CONTACT, PEER_BAR, PEER_HEALTH = "/peer/beat", "/peer/contact", "/peer/bar", "/peer/health"


@dataclass(slots=True)
class _Sent:
    """When a worker was last sent to the leader, and until when its reports are passed on instead."""

    at: float
    relay_until: float = -1.0


@dataclass(slots=True)
class _Contact:
    """The last answer from the leader: when it was asked for, under which token, and what it said of jobs."""

    at: float = float("-inf")
    token: int = 0
    jobs: dict[str, list[Any]] = field(default_factory=dict)


class PeerMessage(msgspec.Struct):
    node: str
    token: int
    relay: list[str] = []  # machines that the leader reaches only through others


def _message(body: bytes) -> PeerMessage | None:
    try:
        message: PeerMessage = wire.convert(orjson.loads(body), PeerMessage)
        return message
    except (orjson.JSONDecodeError, msgspec.ValidationError):
        return None


class Node:
    def __init__(
        self, settings: Settings, network: Network, clock: Callable[[], float] = trio.current_time,
        wall: Callable[[], float] = time.time, seed: int | None = None,
        parts: Sequence[Callable[[Core], Part]] = (),
    ) -> None:  # fmt: skip
        self.settings = settings
        self._network = network
        self._clock = clock
        self._wall = wall
        params = settings.params
        self.state = StateClient(network, settings.services.state, params.state, params.nodes, clock)
        self.cloud = CloudClient(network, settings.services.cloud, params.cloud, clock)
        self.workers = WorkerClient(network)
        self.peers = Peers(settings, network, self.workers)
        self.replica = Replica()
        self.watched = Watched(self.state, self.replica, self._changed)
        hold_s = hold_seconds(params.workers.cancel_s, params.workers.lease_s)
        self.leadership = Leadership(settings.node, self.state, self.replica, hold_s, clock, seed)
        self.owner = Owner(self._settle, c.TICK_S / 5)
        self.users = Users(settings, self.watched, self.state, wall, self._progress)
        self.admin = Admin(self.watched, self.state, self.view)
        core = Core(
            settings, self.users, self.watched, self.state, wall, clock, network, lambda: self.leader,
            lambda: Told(self._contact.at, self._progress),
        )  # fmt: skip
        self.parts = Parts([part(core) for part in parts])
        self.leader: Leader | None = None
        self._nursery: trio.Nursery | None = None
        self._sent: dict[str, _Sent] = {}
        self._contact = _Contact()
        self._began_at = clock()
        self._barred_until = float("-inf")
        self._peer_answered_at = float("-inf")
        self._stood_in: dict[str, float] = {}  # machines answered in the leader's place, and when
        self._peers_good = False

    # --- life -------------------------------------------------------------------------------------

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            loops = (
                self.owner.run, self.watched.watch, self.watched.serve_syncs, self.users.create_loop,
                self._contact_loop, self._health_loop, self._types_loop, self.parts.run,
            )  # fmt: skip
            for loop in loops:
                nursery.start_soon(loop)
            nursery.start_soon(self.leadership.run, self._on_term)
            started()

    def _on_term(self, term: Term | None) -> None:
        if term is None:
            self.leader = None
            return
        self.leader = Leader(
            self.settings, term, self.replica, self.state, self.cloud, self.workers, self.owner,
            self._clock, self._wall, self.peers,
        )  # fmt: skip
        self.leader.cluster.listener = self.parts.listener(self.leader)
        if self._nursery is not None:
            self._nursery.start_soon(self.leader.run)
            self._nursery.start_soon(self.parts.lead, term)

    def _changed(self, touched: set[str]) -> None:
        """The watch: the loss of leadership is seen before any job that came after it."""
        self.leadership.check_key()
        leader = self.leader
        if leader is not None and not leader.term.over:
            self.owner.post(lambda: leader.on_jobs(touched))

    def _settle(self) -> None:
        if self.leader is not None:
            self.leader.settle()

    # --- the users' listener ----------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        if request.path == wire.HEALTH:
            return self._health()
        if request.path == wire.REPORT and request.method == "POST":
            return await self._beat(request.body)
        if request.path.startswith(wire.JOBS):
            return await self.users.handle(request)
        return await self.parts.handle(request) or await self.users.handle(request)

    def _health(self) -> Response:
        """Unhealthy only if the state service refuses this node alone; an outage is everyone's."""
        able = bool(self.replica.types or self.users.types)
        good = (self.replica.loaded and able and self._state_good()) or not self._peers_good
        return Response(200 if good and self.replica.loaded else 503, {"healthy": good})

    def _state_good(self) -> bool:
        return self.state.reachable() or self._clock() - self.state.bad_since < c.STATE_BAD_S

    async def _state_answers(self) -> bool:
        """For another node that gets no answers: what we got a while ago may have been before the outage."""
        return self._clock() - self.state.good_at < c.STATE_FRESH_S or await self.state.answers()

    async def _beat(self, body: bytes) -> Response:
        try:
            report = wire.convert(orjson.loads(body), Report)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        if self.leader is not None:
            return await self._lead_beat(report)
        held = self.replica.leader
        if held is None or held[0] == self.settings.node:
            return Response(503, {"error": "nobody leads"})
        if self._leader_answers() and self._sent_away(report.machine):
            return Response(421, wire.misdirected(held[0]))
        return await self._relay(held[0], report, body)

    async def _lead_beat(self, report: Report) -> Response:
        leader = self.leader
        reply: Reply[dict[str, Any] | None] = Reply()
        if leader is not None and not self.owner.full():
            self.owner.post(lambda: leader.on_beat(report, reply))
            with trio.move_on_after(c.RELAY_S):
                answer = await reply.get()
                if answer is not None:
                    return Response(200, answer)
        return Response(503, {"error": "not entitled to answer"})

    def _leader_answers(self) -> bool:
        """Whether a worker may be sent to it: a try at a silent leader costs the worker five seconds of its lease."""
        return self._clock() - self._contact.at < c.LEADER_SILENT_S

    def _sent_away(self, machine: str) -> bool:
        """Whether the worker is to be sent to the leader; one that is soon back could not reach it."""
        now = self._clock()
        sent = self._sent.get(machine)
        if sent is None or (now - sent.at > c.RELAY_AFTER_S and now > sent.relay_until):
            self._sent[machine] = _Sent(now)
            return True
        if now > sent.relay_until:
            sent.relay_until = now + c.RELAY_STICKY_S
        return False

    async def _relay(self, leader: str, report: Report, body: bytes) -> Response:
        """Pass a report on, so that a zone that cannot reach the leader lives on."""
        peer = self._peer(leader)
        if peer is not None:
            try:
                status, answer = await self._network.request(
                    peer.addr, "POST", PEER_BEAT, orjson.loads(body), c.RELAY_S
                )
                if status == 200:
                    return Response(200, answer)
            except (NotSent, Lost):
                pass
        if self._may_stand_in(report):
            return self._stand_in(report)
        self._sent.pop(report.machine, None)
        return Response(421, {})

    def _may_stand_in(self, report: Report) -> bool:
        """While neither the leader nor the state service can be reached, workers' leases are kept alive for it.

        For as long as the leader itself might: counted from the last proof that it leads, and from when
        we last asked it and were answered, which is what it reckons with. Never while a promise to it
        holds, never for workers that another leader has commanded since.
        """
        now, held = self._clock(), self.replica.leader
        contact = self._contact
        return (
            held is not None
            and held[1] == contact.token == report.token
            and now - self.watched.current_at > c.STATE_AWAY_S
            and now > self._barred_until
            and now - self.watched.current_at < self.leadership.hold_s
            and now - contact.at < self.leadership.hold_s
        )

    def _stand_in(self, report: Report) -> Response:
        """No orders but to stop what this node knows to be over."""
        self._stood_in[report.machine] = self._clock()
        orders = []
        for task in report.tasks:
            parts = split_task(task.task)
            entry = self.replica.jobs.get(parts[0]) if parts else None
            if entry is not None and entry.state in wire.FINAL and task.state is not wire.TaskState.EXITED:
                orders.append(wire.kill(task.task, task.attempt, 0.0))
        return Response(200, wire.report_answer(report.token, orders))

    def _peer(self, node: str) -> Peer | None:
        return next((p for p in self.settings.peers if p.node == node), None)

    # --- the controllers' listener ----------------------------------------------------------------

    async def handle_peer(self, request: Request) -> Response:
        if request.path == PEER_BEAT and request.method == "POST":
            try:
                return await self._lead_beat(wire.convert(orjson.loads(request.body), Report))
            except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
                return Response(400, {"error": str(error)})
        if request.path == PEER_CONTACT and request.method == "POST":
            return self._on_contact(request.body)
        if request.path in (PEER_INSPECT, PEER_FENCE) and request.method == "POST":
            return await self.peers.serve(request)
        if request.path == PEER_BAR and request.method == "POST":
            return self._on_bar(request.body)
        if request.path == PEER_HEALTH:
            return Response(200, {"state": self.replica.loaded and await self._state_answers()})
        return await self.parts.handle(request, operators=True) or await self.admin.handle(request)

    def _on_contact(self, body: bytes) -> Response:
        """A follower asks what it may show users, and may stand in for us from now on."""
        leader, asked = self.leader, _message(body)
        if asked is None:
            return Response(400, {"error": "wanted: node and token"})
        if leader is None or asked.token != leader.term.token or leader.term.over:
            return Response(404, {"error": "does not lead"})
        now = self._clock()
        leader.cluster.answered_peer(asked.node, now)
        jobs = leader.cluster.jobs.values()
        return Response(
            200,
            {
                j.spec.id: [j.running(), len(j.done), j.reason.text(), round(now - j.reason_since, 1), j.reason.kind]
                for j in jobs
                if not j.over
            },
        )

    def _on_bar(self, body: bytes) -> Response:
        """The leader is in touch: no standing in for a while. It is told for which machines we did, how long ago."""
        message = _message(body)
        if message is None:
            return Response(400, {"error": "wanted: node and token"})
        now = self._clock()
        for name in message.relay:
            self._sent[name] = _Sent(now, now + c.RELAY_STICKY_S)
        self._barred_until = now + c.STAND_IN_BAR_S
        oldest = now - 2 * self.settings.params.workers.lease_s
        self._stood_in = {name: at for name, at in self._stood_in.items() if at > oldest}
        ages = {name: round(now - at, 3) for name, at in self._stood_in.items()}
        return Response(200, {BEGAN: round(now - self._began_at, 3), **ages})

    def _progress(self, job_id: str) -> Progress | None:
        if self.leader is not None:
            job = self.leader.cluster.jobs.get(job_id)
            if job is None:
                return None
            return Progress(job.running(), len(job.done), job.reason, self._clock() - job.reason_since)
        row = self._contact.jobs.get(job_id)
        if not row:
            return None
        reason = Reason(Why.UNKNOWN, said=row[2])  # the leader's own words, whatever its version
        return Progress(row[0], row[1], reason, row[3] + self._clock() - self._contact.at)

    async def _contact_loop(self) -> None:
        while True:
            await trio.sleep(c.CONTACT_EVERY_S)
            held, leader = self.replica.leader, self.leader
            if leader is not None:
                async with trio.open_nursery() as nursery:
                    for peer in self.settings.peers:
                        nursery.start_soon(self._bar, leader, peer)
                if self._alone(leader):
                    log.info("neither workers nor other controllers reach this leader: it hands over")
                    await self.leadership.resign(c.HANDOVER_PAUSE_S)
            elif held is not None and (peer_leads := self._peer(held[0])) is not None:
                await self._contact_leader(peer_leads, held[1])

    def _alone(self, leader: Leader) -> bool:
        """Reaching the state service is not enough to lead: reports must come in, directly or passed on."""
        machines = [m for m in leader.cluster.machines.values() if m.status is Status.UP]
        since = max([leader.cluster.started, self._peer_answered_at, *(m.seen_at for m in machines)])
        return bool(machines) and self._clock() - since > c.HANDOVER_REPORTS * self.settings.params.workers.report_s

    async def _contact_leader(self, peer: Peer, token: int) -> None:
        sent = self._clock()
        answer = await self._ask_peer(peer, PEER_CONTACT, token)
        if answer is not None:
            self._contact = _Contact(sent, token, answer)

    async def _bar(self, leader: Leader, peer: Peer) -> None:
        """Counted from before the question, the promise is shorter for us than for the one that gave it."""
        sent = self._clock()
        answer = await self._ask_peer(peer, PEER_BAR, leader.term.token, sorted(leader.cluster.relayed(sent)))
        if answer is not None:
            self._peer_answered_at = self._clock()
            until = sent + c.STAND_IN_BAR_S - c.STAND_IN_SLACK_S
            self.owner.post(lambda: leader.cluster.on_promise(peer.node, answer, until, self._clock()))

    async def _ask_peer(
        self, peer: Peer, path: str, token: int, relay: list[str] | None = None
    ) -> dict[str, Any] | None:
        try:
            body = {"node": self.settings.node, "token": token, "relay": relay or []}
            status, answer = await self._network.request(peer.addr, "POST", path, body, c.PROBE_S)
        except (NotSent, Lost):
            return None
        return answer if status == 200 and isinstance(answer, dict) else None

    async def _health_loop(self) -> None:
        """Only while this node has no good answer itself does it ask whether the others do."""
        while True:
            await trio.sleep(c.HEALTH_EVERY_S)
            if self.replica.loaded and self._state_good():
                self._peers_good = False
                continue
            answers = [await self._peer_good(peer) for peer in self.settings.peers]
            self._peers_good = any(answers)

    async def _peer_good(self, peer: Peer) -> bool:
        try:
            status, answer = await self._network.request(peer.addr, "GET", PEER_HEALTH, None, c.PROBE_S)
            return status == 200 and bool(answer.get("state"))
        except (NotSent, Lost, AttributeError):
            return False

    async def _types_loop(self) -> None:
        """A node must know the machine types to decide; once the state service holds them it asks no more."""
        while not self.replica.types and not self.users.types:
            try:
                self.users.types = await self.cloud.types()
            except CloudTrouble:
                await trio.sleep(c.CLOUD_RETRY_S)

    # --- views ------------------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """For operators: who leads, and if it is this node, machines, drains and teams."""
        held = self.replica.leader
        answer: dict[str, Any] = {
            "node": self.settings.node,
            "version": __version__,
            "parts": self.parts.names(),
            "leader": held[0] if held else None,
            "token": held[1] if held else None,
        }
        if self.leader is None:
            return answer
        cluster, planner = self.leader.cluster, self.leader.planner
        answer["machines"] = [
            {
                "name": m.name, "type": m.type.name, "zone": m.zone, "spot": m.spot, "status": m.status.value,
                "tasks": len(m.attempts), "used_share": round(m.used_share(), 3), "draining": m.draining,
                "quarantined": m.quarantined, "accounted": m.name not in cluster.unaccounted,
                "silent_s": round(self._clock() - m.seen_at, 1) if m.seen_at >= 0 else None,
            }
            for m in cluster.machines.values()
        ]  # fmt: skip
        answer["jobs"] = {
            "ready": sum(1 for j in cluster.jobs.values() if not j.over),
            "waiting_for_others": self.replica.waiting_for_others(),
        }
        answer["drains"] = {"begun": planner.drains_begun, "cancelled": planner.drains_cancelled}
        answer["teams"] = [cluster.quota.shown(t.name) for t in self.settings.params.teams]
        return answer


async def serve(
    settings: Settings, parts: Sequence[Callable[[Core], Part]] = (), made: Callable[[Node], None] = lambda node: None
) -> None:
    """Run a node until it is cancelled, with the parts that are switched on. `made` is shown the node."""
    limit = settings.params.limits.max_connections
    accepted = int(limit * c.SOCKET_SHARE_SERVER)
    network = HttpNetwork(limit - accepted - 20)
    node = Node(settings, network, parts=parts)
    made(node)
    log.info("version %s", __version__)
    async with trio.open_nursery() as nursery:
        for handler, address, most in (
            (node.handle, settings.listen, accepted * 4 // 5),
            (node.handle_peer, settings.peer_listen, accepted // 5),
        ):
            host, port = split_address(address)
            await nursery.start(Server(handler, most).serve, host, port)
        nursery.start_soon(node.run)
        while True:
            await trio.sleep(c.POOL_IDLE_S)
            network.drop_idle()
