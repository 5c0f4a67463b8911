"""Workers' reports (heartbeats): how a controller answers them.

The leader answers with orders. A follower answers by itself what the leader has delegated (`delegation.py`) and
forwards the rest (`forwarding.py`). If neither the leader nor the state service can be reached, a follower renews
workers' leases on the leader's behalf for a limited time (delegated lease renewal).
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller.command_loop import CommandLoop, Reply
from pepperlatch.controller.heartbeats.delegation import DelegatedAnswers
from pepperlatch.controller.heartbeats.forwarding import HeartbeatForwarder
from pepperlatch.controller.leader import GRANT, TERM, HeartbeatAnswer, Leader
from pepperlatch.controller.leadership import renewal_deadline
from pepperlatch.controller.store import Replica
from pepperlatch.policy.heartbeat_router import HeartbeatRouter
from pepperlatch.policy.model import split_task
from pepperlatch.policy.renewal_delegates import PROCESS_AGE_KEY
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Response
from pepperlatch.protocol.order_batch import OrderBatch, limit_answer
from pepperlatch.protocol.state import StateClient
from pepperlatch.protocol.wire import Report
from pepperlatch.settings import Settings

log = logging.getLogger(__name__)
Clock = Callable[[], float]


@dataclass(slots=True)
class LeaderContact:
    """The leader's last answer to this node's contact."""

    requested_at: float = float("-inf")  # steady clock, in seconds
    token: int = 0  # of the leader's term
    newest_token: int = 0  # the highest token that the leader is known to have used in that term
    jobs: dict[str, list[Any]] = field(default_factory=dict)  # rows of `Contacts._job_progress`, by job id


class HeartbeatHandler:
    """Answers reports in any role.

    `lease_extension_s`: seconds for which leases may be renewed after a proof of leadership; `leader` returns the
    node's `Leader` while it leads, else None.
    """

    def __init__(
        self, settings: Settings, network: Network, clock: Clock, command_loop: CommandLoop, replica: Replica,
        state: StateClient, lease_extension_s: float, leader: Callable[[], Leader | None],
    ) -> None:  # fmt: skip
        self.forwarder = HeartbeatForwarder(network, settings.node)
        self._clock = clock
        self._command_loop = command_loop
        self._replica = replica
        self._state = state
        self._lease_extension_s = lease_extension_s
        self._leader = leader
        self._lease_s = settings.params.workers.lease_s
        self._addr = {peer.node: peer.addr for peer in settings.peers}
        self.routes = HeartbeatRouter(
            settings.node, {settings.node: settings.zone} | {peer.node: peer.zone for peer in settings.peers}
        )
        self.leader_contact = LeaderContact()
        self._began_at = clock()
        self.delegated_answers = DelegatedAnswers(
            settings.params.workers.report_s, self._lease_s, self._began_at, self._is_over
        )
        self._renewal_revoked_until = float("-inf")
        self._renewed_at: dict[str, float] = {}  # by machine: when its lease was last renewed on the leader's behalf

    # --- workers' reports -------------------------------------------------------------------------

    async def serve_heartbeat(self, body: bytes) -> Response:
        """Serve a worker's report, within MAX_HEARTBEAT_WAIT_S.

        421 sends the worker to another controller, 503 means that nobody may answer it. If cancelled, the leader may
        still have processed the report.
        """
        try:
            plain = orjson.loads(body)
            report = wire.convert(plain, Report)
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        now = self._clock()
        preferred = self.routes.preferred_controller(report.machine, report.zone, now)
        if preferred is not None and self.routes.may_redirect(report.machine, now):
            return Response(421, wire.redirect_body(preferred))
        return await self._answer(report, plain, now + c.MAX_HEARTBEAT_WAIT_S)

    async def _answer(self, report: Report, plain: Any, deadline: float) -> Response:
        """Answer the report, retrying until the deadline with whoever leads by then.

        A worker that is redirected although no better controller is known would lose time, so this retries instead.
        `plain`: the report as decoded from JSON, to be forwarded as it came.
        """
        while True:
            known_leader = self._replica.leader
            leader = self._leader()
            token = leader.term.token if leader is not None else known_leader[1] if known_leader is not None else 0
            if self._try_delegated_answer(report, token):
                return Response(200, wire.report_answer(report.token, []))
            if leader is not None:
                return await self._answer_own_worker(report, token)
            if known_leader is not None and known_leader[0] in self._addr:
                answer = await self._forward(known_leader[0], report, plain, deadline)
                if answer is not None:
                    return answer
            elif self.routes.zones[self.routes.node] != report.zone:
                return Response(503, {"error": "nobody leads"})
            if self._clock() + c.HEARTBEAT_RETRY_S >= deadline:
                return Response(421, {}) if known_leader is not None else Response(503, {"error": "nobody leads"})
            await trio.sleep(c.HEARTBEAT_RETRY_S)

    async def answer_as_leader(self, report: Report) -> Response:
        """As the leader: answer one report that another controller forwarded without a batch."""
        return _response((await self.answer_all_as_leader([report]))[0])

    async def _answer_own_worker(self, report: Report, token: int) -> Response:
        """As the leader: answer a worker that reports here. This node acts as one of its own followers."""
        self.delegated_answers.on_forwarded(report)
        try:
            answer = (await self.answer_all_as_leader([report], self.routes.node))[0]
            if answer is not None:
                answer.pop(TERM, None)
                self.delegated_answers.on_answered(report, answer.pop(GRANT, None), token, self._clock())
            return _response(answer)
        finally:
            self.delegated_answers.on_forward_ended(report)

    async def answer_all_as_leader(self, reports: list[Report], follower: str = "") -> list[HeartbeatAnswer]:
        """As the leader: an answer for each of the reports, None for those that nobody may answer.

        All are None if this node does not lead, its queue is full, or the command loop takes over FORWARD_TIMEOUT_S.
        `follower`: the controller that forwarded them, if it accepts delegations, else "".
        """
        leader = self._leader()
        reply: Reply[list[HeartbeatAnswer]] = Reply()
        if leader is not None and not self._command_loop.is_full():
            self._command_loop.enqueue(lambda: leader.on_heartbeats(reports, follower, reply))
            with trio.move_on_after(c.FORWARD_TIMEOUT_S):
                answers = await reply.get()
                if answers is not None:
                    return answers
        return [None] * len(reports)

    async def _forward(self, leader: str, report: Report, plain: Any, deadline: float) -> Response | None:
        """Forward the report to the leader, so that workers in a zone that cannot reach it keep their leases.

        None if there is no answer, and the caller should try again.
        """
        in_contact = self._in_contact()
        if not in_contact and self._may_renew_lease(report):
            return self._renew_lease(report)
        refused = False
        try:
            seconds = min(c.FORWARD_TIMEOUT_S, max(c.HEARTBEAT_RETRY_S, deadline - self._clock()))
            self.delegated_answers.on_forwarded(report)
            status, answer = await self.forwarder.forward(self._addr[leader], plain, seconds)
            if status == 200 and isinstance(answer, dict):
                number, token = answer.pop(GRANT, None), wire.answer_token(answer)
                term = answer.pop(TERM, token)  # a leader of an earlier version has one token in a term
                self._note_token(term, token)
                self.delegated_answers.on_answered(report, number, term, self._clock())
                return Response(200, limit_answer(answer))
        except NotSent:
            refused = True
        except NoUsableResponse:
            pass
        finally:
            self.delegated_answers.on_forward_ended(report)
        if self._may_renew_lease(report):
            return self._renew_lease(report)
        if refused and self._state_service_reachable() and self.routes.may_redirect(report.machine, self._clock()):
            return Response(421, wire.redirect_body(leader))
        return None

    def _try_delegated_answer(self, report: Report, token: int) -> bool:
        """Whether this node may answer the report on the leader's delegation; the answer counts as given then.

        Only while the leader answers this node's contacts. Otherwise the report has to find a way to the leader: a
        leader that is cut off from its followers only, not from workers, would take the machines whose reports the
        followers answer for a lost zone.
        """
        return self.hears_leader() and self.delegated_answers.try_answer(report, token, self._clock())

    def on_leader_contact(self, requested_at: float, token: int, newest_token: int, jobs: dict[str, list[Any]]) -> None:
        """The leader of this term has answered a contact; `newest_token`: the highest that it may have used so far."""
        before = self.leader_contact
        if before.token == token:
            newest_token = max(newest_token, before.newest_token)
        self.leader_contact = LeaderContact(requested_at, token, newest_token, jobs)

    def _note_token(self, term: int, token: int) -> None:
        """The leader of this term has used the token, which no later leader shares."""
        if self.leader_contact.token == term:
            self.leader_contact.newest_token = max(self.leader_contact.newest_token, token)

    def _in_contact(self) -> bool:
        """Whether the leader answered a contact made within LEADER_SILENT_S.

        Forwarding to a silent leader would cost a worker most of the time that it waits for an answer.
        """
        return self._clock() - self.leader_contact.requested_at < c.LEADER_SILENT_S

    def hears_leader(self) -> bool:
        """Whether this node leads or is in contact with the leader, so that workers should report to it."""
        return self._leader() is not None or self._in_contact()

    def _state_service_reachable(self) -> bool:
        """Whether the state service answered within STATE_UNAVAILABLE_S.

        If not, this node may not know who leads now, and there is no point in sending workers to that controller.
        """
        return self._clock() - self._state.last_success_at <= c.STATE_UNAVAILABLE_S

    def _is_over(self, job_id: str) -> bool:
        """Whether this node knows the job to be done or cancelled."""
        entry = self._replica.jobs.get(job_id)
        return entry is not None and entry.state in wire.FINAL_JOB_STATES

    # --- delegated lease renewal ------------------------------------------------------------------

    def _may_renew_lease(self, report: Report) -> bool:
        """Whether this node may renew the worker's lease on the leader's behalf. Asked when the leader is not reached.

        Only while the state service is not reached either, and only for as long as the leader itself might renew it:
        `lease_extension_s` from the last proof that it leads, and from the last contact that it answered, which is what
        the leader counts with. Not while a revocation holds, including one that this node may have acknowledged just
        before it was restarted; and not for a worker that another leader may have commanded since.
        """
        now, known_leader, contact = self._clock(), self._replica.leader, self.leader_contact
        return (
            known_leader is not None
            and known_leader[1] == contact.token <= report.token <= contact.newest_token
            and not self._state_service_reachable()
            and now > max(self._renewal_revoked_until, self._began_at + c.RENEWAL_REVOCATION_S)
            and now < renewal_deadline(self._lease_extension_s, self._replica.current_at, contact.requested_at)
        )

    def _renew_lease(self, report: Report) -> Response:
        """Renew the lease under the leader's token. The only orders are to kill tasks of jobs known to be over."""
        self._renewed_at[report.machine] = self._clock()
        batch = OrderBatch()
        for task in report.tasks:
            parts = split_task(task.task)
            if parts and self._is_over(parts[0]) and task.state is not wire.TaskState.EXITED:
                batch.add([wire.kill(task.task, task.attempt, 0.0)])
        return Response(200, wire.report_answer(report.token, batch.orders))

    def revoke_renewal(self, unreached: list[str]) -> dict[str, float]:
        """Renew no leases on the leader's behalf for RENEWAL_REVOCATION_S, since it has shown that it is alive.

        `unreached`: machines that the leader reaches only through other controllers; their reports are accepted here.
        Returns, by machine, the seconds since its lease was last renewed here (those within two lease times), and under
        PROCESS_AGE_KEY the age of this process in seconds.
        """
        now = self._clock()
        self.routes.accept_locally(unreached, now)
        self._renewal_revoked_until = now + c.RENEWAL_REVOCATION_S
        oldest = now - 2 * self._lease_s
        self._renewed_at = {name: at for name, at in self._renewed_at.items() if at > oldest}
        ages = {name: round(now - at, 3) for name, at in self._renewed_at.items()}
        return {PROCESS_AGE_KEY: round(now - self._began_at, 3), **ages}


def _response(answer: HeartbeatAnswer) -> Response:
    """The response to the worker; 503 if the leader gave no answer."""
    return Response(503, {"error": "not entitled to answer"}) if answer is None else Response(200, answer)
