"""Keys and records in the state service, and this node's copy of those that every node watches.

`j/` is watched by all: the leader's key, jobs, finished tasks, machine types, operators' settings.
`f/` is the leader's alone: hires and machines. It is read on taking over only.

Two versions run side by side while a new one is rolled out, so a record only ever gains optional fields, and a
key below a prefix that an earlier version knows keeps its meaning. What one value cannot hold stands in pieces
below prefixes of their own (`j/part/`, `j/fine/`, `j/types/`), which earlier versions ignore.
"""

import base64
import contextlib
import math
import re
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.policy.prerequisites import Prerequisites, Standing
from pepperlatch.protocol import wire
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown, StateClient

WATCHED = "j/"
LEADER = "j/leader"
TYPES = "j/types"
TUNING = "j/tuning"
JOB = "j/job/"
DONE = "j/done/"
FINE = "j/fine/"
PART = "j/part/"
FLEET = "f/"
TURN = "f/turn"
HIRE = "f/hire/"
MACHINE = "f/machine/"

_JOB_ID = re.compile(wire.JOB_ID_PATTERN)


def is_job_id(text: object) -> bool:
    return isinstance(text, str) and _JOB_ID.fullmatch(text) is not None


class JobRecord(msgspec.Struct, omit_defaults=True, gc=False):
    """What lasts of a job; the description is dropped once the job is over."""

    state: str
    spec: wire.JobSpec | None = None
    tasks: int = 0
    at: float = 0.0  # time of day of the submission, by the accepting node's clock
    parts: int = 0  # pieces below `PART` that hold the description instead
    ended: float = 0.0  # time of day when it was done or cancelled, by the writer's clock; 0 in older records
    run: str = ""  # the run of a pipeline that created it; not kept once it is over


class MachineRecord(msgspec.Struct):
    addr: str
    type: str
    zone: str
    spot: bool
    draining: str | None = None


class HireRecord(msgspec.Struct):
    type: str
    zone: str
    spot: bool
    count: int


class Cancellation(NamedTuple):
    """A cancelled job as this node learned of it."""

    version: int
    job_id: str
    learned_at: float
    after: float  # no user was told before then: this node's copy was current and did not show it


class Entry(msgspec.Struct, gc=False):
    """A watched job: its record, the version of its key, and the cancelled job (itself, too) that ends it, if any."""

    record: JobRecord
    version: int
    through: str | None = None

    @property
    def state(self) -> wire.JobState:
        """The one place that says whether a job is over. What needs a cancelled job is cancelled by that alone."""
        return wire.JobState.CANCELLED if self.through is not None else wire.JobState(self.record.state)


