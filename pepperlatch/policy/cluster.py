"""The leader's in-memory state of jobs, task attempts and machines, and how reports and command results change it.

No I/O and no clock: the caller passes `now`, in seconds of the node's steady clock, and all times here are of that
clock. Work that has to happen outside is left in `machines_to_command`, `unsaved_jobs`, `to_record` and `to_release`;
the controller's leader loop carries it out.
"""

import heapq
import logging
import math
from collections.abc import Callable
from typing import Any

from pepperlatch.constants import core as c
from pepperlatch.policy import reasons
from pepperlatch.policy.boot_times import BootTimes
from pepperlatch.policy.cancellations import CancelledOn
from pepperlatch.policy.cancelled_tasks import CancelledSince, CancelledTasks
from pepperlatch.policy.delegation import DelegationAnswer, Delegations, DelegationStatement
from pepperlatch.policy.events import Listener, NullListener
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.model import Attempt, Job, Machine, Phase, Status, split_task
from pepperlatch.policy.quota import Quota, Usage
from pepperlatch.policy.reasons import Reason
from pepperlatch.policy.renewal_delegates import PROCESS_AGE_KEY, RenewalDelegates
from pepperlatch.policy.task_queue import TaskQueue
from pepperlatch.policy.unverified_usage import unseen_usage
from pepperlatch.protocol import wire
from pepperlatch.protocol.order_batch import Order, OrderBatch
from pepperlatch.protocol.wire import Cause, JobSpec, Kind, MachineType, Report, TaskReport, TaskState
from pepperlatch.settings import Params

log = logging.getLogger(__name__)
Key = tuple[str, int]  # identifies an attempt: "JOB/TASK" and the attempt number
SILENT, SILENT_CANCELLED = "silent", "silent, perhaps with a cancelled task"
SpecOf = Callable[[str], JobSpec | None]  # finds the spec of a job by its id


def _log_fields(attempt: Attempt) -> dict[str, Any]:
    """Return the structured fields of a log line about the attempt."""
    return {"job": attempt.job.spec.id, "task": attempt.task, "machine": attempt.machine.name}


