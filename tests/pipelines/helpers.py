"""What the stories of pipelines share: plans, and users who repeat what the service tells them to repeat."""

from collections.abc import Callable
from typing import Any

import msgspec
import trio

from pepperlatch import features
from pepperlatch.pipelines import plan as plans
from pepperlatch.pipelines.part import Pipelines
from pepperlatch.pipelines.plan import Plan, Step
from pepperlatch.protocol.http.client import Lost, NotSent
from tests.fakes import World, job

PARTS = (lambda core: Pipelines(core, features.Pipelines(on=True, repeats=["again"])),)


def described(**changes: Any) -> dict[str, Any]:
    body = job(0, **changes)
    del body["name_id"]
    return body


def step(name: str, *needs: str, jobs: list[str] | None = None, repeat: bool = False, **changes: Any) -> Step:
    """Each differs from the others by its image, or they would be one job."""
    return Step(name, described(**{"bundle": f"img-{name}", **changes}), list(needs), jobs or [], repeat)


def chain(length: int, name: str = "billing", key: str = "", **changes: Any) -> Plan:
    steps = [step(f"s{n}", *([f"s{n - 1}"] if n else []), **changes) for n in range(length)]
    return Plan(name, steps, key)


def announce(world: World, plan: Plan) -> dict[str, str]:
    """Make the jobs known to the workers in memory, as users upload descriptions; the id of each step."""
    named = plans.specs(plan)
    for spec in named.values():
        body = msgspec.to_builtins(spec)
        world.jobs.setdefault(spec.id, body)
        world.observer.done_tasks.setdefault(spec.id, set())
    return {name: spec.id for name, spec in named.items()}


async def put(world: World, plan: Plan, index: int | None = None) -> tuple[int, Any]:
    node = min(world.nodes) if index is None else index
    return await world.ask(node, "PUT", f"/pipelines/{plan.address}", {"plan": plans.pack(plan)})


async def insist(world: World, plan: Plan, index: int | None = None, seconds: float = 60.0) -> tuple[int, Any]:
    """As the command line does: whatever may be repeated is, at any node that lives."""
    with trio.fail_after(seconds):
        while True:
            try:
                status, answer = await put(world, plan, index if index in world.nodes else None)
                if status not in (202, 429, 503):
                    return status, answer
            except (NotSent, Lost):
                pass
            await trio.sleep(2.0)  # as Retry-After says


async def show(world: World, address: str) -> Any:
    status, answer = await world.ask(min(world.nodes), "GET", f"/pipelines/{address}")
    assert status == 200, answer
    return answer


async def until_status(world: World, address: str, status: str, seconds: float = 120.0) -> Any:
    with trio.fail_after(seconds):
        while (answer := await show(world, address))["status"] != status:
            await trio.sleep(1.0)
    return answer


def jobs_stored(world: World) -> list[str]:
    return [key[len("j/job/") :] for key in world.state.keys if key.startswith("j/job/")]


def before(world: World, key: str, mark: str, do: Callable[[], None]) -> None:
    """Once, just before a transaction that writes `key` with `mark` in its value is decided, something else happens."""
    txn, done = world.state.txn, False

    def raced(body: Any) -> Any:
        nonlocal done
        if not done and any(w.get("set") == key and mark in str(w["value"]) for w in body.get("writes", [])):
            done = True
            do()
        return txn(body)

    world.state.txn = raced  # type: ignore[method-assign]
