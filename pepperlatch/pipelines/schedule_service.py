"""HTTP requests for schedules, which any node answers, and the start of due runs, which the leader does.

A due time is handled in one transaction that sets the schedule's record to it and records the run. The transaction is
conditional on the record's version, so two leaders, or a delayed or repeated transaction, start the run only once.
"""

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import msgspec
import orjson

from pepperlatch.constants import pipelines as c
from pepperlatch.controller.extensions import ExtensionContext
from pepperlatch.controller.users import retry_later
from pepperlatch.pipelines import keys, runs, schedules
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.plan import InvalidPlan, Plan
from pepperlatch.pipelines.schedules import Schedule, ScheduleRecord
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Response

if TYPE_CHECKING:
    from pepperlatch.pipelines.service import PipelineService

log = logging.getLogger(__name__)


class _ScheduleBody(msgspec.Struct):
    """Body of a PUT of a schedule; `plan` is packed (`plan.pack`)."""

    plan: str
    schedule: Schedule


class ScheduleService:
    """Serves /schedules on one node, and starts due runs while the node leads.

    Methods raise NotExecuted or OutcomeUnknown if the state service does not answer.
    """

    def __init__(self, service: "PipelineService", core: ExtensionContext) -> None:
        self._service = service
        self._state = core.state
        self._wall = core.wall
        self._value_kb = core.settings.params.state.value_kb

    # --- requests ---------------------------------------------------------------------------------

    async def handle(self, method: str, rest: str, body: bytes) -> Response:
        """Answer a user's request; `rest` is the path below /schedules/: empty, `name` or `name/verb`."""
        name, _, verb = rest.partition("/")
        if not name and method == "GET":
            return await self._list_schedules()
        if not plans.RUN_NAME.fullmatch(name) or "@" in name:
            return Response(404, {"error": "no such schedule"})
        if (method, verb) == ("PUT", ""):
            return await self._put_schedule(name, body)
        found = await self._read_schedule(name)
        if found is None:
            return Response(404, {"error": "no such schedule"})
        record, version = found
        if (method, verb) == ("GET", ""):
            return Response(200, self._row(name, record))
        if (method, verb) == ("DELETE", ""):
            outcome = await self._service.commit(schedules.remove_schedule(name, version, record))
            return Response(200, {"schedule": name, "removed": True}) if outcome.applied else retry_later()
        if method == "POST" and verb in ("pause", "resume"):
            return await self._pause(name, record, version, verb == "pause")
        return Response(404, {"error": "no such path"})

    async def _list_schedules(self) -> Response:
        """The first STEPS_PER_PAGE schedules, and how many there are in all."""
        _, pairs = await self._state.read_all(keys.SCHEDULE)
        rows = [self._row(pair.key[len(keys.SCHEDULE) :], wire.convert(pair.value, ScheduleRecord)) for pair in pairs]
        return Response(200, {"schedules": rows[: c.STEPS_PER_PAGE], "total": len(rows)})

    def _row(self, name: str, record: ScheduleRecord) -> dict[str, Any]:
        """A schedule as users see it, with its next due time in UTC, None while it is paused."""
        after = max(record.handled_until, self._wall()) if record.missed == "skip" else record.handled_until
        due = None if record.paused else schedules.run_key(schedules.next_due(record.cron, record.timezone, after))
        shown = {"cron": record.cron, "timezone": record.timezone, "missed": record.missed, "paused": record.paused}
        return {"schedule": name, **shown, "next": due}

    async def _put_schedule(self, name: str, body: bytes) -> Response:
        """Create or replace a schedule; its plan is refused where that of a run would be.

        The same schedule again changes nothing; another one with the same name replaces it from now on.
        """
        try:
            request = wire.convert(orjson.loads(body), _ScheduleBody)
            plan = plans.unpack(request.plan)
        except (orjson.JSONDecodeError, msgspec.ValidationError, InvalidPlan) as error:
            return Response(400, {"error": str(error)})
        wrong = schedules.find_problem(request.schedule.cron, request.schedule.timezone)
        if wrong is not None:
            problem = {"place": f"schedule.{wrong[0]}", "error": wrong[1]}
            return Response(400, {"error": "the schedule cannot be kept", "problems": [problem]})
        packed = plans.pack(plan)
        refusal = self._service.refuse_malformed(plan, name) or self._service.refuse_too_large(packed)
        refusal = refusal or await self._service.refuse_unrunnable(plan)
        if refusal is not None:
            return refusal
        return await self._store_schedule(name, request.schedule, packed, plans.digest(plan))

    async def _store_schedule(self, name: str, schedule: Schedule, packed: str, digest: str) -> Response:
        """Record a checked schedule, unless the same one is recorded already. A paused schedule stays paused."""
        existing, version = await self._read_schedule(name) or (None, 0)
        record = ScheduleRecord(schedule.cron, schedule.timezone, schedule.missed, digest, 0, self._wall())
        if existing is not None and _same_content(existing, record):
            return Response(200, self._row(name, existing))
        record.paused = existing is not None and existing.paused
        pieces = existing.pieces if existing is not None else 0
        await self._service.wait_for_write_budget(1)
        outcome = await self._service.commit(
            schedules.put_schedule(name, version, record, packed, pieces, self._value_kb)
        )
        return Response(200, self._row(name, record)) if outcome.applied else retry_later()

    async def _pause(self, name: str, record: ScheduleRecord, version: int, paused: bool) -> Response:
        """Pause or resume a schedule. Due times that pass while it is paused are not run afterwards."""
        if record.paused != paused:
            handled_until = record.handled_until if paused else max(record.handled_until, self._wall())
            record = msgspec.structs.replace(record, paused=paused, handled_until=handled_until)
            outcome = await self._service.commit(schedules.update_schedule(name, version, record))
            if not outcome.applied:
                return retry_later()
        return Response(200, self._row(name, record))

    async def _read_schedule(self, name: str) -> tuple[ScheduleRecord, int] | None:
        """The record of a schedule and its version; None if there is no such schedule."""
        pair = await self._state.read(keys.SCHEDULE + name)
        return (wire.convert(pair.value, ScheduleRecord), pair.version) if pair is not None else None

    # --- due runs ---------------------------------------------------------------------------------

    async def run_due(self, pending: Sequence[wire.KeyValue]) -> None:
        """Start the runs of schedules that are due; `pending` are the pairs below `keys.PENDING`.

        Called on the leader. Raises NotExecuted or OutcomeUnknown if the state service does not answer; the next call
        continues from there.
        """
        for pair in pending:
            if pair.key.startswith(keys.SCHEDULE):
                record = wire.convert(pair.value, ScheduleRecord)
                due = schedules.due_times(record, self._wall())
                if due:
                    await self._start_due_runs(pair.key[len(keys.SCHEDULE) :], record, pair.version, due)

    async def _start_due_runs(self, name: str, record: ScheduleRecord, version: int, due: Sequence[float]) -> None:
        """Start a run for each due time (time of day in s), in order, unless that run exists already."""
        plan = await self._load_plan(name, record)
        for at in due:
            if plan is None:
                return
            record = msgspec.structs.replace(record, handled_until=at)
            transaction = schedules.update_schedule(name, version, record)
            run = msgspec.structs.replace(plan, key=schedules.run_key(at))
            if await self._state.read(keys.RUN + run.run_name) is None:
                recording = runs.record_run(
                    run.run_name, plans.digest(run), plans.pack(run), self._wall(), self._value_kb
                )
                transaction = runs.Transaction(
                    transaction.conditions + recording.conditions, transaction.writes + recording.writes, []
                )
            outcome = await self._service.commit(transaction)
            if not outcome.applied:
                return  # another leader handled the due time, or the schedule was changed
            version = outcome.revision
            log.info("schedule %s is due, creating the jobs of pipeline run %s", name, run.run_name)
            self._service.advance(run.run_name)

    async def _load_plan(self, name: str, record: ScheduleRecord) -> Plan | None:
        """The plan of a schedule; None if it is being replaced at this moment."""
        try:
            plan = plans.unpack(await self._service.read_pieces(keys.SCHEDULE_PIECE + name, record.pieces))
        except InvalidPlan:
            return None
        return plan if plans.digest(plan) == record.digest else None


def _same_content(existing: ScheduleRecord, new: ScheduleRecord) -> bool:
    return (existing.cron, existing.timezone, existing.missed, existing.digest) == (
        new.cron, new.timezone, new.missed, new.digest,
    )  # fmt: skip
