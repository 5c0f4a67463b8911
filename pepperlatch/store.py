"""Keys and records in the state service, and this node's copy of those that every node watches.

`j/` is watched by all: the leader's key, jobs, finished tasks, machine types, operators' settings.
`f/` is the leader's alone: hires and machines. It is read on taking over only.
"""

import base64
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from pepperlatch import constants as c
from pepperlatch import wire
from pepperlatch.state import Away, StateClient, Unsure

WATCHED = "j/"
LEADER = "j/leader"
TYPES = "j/types"
TUNING = "j/tuning"
JOB = "j/job/"
DONE = "j/done/"
FLEET = "f/"
HIRE = "f/hire/"
MACHINE = "f/machine/"

_JOB_ID = re.compile(wire.JOB_ID)


def is_job_id(text: object) -> bool:
    return isinstance(text, str) and _JOB_ID.fullmatch(text) is not None


def done_key(job_id: str, chunk: int) -> str:
    return f"{DONE}{job_id}/{chunk}"


class JobRecord(msgspec.Struct, omit_defaults=True):
    """What lasts of a job; the description is dropped once the job is over."""

    state: str
    spec: wire.JobSpec | None = None
    tasks: int = 0
    at: float = 0.0  # time of day of the submission, by the accepting node's clock


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


@dataclass(slots=True)
class Entry:
    """A watched job: its record, the version of its key and the revision that created it (if seen)."""

    record: JobRecord
    version: int

    @property
    def state(self) -> wire.JobState:
        return wire.JobState(self.record.state)


@dataclass(slots=True)
class Replica:
    """This node's copy of the watched keys, always at one revision."""

    revision: int = 0
    loaded: bool = False
    jobs: dict[str, Entry] = field(default_factory=dict)
    done: dict[str, dict[int, tuple[bytes, int]]] = field(default_factory=dict)
    leader: tuple[str, int] | None = None
    types: list[wire.MachineType] = field(default_factory=list)
    types_version: int = 0
    tuning: tuple[dict[str, Any], int] = field(default_factory=lambda: ({}, 0))
    _versions: dict[str, int] = field(default_factory=dict)

    def reload(self, revision: int, pairs: list[wire.KeyValue]) -> set[str]:
        """Take a fresh reading (after 410 or at the start); the job ids it touched.

        Its pages may be newer than its revision; the changes replayed on top are told apart by version.
        """
        present = {pair.key for pair in pairs}
        touched: set[str] = set()
        if self.leader is not None and LEADER not in present:
            self.leader = None
        for job_id in [key for key in self.done if not any(done_key(key, n) in present for n in self.done[key])]:
            del self.done[job_id]
        for pair in pairs:
            touched |= self._put(pair.key, pair.value, pair.version)
        self.revision = max(self.revision, revision)
        self.loaded = True
        return touched

    def apply(self, changes: wire.Changes) -> set[str]:
        touched: set[str] = set()
        for event in changes.events:
            if event.put is not None:
                touched |= self._put(event.put, event.value, event.version)
            elif event.delete is not None:
                self._delete(event.delete, event.version)
        self.revision = max(self.revision, changes.revision)
        return touched

    def _put(self, key: str, value: Any, version: int) -> set[str]:
        if self._versions.get(key, 0) >= version:
            return set()
        self._versions[key] = version
        if key.startswith(JOB):
            job_id = key[len(JOB) :]
            self.jobs[job_id] = Entry(wire.convert(value, JobRecord), version)
            return {job_id}
        if key.startswith(DONE):
            job_id, _, chunk = key[len(DONE) :].rpartition("/")
            self.done.setdefault(job_id, {})[int(chunk)] = (base64.b64decode(value["bits"]), version)
        elif key == LEADER:
            self.leader = (value["node"], version)
        elif key == TYPES:
            self.types, self.types_version = wire.convert(value["types"], list[wire.MachineType]), version
        elif key == TUNING:
            self.tuning = (value, version)
        return set()

    def _delete(self, key: str, version: int) -> None:
        if self._versions.get(key, 0) >= version:
            return
        if key == LEADER:
            self.leader = None
            self._versions[key] = version
        elif key.startswith(DONE):
            job_id, _, chunk = key[len(DONE) :].rpartition("/")
            self.done.get(job_id, {}).pop(int(chunk), None)
            self._versions.pop(key, None)


def done_tasks(bits: bytes, chunk: int) -> set[int]:
    base = chunk * c.BITMAP_CHUNK_TASKS
    return {base + 8 * byte + bit for byte, value in enumerate(bits) if value for bit in range(8) if value >> bit & 1}


def bitmap(tasks: set[int], chunk: int) -> dict[str, str]:
    base = chunk * c.BITMAP_CHUNK_TASKS
    mine = [task - base for task in tasks if base <= task < base + c.BITMAP_CHUNK_TASKS]
    bits = bytearray(max(mine, default=-1) // 8 + 1)
    for task in mine:
        bits[task // 8] |= 1 << task % 8
    return {"bits": base64.b64encode(bits).decode("ascii")}


class Watched:
    """Keeps the replica current, and answers reads that must not be older than their question."""

    def __init__(self, state: StateClient, replica: Replica, on_change: Callable[[set[str]], None]) -> None:
        self._state = state
        self.replica = replica
        self._on_change = on_change
        self._waiting: list[trio.Event] = []
        self._wanted = trio.Event()
        self._failed: set[trio.Event] = set()
        self.current_at = float("-inf")  # when the latest read that proved the replica current was sent

    async def watch(self) -> None:
        """Follow all changes for ever."""
        while True:
            try:
                if not self.replica.loaded:
                    await self._reload()
                if not await self._read(c.WATCH_WAIT_MS):
                    await self._reload()
                await trio.sleep(c.WATCH_GAP_S)
            except (Away, Unsure):
                await trio.sleep(c.STATE_RETRY_S)

    async def _read(self, wait_ms: int) -> bool:
        """Take in what changed; False if the service no longer keeps changes so old."""
        sent = trio.current_time()
        changes = await self._state.changes(WATCHED, self.replica.revision, wait_ms)
        if changes is None:
            return False
        if changes.events or changes.revision > self.replica.revision:
            self._on_change(self.replica.apply(changes))
        self.current_at = max(self.current_at, sent)
        return True

    async def _reload(self) -> None:
        revision, pairs = await self._state.read_all(WATCHED)
        self._on_change(self.replica.reload(revision, pairs))

    async def sync(self) -> None:
        """Return once the replica holds all that was written before this call; Away if it can't."""
        if not self.replica.loaded or not self._state.reachable():
            raise Away("no current reading of the state service")
        event = trio.Event()
        self._waiting.append(event)
        self._wanted.set()
        await event.wait()
        if event in self._failed:
            self._failed.discard(event)
            raise Away("no current reading of the state service")

    async def serve_syncs(self) -> None:
        """One read for all that wait at its start."""
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            batch, self._waiting = self._waiting, []
            try:
                if not await self._read(0):
                    raise Away("changes no longer kept")
            except (Away, Unsure):
                self._failed.update(batch)
            for event in batch:
                event.set()
            await trio.sleep(c.SYNC_GAP_S)
