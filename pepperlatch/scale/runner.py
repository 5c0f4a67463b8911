"""Plays a scenario: starts everything, lets the troubles happen, measures, and ends every process it started."""

import os
import random
import re
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import Any

import msgspec
import trio

from pepperlatch.constants import scale as c
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.scale import control, history, observer, resource_limits, results
from pepperlatch.scale.addresses import Addresses, controller_name, free_ports
from pepperlatch.scale.cloud import Fleet
from pepperlatch.scale.deployment import controller_zones, settings_text
from pepperlatch.scale.history import AnyEvent, HistoryWriter, TroubleBegan
from pepperlatch.scale.measures import Delays, HostStatistics, machine_cpu_s
from pepperlatch.scale.processes import PROJECT_ROOT, Process, controller, end_all, hollow
from pepperlatch.scale.results import ProcessResult, Result
from pepperlatch.scale.scenario import CutZone, KillControllers, Machines, Scenario, Trouble

KEPT_IDLE_S = 3600.0  # s; the operators' setting `idle_s` of a run: its machines stay though they run nothing
_ACCOUNTED = re.compile(r"all machines accounted for, ([\d.]+) s")


class RunFailed(Exception):
    """The run could not be played to its end; the text says why."""


@dataclass
class Progress:
    """What is shown while a run lasts."""

    stage: str
    elapsed_s: float
    length_s: float
    tasks: int = 0
    leader_cpu: float = 0.0


Show = Callable[[Progress], None]


