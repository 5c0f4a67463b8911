"""Spellings of the protocols and of the platform's settings file; the only module that knows them."""

from enum import Enum
from typing import Any

import msgspec


class Kind(str, Enum):
    ARRAY = "sweep"
    GANG = "group"
    SERVICE = "daemon"


class Priority(str, Enum):
    PRODUCTION = "production"
    HIGH = "urgent"
    NORMAL = "standard"
    LOW = "low"


PRIORITY_RANK = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}


class TaskState(str, Enum):
    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "ended"


class Cause(str, Enum):
    DONE = "done"
    STOPPED = "halted"
    PEERS_LOST = "mates_gone"
    ALONE = "alone"
    ERROR = "error"
    NO_ROOM = "full"
    ALREADY_RUNNING = "in_use"
    UNKNOWN = "no_such"


class JobState(str, Enum):
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "withdrawn"


FINAL_JOB_STATES = (JobState.DONE, JobState.CANCELLED)
LAUNCH_REFUSALS = (Cause.NO_ROOM, Cause.ALREADY_RUNNING, Cause.UNKNOWN)

_JOB = {
    "id": "name_id", "job_class": "jobclass", "team": "crew", "kind": "shape", "priority": "urgency",
    "tasks": "pieces", "cpus": "cores", "image": "bundle", "image_gb": "pull_gb", "types": "builds",
    "zone": "yard", "spread": "apart", "spot": "loaners", "estimate_s": "expected_s",
    "checkpoint_s": "snapshot_every_s", "save_s": "snapshot_cost_s", "deadline_s": "due_s", "needs": "prereqs",
}  # fmt: skip
ID_FIELD, NEEDS_FIELD, KIND_FIELD = _JOB["id"], _JOB["needs"], _JOB["kind"]


class JobSpec(msgspec.Struct, rename=_JOB, gc=False):
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
    needs: list[str] | None = None  # jobs that have to be done before any task of this one starts


class TaskReport(
    msgspec.Struct,
    rename={"task": "piece", "attempt": "try", "state": "status", "end_cause": "cause", "saved": "stored"},
):
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
    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    addr: str | None = None


LISTED_BOOTING, LISTED_FAILED = "starting", "failed"


class KeyValue(msgspec.Struct, rename={"key": "k", "version": "stamp"}):
    key: str
    value: Any
    version: int


class Change(msgspec.Struct, rename={"put": "set", "version": "stamp"}):
    version: int
    put: str | None = None
    delete: str | None = None
    value: Any = None


class KeyPage(msgspec.Struct, rename={"items": "pairs", "more": "truncated", "revision": "ledger_mark"}):
    items: list[KeyValue]
    more: bool
    revision: int


class Changes(msgspec.Struct, rename={"revision": "ledger_mark", "events": "log"}):
    revision: int
    events: list[Change]


class MachinePage(msgspec.Struct, rename={"machines": "perches", "more": "truncated"}):
    machines: list[ListedMachine]
    more: bool = False


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
    return f"run-{text}"


def job_id_of(value: dict[str, Any]) -> object:
    return value.get(ID_FIELD)


def job_to_wire(values: dict[str, Any]) -> dict[str, Any]:
    """A description by this project's names, as POST /work takes it."""
    return {_JOB.get(name, name): value for name, value in values.items()}


def job_from_wire(fields: dict[str, Any]) -> dict[str, Any]:
    """The other way round, for people."""
    words = {spelled: name for name, spelled in _JOB.items()}
    return {words.get(name, name): value for name, value in fields.items()}


def job_answer(job_id: str, state: JobState, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    answer: dict[str, Any] = {"name_id": job_id, "status": state.value}
    if done is not None:
        answer["done"] = done
        answer["running"] = running or 0
    return answer


def launch(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "launch", "piece": task, "try": attempt}


def kill(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"verb": "kill", "piece": task, "try": attempt, "wind_down_s": grace_s}


def reap(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "reap", "piece": task, "try": attempt}


def report_answer(token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "orders": orders}


def answer_token(answer: dict[str, Any]) -> int:
    """The token of the answer to a report; 0 if it has none."""
    token = answer.get("baton")
    return token if isinstance(token, int) else 0


def commands_body(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "tenure": session, "orders": orders}


def redirect_body(leader: str | None) -> dict[str, Any]:
    return {"foreman": leader} if leader else {}


def hire_body(request: str, type_name: str, zone: str, spot: bool, count: int) -> dict[str, Any]:
    return {"hire": request, "build": type_name, "yard": zone, "loaners": spot, "count": count}


def hired_names(answer: dict[str, Any]) -> list[str]:
    return list(answer["perches"])


def release_body(names: list[str]) -> dict[str, Any]:
    return {"perches": names}


def machines_path(after: str, limit: int) -> str:
    return f"{MACHINES_PATH}?page={limit}" + (f"&after={after}" if after else "")


def types_of(answer: dict[str, Any]) -> list[MachineType]:
    return list(convert(answer["builds"], list[MachineType]))


def to_plain(value: Any) -> Any:
    return msgspec.to_builtins(value)


def version_condition(key: str, version: int) -> dict[str, Any]:
    return {"k": key, "stamp": version}


def condition_key(condition: dict[str, Any]) -> str:
    return str(condition["k"])


def written_key(change: dict[str, Any]) -> str:
    return str(change.get("set") or change.get("delete"))


def put(key: str, value: Any, lease: int | None = None) -> dict[str, Any]:
    write: dict[str, Any] = {"set": key, "value": value}
    if lease is not None:
        write["tenancy"] = lease
    return write


def delete(key: str) -> dict[str, Any]:
    return {"delete": key}


def txn_body(conditions: list[dict[str, Any]], writes: list[dict[str, Any]]) -> dict[str, Any]:
    return {"when": conditions, "writes": writes} if writes else {"when": conditions}


def keys_path(prefix: str, after: str, limit: int) -> str:
    return f"{KEYS_PATH}?under={prefix}&page={limit}" + (f"&after={after}" if after else "")


def watch_path(prefix: str, after: int, wait_ms: int) -> str:
    return f"{CHANGES_PATH}?under={prefix}&after={after}&wait_ms={wait_ms}"


def revision_of(answer: dict[str, Any]) -> int:
    return int(answer["ledger_mark"])


def lease_body(ttl_ms: int) -> dict[str, Any]:
    return {"life_ms": ttl_ms}


def lease_of(answer: dict[str, Any]) -> int:
    return int(answer["tenancy"])


def failed_keys(answer: dict[str, Any]) -> list[str]:
    return list(answer.get("failed") or [])
