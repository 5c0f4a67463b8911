"""Outer names of the protocols and of the platform's settings file; the only module that spells them.

Structs map this project's attribute names to the outer field names through rename tables, so an attribute may change
while the name on the wire stays. Functions build request and answer bodies, or read them.
"""

from enum import Enum
from typing import Any

import msgspec


class Kind(str, Enum):
    """Kind of a job. Pipeline files name the members, so these keep their names, as do those of Priority."""

    ARRAY = "sweep"
    GANG = "group"
    SERVICE = "daemon"


class Priority(str, Enum):
    """Priority of a job, strongest first."""

    PRODUCTION = "production"
    HIGH = "urgent"
    NORMAL = "standard"
    LOW = "low"


# A lower rank goes first.
PRIORITY_RANK = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}


class TaskState(str, Enum):
    """State of a task as its worker reports it."""

    FETCHING = "pulling"  # its image is being fetched
    WAITING = "waiting"  # of a gang: for the other tasks of the gang
    RUNNING = "running"
    SAVING = "flushing"  # stopped, and saving its state
    EXITED = "ended"  # ended for the reported cause; listed until it is reaped


class Cause(str, Enum):
    """Why a task ended, or why a worker did not start it."""

    DONE = "done"
    STOPPED = "halted"  # killed by order
    PEERS_LOST = "mates_gone"  # of a gang: another task of the running gang was missing or hung for too long
    ALONE = "alone"
    ERROR = "error"
    NO_ROOM = "full"  # the machine has no room for it
    ALREADY_RUNNING = "in_use"  # another attempt of the same task is on the machine
    UNKNOWN = "no_such"  # the worker does not know the job


class JobState(str, Enum):
    """State of a job as users see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


FINAL_JOB_STATES = (JobState.DONE, JobState.CANCELLED)
# Causes with which a worker refuses to start a launched task.
LAUNCH_REFUSALS = (Cause.NO_ROOM, Cause.ALREADY_RUNNING, Cause.UNKNOWN)

# The keys are also this project's names for users (`job_to_wire`, `job_from_wire`), so they must not change.
_JOB = {
    "id": "name_id", "job_class": "jobclass", "team": "crew", "kind": "shape", "priority": "urgency",
    "tasks": "pieces", "cpus": "cores", "image": "bundle", "image_gb": "pull_gb", "types": "builds",
    "zone": "yard", "spread": "apart", "spot": "loaners", "estimate_s": "expected_s",
    "checkpoint_s": "snapshot_every_s", "save_s": "snapshot_cost_s", "deadline_s": "due_s", "needs": "prereqs",
}  # fmt: skip
ID_FIELD, NEEDS_FIELD, KIND_FIELD = _JOB["id"], _JOB["needs"], _JOB["kind"]


class JobSpec(msgspec.Struct, rename=_JOB, gc=False):
    """Description of a job as users submit it. Amounts are per task.

    `types`: names of the machine types that are allowed, None for all. `zone`: the only allowed zone. `one_zone`: all
    tasks in the same zone. `spread`: at most half of the tasks in one zone. `spot`: spot machines are allowed.
    `image_gb`: size of the image that a machine fetches before the task starts. `estimate_s`: expected run time of a
    task in seconds. `checkpoint_s`: seconds between two checkpoints, 0 for none. `save_s`: seconds that a checkpoint
    takes. `deadline_s`: seconds from acceptance until the job is due.
    """

    id: str
    job_class: str
    team: str
    kind: Kind
    priority: Priority
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    types: list[str] | None = None
    zone: str | None = None
    deadline_s: float | None = None
    needs: list[str] | None = None  # ids of jobs that have to be done before any task of this one starts


class TaskReport(
    msgspec.Struct,
    rename={"task": "piece", "attempt": "try", "state": "status", "end_cause": "cause", "saved": "stored"},
):
    """One task in a worker's report.

    `end_cause`: set once the task has exited. `saved`: "stored" on the wire; controllers do not use it.
    """

    task: str
    attempt: int
    state: TaskState
    end_cause: Cause | None = None
    saved: bool | None = None


_REPORT = {
    "machine": "perch", "addr": "endpoint", "type": "build", "zone": "yard", "spot": "loaners",
    "session": "tenure", "seq": "tally", "token": "baton", "notice_s": "reclaim_in_s", "tasks": "pieces",
}  # fmt: skip


class Report(msgspec.Struct, rename=_REPORT):
    """A worker's report: its heartbeat, its answer to an inspection, and its answer to commands.

    `session`: number of the worker's session; the next one begins when the worker's lease has ended. `seq`: number of
    the report. `token`: the highest fencing token that the worker has seen. `notice_s`: seconds until the cloud
    reclaims a spot machine, None without a notice.
    """

    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    tasks: list[TaskReport]
    notice_s: float | None = None


_TYPE = {
    "name": "sku", "cpus": "cores", "fetch_gb_per_s": "pull_gb_per_s", "price": "rate",
    "spot_price": "market_price", "boot_s": "ready_s", "zones": "yards",
}  # fmt: skip


class MachineType(msgspec.Struct, rename=_TYPE):
    """A machine type of the cloud.

    `cache_gb`: space for images. `price` and `spot_price`: for an hour. `boot_s`: usual boot time in seconds. `zones`:
    where it can be rented.
    """

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]


_LISTED = {
    "name": "name_id",
    "addr": "endpoint",
    "type": "build",
    "zone": "yard",
    "spot": "loaners",
    "state": "status",
    "age_s": "held_s",
}


class ListedMachine(msgspec.Struct, rename=_LISTED):
    """A machine in the cloud's list of rented machines. `age_s`: seconds since it was rented."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    addr: str | None = None


