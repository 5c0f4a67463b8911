"""Keys and records in the state service, and this node's copy of the keys that every node watches.

Keys below `j/` are watched by all controllers: the leader's key, jobs, finished tasks, machine types and operators'
settings. Keys below `f/` are the leader's alone: hires, machines and its write fence. They are read only on taking
over.

Two versions run side by side during a rollout. So a record only ever gains optional fields, and a key below a prefix
that an earlier version knows keeps its meaning. What does not fit into one value is stored in pieces below separate
prefixes (`j/part/`, `j/fine/`, `j/types/`), which earlier versions ignore.

Times are of the node's steady clock in seconds, except in records, where they are times of day.
"""

import base64
import contextlib
import math
import re
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from typing import Any, NamedTuple

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.policy.inherited_urgency import Urgency
from pepperlatch.policy.prerequisites import Prerequisites
from pepperlatch.protocol import wire
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown, StateClient

WATCHED = "j/"
LEADER = "j/leader"
TYPES = "j/types"
TUNING = "j/tuning"
JOB = "j/job/"
DONE = "j/done/"  # bitmaps of finished tasks, `BITMAP_CHUNK_TASKS` tasks each
DONE_FINE = "j/fine/"  # the same with `FINE_CHUNK_TASKS` tasks each, for values too small for a chunk of `DONE`
PART = "j/part/"  # pieces of long job descriptions
FLEET = "f/"
WRITE_FENCE = "f/turn"  # written to make sure that no earlier transaction without an answer is applied; see writer.py
HIRE = "f/hire/"
MACHINE = "f/machine/"

_JOB_ID = re.compile(wire.JOB_ID_PATTERN)


def is_job_id(text: object) -> bool:
    return isinstance(text, str) and _JOB_ID.fullmatch(text) is not None


class JobRecord(msgspec.Struct, omit_defaults=True, gc=False):
    """The stored record of a job. The description is dropped once the job is done."""

    state: str
    spec: wire.JobSpec | None = None
    tasks: int = 0
    at: float = 0.0  # time of day of the submission, by the accepting node's clock
    parts: int = 0  # number of pieces below `PART` that hold the description instead of `spec`
    ended: float = 0.0  # time of day when it was done or cancelled, by the writer's clock; 0 in older records
    run: str = ""  # the pipeline run that created it; dropped once the job is over


class MachineRecord(msgspec.Struct):
    """The stored record of a rented machine that has reported; `draining` is the reason why it is drained, if it is."""

    addr: str
    type: str
    zone: str
    spot: bool
    draining: str | None = None


class HireRecord(msgspec.Struct):
    """The stored record of a request to rent `count` machines, written before the cloud is asked."""

    type: str
    zone: str
    spot: bool
    count: int


class Cancellation(NamedTuple):
    """A job's cancellation: the version of its record, and when this node learned of it."""

    version: int
    job_id: str
    learned_at: float
    not_before: float  # no user was told before then, since this node's copy was current then and did not show it


class JobEntry(msgspec.Struct, gc=False):
    """A watched job: its record and the version of its key.

    `through` is the cancelled job, itself or one that it needs, that ends the job; None if it is not cancelled.
    """

    record: JobRecord
    version: int
    through: str | None = None

    @property
    def state(self) -> wire.JobState:
        """The job's state; all code must ask here whether a job is over.

        A job that needs a cancelled job is cancelled, although its own record does not say so.
        """
        return wire.JobState.CANCELLED if self.through is not None else wire.JobState(self.record.state)


