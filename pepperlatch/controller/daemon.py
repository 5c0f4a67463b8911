"""A controller process: builds its components, runs their loops and dispatches requests of both HTTP listeners."""

import logging
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch import __version__
from pepperlatch.constants import core as c
from pepperlatch.containment import Containment
from pepperlatch.controller.admin import AdminApi
from pepperlatch.controller.attestation import PEER_ATTEST, PEER_CANCELLED, PeerAttestation
from pepperlatch.controller.command_loop import CommandLoop
from pepperlatch.controller.contacts import PEER_CONTACT, PEER_REVOKE_RENEWAL, Contacts
from pepperlatch.controller.extensions import Extension, ExtensionContext, Extensions, LeaderSnapshot
from pepperlatch.controller.heartbeats.forwarding import PEER_HEARTBEAT, PEER_HEARTBEATS
from pepperlatch.controller.heartbeats.handler import HeartbeatHandler
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leaderless import LeaderlessReturns
from pepperlatch.controller.leadership import Leadership, Term, lease_extension_seconds
from pepperlatch.controller.peers import PEER_FENCE, PEER_INSPECT, PeerProxy
from pepperlatch.controller.store import Replica, StateWatcher
from pepperlatch.controller.users import JobProgress, UserApi
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
    """Body of PEER_HEARTBEATS: workers' reports that another controller forwards to the leader."""

    beats: list[Report]
    node: str = ""  # the forwarding controller, if it accepts delegations; "" from earlier versions


