"""What is recorded of a run, and the next transaction that brings it on. Pure: no I/O, no clock.

A run is written down before the first of its jobs, and every transaction that creates some of them is conditional
on the run's version: once it is cancelled or refused no further job can come, not even by a transaction that was
held up. Which jobs are there the state service alone says, so whoever resumes a run asks that and goes on.

    open -> sent | refusing | cancelling;  sent -> cancelling;  refusing -> refused;  cancelling -> cancelled
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
import orjson

from pepperlatch.constants import core
from pepperlatch.constants import pipelines as c
from pepperlatch.controller import store
from pepperlatch.pipelines.keys import OPEN, PIECE, RUN
from pepperlatch.protocol import wire
from pepperlatch.settings import StateLimits


class Phase(str, Enum):
    OPEN = "open"  # jobs are still to be created
    SENT = "sent"  # all are
    REFUSING = "refusing"  # those created are being withdrawn
    REFUSED = "refused"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"


PENDING = (Phase.OPEN, Phase.REFUSING, Phase.CANCELLING)
WITHDRAWN = {Phase.REFUSING: Phase.REFUSED, Phase.CANCELLING: Phase.CANCELLED}  # once none of its jobs is left


class RunRecord(msgspec.Struct, omit_defaults=True):
    """Grows by optional fields only."""

    phase: Phase
    digest: str
    at: float  # s; time of day when it was recorded, by the clock of the node that did
    plan: str = ""  # packed
    pieces: int = 0  # below `PIECE`, that hold it instead
    reason: str = ""  # why it was refused


@dataclass(slots=True)
class Change:
    """A transaction: what must hold, and what is written; `ids`: the jobs that it creates."""

    when: list[dict[str, Any]]
    writes: list[dict[str, Any]]
    ids: list[str]


def record(run_name: str, digest: str, packed: str, at: float, value_kb: float) -> Change:
    """Write a run down, with all that it takes to go on by anybody."""
    size = int(value_kb * 1024) - core.JOB_RECORD_OVERHEAD_BYTES
    pieces = store.split_text(packed, size) if len(packed) > size else []
    run = RunRecord(Phase.OPEN, digest, at, "" if pieces else packed, len(pieces))
    writes = [put_run(run_name, run), wire.put(OPEN + run_name, {})]
    writes += [wire.put(f"{PIECE}{run_name}/{n}", {"text": text}) for n, text in enumerate(pieces)]
    return Change([wire.version_condition(RUN + run_name, 0)], writes, [])


def create(
    run_name: str, version: int, missing: Collection[wire.JobSpec], at: float, limits: StateLimits, most: int
) -> Change:
    """The next jobs of a run, at least one, at most so many changes; the rest stays for the next time."""
    when = [wire.version_condition(RUN + run_name, version)]
    writes: list[dict[str, Any]] = []
    ids: list[str] = []
    size = 0
    for spec in missing:
        parts = store.description_parts(spec, limits.value_kb)
        changes = store.creation_changes(spec, parts, at, run_name)
        size += sum(len(orjson.dumps(change)) for change in changes)
        if ids and (len(writes) + len(changes) > min(most, limits.txn_ops) or size > core.MAX_TXN_BYTES):
            break
        when.append(wire.version_condition(store.JOB + spec.id, 0))
        writes += changes
        ids.append(spec.id)
    return Change(when, writes, ids)


def moved(run_name: str, run: RunRecord, version: int, phase: Phase, reason: str = "") -> Change:
    """To another phase; what has something left to do is kept where the leader looks."""
    after = msgspec.structs.replace(run, phase=phase, reason=reason[: c.MAX_REASON_CHARS] or run.reason)
    mark = wire.put(OPEN + run_name, {}) if phase in PENDING else wire.delete(OPEN + run_name)
    return Change([wire.version_condition(RUN + run_name, version)], [put_run(run_name, after), mark], [])


def put_run(run_name: str, run: RunRecord) -> dict[str, Any]:
    return wire.put(RUN + run_name, wire.to_plain(run))


def changes_of(packed: str, value_kb: float) -> int:
    """How many changes it takes to record a plan of this size."""
    return len(record("", "", packed, 0.0, value_kb).writes)
