"""A cluster in memory for tests: network, state service, cloud and workers that speak the protocol, in virtual time.

The controllers under test are real (`Node`); everything around them is simulated here. A test passes a scenario, an
async function of a `World`, to `run_scenario`. Faults of a network link, set with `World.cut`:

- "refuse": the connection is refused, nothing arrives;
- "hold": the request is kept and delivered when the link is restored; its sender gets no answer;
- "lose_answers": the request is carried out, and its answer is lost.

`Observer` checks the protocol's rules from what workers execute and users are told. It reads no state of the
controllers.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import orjson
import trio
import trio.testing

from pepperlatch.controller.daemon import Node
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Request
from pepperlatch.settings import SettingsError, parse, split_address
from tests.fake_state import Answer, FakeState

STATE, CLOUD = "10.2.0.1:1", "10.2.0.2:1"
NODES = [f"perch-{n}" for n in range(12)]
ZONES = ["a", "b", "c"]
# Settings of the workers: their lease, how often they report, and how soon the tasks of a cancelled job must be gone.
LEASE_S, REPORT_S, CANCEL_S = 12.0, 2.0, 30.0
GANG_PEER_S = 3.0  # how long a task of a gang runs on while another one is missing
MAX_MESSAGE_BYTES = 64 * 1024  # of a request's body, and of a line of a response to a worker or user


@dataclass(frozen=True)
class Platform:
    """The environment of the controllers: zones, one machine type, teams and limits."""

    zones: list[str]
    machine: dict[str, Any]  # the machine type, as the cloud describes it
    # For each team: CPUs guaranteed, most CPUs, GPUs guaranteed, most GPUs. 0: none.
    teams: dict[str, tuple[float, float, float, float]]
    state: dict[str, float]  # limits of the state service
    memory_mb: float = 150.0


CPU_PLATFORM = Platform(
    zones=ZONES,
    machine={"sku": "m8", "cores": 8.0, "gpus": 0.0, "memory_gb": 32.0, "cache_gb": 20.0, "pull_gb_per_s": 1.0,
             "rate": 1.0, "market_price": 0.3, "ready_s": 5.0, "yards": ZONES},
    teams={"red": (16.0, 32.0, 0.0, 0.0), "blue": (8.0, 16.0, 0.0, 0.0)},
    state={"rps": 300.0, "write_rps": 100.0, "value_kb": 16.0, "txn_ops": 16},
)  # fmt: skip
# Two GPUs per machine, teams with quotas in GPUs only, two zones, a state service with low limits.
GPU_PLATFORM = Platform(
    zones=ZONES[:2],
    machine={"sku": "g2", "cores": 24.0, "gpus": 2.0, "memory_gb": 96.0, "cache_gb": 90.0, "pull_gb_per_s": 1.0,
             "rate": 4.98, "market_price": 1.32, "ready_s": 5.0, "yards": ZONES[:2]},
    teams={"red": (0.0, 0.0, 6.0, 12.0), "blue": (0.0, 0.0, 4.0, 8.0)},
    state={"rps": 100.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
)  # fmt: skip


def settings_of(
    index: int,
    count: int = 3,
    next_state_limits: str = "",
    write_rps: float | None = None,
    platform: Platform = CPU_PLATFORM,
) -> Any:
    """The settings of the controller number `index` of `count`.

    `next_state_limits`: lines of the settings file with the limits that the state service will have after an announced
    change; empty: no change. `write_rps`: the write limit, in requests/s, instead of the platform's.
    """
    zones = platform.zones
    peers = "".join(
        f'[[members]]\nnode_name="{n}"\nzone="{zones[i % len(zones)]}"\nendpoint="10.0.0.{i}:2"\n'
        for i, n in enumerate(NODES[:count])
        if i != index
    )
    teams = "".join(
        f'[[params.teams]]\nname = "{name}"\ncpus = {cpus}\ncpus_max = {cpus_max}\ngpus = {gpus}\ngpus_max = {most}\n'
        for name, (cpus, cpus_max, gpus, most) in platform.teams.items()
    )
    state = platform.state
    return parse(
        f"""
