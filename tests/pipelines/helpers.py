"""Helpers of the pipeline tests: plans, and users who retry what the service tells them to retry."""

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from pepperlatch import features
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.extension import PipelinesExtension
from pepperlatch.pipelines.plan import Plan, Step
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import World, job

EXTENSIONS = (lambda core: PipelinesExtension(core, features.Pipelines(on=True, repeats=["again"])),)


def job_description(**changes: Any) -> dict[str, Any]:
    """A job as users describe it, without an id; `changes` have the protocol's field names."""
    body = job(0, **changes)
    del body["name_id"]
    return body


def step(name: str, *needs: str, jobs: list[str] | None = None, repeat: bool = False, **changes: Any) -> Step:
    """A step whose image has its name, since steps with equal descriptions would be the same job."""
    return Step(name, job_description(**{"bundle": f"img-{name}", **changes}), list(needs), jobs or [], repeat)


def chain_plan(length: int, name: str = "billing", key: str = "", **changes: Any) -> Plan:
    """A plan whose steps `s0`, `s1` and so on each need the one before."""
    steps = [step(f"s{n}", *([f"s{n - 1}"] if n else []), **changes) for n in range(length)]
    return Plan(name, steps, key)


def register_jobs(world: World, plan: Plan) -> dict[str, str]:
    """Make the plan's jobs known to the simulated workers, as if users had uploaded them; returns job ids by step."""
    named = plans.job_specs(plan)
    for spec in named.values():
        body = msgspec.to_builtins(spec)
        world.jobs.setdefault(spec.id, body)
        world.observer.done_tasks.setdefault(spec.id, set())
    return {name: spec.id for name, spec in named.items()}


async def put_plan(world: World, plan: Plan, index: int | None = None) -> tuple[int, Any]:
    """Send the plan once, to this node or to the first one; returns status and answer."""
    node = min(world.nodes) if index is None else index
    return await world.ask(node, "PUT", f"/pipelines/{plan.run_name}", {"plan": plans.pack(plan)})


async def put_with_retries(
    world: World, plan: Plan, index: int | None = None, seconds: float = 60.0
) -> tuple[int, Any]:
    """Send the plan as the command line does: retry at any live node until an answer is final."""
    with trio.fail_after(seconds):
        while True:
            try:
                status, answer = await put_plan(world, plan, index if index in world.nodes else None)
                if status not in (202, 429, 503):
                    return status, answer
            except (NotSent, NoUsableResponse):
                pass
            await trio.sleep(2.0)  # as Retry-After says


async def get_run(world: World, run_name: str) -> Any:
    status, answer = await world.ask(min(world.nodes), "GET", f"/pipelines/{run_name}")
    assert status == 200, answer
    return answer


async def wait_for_status(world: World, run_name: str, status: str, seconds: float = 120.0) -> Any:
    with trio.fail_after(seconds):
        while (answer := await get_run(world, run_name))["status"] != status:
            await trio.sleep(1.0)
    return answer


def stored_job_ids(world: World) -> list[str]:
    return [key[len("j/job/") :] for key in world.state.keys if key.startswith("j/job/")]


def run_before_write(world: World, key: str, value_part: str, action: Callable[[], None]) -> None:
    """Call `action` once, just before the first transaction that writes `key` with `value_part` in its value."""
    txn, done = world.state.txn, False

    def intercepted(body: Any) -> Any:
        nonlocal done
        if not done and any(w.get("set") == key and value_part in str(w["value"]) for w in body.get("writes", [])):
            done = True
            action()
        return txn(body)

    world.state.txn = intercepted  # type: ignore[method-assign]
