"""What a scale run plays: read from a TOML file and checked; an error names the field."""

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ScenarioError(Exception):
    """The scenario cannot be played; the text names the field."""


class Zone(msgspec.Struct, forbid_unknown_fields=True):
    """A zone, the region that it lies in, and its share of the machines and controllers."""

    name: str
    region: str
    weight: Positive = 1.0


class MachineShape(msgspec.Struct, forbid_unknown_fields=True):
    """The one type of machine: CPUs, GB of memory and of cached images, GB fetched a second."""

    cpus: Positive = 16.0
    memory_gb: Positive = 64.0
    cache_gb: Positive = 60.0
    fetch_gb_per_s: Positive = 1.0


class Teams(msgspec.Struct, forbid_unknown_fields=True):
    """How many teams there are, and the CPUs that each is guaranteed and may use at most."""

    count: Count = 1
    cpus: NotNegative = 100.0
    cpus_max: Positive = 1000.0


class WorkerTimes(msgspec.Struct, forbid_unknown_fields=True):
    """As `params.workers` in a controller's settings, in seconds."""

    report_s: Positive = 3.0
    lease_s: Positive = 18.0
    gang_wait_s: Positive = 40.0
    gang_peer_s: Positive = 5.0
    cancel_s: Positive = 48.0


class StateLimits(msgspec.Struct, forbid_unknown_fields=True):
    """As `params.state` in a controller's settings."""

    rps: Positive = 400.0
    write_rps: Positive = 120.0
    value_kb: Positive = 16.0
    txn_ops: Count = 48


class CloudLimits(msgspec.Struct, forbid_unknown_fields=True):
    rps: Positive = 6.0
    list_lag_s: NotNegative = 5.0


class Burst(msgspec.Struct, forbid_unknown_fields=True):
    """So many jobs of a class within a spell, besides its ordinary rate. Times count from the start of measuring."""

    at_s: NotNegative
    jobs: Count
    within_s: Positive = 1.0


class JobClass(msgspec.Struct, forbid_unknown_fields=True):
    """Jobs that users submit. Gangs are not played: their tasks would have to find each other across processes."""

    name: str
    shape: Literal["sweep", "daemon"] = "sweep"
    priority: Literal["production", "urgent", "standard", "low"] = "standard"
    tasks: Count = 1
    cpus: Positive = 1.0
    memory_gb: Positive = 1.0
    run_s: Positive = 40.0
    image_gb: NotNegative = 0.0
    images: Count = 1
    per_minute: NotNegative = 0.0
    at_start: Annotated[int, msgspec.Meta(ge=0)] = 0
    cancelled_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    burst: list[Burst] = []


class KillControllers(msgspec.Struct, forbid_unknown_fields=True, tag="kill", tag_field="what"):
    """`kill -9`; `which`: leader, follower, or a region's name for all of its controllers."""

    at_s: NotNegative
    which: str
    back_after_s: Positive = 3.0


class Machines(msgspec.Struct, forbid_unknown_fields=True, tag="machines", tag_field="what"):
    """Machines die for good, restart (they forget everything), or hang for a while."""

    at_s: NotNegative
    action: Literal["die", "restart", "hang"]
    count: Count
    for_s: Positive = 5.0
    zone: str | None = None


class CutZone(msgspec.Struct, forbid_unknown_fields=True, tag="cut", tag_field="what"):
    """The workers of a zone reach no controller and the other way round."""

    at_s: NotNegative
    zone: str
    for_s: Positive


Trouble = KillControllers | Machines | CutZone


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """A run: `settle_s` until all is up, then `length_s` in which it is measured."""

    name: str
    controllers: Count
    workers: Count
    zones: list[Zone]
    length_s: Positive
    settle_s: Positive = 20.0
    seed: int = 1
    hosts: Count = 4
    spare_workers: Annotated[int, msgspec.Meta(ge=0)] = 0
    changes_per_hour: NotNegative = 0.0
    machine: MachineShape = msgspec.field(default_factory=MachineShape)
    teams: Teams = msgspec.field(default_factory=Teams)
    times: WorkerTimes = msgspec.field(default_factory=WorkerTimes)
    state: StateLimits = msgspec.field(default_factory=StateLimits)
    cloud: CloudLimits = msgspec.field(default_factory=CloudLimits)
    classes: list[JobClass] = []
    troubles: list[Trouble] = []

    def scaled(self, share: float) -> "Scenario":
        """The same with a share of the workers, jobs and bursts, to see how figures grow; the controllers stay."""

        def part(number: float) -> int:
            return max(1, round(number * share))

        classes = [
            msgspec.structs.replace(
                kind,
                per_minute=kind.per_minute * share,
                at_start=part(kind.at_start) if kind.at_start else 0,
                burst=[msgspec.structs.replace(burst, jobs=part(burst.jobs)) for burst in kind.burst],
            )
            for kind in self.classes
        ]
        return msgspec.structs.replace(
            self, name=f"{self.name} x {share:g}", workers=part(self.workers), classes=classes
        )


def parse(text: str) -> Scenario:
    """Raises ScenarioError, which names the field and what is wrong with it."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), Scenario)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(str(error)) from None
    _check(scenario)
    return scenario


def load(name: str) -> Scenario:
    """A file, or the name of a scenario that comes with the program."""
    path = Path(name)
    shipped = resources.files("pepperlatch.scale") / "scenarios" / f"{name}.toml"
    try:
        text = path.read_text("utf-8") if path.is_file() else shipped.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(
            f"{name}: no such file, nor a scenario among {', '.join(shipped_names())}: {error}"
        ) from None
    try:
        return parse(text)
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from None


def shipped_names() -> list[str]:
    folder = resources.files("pepperlatch.scale") / "scenarios"
    return sorted(entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml"))


def _check(scenario: Scenario) -> None:
    if not scenario.zones:
        raise ScenarioError("zones: at least one is needed")
    zones = [zone.name for zone in scenario.zones]
    regions = {zone.region for zone in scenario.zones}
    _unique("zones", zones)
    _unique("classes", [kind.name for kind in scenario.classes])
    if scenario.times.cancel_s <= scenario.times.lease_s:
        raise ScenarioError("times.cancel_s: must be above times.lease_s")
    for index, kind in enumerate(scenario.classes):
        if kind.cpus > scenario.machine.cpus or kind.memory_gb > scenario.machine.memory_gb:
            raise ScenarioError(f"classes[{index}]: a task of {kind.name} fits no machine")
        if kind.cpus > scenario.teams.cpus_max:
            raise ScenarioError(f"classes[{index}].cpus: above teams.cpus_max")
    for index, trouble in enumerate(scenario.troubles):
        place = f"troubles[{index}]"
        if trouble.at_s > scenario.length_s:
            raise ScenarioError(f"{place}.at_s: after the end, length_s is {scenario.length_s:g}")
        zone = None if isinstance(trouble, KillControllers) else trouble.zone
        if zone is not None and zone not in zones:
            raise ScenarioError(f"{place}.zone: no zone is called {zone!r}")
        if isinstance(trouble, KillControllers) and trouble.which not in {"leader", "follower", *regions}:
            raise ScenarioError(f"{place}.which: leader, follower or one of {', '.join(sorted(regions))}")


def _unique(field: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ScenarioError(f"{field}: {name!r} stands there twice")
