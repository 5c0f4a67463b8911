"""Runs a scenario: starts all processes, injects the troubles, measures, and stops every process that it started."""

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
from pepperlatch.scale.addresses import Addresses, controller_name, find_free_ports
from pepperlatch.scale.cloud import Fleet
from pepperlatch.scale.controller_settings import controller_zones, settings_text
from pepperlatch.scale.history import AnyEvent, HistoryWriter, TroubleBegan
from pepperlatch.scale.measures import Delays, WorkerHostStatistics, machine_cpu_s
from pepperlatch.scale.processes import PROJECT_ROOT, Process, controller_process, simulated_process, stop_all
from pepperlatch.scale.results import ProcessResult, Result
from pepperlatch.scale.scenario import CutZone, KillControllers, Machines, Scenario, Trouble

IDLE_TIMEOUT_S = 3600.0  # s; value of the operators' setting `idle_s` in a run, so that idle machines are not returned
# Part of the line that a new leader logs once it has accounted for all machines (`policy/cluster.py`).
_TAKEOVER_LOG_TEXT = re.compile(r"all machines accounted for, ([\d.]+) s")


class RunFailed(Exception):
    """The run could not be completed; the message says why."""


@dataclass
class Progress:
    """What is shown while a run lasts. `elapsed_s` counts within the stage, which takes `length_s`.

    `leader_cpu`: cores that the busiest controller used since the last sample, 0 if unknown.
    """

    stage: str
    elapsed_s: float
    length_s: float
    tasks: int = 0
    leader_cpu: float = 0.0


ProgressCallback = Callable[[Progress], None]


