"""Time lines of jobs in a compact encoding and bounded memory: what happened to each job, and when. No I/O, no clock.

A time line is a sequence of 15-byte records. Equal events that are close together are merged into one record with a
count. The middle of a long time line is replaced by one record with the number of dropped records. When the memory
limit is exceeded, the time lines of jobs that ended longest ago are dropped and counted. A time line may have gaps, but
always shows them.
"""

import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from pepperlatch.constants import console as c

_RECORD = struct.Struct("<IBHII")  # tenths of a second since `base`, kind, count, text, subject
_Fields = tuple[int, int, int, int, int]
SEVERAL_SUBJECTS = 0xFFFFFFFF  # subject index of a merged record with different subjects
VERSION = 1  # of the saved form


class EventKind(IntEnum):
    """The kind of a record. The values are stored; the names in lower case are shown to users."""

    ACCEPTED = 1
    WAITS = 2  # for other jobs that this one needs
    READY = 3
    REASON = 4  # the stated reason changed
    STARTED = 5  # a task
    ENDED = 6  # a task
    OVER = 7  # the job is finished or cancelled
    GAP = 8  # nothing is known of this period: another controller led
    SQUEEZED = 9  # `count` records were dropped here


class Event(msgspec.Struct, omit_defaults=True):
    """One decoded record. `at`: time of day, s. `subject`: a machine; empty for several machines or none."""

    at: float
    what: str
    text: str = ""
    count: int = 1
    subject: str = ""


class UnreadableHistory(ValueError):
    """A saved history is damaged or of another version."""


@dataclass(slots=True)
class StringTable:
    """Strings to which records refer by index, each stored once. Index 0 is the empty string."""

    texts: list[str] = field(default_factory=lambda: [""])
    bytes: int = 0  # approximate memory use
    _index: dict[str, int] = field(default_factory=lambda: {"": 0})

    def intern(self, text: str) -> int:
        """The string's index; 0 if the table is full (MAX_NAMES)."""
        index = self._index.get(text)
        if index is None:
            if len(self.texts) >= c.MAX_NAMES:
                return 0
            index = self._index[text] = len(self.texts)
            self.texts.append(text)
            self.bytes += c.NAME_OVERHEAD_BYTES + len(text)
        return index

    def get(self, index: int) -> str:
        return self.texts[index] if index < len(self.texts) else ""


class SavedHistory(msgspec.Struct, array_like=True):
    """The saved form of a history, before compression. `at`: when it was saved; `base`: see History; both in s."""

    version: int
    at: float
    base: float
    texts: list[str]
    subjects: list[str]
    lines: dict[str, bytes]