node_name = "{NODES[index]}"
zone = "{zones[index % len(zones)]}"
bind = "10.0.0.{index}:1"
peer_listen = "10.0.0.{index}:2"
{peers}
[outside]
cloud = "{CLOUD}"
state = "{STATE}"
[params]
nodes = {count}
zones = {orjson.dumps(zones).decode()}
{teams}
[params.workers]
report_s = {REPORT_S}
lease_s = {LEASE_S}
gang_wait_s = 20.0
gang_peer_s = {GANG_PEER_S}
cancel_s = {CANCEL_S}
[params.state]
rps = {state["rps"]}
write_rps = {write_rps or state["write_rps"]}
value_kb = {state["value_kb"]}
txn_ops = {state["txn_ops"]}
{"[params.state.next]" if next_state_limits else ""}
{next_state_limits}
[params.cloud]
rps = 10.0
list_lag_s = 2.0
[params.machine_limits]
cpu = 0.5
mem_mb = {platform.memory_mb}
sockets = 500
"""
    )


def job(number: int, **changes: Any) -> dict[str, Any]:
    """The body of a job submission: two tasks of 2 CPUs that run for 10 s, except for `changes`."""
    body = {
        "name_id": f"run-{number:06d}", "jobclass": "x", "crew": "red", "shape": "sweep", "urgency": "standard",
        "pieces": 2,
        "cores": 2.0, "gpus": 0.0, "memory_gb": 1.0, "bundle": "img", "pull_gb": 1.0, "builds": None, "yard": None,
        "one_zone": False, "apart": False, "loaners": False, "expected_s": 10.0, "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0, "due_s": None,
    }  # fmt: skip
    return {**body, **changes}


class FakeCloud:
    """The cloud: lists, rents and releases machines.

    `capacity`: the most machines for each zone. The next `boot_failures` machines never come up. While `down`, it
    answers 503 to all requests.
    """

    def __init__(self, world: "World") -> None:
        self.world = world
        self.rentals: dict[str, list[str]] = {}
        self.machines: dict[str, Worker] = {}
        self.capacity = Counter({zone: 3 for zone in world.platform.zones})
        self.boot_failures = 0
        self.down = False

    async def serve(self, source: str, method: str, path: str, body: Any) -> Answer:
        if self.down:
            return 503, {"error": "trouble"}
        if path.startswith("/flavors"):
            return 200, {"builds": [self.world.platform.machine]}
        if path == "/hosts/release":
            for name in body["perches"]:
                if name in self.machines:
                    self.machines.pop(name).terminate()
            return 200, {}
        if method == "POST":
            return self.rent(body)
        rows = [
            {"name_id": n, "endpoint": w.addr, "build": self.world.sku, "yard": w.zone, "loaners": False,
             "status": "running" if w.up else "starting", "held_s": trio.current_time() - w.created_at}
            for n, w in self.machines.items()
        ]  # fmt: skip
        return 200, {"perches": rows, "truncated": False}

    def rent(self, body: Any) -> Answer:
        """Rent machines; a repeated request returns the same ones. 503 without capacity, and always for spot."""
        if body["hire"] not in self.rentals:
            count = min(body["count"], self.free_capacity(body["yard"])) if not body["loaners"] else 0
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.rentals[body["hire"]] = [self.create(body["yard"]).name for _ in range(count)]
        return 200, {"perches": self.rentals[body["hire"]]}

    def free_capacity(self, zone: str) -> int:
        return self.capacity[zone] - sum(1 for w in self.machines.values() if w.zone == zone)

    def create(self, zone: str) -> "Worker":
        """Create a machine and boot its worker, regardless of the capacity."""
        number = len(self.world.workers)
        worker = Worker(
            self.world, f"n-{number:06d}", f"10.1.0.{number}:9000", zone, never_boots=self.boot_failures > 0
        )
        self.boot_failures -= worker.never_boots
        self.world.workers.append(worker)
        self.machines[worker.name] = worker
        self.world.nursery.start_soon(worker.run)
        return worker


@dataclass
class FakeTask:
    """One attempt at a task on a worker."""

    job: dict[str, Any]
    number: int
    attempt: int
    state: str = "pulling"
    cause: str | None = None
    state_since: float = 0.0
    started: bool = False
    peer_missing_since: float | None = None  # for a gang's task: when another task of the gang was first missing


@dataclass(eq=False)
class Worker:
    """A machine's worker: executes orders, reports to a controller, and ends its tasks when its lease expires.

    `never_boots`: it never comes up. `tasks_fail`: every task ends with an error. `hung`: it does nothing, and requests
    to it wait until `World.restore_links`.
    """

    world: "World"
    name: str
    addr: str
    zone: str
    never_boots: bool = False
    tasks_fail: bool = False
    hung: bool = False
    outbound_fails: bool = False  # it can open no connections; requests to it arrive and are answered
    inbound_fails: bool = False  # its reports arrive; the answers to them and all requests to it are lost
    up: bool = False
    terminated: bool = False
    session: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[tuple[str, int], FakeTask] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    reports_to: int = 0  # the index of the controller that it reports to
    lease_started_at: float = 0.0
    reclaim_in_s: float | None = None
    created_at: float = field(default_factory=trio.current_time)

    def terminate(self) -> None:
        """The machine ceases to exist, with all its tasks."""
        self.terminated, self.up = True, False
        self.tasks.clear()

    def reboot(self) -> None:
        """Restart the worker at once under the same name, without any of its tasks, images and state."""
        self.tasks.clear()
        self.images.clear()
        self.session, self.seq, self.token = 1, 0, 0
        self.lease_started_at = trio.current_time()

    def report(self) -> dict[str, Any]:
        """The body of the next report; each call increases its sequence number."""
        self.seq += 1
        rows = [
            {"piece": name, "try": attempt, "status": t.state, **({"cause": t.cause} if t.cause else {})}
            for (name, attempt), t in self.tasks.items()
        ]
        return {
            "perch": self.name, "endpoint": self.addr, "build": self.world.sku, "yard": self.zone, "loaners": False,
            "tenure": self.session,
            "tally": self.seq, "baton": self.token, "reclaim_in_s": self.reclaim_in_s, "pieces": rows,
        }  # fmt: skip

    async def serve(self, source: str, method: str, path: str, body: Any) -> Answer:
        """Answer a probe, or execute orders; 409 if their token is outdated or they are for another session."""
        if method == "GET":
            return 200, self.report()
        if body["baton"] < self.token or body["tenure"] != self.session:
            return 409, self.report()
        self.token = body["baton"]
        self.execute(body["orders"])
        return 200, self.report()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self.launch(key)
            elif order["verb"] == "kill" and task and task.state != "ended":
                self.end_task(task, "halted")
            elif order["verb"] == "reap" and task and task.state == "ended":
                del self.tasks[key]

    def launch(self, key: tuple[str, int]) -> None:
        """Accept a task; it ends at once if the machine is full or another attempt at it is still here."""
        job_id, _, number = key[0].rpartition("/")
        spec = self.world.jobs[job_id]
        self.tasks[key] = task = FakeTask(spec, int(number), key[1], state_since=trio.current_time())
        held = [t.job for t in self.tasks.values() if t.state != "ended"]
        if any(sum(one[what] for one in held) > self.world.platform.machine[what] for what in ("cores", "gpus")):
            self.end_task(task, "full")
        elif any(k[0] == key[0] and k != key and t.state != "ended" for k, t in self.tasks.items()):
            self.end_task(task, "in_use")

    def end_task(self, task: FakeTask, cause: str) -> None:
        task.state, task.cause = "ended", cause

    def advance_tasks(self) -> None:
        """Move each task to its next state once that is due."""
        now = trio.current_time()
        for task in list(self.tasks.values()):
            if task.state == "pulling" and (
                task.job["bundle"] in self.images or now - task.state_since >= task.job["pull_gb"]
            ):
                self.images.add(task.job["bundle"])
                self.start_task(task)
            elif task.state == "waiting" and self.world.gang_ready(task):
                task.state, task.state_since = "running", now
            elif task.state == "running" and self.world.gang_broken(task, now):
                self.end_task(task, "mates_gone")
            elif (
                task.state == "running"
                and task.job["shape"] != "daemon"
                and now - task.state_since >= task.job["expected_s"]
            ):
                self.end_task(task, "done")
                gang = task.job["shape"] == "group"
                self.world.observer.done_tasks[task.job["name_id"]].update(
                    range(task.job["pieces"]) if gang else [task.number]
                )

    def start_task(self, task: FakeTask) -> None:
        if self.tasks_fail:
            self.end_task(task, "error")
            return
        if task.number in self.world.observer.done_tasks[task.job["name_id"]]:
            self.end_task(task, "done")  # its result exists from an earlier attempt
            return
        task.state = "waiting" if task.job["shape"] == "group" else "running"
        task.state_since, task.started = trio.current_time(), True
        self.world.observer.on_task_started(self, task)

    def resume(self) -> None:
        """End the hang. An expired lease is noticed before any request that arrived meanwhile is read."""
        self.hung = False
        self.check_lease()

    def check_lease(self) -> None:
        """Drop all tasks and begin a new session if the lease has expired."""
        if trio.current_time() - self.lease_started_at > LEASE_S:
            self.tasks.clear()
            self.session += 1
            self.lease_started_at = trio.current_time()

    def lease_lost_while_hung(self) -> bool:
        """Whether it hangs beyond its lease: when it resumes, it drops its tasks before anything else."""
        return self.hung and trio.current_time() - self.lease_started_at > LEASE_S

    async def wait_while_hung(self) -> None:
        while self.hung:
            await trio.sleep(0.1)

    async def run(self) -> None:
        """Boot, then report every REPORT_S; without a valid answer, try the next controller after 1 s."""
        await trio.sleep(self.world.boot_s)
        if self.never_boots:
            return
        self.up = not self.terminated
        self.lease_started_at = trio.current_time()
        self.world.nursery.start_soon(self.run_tasks)
        while not self.terminated:
            await self.wait_while_hung()
            sent, session = trio.current_time(), self.session
            try:
                if self.outbound_fails:
                    raise NotSent(self.name)
                status, answer = await self.world.send(
                    self.name, f"10.0.0.{self.reports_to}:1", "POST", "/agent/beat", self.report(), 4.0
                )
            except (NotSent, NoUsableResponse):
                status, answer = 0, None
            await self.wait_while_hung()
            if status == 200 and trio.current_time() - sent > 4.0:
                status = 0  # it hung meanwhile, so the answer came too late
            if status == 200 and answer["baton"] >= self.token and session == self.session:
                self.token, self.lease_started_at = answer["baton"], sent
                self.execute(answer["orders"])
                await trio.sleep(REPORT_S)
            elif status == 421 and answer.get("foreman") in NODES and NODES.index(answer["foreman"]) != self.reports_to:
                self.reports_to = NODES.index(answer["foreman"])
            else:
                self.reports_to = (self.reports_to + 1) % self.world.count
                await trio.sleep(1.0)

    async def run_tasks(self) -> None:
        while not self.terminated:
            await trio.sleep(0.1)
            if not self.hung:
                self.check_lease()
                self.advance_tasks()


class Observer:
    """Checks the protocol's rules from what workers execute and what users ask and are told.

    Each broken rule is appended to `violations`, which `run_scenario` asserts to be empty:
    `ran_twice`: two attempts at a task run at once. `wrong_place`: a task violates a zone constraint. `quota`: a team
    uses more than its limit. `too_early`: a task starts before the jobs that its job needs are done. `ran_cancelled`:
    a task runs more than CANCEL_S after a user was told that its job is cancelled. `forgotten`: a controller does not
    know an accepted job, or calls it invalid. `not_done`: a job is called done before all its tasks are. `went_back`:
    a final state changed, or a job is called cancelled though no user asked for it. `orphaned`: a job still waits or
    runs more than CANCEL_S after a user was told that a job which it needs is cancelled. `oversized`: a request's body
    or a response to a worker or user is larger than MAX_MESSAGE_BYTES.
    """

    def __init__(self, world: "World") -> None:
        self.world = world
        self.violations: list[str] = []
        self.done_tasks: dict[str, set[int]] = {}  # by job: the numbers of its tasks that are done
        self.cancel_confirmed_at: dict[str, float] = {}  # by job: when a user was first told that it is cancelled
        self.reported_state: dict[str, str] = {}  # by job: the state that a user was told last; a final one stays
        self.starts: Counter[str] = Counter()
        self.starts_after_cancellation: Counter[str] = Counter()  # starts after `cancel_confirmed_at`
        self.cancel_requested: set[str] = set()

    def on_task_started(self, worker: Worker, task: FakeTask) -> None:
        """Count the start and check it against all other tasks; called by the worker."""
        job_id, spec = task.job["name_id"], task.job
        self.starts[job_id] += 1
        self.starts_after_cancellation[job_id] += job_id in self.cancel_confirmed_at
        others = [
            (w, t)
            for w in self.world.workers
            for t in w.tasks.values()
            if t.started and t.state != "ended" and t is not task and not w.lease_lost_while_hung()
        ]
        if any(t.job is spec and t.number == task.number for _, t in others):
            self.violations.append(f"ran_twice {job_id}/{task.number}")
        zones = [w.zone for w, t in others if t.job is spec]
        wrong = (spec["apart"] and zones.count(worker.zone) + 1 > (spec["pieces"] + 1) // 2) or (
            spec["one_zone"] and any(z != worker.zone for z in zones)
        )
        if wrong or spec["yard"] not in (None, worker.zone):
            self.violations.append(f"wrong_place {job_id}/{task.number}")
        _, cpus_most, _, gpus_most = self.world.platform.teams[spec["crew"]]
        for what, most in (("cores", cpus_most), ("gpus", gpus_most)):
            used = sum(t.job[what] for _, t in others if t.job["crew"] == spec["crew"]) + spec[what]
            if used > most > 0:
                self.violations.append(f"quota {spec['crew']}")
        self.check_cancelled(job_id)
        for need in spec.get("prereqs") or ():
            if len(self.done_tasks[need]) < self.world.jobs[need]["pieces"]:
                self.violations.append(f"too_early {job_id}")

    def on_oversized(self, message: str) -> None:
        """Note a message beyond the protocol's limit, which its receiver has refused or dropped."""
        self.violations.append(f"oversized {message}")

    def check_cancelled(self, job_id: str) -> None:
        if trio.current_time() - self.cancel_confirmed_at.get(job_id, 1e18) > CANCEL_S:
            self.violations.append(f"ran_cancelled {job_id}")

    async def run(self) -> None:
        while True:
            await trio.sleep(0.5)
            for worker in self.world.workers:
                for task in worker.tasks.values():
                    if task.started and task.state != "ended":
                        self.check_cancelled(task.job["name_id"])

    def on_refusal(self, job_id: str, status: int, known: str | None) -> None:
        """Check that no controller refuses a job that users know, as unknown (404) or as invalid (400, 422)."""
        if known is not None and status in (400, 404, 422):
            self.violations.append(f"forgotten {job_id}: {status}")

    def on_answer(self, job_id: str, answer: Any, known: str | None) -> None:
        """Check the state that a user was told.

        `known`: the state that users had been told when this request was sent. If it is final, the answer must be the
        same. The answer to an earlier request may arrive late and show an older state, but no other final state.
        """
        state = answer["status"]
        if state == "withdrawn" and not self.was_cancel_requested(job_id):
            self.violations.append(f"went_back {job_id}: no user cancelled it")
        if state == "done" and len(self.done_tasks[job_id]) < self.world.jobs[job_id]["pieces"]:
            self.violations.append(f"not_done {job_id}")
        if state in ("queued", "running") and self.prerequisite_cancelled_at(job_id) < trio.current_time() - CANCEL_S:
            self.violations.append(f"orphaned {job_id}")
        final, last = ("done", "withdrawn"), self.reported_state.get(job_id)
        if (known in final and state != known) or (last in final and state in final and state != last):
            self.violations.append(f"went_back {job_id}")
        if last not in final:
            self.reported_state[job_id] = state

    def was_cancel_requested(self, job_id: str) -> bool:
        """Whether a user has asked to cancel this job or one that it needs."""
        needs = self.world.jobs[job_id].get("prereqs") or ()
        return job_id in self.cancel_requested or any(self.was_cancel_requested(name) for name in needs)

    def prerequisite_cancelled_at(self, job_id: str) -> float:
        """When a user was first told that a job which this one needs is cancelled; 1e18 if never."""
        needs = self.world.jobs[job_id].get("prereqs") or ()
        return min(
            (min(self.cancel_confirmed_at.get(n, 1e18), self.prerequisite_cancelled_at(n)) for n in needs), default=1e18
        )


