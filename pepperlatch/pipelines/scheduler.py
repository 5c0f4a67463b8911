"""Schedules: kept by any node, run by whoever leads, each due time once whoever that is.

A due time is dealt with in one transaction that moves the schedule's record past it and records the run; it is
conditional on the record's version, so two leaders, a late transaction or a repeated one do it once.
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
from pepperlatch.pipelines.plan import BadPlan, Plan
from pepperlatch.pipelines.schedules import Schedule, ScheduleRecord
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Response

if TYPE_CHECKING:
    from pepperlatch.pipelines.service import Service

log = logging.getLogger(__name__)


class _Body(msgspec.Struct):
    plan: str
    schedule: Schedule


class Scheduler:
    def __init__(self, service: "Service", core: ExtensionContext) -> None:
        self._service = service
        self._state = core.state
        self._wall = core.wall
        self._value_kb = core.settings.params.state.value_kb

    # --- requests ---------------------------------------------------------------------------------

    async def handle(self, method: str, rest: str, body: bytes) -> Response:
        name, _, verb = rest.partition("/")
        if not name and method == "GET":
            return await self._list()
        if not plans.ADDRESS.fullmatch(name) or "@" in name:
            return Response(404, {"error": "no such schedule"})
        if (method, verb) == ("PUT", ""):
            return await self._put(name, body)
        found = await self._read(name)
        if found is None:
            return Response(404, {"error": "no such schedule"})
        record, version = found
        if (method, verb) == ("GET", ""):
            return Response(200, self._row(name, record))
        if (method, verb) == ("DELETE", ""):
            outcome = await self._service.commit(schedules.removed(name, version, record))
            return Response(200, {"schedule": name, "removed": True}) if outcome.applied else retry_later()
        if method == "POST" and verb in ("pause", "resume"):
            return await self._pause(name, record, version, verb == "pause")
        return Response(404, {"error": "no such path"})

    async def _list(self) -> Response:
        _, pairs = await self._state.read_all(keys.CRON)
        rows = [self._row(pair.key[len(keys.CRON) :], wire.convert(pair.value, ScheduleRecord)) for pair in pairs]
        return Response(200, {"schedules": rows[: c.STEPS_PER_PAGE], "total": len(rows)})

    def _row(self, name: str, record: ScheduleRecord) -> dict[str, Any]:
        after = max(record.after, self._wall()) if record.missed == "skip" else record.after
        due = None if record.paused else schedules.stamp(schedules.next_due(record.cron, record.timezone, after))
        shown = {"cron": record.cron, "timezone": record.timezone, "missed": record.missed, "paused": record.paused}
        return {"schedule": name, **shown, "next": due}

    async def _put(self, name: str, body: bytes) -> Response:
        """Refused as a run would be; the same again changes nothing, another one replaces it from now on."""
        try:
            asked = wire.convert(orjson.loads(body), _Body)
            plan = plans.unpack(asked.plan)
        except (orjson.JSONDecodeError, msgspec.ValidationError, BadPlan) as error:
            return Response(400, {"error": str(error)})
        wrong = schedules.problem(asked.schedule.cron, asked.schedule.timezone)
        if wrong is not None:
            problem = {"place": f"schedule.{wrong[0]}", "error": wrong[1]}
            return Response(400, {"error": "the schedule cannot be kept", "problems": [problem]})
        packed = plans.pack(plan)
        refused = self._service.malformed(plan, name) or self._service.too_large(packed)
        refused = refused or await self._service.refusal(plan)
        if refused is not None:
            return refused
        return await self._keep(name, asked.schedule, packed, plans.digest(plan))

    async def _keep(self, name: str, asked: Schedule, packed: str, digest: str) -> Response:
        held, version = await self._read(name) or (None, 0)
        record = ScheduleRecord(asked.cron, asked.timezone, asked.missed, digest, 0, self._wall())
        if held is not None and _same(held, record):
            return Response(200, self._row(name, held))
        record.paused = held is not None and held.paused
        pieces = held.pieces if held is not None else 0
        await self._service.room(1)
        outcome = await self._service.commit(schedules.kept(name, version, record, packed, pieces, self._value_kb))
        return Response(200, self._row(name, record)) if outcome.applied else retry_later()

    async def _pause(self, name: str, record: ScheduleRecord, version: int, paused: bool) -> Response:
        """What would have been due while it was paused is not run afterwards."""
        if record.paused != paused:
            after = record.after if paused else max(record.after, self._wall())
            record = msgspec.structs.replace(record, paused=paused, after=after)
            outcome = await self._service.commit(schedules.moved(name, version, record))
            if not outcome.applied:
                return retry_later()
        return Response(200, self._row(name, record))

    async def _read(self, name: str) -> tuple[ScheduleRecord, int] | None:
        pair = await self._state.read(keys.CRON + name)
        return (wire.convert(pair.value, ScheduleRecord), pair.version) if pair is not None else None

    # --- what is due ------------------------------------------------------------------------------

    async def run_due(self, marks: Sequence[wire.KeyValue]) -> None:
        """The leader's.

        Raises NotExecuted or OutcomeUnknown if the state service does not answer: the next look goes on from there.
        """
        for pair in marks:
            if pair.key.startswith(keys.CRON):
                record = wire.convert(pair.value, ScheduleRecord)
                due = schedules.due(record, self._wall())
                if due:
                    await self._run(pair.key[len(keys.CRON) :], record, pair.version, due)

    async def _run(self, name: str, record: ScheduleRecord, version: int, due: Sequence[float]) -> None:
        plan = await self._plan(name, record)
        for at in due:
            if plan is None:
                return
            record = msgspec.structs.replace(record, after=at)
            change = schedules.moved(name, version, record)
            run = msgspec.structs.replace(plan, key=schedules.stamp(at))
            if await self._state.read(keys.RUN + run.run_name) is None:
                begun = runs.record(run.run_name, plans.digest(run), plans.pack(run), self._wall(), self._value_kb)
                change = runs.Change(change.when + begun.when, change.writes + begun.writes, [])
            outcome = await self._service.commit(change)
            if not outcome.applied:
                return  # somebody else dealt with it, or changed the schedule
            version = outcome.revision
            log.info("schedule %s: %s is due", name, run.run_name)
            self._service.drive(run.run_name)

    async def _plan(self, name: str, record: ScheduleRecord) -> Plan | None:
        """None if it is being replaced just now."""
        try:
            plan = plans.unpack(await self._service.joined(keys.SCHEDULED + name, record.pieces))
        except BadPlan:
            return None
        return plan if plans.digest(plan) == record.digest else None


def _same(held: ScheduleRecord, asked: ScheduleRecord) -> bool:
    return (held.cron, held.timezone, held.missed, held.digest) == (
        asked.cron, asked.timezone, asked.missed, asked.digest,
    )  # fmt: skip
