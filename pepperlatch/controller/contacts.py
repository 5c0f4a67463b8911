"""The regular exchange between the leader and its followers.

Every `CONTACT_INTERVAL_S` a follower asks the leader (PEER_CONTACT) what it may show users of each job and which
heartbeats it may answer (delegation). At the same pace the leader tells every other controller that it is alive
(PEER_REVOKE_RENEWAL); each acknowledges that it will not renew workers' leases on the leader's behalf for a while (see
`heartbeats/handler.py`, delegated lease renewal). The leader also hands over from here if it cannot do its work.
"""

import bisect
import logging
from collections.abc import Callable
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.attestation import PeerAttestation
from pepperlatch.controller.command_loop import CommandLoop, Reply
from pepperlatch.controller.heartbeats.handler import HeartbeatHandler
from pepperlatch.controller.leader import Leader
from pepperlatch.controller.leaderless import LeaderlessReturns, MessageOrder
from pepperlatch.controller.leadership import Leadership
from pepperlatch.controller.store import Replica
from pepperlatch.policy.cancellations import CancelledOn
from pepperlatch.policy.delegation import DelegationAnswer, DelegationStatement
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.model import Status
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Response
from pepperlatch.protocol.message_size import first_that_fit
from pepperlatch.settings import Peer, Settings

log = logging.getLogger(__name__)
# Keys beside those of jobs in the answer to a contact; job ids all begin with run-.
IMAGES, DELEGATION, NEWEST_TOKEN = "images", "delegation", "newest_token"
PEER_CONTACT, PEER_REVOKE_RENEWAL = "/peer/contact", "/peer/bar"


class PeerMessage(msgspec.Struct):
    """Body of PEER_CONTACT (from a follower) and PEER_REVOKE_RENEWAL (from the leader)."""

    node: str  # the sender
    token: int  # of the leader's term, as the sender knows it
    relay: list[str] = []  # from the leader: machines that it reaches only through other controllers
    images: int = 0  # from a follower: the number of the last use of an image that this leader has reported to it
    delegation: DelegationStatement | None = None  # from a follower that accepts delegations: the grants that it holds
    cancelled: list[CancelledOn] = []  # from the leader: machines that may hold a cancelled task
    witnesses: list[str] = []  # from the leader: addresses of machines that it hears from
    number: int = 0  # from the leader: grows with each of its messages in a term; 0 from earlier versions


def _parse_message(body: bytes) -> PeerMessage | None:
    """The message, or None (logged) if it is malformed."""
    try:
        message: PeerMessage = wire.convert(orjson.loads(body), PeerMessage)
        return message
    except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
        log.info("refused a malformed contact message from another controller: %s", error)
        return None


