"""What a node does while it leads: carries out what the cluster and the planner decide."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.duty import Duty
from pepperlatch.controller.health import Health
from pepperlatch.controller.leadership import Term, keeps_alive_until
from pepperlatch.controller.owner import Owner, Reply
from pepperlatch.controller.peers import Peers
from pepperlatch.controller.records import Records
from pepperlatch.controller.rentals import Rentals
from pepperlatch.controller.store import Replica
from pepperlatch.controller.writer import Writer
from pepperlatch.policy.cancellations import return_after_s
from pepperlatch.policy.cluster import Cluster
from pepperlatch.policy.delegation import DelegationAnswer, DelegationStatement
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.model import Machine, Status
from pepperlatch.policy.pace import RoundPace
from pepperlatch.policy.planner import Planner
from pepperlatch.policy.tuning import Tuning
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
GRANT = "grant"  # in the answer to a heartbeat that was forwarded; the worker does not get it


@dataclass(slots=True)
class _Waiting:
    """Heartbeats that came together and wait for their answers: place, machine and number of each."""

    follower: str
    reply: Reply[list[HeartbeatAnswer]]
    answers: list[HeartbeatAnswer]
    heartbeats: list[tuple[int, Machine, int]] = field(default_factory=list)

    def settle(self) -> None:
        self.reply.give(self.answers)


class Leader:
    """Lives for one term. All methods run in the owner; coroutines post their results back to it."""

    def __init__(
        self, settings: Settings, term: Term, replica: Replica, state: StateClient, cloud: CloudClient,
        workers: WorkerClient, owner: Owner, clock: Clock, wall: Clock, peers: Peers, images: ImageMemory,
    ) -> None:  # fmt: skip
        self.settings = settings
        self.term = term
        self.replica = replica
        self._state = state
        self._workers = workers
        self.owner = owner
        self.clock = clock
        self.wall = wall
        now = clock()
        self.cluster = Cluster(
            settings.node, term.token, settings.params, now, term.hold_s, self._spec_if_over, self._cancelled_since
        )
        self.cluster.images = images
        self.planner = Planner(self.cluster, Tuning(replica.tuning[0]))
        self._tuning_version = replica.tuning[1]
        self.writer = Writer(state, term, settings.params.state.txn_ops)
        self._duty = Duty(settings, term, replica, owner, clock, wall, self.cluster, self.planner, self.writer)
        self._rentals = Rentals(self._duty, cloud)
        self._records = Records(self._duty, self._rentals.off_hire)
        self._health = Health(self._duty, workers, peers, self._direct_report)
        self.ready = False
        self._heartbeats: list[_Waiting] = []
        self._rented_at = 0.0
        self._plan_after = 0.0
        self._pace = RoundPace()
        self._housekeep_at = 0.0

    # --- life -------------------------------------------------------------------------------------

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._duty.nursery = nursery
            fleet_pairs = await self._read_fleet()
            if fleet_pairs is None:
                return
            self.owner.post(lambda: self._start(fleet_pairs))
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
        while not self.term.over:
            try:
                if self.replica.revision >= self.term.token:
                    return (await self._state.read_all(store.FLEET))[1]
            except (NotExecuted, OutcomeUnknown):
                pass
            await trio.sleep(c.MIN_WATCH_INTERVAL_S)
        return None

    def _start(self, pairs: list[wire.KeyValue]) -> None:
        """Take over: all that is recorded is loaded, then every machine fenced."""
        now = self.clock()
        cluster = self.cluster
        cluster.types = {kind.name: kind for kind in self.replica.types}
        for job_id, entry in self.replica.jobs.items():
            if entry.state not in wire.FINAL_JOB_STATES:
                self._add_job(job_id)
            elif entry.record.state == entry.state.value:
                self._records.tidy(job_id)
        for pair in pairs:
            if pair.key == store.TURN:
                self.writer.turn = pair.version
            elif pair.key.startswith(store.MACHINE):
                self._load_machine(pair.key[len(store.MACHINE) :], wire.convert(pair.value, store.MachineRecord), now)
        for job_id in self.replica.cancelled_lately(now - self.settings.params.workers.cancel_s):
            spec = self.replica.jobs[job_id].record.spec
            if spec is not None:
                cluster.depart(spec, spec.tasks - len(self.replica.done_tasks(job_id)), now)
        cluster.remember()
        for pair in pairs:
            if pair.key.startswith(store.HIRE):
                self._rentals.repeat_hire(pair.key[len(store.HIRE) :], wire.convert(pair.value, store.HireRecord))
        self.ready = True
        took = f"took over with {len(cluster.machines)} machines, {len(cluster.jobs)} jobs"
        log.info("%s", took)
        cluster.listener.noted("takeover", took, now)

    def _load_machine(self, name: str, record: store.MachineRecord, now: float) -> None:
        kind = self.cluster.types.get(record.type)
        if kind is None:
            log.error("machine %s is of unknown type %s: returned", name, record.type)
            self.cluster.unaccounted.add(name)  # it may run tasks until it is gone
            self.cluster.to_release.add(name)
            return
        machine = Machine(name, kind, record.zone, record.spot, record.addr, Status.UP, now, draining=record.draining)
        machine.up_at = machine.idle_since = machine.beat_at = now
        machine.listed = True
        self.cluster.machines[name] = machine
        self.cluster.unaccounted.add(name)
        self._duty.spawn(self._health.fence, machine)

    # --- jobs -------------------------------------------------------------------------------------

    def _spec_if_over(self, job_id: str) -> wire.JobSpec | None:
        entry = self.replica.jobs.get(job_id)
        return entry.record.spec if entry is not None and entry.state in wire.FINAL_JOB_STATES else None

    def _cancelled_since(self, job_id: str) -> float:
        """No user was told before then that the job is cancelled; infinite if it is not.

        By this node's own readings, else by the time of day in the record. If neither can tell it may be so long ago
        that a machine which may still hold a task of it has to be returned at once.
        """
        cancelled = self.replica.cancelled_by(job_id)
        if cancelled is None:
            return math.inf
        told_after = self.replica.told_after(cancelled)
        if told_after is not None:
            return told_after
        off_s = 2 * self.settings.params.max_clock_error_ms / 1000  # the writer's clock and ours
        ago_s = self.wall() - self.replica.jobs[cancelled].record.ended + off_s
        unknown_s = return_after_s(self.settings.params.workers)
        return self.clock() - (ago_s if self._stamped(cancelled) and ago_s >= 0 else unknown_s)

    def _stamped(self, job_id: str) -> bool:
        """Records of earlier versions do not say when the job was cancelled."""
        return self.replica.jobs[job_id].record.ended > 0

    def _add_job(self, job_id: str) -> None:
        """Only a job that is ready becomes known to the planner: what waits holds no part of anything."""
        entry = self.replica.jobs[job_id]
        spec, chain = entry.record.spec, self.replica.chain
        if spec is None or not self.replica.ready(job_id):
            self.cluster.listener.job(job_id, "waits", self.clock())
            return
        since = self.clock() - max(0.0, self.wall() - chain.ready_at(job_id, entry.record.at))
        newest = max([entry.version, *(self.replica.jobs[name].version for name in chain.needs.get(job_id, ()))])
        job = self.cluster.add_job(spec, entry.version, since, self.replica.done_tasks(job_id))
        job.old = newest <= self.term.token
        self._stand(job_id)
        self.cluster.listener.job(job_id, "ready", self.clock())
        log.info(
            "job %s: %s %s of %d x %g cpus, %s for %s",
            job_id, spec.priority.name.lower(), spec.kind.name.lower(), spec.tasks, spec.cpus,
            spec.job_class, spec.team,
        )  # fmt: skip

    def _stand(self, job_id: str) -> None:
        """A job works with the rank and the due time of whatever needs it, if those are stronger than its own."""
        job, standing = self.cluster.jobs.get(job_id), self.replica.chain.standing(job_id)
        if job is None or standing is None:
            return
        due_at = self.clock() + standing.due - self.wall() if standing.due < math.inf else None
        if (job.rank, job.due_at is None) != (standing.rank, due_at is None):
            self.cluster.dirty = True
        job.rank, job.due_at, job.after = standing.rank, due_at, standing.after

    def on_jobs(self, touched: set[str]) -> None:
        """The watch has shown changes of these jobs."""
        if not self.ready:
            return
        for job_id in touched:
            entry = self.replica.jobs[job_id]
            known = self.cluster.jobs.get(job_id)
            if entry.state in wire.FINAL_JOB_STATES:
                self.cluster.end_job(job_id, self.clock(), entry.state is wire.JobState.DONE)
                self.cluster.listener.job(job_id, entry.state.value, self.clock())
                if entry.record.state == entry.state.value:
                    self._records.tidy(job_id)
            elif known is None:
                self._add_job(job_id)
            else:
                known.version = entry.version
        for job_id in self.replica.chain.before(touched):
            self._stand(job_id)
        if self.replica.tuning[1] != self._tuning_version:
            self._tuning_version = self.replica.tuning[1]
            self.planner.tuning = Tuning(self.replica.tuning[0])

    # --- reports ----------------------------------------------------------------------------------

    def on_heartbeats(self, reports: list[Report], follower: str, reply: Reply[list[HeartbeatAnswer]]) -> None:
        """Heartbeats that came together, and the follower that takes delegations and forwarded them ("" if none).

        The reply has an answer for each, None for those that nobody may answer.
        """
        now = self.clock()
        waiting = _Waiting(follower, reply, [None] * len(reports))
        if not self.ready or not self.term.may_answer(now):
            waiting.settle()
            return
        for index, report in enumerate(reports):
            machine = self.cluster.on_report(report, now, beat=True)
            self._after_report()
            if machine is not None:
                waiting.heartbeats.append((index, machine, report.seq))
        self._heartbeats.append(waiting)

    def on_statement(
        self, follower: str, statement: DelegationStatement, proven_at: float, reply: Reply[DelegationAnswer | None]
    ) -> None:
        """What a follower holds. `proven_at`: the leader's proof as it was when this was put into the queue.

        All that the copy held by then has been taken in before this runs, so that what is kept alive on the proof is
        not what a cancellation known by then has ended.
        """
        now = self.clock()
        if not self.ready or not self.term.may_answer(now):
            reply.give(None)
            return
        until = keeps_alive_until(self.term.hold_s, proven_at)
        reply.give(self.cluster.delegate(follower, statement, until, now))

    def _direct_report(self, report: Report, asked_at: float, through_others: bool = False) -> None:
        self.cluster.on_report(
            report, self.clock(), beat=False, through_others=through_others, asked_at=asked_at
        )  # fmt: skip
        self._after_report()

    def _after_report(self) -> None:
        if self.cluster.higher_token:
            log.info("a worker has seen a higher token than %d", self.term.token)
            self.term.over = True

    # --- after every batch ------------------------------------------------------------------------

    def settle(self) -> None:
        if not self.ready or self.term.over:
            self._refuse_heartbeats()
            return
        now = self.clock()
        sure, may = self.term.sure(now), self.term.may_answer(now)
        if now - self._housekeep_at >= c.TICK_S:
            self._housekeep_at = now
            self.cluster.expire(now)
            self._health.look(now, sure)
        if (self.cluster.dirty or self.planner.unfinished) and may and now >= self._plan_after:
            self._plan(now, sure)
        self._answer_heartbeats(now, sure, may)
        if may:
            self._send_direct(now)
        if sure:
            self._records.persist(now)
            self._records.record(now)

    def _plan(self, now: float, sure: bool) -> None:
        """A long round is followed by a long rest: reports and leases come before planning.

        By a longer one still if nothing changes: only moments can be reached then, pauses' ends and the like.
        """
        self.planner.notices(now)
        self.planner.work_most = self._pace.most()
        began = self.clock()
        self.planner.place_all(now)
        self._pace.took(self.planner.work, self.clock() - began)
        self.planner.preempt(now)
        if sure and now - self._rented_at >= c.MIN_RENT_INTERVAL_S:
            self._rented_at = now
            self._rentals.rent(now)
        elif not sure:
            self.planner.hold(now)
        took = self.clock() - now
        self._plan_after = now + took + max(c.MIN_PLAN_INTERVAL_S, c.PLAN_PAUSE_FACTOR * took)
        self.planner.look_after = now + took + c.IDLE_PLAN_PAUSE_FACTOR * took
        if took > c.SLOW_PLAN_ROUND_S:
            log.info("a round of planning took %.3f s", took)

    def _refuse_heartbeats(self) -> None:
        refused, self._heartbeats = self._heartbeats, []
        for waiting in refused:
            waiting.settle()

    def _answer_heartbeats(self, now: float, sure: bool, may: bool) -> None:
        if not may:
            self._refuse_heartbeats()
            return
        answered, self._heartbeats = self._heartbeats, []
        for waiting in answered:
            for index, machine, seq in waiting.heartbeats:
                waiting.answers[index] = self._answer(machine, seq, waiting.follower, sure, now)
            waiting.settle()

    def _answer(self, machine: Machine, seq: int, follower: str, sure: bool, now: float) -> dict[str, Any]:
        """Orders for the newest report; its follower may answer the same again if nothing is left to be done."""
        machine.answered_at = now
        newest = seq == machine.seq
        orders = self.cluster.orders_for_heartbeat(machine, sure, now) if newest else []
        answer = wire.report_answer(self.term.token, orders)
        if follower and newest and not orders and self.cluster.settled(machine):
            answer[GRANT] = self.cluster.delegations.grant(follower, machine.name)
        return answer

    def _send_direct(self, now: float) -> None:
        touched, self.cluster.touched = self.cluster.touched, set()
        for machine in sorted(touched, key=lambda m: m.name):  # the same inputs give the same commands
            if machine.status is not Status.UP or machine.name in self.cluster.unaccounted:
                continue
            if machine.sending or now < machine.send_after:
                self.cluster.touched.add(machine)
                continue
            orders, launched = self.cluster.orders_direct(machine, now)
            if (
                orders or machine.unheard >= c.MAX_LOST_LAUNCH_ANSWERS
            ):  # without orders it tells whether it hears us again
                machine.sending = True
                self._duty.spawn(self._command, machine, machine.session, orders, launched)

    async def _command(self, machine: Machine, session: int, orders: list[dict[str, Any]], launched: list[Any]) -> None:
        """`session`: the one the orders were made for. A later one must refuse them: what they launch was given up."""
        executed: bool | None = None
        report: Report | None = None
        pause, sent = 0.0, self.clock()
        try:
            executed, report = await self._workers.command(machine.addr, self.term.token, session, orders)
        except NotSent:
            executed, pause = False, c.COMMAND_TIMEOUT_S / 2
        except NoUsableResponse:
            pause = c.COMMAND_TIMEOUT_S
        self.owner.post(lambda: self._commanded(machine, report, sent, launched, executed, pause))

    def _commanded(
        self, machine: Machine, report: Report | None, sent: float, launched: list[Any], executed: bool | None,
        pause: float,
    ) -> None:  # fmt: skip
        now = self.clock()
        machine.sending = False
        machine.send_after = now + pause
        if report is not None:
            self._direct_report(report, sent)
        self.cluster.direct_result(machine, launched, executed, now)
        self.cluster.touched.add(machine)