class Node:
    """One controller. `leader` is set while it leads, None while it follows.

    `clock` is a steady clock and `wall` the time of day, both in seconds; `seed` makes the election jitter
    reproducible; `extensions` are factories of the extensions that are switched on.
    """

    def __init__(
        self, settings: Settings, network: Network, clock: Callable[[], float] = trio.current_time,
        wall: Callable[[], float] = time.time, seed: int | None = None,
        extensions: Sequence[Callable[[ExtensionContext], Extension]] = (),
    ) -> None:  # fmt: skip
        self.settings = settings
        self._network = network
        self._clock = clock
        self._wall = wall
        params = settings.params
        self.state = StateClient(network, settings.services.state, params.state, params.nodes, clock)
        self.cloud = CloudClient(network, settings.services.cloud, params.cloud, clock)
        self.workers = WorkerClient(network)
        self.peers = PeerProxy(settings, network, self.workers)
        self.containment = Containment(self._give_up_term)
        self.replica = Replica()
        self.watcher = StateWatcher(self.state, self.replica, self._on_watch_change, self._give_up_term)
        lease_extension_s = lease_extension_seconds(params.workers.cancel_s, params.workers.lease_s)
        self.leadership = Leadership(settings.node, self.state, self.replica, lease_extension_s, clock, seed)
        self.attestation = PeerAttestation(network, settings.peers, self.watcher, self.leadership, clock)
        self.command_loop = CommandLoop(self._after_batch, c.TICK_S / 5, self.containment)
        self.heartbeats = HeartbeatHandler(
            settings,
            network,
            clock,
            self.command_loop,
            self.replica,
            self.state,
            lease_extension_s,
            lambda: self.leader,
        )
        self.users = UserApi(settings, self.watcher, self.state, wall, self._progress, self.attestation.notify_leader)
        self.admin = AdminApi(self.watcher, self.state, self.view)
        context = ExtensionContext(
            settings, self.users, self.watcher, self.state, wall, clock, network, lambda: self.leader,
            lambda: LeaderSnapshot(self.heartbeats.leader_contact.requested_at, self._progress),
            self.containment.counts,
        )  # fmt: skip
        self.extensions = Extensions([create(context) for create in extensions], self.containment)
        self.images = ImageMemory()
        self.leaderless = LeaderlessReturns(
            params.workers, clock, self.replica, lambda: self.leader is not None, self.workers, self.peers, self.cloud
        )
        self.contacts = Contacts(
            settings, network, clock, self.command_loop, self.replica, self.heartbeats, self.leadership,
            self.attestation, self.images, lambda: self.leader, self.leaderless,
        )  # fmt: skip
        self.leader: Leader | None = None
        self._nursery: trio.Nursery | None = None
        self._outage_is_local = False  # a peer reaches the state service, or none has answered for ISOLATED_ROUNDS
        self._unanswered_rounds = 0  # consecutive rounds of health requests in which no peer answered

    # --- lifecycle --------------------------------------------------------------------------------

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Run all loops until cancelled. `started` is called once they are scheduled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, loop in self._loops().items():
                nursery.start_soon(self.containment.run, name, loop)
            started()

    def _loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """All loops of the node, by their names in the log. Each may be begun again after an exception left it."""
        return {
            "the command loop": self.command_loop.run,
            "the watch of the state service": self.watcher.watch,
            "the reads for users": self.watcher.serve_syncs,
            "the reads for the leader": partial(self.watcher.keep_current, lambda: self.leader is not None),
            "the creation of jobs": self.users.create_loop,
            "the contact with other controllers": self.contacts.run,
            "the health checks": self._health_loop,
            "the search for preferred controllers": self._preferred_controllers_loop,
            "the reads of machine types": self._machine_types_loop,
            "the extensions": self.extensions.run,
            "the forwarding of heartbeats": self.heartbeats.forwarder.run,
            "the returns while nobody leads": self.leaderless.run,
            "the elections": partial(self.leadership.run, self._on_term),
        }

    def _give_up_term(self) -> None:
        """End this node's term, if it leads: what the leader holds may not be whole any more."""
        self.leadership.give_up(c.GIVEN_UP_PAUSE_S)

    def _on_term(self, term: Term | None) -> None:
        """Called by `Leadership` with each term that this node wins, and with None when it ends."""
        if term is None:
            self.leader = None
            return
        self.leader = Leader(
            self.settings, term, self.replica, self.state, self.cloud, self.workers, self.command_loop,
            self._clock, self._wall, self.peers, self.images,
        )  # fmt: skip
        self.leader.cluster.listener = self.extensions.listener(self.leader)
        if self._nursery is not None:
            self._nursery.start_soon(self.containment.run_once, "the leader's work", self.leader.run)
            run_extensions = partial(self.extensions.run_while_leading, term)
            self._nursery.start_soon(self.containment.run_once, "the extensions of the leader", run_extensions)

    def _on_watch_change(self, touched: set[str]) -> None:
        """Called by the watch with the ids of changed jobs.

        The leader's key is checked first, so that a loss of leadership is noticed before any later change of a job.
        """
        self.leadership.check_leader_key()
        leader = self.leader
        if leader is not None and not leader.term.over:
            self.command_loop.enqueue(lambda: leader.on_jobs(touched))

    def _after_batch(self) -> None:
        """Called by the command loop after each batch of commands."""
        urgencies = self.replica.prerequisites.urgencies
        try:
            changed = urgencies.update(c.MAX_URGENCY_STEPS_PER_BATCH)
        except Exception:
            self.watcher.discard()
            raise
        if self.leader is not None:
            self.leader.on_urgencies(changed)
            self.leader.after_batch()
        if urgencies.pending():
            self.command_loop.enqueue(lambda: None)  # the next batch follows at once, after other tasks have run

    # --- listener for users and workers -----------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Serve a request on the public listener: health probe, workers' reports, jobs, extensions."""
        if request.path == wire.HEALTH_PATH:
            return self._health()
        if request.path == wire.REPORT_PATH and request.method == "POST":
            return await self.heartbeats.serve_heartbeat(request.body)
        if request.path.startswith(wire.JOBS_PATH):
            return await self.users.handle(request)
        return await self.extensions.handle(request) or await self.users.handle(request)

    def _health(self) -> Response:
        """Answer the load balancer: 503 while nothing is loaded, or if only this node has lost the state service.

        In an outage of the state service that affects all controllers, they stay healthy. A node that reaches neither
        the state service nor any other controller counts as isolated and is unhealthy: the load balancer would
        otherwise send it users for as long as that lasts, and it could answer none of them.
        """
        knows_types = bool(self.replica.types or self.users.types)
        healthy = (self.replica.loaded and knows_types and self._state_service_good()) or not self._outage_is_local
        return Response(200 if healthy and self.replica.loaded else 503, {"healthy": healthy})

    def _state_service_good(self) -> bool:
        """Whether the state service is reachable, or has been unreachable for less than STATE_FAILING_S."""
        return self.state.reachable() or self._clock() - self.state.failing_since < c.STATE_FAILING_S

    async def _state_service_answers(self) -> bool:
        """Whether the state service answers now, for a peer that gets no answers from it.

        An answer older than STATE_FRESH_S may be from before the outage, so a new one is requested then.
        """
        return self._clock() - self.state.last_success_at < c.STATE_FRESH_S or await self.state.responds()

    def _find_peer(self, node: str) -> Peer | None:
        return next((p for p in self.settings.peers if p.node == node), None)

    # --- listener for controllers and operators ---------------------------------------------------

    async def handle_peer(self, request: Request) -> Response:
        """Serve a request on the internal listener: other controllers, extensions, administration."""
        if request.path in (PEER_HEARTBEAT, PEER_HEARTBEATS) and request.method == "POST":
            return await self._serve_forwarded(request)
        if request.path == PEER_CONTACT and request.method == "POST":
            return await self.contacts.serve_contact(request.body)
        if request.path in (PEER_INSPECT, PEER_FENCE) and request.method == "POST":
            return await self.peers.serve(request)
        if request.path == PEER_REVOKE_RENEWAL and request.method == "POST":
            return self.contacts.serve_revocation(request.body)
        if request.path == PEER_ATTEST and request.method == "POST":
            return self.attestation.serve_request(request.body)
        if request.path == PEER_CANCELLED and request.method == "POST":
            return self.attestation.serve_cancelled(request.body)
        if request.path == PEER_HEALTH:
            state = self.replica.loaded and await self._state_service_answers()
            return Response(200, {"state": state, "leader": self.heartbeats.hears_leader()})
        return await self.extensions.handle(request, operators=True) or await self.admin.handle(request)

    async def _serve_forwarded(self, request: Request) -> Response:
        """Answer heartbeats that another controller forwards, one or a batch; 400 for the whole if it is malformed."""
        try:
            plain = orjson.loads(request.body)
            if request.path == PEER_HEARTBEAT:
                return await self.heartbeats.answer_as_leader(wire.convert(plain, Report))
            batch = wire.convert(plain, HeartbeatBatch)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            log.info("refused malformed heartbeats forwarded by another controller: %s", error)
            return Response(400, {"error": str(error)})
        follower = batch.node if self._find_peer(batch.node) is not None else ""
        return Response(200, {"answers": await self.heartbeats.answer_all_as_leader(batch.beats, follower)})

    def _progress(self, job_id: str) -> JobProgress | None:
        """Progress from the cluster while leading, else from the leader's last answer; None if neither has the job."""
        if self.leader is not None:
            job = self.leader.cluster.jobs.get(job_id)
            if job is None:
                return None
            return JobProgress(job.running(), len(job.done), job.reason, self._clock() - job.reason_since)
        row = self.heartbeats.leader_contact.jobs.get(job_id)
        if not row:
            return None
        reason = Reason(Why.UNKNOWN, said=row[2])  # text made by the leader, whatever its version
        return JobProgress(row[0], row[1], reason, row[3] + self._clock() - self.heartbeats.leader_contact.requested_at)

    async def _health_loop(self) -> None:
        """While this node gets no good answers from the state service, ask the other controllers whether they do."""
        while True:
            await trio.sleep(c.HEALTH_INTERVAL_S)
            if self.replica.loaded and self._state_service_good():
                self._outage_is_local, self._unanswered_rounds = False, 0
                continue
            answers: list[bool | None] = []

            async def ask_peer(peer: Peer, answers: list[bool | None] = answers) -> None:
                answers.append(await self._peer_reaches_state(peer))

            async with trio.open_nursery() as nursery:
                for peer in self.settings.peers:
                    nursery.start_soon(ask_peer, peer)
            silent = bool(answers) and all(answer is None for answer in answers)
            self._unanswered_rounds = self._unanswered_rounds + 1 if silent else 0
            self._outage_is_local = any(answers) or self._unanswered_rounds >= c.ISOLATED_ROUNDS

    async def _preferred_controllers_loop(self) -> None:
        """Ask which controllers hear the leader while workers of their zones report here.

        These workers are then redirected to a controller in their own zone.
        """
        while True:
            await trio.sleep(c.PREFERRED_CONTROLLER_PROBE_INTERVAL_S)
            wanted = self.heartbeats.routes.controllers_to_query(self._clock())
            async with trio.open_nursery() as nursery:
                for peer in (p for p in self.settings.peers if p.node in wanted):
                    nursery.start_soon(self._ask_hears_leader, peer)

    async def _ask_hears_leader(self, peer: Peer) -> None:
        """Record whether the peer hears the leader; one that does not answer counts as not hearing it."""
        health = await self._peer_health(peer)
        self.heartbeats.routes.record_health(
            peer.node, health is not None and bool(health.get("leader")), self._clock()
        )

    async def _peer_reaches_state(self, peer: Peer) -> bool | None:
        """Whether the state service answers this peer; None if the peer does not answer."""
        health = await self._peer_health(peer)
        return None if health is None else bool(health.get("state"))

    async def _peer_health(self, peer: Peer) -> dict[str, Any] | None:
        """The peer's answer to PEER_HEALTH; empty if it cannot be read, None if the peer does not answer."""
        try:
            status, answer = await self._network.request(peer.addr, "GET", PEER_HEALTH, None, c.PROBE_TIMEOUT_S)
        except (NotSent, NoUsableResponse):
            return None
        return answer if status == 200 and isinstance(answer, dict) else {}

    async def _machine_types_loop(self) -> None:
        """Ask the cloud for the machine types, without which no submission can be checked.

        Ends once they are known, here or from the state service.
        """
        while not self.replica.types and not self.users.types:
            try:
                self.users.types = await self.cloud.types()
            except CloudError:
                await trio.sleep(c.CLOUD_RETRY_PAUSE_S)

    # --- views ------------------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """The administration view: who leads and, if it is this node, machines, jobs, drains and teams."""
        known_leader = self.replica.leader
        answer: dict[str, Any] = {
            "node": self.settings.node,
            "version": __version__,
            "parts": self.extensions.names(),
            "contained_exceptions": dict(self.containment.counts),
            "leader": known_leader[0] if known_leader else None,
            "token": known_leader[1] if known_leader else None,
        }
        if self.leader is None:
            return answer
        cluster, planner = self.leader.cluster, self.leader.planner
        answer["machines"] = [
            {
                "name": m.name, "type": m.type.name, "zone": m.zone, "spot": m.spot, "status": m.status.value,
                "tasks": len(m.attempts), "used_share": round(m.used_share(), 3), "draining": m.draining,
                "quarantined": m.quarantined, "accounted": m.name not in cluster.unverified,
                "silent_s": round(self._clock() - m.last_report_at, 1) if m.last_report_at >= 0 else None,
                "reported_s": round(self._clock() - m.heartbeat_at, 1) if m.heartbeat_at >= 0 else None,
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
    settings: Settings,
    extensions: Sequence[Callable[[ExtensionContext], Extension]] = (),
    on_created: Callable[[Node], None] = lambda node: None,
) -> None:
    """Run a controller until cancelled. `on_created` is called with its node before any loop or listener starts."""
    limit = settings.params.limits.max_connections
    accepted = int(limit * c.SOCKET_SHARE_SERVER)
    by_peers = min(accepted // 5, c.MAX_CONNECTIONS_PER_PEER * max(1, len(settings.peers)))
    network = HttpNetwork(limit - accepted - 20)
    node = Node(settings, network, extensions=extensions)
    on_created(node)
    log.info("controller starts, version %s", __version__)
    async with trio.open_nursery() as nursery:
        for handler, address, max_connections in (
            (node.handle, settings.listen, accepted - by_peers),
            (node.handle_peer, settings.peer_listen, by_peers),
        ):
            host, port = split_address(address)
            # A crowded listener closes connections, except those that carry workers' reports.
            server = Server(
                handler, max_connections, lambda request: request.path == wire.REPORT_PATH, node.containment
            )
            await nursery.start(server.serve, host, port)
        nursery.start_soon(node.run)
        nursery.start_soon(node.containment.run, "the closing of idle connections", partial(_drop_idle, network))


async def _drop_idle(network: HttpNetwork) -> None:
    """Close connections that were idle for long, until cancelled."""
    while True:
        await trio.sleep(c.POOL_IDLE_S)
        network.drop_idle()
