"""Saves time lines in the state service, so that the next leader can continue them.

A save is compressed, encoded as text and cut into pieces, stored under `c/line/SLOT/N`. It uses only the write budget
that other writes leave. Two slots are written in turn, so a leader that dies while it saves leaves the previous save
complete. Each piece names the save that it belongs to; a slot with pieces of two saves is ignored.
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
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown, Rejected

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

log = logging.getLogger(__name__)
PREFIX = "c/line/"


class Piece(msgspec.Struct):
    """One stored value: a piece of a save."""

    token: int  # of the term that saved it
    number: int  # of the save, counted within its term
    of: int  # number of pieces of the save
    text: str  # base64


class TimelinePersistence:
    """Restores and saves the time lines in one term of leadership. Used by the extension while it leads."""

    def __init__(self, core: ExtensionContext, leader: "Leader", recorder: Recorder) -> None:
        self._core = core
        self._leader = leader
        self._recorder = recorder
        self._save_number = 0
        self._saved_count = -1  # `recorder.records_written` at the last save
        self._first_slot = 0
        limits = core.settings.params.state
        self._piece_bytes = int(limits.value_kb * 1024) - value_overhead_bytes()
        self._max_pieces = max(1, min(c.MAX_SAVE_VALUES, limits.txn_ops))

    # --- restoring ----------------------------------------------------------------------------------

    async def restore(self) -> None:
        """Insert the newest readable save before this leader's own records; unreadable saves are logged and skipped.

        Retries while the state service doesn't answer, until the term is over. Without a readable save, the time before
        this term is marked as a gap.
        """
        while not self._leader.term.over:
            try:
                _, pairs = await self._core.state.read_all(PREFIX)
                break
            except (NotExecuted, OutcomeUnknown):
                await trio.sleep(c.SAVE_BUDGET_POLL_S)
        else:
            return
        found = sorted(_complete_saves(pairs), key=lambda save: save[0], reverse=True)
        if found:
            self._first_slot = 1 - found[0][1]  # keep the newest save until a newer one is complete
        for _, slot, packed in found:
            try:
                count = self._recorder.history.merge_saved(packed, self._recorder.started_at)
            except UnreadableHistory as error:
                log.info("saved time lines in slot %d cannot be read and are ignored: %s", slot, error)
                continue
            self._close_ended_timelines()
            log.info("restored the time lines of %d jobs saved by an earlier leader", count)
            return
        self._recorder.history.merge_saved(None, self._recorder.started_at)

    def _close_ended_timelines(self) -> None:
        """Record the end of jobs that ended while no leader recorded their time line."""
        history, wall = self._recorder.history, self._core.wall()
        for job_id in history.unfinished():
            entry = self._leader.replica.jobs.get(job_id)
            if entry is not None and entry.state in wire.FINAL_JOB_STATES:
                history.add(job_id, EventKind.OVER, wall, f"{entry.state.value} before then")

    # --- saving -------------------------------------------------------------------------------------

    async def save(self) -> None:
        """Write one save, piece by piece as the write budget allows; do nothing if there are no new records.

        Raises NotExecuted or OutcomeUnknown if the state service fails; the slot then holds no complete save.
        """
        changed = self._recorder.records_written
        if changed == self._saved_count:
            return
        unfinished = [job_id for job_id, job in self._leader.cluster.jobs.items() if not job.over]
        max_bytes = self._max_pieces * self._piece_bytes * 3 // 4  # base64 writes 3 bytes as 4 characters
        packed = self._recorder.history.pack(self._core.wall(), max_bytes, unfinished)
        texts = store.split_text(base64.b64encode(packed).decode("ascii"), self._piece_bytes)
        slot = (self._first_slot + self._save_number) % c.SAVE_SLOTS
        for n, text in enumerate(texts):
            piece = Piece(self._leader.term.token, self._save_number, len(texts), text)
            if not await self._write(f"{PREFIX}{slot}/{n}", piece):
                return
        self._save_number += 1
        self._saved_count = changed

    async def _write(self, key: str, piece: Piece) -> bool:
        """Write a piece once there is spare write budget, on condition that this node still leads.

        False if the term is over, the service refuses the value, or the condition fails.
        """
        while self._core.state.spare_writes() < 1:
            await trio.sleep(c.SAVE_BUDGET_POLL_S)
            if self._leader.term.over:
                return False
        leader_condition = wire.version_condition(store.LEADER, self._leader.term.token)
        try:
            outcome = await self._core.state.txn([leader_condition], [wire.put(key, wire.to_plain(piece))])
        except Rejected as error:
            log.info("state service refused a piece of the time lines, retrying with the next save: %s", error)
            return False
        return outcome.applied


def value_overhead_bytes() -> int:
    """Bytes of a stored value besides the piece's text: field names, numbers and quotes."""
    return core.VALUE_OVERHEAD_BYTES + 96


def _complete_saves(pairs: list[wire.KeyValue]) -> list[tuple[tuple[int, int], int, bytes]]:
    """The complete saves: their order (token, number), slot, and content. Unreadable values are logged and skipped."""
    slots: dict[int, dict[int, Piece]] = {}
    for pair in pairs:
        slot, _, number = pair.key[len(PREFIX) :].partition("/")
        try:
            slots.setdefault(int(slot), {})[int(number)] = wire.convert(pair.value, Piece)
        except (ValueError, msgspec.ValidationError) as error:
            log.info("%s is not a piece of saved time lines and is ignored: %s", pair.key, error)
    return [save for slot, pieces in slots.items() if (save := _assemble_save(slot, pieces)) is not None]


def _assemble_save(slot: int, pieces: dict[int, Piece]) -> tuple[tuple[int, int], int, bytes] | None:
    """The save in a slot, or None if pieces are missing, belong to another save, or are not base64."""
    first: Any = pieces.get(0)
    if first is None or not 1 <= first.of <= c.MAX_SAVE_VALUES:
        return None
    found = [pieces.get(n) for n in range(first.of)]
    if any(piece is None or (piece.token, piece.number) != (first.token, first.number) for piece in found):
        return None
    try:
        return (first.token, first.number), slot, base64.b64decode("".join(piece.text for piece in found if piece))
    except ValueError:
        return None
