"""The process of simulated users and operators, who submit, retry, poll, cancel and change settings as in PROTOCOL."""

import random
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import trio

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Request, Response, Server
from pepperlatch.scale import control
from pepperlatch.scale.addresses import Addresses
from pepperlatch.scale.history import Answered, HistoryWriter, JobDescribed
from pepperlatch.scale.machine import job_needs
from pepperlatch.scale.measures import Delays
from pepperlatch.scale.scenario import JobClass
from pepperlatch.settings import split_address

POLL_INTERVAL_S = 5.0  # s; about the interval at which PROTOCOL's users poll
RETRY_TIMEOUT_S = 60.0  # s; how long a request without a final answer is retried
MIN_RETRY_PAUSE_S = 1.0  # s; shortest pause before a retry
MAX_RETRY_AFTER_S = 30.0  # s; a longer Retry-After is cut to this
CHANGED_SETTING = "drain_every_s"  # a setting whose value does not disturb the run
CHANGED_SETTING_VALUES = (10.0, 11.0)


@dataclass(slots=True)
class UserAnswer:
    """An answer to a user. `state`: state of the job, if stated; `retry_after_s`: 0 without a Retry-After."""

    status: int  # 0: no answer
    state: str | None = None
    retry_after_s: float = 0.0


class LoadBalancer:
    """Picks a healthy controller with the fewest open connections for each new connection; any if none is healthy."""

    def __init__(self, addresses: Addresses, controllers: int) -> None:
        self._addresses = [addresses.controller(index) for index in range(controllers)]
        self._healthy = [False] * controllers
        self._open_connections = [0] * controllers

    async def probe_all(self) -> None:
        """Probe the health of all controllers every HEALTH_PROBE_INTERVAL_S; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            for index in range(len(self._addresses)):
                nursery.start_soon(self._probe, index)

    async def _probe(self, index: int) -> None:
        network = HttpNetwork(2)
        while True:
            try:
                status, _ = await network.request(
                    self._addresses[index], "GET", wire.HEALTH_PATH, None, c.HEALTH_PROBE_INTERVAL_S
                )
                self._healthy[index] = status == 200
            except (NotSent, NoUsableResponse):
                self._healthy[index] = False
            await trio.sleep(c.HEALTH_PROBE_INTERVAL_S)

    def healthy(self) -> int:
        """Number of controllers whose last probe was answered with 200."""
        return sum(self._healthy)

    def acquire_controller(self) -> int:
        """Index of the controller for a new connection; call `release_controller` when the connection is closed."""
        candidates = [index for index, is_healthy in enumerate(self._healthy) if is_healthy] or list(
            range(len(self._healthy))
        )
        chosen = min(candidates, key=lambda index: self._open_connections[index])
        self._open_connections[chosen] += 1
        return chosen

    def release_controller(self, index: int) -> None:
        self._open_connections[index] -= 1

    def address(self, index: int) -> str:
        return self._addresses[index]


class User:
    """A user with one job, who submits it, may cancel it and polls it to its end. The history gets all answers."""

    def __init__(self, users: "Users", spec: wire.JobSpec, cancel_after_s: float | None) -> None:
        self._users = users
        self._spec = spec
        self._cancel_after_s = cancel_after_s

    async def run(self) -> None:
        """Run until the job is done or cancelled, or its submission was refused or not accepted in time."""
        if not await self._retry_until_answered("submit", "POST", wire.JOBS_PATH, wire.to_plain(self._spec)):
            return
        if self._cancel_after_s is not None:
            await trio.sleep(self._cancel_after_s)
            await self._retry_until_answered(
                "cancel", "POST", f"{wire.JOBS_PATH}/{self._spec.id}/{wire.CANCEL_SUBPATH}", {}
            )
        await self._poll()

    async def _poll(self) -> None:
        while True:
            await trio.sleep(POLL_INTERVAL_S * self._users.random.uniform(0.8, 1.2))
            answer = await self._send_once(
                "poll", "GET", f"{wire.JOBS_PATH}/{self._spec.id}", None, c.USER_POLL_TIMEOUT_S
            )
            if answer.state in (wire.JobState.DONE.value, wire.JobState.CANCELLED.value):
                return

    async def _retry_until_answered(self, request: str, method: str, path: str, body: Any) -> bool:
        """Retry for up to RETRY_TIMEOUT_S until the answer is final; returns whether the request was accepted."""
        deadline = time.monotonic() + RETRY_TIMEOUT_S
        while time.monotonic() < deadline:
            answer = await self._send_once(request, method, path, body, c.USER_SUBMIT_TIMEOUT_S)
            if answer.status in (200, 201):
                return True
            if answer.status in (400, 404, 422):
                return False
            await trio.sleep(max(MIN_RETRY_PAUSE_S, min(MAX_RETRY_AFTER_S, answer.retry_after_s)))
        return False

    async def _send_once(self, request: str, method: str, path: str, body: Any, timeout_s: float) -> UserAnswer:
        """Send one request over a connection of its own, and record the answer."""
        asked_at = time.monotonic()
        controller_index = self._users.balancer.acquire_controller()
        network = HttpNetwork(1)
        try:
            status, retry_after, answer = await network.request_with_retry_after(
                self._users.balancer.address(controller_index), method, path, body, timeout_s
            )
            state = answer.get("status") if isinstance(answer, dict) and status in (200, 201) else None
            user_answer = UserAnswer(status, state, float(retry_after or 0))
        except (NotSent, NoUsableResponse):
            user_answer = UserAnswer(0)
        finally:
            network.close()
            self._users.balancer.release_controller(controller_index)
        event = Answered(time.monotonic(), asked_at, request, self._spec.id, user_answer.status, user_answer.state)
        self._users.history.write(event)
        return user_answer


class Users:
    """Submits jobs as the scenario says, changes settings, and serves the control interface of this process."""

    def __init__(self, plan: control.Plan) -> None:
        self.scenario = plan.scenario
        self.random = random.Random(f"{plan.scenario.seed} users")
        self.addresses = Addresses(plan.port)
        self.balancer = LoadBalancer(self.addresses, plan.scenario.controllers)
        self.history = HistoryWriter(Path(plan.folder) / "users.jsonl")
        self._host_addresses = [self.addresses.host(index) for index in range(plan.scenario.hosts)]
        self._network = HttpNetwork(64)
        self._in_force_delays = Delays()
        self._changes_failed = 0
        self._job_count = 0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve the control interface and probe the controllers; load begins with START_MEASURING_PATH."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            host, port = split_address(self.addresses.users())
            await nursery.start(Server(self._handle, 64).serve, host, port)
            nursery.start_soon(self.balancer.probe_all)

    async def _handle(self, request: Request) -> Response:
        if request.path == control.START_MEASURING_PATH:
            self._start_load()
        elif request.path == control.FLUSH_HISTORY_PATH:
            self.history.flush()
        elif request.path == control.STATISTICS_PATH:
            answer = {
                "healthy": self.balancer.healthy(), "jobs": self._job_count,
                "in_force": self._in_force_delays.encoded(), "changes_failed": self._changes_failed,
            }  # fmt: skip
            return Response(200, answer)
        return Response(200, {})

    # --- load -------------------------------------------------------------------------------------

    def _start_load(self) -> None:
        """Begin to submit jobs and change settings; called when measuring begins."""
        if self._nursery is None:
            return
        for job_class in self.scenario.classes:
            self._nursery.start_soon(self._submit_at_rate, job_class)
            for burst in job_class.burst:
                self._nursery.start_soon(self._submit_burst, job_class, burst.at_s, burst.jobs, burst.within_s)
            if job_class.at_start:
                self._nursery.start_soon(self._submit_burst, job_class, 0.0, job_class.at_start, 1.0)
        if self.scenario.changes_per_hour > 0:
            self._nursery.start_soon(self._change_settings)

    async def _submit_at_rate(self, job_class: JobClass) -> None:
        while job_class.per_minute > 0:
            await trio.sleep(self.random.expovariate(job_class.per_minute / 60))
            await self._submit(job_class)

    async def _submit_burst(self, job_class: JobClass, at_s: float, jobs: int, within_s: float) -> None:
        await trio.sleep(at_s)
        for _ in range(jobs):
            await self._submit(job_class)
            await trio.sleep(within_s / jobs)

    async def _submit(self, job_class: JobClass) -> None:
        """Send the job's needs to the worker hosts, then start a user who submits it."""
        self._job_count += 1
        spec = self._make_spec(job_class, self._job_count)
        needs = control.JobDescriptions({spec.id: job_needs(spec)})
        await control.send_to_all(self._network, self._host_addresses, control.JOBS_PATH, needs)
        description = JobDescribed(
            time.monotonic(), spec.id, spec.team, job_class.name, job_class.shape, spec.tasks, spec.cpus, spec.zone,
            spec.one_zone, spec.spread,
        )  # fmt: skip
        self.history.write(description)
        cancelled = self.random.random() < job_class.cancelled_share
        cancel_after_s = self.random.uniform(0.0, job_class.run_s) if cancelled else None
        if self._nursery is not None:
            self._nursery.start_soon(User(self, spec, cancel_after_s).run)

    def _make_spec(self, job_class: JobClass, number: int) -> wire.JobSpec:
        service = job_class.shape == wire.Kind.SERVICE.value
        run_s = job_class.run_s * self.random.uniform(0.8, 1.2)
        return wire.JobSpec(
            id=f"run-{number:06d}", job_class=job_class.name, team=f"team-{number % self.scenario.teams.count}",
            kind=wire.Kind(job_class.shape), priority=wire.Priority(job_class.priority), tasks=job_class.tasks,
            cpus=job_class.cpus, gpus=0.0, memory_gb=job_class.memory_gb,
            image=f"{job_class.name}-{number % job_class.images}", image_gb=job_class.image_gb,
            one_zone=False, spread=service, spot=False, estimate_s=0.0 if service else run_s, checkpoint_s=0.0,
            save_s=0.0,
        )  # fmt: skip

    # --- settings ---------------------------------------------------------------------------------

    async def _change_settings(self) -> None:
        """Change a setting at the scenario's rate; runs until cancelled.

        A change that is not in force everywhere within SETTINGS_TIMEOUT_S is given up and counted as failed.
        """
        change_count = 0
        while True:
            await trio.sleep(3600 / self.scenario.changes_per_hour)
            change_count += 1
            with trio.move_on_after(c.SETTINGS_TIMEOUT_S) as scope:
                await self._time_change(CHANGED_SETTING_VALUES[change_count % 2])
            self._changes_failed += scope.cancelled_caught

    async def _time_change(self, value: float) -> None:
        """Make a change and record how long it takes until every controller shows it."""
        version = await self._put_setting(value)
        began = time.monotonic()
        async with trio.open_nursery() as nursery:
            for index in range(self.scenario.controllers):
                nursery.start_soon(self._wait_until_visible, index, version)
        self._in_force_delays.add(time.monotonic() - began)

    async def _put_setting(self, value: float) -> int:
        """Make the change; returns its version. Tries random controllers until one accepts it."""
        while True:
            address = self.addresses.controller_peers(self.random.randrange(self.scenario.controllers))
            try:
                _, shown = await self._network.request(address, "GET", "/admin/settings")
                body = {"version": shown["version"], "settings": {CHANGED_SETTING: value}}
                status, answer = await self._network.request(address, "PUT", "/admin/settings", body)
                if status == 200:
                    return int(answer["version"])
            except (NotSent, NoUsableResponse, KeyError, TypeError):
                pass
            await trio.sleep(MIN_RETRY_PAUSE_S)

    async def _wait_until_visible(self, index: int, version: int) -> None:
        address = self.addresses.controller_peers(index)
        while True:
            try:
                status, shown = await self._network.request(address, "GET", "/admin/settings")
                if status == 200 and shown["version"] >= version:
                    return
            except (NotSent, NoUsableResponse):
                pass
            await trio.sleep(0.1)


def run(plan: control.Plan) -> None:
    """Run the users until the process is terminated."""
    trio.run(partial(Users(plan).run))
