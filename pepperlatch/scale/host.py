"""A process of hollow workers: each with a connection and a listener of its own, as a real one has."""

import random
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import trio

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.scale import control
from pepperlatch.scale.addresses import Addresses, controller_name, machine_name
from pepperlatch.scale.cloud import BOOT_S, MACHINE_TYPE, Fleet
from pepperlatch.scale.history import HistoryWriter
from pepperlatch.scale.machine import JobNeeds, Machine
from pepperlatch.scale.measures import HostStatistics
from pepperlatch.settings import split_address

COMMANDS_AT_ONCE = 16  # connections to a worker's listener; each controller may ask it, and some ask again


class Worker:
    """The I/O of one machine. Cancelled, it is gone at once; its history says what had left it."""

    def __init__(self, host: "Host", machine: Machine, node: int) -> None:
        self.machine = machine
        self._host = host
        self._node = node
        self._network = HttpNetwork(2)
        self._wake = trio.Event()
        self._due = trio.Event()
        self.paused_until = 0.0  # it hangs, or its zone is cut off
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        address, port = split_address(self.machine.address)
        with self.scope:
            async with trio.open_nursery() as nursery:
                server = Server(self._command, COMMANDS_AT_ONCE)
                nursery.start_soon(server.serve, address, port)
                nursery.start_soon(self._carry_out)
                await self._report_all()
        self._network.close()

    def touched(self) -> None:
        """Something was done to the machine: look at what is due, and report a change."""
        self._due.set()
        if self.machine.changed:
            self._wake.set()

    # --- tasks ------------------------------------------------------------------------------------

    async def _carry_out(self) -> None:
        """Images arrive and tasks complete in their time, and a lease that is over ends."""
        while True:
            self._due = trio.Event()
            now = time.monotonic()
            due_at = self.machine.next_due()
            if due_at is not None and self._host.hangs(self):
                due_at = max(due_at, self.paused_until)
            lease_end = self.machine.lease_from + self.machine.times.lease_s
            wait_s = min(lease_end, due_at if due_at is not None else lease_end) - now
            with trio.move_on_after(max(0.0, wait_s) + 0.001):
                await self._due.wait()
            now = time.monotonic()
            if now >= self.paused_until or not self._host.hangs(self):
                self.machine.step(now)
            self.machine.check_lease(now)
            if self.machine.changed:
                self._wake.set()

    # --- reports ----------------------------------------------------------------------------------

    async def _report_all(self) -> None:
        report_s = self.machine.times.report_s
        spread = self._host.random
        await trio.sleep(spread.random() * report_s)
        while True:
            await self._wait_out()
            self._wake = trio.Event()
            started = time.monotonic()
            pause_s = await self._report(started)
            interval_s = report_s * (1 + c.REPORT_INTERVAL_SPREAD * (2 * spread.random() - 1))
            if pause_s > 0:
                await trio.sleep(pause_s)
                continue
            with trio.move_on_after(max(0.0, started + interval_s - time.monotonic())):
                if not self.machine.changed:
                    await self._wake.wait()
            await trio.sleep(max(0.0, started + c.MIN_REPORT_INTERVAL_S - time.monotonic()))

    async def _report(self, sent_at: float) -> float:
        """One report; the seconds to wait before the next controller is tried, 0 if it stays."""
        node, session, body = self._node, self.machine.session, self.machine.report()
        self.machine.changed = False
        address = self._host.addresses.controller(node)
        try:
            status, answer = await self._network.request(
                address, "POST", wire.REPORT_PATH, body, c.REPORT_ANSWER_TIMEOUT_S
            )
        except (NotSent, NoUsableResponse):
            status, answer = 0, None
        now = time.monotonic()
        self._host.count_answer(node, status, now - sent_at, body, answer)
        if now < self.paused_until or now - sent_at > c.REPORT_ANSWER_TIMEOUT_S:
            return c.NEXT_CONTROLLER_PAUSE_S
        if status == 200:
            self.machine.take_answer(answer, session, sent_at, now)
            self.touched()
            return 0.0
        named = self._host.controller_of(answer) if status == 421 else None
        self._network.close()
        if named is None or named == node:
            self._node = (node + 1) % self._host.controllers
            return c.NEXT_CONTROLLER_PAUSE_S
        self._node = named
        return max(0.001, self._host.random.random() * c.MAX_REDIRECT_PAUSE_S)

    async def _wait_out(self) -> None:
        while (left := self.paused_until - time.monotonic()) > 0:
            await trio.sleep(left)

    # --- commands ---------------------------------------------------------------------------------

    async def _command(self, request: Request) -> Response:
        """What comes while it hangs or is cut off arrives afterwards."""
        await self._wait_out()
        now = time.monotonic()
        self.machine.check_lease(now)
        self._host.statistics.traffic["commands"] += 1
        self._host.statistics.traffic["bytes of commands"] += len(request.body)
        if request.path == wire.INSPECT_PATH:
            return Response(200, self.machine.report())
        try:
            status, report = self.machine.take_command(orjson.loads(request.body), now)
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return Response(400, {"error": f"malformed: {error}"})
        self.touched()
        return Response(status, report)


