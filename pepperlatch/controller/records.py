"""What a leader records in the state service besides hires: machines, finished tasks and finished jobs."""

import logging
from collections.abc import Callable
from functools import partial

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.leader_context import LeaderContext
from pepperlatch.controller.writer import Write
from pepperlatch.policy.model import Job
from pepperlatch.protocol import wire
from pepperlatch.protocol.wire import JobState

log = logging.getLogger(__name__)


class Records:
    """Queues the records' writes; called in the command loop after each batch, while the leader's lease is valid.

    `on_recorded` is called in the command loop with the name of each machine whose record the state service holds.
    """

    def __init__(self, context: LeaderContext, on_recorded: Callable[[str], None]) -> None:
        self._context = context
        self._on_recorded = on_recorded
        self._tasks_saved_at = 0.0
        self._leftovers_deleted: set[str] = set()

    def record_machines(self, now: float) -> None:
        """Queue the records of all machines in `Cluster.to_record`."""
        for machine in sorted(self._context.cluster.to_record, key=lambda m: m.name):
            record = store.MachineRecord(machine.addr, machine.type.name, machine.zone, machine.spot, machine.draining)
            changes = [wire.put(store.MACHINE + machine.name, wire.to_plain(record))]
            self._context.writer.add(Write(changes, partial(self._machine_write_done, machine.name)))
        self._context.cluster.to_record.clear()

    def _machine_write_done(self, name: str, applied: bool) -> None:
        self._context.command_loop.enqueue(lambda: self._on_machine_recorded(name))

    def _on_machine_recorded(self, name: str) -> None:
        self._context.cluster.recorded(name, self._context.clock())
        self._on_recorded(name)

    def record_tasks(self, now: float) -> None:
        """Record jobs whose tasks are all finished, and the finished tasks of others every `MIN_PERSIST_INTERVAL_S`."""
        if not self._context.cluster.unsaved_jobs:
            return
        save_partial = now - self._tasks_saved_at >= c.MIN_PERSIST_INTERVAL_S
        for job_id in list(self._context.cluster.unsaved_jobs):
            job = self._context.cluster.jobs.get(job_id)
            if job is None or job.over:
                self._context.cluster.unsaved_jobs.discard(job_id)
            elif job.finishing:
                continue
            elif len(job.done) == job.spec.tasks:
                self._finish(job)
            elif save_partial and len(job.saved) < len(job.done):
                self._tasks_saved_at = now
                self._save_tasks(job)

    def _finish(self, job: Job) -> None:
        """Record the job as done; users are told so only once the state service holds that."""
        job_id = job.spec.id
        job.finishing = True
        record = store.JobRecord(JobState.DONE.value, tasks=job.spec.tasks, ended=self._context.wall())
        changes = [wire.put(store.JOB + job_id, wire.to_plain(record))]

        def on_outcome(applied: bool) -> None:
            changed = "" if applied else ", not recorded: its record was changed meanwhile, as by a cancellation"
            log.info("job %s done%s", job_id, changed, extra={"job": job_id})
            job.finishing = False

        self._context.writer.add(Write(changes, on_outcome, [wire.version_condition(store.JOB + job_id, job.version)]))
        self._context.cluster.unsaved_jobs.discard(job_id)

    def delete_leftovers(self, job_id: str) -> None:
        """Delete a finished or cancelled job's other keys, one write each; only after its final state is stored."""
        if job_id not in self._leftovers_deleted:
            keys = self._context.replica.leftover_keys(job_id)
            if keys:
                self._leftovers_deleted.add(job_id)
            for key in keys:
                self._context.writer.add(Write([wire.delete(key)], lambda applied: None), deferred=True)

    def _save_tasks(self, job: Job) -> None:
        """Record finished tasks of an unfinished job in as many values as fit into one transaction; the rest follows.

        Each value is conditional on the version it replaces, so that a delayed older write cannot undo a newer one.
        """
        job.finishing = True
        limits = self._context.settings.params.state
        replica = self._context.replica
        task_writes = store.done_task_writes(replica, job.spec.id, job.done, job.saved, limits.value_kb)
        task_writes = task_writes[: self._context.writer.max_deferred_changes()]
        conditions = [wire.version_condition(task_write.key, task_write.version) for task_write in task_writes]
        changes = [wire.put(task_write.key, task_write.value) for task_write in task_writes]
        tasks = set().union(*(task_write.tasks for task_write in task_writes))

        def on_outcome(applied: bool) -> None:
            self._context.command_loop.enqueue(lambda: self._saved(job, tasks if applied else set()))

        self._context.writer.add(Write(changes, on_outcome, conditions), deferred=True)

    def _saved(self, job: Job, tasks: set[int]) -> None:
        """Take in the outcome of `_save_tasks`: `tasks` are those that were recorded, none if the write failed."""
        job.finishing = False
        tasks |= self._context.replica.done_tasks(job.spec.id)
        job.saved |= tasks
        job.done |= tasks
        if len(job.saved) < len(job.done) or len(job.done) == job.spec.tasks:
            self._context.cluster.unsaved_jobs.add(job.spec.id)
        else:
            self._context.cluster.unsaved_jobs.discard(job.spec.id)