@dataclass(slots=True)
class Replica:
    """This node's copy of the watched keys, always at one revision."""

    revision: int = 0
    loaded: bool = False
    current_at: float = -math.inf  # it holds all that was confirmed before: when the read that proved that was sent
    jobs: dict[str, Entry] = field(default_factory=dict)
    done: dict[str, dict[int, tuple[bytes, int]]] = field(default_factory=dict)  # chunks, as every version writes them
    fine: dict[str, dict[int, tuple[bytes, int]]] = field(default_factory=dict)  # finer ones, for small values
    parts: dict[str, dict[int, str]] = field(default_factory=dict)  # of long descriptions
    chain: Prerequisites = field(default_factory=Prerequisites)
    leader: tuple[str, int] | None = None
    type_pieces: dict[int, list[wire.MachineType]] = field(default_factory=dict)
    tuning: tuple[dict[str, Any], int] = field(default_factory=lambda: ({}, 0))
    _cancelled: deque[Cancellation] = field(default_factory=deque)  # the latest last
    _cancelled_by_job: dict[str, Cancellation] = field(default_factory=dict)  # the same
    _cancelled_from: int = 0  # those of later versions are all in it
    _cancelled_after: float = -math.inf  # those learned later are all in it
    _versions: dict[str, int] = field(default_factory=dict)  # of all keys but jobs': their entries hold theirs
    _finished: dict[tuple[str, int], JobRecord] = field(default_factory=dict)

    def reload(self, revision: int, pairs: list[wire.KeyValue], at: float = math.inf) -> set[str]:
        """Take a fresh reading (after 410 or at the start); the job ids it touched.

        Its pages may be newer than its revision; the changes replayed on top are told apart by version.
        """
        present = {pair.key for pair in pairs if not pair.key.startswith(JOB)}  # jobs are never deleted
        touched: set[str] = set()
        if self.leader is not None and LEADER not in present:
            self.leader = None
        for held, prefix in ((self.done, DONE), (self.fine, FINE), (self.parts, PART)):
            for job_id in [job for job in held if not any(f"{prefix}{job}/{n}" in present for n in held[job])]:
                del held[job_id]
        for pair in pairs:
            touched |= self._put(pair.key, pair.value, pair.version, at)
        self.revision = max(self.revision, revision)
        self.loaded = True
        return touched

    def apply(self, changes: wire.Changes, at: float = math.inf) -> set[str]:
        """Several reads may be under way: what an earlier answer told is known, and may have been deleted since."""
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
        """`at`: when this node learned of it."""
        if key.startswith(JOB):
            return self._put_job(key[len(JOB) :], value, version, at)
        if self._versions.get(key, 0) >= version:
            return set()
        self._versions[key] = version
        if key.startswith(PART):
            job_id, number = _numbered(key, PART)
            self.parts.setdefault(job_id, {})[number] = value["text"]
            return self._job_changed(job_id) if job_id in self.jobs else set()
        if key.startswith(DONE):
            job_id, chunk = _numbered(key, DONE)
            self.done.setdefault(job_id, {})[chunk] = (base64.b64decode(value["bits"]), version)
        elif key.startswith(FINE):
            job_id, chunk = _numbered(key, FINE)
            self.fine.setdefault(job_id, {})[chunk] = (base64.b64decode(value["bits"]), version)
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
        self.jobs[job_id] = Entry(record, version, self.chain.through.get(job_id))
        touched = self._job_changed(job_id)
        if record.state == wire.JobState.DONE.value and record.spec is None:
            # There are more of these than of anything else, and what they say is mostly the same; when each was done
            # the chain holds.
            shared = JobRecord(wire.JobState.DONE.value, tasks=record.tasks)
            self.jobs[job_id].record = self._finished.setdefault((shared.state, shared.tasks), shared)
        return touched

    def _remember_cancelled(self, cancellation: Cancellation) -> None:
        self._cancelled.append(cancellation)
        self._cancelled_by_job.setdefault(cancellation.job_id, cancellation)
        if len(self._cancelled) > c.MAX_CANCELLATIONS_REMEMBERED:
            left_out = self._cancelled.popleft()
            self._cancelled_by_job.pop(left_out.job_id, None)
            self._cancelled_from = max(self._cancelled_from, left_out.version)
            self._cancelled_after = max(self._cancelled_after, left_out.learned_at)

    def _job_changed(self, job_id: str) -> set[str]:
        """Draw the consequences for all that needs the job; the jobs touched."""
        entry = self.jobs[job_id]
        record = entry.record
        if record.spec is None and record.parts:
            record.spec = joined(self.parts.get(job_id, {}), record.parts)
        if entry.state is wire.JobState.DONE:
            return {job_id} | self.chain.finish(job_id, record.ended)
        if record.state == wire.JobState.CANCELLED.value:
            over = self.chain.cancel(job_id, job_id)
        elif record.spec is not None:
            over = self.chain.add(job_id, record.spec.needs or (), _own(record.spec, record.at), record.spec.estimate_s)
        else:
            return {job_id}
        for name in over:
            self.jobs[name].through = self.chain.through[name]
        return {job_id} | over

    def _delete(self, key: str, version: int) -> None:
        if self._versions.get(key, 0) >= version:
            return
        if key == LEADER:
            self.leader = None
            self._versions[key] = version
            return
        for held, prefix in ((self.done, DONE), (self.fine, FINE), (self.parts, PART)):
            if key.startswith(prefix):
                job_id, number = _numbered(key, prefix)
                held.get(job_id, {}).pop(number, None)
                self._versions.pop(key, None)

    def learn(self, rows: list[tuple[str, Any, int]], at: float = math.inf) -> set[str]:
        """Records of jobs that were confirmed and not read yet: what a reading will show again, in time."""
        touched: set[str] = set()
        for job_id, value, version in rows:
            touched |= self._put_job(job_id, value, version, at)
        return touched

    def cancelled_since(self, revision: int) -> list[tuple[int, str]] | None:
        """All jobs known to be cancelled by a later revision; None if that is not kept so far back."""
        if revision < self._cancelled_from:
            return None
        return sorted((known.version, known.job_id) for known in self._cancelled if known.version > revision)

    def cancelled_lately(self, since: float) -> list[str]:
        """All jobs that may have been cancelled since then, i.e. were learned of since.

        If that is not kept so far back, all that ever were.
        """
        if since <= self._cancelled_after:
            over = wire.JobState.CANCELLED.value
            return [job_id for job_id, entry in self.jobs.items() if entry.record.state == over]
        return list(dict.fromkeys(known.job_id for known in self._cancelled if known.learned_at >= since))

    def cancelled_by(self, job_id: str) -> str | None:
        """The cancelled job, itself or one that it needs, that ends the job; None if it is not cancelled."""
        entry = self.jobs.get(job_id)
        if entry is None or entry.state is not wire.JobState.CANCELLED:
            return None
        return entry.through or job_id

    def told_after(self, job_id: str) -> float | None:
        """No user was told before then that this job was cancelled; None if this node's readings cannot tell.

        They cannot if it was cancelled before this node began, or so many jobs ago that it is not remembered.
        """
        known = self._cancelled_by_job.get(job_id)
        return known.after if known is not None and math.isfinite(known.after) else None

    # --- what follows from it ---------------------------------------------------------------------

    @property
    def types(self) -> list[wire.MachineType]:
        return [kind for number in sorted(self.type_pieces) for kind in self.type_pieces[number]]

    def ready(self, job_id: str) -> bool:
        """Whether the records of all jobs that it needs say done; nobody's belief counts before that."""
        return not self.chain.waits_for(job_id)

    def waiting_for_others(self) -> int:
        return sum(
            1 for job in self.chain.needs if self.jobs[job].state not in wire.FINAL_JOB_STATES and not self.ready(job)
        )

    def done_tasks(self, job_id: str) -> set[int]:
        tasks: set[int] = set()
        for held, size in ((self.done, c.BITMAP_CHUNK_TASKS), (self.fine, c.FINE_CHUNK_TASKS)):
            for chunk, (bits, _) in held.get(job_id, {}).items():
                tasks |= tasks_in(bits, chunk * size)
        return tasks

    def leftovers(self, job_id: str) -> list[str]:
        """Keys of a job that is over which nobody needs any more."""
        return [
            f"{prefix}{job_id}/{number}"
            for held, prefix in ((self.done, DONE), (self.fine, FINE), (self.parts, PART))
            for number in held.get(job_id, {})
        ]