@dataclass(slots=True)
class Replica:
    """This node's copy of the watched keys, always at one revision.

    `done` and `done_fine` map a job to its chunks of finished tasks: chunk number to bitmap and version. `parts` maps a
    job to the pieces of its description. `leader` is the leader's node name and token, `tuning` the operators' settings
    and their version.
    """

    revision: int = 0
    generation: int = 0  # how often the copy was discarded
    loaded: bool = False
    current_at: float = -math.inf  # all that was confirmed before then is in the copy: when the latest read was sent
    jobs: dict[str, JobEntry] = field(default_factory=dict)
    done: dict[str, dict[int, tuple[bytes, int]]] = field(default_factory=dict)  # read and written by every version
    done_fine: dict[str, dict[int, tuple[bytes, int]]] = field(default_factory=dict)
    parts: dict[str, dict[int, str]] = field(default_factory=dict)
    prerequisites: Prerequisites = field(default_factory=Prerequisites)
    leader: tuple[str, int] | None = None
    type_pieces: dict[int, list[wire.MachineType]] = field(default_factory=dict)
    tuning: tuple[dict[str, Any], int] = field(default_factory=lambda: ({}, 0))
    _cancelled: deque[Cancellation] = field(default_factory=deque)  # in the order in which they were learned
    _cancelled_by_job: dict[str, Cancellation] = field(default_factory=dict)  # those of `_cancelled`, by job
    _cancelled_complete_after_version: int = 0  # `_cancelled` has all of later versions
    _cancelled_complete_after: float = -math.inf  # `_cancelled` has all that were learned later
    _versions: dict[str, int] = field(default_factory=dict)  # of all keys but jobs, whose entries hold theirs
    _shared_done_records: dict[tuple[str, int], JobRecord] = field(default_factory=dict)

    def reload(self, revision: int, pairs: list[wire.KeyValue], at: float = math.inf) -> set[str]:
        """Replace the copy by a full read, and return the ids of the jobs that changed.

        Needed at the start, and when the state service no longer keeps the changes since this copy (410). The pages of
        a read may be newer than its revision; changes that follow and are already known are recognized by their
        version. `at` is when the answer arrived.
        """
        present = {pair.key for pair in pairs if not pair.key.startswith(JOB)}  # jobs are never deleted
        touched: set[str] = set()
        if self.leader is not None and LEADER not in present:
            self.leader = None
        for held, prefix in ((self.done, DONE), (self.done_fine, DONE_FINE), (self.parts, PART)):
            for job_id in [job for job in held if not any(f"{prefix}{job}/{n}" in present for n in held[job])]:
                del held[job_id]
        for pair in pairs:
            touched |= self._put(pair.key, pair.value, pair.version, at)
        self.revision = max(self.revision, revision)
        self.loaded = True
        return touched

    def discard(self) -> None:
        """Forget everything, as after a start of the process, so that all keys are read anew."""
        empty = Replica(generation=self.generation + 1)
        for attribute in fields(empty):
            setattr(self, attribute.name, getattr(empty, attribute.name))

    def apply(self, changes: wire.Changes, at: float = math.inf) -> set[str]:
        """Apply changes that were read at `at`, and return the ids of the jobs that changed.

        Several reads may be in flight, so changes up to this copy's revision are skipped: they are known, and their
        keys may have been deleted since.
        """
        touched: set[str] = set()
        for event in changes.events:
            if event.version <= self.revision:
                continue
            if event.put is not None:
                touched |= self._put(event.put, event.value, event.version, at)
            elif event.delete is not None:
                self._delete(event.delete, event.version)
        self.revision = max(self.revision, changes.revision)
        return touched

    def _put(self, key: str, value: Any, version: int, at: float) -> set[str]:
        """Store one key's value, unless a later version is known; `at` is when this node learned of it."""
        if key.startswith(JOB):
            return self._put_job(key[len(JOB) :], value, version, at)
        if self._versions.get(key, 0) >= version:
            return set()
        self._versions[key] = version
        if key.startswith(PART):
            job_id, number = _split_numbered_key(key, PART)
            self.parts.setdefault(job_id, {})[number] = value["text"]
            return self._job_changed(job_id) if job_id in self.jobs else set()
        if key.startswith(DONE):
            job_id, chunk = _split_numbered_key(key, DONE)
            self.done.setdefault(job_id, {})[chunk] = (base64.b64decode(value["bits"]), version)
        elif key.startswith(DONE_FINE):
            job_id, chunk = _split_numbered_key(key, DONE_FINE)
            self.done_fine.setdefault(job_id, {})[chunk] = (base64.b64decode(value["bits"]), version)
        elif key == LEADER:
            self.leader = (value["node"], version)
        elif key == TYPES or key.startswith(TYPES + "/"):
            number = int(key[len(TYPES) + 1 :] or 0)
            self.type_pieces[number] = wire.convert(value["types"], list[wire.MachineType])
        elif key == TUNING:
            self.tuning = (value, version)
        return set()

    def _put_job(self, job_id: str, value: Any, version: int, at: float) -> set[str]:
        known = self.jobs.get(job_id)
        if known is not None and known.version >= version:
            return set()
        record = value if isinstance(value, JobRecord) else wire.convert(value, JobRecord)
        if record.state == wire.JobState.CANCELLED.value:
            self._remember_cancelled(Cancellation(version, job_id, at, self.current_at))
        self.jobs[job_id] = JobEntry(record, version, self.prerequisites.cancelled_through.get(job_id))
        touched = self._job_changed(job_id)
        if record.state == wire.JobState.DONE.value and record.spec is None:
            # Done jobs are the most numerous and their records mostly equal, so they share one. `prerequisites` keeps
            # when each was done.
            shared = JobRecord(wire.JobState.DONE.value, tasks=record.tasks)
            self.jobs[job_id].record = self._shared_done_records.setdefault((shared.state, shared.tasks), shared)
        return touched

    def _remember_cancelled(self, cancellation: Cancellation) -> None:
        self._cancelled.append(cancellation)
        self._cancelled_by_job.setdefault(cancellation.job_id, cancellation)
        if len(self._cancelled) > c.MAX_CANCELLATIONS_REMEMBERED:
            left_out = self._cancelled.popleft()
            self._cancelled_by_job.pop(left_out.job_id, None)
            self._cancelled_complete_after_version = max(self._cancelled_complete_after_version, left_out.version)
            self._cancelled_complete_after = max(self._cancelled_complete_after, left_out.learned_at)

    def _job_changed(self, job_id: str) -> set[str]:
        """Update the jobs that need this one, and return the ids of all jobs that changed, itself included."""
        entry = self.jobs[job_id]
        record = entry.record
        if record.spec is None and record.parts:
            record.spec = joined_description(self.parts.get(job_id, {}), record.parts)
        if entry.state is wire.JobState.DONE:
            return {job_id} | self.prerequisites.finish(job_id, record.ended)
        if record.state == wire.JobState.CANCELLED.value:
            cancelled = self.prerequisites.cancel(job_id, job_id)
        elif record.spec is not None:
            cancelled = self.prerequisites.add(
                job_id, record.spec.needs or (), _own_urgency(record.spec, record.at), record.spec.estimate_s
            )
        else:
            return {job_id}
        for name in cancelled:
            self.jobs[name].through = self.prerequisites.cancelled_through[name]
        return {job_id} | cancelled

    def _delete(self, key: str, version: int) -> None:
        if self._versions.get(key, 0) >= version:
            return
        if key == LEADER:
            self.leader = None
            self._versions[key] = version
            return
        for held, prefix in ((self.done, DONE), (self.done_fine, DONE_FINE), (self.parts, PART)):
            if key.startswith(prefix):
                job_id, number = _split_numbered_key(key, prefix)
                held.get(job_id, {}).pop(number, None)
                self._versions.pop(key, None)

    def learn(self, rows: list[tuple[str, Any, int]], at: float = math.inf) -> set[str]:
        """Apply job records that the state service has confirmed, before a read shows them.

        `rows` holds job id, record and version; a later read shows them again. Returns the ids of the changed jobs.
        """
        touched: set[str] = set()
        for job_id, value, version in rows:
            touched |= self._put_job(job_id, value, version, at)
        return touched

    def cancelled_since(self, revision: int) -> list[tuple[int, str]] | None:
        """Return version and id of all jobs cancelled after `revision`; None if they aren't remembered so far back."""
        if revision < self._cancelled_complete_after_version:
            return None
        return sorted((known.version, known.job_id) for known in self._cancelled if known.version > revision)

    def cancelled_recently(self, since: float) -> list[str]:
        """Return the jobs whose cancellation this node learned of at `since` or later; no other can be so recent.

        Returns all that were ever cancelled if cancellations aren't remembered so far back.
        """
        if since <= self._cancelled_complete_after:
            cancelled = wire.JobState.CANCELLED.value
            return [job_id for job_id, entry in self.jobs.items() if entry.record.state == cancelled]
        return list(dict.fromkeys(known.job_id for known in self._cancelled if known.learned_at >= since))

    def cancelling_job(self, job_id: str) -> str | None:
        """Return the cancelled job, itself or one that it needs, that ends the job; None if it is not cancelled."""
        entry = self.jobs.get(job_id)
        if entry is None or entry.state is not wire.JobState.CANCELLED:
            return None
        return entry.through or job_id

    def cancellation_not_before(self, job_id: str) -> float | None:
        """Return the time before which no user was told that this job was cancelled; None if this node does not know.

        That is so if it was cancelled before this node started, or so many cancellations ago that it is not remembered.
        """
        known = self._cancelled_by_job.get(job_id)
        return known.not_before if known is not None and math.isfinite(known.not_before) else None

    # --- derived values ---------------------------------------------------------------------------

    @property
    def types(self) -> list[wire.MachineType]:
        return [kind for number in sorted(self.type_pieces) for kind in self.type_pieces[number]]

    def ready(self, job_id: str) -> bool:
        """Return whether all jobs that it needs are recorded as done; what is not recorded yet does not count."""
        return not self.prerequisites.unmet_needs(job_id)

    def waiting_for_others(self) -> int:
        """Return how many unfinished jobs wait for others that they need."""
        return sum(
            1
            for job in self.prerequisites.needs
            if self.jobs[job].state not in wire.FINAL_JOB_STATES and not self.ready(job)
        )

    def done_tasks(self, job_id: str) -> set[int]:
        """Return the job's finished tasks as far as they are recorded."""
        tasks: set[int] = set()
        for held, size in ((self.done, c.BITMAP_CHUNK_TASKS), (self.done_fine, c.FINE_CHUNK_TASKS)):
            for chunk, (bits, _) in held.get(job_id, {}).items():
                tasks |= tasks_in_bitmap(bits, chunk * size)
        return tasks

    def leftover_keys(self, job_id: str) -> list[str]:
        """Return the keys of a job's finished tasks and description pieces, to be deleted once the job is over."""
        return [
            f"{prefix}{job_id}/{number}"
            for held, prefix in ((self.done, DONE), (self.done_fine, DONE_FINE), (self.parts, PART))
            for number in held.get(job_id, {})
        ]


