"""A controller node: its parts, put together, and the loops that keep them going."""

import logging
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch import __version__
from pepperlatch.constants import core as c
from pepperlatch.controller.admin import Admin
from pepperlatch.controller.contacts import PEER_BAR, PEER_CONTACT, Contacts
from pepperlatch.controller.heartbeats.forwarding import PEER_HEARTBEAT, PEER_HEARTBEATS
from pepperlatch.controller.heartbeats.handler import HeartbeatHandler
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leaderless import LeaderlessReturns
from pepperlatch.controller.leadership import Leadership, Term, hold_seconds
from pepperlatch.controller.owner import Owner
from pepperlatch.controller.parts import Core, Part, Parts, Told
from pepperlatch.controller.peers import PEER_FENCE, PEER_INSPECT, Peers
from pepperlatch.controller.store import Replica, Watched
from pepperlatch.controller.users import Progress, Users
from pepperlatch.controller.vouching import PEER_CANCELLED, PEER_VOUCH, Vouching
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol import wire
from pepperlatch.protocol.cloud import CloudClient, CloudError
from pepperlatch.protocol.http.client import HttpNetwork, Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.protocol.state import StateClient
from pepperlatch.protocol.wire import Report
from pepperlatch.protocol.workers import WorkerClient
from pepperlatch.settings import Peer, Settings, split_address

log = logging.getLogger(__name__)
PEER_HEALTH = "/peer/health"


