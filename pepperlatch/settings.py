"""The platform's settings file: read, checked, unknown fields ignored."""

import tomllib
from pathlib import Path

import msgspec

from pepperlatch.protocol import wire


class SettingsError(Exception):
    """The file is missing, unreadable, or a field in it is missing or wrong."""


class Peer(msgspec.Struct, rename=wire.SETTINGS_PEER):
    node: str
    zone: str
    addr: str


class ServiceAddresses(msgspec.Struct):
    cloud: str
    state: str


class Team(msgspec.Struct):
    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    kind: str
    job_class: str | None = None
    within_s: float | None = None
    share: float | None = None


class WorkerTimings(msgspec.Struct):
    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class StateNext(msgspec.Struct):
    """Limits that the state service will have from some moment on, without notice."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: StateNext | None = None

    def lowest(self) -> "StateLimits":
        """What holds before and after the change: kept to from the start, the change needs no noticing."""
        after = self.next or StateNext()
        return StateLimits(
            min(self.rps, after.rps or self.rps),
            min(self.write_rps, after.write_rps or self.write_rps),
            min(self.value_kb, after.value_kb or self.value_kb),
            min(self.txn_ops, after.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct):
    rps: float
    list_lag_s: float


class NodeLimits(msgspec.Struct, rename=wire.SETTINGS_LIMITS):
    cpu_share: float
    memory_mb: float
    max_connections: int


class Params(msgspec.Struct, rename=wire.SETTINGS_PARAMS):
    nodes: int
    zones: list[str]
    teams: list[Team]
    workers: WorkerTimings
    state: StateLimits
    cloud: CloudLimits
    limits: NodeLimits
    max_clock_error_ms: float = 1000.0
    objectives: list[Objective] = []


class Settings(msgspec.Struct, rename=wire.SETTINGS_NODE):
    node: str
    zone: str
    listen: str
    peer_listen: str
    services: ServiceAddresses
    params: Params
    peers: list[Peer] = []


def parse(text: str) -> Settings:
    try:
        settings = msgspec.convert(tomllib.loads(text), Settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(str(error)) from None
    _check(settings)
    settings.params.state = settings.params.state.lowest()
    return settings


def load(path: str) -> Settings:
    try:
        return parse(Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error)) from None


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"not an address: {address!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    addresses = [settings.listen, settings.peer_listen, settings.services.cloud, settings.services.state]
    for address in addresses + [peer.addr for peer in settings.peers]:
        split_address(address)
    params = settings.params
    positive = {
        "params.nodes": params.nodes, "params.workers.report_s": params.workers.report_s,
        "params.workers.lease_s": params.workers.lease_s, "params.state.rps": params.state.rps,
        "params.state.write_rps": params.state.write_rps, "params.state.txn_ops": params.state.txn_ops,
        "params.cloud.rps": params.cloud.rps,
        "params.state.value_kb": params.state.value_kb,
    }  # fmt: skip
    for field in StateNext.__struct_fields__ if params.state.next else ():
        value = getattr(params.state.next, field)
        if value is not None:
            positive[f"params.state.next.{field}"] = value
    for field, value in positive.items():
        if not value > 0:
            raise SettingsError(f"{field} must be above 0, not {value}")
    if params.workers.cancel_s <= params.workers.lease_s:
        raise SettingsError("params.workers.cancel_s must be above params.workers.lease_s")