def _numbered(key: str, prefix: str) -> tuple[str, int]:
    job_id, _, number = key[len(prefix) :].rpartition("/")
    return job_id, int(number)


def _own(spec: wire.JobSpec, at: float) -> Standing:
    return Standing(wire.PRIORITY_RANK[spec.priority], at + spec.deadline_s if spec.deadline_s else math.inf)


def slim(pair: wire.KeyValue) -> wire.KeyValue:
    """A pair that is kept until all pages are read: a job's as its record, which is a fraction of its JSON."""
    if pair.key.startswith(JOB):
        pair.value = wire.convert(pair.value, JobRecord)
        pair.value.state = sys.intern(pair.value.state)
    return pair


# --- values that have to fit ----------------------------------------------------------------------


def fits(value: Any, value_kb: float) -> bool:
    return len(orjson.dumps(value)) <= value_kb * 1024 - c.VALUE_OVERHEAD_BYTES


def cut(text: str, size: int) -> list[str]:
    """In pieces of at most `size` characters."""
    return [text[start : start + size] for start in range(0, len(text), size)]


def parts_of(spec: wire.JobSpec, value_kb: float) -> list[str]:
    """The description as text in pieces that each fit one value; none if the job's own record can hold it."""
    plain = orjson.dumps(wire.to_plain(spec))
    if len(plain) <= value_kb * 1024 - c.JOB_RECORD_OVERHEAD_BYTES:
        return []
    text = base64.b64encode(plain).decode("ascii")
    return cut(text, int(value_kb * 1024) - c.VALUE_OVERHEAD_BYTES)


