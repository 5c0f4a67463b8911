"""Leader and followers in touch: what followers may show and answer, and that they do not stand in meanwhile.

A follower asks the leader every `CONTACT_INTERVAL_S`; the leader asks all others at the same pace for their promise.
"""

import logging
from collections.abc import Callable
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.heartbeats.handler import HeartbeatHandler, LeaderContact
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leaderless import LeaderlessReturns
from pepperlatch.controller.leadership import Leadership
from pepperlatch.controller.owner import Owner, Reply
from pepperlatch.controller.store import Replica
from pepperlatch.controller.vouching import Vouching
from pepperlatch.policy.cancellations import CancelledOn
from pepperlatch.policy.delegation import DelegationAnswer, DelegationStatement
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.model import Status
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Response
from pepperlatch.settings import Peer, Settings

log = logging.getLogger(__name__)
IMAGES, DELEGATION = "images", "delegation"  # among the rows of jobs, whose ids all begin with run-
PEER_CONTACT, PEER_BAR = "/peer/contact", "/peer/bar"


class PeerMessage(msgspec.Struct):
    node: str
    token: int
    relay: list[str] = []  # machines that the leader reaches only through others
    images: int = 0  # the last number of an image's use that the leader has told
    delegation: DelegationStatement | None = None  # of a follower that takes delegations
    cancelled: list[CancelledOn] = []  # of the leader: machines that may hold a cancelled task
    witnesses: list[str] = []  # of the leader: machines that it hears of


def _message(body: bytes) -> PeerMessage | None:
    try:
        message: PeerMessage = wire.convert(orjson.loads(body), PeerMessage)
        return message
    except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
        log.info("a malformed message of another controller is refused: %s", error)
        return None


