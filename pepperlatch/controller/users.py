"""What users ask: submit, look up, cancel. Served by every node, decided by the state service."""

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
from pepperlatch.controller.store import Entry, Replica, Watched
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


Tell = Callable[[str, store.JobRecord, int], Awaitable[None]]


async def nobody(job_id: str, record: store.JobRecord, version: int) -> None:
    """Nobody else is told of a cancellation."""


class Malformed(Exception):
    """Answered with 400."""


class Impossible(Exception):
    """Answered with 422."""


@dataclass(slots=True)
class Progress:
    """What the leader shows users beyond the protocol; may be a little old, never needed to answer."""

    running: int
    done: int
    reason: Reason
    waited_s: float


@dataclass(slots=True)
class _Submission:
    spec: JobSpec
    settled: trio.Event = field(default_factory=trio.Event)
    created: bool | None = None
    parts: list[str] = field(default_factory=list)  # of a description that one value cannot hold

    def changes(self, at: float) -> list[dict[str, Any]]:
        return store.created(self.spec, self.parts, at)


def parse_job(body: bytes) -> Any:
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise Malformed(f"not JSON: {error}") from None
    if not isinstance(value, dict):
        raise Malformed("not an object")
    return value


def check_job(value: Any) -> JobSpec:
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
    team = next((t for t in settings.params.teams if t.name == spec.team), None)
    if team is None:
        raise Impossible("unknown team")
    if beyond := beyond_limit(spec, team):
        raise Impossible(beyond)
    fitting = [t for t in types if fits_type(spec, t) and (spec.types is None or t.name in spec.types)]
    if not fitting:
        allowed = "any" if spec.types is None else ", ".join(spec.types[: c.MAX_NAMES_SHOWN])
        raise Impossible(f"a task of {reasons.each(spec)} fits no allowed machine type ({allowed})")
    if spec.zone is not None and not any(spec.zone in t.zones for t in fitting):
        raise Impossible(f"no machine type that a task fits exists in zone {spec.zone[: c.MAX_NAME_CHARS_SHOWN]}")
    if spec.spread and spec.tasks > 1 and spec.kind is not Kind.ARRAY:  # all at once, half of them in one zone at most
        zones = {zone for t in fitting for zone in t.zones if spec.zone in (None, zone)}
        if spec.one_zone or len(zones) < 2:
            raise Impossible("its tasks must be apart, and there is only one zone for them all")


def standing_reason(replica: Replica, job_id: str) -> Reason | None:
    """What the records alone say of a job: it waits for others, or was cancelled with one that it needs."""
    entry = replica.jobs[job_id]
    if entry.state in wire.FINAL_JOB_STATES:
        through = entry.through
        return None if through is None or through == job_id else Reason(Why.GONE, names=(through,))
    waits_for = replica.chain.waits_for(job_id)
    return Reason(Why.NEEDS, names=tuple(waits_for)) if waits_for else None


def later() -> Response:
    return Response(503, {"error": "cannot be decided now"}, {"Retry-After": str(c.RETRY_AFTER_S)})