@dataclass
class Run:
    """One run. `program`: the controllers' `run.py`, of this source tree or another."""

    scenario: Scenario
    folder: Path
    program: Path = PROJECT_ROOT / "run.py"
    show: Show = lambda progress: None
    addresses: Addresses = field(default_factory=free_ports)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.scenario.seed} troubles")
        self._network = HttpNetwork(128)
        self._hosts = [self.addresses.host(index) for index in range(self.scenario.hosts)]
        self._controllers = [
            controller(controller_name(index), self.program, self.folder) for index in range(self.scenario.controllers)
        ]
        self._services = hollow("services", "services", self.folder)
        self._users = hollow("users", "users", self.folder)
        self._host_processes = [
            hollow(f"host-{index}", "host", self.folder, index) for index in range(len(self._hosts))
        ]
        self._history = HistoryWriter(self.folder / "run.jsonl")
        self._living = set(range(self.scenario.workers))
        self._leader_history: list[str] = []

    def play(self) -> Result:
        """Raises RunFailed, resource_limits.TooLarge; all processes have ended then, too."""
        resource_limits.check(self.scenario)
        resource_limits.raise_file_limit()
        self._write_files()
        try:
            return trio.run(self._play)
        except control.ControlFailed as error:
            raise RunFailed(str(error)) from None
        finally:
            end_all(self._all())
            self._history.close()

    def _all(self) -> list[Process]:
        return [*self._controllers, self._users, *self._host_processes, self._services]

    def _write_files(self) -> None:
        plan = control.Plan(self.scenario, self.addresses.port, str(self.folder))
        (self.folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        for index in range(self.scenario.controllers):
            text = settings_text(self.scenario, self.addresses, index)
            (self.folder / f"{controller_name(index)}.toml").write_text(text, "utf-8")

    # --- the run ----------------------------------------------------------------------------------

    async def _play(self) -> Result:
        for process in self._all():
            process.start()
        await self._wait_until_healthy()
        await self._keep_idle_machines()
        await self._wait("settling", self.scenario.settle_s)
        await self._mark()
        machine_cpu, began = machine_cpu_s(), time.monotonic()
        await self._measure()
        length_s = time.monotonic() - began
        machine_share = (machine_cpu_s() - machine_cpu) / length_s / cores()
        return await self._result(length_s, machine_share)

    async def _measure(self) -> None:
        """Raises what a trouble or the measuring has raised."""
        try:
            async with trio.open_nursery() as nursery:
                for trouble in self.scenario.troubles:
                    nursery.start_soon(self._cause, trouble)
                await self._wait("measuring", self.scenario.length_s)
                nursery.cancel_scope.cancel()
        except ExceptionGroup as group:
            raise group.exceptions[0] from None

    async def _wait_until_healthy(self) -> None:
        until = time.monotonic() + c.START_TIMEOUT_S
        while time.monotonic() < until:
            self._check_alive()
            await trio.sleep(c.SAMPLE_INTERVAL_S)
            try:
                users = await control.tell(self._network, self.addresses.users(), control.STATISTICS)
            except control.ControlFailed:
                continue
            self.show(Progress(f"{users['healthy']} controllers healthy", 0.0, self.scenario.length_s))
            if users["healthy"] == self.scenario.controllers:
                return
        raise RunFailed(
            f"not all controllers are healthy after {c.START_TIMEOUT_S:g} s; their logs are in {self.folder}"
        )

    def _check_alive(self) -> None:
        for process in self._all():
            if not process.alive() and process not in self._controllers:
                tail = process.log.read_text("utf-8", "replace")[-800:]
                raise RunFailed(f"{process.name} has ended: {tail}")

    async def _keep_idle_machines(self) -> None:
        """Else the leader would return what has nothing to do; operators change settings, so it is one."""
        address = self.addresses.controller_peers(0)
        for _ in range(20):
            try:
                _, shown = await self._network.request(address, "GET", "/admin/settings")
                body = {"version": shown["version"], "settings": {"idle_s": KEPT_IDLE_S}}
                status, _ = await self._network.request(address, "PUT", "/admin/settings", body)
                if status == 200:
                    return
            except (NotSent, NoUsableResponse, KeyError, TypeError):
                pass
            await trio.sleep(c.SAMPLE_INTERVAL_S)
        raise RunFailed("idle_s could not be set through the administration API")

    async def _wait(self, stage: str, seconds: float) -> None:
        """Look at all processes every now and then until the time is over."""
        began = looked_at = time.monotonic()
        while (elapsed := time.monotonic() - began) < seconds:
            await trio.sleep(min(c.SAMPLE_INTERVAL_S, seconds - elapsed))
            self._check_alive()
            before = {process.name: process.cpu_s() for process in self._all()}
            for process in self._all():
                process.look()
            now = time.monotonic()
            busiest = max(process.cpu_s() - before[process.name] for process in self._controllers)
            self.show(Progress(stage, elapsed, seconds, leader_cpu=busiest / (now - looked_at)))
            looked_at = now

    async def _mark(self) -> None:
        await control.tell_all(self._network, self._hosts, control.MARK)
        await control.tell(self._network, self.addresses.cloud(), control.MARK)
        for process in self._all():
            process.mark()
        self._leader_history.append(await self._leader())
        await control.tell(self._network, self.addresses.users(), control.MARK)

    async def _leader(self) -> str:
        """Who leads, as far as any controller says; "" if none does."""
        for index in range(self.scenario.controllers):
            try:
                _, view = await self._network.request(self.addresses.controller_peers(index), "GET", "/admin/view")
            except (NotSent, NoUsableResponse):
                continue
            if isinstance(view, dict) and view.get("leader"):
                return str(view["leader"])
        return ""

    # --- troubles ---------------------------------------------------------------------------------

    async def _cause(self, trouble: Trouble) -> None:
        await trio.sleep(trouble.at_s)
        self._history.write(TroubleBegan(time.monotonic(), repr(trouble)))
        if isinstance(trouble, KillControllers):
            await self._kill(trouble)
        elif isinstance(trouble, CutZone):
            await control.tell_all(self._network, self._hosts, control.CUT, control.Cut(trouble.zone, trouble.for_s))
        else:
            await self._disturb(trouble)

    async def _kill(self, trouble: KillControllers) -> None:
        chosen = await self._chosen(trouble.which)
        for process in chosen:
            process.kill()
        await trio.sleep(trouble.back_after_s)
        for process in chosen:
            process.start()
        self._leader_history.append(await self._leader())

    async def _chosen(self, which: str) -> list[Process]:
        leader = await self._leader()
        if which == "leader":
            return [process for process in self._controllers if process.name == leader]
        followers = [process for process in self._controllers if process.name != leader]
        if which == "follower":
            return [self._random.choice(followers)]
        region = {zone.name for zone in self.scenario.zones if zone.region == which}
        zones = controller_zones(self.scenario)
        return [process for process, zone in zip(self._controllers, zones, strict=True) if zone in region]

    async def _disturb(self, trouble: Machines) -> None:
        fleet = Fleet(self.scenario)
        candidates = sorted(n for n in self._living if trouble.zone in (None, fleet.zone(n)))
        numbers = self._random.sample(candidates, min(trouble.count, len(candidates)))
        await control.tell_all(
            self._network, self._hosts, control.DISTURB, control.Disturbance(trouble.action, numbers, trouble.for_s)
        )
        if trouble.action == "die":
            self._living -= set(numbers)
            await control.tell(self._network, self.addresses.cloud(), control.DIED, control.Numbers(numbers))

    # --- what it found ----------------------------------------------------------------------------

    async def _result(self, length_s: float, machine_share: float) -> Result:
        for process in self._all():
            process.look()
        told = await control.tell_all(self._network, self._hosts, control.STATISTICS)
        services = await control.tell(self._network, self.addresses.cloud(), control.STATISTICS)
        users = await control.tell(self._network, self.addresses.users(), control.STATISTICS)
        for address in [*self._hosts, self.addresses.users()]:
            await control.tell(self._network, address, control.FLUSH)
        self._leader_history.append(await self._leader())
        end_all(self._all())
        self._history.flush()
        hosts = HostStatistics()
        for plain in told:
            hosts.add_plain(plain)
        limits = observer.Limits(self.scenario.teams.cpus_max, self.scenario.times.cancel_s)
        breaches = observer.judge(self._events(), limits)
        seen = results.seen_in(self._events())
        processes = self._process_results(hosts, length_s)
        return self._assembled(length_s, machine_share, hosts, services, users, seen, processes, breaches)

    def _assembled(
        self, length_s: float, machine_share: float, hosts: HostStatistics, services: Any, users: Any,
        seen: results.Seen, processes: list[ProcessResult], breaches: list[observer.Breach],
    ) -> Result:  # fmt: skip
        scenario = self.scenario
        by_status: Counter[str] = Counter()
        for key, count in hosts.answers.items():
            by_status[key.split()[1]] += count
        traffic = sum(count for kind, count in hosts.traffic.items() if kind.startswith("bytes"))
        leaders = [process for process in processes if process.role == "leader"]
        followers = [process.cpu for process in processes if process.role == "follower"]
        return Result(
            scenario=scenario.name, program=str(self.program), seed=scenario.seed, workers=scenario.workers,
            controllers=scenario.controllers, length_s=round(length_s, 2),
            leader_cpu=max((process.cpu for process in leaders), default=0.0),
            follower_cpu=median(followers) if followers else 0.0,
            machine_cpu=machine_share, heartbeats=by_status["200"] / length_s, answers=dict(by_status),
            heartbeat=hosts.delays.summary(), submission=seen.submission.summary(),
            starts={name: delays.summary() for name, delays in seen.starts.items()},
            starts_mean=sum(seen.starts_by_second.values()) / length_s, starts_peak=seen.starts_peak(),
            running_most=seen.running_most, leases_ended=seen.leases_ended,
            leases_ended_expected=seen.leases_ended_expected, tasks_lost=seen.tasks_lost,
            worker_bytes=traffic / length_s / scenario.workers,
            state={kind: count / length_s for kind, count in services["state"].items()},
            in_force=Delays(users["in_force"]).summary(), changes_failed=users["changes_failed"],
            accounted_s=self._accounted(), processes=processes, breaches=breaches,
            warnings=self._warnings(machine_share, processes),
        )  # fmt: skip

    def _process_results(self, hosts: HostStatistics, length_s: float) -> list[ProcessResult]:
        leaders = set(self._leader_history) - {""}
        found = []
        for process in self._all():
            role = process.name.partition("-")[0]
            if process in self._controllers:
                role = "leader" if process.name in leaders else "follower"
            result = ProcessResult(
                process.name, role, process.cpu_s() / length_s, process.memory_mb, process.sockets, process.lives
            )
            if process in self._controllers:
                answered = hosts.answers[f"{process.name.rpartition('-')[2]} 200"]
                result.heartbeats = answered / length_s
                result.cpu_ms_per_heartbeat = 1000 * process.cpu_s() / answered if answered else 0.0
            found.append(result)
        return found

    def _events(self) -> Iterator[AnyEvent]:
        names = ["run", "users", *(f"host-{index}" for index in range(self.scenario.hosts))]
        paths = [self.folder / f"{name}.jsonl" for name in names]
        return history.merged(history.read(path) for path in paths if path.exists())

    def _accounted(self) -> list[float]:
        """What the controllers' own logs say of how long takeovers took."""
        found: list[float] = []
        for process in self._controllers:
            found += [float(seconds) for seconds in _ACCOUNTED.findall(process.log.read_text("utf-8", "replace"))]
        return found

    def _warnings(self, machine_share: float, processes: list[ProcessResult]) -> list[str]:
        found = [
            f"{process.name} used {process.cpu:.2f} of a core: the tool itself may be the bound"
            for process in processes
            if process.role not in ("leader", "follower") and process.cpu > c.TOOL_BUSY_SHARE
        ]
        if machine_share > c.MACHINE_BUSY_SHARE:
            found.append(f"the machine was busy to {machine_share:.0%}: it may be the bound")
        return found


def cores() -> int:
    """Processors that this run may use."""
    return len(os.sched_getaffinity(0))


def run_scenario(scenario: Scenario, program: Path, show: Show, keep: Path | None = None) -> Result:
    """Play a scenario in a folder of its own, which is removed afterwards unless it is to be kept.

    Raises RunFailed, or resource_limits.TooLarge before anything is started. Interrupted, all processes have ended.
    """
    folder = keep or Path(tempfile.mkdtemp(prefix="pepperlatch-scale-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        return Run(scenario, folder, program, show).play()
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