class Contacts:
    """The exchange as both leader and follower do it.

    `leader` returns the node's `Leader` while it leads, else None; `clock` is a steady clock, in seconds.
    """

    def __init__(
        self, settings: Settings, network: Network, clock: Callable[[], float], command_loop: CommandLoop,
        replica: Replica, heartbeats: HeartbeatHandler, leadership: Leadership, attestation: PeerAttestation,
        images: ImageMemory, leader: Callable[[], Leader | None], leaderless: LeaderlessReturns,
    ) -> None:  # fmt: skip
        self._settings = settings
        self._network = network
        self._clock = clock
        self._command_loop = command_loop
        self._replica = replica
        self._heartbeats = heartbeats
        self._leadership = leadership
        self._attestation = attestation
        self._images = images
        self._leader = leader
        self._leaderless = leaderless
        self._images_received = (0, 0)  # token of the leader, and number of the last image use received from it
        self._progress_cache: tuple[int, float, dict[str, Any]] = (0, float("-inf"), {})  # token, time made, rows
        self._peer_answered_at = float("-inf")
        self._message_number = 0  # of the latest message as the leader
        self._last_to_forward = ""  # the machine that ended the list in the leader's last message; "" if all were named

    def _find_peer(self, node: str) -> Peer | None:
        return next((peer for peer in self._settings.peers if peer.node == node), None)

    # --- serving requests -------------------------------------------------------------------------

    async def serve_contact(self, body: bytes) -> Response:
        """As the leader: answer a follower with jobs' progress, uses of images and its delegation; 404 if not leading.

        From now on the follower may renew leases on the leader's behalf, should it lose contact.
        """
        leader, message = self._leader(), _parse_message(body)
        if message is None:
            return Response(400, {"error": "wanted: node and token"})
        if leader is None or message.token != leader.term.token or leader.term.over:
            return Response(404, {"error": "does not lead"})
        now = self._clock()
        leader.cluster.renewal_delegates.allow(message.node, now)
        answer = self._job_progress(leader, now)
        answer[NEWEST_TOKEN] = leader.cluster.newest_token
        if uses := self._images.after(message.images):
            answer[IMAGES] = uses
        if message.delegation is not None and self._find_peer(message.node) is not None:
            delegation = await self._delegate(leader, message.node, message.delegation)
            if delegation is not None:
                answer[DELEGATION] = msgspec.to_builtins(delegation)
        return Response(200, answer)

    async def _delegate(self, leader: Leader, follower: str, statement: DelegationStatement) -> DelegationAnswer | None:
        """The follower's new delegation; None if the leader may not delegate now, or takes over DELEGATION_TIMEOUT_S.

        The contact itself must not wait for a busy leader.
        """
        reply: Reply[DelegationAnswer | None] = Reply()
        copy_current_at = leader.term.copy_current_at()
        self._command_loop.enqueue(lambda: leader.on_delegation_statement(follower, statement, copy_current_at, reply))
        with trio.move_on_after(c.DELEGATION_TIMEOUT_S):
            return await reply.get()
        return None

    def _job_progress(self, leader: Leader, now: float) -> dict[str, Any]:
        """Rows by job id: tasks running, tasks done, reason, seconds since that reason, kind of reason.

        Followers show them to users. Kept for LEADER_SUMMARY_CACHE_S, for followers that ask at about the same time.
        """
        if self._progress_cache[0] != leader.term.token or now - self._progress_cache[1] > c.LEADER_SUMMARY_CACHE_S:
            rows = {
                j.spec.id: [j.running(), len(j.done), j.reason.text(), round(now - j.reason_since, 1), j.reason.kind]
                for j in leader.cluster.jobs.values() if not j.over
            }  # fmt: skip
            self._progress_cache = (leader.term.token, now, rows)
        return dict(self._progress_cache[2])

    def serve_revocation(self, body: bytes) -> Response:
        """As a follower: note that the leader is alive and stop renewing leases on its behalf for a while.

        The answer lists the machines whose leases this node renewed (see `HeartbeatHandler.revoke_renewal`).
        """
        message = _parse_message(body)
        if message is None:
            return Response(400, {"error": "wanted: node and token"})
        sent_as = MessageOrder(message.token, message.number)
        self._leaderless.update_machines(message.cancelled, message.witnesses, sent_as)
        return Response(200, self._heartbeats.revoke_renewal(message.relay))

    # --- sending requests -------------------------------------------------------------------------

    async def run(self) -> None:
        """Exchange messages until cancelled. A leader that nobody reaches, or whose reads fail, hands over."""
        while True:
            await trio.sleep(c.CONTACT_INTERVAL_S)
            known_leader, leader = self._replica.leader, self._leader()
            if leader is not None:
                message = self._leader_message(leader)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._delegate_to_self, leader)
                    for peer in self._settings.peers:
                        nursery.start_soon(self._revoke_renewal, leader, peer, message)
                    if self._clock() - self._replica.current_at > c.ATTESTATION_AFTER_S:
                        nursery.start_soon(self._attestation.request_attestations, leader.term)
                if leader is self._leader() and (reason := self._handover_reason(leader)):
                    log.info("handing over leadership: %s", reason)
                    await self._leadership.resign(c.HANDOVER_PAUSE_S)
            elif known_leader is not None and (leading_peer := self._find_peer(known_leader[0])) is not None:
                await self._contact_leader(leading_peer, known_leader[1])

    def _handover_reason(self, leader: Leader) -> str:
        """Why another controller should lead although this one keeps its lease, as text for the log; "" if none."""
        if self._isolated(leader):
            return "neither workers nor other controllers reach this leader"
        term = leader.term
        if term.lease_confirmed_at - max(self._replica.current_at, term.lease_confirmed_since) > c.HANDOVER_STALE_S:
            return "the state service answers this leader's lease renewals, but not its reads"
        return ""

    def _isolated(self, leader: Leader) -> bool:
        """Whether no report and no answer of a peer has come for HANDOVER_SILENT_REPORTS report intervals.

        Reports count whether direct or forwarded. False while no machine is up.
        """
        machines = [m for m in leader.cluster.machines.values() if m.status is Status.UP]
        since = max([leader.cluster.started, self._peer_answered_at, *(m.last_report_at for m in machines)])
        return (
            bool(machines)
            and self._clock() - since > c.HANDOVER_SILENT_REPORTS * self._settings.params.workers.report_s
        )

    async def _contact_leader(self, peer: Peer, token: int) -> None:
        """As a follower: report to the leader and take in its answer. Without one, everything stays as it was."""
        sent = self._clock()
        received = self._images_received[1] if self._images_received[0] == token else 0
        statement = self._heartbeats.delegated_answers.statement(token, sent)
        message = PeerMessage(self._settings.node, token, images=received, delegation=statement)
        answer = await self._request(peer, PEER_CONTACT, message)
        if answer is not None:
            self._apply_delegation(statement, answer.pop(DELEGATION, None), token, sent)
            self._images_received = (token, max(received, self._images.learn(answer.pop(IMAGES, []))))
            newest_token = answer.pop(NEWEST_TOKEN, token)  # a leader of an earlier version has one token in a term
            self._heartbeats.on_leader_contact(sent, token, newest_token, answer)

    def _apply_delegation(self, statement: DelegationStatement, encoded: Any, token: int, sent: float) -> None:
        """Apply the leader's answer to the statement sent at `sent`; it is None from a leader of an earlier version."""
        if encoded is None:
            return
        try:
            answer: DelegationAnswer = wire.convert(encoded, DelegationAnswer)
        except msgspec.ValidationError as error:
            log.info("ignored a malformed delegation from the leader: %s", error)
            return
        self._heartbeats.delegated_answers.on_leader_answer(statement, answer, token, sent)

    async def _delegate_to_self(self, leader: Leader) -> None:
        """As the leader: be a follower of itself, so that workers that report here are answered as anywhere else."""
        token, sent = leader.term.token, self._clock()
        statement = self._heartbeats.delegated_answers.statement(token, sent)
        answer = await self._delegate(leader, self._settings.node, statement)
        if answer is not None:
            self._heartbeats.delegated_answers.on_leader_answer(statement, answer, token, sent)

    def _leader_message(self, leader: Leader) -> PeerMessage:
        """What the leader sends to all other controllers, unasked."""
        now, cluster = self._clock(), leader.cluster
        cancelled = cluster.machines_with_cancelled_tasks(now)
        self._message_number += 1
        return PeerMessage(
            self._settings.node, leader.term.token, relay=self._next_to_forward(leader, now),
            cancelled=first_that_fit(cancelled, c.MAX_MACHINE_LIST_BYTES), witnesses=cluster.latest_reporters(),
            number=self._message_number,
        )  # fmt: skip

    def _next_to_forward(self, leader: Leader, now: float) -> list[str]:
        """Machines whose reports the other controllers are to forward, as many as one message may name.

        The next message goes on where this one ends. A follower forwards a machine's reports for FORWARD_PERIOD_S after
        it was named, in which every machine's turn comes many times.
        """
        names = sorted(leader.cluster.machines_needing_forwarding(now))
        start = bisect.bisect_right(names, self._last_to_forward)
        chosen = first_that_fit([*names[start:], *names[:start]], c.MAX_MACHINE_LIST_BYTES)
        self._last_to_forward = chosen[-1] if len(chosen) < len(names) else ""
        return chosen

    async def _revoke_renewal(self, leader: Leader, peer: Peer, message: PeerMessage) -> None:
        """As the leader: have the peer stop renewing leases on its behalf, and record its acknowledgement.

        The leader counts from before its request, so the acknowledgement ends earlier for it than for the peer.
        """
        sent = self._clock()
        answer = await self._request(peer, PEER_REVOKE_RENEWAL, message)
        if answer is not None:
            self._peer_answered_at = self._clock()
            until = sent + c.RENEWAL_REVOCATION_S - c.RENEWAL_REVOCATION_MARGIN_S
            self._command_loop.enqueue(
                lambda: leader.cluster.on_renewal_revoked(peer.node, answer, until, self._clock())
            )

    async def _request(self, peer: Peer, path: str, message: PeerMessage) -> dict[str, Any] | None:
        """The peer's answer, or None if there is no usable one within PROBE_TIMEOUT_S."""
        try:
            body = msgspec.to_builtins(message)
            status, answer = await self._network.request(peer.addr, "POST", path, body, c.PROBE_TIMEOUT_S)
        except (NotSent, NoUsableResponse):
            return None
        return answer if status == 200 and isinstance(answer, dict) else None
