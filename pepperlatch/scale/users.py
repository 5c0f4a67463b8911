"""The process of users and operators: they submit, repeat, poll, cancel and change settings as PROTOCOL says."""

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
from pepperlatch.scale.machine import needs_of
from pepperlatch.scale.measures import Delays
from pepperlatch.scale.scenario import JobClass
from pepperlatch.settings import split_address

POLL_EVERY_S = 5.0  # s; PROTOCOL's users poll roughly so often
REPEAT_S = 60.0  # s; so long a request without a good answer is repeated
PAUSE_S = 1.0  # s; least pause before that
RETRY_MOST_S = 30.0  # s; the longest Retry-After that is heeded
SETTING = "drain_every_s"  # a setting whose value disturbs nothing
SETTING_VALUES = (10.0, 11.0)


@dataclass(slots=True)
class UserAnswer:
    status: int  # 0: none
    state: str | None = None
    retry_after_s: float = 0.0


class Balancer:
    """Gives each new connection a healthy controller, one with fewer open connections first."""

    def __init__(self, addresses: Addresses, controllers: int) -> None:
        self._addresses = [addresses.controller(index) for index in range(controllers)]
        self._healthy = [False] * controllers
        self._open = [0] * controllers

    async def probe_all(self) -> None:
        """Asks all for their health, once a second; runs until it is cancelled."""
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
        return sum(self._healthy)

    def take(self) -> int:
        candidates = [index for index, good in enumerate(self._healthy) if good] or list(range(len(self._healthy)))
        chosen = min(candidates, key=lambda index: self._open[index])
        self._open[chosen] += 1
        return chosen

    def give_back(self, index: int) -> None:
        self._open[index] -= 1

    def address(self, index: int) -> str:
        return self._addresses[index]


class User:
    """Owner of one job; every answer goes into the history."""

    def __init__(self, users: "Users", spec: wire.JobSpec, cancel_after_s: float | None) -> None:
        self._users = users
        self._spec = spec
        self._cancel_after_s = cancel_after_s

    async def run(self) -> None:
        if not await self._repeat("submit", "POST", wire.JOBS_PATH, wire.to_plain(self._spec)):
            return
        if self._cancel_after_s is not None:
            await trio.sleep(self._cancel_after_s)
            await self._repeat("cancel", "POST", f"{wire.JOBS_PATH}/{self._spec.id}/{wire.CANCEL_SUBPATH}", {})
        await self._poll()

    async def _poll(self) -> None:
        while True:
            await trio.sleep(POLL_EVERY_S * self._users.random.uniform(0.8, 1.2))
            answer = await self._ask("poll", "GET", f"{wire.JOBS_PATH}/{self._spec.id}", None, c.USER_POLL_TIMEOUT_S)
            if answer.state in (wire.JobState.DONE.value, wire.JobState.CANCELLED.value):
                return

    async def _repeat(self, request: str, method: str, path: str, body: Any) -> bool:
        """Until it is answered for good, for a minute; whether it was taken."""
        until = time.monotonic() + REPEAT_S
        while time.monotonic() < until:
            answer = await self._ask(request, method, path, body, c.USER_SUBMIT_TIMEOUT_S)
            if answer.status in (200, 201):
                return True
            if answer.status in (400, 404, 422):
                return False
            await trio.sleep(max(PAUSE_S, min(RETRY_MOST_S, answer.retry_after_s)))
        return False

    async def _ask(self, request: str, method: str, path: str, body: Any, seconds: float) -> UserAnswer:
        asked_at = time.monotonic()
        node = self._users.balancer.take()
        network = HttpNetwork(1)
        try:
            status, retry_after, answer = await network.request_with_retry_after(
                self._users.balancer.address(node), method, path, body, seconds
            )
            state = answer.get("status") if isinstance(answer, dict) and status in (200, 201) else None
            found = UserAnswer(status, state, float(retry_after or 0))
        except (NotSent, NoUsableResponse):
            found = UserAnswer(0)
        finally:
            network.close()
            self._users.balancer.give_back(node)
        event = Answered(time.monotonic(), asked_at, request, self._spec.id, found.status, found.state)
        self._users.history.write(event)
        return found