def _split_numbered_key(key: str, prefix: str) -> tuple[str, int]:
    """Split PREFIX JOB/NUMBER into job and number."""
    job_id, _, number = key[len(prefix) :].rpartition("/")
    return job_id, int(number)


def _own_urgency(spec: wire.JobSpec, at: float) -> Urgency:
    """Return how urgent the job is by itself, if it was submitted at `at` (time of day)."""
    return Urgency(wire.PRIORITY_RANK[spec.priority], at + spec.deadline_s if spec.deadline_s else math.inf)


def compact(pair: wire.KeyValue) -> wire.KeyValue:
    """Convert a job's value to its record, which needs a fraction of the memory of the JSON.

    Applied to each pair of a full read, since all are kept until the last page has been read.
    """
    if pair.key.startswith(JOB):
        pair.value = wire.convert(pair.value, JobRecord)
        pair.value.state = sys.intern(pair.value.state)
    return pair


# --- limits of a value's size ---------------------------------------------------------------------


def fits_value(value: Any, value_kb: float) -> bool:
    """Return whether the encoded value fits into the state service's limit of `value_kb` KiB, with some slack."""
    return len(orjson.dumps(value)) <= value_kb * 1024 - c.VALUE_OVERHEAD_BYTES


def split_text(text: str, size: int) -> list[str]:
    """Split the text into pieces of at most `size` characters."""
    return [text[start : start + size] for start in range(0, len(text), size)]


