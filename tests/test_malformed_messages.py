"""Messages of workers and of other controllers that are odd in some fields cause no unexpected exception.

`run_scenario` fails if a controller contains one. Each message is a valid one in which some values were replaced.
"""

import contextlib
import copy
import random
from typing import Any

import pytest
import trio

from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from tests.fakes import NODES, World, job, run_scenario

MESSAGES = 400  # in a scenario
ODD: list[Any] = [
    None, True, 0, -1, 1, 2**31, 2**63 - 1, 2**63, 2**64 - 1, 1e300, -1e300, 5e-324, 0.5, "", "x", "run-1/0",
    "run-000001/0", "run-000001/99999999999999999999", "run-000001/-1", "a/b/c", "\u00e9" * 200, "10.0.0.0:1", [],
    [None], [[]], {}, {"x": 1},
]  # fmt: skip


def places(value: Any) -> list[tuple[Any, Any]]:
    """Each container in the message with a key of its own, at any depth."""
    keys = value.keys() if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ()
    found = [(value, key) for key in keys]
    for key in keys:
        found += places(value[key])
    return found


def odd(rng: random.Random, message: dict[str, Any]) -> Any:
    """A copy of the message with one to three values replaced; now and then something else altogether."""
    if rng.random() < 0.05:
        return rng.choice(ODD)
    made = copy.deepcopy(message)
    for _ in range(rng.choice([1, 1, 1, 2, 3])):
        holder, key = rng.choice(places(made))
        holder[key] = copy.deepcopy(rng.choice(ODD))
    return made


def valid_messages(world: World, token: int) -> dict[str, list[dict[str, Any]]]:
    """Messages that a controller may get, by path."""
    reports = [worker.report() for worker in world.workers if worker.up]
    strange = {**reports[0], "perch": "n-strange", "pieces": []}
    record = {"state": "withdrawn", "tasks": 2, "at": 1.0, "ended": 2.0}
    statement = {
        "floor": 0, "age_s": 5.0, "memory_s": 30.0, "held": [["n-000000", 1, 1, 0.5]], "released": {"n-000001": 1.0},
    }  # fmt: skip
    return {
        "/agent/beat": [*reports, strange],
        "/peer/beat": reports,
        "/peer/beats": [{"beats": reports, "node": NODES[1]}],
        "/peer/contact": [{"node": NODES[1], "token": token, "images": 0, "delegation": statement}],
        "/peer/bar": [
            {"node": NODES[1], "token": token, "relay": ["n-000000"], "cancelled": [["n-000000", "10.1.0.0:9000", 3.0]],
             "witnesses": ["10.1.0.1:9000"]},
        ],
        "/peer/vouch": [{"token": token, "revision": 1}],
        "/peer/cancelled": [{"id": "run-000077", "record": record, "version": 3}],
        "/peer/inspect": [{"addr": "10.1.0.0:9000", "others": ["10.1.0.1:9000"]}],
        "/peer/fence": [{"addr": "10.1.0.0:9000", "token": token, "session": 1}],
        "/admin/settings": [{"version": 0, "settings": {"idle_s": 60}}],
        "/work/run-000001/cancel": [{"x": 1}],
        "/pipelines/member-billing@1": [{"plan": "x"}],
    }  # fmt: skip


@pytest.mark.parametrize("seed", range(12))
def test_odd_messages_cause_no_unexpected_exception(seed: int) -> None:
    async def scenario(world: World) -> None:
        rng = random.Random(seed)
        service = job(1, shape="daemon", pieces=2)
        await world.submit(service)
        await world.until(lambda: world.running(service) == 2, 60)
        leader = world.nodes[world.leader()].leader
        assert leader is not None
        messages = valid_messages(world, leader.term.token)
        for _ in range(MESSAGES):
            path = rng.choice(list(messages))
            message = odd(rng, rng.choice(messages[path]))
            public = path.startswith(("/agent/", "/work/", "/pipelines/"))
            method = "PUT" if path.startswith(("/admin", "/pipelines")) else "POST"
            addr = f"10.0.0.{rng.choice(sorted(world.nodes))}:{1 if public else 2}"
            world.nursery.start_soon(send, world, addr, method, path, message)
            await trio.sleep(rng.choice([0.0, 0.0, 0.01, 0.3]))
        await trio.sleep(40.0)
        world.observer.violations.clear()  # odd messages may speak for workers
        for index in world.nodes:
            assert (await world.ask(index, "GET", "/healthz"))[0] == 200

    run_scenario(scenario)


async def send(world: World, addr: str, method: str, path: str, message: Any) -> None:
    with contextlib.suppress(NotSent, NoUsableResponse):
        await world.send("user", addr, method, path, message, 4.0)