class Users:
    def __init__(self, plan: control.Plan) -> None:
        self.scenario = plan.scenario
        self.random = random.Random(f"{plan.scenario.seed} users")
        self.addresses = Addresses(plan.port)
        self.balancer = Balancer(self.addresses, plan.scenario.controllers)
        self.history = HistoryWriter(Path(plan.folder) / "users.jsonl")
        self._hosts = [self.addresses.host(index) for index in range(plan.scenario.hosts)]
        self._network = HttpNetwork(64)
        self._in_force = Delays()
        self._changes_failed = 0
        self._number = 0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            host, port = split_address(self.addresses.users())
            await nursery.start(Server(self._handle, 64).serve, host, port)
            nursery.start_soon(self.balancer.probe_all)

    async def _handle(self, request: Request) -> Response:
        if request.path == control.MARK:
            self._start_load()
        elif request.path == control.FLUSH:
            self.history.flush()
        elif request.path == control.STATISTICS:
            answer = {
                "healthy": self.balancer.healthy(), "jobs": self._number, "in_force": self._in_force.encoded(),
                "changes_failed": self._changes_failed,
            }  # fmt: skip
            return Response(200, answer)
        return Response(200, {})

    # --- load -------------------------------------------------------------------------------------

    def _start_load(self) -> None:
        """Measuring begins: from here on jobs come."""
        if self._nursery is None:
            return
        for kind in self.scenario.classes:
            self._nursery.start_soon(self._arrivals, kind)
            for burst in kind.burst:
                self._nursery.start_soon(self._burst, kind, burst.at_s, burst.jobs, burst.within_s)
            if kind.at_start:
                self._nursery.start_soon(self._burst, kind, 0.0, kind.at_start, 1.0)
        if self.scenario.changes_per_hour > 0:
            self._nursery.start_soon(self._change_settings)

    async def _arrivals(self, kind: JobClass) -> None:
        while kind.per_minute > 0:
            await trio.sleep(self.random.expovariate(kind.per_minute / 60))
            await self._submit(kind)

    async def _burst(self, kind: JobClass, at_s: float, jobs: int, within_s: float) -> None:
        await trio.sleep(at_s)
        for _ in range(jobs):
            await self._submit(kind)
            await trio.sleep(within_s / jobs)

    async def _submit(self, kind: JobClass) -> None:
        """Upload the description for the workers, then leave the job to its user."""
        self._number += 1
        spec = self._spec(kind, self._number)
        needs = control.Jobs({spec.id: needs_of(spec)})
        await control.tell_all(self._network, self._hosts, control.JOBS, needs)
        described = JobDescribed(
            time.monotonic(), spec.id, spec.team, kind.name, kind.shape, spec.tasks, spec.cpus, spec.zone,
            spec.one_zone, spec.spread,
        )  # fmt: skip
        self.history.write(described)
        cancelled = self.random.random() < kind.cancelled_share
        cancel_after_s = self.random.uniform(0.0, kind.run_s) if cancelled else None
        if self._nursery is not None:
            self._nursery.start_soon(User(self, spec, cancel_after_s).run)

    def _spec(self, kind: JobClass, number: int) -> wire.JobSpec:
        service = kind.shape == wire.Kind.SERVICE.value
        run_s = kind.run_s * self.random.uniform(0.8, 1.2)
        return wire.JobSpec(
            id=f"run-{number:06d}", job_class=kind.name, team=f"team-{number % self.scenario.teams.count}",
            kind=wire.Kind(kind.shape), priority=wire.Priority(kind.priority), tasks=kind.tasks, cpus=kind.cpus,
            gpus=0.0, memory_gb=kind.memory_gb, image=f"{kind.name}-{number % kind.images}", image_gb=kind.image_gb,
            one_zone=False, spread=service, spot=False, estimate_s=0.0 if service else run_s, checkpoint_s=0.0,
            save_s=0.0,
        )  # fmt: skip

    # --- settings ---------------------------------------------------------------------------------

    async def _change_settings(self) -> None:
        """Changes at the scenario's rate; measures until every controller shows the change."""
        turn = 0
        while True:
            await trio.sleep(3600 / self.scenario.changes_per_hour)
            turn += 1
            with trio.move_on_after(c.SETTINGS_TIMEOUT_S) as scope:
                await self._change(SETTING_VALUES[turn % 2])
            self._changes_failed += scope.cancelled_caught

    async def _change(self, value: float) -> None:
        version = await self._put(value)
        began = time.monotonic()
        async with trio.open_nursery() as nursery:
            for index in range(self.scenario.controllers):
                nursery.start_soon(self._until_shown, index, version)
        self._in_force.add(time.monotonic() - began)

    async def _put(self, value: float) -> int:
        """The version that the change has; asked of one controller after the other until one has made it."""
        while True:
            address = self.addresses.controller_peers(self.random.randrange(self.scenario.controllers))
            try:
                _, shown = await self._network.request(address, "GET", "/admin/settings")
                body = {"version": shown["version"], "settings": {SETTING: value}}
                status, answer = await self._network.request(address, "PUT", "/admin/settings", body)
                if status == 200:
                    return int(answer["version"])
            except (NotSent, NoUsableResponse, KeyError, TypeError):
                pass
            await trio.sleep(PAUSE_S)

    async def _until_shown(self, index: int, version: int) -> None:
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
    """Run the users until they are ended."""
    trio.run(partial(Users(plan).run))