@dataclass(slots=True)
class History:
    """The time lines of all jobs that this leader knows, within `max_bytes` of memory."""

    base: float  # time of day, s; times in records are relative to it
    max_bytes: int = c.MAX_HISTORY_BYTES
    texts: StringTable = field(default_factory=StringTable)
    subjects: StringTable = field(default_factory=StringTable)
    dropped: int = 0  # time lines dropped to stay within max_bytes
    _timelines: dict[str, bytearray] = field(default_factory=dict)
    _ended: OrderedDict[str, None] = field(default_factory=OrderedDict)  # finished jobs, oldest first
    _records: int = 0

    def size(self) -> int:
        """Approximate memory use, in bytes."""
        return (
            self._records * _RECORD.size + len(self._timelines) * c.TIMELINE_OVERHEAD_BYTES
            + self.texts.bytes + self.subjects.bytes
        )  # fmt: skip

    def __len__(self) -> int:
        return len(self._timelines)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._timelines

    def has(self, job_id: str, what: EventKind) -> bool:
        """Whether the job's time line holds a record of that kind."""
        return any(kind == what for _, kind, _, _, _ in _RECORD.iter_unpack(self._timelines.get(job_id, b"")))

    def add(self, job_id: str, what: EventKind, at: float, text: str = "", subject: str = "", count: int = 1) -> None:
        """Append an event, or merge it into the last record. May drop records or time lines to stay within bounds.

        `at`: time of day, s.
        """
        line = self._timelines.get(job_id)
        if line is None:
            line = self._timelines[job_id] = bytearray()
        tenths = min(0xFFFFFFFF, max(0, round((at - self.base) * 10)))
        text_index, subject_index = self.texts.intern(text), self.subjects.intern(subject)
        if line and count == 1 and self._merge_into_last(line, tenths, what, text_index, subject_index):
            return
        line += _RECORD.pack(tenths, what, min(count, 0xFFFF), text_index, subject_index)
        self._records += 1
        if len(line) > c.MAX_TIMELINE_RECORDS * _RECORD.size:
            self._drop_middle(line)
        if what is EventKind.OVER:
            self._ended[job_id] = None
        self._enforce_memory_limit()

    def _merge_into_last(
        self, line: bytearray, tenths: int, what: EventKind, text_index: int, subject_index: int
    ) -> bool:
        """Merge the event into the last record if possible; False if it needs a record of its own.

        Starts and ends with the same text within MERGE_WINDOW_S are counted together. A reason at the same time as the
        previous reason replaces it.
        """
        last = len(line) - _RECORD.size
        at, kind, count, text, subject = _RECORD.unpack_from(line, last)
        if kind == what == EventKind.REASON and at == tenths:  # the earlier reason lasted no time
            _RECORD.pack_into(line, last, at, kind, 1, text_index, subject_index)
            return True
        alike = kind == what and text == text_index and what in (EventKind.STARTED, EventKind.ENDED)
        if not alike or tenths - at > c.MERGE_WINDOW_S * 10 or count == 0xFFFF:
            return False
        _RECORD.pack_into(
            line, last, at, kind, count + 1, text, subject if subject == subject_index else SEVERAL_SUBJECTS
        )
        return True

    def _drop_middle(self, line: bytearray) -> None:
        """Replace the middle of a time line by one record with the number of dropped records."""
        size = _RECORD.size
        head, tail = c.TIMELINE_HEAD_RECORDS * size, len(line) - c.TIMELINE_TAIL_RECORDS * size
        dropped, first = 0, 0
        for start in range(head, tail, size):
            at, kind, count, _, _ = _RECORD.unpack_from(line, start)
            first = first or at
            dropped += count if kind == EventKind.SQUEEZED else 1
        line[head:tail] = _RECORD.pack(first, EventKind.SQUEEZED, min(dropped, 0xFFFF), 0, 0)
        self._records -= (tail - head) // size - 1

    def _enforce_memory_limit(self) -> None:
        """Drop time lines until the size is within `max_bytes`: of finished jobs first, then the oldest; keep one."""
        while self.size() > self.max_bytes and self._ended:
            self._drop_timeline(next(iter(self._ended)))
        while self.size() > self.max_bytes and len(self._timelines) > 1:
            self._drop_timeline(next(iter(self._timelines)))

    def _drop_timeline(self, job_id: str) -> None:
        self._ended.pop(job_id, None)
        self._records -= len(self._timelines.pop(job_id)) // _RECORD.size
        self.dropped += 1

    def timeline(self, job_id: str) -> list[Event]:
        """The job's time line, oldest event first; empty if none is kept."""
        return [self._decode_record(fields) for fields in _RECORD.iter_unpack(self._timelines.get(job_id, b""))]

    def _decode_record(self, fields: _Fields) -> Event:
        tenths, kind, count, text, subject = fields
        subject_name = "" if subject == SEVERAL_SUBJECTS else self.subjects.get(subject)
        return Event(
            round(self.base + tenths / 10, 1), EventKind(kind).name.lower(), self.texts.get(text), count, subject_name
        )

    # --- saving and restoring ---------------------------------------------------------------------

    def pack(self, at: float, max_bytes: int, first: Iterable[str]) -> bytes:
        """Encode and compress as many time lines as fit into `max_bytes`.

        The jobs in `first` (the unfinished ones) come first, then the most recently ended jobs. `at`: time of day, s.
        """
        selected = [job_id for job_id in first if job_id in self._timelines]
        held = set(selected)
        selected += [job_id for job_id in reversed(self._ended) if job_id not in held]
        count = len(selected)
        while True:
            packed = self._encode(at, selected[:count])
            if len(packed) <= max_bytes or count == 0:
                return packed
            count = min(count - 1, count * max_bytes // len(packed))

    def _encode(self, at: float, job_ids: list[str]) -> bytes:
        """The time lines of these jobs, compressed, with only the strings that they use, renumbered."""
        texts, subjects = StringTable(), StringTable()
        lines = {}
        for job_id in job_ids:
            line = bytearray()
            for tenths, kind, count, text, subject in _RECORD.iter_unpack(self._timelines[job_id]):
                subject_index = subject if subject == SEVERAL_SUBJECTS else subjects.intern(self.subjects.get(subject))
                line += _RECORD.pack(tenths, kind, count, texts.intern(self.texts.get(text)), subject_index)
            lines[job_id] = bytes(line)
        saved = SavedHistory(VERSION, at, self.base, texts.texts, subjects.texts, lines)
        return zlib.compress(msgspec.msgpack.encode(saved), 6)

    def merge_saved(self, packed: bytes | None, started_at: float) -> int:
        """Insert the time lines that an earlier leader saved before this leader's own; returns how many there were.

        `started_at`: time of day, s, since which this leader records. The period before it that the saved time lines
        don't cover is marked as a gap. Raises UnreadableHistory if `packed` can't be read; nothing is changed then.
        """
        saved = _decompress(packed) if packed is not None else None
        earlier = {job_id: _validated_records(job_id, line) for job_id, line in saved.lines.items()} if saved else {}
        own, own_ended = self._timelines, self._ended
        self._timelines, self._ended, self._records = {}, OrderedDict(), 0
        for job_id, records in earlier.items():
            assert saved is not None
            self._add_earlier(job_id, records, saved)
            if job_id not in self._ended:
                self._add_gap(job_id, saved.at, started_at)
        for job_id, line in own.items():
            self._append_own(job_id, list(_RECORD.iter_unpack(line)), started_at)
        self._ended.update(own_ended)
        self._enforce_memory_limit()
        return len(earlier)

    def _add_earlier(self, job_id: str, records: list[_Fields], saved: SavedHistory) -> None:
        """Add the records of a saved time line, with their string indexes translated to those of this history."""
        for tenths, kind, count, text, subject in records:
            subject_name = "" if subject == SEVERAL_SUBJECTS else _string_at(saved.subjects, subject)
            self.add(
                job_id,
                EventKind(kind),
                saved.base + tenths / 10,
                _string_at(saved.texts, text),
                subject_name,
                max(1, count),
            )

    def _append_own(self, job_id: str, records: list[_Fields], started_at: float) -> None:
        """Append this leader's own records, without a second `accepted` or `ready` record."""
        line = self._timelines.setdefault(job_id, bytearray())
        known = {kind for _, kind, _, _, _ in _RECORD.iter_unpack(line)}
        for fields in records:
            if known and fields[1] in known & {EventKind.ACCEPTED, EventKind.READY}:
                continue
            line += _RECORD.pack(*fields)
            self._records += 1
            at = self.base + fields[0] / 10
            if not known and fields[1] == EventKind.ACCEPTED and started_at - at > c.MERGE_WINDOW_S:
                self._add_gap(job_id, at, started_at)

    def _add_gap(self, job_id: str, since: float, until: float) -> None:
        self.add(job_id, EventKind.GAP, since, f"nothing is known of {max(0.0, until - since):.0f} s: another led")

    def unfinished(self) -> list[str]:
        """Ids of the jobs whose time line has no end yet."""
        return [job_id for job_id in self._timelines if job_id not in self._ended]


def _string_at(texts: list[str], index: int) -> str:
    return texts[index] if index < len(texts) else ""


def _decompress(packed: bytes) -> SavedHistory:
    """The saved history, of which at most MAX_HISTORY_BYTES are decompressed. Raises UnreadableHistory."""
    try:
        plain = zlib.decompressobj().decompress(packed, c.MAX_HISTORY_BYTES)
        saved: SavedHistory = msgspec.msgpack.decode(plain, type=SavedHistory)
    except (zlib.error, msgspec.DecodeError) as error:
        raise UnreadableHistory(f"not a history: {error}") from None
    if saved.version != VERSION:
        raise UnreadableHistory(f"a history of version {saved.version}")
    return saved


def _validated_records(job_id: str, line: bytes) -> list[_Fields]:
    """The records of one saved time line. Raises UnreadableHistory for damaged records and unknown kinds."""
    known = {what.value for what in EventKind}
    try:
        records = list(_RECORD.iter_unpack(line))
    except struct.error as error:
        raise UnreadableHistory(f"{job_id}: {error}") from None
    if any(kind not in known for _, kind, _, _, _ in records):
        raise UnreadableHistory(f"{job_id}: a record of a kind that is not known here")
    return records