class Cluster:
    """The state that one leader keeps during its term; created at takeover and discarded with the term.

    `node` is the leader's name and `token` its fencing token. The revision of any write that was conditional on the
    leader's key is a token of this leader as well, above those of earlier leaders and below those of later ones:
    `newest_token` is the highest of them. `lease_extension_s`: seconds for which a controller may
    renew leases after its last proof of leadership, or after its last contact with the leader. `spec_of` finds the spec
    of a job that has ended but whose tasks may still be reported. `cancelled_since` returns the earliest time at which
    a user may have been told that a job is cancelled; infinite if it is not.
    """

    def __init__(
        self, node: str, token: int, params: Params, now: float, lease_extension_s: float, spec_of: SpecOf,
        cancelled_since: CancelledSince = lambda job_id: math.inf,
    ) -> None:  # fmt: skip
        self.node = node
        self.token = token
        self.params = params
        # leases renewed by earlier leaders, and sessions commanded by them, have ended by then
        self.earlier_leaders_until = now + lease_extension_s + params.workers.lease_s * (1 + c.CLOCK_DRIFT)
        self._spec_of = spec_of
        self._cancelled_since = cancelled_since
        self.types: dict[str, MachineType] = {}
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.removed_machines: dict[str, None] = {}  # names that the cloud has confirmed to be gone
        self.unknown_tasks: dict[str, dict[Key, TaskReport]] = {}  # by machine: reported, not adopted, to be killed
        self.quota = Quota({team.name: team for team in params.teams})
        self.unverified: set[str] = set()  # machines that may still run tasks of an earlier term that nobody reported
        self.cancelled = CancelledTasks(lambda job_id: self._cancelled_since(job_id), params.workers.cancel_s)
        self.machines_to_command: set[Machine] = set()  # orders may be due to them by direct command
        self.unsaved_jobs: set[str] = set()  # have finished tasks that the state service does not hold yet
        self.to_record: set[Machine] = set()  # to be written to the state service, which makes them usable
        self.to_release: set[str] = set()  # to be returned to the cloud
        self.release_requested: set[str] = set()  # the cloud was asked to take them back; it may do so at any time
        self.dirty = True  # something has changed that the planner has not considered yet
        self.higher_token = False  # a report carried a token above all of this leader's: another leader was elected
        self.newest_token = token
        self.newer_token_wanted = False  # tasks cannot be reaped with the tokens that this leader has
        self._last_number = 0
        self._gangs_being_stopped: set[int] = set()  # numbers of attempts whose other tasks are just being stopped
        self.started = now  # when this leader took over
        # Before then no later leader has answered a worker; kept up to date by whoever asks `expire` or `lease_over`.
        self.no_successor_before = -math.inf
        self._kept_sessions = 0  # number of sessions in the last log line of `_log_kept_sessions`
        self.renewal_delegates = RenewalDelegates(lease_extension_s)
        self.peer_answered_at: dict[str, float] = {}  # by controller's name: when it last answered this leader
        self.delegations = Delegations()
        self.images = ImageMemory()
        self.boot_times = BootTimes()
        self.listener: Listener = NullListener()

    # --- jobs -------------------------------------------------------------------------------------

    def add_job(self, spec: JobSpec, version: int, since: float, done: set[int], over: bool = False) -> Job:
        """Add a job.

        `version` is the version of its record, `since` when it was submitted or became ready, and `done` its finished
        tasks. `over`: it has ended, so nothing is queued.
        """
        job = Job(spec, version, since, version <= self.token, set(done), set(done), over=over)
        if not over:
            job.waiting = TaskQueue(task for task in range(spec.tasks) if task not in done)
            if not job.waiting:
                self.unsaved_jobs.add(spec.id)
        job.reason_since = since
        self.jobs[spec.id] = job
        self.dirty = True
        return job

    def end_job(self, job_id: str, now: float, done: bool = False) -> None:
        """Stop every task of the job that still runs: it is done or, by default, cancelled."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        if job.from_earlier_term and not job.over and not done:
            self.add_unverified_cancellation(job.spec, job.spec.tasks - len(job.done) - len(job.live), now)
        job.over = True
        if not done:
            self._mark_unknown_tasks_cancelled(job_id, now)
        job.waiting.clear()
        self.unsaved_jobs.discard(job_id)
        for attempt in list(job.live.values()):
            self._stop_ended_job(attempt, now, cancelled=not done)
        if not job.live:
            self.jobs.pop(job_id, None)
        self.dirty = True

    def _stop_ended_job(self, attempt: Attempt, now: float, cancelled: bool) -> None:
        self.stop(attempt, 0.0, "the job is over")
        if cancelled and (attempt.name, attempt.number) in attempt.machine.attempts:
            self.cancelled.may_hold(attempt.machine, attempt.name, attempt.job.spec.id, now)

    def _mark_unknown_tasks_cancelled(self, job_id: str, now: float) -> None:
        """Mark machines that report a task of the job although the task is known on another machine."""
        for name, tasks in self.unknown_tasks.items():
            machine = self.machines.get(name)
            for task, _ in tasks:
                if machine is not None and task.rpartition("/")[0] == job_id:
                    self.cancelled.may_hold(machine, task, job_id, now)

    def _mark_if_cancelled(self, machine: Machine, task: str, now: float) -> None:
        """Mark the machine as a possible holder of a cancelled task if the job of this unknown task is cancelled."""
        job_id = task.rpartition("/")[0]
        if math.isfinite(self._cancelled_since(job_id)):
            self.cancelled.may_hold(machine, task, job_id, now)

    def _holds_cancelled(self, machine: Machine) -> bool:
        """Whether the machine's reports leave it possible that it holds a task of a job that has ended."""
        unknown_tasks = (task.rpartition("/")[0] for task, _ in self.unknown_tasks.get(machine.name, {}))
        return any(attempt.job.over for attempt in machine.attempts.values()) or any(
            job.over if (job := self.jobs.get(job_id)) is not None else self._spec_of(job_id) is not None
            for job_id in unknown_tasks
        )

    def add_unverified_cancellation(self, spec: JobSpec, unseen: int, now: float) -> None:
        """Note that a job was cancelled while `unseen` tasks of it may run on machines that are not verified yet."""
        if unseen > 0 and self.rebuilding():
            self.cancelled.add_unverified_cancellation(spec, unseen, now)

    def unverified_cancelled_since(self, now: float) -> float:
        """When the first job was cancelled that may have tasks on unverified machines; infinite if there is none."""
        return self.cancelled.unverified_cancelled_since(now) if self.rebuilding() else math.inf

    def cancelled_since(self, machine: Machine, unverified_cancelled_since: float) -> float:
        """Since when the machine may hold a task of a cancelled job; infinite if it holds none.

        Reports of a machine that has not shown this leader's token may have been delayed for long, so it may hold more
        than they list: any task of a recently cancelled job. `unverified_cancelled_since` is the result of the method
        of that name, computed once for all machines.
        """
        unverified = machine.name in self.unverified
        return min(machine.cancelled_since, unverified_cancelled_since) if unverified else machine.cancelled_since

    def latest_reporters(self) -> list[str]:
        """Addresses of the machines that reported last.

        A controller that is asked about a silent machine and does not reach it asks these as well: if it reaches none
        of them it is cut off itself, and its failure says nothing about the silent machine.
        """
        up = (m for m in self.machines.values() if m.status is Status.UP and m.last_report_at >= 0)
        return [m.addr for m in heapq.nlargest(c.MAX_WITNESSES, up, key=lambda m: (m.last_report_at, m.name))]

    def machines_with_cancelled_tasks(self, now: float) -> list[CancelledOn]:
        """The machines that may hold a task of a cancelled job, the longest silent first.

        At most MAX_CANCELLED_MACHINES_SENT. They are sent to the other controllers with each contact, so that these can
        act while no controller leads.
        """
        unverified_cancelled_since = self.unverified_cancelled_since(now)
        found = [(m, self.cancelled_since(m, unverified_cancelled_since)) for m in self.machines.values() if m.addr]
        found = [(machine, since) for machine, since in found if math.isfinite(since)]
        found.sort(key=lambda row: (row[0].last_report_at, row[0].name))
        return [CancelledOn(m.name, m.addr, now - since) for m, since in found[: c.MAX_CANCELLED_MACHINES_SENT]]

    def explain(self, job: Job, reason: Reason, now: float) -> None:
        """Set the reason why the job waits, and notify the listener if its kind changed."""
        if job.explain(reason, now):
            self.listener.explained(job, now)
            if log.isEnabledFor(logging.DEBUG):
                log.debug("%s: %s", job.spec.id, reason.text(), extra={"job": job.spec.id})

    # --- attempts ---------------------------------------------------------------------------------

    def new_number(self) -> int:
        """A new attempt number: higher than all of this term and, by the token in its high bits, of earlier terms."""
        self._last_number += 1
        return (self.token << c.ATTEMPT_NUMBER_BITS) + self._last_number

    def place(self, job: Job, task: int, machine: Machine, now: float, number: int | None = None) -> Attempt:
        """Plan a launch of the task, which counts against the machine's room and the team's limit from now on.

        The caller has removed the task from `job.waiting`. `number`: one number for all tasks of a gang's attempt.
        """
        attempt = Attempt(job, task, number or self.new_number(), machine, now)
        image = "held" if machine.holds_image(job.spec) else "fetching" if machine.fetches_image(job.spec) else "absent"
        self._register(attempt)
        self.listener.placed(attempt, now)
        log.info(
            "place %s try %d on %s, image %s", attempt.name, attempt.number, machine.name, image,
            extra=_log_fields(attempt),
        )  # fmt: skip
        return attempt

    def _register(self, attempt: Attempt) -> None:
        machine, job = attempt.machine, attempt.job
        job.live[attempt.task] = attempt
        machine.add(attempt)
        self.quota.of(job.spec.team).add(job.spec, 1)
        self.machines_to_command.add(machine)

    def stop(self, attempt: Attempt, grace_s: float, why: str) -> None:
        """Have the attempt killed, with `grace_s` seconds to save its work; a later call can only shorten these.

        It keeps its room until it is proven gone; one whose launch was never sent is removed at once.
        """
        attempt.stop_reason = attempt.stop_reason or why
        if attempt.wanted or grace_s < (attempt.kill_grace_s or 0.0):
            attempt.kill_grace_s = grace_s
            attempt.kill_sent_at = -1.0
        if attempt.phase is Phase.PLANNED:
            self._lose(attempt, attempt.planned_at, why)
        self.machines_to_command.add(attempt.machine)

    def undo(self, attempt: Attempt) -> None:
        """Withdraw a placement that was never sent, and put its task back at the head of the queue."""
        self._remove(attempt, attempt.planned_at, "not sent")
        attempt.job.waiting.appendleft(attempt.task)

    def _lose(self, attempt: Attempt, now: float, cause: str) -> None:
        """Remove an attempt that is proven gone from its machine, and queue its task again unless its job has ended.

        A repeated call has no effect: the loss of one task of a gang removes others that a caller may still have in its
        list, and a task that is queued twice runs twice.
        """
        if self._remove(attempt, now, cause):
            self._requeue(attempt, now)

    def _remove(self, attempt: Attempt, now: float, cause: str) -> bool:
        """Remove the attempt and free its room; False if it was removed before."""
        machine, job = attempt.machine, attempt.job
        if not machine.drop(attempt):
            return False
        if job.live.get(attempt.task) is attempt:
            del job.live[attempt.task]
            job.idle_since = now
        self.quota.of(job.spec.team).add(job.spec, -1)
        if not machine.attempts:
            machine.idle_since = now
        self.dirty = True
        self.listener.ended(attempt, cause, now)
        return True

    def _adopt_elsewhere(self, attempt: Attempt, now: float) -> bool:
        """Adopt the lost task on another machine that reports it; False if none does.

        That report was not adopted while this attempt was known. It happens after a takeover, when a late report of an
        ended session arrives before the report of the machine on which the task had been restarted. What runs there is
        kept: starting it once more would run it twice.
        """
        for name, tasks in self.unknown_tasks.items():
            machine = self.machines.get(name)
            for key, task in list(tasks.items()):
                if key[0] == attempt.name and machine is not None:
                    del tasks[key]
                    other = self._adopt(machine, task, now)
                    if other is not None:
                        self._update_state(other, task.state, now)
                        return True
        return False

    def _requeue(self, attempt: Attempt, now: float) -> None:
        """Queue a removed attempt's task again, at the head, unless it is done, runs elsewhere or its job has ended."""
        job = attempt.job
        if job.spec.kind is Kind.GANG:
            self._stop_rest_of_gang(job, attempt.number)
        if job.over:
            if not job.live:
                self.jobs.pop(job.spec.id, None)
        elif attempt.task not in job.done and attempt.task not in job.live and not self._adopt_elsewhere(attempt, now):
            job.waiting.appendleft(attempt.task)

    def _stop_rest_of_gang(self, job: Job, number: int) -> None:
        """Stop the other tasks of a gang's attempt: all of them must be gone before the gang starts again.

        Tasks whose launches were not sent are removed at once, which calls this again for each; those calls leave the
        rest to the first one. A nested call for each task would exceed the limit of the language for large gangs.
        """
        if number in self._gangs_being_stopped:
            return
        self._gangs_being_stopped.add(number)
        try:
            self._stop_attempts_of_gang(job, number)
        finally:
            self._gangs_being_stopped.discard(number)

    def _stop_attempts_of_gang(self, job: Job, number: int) -> None:
        for other in list(job.live.values()):
            if other.number == number and other.wanted and other.state in (None, TaskState.FETCHING, TaskState.WAITING):
                self.stop(other, 0.0, "its gang lost a task")

    # --- reports ----------------------------------------------------------------------------------

    def on_report(
        self, report: Report, now: float, heartbeat: bool, through_others: bool = False, asked_at: float = float("-inf")
    ) -> Machine | None:
        """Apply a worker's report, and return its machine.

        None if the report is ignored: its machine is gone or of an unknown type, it is too old to be trusted, or it
        carries a higher token (`higher_token` is set then, and the leader steps down).

        `heartbeat`: the worker waits for an answer with orders. `through_others`: another controller asked the worker,
        so no orders can go back that way. `asked_at`: when the question was sent that the report answers.
        """
        if report.token > self.newest_token:
            self.higher_token = True
            return None
        if report.machine in self.removed_machines:
            return None
        if report.machine not in self.machines and report.tasks and report.token < self.token:
            return None  # a record lasts from before the first launch until the machine is gone: the report is older
        machine = self.machines.get(report.machine) or self._add_unlisted(report, now)
        if machine is None:
            return None
        machine.token = max(machine.token, report.token)
        if (report.session, report.seq) <= (machine.session, machine.seq):
            self._out_of_order(machine, asked_at)
            return machine
        if report.session <= machine.last_ended_session:
            return machine  # a late report of an ended session: nothing that it lists runs any more
        if heartbeat:
            self._check_answer_delivery(machine, report)
        if report.session > machine.session:
            self._lose_all(machine, now, "its worker began anew")
            machine.began_by = now  # the session may not have been answered yet: its lease runs from its beginning
            if machine.session and not heartbeat:
                machine.heartbeat_at = -1.0  # its lease ended and no heartbeat came since: it may reach no controller
        machine.session, machine.seq, machine.addr = report.session, report.seq, report.addr
        machine.newest_message_at = now
        machine.last_report_at, machine.probes, machine.isolated_probes = now, 0, 0
        if not through_others:
            machine.reached_at = now
        if heartbeat:
            machine.heartbeat_at = now
        if report.notice_s is not None:
            self._set_reclaim_time(machine, now + report.notice_s)
        if machine.released_as_silent and machine.name not in self.release_requested:
            log.info("machine %s reports again; it was to be returned because it was silent, and is kept", machine.name)
            machine.status, machine.released_as_silent, machine.return_needs_lease = Status.UP, False, True
            self.to_release.discard(machine.name)
        self._verify(machine, report, now)
        self._update_tasks(machine, report, now, heartbeat)
        if math.isfinite(machine.cancelled_since) and not self._holds_cancelled(machine):
            self.cancelled.holds_none(machine, now)
        return machine

    def _set_reclaim_time(self, machine: Machine, at: float) -> None:
        """Set when the cloud reclaims the machine at the latest.

        The earliest time of all notices counts, since each report may have been delayed by seconds.
        """
        if machine.reclaim_at is None:
            self.dirty = True
        machine.reclaim_at = at if machine.reclaim_at is None else min(machine.reclaim_at, at)

    def _check_answer_delivery(self, machine: Machine, report: Report) -> None:
        """Conclude from a heartbeat whether earlier answers reached the worker.

        A worker reports again only once it has received the last answer or has given up on it. So a later report
        without this leader's token proves that none of the leader's answers arrived, and that they renewed no lease. It
        says nothing of answers that other controllers gave on the leader's behalf: it may have been sent before them.
        Otherwise a machine that sends reports but receives nothing would keep the tasks of all older jobs waiting for
        as long as that lasts.
        """
        if report.token < self.token and not machine.fenced and machine.answered_at >= 0:
            machine.answered_at = -1.0
        if machine.offered_launches is not None and report.seq > machine.offered_launches[0]:
            shown = {(task.task, task.attempt) for task in report.tasks}
            arrived = report.session == machine.session and not shown.isdisjoint(machine.offered_launches[1])
            machine.lost_answers = 0 if arrived else machine.lost_answers + 1
            machine.offered_launches = None
            if machine.lost_answers == c.MAX_LOST_LAUNCH_ANSWERS:
                log.info(
                    "machine %s reports but did not receive this leader's last launches; it gets no new tasks until it "
                    "does",
                    machine.name, extra={"machine": machine.name},
                )  # fmt: skip

    def _out_of_order(self, machine: Machine, asked_at: float) -> None:
        """Handle a report that is not newer than the newest one known.

        It is late and ignored, unless it answers a question that was asked after the newest report came: numbers grow
        with every message of a worker, so this worker has restarted its count. It has lost its tasks and its token, and
        would carry out delayed commands that were sent to it before. Only the machine's return rules that out.
        """
        if asked_at > machine.newest_message_at:
            self.release(machine, "its worker began anew under old numbers")

    def _add_unlisted(self, report: Report, now: float) -> Machine | None:
        """Add a machine that reports but is neither recorded nor listed; None if its type is unknown."""
        kind = self.types.get(report.type)
        if kind is None:
            return None
        log.info(
            "machine %s (%s, zone %s) reports but is not recorded; it joins once it reports this leader's token or the "
            "cloud lists it",
            report.machine, report.type, report.zone,
        )  # fmt: skip
        machine = Machine(report.machine, kind, report.zone, report.spot, report.addr, Status.BOOTING, now)
        machine.unexpected = True
        self.machines[machine.name] = machine
        return machine

    def _verify(self, machine: Machine, report: Report, now: float) -> None:
        """Fence and verify a machine that reports this leader's token, and let a booting machine join.

        The report of a machine that was neither rented nor listed may be an old one that was delayed: such a machine
        joins only once it has reported this leader's token or the cloud has listed it.
        """
        if report.token >= self.token and not machine.fenced:
            machine.fenced = True
            machine.began_by = now  # until now an earlier leader may have answered it
            self._mark_verified(machine.name, now)
        if machine.status is Status.BOOTING and (machine.fenced or machine.listed or not machine.unexpected):
            machine.status = Status.JOINING
            self.to_record.add(machine)

    def _mark_verified(self, name: str, now: float) -> None:
        """Note that no unreported task of an earlier term can run on the machine any more."""
        if name in self.unverified:
            self.unverified.discard(name)
            self.dirty = True
            if not self.unverified:
                took = f"all machines accounted for, {now - self.started:.1f} s after taking over"
                log.info("%s", took)
                self.listener.noted("takeover", took, now)

    def recorded(self, name: str, now: float) -> None:
        """Note that the state service holds the machine's record, so that it may be given tasks."""
        machine = self.machines.get(name)
        if machine is not None and machine.status is Status.JOINING:
            machine.status = Status.UP
            machine.up_at = now
            self.boot_times.came_up(machine.type, now - machine.created_at)
            if not machine.attempts:
                machine.idle_since = now
            self.dirty = True
            log.info("machine %s up after %.1f s", name, now - machine.created_at, extra={"machine": name})
            self.listener.machine(machine, "up", "", now)

    def _update_tasks(self, machine: Machine, report: Report, now: float, heartbeat: bool) -> None:
        """Bring the machine's attempts in line with the newest report."""
        shown = {(t.task, t.attempt): t for t in report.tasks}
        machine.list_ended({key: t for key, t in shown.items() if t.state is TaskState.EXITED})
        machine.direct_launches = {
            key: token for key, token in machine.direct_launches.items() if key in shown or key in machine.attempts
        }
        unknown_tasks = {}
        for key, task in shown.items():
            attempt = machine.attempts.get(key)
            if task.state is TaskState.EXITED:
                self._exited(machine, attempt, task, now)
            elif attempt is not None or (attempt := self._adopt(machine, task, now)) is not None:
                self._update_state(attempt, task.state, now)
            else:
                unknown_tasks[key] = task
                self._mark_if_cancelled(machine, key[0], now)
        if unknown_tasks:
            self.unknown_tasks[machine.name] = unknown_tasks
        else:
            self.unknown_tasks.pop(machine.name, None)
        for key, attempt in list(machine.attempts.items()):
            if key not in shown:
                self._missing(machine, key, attempt, report.seq, heartbeat, now)

    def _update_state(self, attempt: Attempt, state: TaskState, now: float) -> None:
        if attempt.phase is not Phase.CONFIRMED:
            attempt.phase = Phase.CONFIRMED
            self.machines_to_command.add(attempt.machine)
        if attempt.state is not state:
            attempt.state = state
            if state in (TaskState.RUNNING, TaskState.WAITING) and attempt.running_at is None:
                attempt.running_at = now
                attempt.job.ran = True
                self._used_image(attempt.machine, attempt.job.spec)
                self.listener.started(attempt, now)
                if not attempt.job.waiting:
                    self.explain(attempt.job, reasons.RUNNING, now)
            elif state is TaskState.FETCHING and not attempt.job.waiting and not attempt.job.ran:
                self.explain(attempt.job, reasons.fetching(attempt.job.spec), now)

    def _used_image(self, machine: Machine, spec: JobSpec) -> None:
        machine.used_image(spec.image, spec.image_gb)
        self.images.used(machine.name, spec.image, spec.image_gb)

    def load_image_memory(self) -> None:
        """Fill the machines' image lists from what an earlier leader sent.

        They are a guess until tasks are reported as running.
        """
        for _, machine, image, gb in list(self.images.on(self.machines)):
            self.machines[machine].used_image(image, gb)

    def _missing(self, machine: Machine, key: Key, attempt: Attempt, seq: int, heartbeat: bool, now: float) -> None:
        """Handle an attempt that the newest report does not list.

        That proves a task gone which was reported before, and a launch lost that was sent in the answer to an earlier
        heartbeat. A direct launch may still be in flight, for minutes if the network delays it, and stays UNCONFIRMED.
        """
        if attempt.phase is Phase.CONFIRMED and key not in machine.in_flight:
            self._lose(attempt, now, "not on its machine any more")
        elif attempt.phase is Phase.SENT and heartbeat and 0 <= attempt.sent_seq < seq and key not in machine.in_flight:
            attempt.phase = Phase.PLANNED
            if not attempt.wanted:
                self._lose(attempt, now, attempt.stop_reason)
            elif machine.lost_answers >= c.MAX_LOST_LAUNCH_ANSWERS:
                self._lose(attempt, now, "its machine does not hear us")
            self.machines_to_command.add(machine)

    def _adopt(self, machine: Machine, task: TaskReport, now: float) -> Attempt | None:
        """Take over a reported task that an earlier leader started; None if it stays unknown and is killed.

        A task is restarted only once it is proven gone, and attempt numbers grow. So of two reported attempts the one
        with the smaller number is outdated, even if it was reported first; it counts until it is proven gone.
        """
        parts = split_task(task.task)
        if parts is None:
            return None
        job = self.jobs.get(parts[0])
        spec = None if job else self._spec_of(parts[0])
        if spec is not None:
            job = self.add_job(spec, 0, now, set(), over=True)
        if job is None or parts[1] >= job.spec.tasks:
            return None
        known = job.live.get(parts[1])
        if known is not None:
            if known.number >= task.attempt:
                return None
            self.stop(known, 0.0, "started anew elsewhere since")
        else:
            self.cancelled.task_reported(job.spec.id)
        attempt = Attempt(job, parts[1], task.attempt, machine, now, Phase.CONFIRMED)
        self._register(attempt)
        job.waiting.remove(parts[1])
        if job.over or parts[1] in job.done:  # for each task of the job, not only the first one that is reported
            self._stop_ended_job(attempt, now, cancelled=job.over)
        return attempt

    def _exited(self, machine: Machine, attempt: Attempt | None, task: TaskReport, now: float) -> None:
        """Handle a task that is reported as exited; `attempt` is None if this leader knows no such attempt."""
        parts = split_task(task.task)
        job = self.jobs.get(parts[0]) if parts else None
        if attempt is not None:
            log.info(
                "task %s try %d on %s exited: %s",
                task.task, task.attempt, machine.name,
                task.end_cause.value if task.end_cause else "",
                extra=_log_fields(attempt),
            )  # fmt: skip
            cause = task.end_cause.value if task.end_cause else "ended"
            self._remove(attempt, now, (task.end_cause is Cause.STOPPED and attempt.stop_reason) or cause)
        if parts and job is not None and task.end_cause is Cause.DONE:
            self._finished(job, parts[1], attempt, now)
        if attempt is not None:
            self._count_result(machine, attempt, task, now)
            self._requeue(attempt, now)

    def _finished(self, job: Job, task: int, attempt: Attempt | None, now: float) -> None:
        """Count the task as done, and with it all tasks of a gang.

        Its success clears the count of failures on its machine and adds to the samples of the machine's pace.
        """
        if task >= job.spec.tasks or task in job.done or job.over:
            return
        if job.spec.kind is Kind.GANG:
            job.done.update(range(job.spec.tasks))
            job.waiting.clear()
        else:
            job.done.add(task)
            job.waiting.remove(task)
        other = job.live.get(task)
        if other is not None:
            self.stop(other, 0.0, "done already")
        self.unsaved_jobs.add(job.spec.id)
        self.dirty = True
        if attempt is not None and attempt.running_at is not None:
            attempt.machine.failed_tasks.clear()
            if job.spec.estimate_s > 0:
                attempt.machine.pace.append((now - attempt.running_at) / job.spec.estimate_s)
                del attempt.machine.pace[: -2 * c.SLOW_MACHINE_SAMPLES]

    def _count_result(self, machine: Machine, attempt: Attempt, task: TaskReport, now: float) -> None:
        """Count a task's error against its machine, or against the job once it failed on several machines.

        A machine with errors of several tasks in a row is quarantined; a job at fault pauses, longer each time. A task
        that the worker could not start pauses its job for JOB_BACKOFF_S seconds.
        """
        job = attempt.job
        if task.end_cause is Cause.ERROR:
            if now - machine.failed_at > c.MACHINE_ERROR_WINDOW_S:
                machine.failed_tasks.clear()
            machine.failed_at = now
            job.failed_on.add(machine.name)
            if len(job.failed_on) < c.FAULTY_JOB_MACHINES:
                machine.failed_tasks.add(task.task)
            else:
                job.pause_s = min(c.MAX_JOB_BACKOFF_S, max(c.JOB_BACKOFF_S, job.pause_s * 2))
                job.not_before = now + job.pause_s
            if len(machine.failed_tasks) >= c.QUARANTINE_FAILED_TASKS and not machine.quarantined:
                machine.quarantined = True
                self.listener.machine(machine, "quarantined", "two tasks failed in a row", now)
                failed = sorted(machine.failed_tasks)
                log.info(
                    "machine %s quarantined: tasks %s failed there in a row; it gets no new tasks",
                    machine.name, failed, extra={"machine": machine.name},
                )  # fmt: skip
        elif task.end_cause is Cause.DONE:
            job.failed_on.discard(machine.name)
        elif task.end_cause in wire.LAUNCH_REFUSALS:
            job.not_before = now + c.JOB_BACKOFF_S

    def machines_needing_forwarding(self, now: float) -> list[str]:
        """Names of the machines that only other controllers reach.

        Sent to the other controllers, which then accept these machines' reports and forward them to this leader.
        """
        return [m.name for m in self.machines.values() if now < m.forwarding_until]

    # --- machines that leave or whose lease ends --------------------------------------------------

    def _lose_all(self, machine: Machine, now: float, why: str) -> None:
        """Remove all attempts: the machine is gone or its session has ended, so none runs or can still start."""
        machine.in_flight.clear()
        machine.direct_launches.clear()
        machine.list_ended({})
        self.unknown_tasks.pop(machine.name, None)
        for attempt in list(machine.attempts.values()):
            self._lose(attempt, now, why)

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine that the cloud has confirmed to be gone, and queue its tasks again."""
        machine = self.machines.pop(name, None)
        self.delegations.forget(name)
        self.removed_machines[name] = None
        self._mark_verified(name, now)
        self.to_release.discard(name)
        self.release_requested.discard(name)
        if machine is not None:
            self._lose_all(machine, now, f"machine returned: {machine.release_reason}")
            self.listener.machine(machine, "gone", machine.release_reason, now)
            self.machines_to_command.discard(machine)
            self.to_record.discard(machine)
        self.dirty = True

    def release(self, machine: Machine, why: str) -> None:
        """Have the machine returned to the cloud. Its tasks count as running until the cloud confirms its end."""
        if machine.status is not Status.LEAVING:
            log.info("machine %s is returned to the cloud: %s", machine.name, why, extra={"machine": machine.name})
            machine.status = Status.LEAVING
            machine.released_as_silent = why in (SILENT, SILENT_CANCELLED)
            machine.release_reason = why
            self.to_record.discard(machine)
            self.to_release.add(machine.name)

    def lease_over(self, machine: Machine, now: float) -> bool:
        """Whether the machine's known session has surely ended, with every task in it and every launch sent into it.

        A session ends one lease after it began or was last answered, whichever is later. It may have been answered by
        this leader, by a follower with a delegation, by a controller that renewed the lease on the leader's behalf or,
        as long as the worker has not shown this leader's token, by an earlier leader. Launches that this leader sent
        count from the session's beginning; those of an earlier leader count from the end of that leader's time
        (`earlier_leaders_until`). A later leader may have answered it at any time since it is not proven any more that
        there is none, so the session must have ended before that (`no_successor_before`).
        """
        return self._lease_over(machine, now, min(now, self.no_successor_before))

    def _lease_over(self, machine: Machine, now: float, no_successor_before: float) -> bool:
        """Whether the machine's session has ended if no later leader has answered it before this time."""
        lease_s = self.params.workers.lease_s * (1 + c.CLOCK_DRIFT) + c.WORKER_LEASE_MARGIN_S
        last = max(machine.answered_at, machine.renewed_at, self.delegations.answered_until(machine.name))
        if machine.name not in self.unverified:
            last = max(last, machine.began_by)
        if not machine.fenced:
            last = max(last, self.earlier_leaders_until + c.WORKER_LEASE_MARGIN_S - lease_s)
        return no_successor_before > last + lease_s and self.renewal_delegates.all_ended(now, lease_s)

    # --- delegated heartbeats ---------------------------------------------------------------------

    def can_delegate(self, machine: Machine) -> bool:
        """Whether a follower may answer repetitions of the machine's last report: nothing is left to handle."""
        return (
            machine.status is Status.UP
            and machine.fenced
            and machine.name not in self.unverified
            and machine.name not in self.unknown_tasks
            and not machine.ended
            and not machine.lost_answers
            and machine.offered_launches is None
            and machine.reclaim_at is None
            and math.isinf(machine.cancelled_since)
            and all(attempt.phase is Phase.CONFIRMED and attempt.wanted for attempt in machine.attempts.values())
        )

    def delegate(self, follower: str, statement: DelegationStatement, until: float, now: float) -> DelegationAnswer:
        """Apply a follower's statement of the grants that it holds, and extend its delegation until `until`.

        The answer revokes the grants of machines that need the leader again or have begun a new session.
        """
        for last in self.delegations.take(follower, statement, now):
            machine = self.machines.get(last.machine)
            if machine is not None:
                machine.renewed_at = max(machine.renewed_at, last.at)
        revoked = []
        for grant in statement.held:
            machine = self.machines.get(grant.machine)
            if machine is None or machine.session != grant.session or not self.can_delegate(machine):
                revoked.append(grant.machine)
            elif grant.heard_s >= 0:
                self._heard_by_follower(machine, grant.heard_s, now)
        self.delegations.extend(follower, until)
        return DelegationAnswer(max(0.0, until - now), self.delegations.number, revoked)

    def _heard_by_follower(self, machine: Machine, heard_s: float, now: float) -> None:
        """Note that a follower answered the machine's heartbeat `heard_s` seconds ago.

        Until its next heartbeat is late the machine counts as reporting now; after that, from the follower's answer.
        """
        if heard_s <= c.DELEGATION_LATE_REPORTS * self.params.workers.report_s:
            machine.last_report_at = machine.reached_at = machine.heartbeat_at = now
            machine.probes = machine.isolated_probes = 0
            return
        heard_at = max(machine.newest_message_at, now - heard_s)
        machine.last_report_at = min(machine.last_report_at, heard_at)
        machine.reached_at = min(machine.reached_at, heard_at)
        machine.heartbeat_at = min(machine.heartbeat_at, heard_at)

    def on_renewal_revoked(self, peer: str, renewed: dict[str, float], until: float, now: float) -> None:
        """Note that a peer has acknowledged that it renews no lease on the leader's behalf before `until`.

        `renewed`: by machine, seconds since the peer last renewed its lease, and the age of its process.
        """
        self.peer_answered_at[peer] = now
        self.renewal_delegates.on_revoked(peer, renewed.get(PROCESS_AGE_KEY), until, now)
        for name, ago_s in renewed.items():
            machine = self.machines.get(name)
            if machine is not None:
                machine.renewed_at = max(machine.renewed_at, now - max(0.0, ago_s))

    def expire(self, now: float) -> None:
        """Remove the attempts of all machines whose lease has surely ended, and count these machines as verified."""
        kept = 0
        for machine in list(self.machines.values()):
            holds = machine.attempts or machine.name in self.unverified
            if not holds or machine.status not in (Status.UP, Status.LEAVING):
                continue
            if self.lease_over(machine, now):
                self._end_session(machine, now)
            elif self.no_successor_before < now and self._lease_over(machine, now, now):
                kept += 1
        self._log_kept_sessions(kept, now)

    def _end_session(self, machine: Machine, now: float) -> None:
        """Remove the machine's attempts: its lease has surely ended."""
        log.info(
            "the lease of machine %s has ended; its tasks count as gone, those of unfinished jobs are queued",
            machine.name, extra={"machine": machine.name},
        )  # fmt: skip
        machine.last_ended_session = machine.session  # orders sent into it can no longer be carried out
        self._lose_all(machine, now, "its machine's lease is over")
        self._mark_verified(machine.name, now)
        self.dirty = True

    def _log_kept_sessions(self, kept: int, now: float) -> None:
        """Log how many sessions are not taken for ended only because a later leader may have answered them."""
        if kept > self._kept_sessions:
            log.info(
                "the tasks of %d machines are kept although this leader has not renewed their leases: a later leader "
                "may have; that there is none was last proven %.1f s ago",
                kept, now - self.no_successor_before,
            )  # fmt: skip
        self._kept_sessions = kept

    # --- orders -----------------------------------------------------------------------------------

    def orders_for_heartbeat(self, machine: Machine, sure: bool, now: float) -> list[Order]:
        """Orders for the answer to the machine's newest report; its next report shows whether they arrived.

        `sure`: this leader's lease cannot have ended. Only then may finished tasks be reaped. What does not fit into
        the answer is left to a direct command or to the next answer.
        """
        batch = OrderBatch()
        stopped, others = self._by_intent(machine)
        offered_launches = self._add_orders(batch, stopped, machine.seq, now)
        for name, number in self.unknown_tasks.get(machine.name, {}):
            batch.add([wire.kill(name, number, 0.0)])
        offered_launches += self._add_orders(batch, others, machine.seq, now)
        keys = frozenset((attempt.name, attempt.number) for attempt in offered_launches)
        machine.offered_launches = (machine.seq, keys) if keys else None
        if sure:
            self._add_reaps(batch, machine)
        return batch.orders

    def command_token(self, machine: Machine) -> int:
        """The token with which the machine is answered and commanded."""
        return max(self.token, machine.token)

    def _by_intent(self, machine: Machine) -> tuple[list[Attempt], list[Attempt]]:
        """The machine's attempts that are to be stopped, those that were told longest ago first, and all others."""
        stopped = [attempt for attempt in machine.attempts.values() if not attempt.wanted]
        stopped.sort(key=lambda attempt: attempt.kill_sent_at)
        return stopped, [attempt for attempt in machine.attempts.values() if attempt.wanted]

    def _add_orders(self, batch: OrderBatch, attempts: list[Attempt], seq: int, now: float) -> list[Attempt]:
        """Add the orders that are due for these attempts and note them as sent, as far as they fit.

        `seq`: number of the report to be answered; -1 for a direct command. Returns the attempts launched. If some
        orders do not fit, a direct command to the machine follows.
        """
        launched = []
        for attempt in attempts:
            orders = self._orders_due(attempt, heartbeat=seq >= 0, now=now)
            if not orders:
                continue
            if not batch.add(orders):
                self.machines_to_command.add(attempt.machine)
                break
            if attempt.phase is not Phase.CONFIRMED:
                launched.append(attempt)
            self._note_sent(attempt, seq, now)
        return launched

    def _add_reaps(self, batch: OrderBatch, machine: Machine) -> None:
        """Add reaps of the exited tasks that the worker may forget, for an answer with `command_token`."""
        for key, task in machine.ended.items():
            if batch.full:
                return
            if self._reapable(machine, key, task) and self._ends_copies_of_launch(machine, key):
                batch.add([wire.reap(*key)])

    def _ends_copies_of_launch(self, machine: Machine, key: Key) -> bool:
        """Whether the machine's token ends all copies of the attempt's direct launch; it is raised if that is needed.

        A copy may arrive at any later time although the launch was answered, and is carried out unless the worker has
        seen a higher token. While a direct command is under way the token is not raised: the worker might refuse it.
        """
        launched_with = machine.direct_launches.get(key, 0)
        if launched_with < self.command_token(machine):
            return True
        if launched_with >= self.newest_token:
            self.newer_token_wanted = True
            return False
        if machine.sending:
            return False
        machine.token = self.newest_token
        return True

    def _reapable(self, machine: Machine, key: Key, task: TaskReport) -> bool:
        """Whether the worker may forget an exited task: its result is saved, and no launch of it is unanswered."""
        if key in machine.in_flight or key in machine.attempts:
            return False
        parts = split_task(task.task)
        job = self.jobs.get(parts[0]) if parts else None
        return job is None or task.end_cause is not Cause.DONE or (parts is not None and parts[1] in job.saved)

    def _orders_due(self, attempt: Attempt, heartbeat: bool, now: float) -> list[Order]:
        """Orders for one attempt, if any; `heartbeat`: for the answer to a report, else for a direct command."""
        name, number = attempt.name, attempt.number
        if attempt.phase is Phase.PLANNED or (attempt.phase is Phase.UNCONFIRMED and heartbeat):
            # A worker that holds it as exited ignores a launch that arrives late.
            kills = [] if attempt.wanted else [wire.kill(name, number, 0.0)]
            return [wire.launch(name, number), *kills]
        if not attempt.wanted and attempt.phase is Phase.CONFIRMED and now - attempt.kill_sent_at >= c.KILL_REPEAT_S:
            return [wire.kill(name, number, attempt.kill_grace_s or 0.0)]
        return []

    def _note_sent(self, attempt: Attempt, seq: int, now: float) -> None:
        """Note that the attempt's due orders are sent now. `seq`: as in `_add_orders`."""
        if attempt.phase is Phase.PLANNED:
            attempt.phase = Phase.SENT
            attempt.sent_seq = seq
        elif attempt.phase is Phase.CONFIRMED:
            attempt.kill_sent_at = now

    def orders_direct(self, machine: Machine, now: float) -> tuple[list[Order], list[Attempt]]:
        """Orders for a direct command, and the attempts that it launches, to be passed on to `direct_result`.

        What does not fit into one command is left to the next.
        """
        batch = OrderBatch()
        stopped, others = self._by_intent(machine)
        launched = self._add_orders(batch, stopped, -1, now)
        launched += self._add_orders(batch, others, -1, now)
        for attempt in launched:
            machine.direct_launches[(attempt.name, attempt.number)] = self.command_token(machine)
        return batch.orders, launched

    def direct_result(self, machine: Machine, launched: list[Attempt], executed: bool | None, now: float) -> None:
        """Apply the outcome of a direct command.

        `executed`: True, False (surely not), or None (no answer: the worker may carry it out minutes from now).
        """
        if executed:
            machine.lost_answers = 0
        for attempt in launched:
            key = (attempt.name, attempt.number)
            if machine.attempts.get(key) is not attempt or attempt.phase is not Phase.SENT:
                continue
            if executed is None:
                attempt.phase = Phase.UNCONFIRMED
                machine.in_flight.add(key)
            else:
                attempt.phase = Phase.PLANNED
                if not attempt.wanted:
                    self._lose(attempt, now, attempt.stop_reason)
        if executed is not True:
            for attempt in machine.attempts.values():
                attempt.kill_sent_at = -1.0

    # --- after taking over ------------------------------------------------------------------------

    def rebuilding(self) -> bool:
        """Whether machines are left that this leader has not verified since it took over."""
        return bool(self.unverified)

    def count_unverified_usage(self) -> None:
        """Count tasks that may run unseen against their teams' limits.

        While machines are unverified these are the unreported tasks of jobs from earlier terms, also of cancelled jobs,
        up to the capacity of these machines. Tasks that a machine reports although another one is known to run them
        count at all times.
        """
        usage: dict[str, Usage] = {}
        if self.rebuilding():
            machines = [self.machines.get(name) for name in self.unverified]
            usage = unseen_usage(self.jobs.values(), self.cancelled.unverified.values(), machines)
        else:
            self.cancelled.unverified.clear()
        for tasks in self.unknown_tasks.values():  # holds no exited tasks
            for name, _ in tasks:
                if (spec := self._spec_of_task(name)) is not None:
                    usage.setdefault(spec.team, Usage()).add(spec, 1)
        self.quota.unverified = usage

    def _spec_of_task(self, task: str) -> JobSpec | None:
        parts = split_task(task)
        if parts is None:
            return None
        job = self.jobs.get(parts[0])
        return job.spec if job is not None else self._spec_of(parts[0])