@dataclass
class CapturedRequest:
    """A request that is delivered later, or again: kept by a cut or a hang, or copied on its way.

    `link`: the names of source and destination. `deliver` carries the request out at its destination.
    """

    link: tuple[str, str]
    method: str
    body: Any
    deliver: Callable[[], Awaitable[Any]]


class World:
    """The cluster of one scenario: `count` controllers, their network and everything that they talk to.

    `extensions`: factories of the extensions that each controller loads. `wall_clock`: the time of day, in seconds
    since the epoch, for a reading of the steady clock. `next_state_limits`, `write_rps`, `platform`: see `settings_of`.
    """

    def __init__(
        self, nursery: trio.Nursery, count: int = 3, next_state_limits: str = "", extensions: Any = (),
        wall_clock: Callable[[float], float] = lambda now: 1e9 + now, write_rps: float | None = None,
        platform: Platform = CPU_PLATFORM,
    ) -> None:  # fmt: skip
        self.nursery = nursery
        self.platform = platform
        self.boot_s = 5.0
        # How long a message takes from source to address, in seconds; its answer takes as long.
        self.link_delay_s: Callable[[str, str], float] = lambda source, addr: 0.002
        self.sku = platform.machine["sku"]
        self.extensions = extensions
        self.wall_clock = wall_clock
        self.write_rps = write_rps
        self.next_state_limits = next_state_limits
        self.count = count
        self.state = FakeState()
        self.cloud = FakeCloud(self)
        self.workers: list[Worker] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.observer = Observer(self)
        self.nodes: dict[int, Node] = {}
        self.scopes: dict[int, trio.CancelScope] = {}
        self.processes: list[Node] = []  # every controller that was ever started
        self.expected_exceptions: set[str] = set()  # parts of a node whose contained exceptions a test provokes
        self.link_faults: dict[tuple[str, str], str] = {}  # by source and destination
        self.held_requests: list[CapturedRequest] = []
        self.frozen: set[str] = set()  # paused controllers: their requests, and those to them, wait
        # None, or a list to which each request that is carried out is added, so that a test can deliver it again.
        self.delivered_requests: list[CapturedRequest] | None = None
        # Whether the answer to a request is lost. The arguments of these functions are source, path and body.
        self.lose_answer: Callable[[str, str, Any], bool] = lambda source, path, body: False
        # Above 0: the request is carried out so many seconds later, and its sender gets no answer.
        self.late_delivery_s: Callable[[str, str, Any], float] = lambda source, path, body: 0.0
        # Above 0: a copy of the request arrives again so many seconds later.
        self.duplicate_delivery_s: Callable[[str, str, Any], float] = lambda source, path, body: 0.0

    # --- network ----------------------------------------------------------------------------------

    def _host(self, addr: str) -> tuple[str, Any]:
        """The name and the object of the host with this address; raises NotSent if no running host has it."""
        try:
            split_address(addr)
        except SettingsError as error:
            raise NotSent(str(error)) from None
        if addr == STATE:
            return "state", self.state
        if addr == CLOUD:
            return "cloud", self.cloud
        for worker in self.workers:
            if worker.addr == addr and worker.up:
                return worker.name, worker
        host, _, port = addr.rpartition(":")
        index = int(host.rsplit(".", 1)[1])
        if host.startswith("10.0.") and index in self.nodes:
            return NODES[index], _NodeHost(self, self.nodes[index], port == "2")
        raise NotSent(addr)

    async def send(self, source: str, addr: str, method: str, path: str, body: Any, deadline: float) -> Answer:
        """Deliver a request and return its answer.

        `deadline`: in seconds, from now. Raises NotSent if the connection is refused or no host has this address, and
        NoUsableResponse if no answer arrives in time.
        """
        await trio.sleep(self.link_delay_s(source, addr))
        name, host = self._host(addr)
        mode = self.link_faults.get((source, name))
        encoded = orjson.dumps(body) if body is not None else b""
        body = orjson.loads(encoded) if encoded else None
        if mode == "refuse":
            raise NotSent(addr)
        if len(encoded) > MAX_MESSAGE_BYTES:
            self.observer.on_oversized(f"request of {len(encoded)} bytes from {source} to {name}{path}")
            return 400, {"error": "the body is larger than 64 KiB"}
        if mode == "hold" or (isinstance(host, Worker) and host.hung) or name in self.frozen:
            self.held_requests.append(
                CapturedRequest((source, name), method, body, lambda: host.serve(source, method, path, body))
            )
            await trio.sleep(deadline)
            raise NoUsableResponse(path)
        if isinstance(host, Worker) and host.inbound_fails:
            await trio.sleep(deadline)
            raise NoUsableResponse(path)
        captured = CapturedRequest((source, name), method, body, lambda: host.serve(source, method, path, body))
        if self.delivered_requests is not None and method != "GET":
            self.delivered_requests.append(captured)
        if (late_s := self.late_delivery_s(source, path, body)) > 0:
            self.nursery.start_soon(self.deliver, captured, late_s)
            await trio.sleep(deadline)
            raise NoUsableResponse(path)
        if (duplicate_s := self.duplicate_delivery_s(source, path, body)) > 0:
            self.nursery.start_soon(self.deliver, captured, duplicate_s)
        with trio.move_on_after(deadline):
            answer: Answer = await host.serve(source, method, path, body)
            await trio.sleep(
                self.link_delay_s(source, addr) + (self.state.answer_delay_s(source, path) if name == "state" else 0.0)
            )
            if any(w.inbound_fails and w.name == source for w in self.workers):
                mode = "lose_answers"
            if mode == "lose_answers":
                await trio.sleep(deadline)
            if mode == "lose_answers" or self.lose_answer(source, path, body):
                raise NoUsableResponse(path)
            encoded = orjson.dumps(answer[1])
            if len(encoded) > MAX_MESSAGE_BYTES and isinstance(host, _NodeHost) and not host.peer:
                self.observer.on_oversized(f"response of {len(encoded)} bytes from {name}{path} to {source}")
                raise NoUsableResponse(path)
            return answer[0], orjson.loads(encoded)
        raise NoUsableResponse(path)

    def cut(self, one: str, other: str, mode: str, both: bool = True) -> None:
        """Make the link from one host to another fail, in both directions or this one only; `mode`: see the module."""
        self.link_faults[(one, other)] = mode
        if both:
            self.link_faults[(other, one)] = mode

    async def restore_links(self, wanted: Callable[[str, str], bool]) -> None:
        """End the cuts of these links, and deliver the requests that were held on them, in order, except reads."""
        self.link_faults = {link: mode for link, mode in self.link_faults.items() if not wanted(*link)}
        held = [item for item in self.held_requests if wanted(*item.link)]
        self.held_requests = [item for item in self.held_requests if not wanted(*item.link)]
        for item in held:
            if item.method != "GET":
                self.nursery.start_soon(self.deliver, item)
                await trio.sleep(0.001)  # keeps the order without waiting for the answer to each request

    async def deliver(self, item: CapturedRequest, after_s: float = 0.0) -> None:
        """Carry out a captured request; its answer goes nowhere."""
        await trio.sleep(after_s)
        with trio.move_on_after(5.0):  # a host that has ended in the meantime never answers
            await item.deliver()

    async def freeze(self, index: int, seconds: float) -> None:
        """Pause a controller while its clocks run on; then end cuts of links to it and deliver what was held for it."""
        self.frozen.add(NODES[index])
        await trio.sleep(seconds)
        self.frozen.discard(NODES[index])
        await self.restore_links(lambda source, host: host == NODES[index])

    async def wait_while_frozen(self, name: str) -> None:
        while name in self.frozen:
            await trio.sleep(0.05)

    async def restore_all_links(self) -> None:
        """End all cuts and deliver what was held."""
        await self.restore_links(lambda source, host: True)

    # --- nodes ------------------------------------------------------------------------------------

    def start(self, index: int, wrap_network: Callable[[Any], Any] = lambda network: network) -> None:
        """Start a controller as a new process. `wrap_network` may put something between it and its network."""
        node = Node(
            settings_of(index, self.count, self.next_state_limits, self.write_rps, self.platform),
            wrap_network(_NodeNetwork(self, NODES[index])),
            trio.current_time,
            lambda: self.wall_clock(trio.current_time()),
            index,
            self.extensions,
        )
        self.nodes[index] = node
        self.processes.append(node)
        self.nursery.start_soon(self._run, index, node)

    async def _run(self, index: int, node: Node) -> None:
        with trio.CancelScope() as self.scopes[index]:
            await node.run()

    def kill(self, index: int) -> None:
        """End a controller at once, as a crash does."""
        del self.nodes[index]
        self.scopes[index].cancel()

    def check_contained_exceptions(self) -> None:
        """Raise AssertionError, with the traceback, if a controller contained an exception that was not expected."""
        for node in self.processes:
            unexpected = {part for part in node.containment.counts if part not in self.expected_exceptions}
            assert not unexpected, f"{node.settings.node} contained {unexpected}: {node.containment.latest}"

    async def restart(self, index: int, away_s: float) -> None:
        """Kill a controller and start it again `away_s` seconds later; nothing if it does not run."""
        if index in self.nodes:
            self.kill(index)
            await trio.sleep(away_s)
            self.start(index)

    def leader(self) -> int:
        """The index of the controller that leads; raises StopIteration if none does."""
        return next(i for i, n in self.nodes.items() if n.leader is not None and not n.leader.term.over)

    # --- users ------------------------------------------------------------------------------------

    async def ask(self, index: int, method: str, path: str, body: Any = None) -> Answer:
        """Send a user's request to a controller, and have the observer check the answer; raises as `send` does."""
        asked = body["name_id"] if path == "/work" else path.split("/")[2] if path.startswith("/work/") else ""
        if path.endswith("/cancel"):
            self.observer.cancel_requested.add(asked)
        known = self.observer.reported_state.get(asked)
        status, answer = await self.send("user", f"10.0.0.{index}:1", method, path, body, 5.0)
        self.observer.on_refusal(asked, status, known)
        job_id = (answer or {}).get("name_id")
        if status in (200, 201) and job_id in self.jobs:
            self.observer.on_answer(
                job_id, answer, known if asked == job_id else self.observer.reported_state.get(job_id)
            )
            if answer["status"] == "withdrawn":
                self.observer.cancel_confirmed_at.setdefault(job_id, trio.current_time())
        return status, answer

    async def submit(self, body: dict[str, Any], index: int | None = None) -> Answer:
        """Submit a job at a controller, by default at the first that runs."""
        self.jobs[body["name_id"]] = body
        self.observer.done_tasks.setdefault(body["name_id"], set())
        return await self.ask(min(self.nodes) if index is None else index, "POST", "/work", body)

    async def status(self, body: dict[str, Any], index: int | None = None) -> str:
        _, answer = await self.ask(min(self.nodes) if index is None else index, "GET", f"/work/{body['name_id']}")
        return str((answer or {}).get("status"))

    def running(self, body: dict[str, Any]) -> int:
        """How many tasks of the job run. `body`: the object that was submitted, not a copy."""
        return sum(1 for w in self.workers for t in w.tasks.values() if t.job is body and t.state == "running")

    def hosts(self, body: dict[str, Any]) -> list[Worker]:
        """The workers that hold a task of the job which has not ended."""
        return [w for w in self.workers if any(t.job is body and t.state != "ended" for t in w.tasks.values())]

    def gang_ready(self, task: FakeTask) -> bool:
        """Whether all tasks of this attempt of its gang are on workers, so that they may start."""
        present = [
            t
            for w in self.workers
            for t in w.tasks.values()
            if t.job is task.job and t.attempt == task.attempt and t.state in ("waiting", "running")
        ]
        return len({t.number for t in present}) == task.job["pieces"]

    def gang_broken(self, task: FakeTask, now: float) -> bool:
        """Whether another task of its running gang has been missing, or hung, for GANG_PEER_S."""
        if task.job["shape"] != "group":
            return False
        there = {
            t.number for w in self.workers if not w.hung for t in w.tasks.values()
            if t.job is task.job and t.attempt == task.attempt and (t.state == "running" or t.cause == "done")
        }  # fmt: skip
        if len(there) == task.job["pieces"]:
            task.peer_missing_since = None
            return False
        task.peer_missing_since = now if task.peer_missing_since is None else task.peer_missing_since
        return now - task.peer_missing_since >= GANG_PEER_S

    async def until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Wait for the condition; raises trio.TooSlowError if it is not met within so many seconds."""
        with trio.fail_after(seconds):
            while not condition():
                await trio.sleep(0.05)


@dataclass
class _NodeNetwork:
    """The network as one controller uses it; the requests of a controller that was killed never return."""

    world: World
    source: str

    async def request(self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0) -> Answer:
        if self.source not in [NODES[i] for i in self.world.nodes]:
            await trio.sleep_forever()
        await self.world.wait_while_frozen(self.source)
        return await self.world.send(self.source, addr, method, path, body, deadline_s)


@dataclass
class _NodeHost:
    """A controller as a destination: the listener for users and workers, or (`peer`) the one for controllers."""

    world: World
    node: Node
    peer: bool

    async def serve(self, source: str, method: str, path: str, body: Any) -> Answer:
        payload = body if isinstance(body, bytes) else orjson.dumps(body) if body is not None else b""
        handler = self.node.handle_peer if self.peer else self.node.handle
        response = await handler(Request(method, path, payload))
        await self.world.wait_while_frozen(self.node.settings.node)
        body: Any = response.body
        if isinstance(body, bytes):
            plain = response.headers["Content-Type"].startswith("text/")
            body = body.decode("utf-8") if plain else orjson.loads(body)
        return response.status, body


def make_scheduling_deterministic() -> None:
    """Make trio run tasks that are ready together in the same order in every run, from here on."""
    runner: Any = trio._core._run
    runner._ALLOW_DETERMINISTIC_SCHEDULING = True
    runner._r.seed(1)


def run_scenario(
    scenario: Callable[[World], Awaitable[None]], count: int = 3, next_state_limits: str = "", **more: Any
) -> None:
    """Run a scenario with `count` controllers, from the moment when a leader is ready.

    Raises AssertionError if the observer saw a rule violated by its end, or a controller contained an exception that
    the scenario did not expect. `more`: further arguments of `World`.
    """

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery, count, next_state_limits, **more)
            nursery.start_soon(world.state.run)
            nursery.start_soon(world.observer.run)
            for index in range(count):
                world.start(index)
            await world.until(
                lambda: any(n.leader and n.leader.ready and n.leader.cluster.types for n in world.nodes.values()), 10
            )
            await scenario(world)
            assert world.observer.violations == [], world.observer.violations
            world.check_contained_exceptions()
            nursery.cancel_scope.cancel()

    make_scheduling_deterministic()
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)