class Users:
    def __init__(
        self, settings: Settings, watched: Watched, state: StateClient, wall: Callable[[], float],
        progress: Callable[[str], Progress | None], tell: Tell = nobody,
    ) -> None:  # fmt: skip
        self._settings = settings
        self._watched = watched
        self._replica: Replica = watched.replica
        self._state = state
        self._wall = wall
        self._progress = progress
        self._tell = tell
        self._queue: dict[str, _Submission] = {}
        self._wake = trio.Event()
        self.types: list[MachineType] = []  # as this node asked the cloud; the state service's copy serves as well

    async def handle(self, request: Request) -> Response:
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
            return later()
        return Response(404, {"error": "no such path"})

    # --- submitting -------------------------------------------------------------------------------

    async def submit(self, body: bytes) -> Response:
        """A sound description goes straight into a transaction, which finds out itself whether the id is known.

        Only what is about to be refused is looked up first: a known id counts more than what the body now says.
        """
        try:
            value = parse_job(body)
        except Malformed as error:
            return Response(400, {"error": str(error)})
        job_id = wire.job_id_of(value)
        if isinstance(job_id, str) and job_id in self._replica.jobs:
            return await self._known(job_id) or later()
        try:
            spec = self.check(value)
        except Malformed as error:
            return await self._known(job_id) or Response(400, {"error": str(error)})
        except Impossible as error:
            return await self._known(job_id) or Response(422, {"error": str(error)})
        if spec is None:
            return await self._known(job_id) or later()
        wrong = await self.wrong_need(spec)
        if wrong is not None:
            return await self._known(job_id) or Response(422, {"error": wrong})
        return await self._create(spec)

    async def wrong_need(self, spec: JobSpec) -> str | None:
        """What is wrong with the jobs named; only a current reading may say that one was never accepted."""
        needs = spec.needs or []
        if any(name not in self._replica.jobs for name in needs):
            await self._watched.sync()
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
        """The sound description; None if this node cannot tell because it knows no machine types yet.

        Raises Malformed or Impossible if it will never be one.
        """
        spec = check_job(value)
        limits = self._settings.params.state
        parts = store.parts_of(spec, limits.value_kb)
        if len(parts) >= limits.txn_ops or sum(map(len, parts)) > c.MAX_TXN_BYTES:
            raise Malformed("the description is longer than what is stored at once")
        types = self._replica.types or self.types
        if not types:
            return None
        check_possible(spec, self._settings, types)
        return spec

    async def _known(self, job_id: object) -> Response | None:
        """A known job's present state; it counts more than what the body now says."""
        if not store.is_job_id(job_id):
            return None
        assert isinstance(job_id, str)
        entry = self._replica.jobs.get(job_id)
        if entry is None or entry.state not in wire.FINAL_JOB_STATES:
            await self._watched.sync()
            entry = self._replica.jobs.get(job_id)
        return Response(200, self.describe(job_id, entry)) if entry is not None else None

    async def _create(self, spec: JobSpec) -> Response:
        if len(self._queue) >= self._state.writes_within(c.SUBMIT_TIMEOUT_S):  # its turn would not come in time
            return later()
        parts = store.parts_of(spec, self._settings.params.state.value_kb)
        submission = self._queue.setdefault(spec.id, _Submission(spec, parts=parts))  # twice in flight: one conflicts
        self._wake.set()
        with trio.move_on_after(c.SUBMIT_TIMEOUT_S):
            await submission.settled.wait()
        if submission.created is None:
            return later()
        if submission.created:
            return Response(201, wire.job_answer(spec.id, JobState.QUEUED))
        return await self._known(spec.id) or later()

    async def create_loop(self) -> None:
        """Submissions that wait together are committed together; a slow answer holds up few of those behind it."""
        async with trio.open_nursery() as nursery:
            flying = trio.CapacityLimiter(c.MAX_CONCURRENT_SUBMIT_TXNS)
            while True:
                if not self._queue:
                    self._wake = trio.Event()
                    await self._wake.wait()
                token = object()
                await flying.acquire_on_behalf_of(token)
                nursery.start_soon(self._settle, self._take(), flying, token)

    def _take(self) -> list[_Submission]:
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

    async def _settle(self, batch: list[_Submission], flying: trio.CapacityLimiter, token: object) -> None:
        try:
            await self._commit(list(batch))
        finally:
            flying.release_on_behalf_of(token)
            for submission in batch:
                submission.settled.set()

    async def _commit(self, batch: list[_Submission]) -> None:
        while batch:
            keys = [store.JOB + s.spec.id for s in batch]
            writes = [change for s in batch for change in s.changes(self._wall())]
            try:
                outcome = await self._create_now([wire.version_condition(key, 0) for key in keys], writes)
            except Rejected as error:
                if len(batch) == 1:
                    log.error("%s is refused: %s", keys[0], error)
                    return
                for submission in batch:  # one of them is at fault, and must not take the others along
                    await self._commit([submission])
                return
            except (NotExecuted, OutcomeUnknown) as error:
                log.debug("submissions put off: %s", error)
                return
            if outcome.applied:
                for submission in batch:
                    submission.created = True
                return
            for submission, key in zip(batch, keys, strict=True):
                if key in outcome.failed:
                    submission.created = False
            batch = [s for s in batch if s.created is None]

    async def _create_now(self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]]) -> Outcome:
        """Once more if there is no answer: its user waits, and an id that is there by then is simply known."""
        try:
            return await self._state.txn(conditions, writes, seconds=c.SUBMIT_TXN_TIMEOUT_S)
        except OutcomeUnknown:
            return await self._state.txn(conditions, writes)

    # --- looking up and cancelling ----------------------------------------------------------------

    def describe(self, job_id: str, entry: Entry) -> dict[str, Any]:
        """The answer to a poll, from this node's copy as it stands."""
        tasks = entry.record.tasks
        if entry.state in wire.FINAL_JOB_STATES:
            answer = wire.job_answer(job_id, entry.state, tasks if entry.state is JobState.DONE else 0, 0)
            if (reason := standing_reason(self._replica, job_id)) is not None:
                answer["reason"] = reason.text()
            return answer
        waits_for = standing_reason(self._replica, job_id)
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
        if not store.is_job_id(job_id):
            return Response(404, {"error": "no such job"})
        return await self._known(job_id) or Response(404, {"error": "no such job"})

    async def cancel(self, job_id: str) -> Response:
        """Cancelled only once the state service holds that; a job already done stays done."""
        if not store.is_job_id(job_id):
            return Response(404, {"error": "no such job"})
        with trio.move_on_after(c.SUBMIT_TIMEOUT_S):
            while True:
                await self._watched.sync()
                entry = self._replica.jobs.get(job_id)
                if entry is None:
                    return Response(404, {"error": "no such job"})
                if entry.state in wire.FINAL_JOB_STATES:
                    return Response(200, wire.job_answer(job_id, entry.state))
                record = store.cancelled(entry.record, self._settings.params.state.value_kb, self._wall())
                key = store.JOB + job_id
                outcome = await self._state.txn(
                    [wire.version_condition(key, entry.version)], [wire.put(key, wire.to_plain(record))]
                )
                if outcome.applied:  # known here before its user is told: others vouch by what this node knows
                    self._watched.learn([(job_id, record, outcome.revision)])
                    await self._tell(job_id, record, outcome.revision)
                    return Response(200, wire.job_answer(job_id, JobState.CANCELLED))
        return later()