def joined(parts: dict[int, str], count: int) -> wire.JobSpec | None:
    """The description, if all its pieces are there."""
    if any(number not in parts for number in range(count)):
        return None
    text = "".join(parts[number] for number in range(count))
    spec: wire.JobSpec = wire.convert(orjson.loads(base64.b64decode(text)), wire.JobSpec)
    return spec


def created(spec: wire.JobSpec, parts: list[str], at: float, run: str = "") -> list[dict[str, Any]]:
    """The changes that make a job known."""
    record = JobRecord(wire.JobState.QUEUED.value, None if parts else spec, spec.tasks, at, len(parts), run=run)
    changes = [wire.put(JOB + spec.id, wire.to_plain(record))]
    return changes + [wire.put(f"{PART}{spec.id}/{n}", {"text": text}) for n, text in enumerate(parts)]


def cancelled(record: JobRecord, value_kb: float, ended: float) -> JobRecord:
    """What stays of a job cancelled at that time of day; of a long description only what its last tasks count by."""
    held = JobRecord(wire.JobState.CANCELLED.value, record.spec, record.tasks, record.at, ended=ended)
    if record.spec is not None and not fits(wire.to_plain(held), value_kb):
        held.spec = msgspec.structs.replace(record.spec, types=None, needs=None, zone=None, image="", job_class="")
    return held


def type_changes(types: list[wire.MachineType], known: int, value_kb: float) -> list[dict[str, Any]]:
    """The machine types, in as many values as it takes; `known` pieces are there already."""
    pieces: list[list[wire.MachineType]] = [[]]
    for kind in types:
        if pieces[-1] and not fits({"types": wire.to_plain([*pieces[-1], kind])}, value_kb):
            pieces.append([])
        pieces[-1].append(kind)
    pieces += [[]] * (known - len(pieces))
    keys = [TYPES, *(f"{TYPES}/{n}" for n in range(1, len(pieces)))]
    return [wire.put(key, {"types": wire.to_plain(piece)}) for key, piece in zip(keys, pieces, strict=True)]


def tasks_in(bits: bytes, first: int) -> set[int]:
    return {first + 8 * byte + bit for byte, value in enumerate(bits) if value for bit in range(8) if value >> bit & 1}


