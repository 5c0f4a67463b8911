"""The controllers' side of pipelines: takes plans, submits their jobs, tells how they stand, withdraws them.

Any node takes a plan and brings it on; what a dead node left behind the
leader takes up. Several may bring on the same run: every transaction is conditional, so each job is created once.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
import orjson
import trio

from pepperlatch import features
from pepperlatch.constants import core
from pepperlatch.constants import pipelines as c
from pepperlatch.controller import store
from pepperlatch.controller.extensions import ExtensionContext
from pepperlatch.controller.users import Malformed, Unsatisfiable, retry_later
from pepperlatch.pipelines import keys, runs
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.plan import BadPlan, Plan
from pepperlatch.pipelines.runs import Change, Phase, RunRecord
from pepperlatch.pipelines.scheduler import Scheduler
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import NotExecuted, Outcome, OutcomeUnknown, Rejected

log = logging.getLogger(__name__)
ROOT, SCHEDULES = "/pipelines/", "/schedules"


@dataclass(slots=True)
class Held:
    """A run as it was read: its record, the version of its key, its plan and the jobs of its steps."""

    run_name: str
    run: RunRecord
    version: int
    plan: Plan
    specs: dict[str, wire.JobSpec]


class _Body(msgspec.Struct):
    plan: str


class _Again(msgspec.Struct, rename={"first": "from"}):
    first: list[str]


class Service:
    """Lives as long as `nursery`, in which runs are brought on."""

    def __init__(self, core: ExtensionContext, wanted: features.Pipelines, nursery: trio.Nursery) -> None:
        self._core = core
        self._state = core.state
        self._limits = core.settings.params.state
        self._repeats = wanted.repeats
        self._nursery = nursery
        self._driven: dict[str, trio.Event] = {}
        self._turn = trio.Lock()  # its queue is first come, first served: runs get their batches in turn
        self._reads = trio.CapacityLimiter(c.MAX_CONCURRENT_RUN_READS)
        self._schedules = Scheduler(self, core)
        self._plans: OrderedDict[tuple[str, str], tuple[Plan, dict[str, wire.JobSpec]]] = OrderedDict()

    def take_up(self, marks: Collection[str]) -> None:
        """Bring on what nobody did; `marks` are keys below `keys.TODO`."""
        for key in sorted(marks):
            if key.startswith(keys.OPEN):
                self.drive(key[len(keys.OPEN) :])

    async def run_due(self, marks: Sequence[wire.KeyValue]) -> None:
        """Begin what schedules say is due; `marks` are the pairs below `keys.TODO`."""
        await self._schedules.run_due(marks)

    # --- requests ---------------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        path, _, query = request.path.partition("?")
        if path.startswith(SCHEDULES):
            return await self._schedules.handle(request.method, unquote(path[len(SCHEDULES) + 1 :]), request.body)
        run_name, _, verb = unquote(path[len(ROOT) :]).partition("/")
        if not run_name and request.method == "GET":
            return Response(200, {"repeats": self._repeats, "steps": c.MAX_STEPS, "packed": c.MAX_PACKED_PLAN_CHARS})
        if run_name and (request.method, verb) == ("PUT", ""):
            return await self._put(run_name, request.body)
        if run_name and (request.method, verb) == ("GET", ""):
            return await self._show(run_name, parse_qs(query).get("after", [""])[0])
        if run_name and (request.method, verb) == ("POST", "cancel"):
            return await self._cancel(run_name)
        if run_name and (request.method, verb) == ("POST", "rerun"):
            return await self._rerun(run_name, request.body)
        return Response(404, {"error": "no such path"})

    async def _put(self, run_name: str, body: bytes) -> Response:
        try:
            plan = plans.unpack(wire.convert(orjson.loads(body), _Body).plan)
        except (orjson.JSONDecodeError, msgspec.ValidationError, BadPlan) as error:
            return Response(400, {"error": str(error)})
        refused = self.malformed(plan, run_name)
        return refused or await self._begin(plan)

    def malformed(self, plan: Plan, run_name: str) -> Response | None:
        wrong = plans.problems(plan, self._repeats)
        if not wrong and plan.run_name == run_name:
            return None
        listed = [{"place": plans.where(p.path), "error": p.text} for p in wrong[: c.MAX_ERRORS_SHOWN]]
        if not wrong:
            listed = [{"place": "name", "error": f"the plan is that of {plan.run_name!r}, not of {run_name!r}"}]
        return Response(400, {"error": "the plan cannot be run", "problems": listed})

    async def _begin(self, plan: Plan) -> Response:
        """Refused whole, or recorded; one known already is brought on, if it is the same."""
        held, digest = await self._read(plan.run_name), plans.digest(plan)
        if held is None:
            packed = plans.pack(plan)
            refused = self.too_large(packed)
            if refused is not None:
                return refused
            refused = await self.refusal(plan)
            if refused is not None:
                return refused
            await self.room(1)
            at = self._core.wall()
            change = runs.record(plan.run_name, digest, packed, at, self._limits.value_kb)
            await self.commit(change)
            held = await self._read(plan.run_name)
            if held is None:
                return retry_later()
            log.info("run %s: %d steps", plan.run_name, len(plan.steps))
        if held.run.digest != digest:
            differs = plans.differences(held.plan, plan)
            return Response(409, {"error": "this run was sent before with other content", "differs": differs})
        return await self._settled(held)

    def too_large(self, packed: str) -> Response | None:
        """With room for the record of a schedule that is moved in the same transaction."""
        changes = runs.changes_of(packed, self._limits.value_kb) + 1
        if len(packed) <= c.MAX_PACKED_PLAN_CHARS and changes <= self._limits.txn_ops:
            return None
        return Response(400, {"error": "the plan is larger than what is recorded at once"})

    async def refusal(self, plan: Plan) -> Response | None:
        """What any of its jobs would be refused for, before any of them is sent."""
        found: list[dict[str, Any]] = []
        named = plans.job_specs(plan)
        for number, step in enumerate(plan.steps):
            if number % c.CHECKS_PER_BATCH == 0:
                await trio.sleep(0)
            spec = named[step.name]
            wrong = self._wrong(spec)
            if wrong is None and step.jobs:
                need = await self._core.users.find_invalid_dependency(msgspec.structs.replace(spec, needs=step.jobs))
                wrong = (422, need) if need is not None else None
            if wrong is not None:
                place = f"steps[{number}]"
                found.append({"place": place, "step": step.name, "status": wrong[0], "error": wrong[1]})
        if not found:
            return None
        status = min(problem["status"] for problem in found)
        return Response(status, {"error": "refused whole, nothing was sent", "problems": found[: c.MAX_ERRORS_SHOWN]})

    def _wrong(self, spec: wire.JobSpec) -> tuple[int, str] | None:
        """What POST /work would refuse it with; NotExecuted if this node cannot tell yet.

        The one check for both paths.
        """
        try:
            if self._core.users.check(wire.to_plain(spec)) is None:
                raise NotExecuted("the machine types are not known yet")
        except Malformed as error:
            return 400, str(error)
        except Unsatisfiable as error:
            return 422, str(error)
        return None

    async def _settled(self, held: Held) -> Response:
        """The answer once all its jobs are there or all are withdrawn; 202 if that takes longer."""
        if held.run.phase in runs.PENDING:
            ended = self.drive(held.run_name)
            with trio.move_on_after(core.SUBMIT_TIMEOUT_S):
                await ended.wait()
                held = await self._read(held.run_name) or held
        answer = {"run": held.run_name, "phase": held.run.phase.value, "steps": len(held.specs)}
        if held.run.reason:
            answer["reason"] = held.run.reason
        if held.run.phase in runs.PENDING:
            return Response(202, answer, {"Retry-After": str(core.RETRY_AFTER_S)})
        return Response(422 if held.run.phase is Phase.REFUSED else 200, answer)

    async def _show(self, run_name: str, after: str) -> Response:
        held = await self._read(run_name)
        if held is None:
            return Response(404, {"error": "no such run"})
        await self._core.watcher.sync()
        names = list(held.specs)
        begin = int(after) if after.isdigit() else 0
        rows = [self._row(held, name) for name in names[begin : begin + c.STEPS_PER_PAGE]]
        answer: dict[str, Any] = {"run": run_name, "status": self._status(held), "phase": held.run.phase.value}
        if held.run.reason:
            answer["reason"] = held.run.reason
        answer["total"] = len(names)
        answer["rows"] = rows
        if begin + c.STEPS_PER_PAGE < len(names):
            answer["next"] = begin + c.STEPS_PER_PAGE
        return Response(200, answer)

    def _row(self, held: Held, name: str) -> dict[str, Any]:
        spec = held.specs[name]
        entry = self._core.watcher.replica.jobs.get(spec.id)
        if entry is None:
            return {"step": name, wire.ID_FIELD: spec.id, "status": "not sent", "tasks": spec.tasks}
        return {"step": name, "tasks": spec.tasks, **self._core.users.describe(spec.id, entry)}

    def _status(self, held: Held) -> str:
        """One word for the whole: the phase while it is not sent, else what its jobs say together."""
        if held.run.phase is not Phase.SENT:
            return str(held.run.phase.value)
        jobs = self._core.watcher.replica.jobs
        states = [jobs[spec.id].state for spec in held.specs.values() if spec.id in jobs]
        if any(state is wire.JobState.CANCELLED for state in states):
            return str(wire.JobState.CANCELLED.value)
        over = len(states) == len(held.specs) and all(state is wire.JobState.DONE for state in states)
        return str((wire.JobState.DONE if over else wire.JobState.RUNNING).value)

    async def _cancel(self, run_name: str) -> Response:
        held = await self._read(run_name)
        if held is None:
            return Response(404, {"error": "no such run"})
        if held.run.phase in (Phase.OPEN, Phase.SENT):
            outcome = await self.commit(runs.moved(run_name, held.run, held.version, Phase.CANCELLING))
            if not outcome.applied:
                return retry_later()
            held = await self._read(run_name) or held
        answer = await self._settled(held)
        return Response(200, answer.body) if answer.status == 422 else answer

    async def _rerun(self, run_name: str, body: bytes) -> Response:
        """Begin the next attempt: the steps named and all after them anew, the others as they are."""
        try:
            first = wire.convert(orjson.loads(body), _Again).first
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        held = await self._read(run_name)
        if held is None:
            return Response(404, {"error": "no such run"})
        unknown = [name for name in first if name not in held.specs]
        if unknown or not first:
            said = [f"no step is called {name!r}{plans.meant(name, held.specs)}" for name in unknown]
            return Response(400, {"error": "; ".join(said) or "no step is named"})
        plan = plans.redone(held.plan, first)
        await self._core.watcher.sync()
        wrong = [] if await self._read(plan.run_name) else self._not_again(held, plan)
        if wrong:
            return Response(409, {"error": "cannot be run again so", "problems": wrong[: c.MAX_ERRORS_SHOWN]})
        return await self._begin(plan)

    def _not_again(self, held: Held, plan: Plan) -> list[dict[str, str]]:
        if held.run.phase in runs.PENDING:
            return [{"error": f"the run is {held.run.phase.value}; wait until that is over"}]
        found = []
        for step in plan.steps:
            spec = held.specs[step.name]
            entry = self._core.watcher.replica.jobs.get(spec.id)
            state = entry.state if entry is not None else wire.JobState.CANCELLED
            if step.attempt < plan.attempt:
                wrong = "is withdrawn; run it again too" if state is wire.JobState.CANCELLED else ""
            elif state not in wire.FINAL_JOB_STATES:
                wrong = "is not over yet; cancel it first"
            elif state is wire.JobState.DONE and spec.job_class not in self._repeats:
                wrong = f"is done, and the operators let no job of class {spec.job_class!r} repeat"
            else:
                wrong = ""
            if wrong:
                found.append({"step": step.name, "error": f"step {step.name!r} {wrong}"})
        return found

    # --- reading ----------------------------------------------------------------------------------

    async def _read(self, run_name: str) -> Held | None:
        """Linearizable. NotExecuted if too many wait already: polls of runs must not crowd out those of jobs."""
        if self._reads.statistics().tasks_waiting >= c.MAX_WAITING_RUN_READS:
            raise NotExecuted("too many look at runs")
        async with self._reads:
            pair = await self._state.read(keys.RUN + run_name) if plans.ADDRESS.fullmatch(run_name) else None
            if pair is None:
                return None
            run: RunRecord = wire.convert(pair.value, RunRecord)
            plan, specs = await self._plan(run_name, run)
        return Held(run_name, run, pair.version, plan, specs)

    async def _plan(self, run_name: str, run: RunRecord) -> tuple[Plan, dict[str, wire.JobSpec]]:
        known = self._plans.get((run_name, run.digest))
        if known is None:
            plan = plans.unpack(run.plan or await self.joined(keys.PIECE + run_name, run.pieces))
            known = self._plans[(run_name, run.digest)] = (plan, plans.job_specs(plan))
            if len(self._plans) > c.MAX_CACHED_PLANS:
                self._plans.popitem(last=False)
        return known

    async def joined(self, prefix: str, pieces: int) -> str:
        """What was cut into pieces; shorter if some are gone, and then no plan can be unpacked from it."""
        found = [await self._state.read(f"{prefix}/{number}") for number in range(pieces)]
        return "".join(piece.value["text"] for piece in found if piece is not None)

    # --- bringing a run on ------------------------------------------------------------------------

    def drive(self, run_name: str) -> trio.Event:
        """Bring it on in the background, once at a time at this node; the event tells that it has ended."""
        ended = self._driven.get(run_name)
        if ended is None:
            ended = self._driven[run_name] = trio.Event()
            self._nursery.start_soon(self._bring_on, run_name, ended)
        return ended

    async def _bring_on(self, run_name: str, ended: trio.Event) -> None:
        """Cancelled or dead at any moment, it leaves a run that anyone can bring on from there."""
        try:
            while (held := await self._patiently(self._read, run_name)) is not None and held.run.phase in runs.PENDING:
                step = self._send if held.run.phase is Phase.OPEN else self._withdraw
                await self._patiently(step, held)
        except Exception:
            log.exception("run %s cannot be brought on", run_name)
        finally:
            self._driven.pop(run_name, None)
            ended.set()

    async def _patiently(self, do: Callable[[Any], Any], what: Any) -> Any:
        """Until the state service has answered; whatever was carried out without an answer is found by reading."""
        while True:
            try:
                return await do(what)
            except Rejected:
                raise
            except (NotExecuted, OutcomeUnknown):
                await trio.sleep(core.STATE_RETRY_S)

    async def _send(self, held: Held) -> None:
        """Create what is missing, then call it sent. Returns early if somebody else moved the run."""
        await self._core.watcher.sync()
        present: set[str] = set()
        while True:
            async with self._turn:
                # What is missing is looked at last: another node may have brought the run on while this one waited.
                await self.room(self._state.max_background_changes())
                present |= {spec.id for spec in held.specs.values() if spec.id in self._core.watcher.replica.jobs}
                missing = [spec for spec in held.specs.values() if spec.id not in present]
                if not missing:
                    break
                outcome = await self._send_some(held, missing)
            if outcome is None or keys.RUN + held.run_name in outcome.failed:
                return
            there = _jobs_of(outcome)
            present.update(there)
            if len(there) > 1 and outcome.failed:
                await trio.sleep(c.OTHER_CREATOR_WAIT_S)  # another node is at it: let it, but do not rely on it
                return
        await self.commit(runs.moved(held.run_name, held.run, held.version, Phase.SENT))

    async def _send_some(self, held: Held, missing: list[wire.JobSpec]) -> Outcome | None:
        """The next batch; None if the run was refused instead, by the check of POST /work or by the state service."""
        most = self._state.max_background_changes()
        change = runs.create(held.run_name, held.version, missing, held.run.at, self._limits, most)
        wrong = next(((spec, why) for spec in missing[: len(change.ids)] if (why := self._wrong(spec))), None)
        reason = f"{wrong[0].id}: {wrong[1][1]}" if wrong is not None else ""
        if not reason:
            try:
                return await self.commit(change)
            except Rejected as error:  # it never will be taken, so the run must not lie open for ever
                reason = str(error)
        await self.commit(runs.moved(held.run_name, held.run, held.version, Phase.REFUSING, reason))
        return None

    async def _withdraw(self, held: Held) -> None:
        """Cancel its jobs in order, those that need another go with it; a refused run takes only its own along."""
        await self._core.watcher.sync()
        for spec in held.specs.values():
            entry = self._core.watcher.replica.jobs.get(spec.id)
            if entry is None or entry.state in wire.FINAL_JOB_STATES:
                continue
            if held.run.phase is Phase.REFUSING and entry.record.run != held.run_name:
                continue
            if (await self._core.users.cancel(spec.id)).status != 200:
                raise NotExecuted(f"{spec.id} cannot be cancelled now")
        await self.commit(runs.moved(held.run_name, held.run, held.version, runs.WITHDRAWN[held.run.phase]))

    async def room(self, changes: int) -> None:
        """Wait until the budget has more than those may need who submit single jobs."""
        wanted = min(changes, self._state.max_background_changes())
        while self._state.spare_writes() < wanted:
            await trio.sleep(c.BUDGET_POLL_S)

    async def commit(self, change: Change) -> Outcome:
        return await self._state.txn(change.when, change.writes)


def _jobs_of(outcome: Outcome) -> list[str]:
    """The jobs that turned out to be there already."""
    return [key[len(store.JOB) :] for key in outcome.failed if key.startswith(store.JOB)]
