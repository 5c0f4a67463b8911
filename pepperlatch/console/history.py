"""Time lines of jobs, packed: what happened when, in bounded memory. No I/O, no clock.

A line is a row of records of 15 bytes. What is alike and close together is one record with a count; the middle of a
long line is squeezed; over the budget the lines of jobs that ended longest ago go first. Each of these leaves a
record that says so: a line may have gaps, and never hides one.
"""

import struct
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from pepperlatch.constants import console as c

_RECORD = struct.Struct("<IBHII")  # tenths of a second since `base`, what, count, text, subject
_Fields = tuple[int, int, int, int, int]
MANY = 0xFFFFFFFF  # a subject that differs among the records merged
VERSION = 1


class What(IntEnum):
    ACCEPTED = 1
    WAITS = 2  # for jobs that it needs
    READY = 3
    REASON = 4
    STARTED = 5
    ENDED = 6
    OVER = 7
    GAP = 8  # nothing is known of this span: another controller led
    SQUEEZED = 9  # so many records were dropped


class Event(msgspec.Struct, omit_defaults=True):
    """One record, read. `at`: time of day, s. `subject`: a machine, or empty where several are meant."""

    at: float
    what: str
    text: str = ""
    count: int = 1
    subject: str = ""


class Foreign(ValueError):
    """A saved history that cannot be read."""


@dataclass(slots=True)
class Names:
    """Texts that come again and again, each kept once."""

    texts: list[str] = field(default_factory=lambda: [""])
    bytes: int = 0
    _index: dict[str, int] = field(default_factory=lambda: {"": 0})

    def put(self, text: str) -> int:
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


class Saved(msgspec.Struct, array_like=True):
    """What outlives a leader, before it is compressed."""

    version: int
    at: float
    base: float
    texts: list[str]
    subjects: list[str]
    lines: dict[str, bytes]