def bitmap(tasks: set[int], first: int, count: int) -> dict[str, str]:
    """Which of the tasks `first` to `first + count - 1` are among the given."""
    mine = [task - first for task in tasks if first <= task < first + count]
    bits = bytearray(max(mine, default=-1) // 8 + 1)
    for task in mine:
        bits[task // 8] |= 1 << task % 8
    return {"bits": base64.b64encode(bits).decode("ascii")}


@dataclass(slots=True)
class Saving:
    """One value of finished tasks: its key, the version it follows, and the tasks it holds."""

    key: str
    version: int
    value: dict[str, str]
    tasks: set[int]


def savings(replica: Replica, job_id: str, done: set[int], saved: set[int], value_kb: float) -> list[Saving]:
    """The values that keep what is done and not saved yet.

    The chunks that every version reads, where they fit; finer ones else. A chunk that was stored while values
    could be larger stays as it is.
    """
    found: list[Saving] = []
    for chunk in sorted({task // c.BITMAP_CHUNK_TASKS for task in done - saved}):
        saving = _saving(replica.done, DONE, job_id, done, chunk, c.BITMAP_CHUNK_TASKS)
        if fits(saving.value, value_kb):
            found.append(saving)
            continue
        fine = {task // c.FINE_CHUNK_TASKS for task in (done - saved) & saving.tasks}
        found += [_saving(replica.fine, FINE, job_id, done, n, c.FINE_CHUNK_TASKS) for n in sorted(fine)]
    return found


def _saving(
    held: dict[str, dict[int, tuple[bytes, int]]], prefix: str, job_id: str, done: set[int], chunk: int, size: int
) -> Saving:
    version = held[job_id][chunk][1] if chunk in held.get(job_id, {}) else 0
    tasks = {task for task in done if chunk * size <= task < (chunk + 1) * size}
    return Saving(f"{prefix}{job_id}/{chunk}", version, bitmap(tasks, chunk * size, size), tasks)


@dataclass(slots=True, eq=False)
class _Sync:
    """Somebody who waits for a read that begins later than now."""

    settled: trio.Event = field(default_factory=trio.Event)
    good: bool = False


class Watched:
    """Keeps the replica current, and answers reads that must not be older than their question."""

    def __init__(self, state: StateClient, replica: Replica, on_change: Callable[[set[str]], None]) -> None:
        self._state = state
        self.replica = replica
        self._on_change = on_change
        self._waiting: list[_Sync] = []
        self._wanted = trio.Event()

    async def watch(self) -> None:
        """Follow all changes for ever."""
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
        """Take in what changed; False if the service no longer keeps changes so old."""
        sent = trio.current_time()
        changes = await self._state.changes(WATCHED, self.replica.revision, wait_ms)
        if changes is None:
            return False
        if changes.events or changes.revision > self.replica.revision:
            self._on_change(self.replica.apply(changes, trio.current_time()))
        self.replica.current_at = max(self.replica.current_at, sent)
        return True

    def learn(self, rows: list[tuple[str, Any, int]]) -> None:
        """What this node or another has had confirmed; from here on every answer of this node goes by it."""
        if rows:
            self._on_change(self.replica.learn(rows, trio.current_time()))

    async def _reload(self) -> None:
        revision, pairs = await self._state.read_all(WATCHED, slim)
        self._on_change(self.replica.reload(revision, pairs, trio.current_time()))

    async def sync(self) -> None:
        """Return once the replica holds all that was written before this call.

        Raises NotExecuted if it can't, or not in time.
        """
        if not self.replica.loaded or not self._state.reachable():
            raise NotExecuted("no current reading of the state service")
        reading = _Sync()
        self._waiting.append(reading)
        self._wanted.set()
        with trio.move_on_after(c.SYNC_TIMEOUT_S):
            await reading.settled.wait()
        if not reading.good:
            raise NotExecuted("no current reading of the state service")

    async def serve_syncs(self) -> None:
        """One read for all that wait at its start; a slow one holds up few of those that come later."""
        async with trio.open_nursery() as nursery:
            flying = trio.CapacityLimiter(c.MAX_CONCURRENT_SYNCS)
            while True:
                await self._wanted.wait()
                token = object()
                await flying.acquire_on_behalf_of(token)
                self._wanted = trio.Event()
                batch, self._waiting = self._waiting, []
                nursery.start_soon(self._serve, batch, flying, token)
                with trio.move_on_after(c.SLOW_SYNC_S):  # reads that are answered soon go one after the other
                    await batch[0].settled.wait()
                await trio.sleep(c.MIN_SYNC_INTERVAL_S)

    async def _serve(self, batch: list[_Sync], flying: trio.CapacityLimiter, token: object) -> None:
        good = False
        try:
            good = await self._read(0)
        except (NotExecuted, OutcomeUnknown):
            pass
        finally:
            flying.release_on_behalf_of(token)
            for reading in batch:
                reading.good = good
                reading.settled.set()

    async def keep_current(self, wanted: Callable[[], bool]) -> None:
        """Read now and then while `wanted`: what the copy proves must not be older than what the lease does.

        A quiet watch proves nothing for as long as it waits; polls prove it all the time, and then this reads nothing.
        """
        while True:
            await trio.sleep(c.FRESHNESS_CHECK_INTERVAL_S)
            if wanted() and trio.current_time() - self.replica.current_at >= c.FRESHNESS_CHECK_INTERVAL_S:
                with contextlib.suppress(NotExecuted):
                    await self.sync()