def description_parts(spec: wire.JobSpec, value_kb: float) -> list[str]:
    """Return the description as text in pieces that each fit one value; none if the job's own record can hold it."""
    plain = orjson.dumps(wire.to_plain(spec))
    if len(plain) <= value_kb * 1024 - c.JOB_RECORD_OVERHEAD_BYTES:
        return []
    text = base64.b64encode(plain).decode("ascii")
    return split_text(text, int(value_kb * 1024) - c.VALUE_OVERHEAD_BYTES)


def joined_description(parts: dict[int, str], count: int) -> wire.JobSpec | None:
    """Return the description from its pieces, or None while some of the `count` pieces are missing."""
    if any(number not in parts for number in range(count)):
        return None
    text = "".join(parts[number] for number in range(count))
    spec: wire.JobSpec = wire.convert(orjson.loads(base64.b64decode(text)), wire.JobSpec)
    return spec


def creation_changes(spec: wire.JobSpec, parts: list[str], at: float, run: str = "") -> list[dict[str, Any]]:
    """Return the writes that create a job: its record and the pieces of its description. `at` is the time of day."""
    record = JobRecord(wire.JobState.QUEUED.value, None if parts else spec, spec.tasks, at, len(parts), run=run)
    changes = [wire.put(JOB + spec.id, wire.to_plain(record))]
    return changes + [wire.put(f"{PART}{spec.id}/{n}", {"text": text}) for n, text in enumerate(parts)]


def cancelled_record(record: JobRecord, value_kb: float, ended: float) -> JobRecord:
    """Return the record of a job cancelled at `ended` (time of day).

    If the description is too long for one value, only the fields that the usage of the job's last tasks is counted by
    are kept.
    """
    held = JobRecord(wire.JobState.CANCELLED.value, record.spec, record.tasks, record.at, ended=ended)
    if record.spec is not None and not fits_value(wire.to_plain(held), value_kb):
        held.spec = msgspec.structs.replace(record.spec, types=None, needs=None, zone=None, image="", job_class="")
    return held