@dataclass(slots=True)
class History:
    base: float  # time of day, s; records are counted from here
    most: int = c.MAX_HISTORY_BYTES
    texts: Names = field(default_factory=Names)
    subjects: Names = field(default_factory=Names)
    dropped: int = 0  # lines given up for lack of room
    _lines: dict[str, bytearray] = field(default_factory=dict)
    _ended: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _records: int = 0

    def size(self) -> int:
        """What all of it takes, about."""
        return (
            self._records * _RECORD.size + len(self._lines) * c.TIMELINE_OVERHEAD_BYTES
            + self.texts.bytes + self.subjects.bytes
        )  # fmt: skip

    def __len__(self) -> int:
        return len(self._lines)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._lines

    def has(self, job_id: str, what: What) -> bool:
        return any(kind == what for _, kind, _, _, _ in _RECORD.iter_unpack(self._lines.get(job_id, b"")))

    def add(self, job_id: str, what: What, at: float, text: str = "", subject: str = "", count: int = 1) -> None:
        line = self._lines.get(job_id)
        if line is None:
            line = self._lines[job_id] = bytearray()
        tenths = min(0xFFFFFFFF, max(0, round((at - self.base) * 10)))
        said, whom = self.texts.put(text), self.subjects.put(subject)
        if line and count == 1 and self._merged(line, tenths, what, said, whom):
            return
        line += _RECORD.pack(tenths, what, min(count, 0xFFFF), said, whom)
        self._records += 1
        if len(line) > c.MAX_TIMELINE_RECORDS * _RECORD.size:
            self._squeeze(line)
        if what is What.OVER:
            self._ended[job_id] = None
        self._keep_within()

    def _merged(self, line: bytearray, tenths: int, what: What, said: int, whom: int) -> bool:
        """Whether it is one more of what the last record says."""
        last = len(line) - _RECORD.size
        at, kind, count, text, subject = _RECORD.unpack_from(line, last)
        if kind == what == What.REASON and at == tenths:  # nobody waited for that one
            _RECORD.pack_into(line, last, at, kind, 1, said, whom)
            return True
        alike = kind == what and text == said and what in (What.STARTED, What.ENDED)
        if not alike or tenths - at > c.MERGE_WINDOW_S * 10 or count == 0xFFFF:
            return False
        _RECORD.pack_into(line, last, at, kind, count + 1, text, subject if subject == whom else MANY)
        return True

    def _squeeze(self, line: bytearray) -> None:
        """The beginning and the end stay; what was between is one record with its count."""
        size = _RECORD.size
        head, tail = c.TIMELINE_HEAD_RECORDS * size, len(line) - c.TIMELINE_TAIL_RECORDS * size
        dropped, first = 0, 0
        for start in range(head, tail, size):
            at, kind, count, _, _ = _RECORD.unpack_from(line, start)
            first = first or at
            dropped += count if kind == What.SQUEEZED else 1
        line[head:tail] = _RECORD.pack(first, What.SQUEEZED, min(dropped, 0xFFFF), 0, 0)
        self._records -= (tail - head) // size - 1

    def _keep_within(self) -> None:
        while self.size() > self.most and self._ended:
            self._forget(next(iter(self._ended)))
        while self.size() > self.most and len(self._lines) > 1:
            self._forget(next(iter(self._lines)))

    def _forget(self, job_id: str) -> None:
        self._ended.pop(job_id, None)
        self._records -= len(self._lines.pop(job_id)) // _RECORD.size
        self.dropped += 1

    def line(self, job_id: str) -> list[Event]:
        """All that is kept of a job, oldest first."""
        return [self._read(fields) for fields in _RECORD.iter_unpack(self._lines.get(job_id, b""))]

    def _read(self, fields: _Fields) -> Event:
        tenths, kind, count, text, subject = fields
        who = "" if subject == MANY else self.subjects.get(subject)
        return Event(round(self.base + tenths / 10, 1), What(kind).name.lower(), self.texts.get(text), count, who)

    # --- outliving a leader -----------------------------------------------------------------------

    def pack(self, at: float, most: int, first: Iterable[str]) -> bytes:
        """As much as fits `most` bytes compressed: the jobs named first (those that wait), then the latest ended."""
        wanted = [job_id for job_id in first if job_id in self._lines]
        held = set(wanted)
        wanted += [job_id for job_id in reversed(self._ended) if job_id not in held]
        count = len(wanted)
        while True:
            packed = self._packed(at, wanted[:count])
            if len(packed) <= most or count == 0:
                return packed
            count = min(count - 1, count * most // len(packed))

    def _packed(self, at: float, job_ids: list[str]) -> bytes:
        """Only the names that these lines use, renumbered."""
        texts, subjects = Names(), Names()
        lines = {}
        for job_id in job_ids:
            line = bytearray()
            for tenths, kind, count, text, subject in _RECORD.iter_unpack(self._lines[job_id]):
                whom = subject if subject == MANY else subjects.put(self.subjects.get(subject))
                line += _RECORD.pack(tenths, kind, count, texts.put(self.texts.get(text)), whom)
            lines[job_id] = bytes(line)
        saved = Saved(VERSION, at, self.base, texts.texts, subjects.texts, lines)
        return zlib.compress(msgspec.msgpack.encode(saved), 6)

    def take_over(self, packed: bytes | None, began: float) -> int:
        """Put what an earlier leader saved before what this one wrote since `began`; how many lines.

        Where it saved nothing, the span before `began` is a gap. Raises Foreign if it cannot be read; nothing is
        changed then.
        """
        saved = _unpacked(packed) if packed is not None else None
        earlier = {job_id: _checked(job_id, line) for job_id, line in saved.lines.items()} if saved else {}
        own, own_ended = self._lines, self._ended
        self._lines, self._ended, self._records = {}, OrderedDict(), 0
        for job_id, records in earlier.items():
            assert saved is not None
            self._add_earlier(job_id, records, saved)
            if job_id not in self._ended:
                self._gap(job_id, saved.at, began)
        for job_id, line in own.items():
            self._append_own(job_id, list(_RECORD.iter_unpack(line)), began)
        self._ended.update(own_ended)
        self._keep_within()
        return len(earlier)

    def _add_earlier(self, job_id: str, records: list[_Fields], saved: Saved) -> None:
        for tenths, kind, count, text, subject in records:
            who = "" if subject == MANY else _at(saved.subjects, subject)
            self.add(job_id, What(kind), saved.base + tenths / 10, _at(saved.texts, text), who, max(1, count))

    def _append_own(self, job_id: str, records: list[_Fields], began: float) -> None:
        """What the earlier line says of how it began is not said twice."""
        line = self._lines.setdefault(job_id, bytearray())
        known = {kind for _, kind, _, _, _ in _RECORD.iter_unpack(line)}
        for fields in records:
            if known and fields[1] in known & {What.ACCEPTED, What.READY}:
                continue
            line += _RECORD.pack(*fields)
            self._records += 1
            at = self.base + fields[0] / 10
            if not known and fields[1] == What.ACCEPTED and began - at > c.MERGE_WINDOW_S:
                self._gap(job_id, at, began)

    def _gap(self, job_id: str, since: float, until: float) -> None:
        self.add(job_id, What.GAP, since, f"nothing is known of {max(0.0, until - since):.0f} s: another led")

    def unended(self) -> list[str]:
        return [job_id for job_id in self._lines if job_id not in self._ended]


def _at(texts: list[str], index: int) -> str:
    return texts[index] if index < len(texts) else ""


def _unpacked(packed: bytes) -> Saved:
    try:
        plain = zlib.decompressobj().decompress(packed, c.MAX_HISTORY_BYTES)
        saved: Saved = msgspec.msgpack.decode(plain, type=Saved)
    except (zlib.error, msgspec.DecodeError) as error:
        raise Foreign(f"not a history: {error}") from None
    if saved.version != VERSION:
        raise Foreign(f"a history of version {saved.version}")
    return saved


def _checked(job_id: str, line: bytes) -> list[_Fields]:
    known = {what.value for what in What}
    try:
        records = list(_RECORD.iter_unpack(line))
    except struct.error as error:
        raise Foreign(f"{job_id}: {error}") from None
    if any(kind not in known for _, kind, _, _, _ in records):
        raise Foreign(f"{job_id}: a record of a kind that is not known here")
    return records
