"""The platform's settings file (`--config`): read and checked; unknown fields are ignored.

Names that end in _s are seconds, _ms milliseconds. The rename tables in `protocol/wire.py` hold the outer names of the
fields whose names differ in the file.
"""

import re
import tomllib
from pathlib import Path

import msgspec

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire

_PORT = re.compile(r"[0-9]{1,5}")


class SettingsError(Exception):
    """The file is missing or unreadable, or a field in it is missing or wrong. The node does not start."""


class Peer(msgspec.Struct, rename=wire.SETTINGS_PEER):
    """Another controller. `addr`: its listener for controllers."""

    node: str
    zone: str
    addr: str


class ServiceAddresses(msgspec.Struct):
    """Addresses of the cloud and of the state service."""

    cloud: str
    state: str


class Team(msgspec.Struct):
    """Guaranteed amounts of a team, and its limits (`..._max`); 0 means no limit."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, rename={"job_class": "class"}):
    """A service objective: `share` of the jobs (of `job_class`, if given) meet `kind` within `within_s` seconds."""

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    share: float | None = None


class WorkerTimings(msgspec.Struct):
    """The workers' timings in seconds.

    `report_s`: between two reports. `lease_s`: a worker without an answer for this long ends its tasks. `gang_wait_s`:
    how long a gang's task waits for the others. `gang_peer_s`: how long one may be missing before the gang ends.
    `cancel_s`: bound within which a cancelled job's tasks have to be gone.
    """

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class StateNext(msgspec.Struct):
    """Limits that the state service will have from some moment on, without notice; None where nothing changes."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct):
    """Limits of the state service, for all controllers together.

    `rps`: requests a second. `write_rps`: writes a second. `value_kb`: KiB of a value. `txn_ops`: writes of a
    transaction.
    """

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: StateNext | None = None

    def lowest(self) -> "StateLimits":
        """Limits that hold before and after the announced change.

        They are kept from the start, so the moment of the change need not be detected.
        """
        after = self.next or StateNext()
        return StateLimits(
            min(self.rps, after.rps or self.rps),
            min(self.write_rps, after.write_rps or self.write_rps),
            min(self.value_kb, after.value_kb or self.value_kb),
            min(self.txn_ops, after.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct):
    """Limits of the cloud. `rps`: calls a second. `list_lag_s`: seconds by which the list of machines may lag."""

    rps: float
    list_lag_s: float


class NodeLimits(msgspec.Struct, rename=wire.SETTINGS_LIMITS):
    """What a controller may use of its machine: share of a core, memory, and sockets (`max_connections`)."""

    cpu_share: float
    memory_mb: float
    max_connections: int


class Params(msgspec.Struct, rename=wire.SETTINGS_PARAMS):
    """Parameters of the deployment, the same on all controllers. `nodes`: number of controllers.

    `max_clock_error_ms`: bound on the error of each controller's time of day.
    """

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
    """Settings of one controller. `listen`: for users and workers; `peer_listen`: for controllers and operators."""

    node: str
    zone: str
    listen: str
    peer_listen: str
    services: ServiceAddresses
    params: Params
    peers: list[Peer] = []


def parse(text: str) -> Settings:
    """Settings from the file's text, with the lowest of the announced state service limits. Raises SettingsError."""
    try:
        settings = msgspec.convert(tomllib.loads(text), Settings)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(str(error)) from None
    _check(settings)
    settings.params.state = settings.params.state.lowest()
    return settings


def load(path: str) -> Settings:
    """Settings from a file. Raises SettingsError."""
    try:
        return parse(Path(path).read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error)) from None


def split_address(address: str) -> tuple[str, int]:
    """Host and port. Raises SettingsError."""
    host, _, port = address.rpartition(":")
    if not host or not _PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise SettingsError(f"not an address: {address[: c.MAX_NAME_CHARS_SHOWN]!r}")
    return host, int(port)


def _check(settings: Settings) -> None:
    """Check addresses, numbers that must be positive, and that `cancel_s` exceeds `lease_s`. Raises SettingsError."""
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