def type_changes(types: list[wire.MachineType], known: int, value_kb: float) -> list[dict[str, Any]]:
    """Return the writes that store the machine types, in as many values as needed.

    `known` is the number of values stored already; those that are no longer needed are emptied.
    """
    pieces: list[list[wire.MachineType]] = [[]]
    for kind in types:
        if pieces[-1] and not fits_value({"types": wire.to_plain([*pieces[-1], kind])}, value_kb):
            pieces.append([])
        pieces[-1].append(kind)
    pieces += [[]] * (known - len(pieces))
    keys = [TYPES, *(f"{TYPES}/{n}" for n in range(1, len(pieces)))]
    return [wire.put(key, {"types": wire.to_plain(piece)}) for key, piece in zip(keys, pieces, strict=True)]


def tasks_in_bitmap(bits: bytes, first: int) -> set[int]:
    """Return the tasks whose bits are set; the lowest bit of the first byte is task `first`."""
    return {first + 8 * byte + bit for byte, value in enumerate(bits) if value for bit in range(8) if value >> bit & 1}


def bitmap(tasks: set[int], first: int, count: int) -> dict[str, str]:
    """Return the stored bitmap of those given tasks that are from `first` to `first + count - 1`."""
    offsets = [task - first for task in tasks if first <= task < first + count]
    bits = bytearray(max(offsets, default=-1) // 8 + 1)
    for offset in offsets:
        bits[offset // 8] |= 1 << offset % 8
    return {"bits": base64.b64encode(bits).decode("ascii")}


@dataclass(slots=True)
class DoneTasksWrite:
    """One write of a chunk of finished tasks: its key, the version that it replaces (0: none), and the tasks in it."""

    key: str
    version: int
    value: dict[str, str]
    tasks: set[int]


def done_task_writes(
    replica: Replica, job_id: str, done: set[int], saved: set[int], value_kb: float
) -> list[DoneTasksWrite]:
    """Return the writes that record finished tasks that are not recorded yet.

    They use the chunks that every version reads where these fit into a value, else smaller ones. A chunk that was
    stored while values could be larger stays as it is.
    """
    found: list[DoneTasksWrite] = []
    for chunk in sorted({task // c.BITMAP_CHUNK_TASKS for task in done - saved}):
        write = _done_tasks_write(replica.done, DONE, job_id, done, chunk, c.BITMAP_CHUNK_TASKS)
        if fits_value(write.value, value_kb):
            found.append(write)
            continue
        fine_chunks = {task // c.FINE_CHUNK_TASKS for task in (done - saved) & write.tasks}
        found += [
            _done_tasks_write(replica.done_fine, DONE_FINE, job_id, done, n, c.FINE_CHUNK_TASKS)
            for n in sorted(fine_chunks)
        ]
    return found


def _done_tasks_write(
    held: dict[str, dict[int, tuple[bytes, int]]], prefix: str, job_id: str, done: set[int], chunk: int, size: int
) -> DoneTasksWrite:
    version = held[job_id][chunk][1] if chunk in held.get(job_id, {}) else 0
    tasks = {task for task in done if chunk * size <= task < (chunk + 1) * size}
    return DoneTasksWrite(f"{prefix}{job_id}/{chunk}", version, bitmap(tasks, chunk * size, size), tasks)


@dataclass(slots=True, eq=False)
class _PendingSync:
    """A caller of `sync` that waits for a read that begins after its call; `succeeded` is valid once `finished`."""

    finished: trio.Event = field(default_factory=trio.Event)
    succeeded: bool = False


class StateWatcher:
    """Keeps the replica current, and serves reads that must not be older than their request (`sync`).

    `on_change` is called with the ids of the jobs that changed, after every change of the replica; `on_discard` after
    the replica was discarded, when a leader must not act on it any more.
    """

    def __init__(
        self,
        state: StateClient,
        replica: Replica,
        on_change: Callable[[set[str]], None],
        on_discard: Callable[[], None] = lambda: None,
    ) -> None:
        self._state = state
        self.replica = replica
        self._on_change = on_change
        self._on_discard = on_discard
        self._pending_syncs: list[_PendingSync] = []
        self._sync_requested = trio.Event()

    async def watch(self) -> None:
        """Follow all changes until cancelled, by long polls; after an error, try again after a pause."""
        while True:
            try:
                if not self.replica.loaded:
                    await self._reload()
                if not await self._read(c.WATCH_WAIT_MS):
                    await self._reload()
                await trio.sleep(c.MIN_WATCH_INTERVAL_S)
            except (NotExecuted, OutcomeUnknown):
                await trio.sleep(c.STATE_RETRY_S)

    async def _read(self, wait_ms: int) -> bool:
        """Read and apply changes, waiting for one up to `wait_ms`; False if the service no longer keeps changes so old.

        Raises NotExecuted or OutcomeUnknown if the state service does not answer.
        """
        sent, generation = trio.current_time(), self.replica.generation
        changes = await self._state.changes(WATCHED, self.replica.revision, wait_ms)
        if self.replica.generation != generation:
            raise NotExecuted("the copy that the changes belong to was discarded")
        if changes is None:
            return False
        if changes.events or changes.revision > self.replica.revision:
            self._change(lambda: self.replica.apply(changes, trio.current_time()))
        self.replica.current_at = max(self.replica.current_at, sent)
        return True

    def learn(self, rows: list[tuple[str, Any, int]]) -> None:
        """Apply job records that this node or another one has had confirmed; later answers reflect them."""
        if rows:
            self._change(lambda: self.replica.learn(rows, trio.current_time()))

    async def _reload(self) -> None:
        """Read all watched keys anew."""
        revision, pairs = await self._state.read_all(WATCHED, compact)
        self._change(lambda: self.replica.reload(revision, pairs, trio.current_time()))

    def _change(self, change: Callable[[], set[str]]) -> None:
        """Change the replica; after an exception it is discarded, since it may have been changed in part."""
        try:
            touched = change()
        except Exception:
            self.discard()
            raise
        self._on_change(touched)

    def discard(self) -> None:
        """Discard the replica, and have all keys read anew."""
        self.replica.discard()
        self._on_discard()

    async def sync(self) -> None:
        """Return once the replica holds all that was written before this call.

        Raises NotExecuted if the state service is unreachable or does not answer within `SYNC_TIMEOUT_S`.
        """
        if not self.replica.loaded or not self._state.reachable():
            raise NotExecuted("no current reading of the state service")
        pending = _PendingSync()
        self._pending_syncs.append(pending)
        self._sync_requested.set()
        with trio.move_on_after(c.SYNC_TIMEOUT_S):
            await pending.finished.wait()
        if not pending.succeeded:
            raise NotExecuted("no current reading of the state service")

    async def serve_syncs(self) -> None:
        """Run reads for callers of `sync` until cancelled, each for all callers that wait when it starts.

        A slow read does not block later callers, since up to `MAX_CONCURRENT_SYNCS` reads are in flight.
        """
        async with trio.open_nursery() as nursery:
            in_flight = trio.CapacityLimiter(c.MAX_CONCURRENT_SYNCS)
            while True:
                await self._sync_requested.wait()
                slot = object()
                await in_flight.acquire_on_behalf_of(slot)
                self._sync_requested = trio.Event()
                batch, self._pending_syncs = self._pending_syncs, []
                nursery.start_soon(self._serve_batch, batch, in_flight, slot)
                with trio.move_on_after(c.SLOW_SYNC_S):  # reads overlap only while one is slow
                    await batch[0].finished.wait()
                await trio.sleep(c.MIN_SYNC_INTERVAL_S)

    async def _serve_batch(self, batch: list[_PendingSync], in_flight: trio.CapacityLimiter, slot: object) -> None:
        succeeded = False
        try:
            succeeded = await self._read(0)
        except (NotExecuted, OutcomeUnknown):
            pass
        finally:
            in_flight.release_on_behalf_of(slot)
            for pending in batch:
                pending.succeeded = succeeded
                pending.finished.set()

    async def keep_current(self, needed: Callable[[], bool]) -> None:
        """While `needed()` is true, prove that the copy is current about as often as the leader renews its lease.

        A watch without changes proves nothing until its long poll returns, so this reads when the last proof is older
        than `FRESHNESS_CHECK_INTERVAL_S`. While users' polls cause reads all the time, it reads nothing.
        """
        while True:
            await trio.sleep(c.FRESHNESS_CHECK_INTERVAL_S)
            if needed() and trio.current_time() - self.replica.current_at >= c.FRESHNESS_CHECK_INTERVAL_S:
                with contextlib.suppress(NotExecuted):
                    await self.sync()