class Contacts:
    """`leader`: what this node does while it leads, None while it does not."""

    def __init__(
        self, settings: Settings, network: Network, clock: Callable[[], float], owner: Owner, replica: Replica,
        heartbeats: HeartbeatHandler, leadership: Leadership, vouching: Vouching, images: ImageMemory,
        leader: Callable[[], Leader | None], leaderless: LeaderlessReturns,
    ) -> None:  # fmt: skip
        self._settings = settings
        self._network = network
        self._clock = clock
        self._owner = owner
        self._replica = replica
        self._heartbeats = heartbeats
        self._leadership = leadership
        self._vouching = vouching
        self._images = images
        self._leader = leader
        self._leaderless = leaderless
        self._images_told = (0, 0)  # by the leader with this token, up to this number of its own
        self._shown: tuple[int, float, dict[str, Any]] = (0, float("-inf"), {})  # under this token, since then
        self._peer_answered_at = float("-inf")

    def _peer(self, node: str) -> Peer | None:
        return next((peer for peer in self._settings.peers if peer.node == node), None)

    # --- being asked ------------------------------------------------------------------------------

    async def serve_contact(self, body: bytes) -> Response:
        """A follower asks what it may show users, and may stand in for us from now on."""
        leader, asked = self._leader(), _message(body)
        if asked is None:
            return Response(400, {"error": "wanted: node and token"})
        if leader is None or asked.token != leader.term.token or leader.term.over:
            return Response(404, {"error": "does not lead"})
        now = self._clock()
        leader.cluster.answered_peer(asked.node, now)
        jobs = self._shown_jobs(leader, now)
        if uses := self._images.after(asked.images):
            jobs[IMAGES] = uses
        if asked.delegation is not None and self._peer(asked.node) is not None:
            delegation = await self._delegate(leader, asked.node, asked.delegation)
            if delegation is not None:
                jobs[DELEGATION] = msgspec.to_builtins(delegation)
        return Response(200, jobs)

    async def _delegate(self, leader: Leader, follower: str, statement: DelegationStatement) -> DelegationAnswer | None:
        """None if the leader may not, or is busy: the contact itself must not wait for that."""
        reply: Reply[DelegationAnswer | None] = Reply()
        proven_at = leader.term.proven_at()
        self._owner.post(lambda: leader.on_statement(follower, statement, proven_at, reply))
        with trio.move_on_after(c.DELEGATION_TIMEOUT_S):
            return await reply.get()
        return None

    def _shown_jobs(self, leader: Leader, now: float) -> dict[str, Any]:
        """What followers may show users of each job; made once for those that ask at about the same time."""
        if self._shown[0] != leader.term.token or now - self._shown[1] > c.LEADER_SUMMARY_CACHE_S:
            rows = {
                j.spec.id: [j.running(), len(j.done), j.reason.text(), round(now - j.reason_since, 1), j.reason.kind]
                for j in leader.cluster.jobs.values() if not j.over
            }  # fmt: skip
            self._shown = (leader.term.token, now, rows)
        return dict(self._shown[2])

    def serve_bar(self, body: bytes) -> Response:
        """The leader is in touch."""
        message = _message(body)
        if message is None:
            return Response(400, {"error": "wanted: node and token"})
        self._leaderless.told(message.cancelled, message.witnesses)
        return Response(200, self._heartbeats.barred(message.relay))

    # --- asking -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Keep in touch until cancelled; a leader that nobody reaches, or that cannot read, hands over."""
        while True:
            await trio.sleep(c.CONTACT_INTERVAL_S)
            held, leader = self._replica.leader, self._leader()
            if leader is not None:
                message = self._to_others(leader)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._delegate_to_itself, leader)
                    for peer in self._settings.peers:
                        nursery.start_soon(self._bar, leader, peer, message)
                    if self._clock() - self._replica.current_at > c.ATTESTATION_AFTER_S:
                        nursery.start_soon(self._vouching.ask, leader.term)
                if why := self._cannot_lead(leader):
                    log.info("%s: it hands over", why)
                    await self._leadership.resign(c.HANDOVER_PAUSE_S)
            elif held is not None and (peer_leads := self._peer(held[0])) is not None:
                await self._contact_leader(peer_leads, held[1])

    def _cannot_lead(self, leader: Leader) -> str:
        """Keeping the lease is not enough to lead; why another should."""
        if self._alone(leader):
            return "neither workers nor other controllers reach this leader"
        term = leader.term
        if term.checked_at - max(self._replica.current_at, term.answered_since) > c.HANDOVER_STALE_S:
            return "this leader's lease is answered, and its reads are not"
        return ""

    def _alone(self, leader: Leader) -> bool:
        """Reports must come in, directly or passed on."""
        machines = [m for m in leader.cluster.machines.values() if m.status is Status.UP]
        since = max([leader.cluster.started, self._peer_answered_at, *(m.seen_at for m in machines)])
        return (
            bool(machines)
            and self._clock() - since > c.HANDOVER_SILENT_REPORTS * self._settings.params.workers.report_s
        )

    async def _contact_leader(self, peer: Peer, token: int) -> None:
        sent = self._clock()
        told = self._images_told[1] if self._images_told[0] == token else 0
        statement = self._heartbeats.delegated.statement(token, sent)
        message = PeerMessage(self._settings.node, token, images=told, delegation=statement)
        answer = await self._ask_peer(peer, PEER_CONTACT, message)
        if answer is not None:
            self._take_delegation(statement, answer.pop(DELEGATION, None), token, sent)
            self._images_told = (token, max(told, self._images.learn(answer.pop(IMAGES, []))))
            self._heartbeats.contact = LeaderContact(sent, token, answer)

    def _take_delegation(self, statement: DelegationStatement, plain: Any, token: int, sent: float) -> None:
        """What the leader lets this node answer; nothing if it is of an earlier version."""
        if plain is None:
            return
        try:
            answer: DelegationAnswer = wire.convert(plain, DelegationAnswer)
        except msgspec.ValidationError as error:
            log.info("a delegation that cannot be read: %s", error)
            return
        self._heartbeats.delegated.prolonged(statement, answer, token, sent)

    async def _delegate_to_itself(self, leader: Leader) -> None:
        """What reports to the leader's own listener is answered as at any follower's."""
        token, sent = leader.term.token, self._clock()
        statement = self._heartbeats.delegated.statement(token, sent)
        answer = await self._delegate(leader, self._settings.node, statement)
        if answer is not None:
            self._heartbeats.delegated.prolonged(statement, answer, token, sent)

    def _to_others(self, leader: Leader) -> PeerMessage:
        """What the leader tells all other controllers, so that they need not ask."""
        now, cluster = self._clock(), leader.cluster
        return PeerMessage(
            self._settings.node, leader.term.token, relay=sorted(cluster.relayed(now)),
            cancelled=cluster.cancelled_on(now), witnesses=cluster.last_heard(),
        )  # fmt: skip

    async def _bar(self, leader: Leader, peer: Peer, message: PeerMessage) -> None:
        """Counted from before the question, the promise is shorter for us than for the one that gave it."""
        sent = self._clock()
        answer = await self._ask_peer(peer, PEER_BAR, message)
        if answer is not None:
            self._peer_answered_at = self._clock()
            until = sent + c.DELEGATED_RENEWAL_BAR_S - c.DELEGATED_RENEWAL_BAR_MARGIN_S
            self._owner.post(lambda: leader.cluster.on_promise(peer.node, answer, until, self._clock()))

    async def _ask_peer(self, peer: Peer, path: str, message: PeerMessage) -> dict[str, Any] | None:
        try:
            body = msgspec.to_builtins(message)
            status, answer = await self._network.request(peer.addr, "POST", path, body, c.PROBE_TIMEOUT_S)
        except (NotSent, NoUsableResponse):
            return None
        return answer if status == 200 and isinstance(answer, dict) else None
