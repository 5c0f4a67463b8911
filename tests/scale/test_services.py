"""The simulated state service and cloud follow PROTOCOL in conditions, leases, watches, limits and machine names."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import trio
import trio.testing

from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.scale.addresses import Addresses
from pepperlatch.scale.cloud import SimulatedCloud
from pepperlatch.scale.scenario import Scenario, StateLimits, Zone
from pepperlatch.scale.state_service import SimulatedStateService

Handler = Callable[[Request], Awaitable[Response]]


async def ask(handler: Handler, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    response = await handler(Request(method, path, orjson.dumps(body if body is not None else {})))
    plain = orjson.loads(response.body) if isinstance(response.body, bytes) else response.body
    return response.status, plain


def run_with_state_service(
    steps: Callable[[SimulatedStateService], Awaitable[None]], limits: StateLimits | None = None
) -> None:
    async def main() -> None:
        state = SimulatedStateService(limits or StateLimits(), trio.current_time)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(state.expire_leases)
            await steps(state)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def put(
    state: SimulatedStateService, key: str, value: Any, version: int = 0, lease: int | None = None
) -> tuple[int, Any]:
    body = wire.txn_body([wire.version_condition(key, version)], [wire.put(key, value, lease)])
    return await ask(state.handle, "POST", wire.TXN_PATH, body)


def test_transactions_are_conditional_and_pages_are_ordered() -> None:
    async def steps(state: SimulatedStateService) -> None:
        assert await put(state, "a/2", 1) == (200, {"ledger_mark": 1})
        assert await put(state, "a/2", 2) == (409, {"failed": ["a/2"], "ledger_mark": 1})
        await put(state, "a/1", 1)
        await put(state, "b/1", 1)
        _, page = await ask(state.handle, "GET", wire.keys_path("a/", "", 1))
        assert ([pair["k"] for pair in page["pairs"]], page["truncated"]) == (["a/1"], True)
        _, page = await ask(state.handle, "GET", wire.keys_path("a/", "a/1", 5))
        assert ([pair["k"] for pair in page["pairs"]], page["truncated"]) == (["a/2"], False)
        assert (await ask(state.handle, "GET", "/keys/a/9"))[0] == 404
        assert (await ask(state.handle, "POST", wire.TXN_PATH, {"writes": [{"set": "no key", "value": 1}]}))[0] == 400

    run_with_state_service(steps)


def test_the_keys_of_a_lease_that_is_not_renewed_are_deleted_and_never_early() -> None:
    async def steps(state: SimulatedStateService) -> None:
        _, granted = await ask(state.handle, "POST", wire.LEASES_PATH, wire.lease_body(1000))
        lease = wire.convert(granted, wire.GrantedLease).number
        await put(state, "a", 1, lease=lease)
        await trio.sleep(0.9)
        assert (await ask(state.handle, "POST", f"{wire.LEASES_PATH}/{lease}/touch"))[0] == 200
        await trio.sleep(0.95)
        assert (await ask(state.handle, "GET", "/keys/a"))[0] == 200
        await trio.sleep(0.2)
        assert (await ask(state.handle, "GET", "/keys/a"))[0] == 404
        assert (await ask(state.handle, "POST", f"{wire.LEASES_PATH}/{lease}/touch"))[0] == 404
        assert (await put(state, "a", 1, lease=lease))[1] == {"error": "no such lease"}

    run_with_state_service(steps)


def test_a_watch_waits_for_changes_below_its_prefix_and_old_changes_are_discarded() -> None:
    async def steps(state: SimulatedStateService) -> None:
        answers: list[Any] = []

        async def watch() -> None:
            answers.append(await ask(state.handle, "GET", wire.watch_path("a/", 0, 5000)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            await put(state, "b/1", 1)
            await trio.sleep(0.1)
            assert answers == []
            await put(state, "a/1", 5)
        assert answers[0][1]["log"] == [{"set": "a/1", "value": 5, "stamp": 2}]
        for number in range(700):
            writes = [wire.put(f"c/{number}/{index}", 0) for index in range(16)]
            await ask(state.handle, "POST", wire.TXN_PATH, wire.txn_body([], writes))
        assert (await ask(state.handle, "GET", wire.watch_path("a/", 0, 0)))[0] == 410

    run_with_state_service(steps, StateLimits(rps=1e6, write_rps=1e6))


def test_requests_above_the_limits_are_refused() -> None:
    async def steps(state: SimulatedStateService) -> None:
        await trio.sleep(1.0)
        statuses = [(await ask(state.handle, "GET", "/keys/a"))[0] for _ in range(12)]
        assert statuses == [404] * 10 + [429] * 2
        await trio.sleep(1.0)
        two = wire.txn_body([], [wire.put("a", 1), wire.put("b", 1)])
        assert [(await ask(state.handle, "POST", wire.TXN_PATH, two))[0] for _ in range(3)] == [200, 200, 429]
        three = wire.txn_body([], [wire.put(key, 1) for key in "abc"])
        assert (await ask(state.handle, "POST", wire.TXN_PATH, three))[0] == 400
        assert (await put(state, "a", "x" * 2000))[0] == 400

    run_with_state_service(steps, StateLimits(rps=10.0, write_rps=4.0, value_kb=1.0, txn_ops=2))


def test_the_cloud_repeats_answers_to_a_request_and_never_reuses_a_name() -> None:
    async def steps() -> None:
        booted: list[int] = []
        ended: list[int] = []

        async def end(numbers: list[int]) -> None:
            ended.extend(numbers)

        scenario = Scenario("x", 1, 2, [Zone("a", "r"), Zone("b", "r")], 1.0, spare_workers=2)
        cloud = SimulatedCloud(scenario, Addresses(1), trio.current_time, booted.extend, end)
        hire = wire.hire_body("r-1", "m1", "a", False, 5)
        first = await ask(cloud.handle, "POST", wire.MACHINES_PATH, hire)
        assert first == (200, {"perches": ["n-000002"]})
        assert await ask(cloud.handle, "POST", wire.MACHINES_PATH, hire) == first
        assert booted == [2]
        _, listed = await ask(cloud.handle, "GET", wire.machines_path("", 10))
        assert [row["name_id"] for row in listed["perches"]] == ["n-000000", "n-000001"]
        await trio.sleep(scenario.cloud.list_lag_s + 0.1)
        _, listed = await ask(cloud.handle, "GET", wire.machines_path("n-000001", 10))
        assert [row["status"] for row in listed["perches"]] == ["starting"]
        await ask(cloud.handle, "POST", wire.RELEASE_PATH, wire.release_body(["n-000002", "n-999999"]))
        assert ended == [2]
        again = {**hire, "hire": "r-2"}
        assert (await ask(cloud.handle, "POST", wire.MACHINES_PATH, again))[0] == 503

    trio.run(steps, clock=trio.testing.MockClock(autojump_threshold=0))