@dataclass
class ScenarioRun:
    """One run. `program`: the controllers' `run.py`, of this source tree or another.

    `folder`: for the plan, the controllers' settings, logs and histories.
    """

    scenario: Scenario
    folder: Path
    program: Path = PROJECT_ROOT / "run.py"
    show_progress: ProgressCallback = lambda progress: None
    addresses: Addresses = field(default_factory=find_free_ports)

    def __post_init__(self) -> None:
        self._random = random.Random(f"{self.scenario.seed} troubles")
        self._network = HttpNetwork(128)
        self._host_addresses = [self.addresses.host(index) for index in range(self.scenario.hosts)]
        self._controllers = [
            controller_process(controller_name(index), self.program, self.folder)
            for index in range(self.scenario.controllers)
        ]
        self._services = simulated_process("services", "services", self.folder)
        self._users = simulated_process("users", "users", self.folder)
        self._host_processes = [
            simulated_process(f"host-{index}", "host", self.folder, index) for index in range(len(self._host_addresses))
        ]
        self._history = HistoryWriter(self.folder / "run.jsonl")
        self._live_machines = set(range(self.scenario.workers))
        self._observed_leaders: list[str] = []

    def run(self) -> Result:
        """Run the scenario to its end. Raises RunFailed or resource_limits.TooLarge.

        All processes have ended when this returns or raises.
        """
        resource_limits.check(self.scenario)
        resource_limits.raise_file_limit()
        self._write_files()
        try:
            return trio.run(self._run)
        except control.ControlFailed as error:
            raise RunFailed(str(error)) from None
        finally:
            stop_all(self._all_processes())
            self._history.close()

    def _all_processes(self) -> list[Process]:
        return [*self._controllers, self._users, *self._host_processes, self._services]

    def _write_files(self) -> None:
        plan = control.Plan(self.scenario, self.addresses.port, str(self.folder))
        (self.folder / "plan.json").write_bytes(msgspec.json.encode(plan))
        for index in range(self.scenario.controllers):
            text = settings_text(self.scenario, self.addresses, index)
            (self.folder / f"{controller_name(index)}.toml").write_text(text, "utf-8")

    # --- the run ----------------------------------------------------------------------------------

    async def _run(self) -> Result:
        for process in self._all_processes():
            process.start()
        await self._wait_until_healthy()
        await self._set_idle_timeout()
        await self._wait_and_sample("settling", self.scenario.settle_s)
        await self._start_measuring()
        machine_cpu, began = machine_cpu_s(), time.monotonic()
        await self._measure()
        length_s = time.monotonic() - began
        machine_share = (machine_cpu_s() - machine_cpu) / length_s / core_count()
        return await self._collect_result(length_s, machine_share)

    async def _measure(self) -> None:
        """Wait for `length_s` while troubles happen. Raises the first error of either."""
        try:
            async with trio.open_nursery() as nursery:
                for trouble in self.scenario.troubles:
                    nursery.start_soon(self._inject_trouble, trouble)
                await self._wait_and_sample("measuring", self.scenario.length_s)
                nursery.cancel_scope.cancel()
        except ExceptionGroup as group:
            raise group.exceptions[0] from None

    async def _wait_until_healthy(self) -> None:
        """Wait until the users' load balancer finds all controllers healthy. Raises RunFailed after START_TIMEOUT_S."""
        deadline = time.monotonic() + c.START_TIMEOUT_S
        while time.monotonic() < deadline:
            self._check_simulated_processes()
            await trio.sleep(c.SAMPLE_INTERVAL_S)
            try:
                users = await control.send(self._network, self.addresses.users(), control.STATISTICS_PATH)
            except control.ControlFailed:
                continue
            self.show_progress(Progress(f"{users['healthy']} controllers healthy", 0.0, self.scenario.length_s))
            if users["healthy"] == self.scenario.controllers:
                return
        raise RunFailed(
            f"not all controllers are healthy after {c.START_TIMEOUT_S:g} s; their logs are in {self.folder}"
        )

    def _check_simulated_processes(self) -> None:
        """Raise RunFailed if a simulated process has ended. Controllers may end, as some troubles kill them."""
        for process in self._all_processes():
            if not process.is_running() and process not in self._controllers:
                tail = process.log.read_text("utf-8", "replace")[-800:]
                raise RunFailed(f"{process.name} has ended: {tail}")

    async def _set_idle_timeout(self) -> None:
        """Set the operators' setting `idle_s` to IDLE_TIMEOUT_S; otherwise the leader would return idle machines.

        Raises RunFailed if the administration API does not accept it.
        """
        address = self.addresses.controller_peers(0)
        for _ in range(20):
            try:
                _, shown = await self._network.request(address, "GET", "/admin/settings")
                body = {"version": shown["version"], "settings": {"idle_s": IDLE_TIMEOUT_S}}
                status, _ = await self._network.request(address, "PUT", "/admin/settings", body)
                if status == 200:
                    return
            except (NotSent, NoUsableResponse, KeyError, TypeError):
                pass
            await trio.sleep(c.SAMPLE_INTERVAL_S)
        raise RunFailed("idle_s could not be set through the administration API")

    async def _wait_and_sample(self, stage: str, seconds: float) -> None:
        """Wait for `seconds`; every SAMPLE_INTERVAL_S, sample all processes and show the progress.

        Raises RunFailed if a simulated process ends.
        """
        began = sampled_at = time.monotonic()
        while (elapsed := time.monotonic() - began) < seconds:
            await trio.sleep(min(c.SAMPLE_INTERVAL_S, seconds - elapsed))
            self._check_simulated_processes()
            before = {process.name: process.cpu_s() for process in self._all_processes()}
            for process in self._all_processes():
                process.update_usage()
            now = time.monotonic()
            busiest = max(process.cpu_s() - before[process.name] for process in self._controllers)
            self.show_progress(Progress(stage, elapsed, seconds, leader_cpu=busiest / (now - sampled_at)))
            sampled_at = now

    async def _start_measuring(self) -> None:
        """Reset the figures of all processes, then let the users begin to submit jobs."""
        await control.send_to_all(self._network, self._host_addresses, control.START_MEASURING_PATH)
        await control.send(self._network, self.addresses.cloud(), control.START_MEASURING_PATH)
        for process in self._all_processes():
            process.start_measuring()
        self._observed_leaders.append(await self._leader())
        await control.send(self._network, self.addresses.users(), control.START_MEASURING_PATH)

    async def _leader(self) -> str:
        """Name of the leader according to the first controller that states one; "" if none does."""
        for index in range(self.scenario.controllers):
            try:
                _, view = await self._network.request(self.addresses.controller_peers(index), "GET", "/admin/view")
            except (NotSent, NoUsableResponse):
                continue
            if isinstance(view, dict) and view.get("leader"):
                return str(view["leader"])
        return ""

    # --- troubles ---------------------------------------------------------------------------------

    async def _inject_trouble(self, trouble: Trouble) -> None:
        await trio.sleep(trouble.at_s)
        self._history.write(TroubleBegan(time.monotonic(), repr(trouble)))
        if isinstance(trouble, KillControllers):
            await self._kill_controllers(trouble)
        elif isinstance(trouble, CutZone):
            await control.send_to_all(
                self._network, self._host_addresses, control.CUT_ZONE_PATH, control.ZoneCut(trouble.zone, trouble.for_s)
            )
        else:
            await self._disturb_machines(trouble)

    async def _kill_controllers(self, trouble: KillControllers) -> None:
        chosen = await self._select_controllers(trouble.which)
        for process in chosen:
            process.kill()
        await trio.sleep(trouble.back_after_s)
        for process in chosen:
            process.start()
        self._observed_leaders.append(await self._leader())

    async def _select_controllers(self, which: str) -> list[Process]:
        """The controllers that `KillControllers.which` means."""
        leader = await self._leader()
        if which == "leader":
            return [process for process in self._controllers if process.name == leader]
        followers = [process for process in self._controllers if process.name != leader]
        if which == "follower":
            return [self._random.choice(followers)]
        region = {zone.name for zone in self.scenario.zones if zone.region == which}
        zones = controller_zones(self.scenario)
        return [process for process, zone in zip(self._controllers, zones, strict=True) if zone in region]

    async def _disturb_machines(self, trouble: Machines) -> None:
        fleet = Fleet(self.scenario)
        candidates = sorted(n for n in self._live_machines if trouble.zone in (None, fleet.zone(n)))
        numbers = self._random.sample(candidates, min(trouble.count, len(candidates)))
        await control.send_to_all(
            self._network,
            self._host_addresses,
            control.DISTURB_MACHINES_PATH,
            control.MachineDisturbance(trouble.action, numbers, trouble.for_s),
        )
        if trouble.action == "die":
            self._live_machines -= set(numbers)
            await control.send(
                self._network, self.addresses.cloud(), control.MACHINES_DIED_PATH, control.MachineNumbers(numbers)
            )

    # --- result -----------------------------------------------------------------------------------

    async def _collect_result(self, length_s: float, machine_share: float) -> Result:
        """Collect the figures of all processes, stop the processes, and evaluate the history.

        `length_s`: duration of the measurement. `machine_share`: share of all cores that was busy meanwhile.
        """
        for process in self._all_processes():
            process.update_usage()
        host_answers = await control.send_to_all(self._network, self._host_addresses, control.STATISTICS_PATH)
        services = await control.send(self._network, self.addresses.cloud(), control.STATISTICS_PATH)
        users = await control.send(self._network, self.addresses.users(), control.STATISTICS_PATH)
        for address in [*self._host_addresses, self.addresses.users()]:
            await control.send(self._network, address, control.FLUSH_HISTORY_PATH)
        self._observed_leaders.append(await self._leader())
        stop_all(self._all_processes())
        self._history.flush()
        hosts = WorkerHostStatistics()
        for host_answer in host_answers:
            hosts.add_plain(host_answer)
        limits = observer.Limits(self.scenario.teams.cpus_max, self.scenario.times.cancel_s)
        breaches = observer.find_breaches(self._merged_events(), limits)
        summary = results.summarize_history(self._merged_events())
        processes = self._process_results(hosts, length_s)
        return self._build_result(length_s, machine_share, hosts, services, users, summary, processes, breaches)

    def _build_result(
        self, length_s: float, machine_share: float, hosts: WorkerHostStatistics, services: Any, users: Any,
        summary: results.HistorySummary, processes: list[ProcessResult], breaches: list[observer.Breach],
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
            heartbeat=hosts.delays.summary(), submission=summary.submission.summary(),
            starts={name: delays.summary() for name, delays in summary.starts.items()},
            starts_mean=sum(summary.starts_by_second.values()) / length_s, starts_peak=summary.starts_peak(),
            running_most=summary.running_most, leases_ended=summary.leases_ended,
            leases_ended_expected=summary.leases_ended_expected, tasks_lost=summary.tasks_lost,
            worker_bytes=traffic / length_s / scenario.workers,
            state={kind: count / length_s for kind, count in services["state"].items()},
            in_force=Delays(users["in_force"]).summary(), changes_failed=users["changes_failed"],
            accounted_s=self._takeover_durations_s(), processes=processes, breaches=breaches,
            warnings=self._warnings(machine_share, processes),
        )  # fmt: skip

    def _process_results(self, hosts: WorkerHostStatistics, length_s: float) -> list[ProcessResult]:
        """Figures of each process. A controller that was seen to lead at any time has the role `leader`."""
        leaders = set(self._observed_leaders) - {""}
        found = []
        for process in self._all_processes():
            role = process.name.partition("-")[0]
            if process in self._controllers:
                role = "leader" if process.name in leaders else "follower"
            result = ProcessResult(
                process.name, role, process.cpu_s() / length_s, process.memory_mb, process.sockets, process.start_count
            )
            if process in self._controllers:
                answered = hosts.answers[f"{process.name.rpartition('-')[2]} 200"]
                result.heartbeats = answered / length_s
                result.cpu_ms_per_heartbeat = 1000 * process.cpu_s() / answered if answered else 0.0
            found.append(result)
        return found

    def _merged_events(self) -> Iterator[AnyEvent]:
        """The events of all processes, ordered by time."""
        names = ["run", "users", *(f"host-{index}" for index in range(self.scenario.hosts))]
        paths = [self.folder / f"{name}.jsonl" for name in names]
        return history.merged(history.read(path) for path in paths if path.exists())

    def _takeover_durations_s(self) -> list[float]:
        """For each takeover in the controllers' logs, the seconds until all machines were accounted for."""
        found: list[float] = []
        for process in self._controllers:
            found += [
                float(seconds) for seconds in _TAKEOVER_LOG_TEXT.findall(process.log.read_text("utf-8", "replace"))
            ]
        return found

    def _warnings(self, machine_share: float, processes: list[ProcessResult]) -> list[str]:
        """Warnings that the load tool or the machine, and not the controllers, may limit the figures."""
        found = [
            f"{process.name} used {process.cpu:.2f} of a core: the tool itself may be the bound"
            for process in processes
            if process.role not in ("leader", "follower") and process.cpu > c.TOOL_BUSY_SHARE
        ]
        if machine_share > c.MACHINE_BUSY_SHARE:
            found.append(f"the machine was busy to {machine_share:.0%}: it may be the bound")
        return found


def core_count() -> int:
    """Number of processors that this run may use."""
    return len(os.sched_getaffinity(0))


def run_scenario(
    scenario: Scenario, program: Path, show_progress: ProgressCallback, keep: Path | None = None
) -> Result:
    """Run a scenario in the folder `keep`, or in a temporary one that is removed afterwards.

    `program`: the controllers' `run.py`. Raises RunFailed, or resource_limits.TooLarge before any process is started.
    All processes have ended when this returns or raises, also when it is interrupted.
    """
    folder = keep or Path(tempfile.mkdtemp(prefix="pepperlatch-scale-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        return ScenarioRun(scenario, folder, program, show_progress).run()
    finally:
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)
