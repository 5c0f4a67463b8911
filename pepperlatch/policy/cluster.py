"""The leader's picture of jobs, tasks and machines, and how reports and results change it.

No I/O and no clock: every method is told the time. What has to happen outside is left in `touched`,
`unsaved`, `to_record` and `to_release` for the daemon to carry out.
"""

import heapq
import logging
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pepperlatch.constants import core as c
from pepperlatch.policy import reasons
from pepperlatch.policy.boots import Boots
from pepperlatch.policy.cancellations import CancelledOn
from pepperlatch.policy.cancelled_tasks import CancelledSince, CancelledTasks
from pepperlatch.policy.delegation import DelegationAnswer, Delegations, DelegationStatement
from pepperlatch.policy.events import Listener, Nobody
from pepperlatch.policy.images import ImageMemory
from pepperlatch.policy.model import Attempt, Job, Machine, Phase, Status, split_task
from pepperlatch.policy.quota import Quota, Use
from pepperlatch.policy.reasons import Reason
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import Cause, JobSpec, Kind, MachineType, Report, TaskReport, TaskState
from pepperlatch.settings import Params

log = logging.getLogger(__name__)
Key = tuple[str, int]
SILENT, SILENT_CANCELLED = "silent", "silent, perhaps with a cancelled task"
BEGAN = ""  # in the answer of a node that may stand in: its process's age, among ages under machines' names
SpecOf = Callable[[str], JobSpec | None]


def _fields(attempt: Attempt) -> dict[str, Any]:
    """Of a line in the log."""
    return {"job": attempt.job.spec.id, "task": attempt.task, "machine": attempt.machine.name}


@dataclass(slots=True)
class StandIn:
    """What the leader knows of a controller that may keep leases alive in its place."""

    answered_at: float = float("-inf")  # when we last answered its contact
    barred_until: float = float("-inf")  # it promised not to stand in before
    began_at: float = float("inf")  # its process began no later; what an earlier one did, nobody can tell


