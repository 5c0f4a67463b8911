"""Time lines outlive a leader in a few values of the state service, written from what nobody else needs.

`c/line/SLOT/N`. Two slots are written in turn, so a leader that dies while it saves leaves the one before whole. Each
piece names what it is a piece of; a slot with pieces of two savings is no saving.
"""

import base64
import logging
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from pepperlatch.console.history import EventKind, UnreadableHistory
from pepperlatch.console.recorder import Recorder
from pepperlatch.constants import console as c
from pepperlatch.constants import core
from pepperlatch.controller import store
from pepperlatch.controller.extensions import ExtensionContext
from pepperlatch.protocol import wire
from pepperlatch.protocol.state import Away, Refused, Unsure

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

log = logging.getLogger(__name__)
PREFIX = "c/line/"


class Piece(msgspec.Struct):
    token: int
    number: int  # of the saving, counted in its term
    of: int  # pieces
    text: str


class TimelinePersistence:
    def __init__(self, core: ExtensionContext, leader: "Leader", recorder: Recorder) -> None:
        self._core = core
        self._leader = leader
        self._recorder = recorder
        self._save_number = 0
        self._saved_count = -1  # of `recorder.changed`
        self._first_slot = 0
        limits = core.settings.params.state
        self._piece_bytes = int(limits.value_kb * 1024) - value_overhead_bytes()
        self._max_pieces = max(1, min(c.SAVE_VALUES, limits.txn_ops))

    # --- taking over --------------------------------------------------------------------------------

    async def restore(self) -> None:
        """What the last leader saved goes before what this one knows; whatever cannot be read is logged and left."""
        while not self._leader.term.over:
            try:
                _, pairs = await self._core.state.read_all(PREFIX)
                break
            except (Away, Unsure):
                await trio.sleep(c.SAVE_POLL_S)
        else:
            return
        found = sorted(_complete_saves(pairs), key=lambda saving: saving[0], reverse=True)
        if found:
            self._first_slot = 1 - found[0][1]  # the newest stays until a newer is whole
        for _, slot, packed in found:
            try:
                count = self._recorder.history.merge_saved(packed, self._recorder.started_at)
            except UnreadableHistory as error:
                log.info("time lines in slot %d are left: %s", slot, error)
                continue
            self._close_ended_timelines()
            log.info("time lines of %d jobs taken over", count)
            return
        self._recorder.history.merge_saved(None, self._recorder.started_at)

    def _close_ended_timelines(self) -> None:
        """What became of jobs that ended while nobody wrote their line."""
        history, wall = self._recorder.history, self._core.wall()
        for job_id in history.unfinished():
            entry = self._leader.replica.jobs.get(job_id)
            if entry is not None and entry.state in wire.FINAL:
                history.add(job_id, EventKind.OVER, wall, f"{entry.state.value} before then")

    # --- saving -------------------------------------------------------------------------------------

    async def save(self) -> None:
        """One saving, piece by piece as the budget has room. Raises Away or Unsure; the slot is then no saving."""
        changed = self._recorder.records_written
        if changed == self._saved_count:
            return
        unfinished = [job_id for job_id, job in self._leader.cluster.jobs.items() if not job.over]
        most = self._max_pieces * self._piece_bytes * 3 // 4
        packed = self._recorder.history.pack(self._core.wall(), most, unfinished)
        texts = store.cut(base64.b64encode(packed).decode("ascii"), self._piece_bytes)
        slot = (self._first_slot + self._save_number) % c.SAVE_SLOTS
        for n, text in enumerate(texts):
            piece = Piece(self._leader.term.token, self._save_number, len(texts), text)
            if not await self._write(f"{PREFIX}{slot}/{n}", piece):
                return
        self._save_number += 1
        self._saved_count = changed

    async def _write(self, key: str, piece: Piece) -> bool:
        """Only while this leader leads, and only when nobody waits for the budget."""
        while self._core.state.writes_spare() < 1:
            await trio.sleep(c.SAVE_POLL_S)
            if self._leader.term.over:
                return False
        leader_condition = wire.when(store.LEADER, self._leader.term.token)
        try:
            outcome = await self._core.state.txn([leader_condition], [wire.put(key, wire.to_plain(piece))])
        except Refused as error:
            log.info("time lines cannot be saved: %s", error)
            return False
        return outcome.applied


def value_overhead_bytes() -> int:
    """Bytes of a value that are not the piece's text."""
    return core.VALUE_SLACK_BYTES + 96


def _complete_saves(pairs: list[wire.KeyValue]) -> list[tuple[tuple[int, int], int, bytes]]:
    """Whole savings: when they were made (token, number), their slot, and what they hold."""
    slots: dict[int, dict[int, Piece]] = {}
    for pair in pairs:
        slot, _, number = pair.key[len(PREFIX) :].partition("/")
        try:
            slots.setdefault(int(slot), {})[int(number)] = wire.convert(pair.value, Piece)
        except (ValueError, msgspec.ValidationError) as error:
            log.info("%s is left: %s", pair.key, error)
    return [whole for slot, pieces in slots.items() if (whole := _assemble_save(slot, pieces)) is not None]


def _assemble_save(slot: int, pieces: dict[int, Piece]) -> tuple[tuple[int, int], int, bytes] | None:
    first: Any = pieces.get(0)
    if first is None or not 1 <= first.of <= c.SAVE_VALUES:
        return None
    row = [pieces.get(n) for n in range(first.of)]
    if any(piece is None or (piece.token, piece.number) != (first.token, first.number) for piece in row):
        return None
    try:
        return (first.token, first.number), slot, base64.b64decode("".join(piece.text for piece in row if piece))
    except ValueError:
        return None
