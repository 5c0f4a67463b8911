"""What a controller does while it leads: it carries out what `Cluster` and `Planner` decide.

`Leader` answers heartbeats, sends commands to workers, runs planning rounds and follows changes of jobs. Its helpers
rent and return machines (`Rentals`), watch silent machines (`Health`) and record machines and finished tasks
(`Records`).
"""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.command_loop import CommandLoop, Reply
from pepperlatch.controller.health import Health
from pepperlatch.controller.leader_context import LeaderContext
from pepperlatch.controller.leadership import Term, renewal_deadline
from pepperlatch.controller.peers import PeerProxy
from pepperlatch.controller.records import Records
from pepperlatch.controller.rentals import Rentals
from pepperlatch.controller.store import Replica
from pepperlatch.controller.writer import Writer
from pepperlatch.policy.cancellations import return_after_s
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.delegation import DelegationAnswer, DelegationStatement
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.model import Machine, Status
from pepperlatch.policy.operator_settings import OperatorSettings
from pepperlatch.policy.pace import RoundPace
from pepperlatch.policy.planner import Planner
from pepperlatch.protocol import wire
from pepperlatch.protocol.cloud import CloudClient
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown, StateClient
from pepperlatch.protocol.wire import Report
from pepperlatch.protocol.workers import WorkerClient
from pepperlatch.settings import Settings

log = logging.getLogger(__name__)
Clock = Callable[[], float]
HeartbeatAnswer = dict[str, Any] | None
# Fields in the answer to a forwarded heartbeat that the follower removes before it answers the worker: the number of a
# grant, and the token of the leader's term, if the answer's own token is a later one of that term.
GRANT, TERM = "grant", "term"


@dataclass(slots=True)
class _PendingHeartbeats:
    """Heartbeats that came in one request and wait for their answers.

    `heartbeats` holds for each the index into `answers`, the machine and the report's sequence number. `follower` is
    the controller that forwarded them and takes delegations, "" if there is none.
    """

    follower: str
    reply: Reply[list[HeartbeatAnswer]]
    answers: list[HeartbeatAnswer]
    heartbeats: list[tuple[int, Machine, int]] = field(default_factory=list)

    def send_answers(self) -> None:
        self.reply.resolve(self.answers)