LISTED_BOOTING, LISTED_FAILED = "starting", "failed"  # values of ListedMachine.state


class KeyValue(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    """A key of the state service with its value and the revision that wrote it."""

    key: str
    value: Any
    version: int


class Change(msgspec.Struct, rename={"put": "set", "version": "stamp"}):
    """One change of a key in the state service: `put` or `delete` names the key."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class KeyPage(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "ledger_mark"}):
    """One page of keys. `more`: there are further pages. `revision`: the service's revision at the reading."""

    items: list[KeyValue]
    more: bool
    revision: int


class Changes(msgspec.Struct, rename={"revision": "ledger_mark", "events": "log"}):
    """Answer of a watch: the changes up to `revision`, oldest first."""

    revision: int
    events: list[Change]


class TransactionResult(msgspec.Struct, rename={"revision": "ledger_mark"}):
    """Answer to a transaction: its revision and, if it was not applied, the keys whose conditions did not hold."""

    revision: int
    failed: list[str] | None = None


class GrantedLease(msgspec.Struct, rename={"number": "tenancy"}):
    """Answer to a request for a lease."""

    number: int


class HiredMachines(msgspec.Struct, rename={"names": "perches"}):
    """Answer to a rental: names of the machines."""

    names: list[str]


class MachinePage(msgspec.Struct, rename={"machines": "perches", "more": "truncated"}):
    """One page of the cloud's list of machines."""

    machines: list[ListedMachine]
    more: bool = False


# Rename tables of the structs in `settings.py`.
SETTINGS_NODE = {"node": "node_name", "listen": "bind", "peers": "members", "services": "outside"}
SETTINGS_PEER = {"node": "node_name", "addr": "endpoint"}
SETTINGS_PARAMS = {"limits": "machine_limits", "max_clock_error_ms": "clock_error_ms"}
SETTINGS_LIMITS = {"cpu_share": "cpu", "memory_mb": "mem_mb", "max_connections": "sockets"}

# --- paths ----------------------------------------------------------------------------------------
JOBS_PATH, CANCEL_SUBPATH, HEALTH_PATH, REPORT_PATH = "/work", "cancel", "/healthz", "/agent/beat"
COMMANDS_PATH, INSPECT_PATH = "/commands", "/inspect"
TYPES_PATH, MACHINES_PATH, RELEASE_PATH = "/flavors", "/hosts", "/hosts/release"
KEYS_PATH, TXN_PATH, LEASES_PATH, TOUCH_SUBPATH, CHANGES_PATH = "/keys", "/txn", "/leases", "touch", "/changes"
JOB_ID_PATTERN = r"run-[A-Za-z0-9_.-]{1,64}"


def convert(value: Any, kind: Any) -> Any:
    """Check decoded input against a type; raises msgspec.ValidationError naming the field."""
    return msgspec.convert(value, kind)


def job_id(text: str) -> str:
    """The id of a job whose variable part is `text`; the whole has to match JOB_ID_PATTERN."""
    return f"run-{text}"


def job_id_of(value: dict[str, Any]) -> object:
    """The id in an unchecked job description; of any type, None if it is missing."""
    return value.get(ID_FIELD)


def job_to_wire(values: dict[str, Any]) -> dict[str, Any]:
    """Turn a job description with this project's field names into the body of POST /work."""
    return {_JOB.get(name, name): value for name, value in values.items()}


def job_from_wire(fields: dict[str, Any]) -> dict[str, Any]:
    """Turn the body of POST /work into a job description with this project's field names, for people to read."""
    names = {outer: name for name, outer in _JOB.items()}
    return {names.get(field, field): value for field, value in fields.items()}


def job_answer(job_id: str, state: JobState, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    """Answer to a user about a job. `done` and `running` are numbers of tasks; both are left out if `done` is None."""
    answer: dict[str, Any] = {"name_id": job_id, "status": state.value}
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return answer


def launch(task: str, attempt: int) -> dict[str, Any]:
    """Order to a worker to start this attempt of the task."""
    return {"verb": "launch", "piece": task, "try": attempt}


def kill(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    """Order to a worker to stop the attempt; the task has `grace_s` seconds to save its state."""
    return {"verb": "kill", "piece": task, "try": attempt, "wind_down_s": grace_s}


def reap(task: str, attempt: int) -> dict[str, Any]:
    """Order to a worker to forget an exited attempt, whose end the leader has taken in."""
    return {"verb": "reap", "piece": task, "try": attempt}


def report_answer(token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """Answer to a worker's report: the fencing token, and orders made by `launch`, `kill` and `reap`."""
    return {"baton": token, "orders": orders}


def answer_token(answer: dict[str, Any]) -> int:
    """The fencing token in the answer to a report; 0 if it has none."""
    token = answer.get("baton")
    return token if isinstance(token, int) else 0


def answer_orders(answer: dict[str, Any]) -> list[dict[str, Any]]:
    """The orders in the answer to a report; empty if it has none."""
    orders = answer.get("orders")
    return orders if isinstance(orders, list) else []


def ordered_attempt(order: dict[str, Any]) -> tuple[object, object]:
    """The task and the attempt number that an order is about."""
    return order.get("piece"), order.get("try")


def commands_body(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """Body of a command to a worker, which executes it only in that session and unless it knows a higher token."""
    return {"baton": token, "tenure": session, "orders": orders}


def redirect_body(controller: str | None) -> dict[str, Any]:
    """Body of a 421 that sends a worker to another controller; None names no one, and the worker tries the next."""
    return {"foreman": controller} if controller else {}


def hire_body(request: str, type_name: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    """Body of a rental; the cloud carries out each `request` id once."""
    return {"hire": request, "build": type_name, "yard": zone, "loaners": spot, "count": count}


def release_body(names: list[str]) -> dict[str, Any]:
    """Body of a request to return the named machines."""
    return {"perches": names}


def machines_path(after: str, limit: int) -> str:
    """Path of the page of at most `limit` machines that follow the name `after`; from the first if it is empty."""
    return f"{MACHINES_PATH}?page={limit}" + (f"&after={after}" if after else "")


def types_of(answer: dict[str, Any]) -> list[MachineType]:
    """The machine types in the cloud's answer; raises ValidationError or KeyError if there are none to read."""
    return list(convert(answer["builds"], list[MachineType]))


def to_plain(value: Any) -> Any:
    """Turn a struct into dictionaries, lists and scalars under its outer names."""
    return msgspec.to_builtins(value)


def version_condition(key: str, version: int) -> dict[str, Any]:
    """Condition of a transaction: the key still has this version; 0 means that it does not exist."""
    return {"k": key, "stamp": version}


def condition_key(condition: dict[str, Any]) -> str:
    """The key that a condition is about."""
    return str(condition["k"])


def written_key(change: dict[str, Any]) -> str:
    """The key that a `put` or `delete` changes."""
    return str(change.get("set") or change.get("delete"))


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    """Write of a transaction; with a lease the key vanishes when the lease ends."""
    write: dict[str, Any] = {"set": key, "value": value}
    if lease is not None:
        write["tenancy"] = lease
    return write


def delete(key: str) -> dict[str, Any]:
    """Write of a transaction that deletes the key."""
    return {"delete": key}


def txn_body(conditions: list[dict[str, Any]], writes: list[dict[str, Any]]) -> dict[str, Any]:
    """Body of a transaction; conditions and writes are made by `version_condition`, `put` and `delete`."""
    return {"when": conditions, "writes": writes} if writes else {"when": conditions}


def keys_path(prefix: str, after: str, limit: int) -> str:
    """Path of the page of at most `limit` keys below `prefix` that follow `after`; from the first if it is empty."""
    return f"{KEYS_PATH}?under={prefix}&page={limit}" + (f"&after={after}" if after else "")


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    """Path of a watch: changes below `prefix` since revision `after`, answered within `wait_ms` milliseconds."""
    return f"{CHANGES_PATH}?under={prefix}&after={after}&wait_ms={wait_ms}"


def lease_body(ttl_ms: int) -> dict[str, Any]:
    """Body of a request for a lease of `ttl_ms` milliseconds."""
    return {"life_ms": ttl_ms}
