"""HTTP requests for pipeline runs, and the background work that creates or cancels the jobs of a run.

Any controller accepts a plan and advances its run; the leader resumes runs that a dead node left unfinished. Several
nodes may advance the same run at once: every transaction is conditional, so each job is created once.
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
from pepperlatch.pipelines.plan import InvalidPlan, Plan
from pepperlatch.pipelines.runs import Phase, RunRecord, Transaction
from pepperlatch.pipelines.schedule_service import ScheduleService
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.message_size import first_that_fit
from pepperlatch.protocol.state import NotExecuted, Outcome, OutcomeUnknown, Rejected

log = logging.getLogger(__name__)
ROOT, SCHEDULES = "/pipelines/", "/schedules"


@dataclass(slots=True)
class LoadedRun:
    """A run as read from the state service: its record, the version of its key, its plan and its jobs by step name."""

    run_name: str
    record: RunRecord
    version: int
    plan: Plan
    specs: dict[str, wire.JobSpec]


class _RunBody(msgspec.Struct):
    """Body of a PUT of a run; `plan` is packed (`plan.pack`)."""

    plan: str


class _RerunBody(msgspec.Struct, rename={"from_steps": "from"}):
    """Body of a rerun: names of the steps that run again, with all steps that need them."""

    from_steps: list[str]


class PipelineService:
    """Serves /pipelines and /schedules on one node. Lives as long as `nursery`, in which runs are advanced.

    Methods raise NotExecuted or OutcomeUnknown if the state service does not answer, unless they say otherwise.
    """

    def __init__(self, core: ExtensionContext, options: features.Pipelines, nursery: trio.Nursery) -> None:
        self._core = core
        self._state = core.state
        self._limits = core.settings.params.state
        self._repeats = options.repeats  # classes of jobs that may run again
        self._nursery = nursery
        self._advancing: dict[str, trio.Event] = {}  # runs being advanced here -> set once that has ended
        self._batch_lock = trio.Lock()  # fair, so the runs of this node take turns, one batch of jobs each
        self._read_limiter = trio.CapacityLimiter(c.MAX_CONCURRENT_RUN_READS)
        self._schedule_service = ScheduleService(self, core)
        self._plan_cache: OrderedDict[tuple[str, str], tuple[Plan, dict[str, wire.JobSpec]]] = OrderedDict()

    def resume_runs(self, pending: Collection[str]) -> None:
        """Advance unfinished runs; `pending` are keys below `keys.PENDING`. Called on the leader."""
        for key in sorted(pending):
            if key.startswith(keys.PENDING_RUN):
                self.advance(key[len(keys.PENDING_RUN) :])

    async def run_due(self, pending: Sequence[wire.KeyValue]) -> None:
        """Start the runs that are due by schedule; `pending`: the pairs below `keys.PENDING`. Called on the leader."""
        await self._schedule_service.run_due(pending)

    # --- requests ---------------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Answer a user's request for a run or a schedule."""
        path, _, query = request.path.partition("?")
        if path.startswith(SCHEDULES):
            return await self._schedule_service.handle(
                request.method, unquote(path[len(SCHEDULES) + 1 :]), request.body
            )
        run_name, _, verb = unquote(path[len(ROOT) :]).partition("/")
        if not run_name and request.method == "GET":
            return Response(200, {"repeats": self._repeats, "steps": c.MAX_STEPS, "packed": c.MAX_PACKED_PLAN_CHARS})
        if run_name and (request.method, verb) == ("PUT", ""):
            return await self._put_run(run_name, request.body)
        if run_name and (request.method, verb) == ("GET", ""):
            return await self._show_run(run_name, parse_qs(query).get("after", [""])[0])
        if run_name and (request.method, verb) == ("POST", "cancel"):
            return await self._cancel_run(run_name)
        if run_name and (request.method, verb) == ("POST", "rerun"):
            return await self._rerun(run_name, request.body)
        return Response(404, {"error": "no such path"})

    async def _put_run(self, run_name: str, body: bytes) -> Response:
        """Start a run, or advance it if it exists with the same content."""
        try:
            plan = plans.unpack(wire.convert(orjson.loads(body), _RunBody).plan)
        except (orjson.JSONDecodeError, msgspec.ValidationError, InvalidPlan) as error:
            return Response(400, {"error": str(error)})
        refusal = self.refuse_malformed(plan, run_name)
        return refusal or await self._start_run(plan)

    def refuse_malformed(self, plan: Plan, run_name: str) -> Response | None:
        """The 400 answer if the plan itself is wrong or belongs to another run than `run_name`; else None."""
        problems = plans.find_problems(plan, self._repeats)
        if not problems and plan.run_name == run_name:
            return None
        shown = [{"place": plans.format_path(p.path), "error": p.text} for p in problems[: c.MAX_ERRORS_SHOWN]]
        if not problems:
            shown = [{"place": "name", "error": f"the plan is that of {plan.run_name!r}, not of {run_name!r}"}]
        return Response(400, {"error": "the plan cannot be run", "problems": shown})

    async def _start_run(self, plan: Plan) -> Response:
        """Refuse the whole plan, or record its run and advance it.

        If a run of this name exists already, or is recorded at the same time by another request or a schedule, that run
        is advanced if its content is the same, else the request is refused with 409.
        """
        loaded, digest = await self._load_run(plan.run_name), plans.digest(plan)
        if loaded is None:
            packed = plans.pack(plan)
            refusal = self.refuse_too_large(packed)
            if refusal is not None:
                return refusal
            refusal = await self.refuse_unrunnable(plan)
            if refusal is not None:
                return refusal
            await self.wait_for_write_budget(1)
            at = self._core.wall()
            transaction = runs.record_run(plan.run_name, digest, packed, at, self._limits.value_kb)
            await self.commit(transaction)
            loaded = await self._load_run(plan.run_name)
            if loaded is None:
                return retry_later()
            log.info(
                "pipeline run %s: requested with a plan of %d steps; a run of this name is now recorded, and if its "
                "plan differs, the request is answered with 409",
                plan.run_name,
                len(plan.steps),
            )
        if loaded.record.digest != digest:
            differs = plans.differences(loaded.plan, plan)
            return Response(409, {"error": "this run was sent before with other content", "differs": differs})
        return await self._answer_when_settled(loaded)

    def refuse_too_large(self, packed: str) -> Response | None:
        """The 400 answer if the packed plan does not fit into one transaction; None if it does.

        One further change is counted, since a due schedule's record is updated in the same transaction.
        """
        changes = runs.count_record_writes(packed, self._limits.value_kb) + 1
        if len(packed) <= c.MAX_PACKED_PLAN_CHARS and changes <= self._limits.txn_ops:
            return None
        return Response(400, {"error": "the plan is larger than what is recorded at once"})

    async def refuse_unrunnable(self, plan: Plan) -> Response | None:
        """The refusal if any job of the plan would be refused; None if all would be accepted.

        Called before any of the jobs is created. Other tasks get a turn after every CHECKS_PER_BATCH jobs.
        """
        found: list[dict[str, Any]] = []
        specs = plans.job_specs(plan)
        for number, step in enumerate(plan.steps):
            if number % c.CHECKS_PER_BATCH == 0:
                await trio.sleep(0)
            spec = specs[step.name]
            error = self._job_error(spec)
            if error is None and step.jobs:
                dependency_error = await self._core.users.find_invalid_dependency(
                    msgspec.structs.replace(spec, needs=step.jobs)
                )
                error = (422, dependency_error) if dependency_error is not None else None
            if error is not None:
                place = f"steps[{number}]"
                found.append({"place": place, "step": step.name, "status": error[0], "error": error[1]})
        if not found:
            return None
        status = min(problem["status"] for problem in found)
        return Response(status, {"error": "refused whole, nothing was sent", "problems": found[: c.MAX_ERRORS_SHOWN]})

    def _job_error(self, spec: wire.JobSpec) -> tuple[int, str] | None:
        """Status and error with which POST /work would refuse the job; None if it would accept it.

        Single jobs and runs share this one check. Raises NotExecuted while this node does not know the machine types.
        """
        try:
            if self._core.users.check(wire.to_plain(spec)) is None:
                raise NotExecuted("the machine types are not known yet")
        except Malformed as error:
            return 400, str(error)
        except Unsatisfiable as error:
            return 422, str(error)
        return None

    async def _answer_when_settled(self, loaded: LoadedRun) -> Response:
        """The answer once all jobs are created or the run is withdrawn; 202 if that takes over SUBMIT_TIMEOUT_S."""
        if loaded.record.phase in runs.PENDING_PHASES:
            finished = self.advance(loaded.run_name)
            with trio.move_on_after(core.SUBMIT_TIMEOUT_S):
                await finished.wait()
                loaded = await self._load_run(loaded.run_name) or loaded
        answer = {"run": loaded.run_name, "phase": loaded.record.phase.value, "steps": len(loaded.specs)}
        if loaded.record.reason:
            answer["reason"] = loaded.record.reason
        if loaded.record.phase in runs.PENDING_PHASES:
            return Response(202, answer, {"Retry-After": str(core.RETRY_AFTER_S)})
        return Response(422 if loaded.record.phase is Phase.REFUSED else 200, answer)

    async def _show_run(self, run_name: str, after: str) -> Response:
        """One page of a run's steps, as many as a line may hold.

        `after` is the number of the first step, as the page before gave it in `next`.
        """
        loaded = await self._load_run(run_name)
        if loaded is None:
            return Response(404, {"error": "no such run"})
        await self._core.watcher.sync()
        names = list(loaded.specs)
        begin = int(after) if after.isdigit() else 0
        rows = [self._step_row(loaded, name) for name in names[begin : begin + c.STEPS_PER_PAGE]]
        rows = first_that_fit(rows, c.MAX_PAGE_BYTES)
        answer: dict[str, Any] = {
            "run": run_name,
            "status": self._run_status(loaded),
            "phase": loaded.record.phase.value,
        }
        if loaded.record.reason:
            answer["reason"] = loaded.record.reason
        answer["total"] = len(names)
        answer["rows"] = rows
        if begin + len(rows) < len(names):
            answer["next"] = begin + len(rows)
        return Response(200, answer)

    def _step_row(self, loaded: LoadedRun, name: str) -> dict[str, Any]:
        """A step as users see it, with the state of its job, or "not sent" while that is not created."""
        spec = loaded.specs[name]
        entry = self._core.watcher.replica.jobs.get(spec.id)
        if entry is None:
            return {"step": name, wire.ID_FIELD: spec.id, "status": "not sent", "tasks": spec.tasks}
        return {"step": name, "tasks": spec.tasks, **self._core.users.describe(spec.id, entry)}

    def _run_status(self, loaded: LoadedRun) -> str:
        """The run's phase while not all jobs are created, else the state that its jobs have together."""
        if loaded.record.phase is not Phase.SENT:
            return str(loaded.record.phase.value)
        jobs = self._core.watcher.replica.jobs
        states = [jobs[spec.id].state for spec in loaded.specs.values() if spec.id in jobs]
        if any(state is wire.JobState.CANCELLED for state in states):
            return str(wire.JobState.CANCELLED.value)
        all_done = len(states) == len(loaded.specs) and all(state is wire.JobState.DONE for state in states)
        return str((wire.JobState.DONE if all_done else wire.JobState.RUNNING).value)

    async def _cancel_run(self, run_name: str) -> Response:
        """Cancel the run unless that has begun already.

        Answers as `_answer_when_settled`, but with 200 for a refused run too.
        """
        loaded = await self._load_run(run_name)
        if loaded is None:
            return Response(404, {"error": "no such run"})
        if loaded.record.phase in (Phase.OPEN, Phase.SENT):
            outcome = await self.commit(runs.change_phase(run_name, loaded.record, loaded.version, Phase.CANCELLING))
            if not outcome.applied:
                return retry_later()
            loaded = await self._load_run(run_name) or loaded
        answer = await self._answer_when_settled(loaded)
        return Response(200, answer.body) if answer.status == 422 else answer

    async def _rerun(self, run_name: str, body: bytes) -> Response:
        """Start the next attempt: the named steps and all that need them run again, the others keep their jobs."""
        try:
            from_steps = wire.convert(orjson.loads(body), _RerunBody).from_steps
        except (orjson.JSONDecodeError, msgspec.ValidationError) as error:
            return Response(400, {"error": str(error)})
        loaded = await self._load_run(run_name)
        if loaded is None:
            return Response(404, {"error": "no such run"})
        unknown = [name for name in from_steps if name not in loaded.specs]
        if unknown or not from_steps:
            messages = [f"no step is called {name!r}{plans.suggestion(name, loaded.specs)}" for name in unknown]
            return Response(400, {"error": "; ".join(messages) or "no step is named"})
        plan = plans.next_attempt(loaded.plan, from_steps)
        await self._core.watcher.sync()
        problems = [] if await self._load_run(plan.run_name) else self._rerun_problems(loaded, plan)
        if problems:
            return Response(409, {"error": "cannot be run again so", "problems": problems[: c.MAX_ERRORS_SHOWN]})
        return await self._start_run(plan)

    def _rerun_problems(self, loaded: LoadedRun, plan: Plan) -> list[dict[str, str]]:
        """Why the next attempt `plan` of a run cannot start now; empty if it can."""
        if loaded.record.phase in runs.PENDING_PHASES:
            return [{"error": f"the run is {loaded.record.phase.value}; wait until that is over"}]
        found = []
        for step in plan.steps:
            spec = loaded.specs[step.name]
            entry = self._core.watcher.replica.jobs.get(spec.id)
            state = entry.state if entry is not None else wire.JobState.CANCELLED
            if step.attempt < plan.attempt:
                error = "is withdrawn; run it again too" if state is wire.JobState.CANCELLED else ""
            elif state not in wire.FINAL_JOB_STATES:
                error = "is not over yet; cancel it first"
            elif state is wire.JobState.DONE and spec.job_class not in self._repeats:
                error = f"is done, and the operators let no job of class {spec.job_class!r} repeat"
            else:
                error = ""
            if error:
                found.append({"step": step.name, "error": f"step {step.name!r} {error}"})
        return found

    # --- reading ----------------------------------------------------------------------------------

    async def _load_run(self, run_name: str) -> LoadedRun | None:
        """Read a run, linearizably; None if there is none.

        Raises NotExecuted if too many reads wait already, so that polls of runs don't crowd out polls of jobs.
        """
        if self._read_limiter.statistics().tasks_waiting >= c.MAX_WAITING_RUN_READS:
            raise NotExecuted("too many reads of runs are waiting")
        async with self._read_limiter:
            pair = await self._state.read(keys.RUN + run_name) if plans.RUN_NAME.fullmatch(run_name) else None
            if pair is None:
                return None
            run: RunRecord = wire.convert(pair.value, RunRecord)
            plan, specs = await self._load_plan(run_name, run)
        return LoadedRun(run_name, run, pair.version, plan, specs)

    async def _load_plan(self, run_name: str, run: RunRecord) -> tuple[Plan, dict[str, wire.JobSpec]]:
        """The plan of a run and the job of each step, from the cache or the state service."""
        cached = self._plan_cache.get((run_name, run.digest))
        if cached is None:
            plan = plans.unpack(run.plan or await self.read_pieces(keys.PLAN_PIECE + run_name, run.pieces))
            cached = self._plan_cache[(run_name, run.digest)] = (plan, plans.job_specs(plan))
            if len(self._plan_cache) > c.MAX_CACHED_PLANS:
                self._plan_cache.popitem(last=False)
        return cached

    async def read_pieces(self, prefix: str, pieces: int) -> str:
        """Join a text stored in pieces; if some are gone it is cut short, and no plan can be unpacked from it."""
        found = [await self._state.read(f"{prefix}/{number}") for number in range(pieces)]
        return "".join(piece.value["text"] for piece in found if piece is not None)

    # --- advancing a run --------------------------------------------------------------------------

    def advance(self, run_name: str) -> trio.Event:
        """Advance the run in the background, once at a time on this node.

        The event is set when that has ended: the run is in no pending phase, does not exist, or an error was logged.
        """
        finished = self._advancing.get(run_name)
        if finished is None:
            finished = self._advancing[run_name] = trio.Event()
            self._nursery.start_soon(self._advance_run, run_name, finished)
        return finished

    async def _advance_run(self, run_name: str, finished: trio.Event) -> None:
        """Create or cancel jobs until the run is in no pending phase.

        Whenever this stops, by cancellation or a crash, any node can advance the run from there.
        """
        try:
            while (
                loaded := await self._retry_until_answered(self._load_run, run_name)
            ) is not None and loaded.record.phase in runs.PENDING_PHASES:
                step = self._create_jobs if loaded.record.phase is Phase.OPEN else self._cancel_jobs
                await self._retry_until_answered(step, loaded)
        except Exception:
            log.exception("pipeline run %s failed on this node, the leader resumes it while it is unfinished", run_name)
        finally:
            self._advancing.pop(run_name, None)
            finished.set()

    async def _retry_until_answered(self, request: Callable[[Any], Any], argument: Any) -> Any:
        """Repeat the request every STATE_RETRY_S until the state service has answered. Raises Rejected.

        If a request was carried out without an answer, the next one finds that when it reads.
        """
        while True:
            try:
                return await request(argument)
            except Rejected:
                raise
            except (NotExecuted, OutcomeUnknown):
                await trio.sleep(core.STATE_RETRY_S)

    async def _create_jobs(self, loaded: LoadedRun) -> None:
        """Create the missing jobs, then set the phase to SENT.

        Returns early if another node changed the run's record, or while another node creates the same jobs.
        """
        await self._core.watcher.sync()
        present: set[str] = set()
        while True:
            async with self._batch_lock:
                # The missing jobs are determined last: another node may have advanced the run while this one waited.
                await self.wait_for_write_budget(self._state.max_background_changes())
                present |= {spec.id for spec in loaded.specs.values() if spec.id in self._core.watcher.replica.jobs}
                missing = [spec for spec in loaded.specs.values() if spec.id not in present]
                if not missing:
                    break
                outcome = await self._create_next_batch(loaded, missing)
            if outcome is None or keys.RUN + loaded.run_name in outcome.failed:
                return
            existing = _existing_jobs(outcome)
            present.update(existing)
            if len(existing) > 1 and outcome.failed:
                await trio.sleep(c.OTHER_CREATOR_WAIT_S)  # another node creates them: let it, but check again later
                return
        await self.commit(runs.change_phase(loaded.run_name, loaded.record, loaded.version, Phase.SENT))

    async def _create_next_batch(self, loaded: LoadedRun, missing: list[wire.JobSpec]) -> Outcome | None:
        """Create the next batch of jobs.

        None if the run was refused instead, by the check of POST /work or by the state service.
        """
        max_changes = self._state.max_background_changes()
        transaction = runs.create_jobs(
            loaded.run_name, loaded.version, missing, loaded.record.at, self._limits, max_changes
        )
        refused = next(
            ((spec, why) for spec in missing[: len(transaction.job_ids)] if (why := self._job_error(spec))), None
        )
        reason = f"{refused[0].id}: {refused[1][1]}" if refused is not None else ""
        if not reason:
            try:
                return await self.commit(transaction)
            except Rejected as error:  # no retry would be accepted, so the run must not stay open forever
                reason = str(error)
        await self.commit(runs.change_phase(loaded.run_name, loaded.record, loaded.version, Phase.REFUSING, reason))
        return None

    async def _cancel_jobs(self, loaded: LoadedRun) -> None:
        """Cancel the run's jobs in order; cancelling a job cancels those that need it.

        Of a refused run only the jobs that it created itself are cancelled.
        """
        await self._core.watcher.sync()
        for spec in loaded.specs.values():
            entry = self._core.watcher.replica.jobs.get(spec.id)
            if entry is None or entry.state in wire.FINAL_JOB_STATES:
                continue
            if loaded.record.phase is Phase.REFUSING and entry.record.run != loaded.run_name:
                continue
            if (await self._core.users.cancel(spec.id)).status != 200:
                raise NotExecuted(f"{spec.id} cannot be cancelled now")
        await self.commit(
            runs.change_phase(
                loaded.run_name, loaded.record, loaded.version, runs.PHASE_AFTER_CANCELLATION[loaded.record.phase]
            )
        )

    async def wait_for_write_budget(self, changes: int) -> None:
        """Wait until this node may make `changes` background writes, or as many as one background write may have.

        The rest of the write budget is kept for users who submit single jobs.
        """
        wanted = min(changes, self._state.max_background_changes())
        while self._state.spare_writes() < wanted:
            await trio.sleep(c.BUDGET_POLL_S)

    async def commit(self, transaction: Transaction) -> Outcome:
        """Send the transaction to the state service; the outcome tells whether its conditions held."""
        return await self._state.txn(transaction.conditions, transaction.writes)


def _existing_jobs(outcome: Outcome) -> list[str]:
    """The ids of the jobs that exist already and so made the transaction's conditions fail."""
    return [key[len(store.JOB) :] for key in outcome.failed if key.startswith(store.JOB)]