class HeartbeatBatch(msgspec.Struct):
    beats: list[Report]
    node: str = ""  # who forwards them, if it takes delegations


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
        self.vouching = Vouching(network, settings.peers, self.watched, self.leadership, clock)
        self.owner = Owner(self._settle, c.TICK_S / 5)
        self.heartbeats = HeartbeatHandler(
            settings, network, clock, self.owner, self.replica, self.state, hold_s, lambda: self.leader
        )
        self.users = Users(settings, self.watched, self.state, wall, self._progress, self.vouching.tell)
        self.admin = Admin(self.watched, self.state, self.view)
        core = Core(
            settings, self.users, self.watched, self.state, wall, clock, network, lambda: self.leader,
            lambda: Told(self.heartbeats.contact.at, self._progress),
        )  # fmt: skip
        self.parts = Parts([part(core) for part in parts])
        self.images = ImageMemory()
        self.leaderless = LeaderlessReturns(
            params.workers, clock, self.replica, lambda: self.leader is not None, self.workers, self.peers, self.cloud
        )
        self.contacts = Contacts(
            settings, network, clock, self.owner, self.replica, self.heartbeats, self.leadership, self.vouching,
            self.images, lambda: self.leader, self.leaderless,
        )  # fmt: skip
        self.leader: Leader | None = None
        self._nursery: trio.Nursery | None = None
        self._peers_good = False  # others have the state service, or are out of reach as it is
        self._silent_rounds = 0  # in which none of them answered

    # --- life -------------------------------------------------------------------------------------

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            loops = (
                self.owner.run, self.watched.watch, self.watched.serve_syncs, self.users.create_loop,
                self.contacts.run, self._health_loop, self._homes_loop, self._types_loop, self.parts.run,
                self.heartbeats.forwarder.run, self.leaderless.run,
                partial(self.watched.keep_current, lambda: self.leader is not None),
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
            self._clock, self._wall, self.peers, self.images,
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
        if request.path == wire.HEALTH_PATH:
            return self._health()
        if request.path == wire.REPORT_PATH and request.method == "POST":
            return await self.heartbeats.heartbeat(request.body)
        if request.path.startswith(wire.JOBS_PATH):
            return await self.users.handle(request)
        return await self.parts.handle(request) or await self.users.handle(request)

    def _health(self) -> Response:
        """Unhealthy only if this node alone has lost the state service, as far as it can know; an outage is everyone's.

        One that nobody answers, no other controller either, is taken to be cut off itself: it would keep its users for
        as long as that lasts, and answer each of them that it cannot tell.
        """
        able = bool(self.replica.types or self.users.types)
        good = (self.replica.loaded and able and self._state_good()) or not self._peers_good
        return Response(200 if good and self.replica.loaded else 503, {"healthy": good})

    def _state_good(self) -> bool:
        return self.state.reachable() or self._clock() - self.state.failing_since < c.STATE_FAILING_S

    async def _state_answers(self) -> bool:
        """For another node that gets no answers: what we got a while ago may have been before the outage."""
        return self._clock() - self.state.last_success_at < c.STATE_FRESH_S or await self.state.responds()

    def _peer(self, node: str) -> Peer | None:
        return next((p for p in self.settings.peers if p.node == node), None)

    # --- the controllers' listener ----------------------------------------------------------------

    async def handle_peer(self, request: Request) -> Response:
        if request.path in (PEER_HEARTBEAT, PEER_HEARTBEATS) and request.method == "POST":
            return await self._forwarded(request)
        if request.path == PEER_CONTACT and request.method == "POST":
            return await self.contacts.serve_contact(request.body)
        if request.path in (PEER_INSPECT, PEER_FENCE) and request.method == "POST":
            return await self.peers.serve(request)
        if request.path == PEER_BAR and request.method == "POST":
            return self.contacts.serve_bar(request.body)
        if request.path == PEER_VOUCH and request.method == "POST":
            return self.vouching.serve(request.body)
        if request.path == PEER_CANCELLED and request.method == "POST":
            return self.vouching.serve_cancelled(request.body)
        if request.path == PEER_HEALTH:
            state = self.replica.loaded and await self._state_answers()
            return Response(200, {"state": state, "leader": self.heartbeats.hears_leader()})
        return await self.parts.handle(request, operators=True) or await self.admin.handle(request)

    async def _forwarded(self, request: Request) -> Response:
        """Heartbeats that another controller forwards: one by itself, or several. Refused whole if malformed."""
        try:
            plain = orjson.loads(request.body)
            if request.path == PEER_HEARTBEAT:
                return await self.heartbeats.lead(wire.convert(plain, Report))
            batch = wire.convert(plain, HeartbeatBatch)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            log.info("forwarded heartbeats are refused: %s", error)
            return Response(400, {"error": str(error)})
        follower = batch.node if self._peer(batch.node) is not None else ""
        return Response(200, {"answers": await self.heartbeats.lead_all(batch.beats, follower)})

    def _progress(self, job_id: str) -> Progress | None:
        if self.leader is not None:
            job = self.leader.cluster.jobs.get(job_id)
            if job is None:
                return None
            return Progress(job.running(), len(job.done), job.reason, self._clock() - job.reason_since)
        row = self.heartbeats.contact.jobs.get(job_id)
        if not row:
            return None
        reason = Reason(Why.UNKNOWN, said=row[2])  # the leader's own words, whatever its version
        return Progress(row[0], row[1], reason, row[3] + self._clock() - self.heartbeats.contact.at)

    async def _health_loop(self) -> None:
        """Only while this node has no good answer itself does it ask whether the others do."""
        while True:
            await trio.sleep(c.HEALTH_INTERVAL_S)
            if self.replica.loaded and self._state_good():
                self._peers_good, self._silent_rounds = False, 0
                continue
            answers: list[bool | None] = []

            async def ask(peer: Peer, answers: list[bool | None] = answers) -> None:
                answers.append(await self._peer_good(peer))

            async with trio.open_nursery() as nursery:
                for peer in self.settings.peers:
                    nursery.start_soon(ask, peer)
            silent = bool(answers) and all(answer is None for answer in answers)
            self._silent_rounds = self._silent_rounds + 1 if silent else 0
            self._peers_good = any(answers) or self._silent_rounds >= c.ISOLATED_ROUNDS

    async def _homes_loop(self) -> None:
        """Workers that report here are sent back to their own zone once a controller there hears the leader."""
        while True:
            await trio.sleep(c.PREFERRED_CONTROLLER_PROBE_INTERVAL_S)
            wanted = self.heartbeats.routes.look(self._clock())
            async with trio.open_nursery() as nursery:
                for peer in (p for p in self.settings.peers if p.node in wanted):
                    nursery.start_soon(self._ask_home, peer)

    async def _ask_home(self, peer: Peer) -> None:
        health = await self._peer_health(peer)
        self.heartbeats.routes.heard(peer.node, health is not None and bool(health.get("leader")), self._clock())

    async def _peer_good(self, peer: Peer) -> bool | None:
        """Whether the state service answers it; None if it does not answer us."""
        health = await self._peer_health(peer)
        return None if health is None else bool(health.get("state"))

    async def _peer_health(self, peer: Peer) -> dict[str, Any] | None:
        """What another controller says of itself; nothing good if that cannot be read, None if it does not answer."""
        try:
            status, answer = await self._network.request(peer.addr, "GET", PEER_HEALTH, None, c.PROBE_TIMEOUT_S)
        except (NotSent, NoUsableResponse):
            return None
        return answer if status == 200 and isinstance(answer, dict) else {}

    async def _types_loop(self) -> None:
        """A node must know the machine types to decide; once the state service holds them it asks no more."""
        while not self.replica.types and not self.users.types:
            try:
                self.users.types = await self.cloud.types()
            except CloudError:
                await trio.sleep(c.CLOUD_RETRY_PAUSE_S)

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
                "reported_s": round(self._clock() - m.beat_at, 1) if m.beat_at >= 0 else None,
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
    by_peers = min(accepted // 5, c.MAX_CONNECTIONS_PER_PEER * max(1, len(settings.peers)))
    network = HttpNetwork(limit - accepted - 20)
    node = Node(settings, network, parts=parts)
    made(node)
    log.info("version %s", __version__)
    async with trio.open_nursery() as nursery:
        for handler, address, most in (
            (node.handle, settings.listen, accepted - by_peers),
            (node.handle_peer, settings.peer_listen, by_peers),
        ):
            host, port = split_address(address)
            server = Server(handler, most, lambda request: request.path == wire.REPORT_PATH)
            await nursery.start(server.serve, host, port)
        nursery.start_soon(node.run)
        while True:
            await trio.sleep(c.POOL_IDLE_S)
            network.drop_idle()