class Leader:
    """The work of one term of leading; created by the node when it wins an election.

    All methods but coroutines run in the command loop; coroutines enqueue their results there. Times are in seconds:
    `clock` is the node's steady clock, `wall` the time of day.
    """

    def __init__(
        self, settings: Settings, term: Term, replica: Replica, state: StateClient, cloud: CloudClient,
        workers: WorkerClient, command_loop: CommandLoop, clock: Clock, wall: Clock, peers: PeerProxy,
        images: ImageMemory,
    ) -> None:  # fmt: skip
        self.settings = settings
        self.term = term
        self.replica = replica
        self._state = state
        self._workers = workers
        self.command_loop = command_loop
        self.clock = clock
        self.wall = wall
        now = clock()
        self.cluster = Cluster(
            settings.node,
            term.token,
            settings.params,
            now,
            term.lease_extension_s,
            self._spec_if_ended,
            self._cancellation_not_before,
        )
        self.cluster.images = images
        self.planner = Planner(self.cluster, OperatorSettings(replica.tuning[0]))
        self._tuning_version = replica.tuning[1]
        self.writer = Writer(state, term, settings.params.state.txn_ops)
        self._context = LeaderContext(
            settings, term, replica, command_loop, clock, wall, self.cluster, self.planner, self.writer
        )
        self._rentals = Rentals(self._context, cloud)
        self._records = Records(self._context, self._rentals.drop_from_hires)
        self._health = Health(self._context, workers, peers, self._direct_report)
        self.ready = False  # whether the records are loaded; heartbeats are refused until then
        self._heartbeats: list[_PendingHeartbeats] = []
        self._rented_at = 0.0
        self._plan_not_before = 0.0
        self._pace = RoundPace()
        self._housekeeping_at = 0.0
        self._token_requested_at = -math.inf

    # --- lifecycle --------------------------------------------------------------------------------

    async def run(self) -> None:
        """Read the recorded fleet, take over, and run the background tasks until the term is over."""
        async with trio.open_nursery() as nursery:
            self._context.nursery = nursery
            fleet_pairs = await self._read_fleet()
            if fleet_pairs is None:
                return
            self.command_loop.enqueue(lambda: self._start(fleet_pairs))
            for task in (
                self.writer.run,
                self._rentals.types_loop,
                self._rentals.list_loop,
                self._rentals.release_loop,
                self._rentals.release_cancelled_loop,
            ):
                nursery.start_soon(task)
            while not self.term.over:
                await trio.sleep(c.TICK_S / 2)
            nursery.cancel_scope.cancel()

    async def _read_fleet(self) -> list[wire.KeyValue] | None:
        """Return all records of hires and machines; None if the term is over.

        They are read once this node's copy includes its own election; the read is repeated until it is answered.
        """
        while not self.term.over:
            try:
                if self.replica.revision >= self.term.token:
                    return (await self._state.read_all(store.FLEET))[1]
            except (NotExecuted, OutcomeUnknown):
                pass
            await trio.sleep(c.MIN_WATCH_INTERVAL_S)
        return None

    def _start(self, pairs: list[wire.KeyValue]) -> None:
        """Take over: load all that is recorded, and have every machine fenced."""
        if self.term.over:
            return
        now = self.clock()
        cluster = self.cluster
        cluster.types = {kind.name: kind for kind in self.replica.types}
        for job_id, entry in self.replica.jobs.items():
            if entry.state not in wire.FINAL_JOB_STATES:
                self._add_job(job_id)
            elif entry.record.state == entry.state.value:
                self._records.delete_leftovers(job_id)
        for pair in pairs:
            if pair.key == store.WRITE_FENCE:
                self.writer.fence_version = pair.version
            elif pair.key.startswith(store.MACHINE):
                self._load_machine(pair.key[len(store.MACHINE) :], wire.convert(pair.value, store.MachineRecord), now)
        for job_id in self.replica.cancelled_recently(now - self.settings.params.workers.cancel_s):
            spec = self.replica.jobs[job_id].record.spec
            if spec is not None:
                cluster.add_unverified_cancellation(spec, spec.tasks - len(self.replica.done_tasks(job_id)), now)
        cluster.load_image_memory()
        for pair in pairs:
            if pair.key.startswith(store.HIRE):
                self._rentals.repeat_hire(pair.key[len(store.HIRE) :], wire.convert(pair.value, store.HireRecord))
        self.ready = True
        summary = f"took over with {len(cluster.machines)} machines, {len(cluster.jobs)} jobs"
        log.info("%s", summary)
        cluster.listener.noted("takeover", summary, now)

    def _load_machine(self, name: str, record: store.MachineRecord, now: float) -> None:
        """Take over a recorded machine as up, and have it fenced."""
        kind = self.cluster.types.get(record.type)
        if kind is None:
            log.error("machine %s has the unknown type %s; returning it to the cloud", name, record.type)
            self.cluster.unverified.add(name)  # it may run tasks until the cloud has taken it back
            self.cluster.to_release.add(name)
            return
        machine = Machine(name, kind, record.zone, record.spot, record.addr, Status.UP, now, draining=record.draining)
        machine.up_at = machine.idle_since = machine.heartbeat_at = now
        machine.listed = True
        self.cluster.machines[name] = machine
        self.cluster.unverified.add(name)
        self._context.spawn(self._health.fence, machine)

    # --- jobs -------------------------------------------------------------------------------------

    def _spec_if_ended(self, job_id: str) -> wire.JobSpec | None:
        """Return the description of a job that is done or cancelled; None if the job has not ended or is not known."""
        entry = self.replica.jobs.get(job_id)
        return entry.record.spec if entry is not None and entry.state in wire.FINAL_JOB_STATES else None

    def _cancellation_not_before(self, job_id: str) -> float:
        """Return the steady time before which no user was told that the job is cancelled; infinite if it is not.

        Taken from this node's own reads of the state service, else from the time of day in the job's record. If neither
        is known, the cancellation counts as so old that a machine which may still hold a task of the job has to be
        returned at once.
        """
        cancelled = self.replica.cancelling_job(job_id)
        if cancelled is None:
            return math.inf
        cancellation_not_before = self.replica.cancellation_not_before(cancelled)
        if cancellation_not_before is not None:
            return cancellation_not_before
        clock_error_s = 2 * self.settings.params.max_clock_error_ms / 1000  # between the record's writer and this node
        ago_s = self.wall() - self.replica.jobs[cancelled].record.ended + clock_error_s
        assumed_age_s = return_after_s(self.settings.params.workers)
        return self.clock() - (ago_s if self._has_end_time(cancelled) and ago_s >= 0 else assumed_age_s)

    def _has_end_time(self, job_id: str) -> bool:
        """Whether the record says when the job was cancelled; records of earlier versions don't."""
        return self.replica.jobs[job_id].record.ended > 0

    def _add_job(self, job_id: str) -> None:
        """Hand an unfinished job to the planner if all its prerequisites are done.

        A job that still waits for others is not known to the planner, so that it reserves nothing.
        """
        entry = self.replica.jobs[job_id]
        spec, prerequisites = entry.record.spec, self.replica.prerequisites
        if spec is None or not self.replica.ready(job_id):
            self.cluster.listener.job(job_id, "waits", self.clock())
            return
        since = self.clock() - max(0.0, self.wall() - prerequisites.ready_at(job_id, entry.record.at))
        newest = max(
            [entry.version, *(self.replica.jobs[name].version for name in prerequisites.needs.get(job_id, ()))]
        )
        job = self.cluster.add_job(spec, entry.version, since, self.replica.done_tasks(job_id))
        job.from_earlier_term = newest <= self.term.token
        self._apply_urgency(job_id)
        self.cluster.listener.job(job_id, "ready", self.clock())
        log.info(
            "job %s: %s %s of %d x %g cpus, %s for %s",
            job_id, spec.priority.name.lower(), spec.kind.name.lower(), spec.tasks, spec.cpus,
            spec.job_class, spec.team,
        )  # fmt: skip

    def _apply_urgency(self, job_id: str) -> None:
        """Give a job the priority rank and due time of the jobs that need it, where those are stronger."""
        job, urgency = self.cluster.jobs.get(job_id), self.replica.prerequisites.urgencies.of(job_id)
        if job is None or urgency is None:
            return
        due_at = self.clock() + urgency.due - self.wall() if urgency.due < math.inf else None
        if (job.rank, job.due_at is None) != (urgency.rank, due_at is None):
            self.cluster.dirty = True
        job.rank, job.due_at, job.after = urgency.rank, due_at, urgency.jobs_after

    def on_jobs(self, touched: set[str]) -> None:
        """Take in changes of these jobs, and of the operators' settings, in this node's copy of the state service."""
        if not self.ready or self.term.over:
            return
        for job_id in touched:
            entry = self.replica.jobs[job_id]
            known = self.cluster.jobs.get(job_id)
            if entry.state in wire.FINAL_JOB_STATES:
                self.cluster.end_job(job_id, self.clock(), entry.state is wire.JobState.DONE)
                self.cluster.listener.job(job_id, entry.state.value, self.clock())
                if entry.record.state == entry.state.value:
                    self._records.delete_leftovers(job_id)
            elif known is None:
                self._add_job(job_id)
            else:
                known.version = entry.version
        if self.replica.tuning[1] != self._tuning_version:
            self._tuning_version = self.replica.tuning[1]
            self.planner.settings = OperatorSettings(self.replica.tuning[0])

    def on_urgencies(self, changed: set[str]) -> None:
        """Take in that these jobs have become more or less urgent through jobs that need them."""
        if self.ready and not self.term.over:
            for job_id in changed:
                self._apply_urgency(job_id)

    # --- reports ----------------------------------------------------------------------------------

    def on_heartbeats(self, reports: list[Report], follower: str, reply: Reply[list[HeartbeatAnswer]]) -> None:
        """Take in heartbeats that came in one request; they are answered after this batch of commands.

        `follower` is the controller that forwarded them and takes delegations, "" if there is none. The reply has one
        answer for each heartbeat, None for those that this node is not entitled to answer.
        """
        now = self.clock()
        waiting = _PendingHeartbeats(follower, reply, [None] * len(reports))
        if not self.ready or not self.term.may_answer(now):
            waiting.send_answers()
            return
        for index, report in enumerate(reports):
            machine = self.cluster.on_report(report, now, heartbeat=True)
            self._check_higher_token()
            if machine is not None:
                waiting.heartbeats.append((index, machine, report.seq))
        self._heartbeats.append(waiting)

    def on_delegation_statement(
        self,
        follower: str,
        statement: DelegationStatement,
        copy_current_at: float,
        reply: Reply[DelegationAnswer | None],
    ) -> None:
        """Take in which grants a follower holds, and reply for how long it may answer heartbeats itself.

        `copy_current_at` is `Term.copy_current_at()` from when this command was enqueued. All that the copy held by
        then has been taken in before this command runs, so the delegation keeps nothing alive that was known by then to
        be cancelled. The reply is None while this node may not answer heartbeats.
        """
        now = self.clock()
        if not self.ready or not self.term.may_answer(now):
            reply.resolve(None)
            return
        until = renewal_deadline(self.term.lease_extension_s, copy_current_at)
        reply.resolve(self.cluster.delegate(follower, statement, until, now))

    def _direct_report(self, report: Report, asked_at: float, through_others: bool = False) -> None:
        """Take in a report that was requested at `asked_at`, `through_others` if another controller forwarded it."""
        self.cluster.on_report(
            report, self.clock(), heartbeat=False, through_others=through_others, asked_at=asked_at
        )  # fmt: skip
        self._check_higher_token()

    def _check_higher_token(self) -> None:
        """End the term if a report has shown that a worker obeys a newer leader."""
        if self.cluster.higher_token:
            log.info(
                "a worker has seen a token higher than %d: a newer leader exists, ending this term", self.term.token
            )
            self.term.over = True

    # --- after every batch ------------------------------------------------------------------------

    def after_batch(self) -> None:
        """Act on what a batch of commands has changed: housekeeping, planning, answers, commands, records."""
        if not self.ready or self.term.over:
            self._refuse_heartbeats()
            return
        now = self.clock()
        lease_valid, may_answer = self.term.lease_valid(now), self.term.may_answer(now)
        self.cluster.newest_token = max(self.cluster.newest_token, self.writer.newest_revision)
        if now - self._housekeeping_at >= c.TICK_S:
            self._housekeeping_at = now
            self.cluster.no_successor_before = self.term.no_successor_before()
            self.cluster.expire(now)
            self._health.check(now, lease_valid)
        if (self.cluster.dirty or self.planner.unfinished) and may_answer and now >= self._plan_not_before:
            self._plan(now, lease_valid)
        self._answer_heartbeats(now, lease_valid, may_answer)
        if may_answer:
            self._send_commands(now)
        if lease_valid:
            self._records.record_tasks(now)
            self._records.record_machines(now)
            self._request_newer_token(now)

    def _request_newer_token(self, now: float) -> None:
        """Write something if tasks wait to be reaped for a newer token, at most every `NEWER_TOKEN_INTERVAL_S`."""
        wanted, self.cluster.newer_token_wanted = self.cluster.newer_token_wanted, False
        if wanted and now - self._token_requested_at >= c.NEWER_TOKEN_INTERVAL_S:
            self._token_requested_at = now
            self.writer.request_newer_revision()

    def _plan(self, now: float, lease_valid: bool) -> None:
        """Run one planning round, and rent machines at most every `MIN_RENT_INTERVAL_S`.

        A long round is followed by a long pause, since reports and leases come before planning. The pause is longer
        still if nothing changes: then only points in time can be reached, such as the end of a retry pause.
        """
        self.planner.stop_before_reclaim(now)
        self.planner.work_limit = self._pace.work_limit()
        began = self.clock()
        self.planner.place_all(now)
        self._pace.record_round(self.planner.work_done, self.clock() - began)
        self.planner.preempt(now)
        if lease_valid and now - self._rented_at >= c.MIN_RENT_INTERVAL_S:
            self._rented_at = now
            self._rentals.rent(now)
        elif not lease_valid:
            self.planner.explain_renting_held(now)
        took = self.clock() - now
        self._plan_not_before = now + took + max(c.MIN_PLAN_INTERVAL_S, c.PLAN_PAUSE_FACTOR * took)
        self.planner.replan_after = now + took + c.IDLE_PLAN_PAUSE_FACTOR * took
        if took > c.SLOW_PLAN_ROUND_S:
            log.info("planning round took %.3f s; heartbeats and commands waited meanwhile", took)

    def _refuse_heartbeats(self) -> None:
        """Reply None to all pending heartbeats: this node is not entitled to answer them."""
        refused, self._heartbeats = self._heartbeats, []
        for waiting in refused:
            waiting.send_answers()

    def _answer_heartbeats(self, now: float, lease_valid: bool, may_answer: bool) -> None:
        if not may_answer:
            self._refuse_heartbeats()
            return
        answered, self._heartbeats = self._heartbeats, []
        for waiting in answered:
            for index, machine, seq in waiting.heartbeats:
                waiting.answers[index] = self._answer(machine, seq, waiting.follower, lease_valid, now)
            waiting.send_answers()

    def _answer(self, machine: Machine, seq: int, follower: str, lease_valid: bool, now: float) -> dict[str, Any]:
        """Return the answer to one heartbeat, with orders only if it is the machine's newest report.

        If nothing is left to be done, the follower is granted to answer equal heartbeats of the machine itself.
        """
        machine.answered_at = now
        newest = seq == machine.seq
        orders = self.cluster.orders_for_heartbeat(machine, lease_valid, now) if newest else []
        token = self.cluster.command_token(machine)
        answer = wire.report_answer(token, orders)
        if follower and token != self.term.token:
            answer[TERM] = self.term.token
        if follower and newest and not orders and self.cluster.can_delegate(machine):
            answer[GRANT] = self.cluster.delegations.grant(follower, machine.name)
        return answer

    def _send_commands(self, now: float) -> None:
        """Send new orders to the machines that were touched, without waiting for their next heartbeat."""
        touched, self.cluster.machines_to_command = self.cluster.machines_to_command, set()
        for machine in sorted(touched, key=lambda m: m.name):  # the same inputs give the same commands
            if machine.status is not Status.UP or machine.name in self.cluster.unverified:
                continue
            if machine.sending or now < machine.send_after:
                self.cluster.machines_to_command.add(machine)
                continue
            orders, launched = self.cluster.orders_direct(machine, now)
            # After lost answers even an empty command is sent: it shows whether the machine can be commanded again.
            if orders or machine.lost_answers >= c.MAX_LOST_LAUNCH_ANSWERS:
                machine.sending = True
                token = self.cluster.command_token(machine)
                self._context.spawn(self._command, machine, token, machine.session, orders, launched)

    async def _command(
        self, machine: Machine, token: int, session: int, orders: list[dict[str, Any]], launched: list[Any]
    ) -> None:
        """Send orders to one worker and enqueue the result. After a failure the next command waits for a pause.

        `token` and `session` are those that the orders were made for. A worker in a later session must refuse them,
        since the launches in them were given up when the session changed.
        """
        executed: bool | None = None
        report: Report | None = None
        pause, sent = 0.0, self.clock()
        try:
            executed, report = await self._workers.command(machine.addr, token, session, orders)
        except NotSent:
            executed, pause = False, c.COMMAND_TIMEOUT_S / 2
        except NoUsableResponse:
            pause = c.COMMAND_TIMEOUT_S
        self.command_loop.enqueue(lambda: self._on_command_result(machine, report, sent, launched, executed, pause))

    def _on_command_result(
        self, machine: Machine, report: Report | None, sent: float, launched: list[Any], executed: bool | None,
        pause: float,
    ) -> None:  # fmt: skip
        now = self.clock()
        machine.sending = False
        machine.send_after = now + pause
        if report is not None:
            self._direct_report(report, sent)
        self.cluster.direct_result(machine, launched, executed, now)
        self.cluster.machines_to_command.add(machine)