class Host:
    """All workers of one process, and its control interface."""

    def __init__(self, plan: control.Plan, index: int) -> None:
        self.scenario = plan.scenario
        self.addresses = Addresses(plan.port)
        self.controllers = plan.scenario.controllers
        self.random = random.Random(f"{plan.scenario.seed} host {index}")
        self.statistics = HostStatistics()
        self._index = index
        self._fleet = Fleet(plan.scenario)
        self._history = HistoryWriter(Path(plan.folder) / f"host-{index}.jsonl")
        self._jobs: dict[str, JobNeeds] = {}
        self._completed: set[str] = set()
        self._workers: dict[int, Worker] = {}
        self._hanging: set[Worker] = set()
        self._nursery: trio.Nursery | None = None
        self._nodes = {controller_name(node): node for node in range(self.controllers)}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address, port = split_address(self.addresses.host(self._index))
            await nursery.start(Server(self._handle, 64).serve, address, port)
            self._boot([number for number in range(self.scenario.workers) if self._holds(number)])

    def _holds(self, number: int) -> bool:
        return number % self.scenario.hosts == self._index

    # --- for workers ------------------------------------------------------------------------------

    def controller_of(self, answer: Any) -> int | None:
        """The controller that a 421 names, if it is known."""
        return self._nodes.get(answer.get("foreman", "")) if isinstance(answer, dict) else None

    def hangs(self, worker: Worker) -> bool:
        return worker in self._hanging

    def count_answer(self, node: int, status: int, seconds: float, body: Any, answer: Any) -> None:
        self.statistics.answers[f"{node} {status}"] += 1
        self.statistics.traffic["reports"] += 1
        self.statistics.traffic["bytes of reports"] += len(orjson.dumps(body))
        self.statistics.traffic["bytes of answers"] += len(orjson.dumps(answer))
        self.statistics.delays.add(seconds)

    # --- control ----------------------------------------------------------------------------------

    async def _handle(self, request: Request) -> Response:
        handlers: dict[str, Callable[[bytes], Awaitable[Any]]] = {
            control.JOBS: self._take_jobs, control.BOOT: self._boot_more, control.END: self._end,
            control.DISTURB: self._disturb, control.CUT: self._cut, control.MARK: self._mark,
            control.STATISTICS: self._tell_statistics, control.FLUSH: self._flush,
        }  # fmt: skip
        handler = handlers.get(request.path)
        if handler is None:
            return Response(404, {"error": "no such path"})
        return Response(200, await handler(request.body))

    async def _take_jobs(self, body: bytes) -> dict[str, Any]:
        self._jobs.update(control.decoded(body, control.Jobs).needs)
        return {}

    async def _boot_more(self, body: bytes) -> dict[str, Any]:
        numbers = control.decoded(body, control.Numbers).numbers
        if self._nursery is not None:
            self._nursery.start_soon(self._boot_later, [number for number in numbers if self._holds(number)])
        return {}

    async def _boot_later(self, numbers: list[int]) -> None:
        await trio.sleep(BOOT_S)
        self._boot(numbers)

    def _boot(self, numbers: list[int]) -> None:
        for number in numbers:
            worker = self._make(number)
            self._workers[number] = worker
            if self._nursery is not None:
                self._nursery.start_soon(worker.run)

    def _make(self, number: int) -> Worker:
        machine = Machine(
            machine_name(number), self.addresses.worker(number), MACHINE_TYPE, self._fleet.zone(number),
            self.scenario.machine, self.scenario.times, self._jobs, self._completed, self._history.write,
            time.monotonic(),
        )  # fmt: skip
        return Worker(self, machine, number % self.controllers)

    async def _end(self, body: bytes) -> dict[str, Any]:
        self._remove(control.decoded(body, control.Numbers).numbers)
        return {}

    def _remove(self, numbers: list[int]) -> None:
        for number in numbers:
            worker = self._workers.pop(number, None)
            if worker is not None:
                worker.machine.forget_tasks(time.monotonic())
                worker.scope.cancel()

    async def _disturb(self, body: bytes) -> dict[str, Any]:
        wanted = control.decoded(body, control.Disturbance)
        mine = [number for number in wanted.numbers if number in self._workers]
        if wanted.action == "die":
            self._remove(mine)
            return {}
        for number in mine:
            worker = self._workers[number]
            worker.machine.disturbed_until = time.monotonic() + wanted.for_s + 2 * self.scenario.times.lease_s
            if wanted.action == "restart":
                worker.machine.restart(time.monotonic())
                worker.touched()
            else:
                self._pause(worker, wanted.for_s, hangs=True)
        return {}

    def _pause(self, worker: Worker, seconds: float, hangs: bool) -> None:
        now = time.monotonic()
        worker.paused_until = now + seconds
        worker.machine.disturbed_until = now + seconds + 2 * self.scenario.times.lease_s
        if hangs and self._nursery is not None:
            self._hanging.add(worker)
            self._nursery.start_soon(self._resume, worker, seconds)

    async def _resume(self, worker: Worker, seconds: float) -> None:
        await trio.sleep(seconds)
        self._hanging.discard(worker)
        worker.touched()

    async def _cut(self, body: bytes) -> dict[str, Any]:
        wanted = control.decoded(body, control.Cut)
        for worker in self._workers.values():
            if worker.machine.zone == wanted.zone:
                self._pause(worker, wanted.for_s, hangs=False)
        return {}

    async def _mark(self, body: bytes) -> dict[str, Any]:
        self.statistics = HostStatistics()
        return {}

    async def _tell_statistics(self, body: bytes) -> dict[str, Any]:
        busy = sum(1 for worker in self._workers.values() for task in worker.machine.tasks.values() if task.started)
        return {**self.statistics.plain(), "workers": len(self._workers), "tasks": busy}

    async def _flush(self, body: bytes) -> dict[str, Any]:
        self._history.flush()
        return {}


def run(plan: control.Plan, index: int) -> None:
    """Run a host until it is ended."""
    trio.run(partial(Host(plan, index).run))
