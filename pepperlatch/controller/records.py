"""What a leader keeps in the state service besides hires: machines, and which tasks are done."""

import logging
from collections.abc import Callable
from functools import partial

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.duty import Duty
from pepperlatch.controller.writer import Write
from pepperlatch.policy.model import Job
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import JobState

log = logging.getLogger(__name__)


class Records:
    def __init__(self, duty: Duty, on_recorded: Callable[[str], None]) -> None:
        self._duty = duty
        self._on_recorded = on_recorded
        self._persist_at = 0.0
        self._tidied: set[str] = set()

    def record(self, now: float) -> None:
        for machine in sorted(self._duty.cluster.to_record, key=lambda m: m.name):
            record = store.MachineRecord(machine.addr, machine.type.name, machine.zone, machine.spot, machine.draining)
            changes = [wire.put(store.MACHINE + machine.name, wire.to_plain(record))]
            self._duty.writer.add(Write(changes, partial(self._recorded, machine.name)))
        self._duty.cluster.to_record.clear()

    def _recorded(self, name: str, applied: bool) -> None:
        self._duty.owner.post(lambda: self._now_recorded(name))

    def _now_recorded(self, name: str) -> None:
        self._duty.cluster.recorded(name, self._duty.clock())
        self._on_recorded(name)

    def persist(self, now: float) -> None:
        if not self._duty.cluster.unsaved:
            return
        partly = now - self._persist_at >= c.MIN_PERSIST_INTERVAL_S
        for job_id in list(self._duty.cluster.unsaved):
            job = self._duty.cluster.jobs.get(job_id)
            if job is None or job.over:
                self._duty.cluster.unsaved.discard(job_id)
            elif job.finishing:
                continue
            elif len(job.done) == job.spec.tasks:
                self._finish(job)
            elif partly and len(job.saved) < len(job.done):
                self._persist_at = now
                self._save_tasks(job)

    def _finish(self, job: Job) -> None:
        """The job is over; nobody is told before the state service holds that."""
        job_id = job.spec.id
        job.finishing = True
        record = store.JobRecord(JobState.DONE.value, tasks=job.spec.tasks, ended=self._duty.wall())
        changes = [wire.put(store.JOB + job_id, wire.to_plain(record))]

        def done(applied: bool) -> None:
            changed = "" if applied else ", but it was changed meanwhile"
            log.info("job %s done%s", job_id, changed, extra={"job": job_id})
            job.finishing = False

        self._duty.writer.add(Write(changes, done, [wire.version_condition(store.JOB + job_id, job.version)]))
        self._duty.cluster.unsaved.discard(job_id)

    def tidy(self, job_id: str) -> None:
        """What was kept of a job that is over goes in portions, after its final state is stored and never before."""
        if job_id not in self._tidied:
            keys = self._duty.replica.leftovers(job_id)
            if keys:
                self._tidied.add(job_id)
            for key in keys:
                self._duty.writer.add(Write([wire.delete(key)], lambda applied: None), later=True)

    def _save_tasks(self, job: Job) -> None:
        """Each value is conditional on its version, so that a late older write cannot undo a newer.

        As many at once as one transaction takes; the rest follows.
        """
        job.finishing = True
        limits = self._duty.settings.params.state
        replica = self._duty.replica
        savings = store.savings(replica, job.spec.id, job.done, job.saved, limits.value_kb)
        savings = savings[: self._duty.writer.later_most()]
        when = [wire.version_condition(saving.key, saving.version) for saving in savings]
        changes = [wire.put(saving.key, saving.value) for saving in savings]
        tasks = set().union(*(saving.tasks for saving in savings))

        def done(applied: bool) -> None:
            self._duty.owner.post(lambda: self._saved(job, tasks if applied else set()))

        self._duty.writer.add(Write(changes, done, when), later=True)

    def _saved(self, job: Job, tasks: set[int]) -> None:
        job.finishing = False
        tasks |= self._duty.replica.done_tasks(job.spec.id)
        job.saved |= tasks
        job.done |= tasks
        if len(job.saved) < len(job.done) or len(job.done) == job.spec.tasks:
            self._duty.cluster.unsaved.add(job.spec.id)
        else:
            self._duty.cluster.unsaved.discard(job.spec.id)
