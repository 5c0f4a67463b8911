"""The users' interface: submit, look up and cancel jobs. Every node serves it; the state service decides.

A submission or cancellation is confirmed only after its transaction was applied, and an answer about a job that is not
over rests on a reading that is no older than the request. If neither is possible in time the answer is 503 with
Retry-After.
"""

import logging
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.store import JobEntry, Replica, StateWatcher
from pepperlatch.policy import reasons
from pepperlatch.policy.model import fits_type
from pepperlatch.policy.quota import beyond_limit
from pepperlatch.policy.reasons import Reason, Why
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import NotExecuted, Outcome, OutcomeUnknown, Rejected, StateClient
from pepperlatch.protocol.wire import JobSpec, JobState, Kind, MachineType
from pepperlatch.settings import Settings

log = logging.getLogger(__name__)


# Called with job id, record and version of a stored cancellation before its user gets the answer.
CancellationNotifier = Callable[[str, store.JobRecord, int], Awaitable[None]]


async def notify_nobody(job_id: str, record: store.JobRecord, version: int) -> None:
    """A CancellationNotifier that notifies no other controller."""


class Malformed(Exception):
    """The description does not have the form or the amounts that the protocol allows; answered with 400."""


class Unsatisfiable(Exception):
    """The job is well-formed, but could never run here; answered with 422."""


@dataclass(slots=True)
class JobProgress:
    """What the leader adds to a job's recorded state. It may be a little old; an answer never depends on it."""

    running: int  # tasks
    done: int  # tasks
    reason: Reason
    waited_s: float  # how long the reason has held


@dataclass(slots=True)
class _Submission:
    """A checked job on its way into the state service."""

    spec: JobSpec
    settled: trio.Event = field(default_factory=trio.Event)  # its transaction has ended, whatever the outcome
    created: bool | None = None  # False: the id exists already; None: not decided
    parts: list[str] = field(default_factory=list)  # pieces of a description that one value cannot hold

    def changes(self, at: float) -> list[dict[str, Any]]:
        """The writes that store the job; `at`: time of day of the submission, in seconds."""
        return store.creation_changes(self.spec, self.parts, at)


def parse_job(body: bytes) -> Any:
    """The JSON object in the body. Raises Malformed if there is none."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise Malformed(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise Malformed("not an object")
    return value


def check_job(value: Any) -> JobSpec:
    """The description, with repeated `needs` removed. Raises Malformed."""
    try:
        spec: JobSpec = wire.convert(value, JobSpec)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from None
    if not store.is_job_id(spec.id):
        raise Malformed("not a job id")
    if not 1 <= spec.tasks <= c.MAX_TASKS:
        raise Malformed("the number of tasks is out of range")
    amounts = (
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.estimate_s,
        spec.checkpoint_s,
        spec.save_s,
        spec.deadline_s or 0.0,
    )
    if not all(math.isfinite(amount) and 0 <= amount <= c.MAX_AMOUNT for amount in amounts):
        raise Malformed("an amount is negative or not finite")
    return msgspec.structs.replace(spec, needs=list(dict.fromkeys(spec.needs or ())) or None)


def check_possible(spec: JobSpec, settings: Settings, types: list[MachineType]) -> None:
    """Raise Unsatisfiable if the job exceeds its team's limit or can never be placed on these machine types."""
    team = next((t for t in settings.params.teams if t.name == spec.team), None)
    if team is None:
        raise Unsatisfiable("unknown team")
    if beyond := beyond_limit(spec, team):
        raise Unsatisfiable(beyond)
    fitting = [t for t in types if fits_type(spec, t) and (spec.types is None or t.name in spec.types)]
    if not fitting:
        allowed = "any" if spec.types is None else ", ".join(spec.types[: c.MAX_NAMES_SHOWN])
        raise Unsatisfiable(f"a task of {reasons.task_size_text(spec)} fits no allowed machine type ({allowed})")
    if spec.zone is not None and not any(spec.zone in t.zones for t in fitting):
        raise Unsatisfiable(f"no machine type that a task fits exists in zone {spec.zone[: c.MAX_NAME_CHARS_SHOWN]}")
    if spec.spread and spec.tasks > 1 and spec.kind is not Kind.ARRAY:  # they run at once, at most half in one zone
        zones = {zone for t in fitting for zone in t.zones if spec.zone in (None, zone)}
        if spec.one_zone or len(zones) < 2:
            raise Unsatisfiable("its tasks must be apart, and there is only one zone for them all")