class Cluster:
    def __init__(
        self, node: str, token: int, params: Params, now: float, hold_s: float, spec_of: SpecOf,
        cancelled_since: CancelledSince = lambda job_id: math.inf,
    ) -> None:  # fmt: skip
        self.node = node
        self.token = token
        self.params = params
        self.hold_s = hold_s
        self.blind_until = now + hold_s + params.workers.lease_s * (1 + c.CLOCK_DRIFT)
        self._spec_of = spec_of  # of a job that is over, whose tasks may still show up
        self._cancelled_since = cancelled_since
        self.types: dict[str, MachineType] = {}
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.gone: dict[str, None] = {}
        self.strays: dict[str, dict[Key, TaskReport]] = {}
        self.quota = Quota({team.name: team for team in params.teams})
        self.unaccounted: set[str] = set()
        self.cancelled = CancelledTasks(lambda job_id: self._cancelled_since(job_id), params.workers.cancel_s)
        self.touched: set[Machine] = set()
        self.unsaved: set[str] = set()
        self.to_record: set[Machine] = set()
        self.to_release: set[str] = set()
        self.releasing: set[str] = set()  # asked for; the cloud may carry that out at any time
        self.dirty = True
        self.higher_token = False
        self._next = 0
        self.started = now
        self.stand_ins: dict[str, StandIn] = {}
        self.peer_heard: dict[str, float] = {}  # when another controller last answered us
        self.delegations = Delegations()
        self.images = ImageMemory()
        self.boots = Boots()
        self.listener: Listener = Nobody()

    # --- jobs -------------------------------------------------------------------------------------

    def add_job(self, spec: JobSpec, version: int, since: float, done: set[int], over: bool = False) -> Job:
        job = Job(spec, version, since, version <= self.token, set(done), set(done), over=over)
        if not over:
            job.waiting = deque(task for task in range(spec.tasks) if task not in done)
            if not job.waiting:
                self.unsaved.add(spec.id)
        job.reason_since = since
        self.jobs[spec.id] = job
        self.dirty = True
        return job

    def end_job(self, job_id: str, now: float, done: bool = False) -> None:
        """The job is cancelled or done: whatever of it still runs has to go."""
        job = self.jobs.get(job_id)
        if job is None:
            return
        if job.old and not job.over and not done:
            self.depart(job.spec, job.spec.tasks - len(job.done) - len(job.live), now)
        job.over = True
        if not done:
            self._stray_cancelled(job_id, now)
        job.waiting.clear()
        self.unsaved.discard(job_id)
        for attempt in list(job.live.values()):
            self._stop_over(attempt, now, cancelled=not done)
        if not job.live:
            self.jobs.pop(job_id, None)
        self.dirty = True

    def _stop_over(self, attempt: Attempt, now: float, cancelled: bool) -> None:
        self.stop(attempt, 0.0, "the job is over")
        if cancelled and (attempt.name, attempt.number) in attempt.machine.attempts:
            self.cancelled.may_hold(attempt.machine, attempt.name, attempt.job.spec.id, now)

    def _stray_cancelled(self, job_id: str, now: float) -> None:
        """A task that one machine shows though another runs it has to go with its job as well."""
        for name, tasks in self.strays.items():
            machine = self.machines.get(name)
            for task, _ in tasks:
                if machine is not None and task.rpartition("/")[0] == job_id:
                    self.cancelled.may_hold(machine, task, job_id, now)

    def _may_hold_stray(self, machine: Machine, task: str, now: float) -> None:
        job_id = task.rpartition("/")[0]
        if math.isfinite(self._cancelled_since(job_id)):
            self.cancelled.may_hold(machine, task, job_id, now)

    def _holds_cancelled(self, machine: Machine) -> bool:
        """Whether a task of a job that is over may be there, as far as reports have shown."""
        strays = (task.rpartition("/")[0] for task, _ in self.strays.get(machine.name, {}))
        return any(attempt.job.over for attempt in machine.attempts.values()) or any(
            job.over if (job := self.jobs.get(job_id)) is not None else self._spec_of(job_id) is not None
            for job_id in strays
        )

    def depart(self, spec: JobSpec, unseen: int, now: float) -> None:
        """The job was cancelled; so many of its tasks may yet be on machines that nobody can ask."""
        if unseen > 0 and self.rebuilding():
            self.cancelled.depart(spec, unseen, now)

    def departed_since(self, now: float) -> float:
        """Since when a job may have been cancelled that may have tasks on unaccounted machines; infinite: none was."""
        return self.cancelled.departed_since(now) if self.rebuilding() else math.inf

    def cancelled_since(self, machine: Machine, departed_since: float) -> float:
        """Since when the machine may hold a task of a cancelled job; infinite if it holds none.

        One that has not shown our token may hold more than its reports have shown, which may have been under way for
        long: any task of a job that was cancelled lately.
        """
        unaccounted = machine.name in self.unaccounted
        return min(machine.cancelled_since, departed_since) if unaccounted else machine.cancelled_since

    def last_heard(self) -> list[str]:
        """Machines that others should reach if they reach any: asked too by one that does not reach a silent one."""
        up = (m for m in self.machines.values() if m.status is Status.UP and m.seen_at >= 0)
        return [m.addr for m in heapq.nlargest(c.MAX_WITNESSES, up, key=lambda m: (m.seen_at, m.name))]

    def cancelled_on(self, now: float) -> list[CancelledOn]:
        """The machines that may hold a task of a cancelled job; those that were not heard of for longest first."""
        departed_since = self.departed_since(now)
        found = [(m, self.cancelled_since(m, departed_since)) for m in self.machines.values() if m.addr]
        found = [(machine, since) for machine, since in found if math.isfinite(since)]
        found.sort(key=lambda row: (row[0].seen_at, row[0].name))
        return [CancelledOn(m.name, m.addr, now - since) for m, since in found[: c.MAX_CANCELLED_MACHINES_SENT]]

    def explain(self, job: Job, reason: Reason, now: float) -> None:
        """State why the job waits, or that it does not."""
        if job.explain(reason, now):
            self.listener.explained(job, now)
            if log.isEnabledFor(logging.DEBUG):
                log.debug("%s: %s", job.spec.id, reason.text(), extra={"job": job.spec.id})

    # --- attempts ---------------------------------------------------------------------------------

    def new_number(self) -> int:
        self._next += 1
        return (self.token << c.ATTEMPT_NUMBER_BITS) + self._next

    def place(self, job: Job, task: int, machine: Machine, now: float, number: int | None = None) -> Attempt:
        """Counts against room and limits from here on. The caller has taken the task off `waiting`."""
        attempt = Attempt(job, task, number or self.new_number(), machine, now)
        image = "held" if machine.holds_image(job.spec) else "fetching" if machine.fetches_image(job.spec) else "absent"
        self._register(attempt)
        self.listener.placed(attempt, now)
        log.info(
            "place %s try %d on %s, image %s", attempt.name, attempt.number, machine.name, image,
            extra=_fields(attempt),
        )  # fmt: skip
        return attempt

    def _register(self, attempt: Attempt) -> None:
        machine, job = attempt.machine, attempt.job
        job.live[attempt.task] = attempt
        machine.add(attempt)
        self.quota.of(job.spec.team).add(job.spec, 1)
        self.touched.add(machine)

    def stop(self, attempt: Attempt, grace_s: float, why: str) -> None:
        attempt.stopped_for = attempt.stopped_for or why
        if attempt.wanted or grace_s < (attempt.kill_grace or 0.0):
            attempt.kill_grace = grace_s
            attempt.kill_sent = -1.0
        if attempt.phase is Phase.PLANNED:
            self._lose(attempt, attempt.planned_at, why)
        self.touched.add(attempt.machine)

    def undo(self, attempt: Attempt) -> None:
        """Take back a placement that was never sent."""
        self._remove(attempt, attempt.planned_at, "not sent")
        attempt.job.waiting.appendleft(attempt.task)

    def _lose(self, attempt: Attempt, now: float, cause: str) -> None:
        """The task is proven gone from its machine, and has to start anew unless it is over.

        Once only: the loss of one task of a gang takes along others that a caller may still have in its list, and
        a task that waits twice runs twice.
        """
        if self._remove(attempt, now, cause):
            self._requeue(attempt, now)

    def _remove(self, attempt: Attempt, now: float, cause: str) -> bool:
        """Whether it was there until now."""
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

    def _shown_elsewhere(self, attempt: Attempt, now: float) -> bool:
        """Whether another machine shows the task, which was not taken for running there while this one was known.

        Seen after a takeover: a late report of a session that is over came before that of the machine on which the
        task had been started anew since. What runs there is kept; to start it once more would run it twice.
        """
        for name, tasks in self.strays.items():
            machine = self.machines.get(name)
            for key, task in list(tasks.items()):
                if key[0] == attempt.name and machine is not None:
                    del tasks[key]
                    other = self._adopt(machine, task, now)
                    if other is not None:
                        self._progress(other, task.state, now)
                        return True
        return False

    def _requeue(self, attempt: Attempt, now: float) -> None:
        job = attempt.job
        if job.spec.kind is Kind.GANG:
            self._gang_lost(job, attempt.number)
        if job.over:
            if not job.live:
                self.jobs.pop(job.spec.id, None)
        elif attempt.task not in job.done and attempt.task not in job.live and not self._shown_elsewhere(attempt, now):
            job.waiting.appendleft(attempt.task)

    def _gang_lost(self, job: Job, number: int) -> None:
        """A gang lives or dies together: the rest of that attempt must be gone before it starts again."""
        for other in list(job.live.values()):
            if other.number == number and other.wanted and other.state in (None, TaskState.FETCHING, TaskState.WAITING):
                self.stop(other, 0.0, "its gang lost a task")

    # --- reports ----------------------------------------------------------------------------------

    def on_report(
        self, report: Report, now: float, beat: bool, through_others: bool = False, asked_at: float = float("-inf")
    ) -> Machine | None:
        """Take in a report; None for machines that are gone or of an unknown type.

        `beat`: it waits for an answer with orders. `through_others`: another controller asked the worker; what
        we want of it cannot go back that way. `asked_at`: it is the answer to a question that was sent then.
        """
        if report.token > self.token:
            self.higher_token = True
            return None
        if report.machine in self.gone:
            return None
        if report.machine not in self.machines and report.tasks and report.token < self.token:
            return None  # recorded before its first launch, until it is gone: this was said before it was returned
        machine = self.machines.get(report.machine) or self._meet(report, now)
        if machine is None:
            return None
        if (report.session, report.seq) <= (machine.session, machine.seq):
            self._older(machine, asked_at)
            return machine
        if report.session <= machine.over_session:
            return machine  # late: nothing that it shows is there any more
        if beat:
            self._heard(machine, report)
        if report.session > machine.session:
            self._all_gone(machine, now, "its worker began anew")
            machine.began_by = now  # nobody may have answered this session yet: its lease runs from its beginning
            if machine.session and not beat:
                machine.beat_at = -1.0  # its lease ended, and it has not reported since: it may reach nobody
        machine.session, machine.seq, machine.addr = report.session, report.seq, report.addr
        machine.newest_at = now
        machine.seen_at, machine.probes, machine.probes_unheard = now, 0, 0
        if not through_others:
            machine.reached_at = now
        if beat:
            machine.beat_at = now
        if report.notice_s is not None:
            self._noticed(machine, now + report.notice_s)
        if machine.leaves_silent and machine.name not in self.releasing:
            log.info("%s is heard of again", machine.name)
            machine.status, machine.leaves_silent, machine.return_needs_lease = Status.UP, False, True
            self.to_release.discard(machine.name)
        self._account(machine, report, now)
        self._tasks(machine, report, now, beat)
        if math.isfinite(machine.cancelled_since) and not self._holds_cancelled(machine):
            self.cancelled.holds_none(machine, now)
        return machine

    def _noticed(self, machine: Machine, at: float) -> None:
        """The cloud takes the machine then, or sooner: each report may have been under way for seconds."""
        if machine.notice_at is None:
            self.dirty = True
        machine.notice_at = at if machine.notice_at is None else min(machine.notice_at, at)

    def _heard(self, machine: Machine, report: Report) -> None:
        """Whether our answers arrive there. A worker reports again only once it has the last answer or has dropped it.

        So a later report without our token disproves all answers of ours: they renewed no lease. Else a machine that
        reports and hears nothing would keep the tasks of all older jobs waiting for as long as that lasts.
        """
        if report.token < self.token and not machine.fenced and machine.answered_at >= 0:
            machine.answered_at = -1.0
        if machine.offered is not None and report.seq > machine.offered[0]:
            shown = {(task.task, task.attempt) for task in report.tasks}
            arrived = report.session == machine.session and not shown.isdisjoint(machine.offered[1])
            machine.unheard = 0 if arrived else machine.unheard + 1
            machine.offered = None
            if machine.unheard == c.MAX_LOST_LAUNCH_ANSWERS:
                log.info("%s does not hear us", machine.name, extra={"machine": machine.name})

    def _older(self, machine: Machine, asked_at: float) -> None:
        """A message with an older number is late, unless it answers what was asked after the newest had come.

        Numbers grow with every message of a worker. One that counts from the beginning has lost its tasks and its
        token, and would carry out what was held for it before: only the machine's return proves that gone.
        """
        if asked_at > machine.newest_at:
            self.release(machine, "its worker began anew under old numbers")

    def _meet(self, report: Report, now: float) -> Machine | None:
        kind = self.types.get(report.type)
        if kind is None:
            return None
        log.info("unexpected machine %s (%s %s)", report.machine, report.type, report.zone)
        machine = Machine(report.machine, kind, report.zone, report.spot, report.addr, Status.BOOTING, now)
        machine.unexpected = True
        self.machines[machine.name] = machine
        return machine

    def _account(self, machine: Machine, report: Report, now: float) -> None:
        """One that nobody rented or listed may be an old report only: it has to show that it has heard us."""
        if report.token == self.token and not machine.fenced:
            machine.fenced = True
            machine.began_by = now  # until then an earlier leader may have answered it
            self._accounted(machine.name, now)
        if machine.status is Status.BOOTING and (machine.fenced or machine.listed or not machine.unexpected):
            machine.status = Status.JOINING
            self.to_record.add(machine)

    def _accounted(self, name: str, now: float) -> None:
        if name in self.unaccounted:
            self.unaccounted.discard(name)
            self.dirty = True
            if not self.unaccounted:
                took = f"all machines accounted for, {now - self.started:.1f} s after taking over"
                log.info("%s", took)
                self.listener.noted("takeover", took, now)

    def recorded(self, name: str, now: float) -> None:
        machine = self.machines.get(name)
        if machine is not None and machine.status is Status.JOINING:
            machine.status = Status.UP
            machine.up_at = now
            self.boots.came_up(machine.type, now - machine.born)
            if not machine.attempts:
                machine.idle_since = now
            self.dirty = True
            log.info("machine %s up after %.1f s", name, now - machine.born, extra={"machine": name})
            self.listener.machine(machine, "up", "", now)

    def _tasks(self, machine: Machine, report: Report, now: float, beat: bool) -> None:
        shown = {(t.task, t.attempt): t for t in report.tasks}
        machine.ended = {key: t for key, t in shown.items() if t.state is TaskState.EXITED}
        machine.unreaped = {key: until for key, until in machine.unreaped.items() if key in machine.ended}
        strays = {}
        for key, task in shown.items():
            attempt = machine.attempts.get(key)
            if task.state is TaskState.EXITED:
                self._exited(machine, attempt, task, now)
            elif attempt is not None or (attempt := self._adopt(machine, task, now)) is not None:
                self._progress(attempt, task.state, now)
            else:
                strays[key] = task
                self._may_hold_stray(machine, key[0], now)
        if strays:
            self.strays[machine.name] = strays
        else:
            self.strays.pop(machine.name, None)
        for key, attempt in list(machine.attempts.items()):
            if key not in shown:
                self._absent(machine, key, attempt, report.seq, beat, now)

    def _progress(self, attempt: Attempt, state: TaskState, now: float) -> None:
        if attempt.phase is not Phase.THERE:
            attempt.phase = Phase.THERE
            self.touched.add(attempt.machine)
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

    def remember(self) -> None:
        """What an earlier leader knew of the machines' images; a guess, until tasks are seen running."""
        for _, machine, image, gb in list(self.images.on(self.machines)):
            self.machines[machine].used_image(image, gb)

    def _absent(self, machine: Machine, key: Key, attempt: Attempt, seq: int, beat: bool, now: float) -> None:
        """Not in the newest report. Only a launch sent in a report's answer is disproved by that.

        A direct launch may still be in flight, for minutes if a cut holds it: it stays "possibly there".
        """
        if attempt.phase is Phase.THERE and key not in machine.sticky:
            self._lose(attempt, now, "not on its machine any more")
        elif attempt.phase is Phase.SENT and beat and 0 <= attempt.sent_seq < seq and key not in machine.sticky:
            attempt.phase = Phase.PLANNED
            if not attempt.wanted:
                self._lose(attempt, now, attempt.stopped_for)
            elif machine.unheard >= c.MAX_LOST_LAUNCH_ANSWERS:
                self._lose(attempt, now, "its machine does not hear us")
            self.touched.add(machine)

    def _adopt(self, machine: Machine, task: TaskReport, now: float) -> Attempt | None:
        """A running task that this leader has not started: an earlier leader did.

        A task is started anew only once it is proven gone, and numbers grow. So of two attempts that are shown the one
        with the smaller number is old news, though it may have come first; it counts until it is proven gone.
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
            self.cancelled.seen(job.spec.id)
        attempt = Attempt(job, parts[1], task.attempt, machine, now, Phase.THERE)
        self._register(attempt)
        if parts[1] in job.waiting:
            job.waiting.remove(parts[1])
        if job.over or parts[1] in job.done:  # every task of it, not only the first one that shows up
            self._stop_over(attempt, now, cancelled=job.over)
        return attempt

    def _exited(self, machine: Machine, attempt: Attempt | None, task: TaskReport, now: float) -> None:
        parts = split_task(task.task)
        job = self.jobs.get(parts[0]) if parts else None
        if attempt is not None:
            log.info(
                "%s try %d on %s ended: %s", task.task, task.attempt, machine.name,
                task.end_cause.value if task.end_cause else "",
                extra=_fields(attempt),
            )  # fmt: skip
            cause = task.end_cause.value if task.end_cause else "ended"
            self._remove(attempt, now, (task.end_cause is Cause.STOPPED and attempt.stopped_for) or cause)
        if attempt is not None and attempt.sent_seq < 0 and task.end_cause is not Cause.DONE:
            machine.unreaped[(task.task, task.attempt)] = now + c.DUPLICATE_LAUNCH_WINDOW_S
        if parts and job is not None and task.end_cause is Cause.DONE:
            self._finished(job, parts[1], attempt, now)
        if attempt is not None:
            self._judge(machine, attempt, task, now)
            self._requeue(attempt, now)

    def _finished(self, job: Job, task: int, attempt: Attempt | None, now: float) -> None:
        if task >= job.spec.tasks or task in job.done or job.over:
            return
        job.done.update(range(job.spec.tasks) if job.spec.kind is Kind.GANG else [task])
        for number in [t for t in job.waiting if t in job.done]:
            job.waiting.remove(number)
        other = job.live.get(task)
        if other is not None:
            self.stop(other, 0.0, "done already")
        self.unsaved.add(job.spec.id)
        self.dirty = True
        if attempt is not None and attempt.running_at is not None:
            attempt.machine.failed_tasks.clear()
            if job.spec.estimate_s > 0:
                attempt.machine.pace.append((now - attempt.running_at) / job.spec.estimate_s)
                del attempt.machine.pace[: -2 * c.SLOW_MACHINE_SAMPLES]

    def _judge(self, machine: Machine, attempt: Attempt, task: TaskReport, now: float) -> None:
        """Errors count against the machine, and against the job once several machines saw them."""
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
                log.info("quarantine %s: failed %s", machine.name, failed, extra={"machine": machine.name})
        elif task.end_cause is Cause.DONE:
            job.failed_on.discard(machine.name)
        elif task.end_cause in wire.LAUNCH_REFUSALS:
            job.not_before = now + c.JOB_BACKOFF_S

    def relayed(self, now: float) -> list[str]:
        """Machines that only other controllers reach: they are to pass on their reports at once."""
        return [m.name for m in self.machines.values() if now < m.relay_until]

    # --- machines going ---------------------------------------------------------------------------

    def _all_gone(self, machine: Machine, now: float, why: str) -> None:
        """A new session, or the machine itself is gone: nothing of the old one runs or can still start."""
        machine.sticky.clear()
        machine.ended.clear()
        self.strays.pop(machine.name, None)
        for attempt in list(machine.attempts.values()):
            self._lose(attempt, now, why)

    def remove_machine(self, name: str, now: float) -> None:
        """The cloud has confirmed that the machine is no more."""
        machine = self.machines.pop(name, None)
        self.delegations.forget(name)
        self.gone[name] = None
        self._accounted(name, now)
        self.to_release.discard(name)
        self.releasing.discard(name)
        if machine is not None:
            self._all_gone(machine, now, f"machine returned: {machine.leaves_for}")
            self.listener.machine(machine, "gone", machine.leaves_for, now)
            self.touched.discard(machine)
            self.to_record.discard(machine)
        self.dirty = True

    def release(self, machine: Machine, why: str) -> None:
        if machine.status is not Status.LEAVING:
            log.info("return %s: %s", machine.name, why, extra={"machine": machine.name})
            machine.status = Status.LEAVING
            machine.leaves_silent = why in (SILENT, SILENT_CANCELLED)
            machine.leaves_for = why
            self.to_record.discard(machine)
            self.to_release.add(machine.name)

    def lease_over(self, machine: Machine, now: float) -> bool:
        """Whether the session that we know of has surely ended, with all that was in it or is on its way into it.

        It ends a lease after it began or was last answered, whichever is later: by us, by a follower on our
        delegation, by one that stands in for us, or, as long as the worker has not seen our token, by an earlier
        leader. What we sent into it counts from its beginning; what an earlier leader sent, from the end of that one's
        time (`blind_until`).
        """
        lease_s = self.params.workers.lease_s * (1 + c.CLOCK_DRIFT) + c.WORKER_LEASE_MARGIN_S
        last = max(machine.answered_at, self.delegations.answered_until(machine.name))
        if machine.name not in self.unaccounted:
            last = max(last, machine.began_by)
        if not machine.fenced:
            last = max(last, self.blind_until + c.WORKER_LEASE_MARGIN_S - lease_s)
        return now > last + lease_s and all(
            (now <= other.barred_until and now > other.began_at + lease_s)
            or now > other.answered_at + self.hold_s + lease_s
            for other in self.stand_ins.values()
        )

    # --- delegated heartbeats ---------------------------------------------------------------------

    def settled(self, machine: Machine) -> bool:
        """Whether the machine's last report wants no order and tells nothing that is still to be dealt with."""
        return (
            machine.status is Status.UP
            and machine.fenced
            and machine.name not in self.unaccounted
            and machine.name not in self.strays
            and not machine.ended
            and not machine.unheard
            and machine.offered is None
            and machine.notice_at is None
            and math.isinf(machine.cancelled_since)
            and all(attempt.phase is Phase.THERE and attempt.wanted for attempt in machine.attempts.values())
        )

    def delegate(self, follower: str, statement: DelegationStatement, until: float, now: float) -> DelegationAnswer:
        """Take in what a follower holds, and let it answer heartbeats until then."""
        for last in self.delegations.take(follower, statement, now):
            machine = self.machines.get(last.machine)
            if machine is not None:
                machine.answered_at = max(machine.answered_at, last.at)
        revoked = []
        for grant in statement.held:
            machine = self.machines.get(grant.machine)
            if machine is None or machine.session != grant.session or not self.settled(machine):
                revoked.append(grant.machine)
            elif grant.heard_s >= 0:
                self._heard_through(machine, grant.heard_s, now)
        self.delegations.prolong(follower, until)
        return DelegationAnswer(max(0.0, until - now), self.delegations.number, revoked)

    def _heard_through(self, machine: Machine, heard_s: float, now: float) -> None:
        """A follower has answered its heartbeat; until the next one is late it counts as heard of."""
        if heard_s <= c.DELEGATION_LATE_REPORTS * self.params.workers.report_s:
            machine.seen_at = machine.reached_at = machine.beat_at = now
            machine.probes = machine.probes_unheard = 0
            return
        heard_at = max(machine.newest_at, now - heard_s)
        machine.seen_at = min(machine.seen_at, heard_at)
        machine.reached_at = min(machine.reached_at, heard_at)
        machine.beat_at = min(machine.beat_at, heard_at)

    def answered_peer(self, peer: str, now: float) -> None:
        """From here on the other controller may stand in for us, until `hold_s` after it asked."""
        self.stand_ins.setdefault(peer, StandIn()).answered_at = now

    def on_promise(self, peer: str, stood_in: dict[str, float], until: float, now: float) -> None:
        """The other controller will not stand in until then; for whom it did, and how long ago, it tells.

        It remembers only what its present process did: that began so long ago as stands under BEGAN. Without it (an
        earlier version) the promise counts for nothing, and only time does.
        """
        self.peer_heard[peer] = now
        other, began_s = self.stand_ins.get(peer), stood_in.get(BEGAN)
        if other is not None and began_s is not None:
            other.barred_until = until
            other.began_at = now - began_s
        for name, ago_s in stood_in.items():
            machine = self.machines.get(name)
            if machine is not None:
                machine.answered_at = max(machine.answered_at, now - max(0.0, ago_s))

    def expire(self, now: float) -> None:
        for machine in list(self.machines.values()):
            holds = machine.attempts or machine.name in self.unaccounted
            if holds and machine.status in (Status.UP, Status.LEAVING) and self.lease_over(machine, now):
                log.info("the lease of %s is over", machine.name, extra={"machine": machine.name})
                machine.over_session = machine.session  # what was sent into it can never be carried out
                self._all_gone(machine, now, "its machine's lease is over")
                self._accounted(machine.name, now)
                self.dirty = True

    # --- orders -----------------------------------------------------------------------------------

    def orders_for_heartbeat(self, machine: Machine, sure: bool, now: float) -> list[dict[str, Any]]:
        """Orders for the answer to the machine's newest report; settled by its next report."""
        orders: list[dict[str, Any]] = []
        offered = set()
        for key, attempt in list(machine.attempts.items()):
            absent = attempt.phase is not Phase.THERE
            more = self._order(attempt, machine.seq, now)
            orders += more
            if absent and more:
                offered.add(key)
        machine.offered = (machine.seq, frozenset(offered)) if offered else None
        for name, number in self.strays.get(machine.name, {}):
            orders.append(wire.kill(name, number, 0.0))
        if sure:
            orders += [
                wire.reap(*key) for key, task in machine.ended.items() if self._reapable(machine, key, task, now)
            ]
        return orders

    def _reapable(self, machine: Machine, key: Key, task: TaskReport, now: float) -> bool:
        """A finished task only once that is saved; never one whose launch may still arrive: it would run again.

        A copy of a direct launch may come though the launch was answered; what is done ends at once if it does.
        """
        if key in machine.sticky or key in machine.attempts or now < machine.unreaped.get(key, 0.0):
            return False
        parts = split_task(task.task)
        job = self.jobs.get(parts[0]) if parts else None
        return job is None or task.end_cause is not Cause.DONE or (parts is not None and parts[1] in job.saved)

    def _order(self, attempt: Attempt, seq: int, now: float) -> list[dict[str, Any]]:
        beat = seq >= 0
        name, number = attempt.name, attempt.number
        if attempt.phase is Phase.PLANNED or (attempt.phase is Phase.UNSURE and beat):
            orders = [wire.launch(name, number)]
            if attempt.phase is Phase.PLANNED:
                attempt.phase = Phase.SENT
                attempt.sent_seq = seq
            if not attempt.wanted:  # holding it, ended, is what makes a late launch harmless
                orders.append(wire.kill(name, number, 0.0))
            return orders
        if not attempt.wanted and attempt.phase is Phase.THERE and now - attempt.kill_sent >= c.KILL_REPEAT_S:
            grace = attempt.kill_grace or 0.0
            attempt.kill_sent = now
            return [wire.kill(name, number, grace)]
        return []

    def orders_direct(self, machine: Machine, now: float) -> tuple[list[dict[str, Any]], list[Attempt]]:
        orders: list[dict[str, Any]] = []
        launched: list[Attempt] = []
        for attempt in list(machine.attempts.values()):
            planned = attempt.phase is Phase.PLANNED
            more = self._order(attempt, -1, now)
            orders += more
            if planned and more:
                launched.append(attempt)
        return orders, launched

    def direct_result(self, machine: Machine, launched: list[Attempt], executed: bool | None, now: float) -> None:
        """executed: True, False (surely not), or None (no answer: it may happen minutes from now)."""
        if executed:
            machine.unheard = 0
        for attempt in launched:
            key = (attempt.name, attempt.number)
            if machine.attempts.get(key) is not attempt or attempt.phase is not Phase.SENT:
                continue
            if executed is None:
                attempt.phase = Phase.UNSURE
                machine.sticky.add(key)
            else:
                attempt.phase = Phase.PLANNED
                if not attempt.wanted:
                    self._lose(attempt, now, attempt.stopped_for)
        if executed is not True:
            for attempt in machine.attempts.values():
                attempt.kill_sent = -1.0

    # --- after taking over ------------------------------------------------------------------------

    def rebuilding(self) -> bool:
        return bool(self.unaccounted)

    def count_hidden(self) -> None:
        """While machines are unaccounted for, unseen older tasks may be running: they use their limits.

        Those of jobs that were cancelled as well, and no more than these machines hold. So does what a machine shows
        though another is known to run it.
        """
        hidden: dict[str, Use] = {}
        if self.rebuilding():
            for job in self.jobs.values():
                if job.old and not job.over:
                    unseen = job.spec.tasks - len(job.done) - len(job.live)
                    hidden.setdefault(job.spec.team, Use()).add(job.spec, unseen)
            for gone in self.cancelled.departed.values():
                hidden.setdefault(gone.spec.team, Use()).add(gone.spec, gone.unseen)
            self._cap(hidden)
        else:
            self.cancelled.departed.clear()
        for tasks in self.strays.values():  # none that has exited is among them
            for name, _ in tasks:
                if (spec := self._spec(name)) is not None:
                    hidden.setdefault(spec.team, Use()).add(spec, 1)
        self.quota.hidden = hidden

    def _cap(self, hidden: dict[str, Use]) -> None:
        """A worker refuses what it has no room for: so no more is hidden than its machine holds."""
        machines = [self.machines.get(name) for name in self.unaccounted]
        known = [machine for machine in machines if machine is not None]
        if len(known) < len(machines):
            return  # of an unknown type
        cpus, gpus = sum(m.type.cpus for m in known), sum(m.type.gpus for m in known)
        for use in hidden.values():
            use.cpus, use.gpus = min(use.cpus, cpus), min(use.gpus, gpus)

    def _spec(self, task: str) -> JobSpec | None:
        parts = split_task(task)
        if parts is None:
            return None
        job = self.jobs.get(parts[0])
        return job.spec if job is not None else self._spec_of(parts[0])
