"""The stored record of a run, and the transactions that advance it. No I/O, no clock.

A run is recorded before the first of its jobs, and every transaction that creates jobs is conditional on the version of
the run's record: once the run is cancelled or refused no further job can be created, not even by a delayed transaction.
Only the state service knows which jobs exist, so a node that resumes a run reads that first.

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
from pepperlatch.pipelines.keys import PENDING_RUN, PLAN_PIECE, RUN
from pepperlatch.protocol import wire
from pepperlatch.settings import StateLimits


class Phase(str, Enum):
    """Phase of a run; the values are stored and shown to users."""

    OPEN = "open"  # jobs are still to be created
    SENT = "sent"  # all jobs are created
    REFUSING = "refusing"  # a job was refused, and those created are being cancelled
    REFUSED = "refused"
    CANCELLING = "cancelling"  # a user cancelled the run, and its jobs are being cancelled
    CANCELLED = "cancelled"


# Phases in which jobs are still to be created or cancelled.
PENDING_PHASES = (Phase.OPEN, Phase.REFUSING, Phase.CANCELLING)
# The phase that follows once the run's jobs are cancelled.
PHASE_AFTER_CANCELLATION = {Phase.REFUSING: Phase.REFUSED, Phase.CANCELLING: Phase.CANCELLED}


class RunRecord(msgspec.Struct, omit_defaults=True):
    """The stored record of a run. It only ever gains optional fields, since two versions run during a rollout."""

    phase: Phase
    digest: str  # of the plan's content (`plan.digest`)
    at: float  # s; time of day when it was recorded, by the recording node's clock
    plan: str = ""  # packed; empty if it is stored in pieces
    pieces: int = 0  # number of pieces below `PLAN_PIECE` that hold the packed plan instead of `plan`
    reason: str = ""  # why it was refused


@dataclass(slots=True)
class Transaction:
    """A transaction of the state service: conditions and writes. `job_ids`: the jobs that it creates."""

    conditions: list[dict[str, Any]]
    writes: list[dict[str, Any]]
    job_ids: list[str]


def record_run(run_name: str, digest: str, packed: str, at: float, value_kb: float) -> Transaction:
    """Record a run with its plan, so that any node can advance it.

    `at`: time of day in seconds. `value_kb`: the state service's limit of a value in KiB.
    """
    size = int(value_kb * 1024) - core.JOB_RECORD_OVERHEAD_BYTES
    pieces = store.split_text(packed, size) if len(packed) > size else []
    run = RunRecord(Phase.OPEN, digest, at, "" if pieces else packed, len(pieces))
    writes = [put_run(run_name, run), wire.put(PENDING_RUN + run_name, {})]
    writes += [wire.put(f"{PLAN_PIECE}{run_name}/{n}", {"text": text}) for n, text in enumerate(pieces)]
    return Transaction([wire.version_condition(RUN + run_name, 0)], writes, [])


def create_jobs(
    run_name: str, version: int, missing: Collection[wire.JobSpec], at: float, limits: StateLimits, max_changes: int
) -> Transaction:
    """Create the next of a run's missing jobs: as many as fit into `max_changes` changes, but at least one.

    The remaining jobs are left to the next transaction. `version`: of the run's record. `at`: the submission's time of
    day in seconds that is stored with the jobs.
    """
    conditions = [wire.version_condition(RUN + run_name, version)]
    writes: list[dict[str, Any]] = []
    job_ids: list[str] = []
    size = 0
    for spec in missing:
        parts = store.description_parts(spec, limits.value_kb)
        changes = store.creation_changes(spec, parts, at, run_name)
        size += sum(len(orjson.dumps(change)) for change in changes)
        if job_ids and (len(writes) + len(changes) > min(max_changes, limits.txn_ops) or size > core.MAX_TXN_BYTES):
            break
        conditions.append(wire.version_condition(store.JOB + spec.id, 0))
        writes += changes
        job_ids.append(spec.id)
    return Transaction(conditions, writes, job_ids)


def change_phase(run_name: str, run: RunRecord, version: int, phase: Phase, reason: str = "") -> Transaction:
    """Set a run's phase. Its key below `PENDING_RUN`, where the leader finds it, exists in pending phases only."""
    updated = msgspec.structs.replace(run, phase=phase, reason=reason[: c.MAX_REASON_CHARS] or run.reason)
    marker = wire.put(PENDING_RUN + run_name, {}) if phase in PENDING_PHASES else wire.delete(PENDING_RUN + run_name)
    return Transaction([wire.version_condition(RUN + run_name, version)], [put_run(run_name, updated), marker], [])


def put_run(run_name: str, run: RunRecord) -> dict[str, Any]:
    """The write that stores a run's record."""
    return wire.put(RUN + run_name, wire.to_plain(run))


def count_record_writes(packed: str, value_kb: float) -> int:
    """How many writes it takes to record a run with this plan; `value_kb` as in `record_run`."""
    return len(record_run("", "", packed, 0.0, value_kb).writes)