def recorded_reason(replica: Replica, job_id: str) -> Reason | None:
    """Why a job waits or ended as far as the records tell: it waits for other jobs, or one that it needs was cancelled.

    None if the records give no reason.
    """
    entry = replica.jobs[job_id]
    if entry.state in wire.FINAL_JOB_STATES:
        through = entry.through
        return None if through is None or through == job_id else Reason(Why.NEED_CANCELLED, names=(through,))
    waits_for = replica.prerequisites.unmet_needs(job_id)
    return Reason(Why.NEEDS, names=tuple(waits_for)) if waits_for else None


def retry_later() -> Response:
    """The answer to a request that cannot be decided in time: 503 with Retry-After."""
    return Response(503, {"error": "cannot be decided now"}, {"Retry-After": str(c.RETRY_AFTER_S)})


class UserApi:
    """Jobs as users see them.

    `wall`: time of day, in seconds; `progress`: what the leader says of a job; `notify_cancelled`: called after a
    cancellation is stored and before its user is answered.
    """

    def __init__(
        self, settings: Settings, watcher: StateWatcher, state: StateClient, wall: Callable[[], float],
        progress: Callable[[str], JobProgress | None], notify_cancelled: CancellationNotifier = notify_nobody,
    ) -> None:  # fmt: skip
        self._settings = settings
        self._watcher = watcher
        self._replica: Replica = watcher.replica
        self._state = state
        self._wall = wall
        self._progress = progress
        self._notify_cancelled = notify_cancelled
        self._queue: dict[str, _Submission] = {}
        self._wake = trio.Event()
        self.types: list[MachineType] = []  # from the cloud; used until the state service has them

    async def handle(self, request: Request) -> Response:
        """Serve a request below wire.JOBS; 404 for any other path."""
        path = request.path.partition("?")[0]
        try:
            if path == wire.JOBS_PATH and request.method == "POST":
                return await self.submit(request.body)
            prefix, _, rest = path.partition(wire.JOBS_PATH + "/")
            if prefix == "" and rest:
                job_id, _, verb = rest.partition("/")
                if verb == wire.CANCEL_SUBPATH and request.method == "POST":
                    return await self.cancel(job_id)
                if verb == "" and request.method == "GET":
                    return await self.poll(job_id)
        except (NotExecuted, OutcomeUnknown):
            return retry_later()
        return Response(404, {"error": "no such path"})

    # --- submitting -------------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        """Create the job with 201, or answer with its present state if the id is known.

        A valid description is written without a lookup: the transaction itself finds out whether the id is known. An
        invalid one is refused only if the id is unknown, since a known id counts more than what the body now says.
        """
        try:
            value = parse_job(body)
        except Malformed as error:
            return Response(400, {"error": str(error)})
        job_id = wire.job_id_of(value)
        if isinstance(job_id, str) and job_id in self._replica.jobs:
            return await self._known_job(job_id) or retry_later()
        try:
            spec = self.check(value)
        except Malformed as error:
            return await self._known_job(job_id) or Response(400, {"error": str(error)})
        except Unsatisfiable as error:
            return await self._known_job(job_id) or Response(422, {"error": str(error)})
        if spec is None:
            return await self._known_job(job_id) or retry_later()
        wrong = await self.find_invalid_dependency(spec)
        if wrong is not None:
            return await self._known_job(job_id) or Response(422, {"error": wrong})
        return await self._create(spec)

    async def find_invalid_dependency(self, spec: JobSpec) -> str | None:
        """What is wrong with the jobs in `needs`, as text for the user; None if nothing is.

        Only a current reading may tell that a job was never accepted. Raises NotExecuted if there is none.
        """
        needs = spec.needs or []
        if any(name not in self._replica.jobs for name in needs):
            await self._watcher.sync()
        for name in needs:
            entry = self._replica.jobs.get(name)
            if entry is None:
                return f"{name[: c.MAX_NAME_CHARS_SHOWN]}, which it needs, was never accepted"
            if (
                entry.state not in wire.FINAL_JOB_STATES
                and entry.record.spec
                and entry.record.spec.kind is Kind.SERVICE
            ):
                return f"{name}, which it needs, is a service and never done"
        return None

    def check(self, value: Any) -> JobSpec | None:
        """The valid description; None if this node cannot tell because it knows no machine types yet.

        Raises Malformed or Unsatisfiable if it can never be accepted.
        """
        spec = check_job(value)
        limits = self._settings.params.state
        parts = store.description_parts(spec, limits.value_kb)
        if len(parts) >= limits.txn_ops or sum(map(len, parts)) > c.MAX_TXN_BYTES:
            raise Malformed("the description is longer than what is stored at once")
        types = self._replica.types or self.types
        if not types:
            return None
        check_possible(spec, self._settings, types)
        return spec

    async def _known_job(self, job_id: object) -> Response | None:
        """A known job's present state; None if the job is unknown.

        Unless the job is over, reads the state service first. Raises NotExecuted if there is no current reading.
        """
        if not store.is_job_id(job_id):
            return None
        assert isinstance(job_id, str)
        entry = self._replica.jobs.get(job_id)
        if entry is None or entry.state not in wire.FINAL_JOB_STATES:
            await self._watcher.sync()
            entry = self._replica.jobs.get(job_id)
        return Response(200, self.describe(job_id, entry)) if entry is not None else None

    async def _create(self, spec: JobSpec) -> Response:
        """Queue the job for `create_loop` and wait for the outcome, at most SUBMIT_TIMEOUT_S."""
        if len(self._queue) >= self._state.writes_within(c.SUBMIT_TIMEOUT_S):  # it would not be written in time
            return retry_later()
        parts = store.description_parts(spec, self._settings.params.state.value_kb)
        # If two transactions in flight create the same job, one of them conflicts.
        submission = self._queue.setdefault(spec.id, _Submission(spec, parts=parts))
        self._wake.set()
        with trio.move_on_after(c.SUBMIT_TIMEOUT_S):
            await submission.settled.wait()
        if submission.created is None:
            return retry_later()
        if submission.created:
            return Response(201, wire.job_answer(spec.id, JobState.QUEUED))
        return await self._known_job(spec.id) or retry_later()

    async def create_loop(self) -> None:
        """Commit queued submissions in batches, until cancelled.

        MAX_CONCURRENT_SUBMIT_TXNS transactions may be in flight, so that a slow one delays few submissions.
        """
        async with trio.open_nursery() as nursery:
            in_flight = trio.CapacityLimiter(c.MAX_CONCURRENT_SUBMIT_TXNS)
            while True:
                if not self._queue:
                    self._wake = trio.Event()
                    await self._wake.wait()
                slot = object()
                await in_flight.acquire_on_behalf_of(slot)
                nursery.start_soon(self._process_batch, self._take_batch(), in_flight, slot)

    def _take_batch(self) -> list[_Submission]:
        """Remove from the queue what fits into one transaction, and at least one submission."""
        batch: list[_Submission] = []
        changes = size = 0
        for submission in self._queue.values():
            changes += 1 + len(submission.parts)
            size += (
                c.JOB_RECORD_OVERHEAD_BYTES
                + sum(map(len, submission.parts))
                + len(orjson.dumps(wire.to_plain(submission.spec)))
            )
            if batch and (changes > self._settings.params.state.txn_ops or size > c.MAX_TXN_BYTES):
                break
            batch.append(submission)
        for submission in batch:
            del self._queue[submission.spec.id]
        return batch

    async def _process_batch(self, batch: list[_Submission], in_flight: trio.CapacityLimiter, slot: object) -> None:
        try:
            await self._commit(list(batch))
        finally:
            in_flight.release_on_behalf_of(slot)
            for submission in batch:
                submission.settled.set()

    async def _commit(self, batch: list[_Submission]) -> None:
        """Store the batch, without those whose ids exist. Submissions that cannot be decided keep `created` None."""
        while batch:
            keys = [store.JOB + s.spec.id for s in batch]
            writes = [change for s in batch for change in s.changes(self._wall())]
            try:
                outcome = await self._create_with_retry([wire.version_condition(key, 0) for key in keys], writes)
            except Rejected as error:
                if len(batch) == 1:
                    log.error("%s is refused by the state service, the job is not created: %s", keys[0], error)
                    return
                for submission in batch:  # the faulty one must not make the others fail
                    await self._commit([submission])
                return
            except (NotExecuted, OutcomeUnknown) as error:
                log.debug("submissions not stored, their users are asked to retry: %s", error)
                return
            if outcome.applied:
                for submission in batch:
                    submission.created = True
                return
            for submission, key in zip(batch, keys, strict=True):
                if key in outcome.failed:
                    submission.created = False
            batch = [s for s in batch if s.created is None]

    async def _create_with_retry(self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]) -> Outcome:
        """Run the transaction, once more if there is no answer, since users wait for it.

        If the first try was applied after all, the second finds the ids known, which is harmless.
        """
        try:
            return await self._state.txn(conditions, writes, seconds=c.SUBMIT_TXN_TIMEOUT_S)
        except OutcomeUnknown:
            return await self._state.txn(conditions, writes)

    # --- looking up and cancelling ----------------------------------------------------------------

    def describe(self, job_id: str, entry: JobEntry) -> dict[str, Any]:
        """The answer to a poll, from this node's copy as it stands. Also used by pipelines."""
        tasks = entry.record.tasks
        if entry.state in wire.FINAL_JOB_STATES:
            answer = wire.job_answer(job_id, entry.state, tasks if entry.state is JobState.DONE else 0, 0)
            if (reason := recorded_reason(self._replica, job_id)) is not None:
                answer["reason"] = reason.text()
            return answer
        waits_for = recorded_reason(self._replica, job_id)
        progress = self._progress(job_id) if waits_for is None else None
        if progress is None:
            answer = wire.job_answer(job_id, JobState.QUEUED, 0, 0)
            if waits_for is not None:
                answer["reason"] = waits_for.text()
            return answer
        state = JobState.RUNNING if progress.running else JobState.QUEUED
        answer = wire.job_answer(job_id, state, progress.done, progress.running)
        answer["reason"] = progress.reason.text()
        answer["reason_for_s"] = round(progress.waited_s, 1)
        return answer

    async def poll(self, job_id: str) -> Response:
        """The job's state, or 404. Raises NotExecuted if there is no current reading."""
        if not store.is_job_id(job_id):
            return Response(404, {"error": "no such job"})
        return await self._known_job(job_id) or Response(404, {"error": "no such job"})

    async def cancel(self, job_id: str) -> Response:
        """Cancel the job; the user is told so only once the state service holds it. A job already done stays done.

        Gives up after SUBMIT_TIMEOUT_S with 503; the cancellation may have been stored by then.
        """
        if not store.is_job_id(job_id):
            return Response(404, {"error": "no such job"})
        with trio.move_on_after(c.SUBMIT_TIMEOUT_S):
            while True:
                await self._watcher.sync()
                entry = self._replica.jobs.get(job_id)
                if entry is None:
                    return Response(404, {"error": "no such job"})
                if entry.state in wire.FINAL_JOB_STATES:
                    return Response(200, wire.job_answer(job_id, entry.state))
                record = store.cancelled_record(entry.record, self._settings.params.state.value_kb, self._wall())
                key = store.JOB + job_id
                outcome = await self._state.txn(
                    [wire.version_condition(key, entry.version)], [wire.put(key, wire.to_plain(record))]
                )
                if outcome.applied:  # known here before the user is answered, since attestations rely on that
                    self._watcher.learn([(job_id, record, outcome.revision)])
                    await self._notify_cancelled(job_id, record, outcome.revision)
                    return Response(200, wire.job_answer(job_id, JobState.CANCELLED))
        return retry_later()
