"""The worker host process: simulated workers, each with its own connection and listener, as real ones have."""

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
from pepperlatch.scale.cloud import BOOT_DURATION_S, MACHINE_TYPE, Fleet
from pepperlatch.scale.history import HistoryWriter
from pepperlatch.scale.machine import JobNeeds, SimulatedMachine
from pepperlatch.scale.measures import WorkerHostStatistics
from pepperlatch.settings import split_address

MAX_CONCURRENT_COMMANDS = 16  # connections to a worker's listener; all controllers may connect, some more than once


class Worker:
    """Does the I/O of one machine: reports to a controller, commands from controllers, and work when it is due.

    When `scope` is cancelled, the machine disappears at once; the caller records its tasks as stopped before that.
    """

    def __init__(self, host: "WorkerHost", machine: SimulatedMachine, controller_index: int) -> None:
        self.machine = machine
        self._host = host
        self._controller_index = controller_index
        self._network = HttpNetwork(2)
        self._report_wanted = trio.Event()
        self._work_changed = trio.Event()
        self.paused_until = 0.0  # no traffic before then: the machine hangs, or its zone is cut off
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Run the machine until `scope` is cancelled."""
        address, port = split_address(self.machine.address)
        with self.scope:
            async with trio.open_nursery() as nursery:
                server = Server(self._handle_commands, MAX_CONCURRENT_COMMANDS)
                nursery.start_soon(server.serve, address, port)
                nursery.start_soon(self._run_due_work)
                await self._report_periodically()
        self._network.close()

    def machine_changed(self) -> None:
        """Check again which work is due, and report at once if needed. Must be called after a change to `machine`."""
        self._work_changed.set()
        if self.machine.changed:
            self._report_wanted.set()

    # --- tasks ------------------------------------------------------------------------------------

    async def _run_due_work(self) -> None:
        """Let images arrive and tasks complete when they are due, and expire the lease; runs until cancelled.

        A machine that hangs does no work until it resumes; one that is only cut off works on.
        """
        while True:
            self._work_changed = trio.Event()
            now = time.monotonic()
            due_at = self.machine.next_due_at()
            if due_at is not None and self._host.is_hanging(self):
                due_at = max(due_at, self.paused_until)
            lease_end = self.machine.lease_start + self.machine.times.lease_s
            wait_s = min(lease_end, due_at if due_at is not None else lease_end) - now
            with trio.move_on_after(max(0.0, wait_s) + 0.001):
                await self._work_changed.wait()
            now = time.monotonic()
            if now >= self.paused_until or not self._host.is_hanging(self):
                self.machine.step(now)
            self.machine.expire_lease(now)
            if self.machine.changed:
                self._report_wanted.set()

    # --- reports ----------------------------------------------------------------------------------

    async def _report_periodically(self) -> None:
        """Report every `report_s` seconds with random spread, sooner after a change; runs until cancelled."""
        report_s = self.machine.times.report_s
        random_source = self._host.random
        await trio.sleep(random_source.random() * report_s)
        while True:
            await self._wait_while_paused()
            self._report_wanted = trio.Event()
            started = time.monotonic()
            pause_s = await self._send_report(started)
            interval_s = report_s * (1 + c.REPORT_INTERVAL_SPREAD * (2 * random_source.random() - 1))
            if pause_s > 0:
                await trio.sleep(pause_s)
                continue
            with trio.move_on_after(max(0.0, started + interval_s - time.monotonic())):
                if not self.machine.changed:
                    await self._report_wanted.wait()
            await trio.sleep(max(0.0, started + c.MIN_REPORT_INTERVAL_S - time.monotonic()))

    async def _send_report(self, sent_at: float) -> float:
        """Send one report; returns the seconds to wait before the next one, 0 for the usual interval.

        An answer that is late, or comes while the machine is paused, is dropped. After a dropped answer or a 200, the
        next report goes to the same controller; after a 421, to the other controller that the answer names; otherwise,
        to the next controller by index.
        """
        controller_index, session, body = self._controller_index, self.machine.session, self.machine.report()
        self.machine.changed = False
        address = self._host.addresses.controller(controller_index)
        try:
            status, answer = await self._network.request(
                address, "POST", wire.REPORT_PATH, body, c.REPORT_ANSWER_TIMEOUT_S
            )
        except (NotSent, NoUsableResponse):
            status, answer = 0, None
        now = time.monotonic()
        self._host.record_answer(controller_index, status, now - sent_at, body, answer)
        if now < self.paused_until or now - sent_at > c.REPORT_ANSWER_TIMEOUT_S:
            return c.NEXT_CONTROLLER_PAUSE_S
        if status == 200:
            self.machine.apply_report_answer(answer, session, sent_at, now)
            self.machine_changed()
            return 0.0
        named_controller = self._host.controller_of(answer) if status == 421 else None
        self._network.close()
        if named_controller is None or named_controller == controller_index:
            self._controller_index = (controller_index + 1) % self._host.controller_count
            return c.NEXT_CONTROLLER_PAUSE_S
        self._controller_index = named_controller
        return max(0.001, self._host.random.random() * c.MAX_REDIRECT_PAUSE_S)

    async def _wait_while_paused(self) -> None:
        while (remaining_s := self.paused_until - time.monotonic()) > 0:
            await trio.sleep(remaining_s)

    # --- commands ---------------------------------------------------------------------------------

    async def _handle_commands(self, request: Request) -> Response:
        """Answer commands and inspections; while the machine hangs or is cut off, they wait until it resumes."""
        await self._wait_while_paused()
        now = time.monotonic()
        self.machine.expire_lease(now)
        self._host.statistics.traffic["commands"] += 1
        self._host.statistics.traffic["bytes of commands"] += len(request.body)
        if request.path == wire.INSPECT_PATH:
            return Response(200, self.machine.report())
        try:
            status, report = self.machine.apply_commands(orjson.loads(request.body), now)
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return Response(400, {"error": f"malformed: {error}"})
        self.machine_changed()
        return Response(status, report)


class WorkerHost:
    """The control interface of one process and its workers: those whose number modulo `hosts` is `index`."""

    def __init__(self, plan: control.Plan, index: int) -> None:
        self.scenario = plan.scenario
        self.addresses = Addresses(plan.port)
        self.controller_count = plan.scenario.controllers
        self.random = random.Random(f"{plan.scenario.seed} host {index}")
        self.statistics = WorkerHostStatistics()
        self._index = index
        self._fleet = Fleet(plan.scenario)
        self._history = HistoryWriter(Path(plan.folder) / f"host-{index}.jsonl")
        self._jobs: dict[str, JobNeeds] = {}
        self._completed: set[str] = set()
        self._workers: dict[int, Worker] = {}
        self._hanging: set[Worker] = set()
        self._nursery: trio.Nursery | None = None
        self._controller_indexes = {
            controller_name(controller_index): controller_index for controller_index in range(self.controller_count)
        }

    async def run(self) -> None:
        """Serve the control interface and start the workers of all machines that are rented from the start."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address, port = split_address(self.addresses.host(self._index))
            await nursery.start(Server(self._handle, 64).serve, address, port)
            self._start_workers([number for number in range(self.scenario.workers) if self._owns(number)])

    def _owns(self, number: int) -> bool:
        return number % self.scenario.hosts == self._index

    # --- for workers ------------------------------------------------------------------------------

    def controller_of(self, answer: Any) -> int | None:
        """Index of the controller that a 421 answer names; None if it names none that is known."""
        return self._controller_indexes.get(answer.get("foreman", "")) if isinstance(answer, dict) else None

    def is_hanging(self, worker: Worker) -> bool:
        """Whether the worker hangs; False if it is only cut off."""
        return worker in self._hanging

    def record_answer(self, controller_index: int, status: int, seconds: float, body: Any, answer: Any) -> None:
        """Count a report and its answer. `status`: 0 if the controller did not answer."""
        self.statistics.answers[f"{controller_index} {status}"] += 1
        self.statistics.traffic["reports"] += 1
        self.statistics.traffic["bytes of reports"] += len(orjson.dumps(body))
        self.statistics.traffic["bytes of answers"] += len(orjson.dumps(answer))
        self.statistics.delays.add(seconds)

    # --- control ----------------------------------------------------------------------------------

    async def _handle(self, request: Request) -> Response:
        handlers: dict[str, Callable[[bytes], Awaitable[Any]]] = {
            control.JOBS_PATH: self._handle_jobs, control.BOOT_MACHINES_PATH: self._handle_boot,
            control.END_MACHINES_PATH: self._handle_end, control.DISTURB_MACHINES_PATH: self._handle_disturbance,
            control.CUT_ZONE_PATH: self._handle_zone_cut, control.START_MEASURING_PATH: self._handle_start_measuring,
            control.STATISTICS_PATH: self._handle_statistics, control.FLUSH_HISTORY_PATH: self._handle_flush,
        }  # fmt: skip
        handler = handlers.get(request.path)
        if handler is None:
            return Response(404, {"error": "no such path"})
        return Response(200, await handler(request.body))

    async def _handle_jobs(self, body: bytes) -> dict[str, Any]:
        self._jobs.update(control.decode_message(body, control.JobDescriptions).needs)
        return {}

    async def _handle_boot(self, body: bytes) -> dict[str, Any]:
        numbers = control.decode_message(body, control.MachineNumbers).numbers
        if self._nursery is not None:
            self._nursery.start_soon(self._boot_after_delay, [number for number in numbers if self._owns(number)])
        return {}

    async def _boot_after_delay(self, numbers: list[int]) -> None:
        await trio.sleep(BOOT_DURATION_S)
        self._start_workers(numbers)

    def _start_workers(self, numbers: list[int]) -> None:
        for number in numbers:
            worker = self._make_worker(number)
            self._workers[number] = worker
            if self._nursery is not None:
                self._nursery.start_soon(worker.run)

    def _make_worker(self, number: int) -> Worker:
        machine = SimulatedMachine(
            machine_name(number), self.addresses.worker(number), MACHINE_TYPE, self._fleet.zone(number),
            self.scenario.machine, self.scenario.times, self._jobs, self._completed, self._history.write,
            time.monotonic(),
        )  # fmt: skip
        return Worker(self, machine, number % self.controller_count)

    async def _handle_end(self, body: bytes) -> dict[str, Any]:
        self._remove_machines(control.decode_message(body, control.MachineNumbers).numbers)
        return {}

    def _remove_machines(self, numbers: list[int]) -> None:
        for number in numbers:
            worker = self._workers.pop(number, None)
            if worker is not None:
                worker.machine.drop_tasks(time.monotonic())
                worker.scope.cancel()

    async def _handle_disturbance(self, body: bytes) -> dict[str, Any]:
        message = control.decode_message(body, control.MachineDisturbance)
        own_numbers = [number for number in message.numbers if number in self._workers]
        if message.action == "die":
            self._remove_machines(own_numbers)
            return {}
        for number in own_numbers:
            worker = self._workers[number]
            worker.machine.disturbed_until = time.monotonic() + message.for_s + 2 * self.scenario.times.lease_s
            if message.action == "restart":
                worker.machine.restart(time.monotonic())
                worker.machine_changed()
            else:
                self._pause(worker, message.for_s, hangs=True)
        return {}

    def _pause(self, worker: Worker, seconds: float, hangs: bool) -> None:
        """Stop the machine's traffic for `seconds` and, if it hangs, its work.

        Leases that expire up to two lease times after that count as explained by the trouble.
        """
        now = time.monotonic()
        worker.paused_until = now + seconds
        worker.machine.disturbed_until = now + seconds + 2 * self.scenario.times.lease_s
        if hangs and self._nursery is not None:
            self._hanging.add(worker)
            self._nursery.start_soon(self._resume_after, worker, seconds)

    async def _resume_after(self, worker: Worker, seconds: float) -> None:
        await trio.sleep(seconds)
        self._hanging.discard(worker)
        worker.machine_changed()

    async def _handle_zone_cut(self, body: bytes) -> dict[str, Any]:
        message = control.decode_message(body, control.ZoneCut)
        for worker in self._workers.values():
            if worker.machine.zone == message.zone:
                self._pause(worker, message.for_s, hangs=False)
        return {}

    async def _handle_start_measuring(self, body: bytes) -> dict[str, Any]:
        self.statistics = WorkerHostStatistics()
        return {}

    async def _handle_statistics(self, body: bytes) -> dict[str, Any]:
        busy = sum(1 for worker in self._workers.values() for task in worker.machine.tasks.values() if task.started)
        return {**self.statistics.to_plain(), "workers": len(self._workers), "tasks": busy}

    async def _handle_flush(self, body: bytes) -> dict[str, Any]:
        self._history.flush()
        return {}


def run(plan: control.Plan, index: int) -> None:
    """Run the worker host with this index until the process is terminated."""
    trio.run(partial(WorkerHost(plan, index).run))
