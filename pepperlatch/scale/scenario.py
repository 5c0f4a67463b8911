"""The scenario of a run, read from a TOML file and checked; an error names the field."""

import tomllib
from importlib import resources
from pathlib import Path
from typing import Annotated, Literal

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ScenarioError(Exception):
    """The scenario cannot be read or is not valid; the message names the field."""


class Zone(msgspec.Struct, forbid_unknown_fields=True):
    """A zone and its region. Machines are spread in proportion to `weight`; for controllers it only breaks ties."""

    name: str
    region: str
    weight: Positive = 1.0


class MachineShape(msgspec.Struct, forbid_unknown_fields=True):
    """The only type of machine in a run. `cache_gb`: space for images; `fetch_gb_per_s`: speed of fetching them."""

    cpus: Positive = 16.0
    memory_gb: Positive = 64.0
    cache_gb: Positive = 60.0
    fetch_gb_per_s: Positive = 1.0


class Teams(msgspec.Struct, forbid_unknown_fields=True):
    """The number of teams. `cpus`: guaranteed to each team; `cpus_max`: most that each may use."""

    count: Count = 1
    cpus: NotNegative = 100.0
    cpus_max: Positive = 1000.0


class WorkerTimes(msgspec.Struct, forbid_unknown_fields=True):
    """Times of workers in seconds, as `params.workers` in a controller's settings."""

    report_s: Positive = 3.0
    lease_s: Positive = 18.0
    gang_wait_s: Positive = 40.0
    gang_peer_s: Positive = 5.0
    cancel_s: Positive = 48.0


class StateLimits(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the state service, as `params.state` in a controller's settings."""

    rps: Positive = 400.0
    write_rps: Positive = 120.0
    value_kb: Positive = 16.0
    txn_ops: Count = 48


class CloudLimits(msgspec.Struct, forbid_unknown_fields=True):
    """Limits of the cloud, as `params.cloud` in a controller's settings. `list_lag_s`: age of its machine list."""

    rps: Positive = 6.0
    list_lag_s: NotNegative = 5.0


class Burst(msgspec.Struct, forbid_unknown_fields=True):
    """Jobs of a class besides its ordinary rate, spread over `within_s`. `at_s` counts from the start of measuring."""

    at_s: NotNegative
    jobs: Count
    within_s: Positive = 1.0


class JobClass(msgspec.Struct, forbid_unknown_fields=True):
    """A class of jobs that users submit: `per_minute` at random, and `at_start` within the first second.

    `shape`: a sweep has tasks that complete, after `run_s` on average; a daemon is a service. Gangs are not supported:
    their tasks would have to find each other across worker host processes. `images`: number of different images in the
    class. `cancelled_share`: share of the jobs that their users cancel, within `run_s`.
    """

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
    """Controllers are killed (SIGKILL) and started again after `back_after_s`.

    `which`: leader, follower (one at random), or the name of a region for all of its controllers.
    """

    at_s: NotNegative
    which: str
    back_after_s: Positive = 3.0


class Machines(msgspec.Struct, forbid_unknown_fields=True, tag="machines", tag_field="what"):
    """`count` random machines (of `zone` if given) die for good, restart, or hang for `for_s`.

    A restart loses tasks and images.
    """

    at_s: NotNegative
    action: Literal["die", "restart", "hang"]
    count: Count
    for_s: Positive = 5.0
    zone: str | None = None


class CutZone(msgspec.Struct, forbid_unknown_fields=True, tag="cut", tag_field="what"):
    """The workers of a zone reach no controller for `for_s`, and no controller reaches them."""

    at_s: NotNegative
    zone: str
    for_s: Positive


# A fault that the run injects; `at_s` counts from the start of measuring. The `repr` is written to the history.
Trouble = KillControllers | Machines | CutZone


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """A run: it waits `settle_s` after all controllers are healthy, then measures for `length_s`.

    `hosts`: number of worker host processes. `workers`: machines that are rented from the start. `spare_workers`:
    further machines that the cloud may rent out. `changes_per_hour`: how often an operator changes a setting.
    """

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
        """This scenario with `share` of the workers, jobs and bursts but all controllers, to see how figures grow."""

        def scaled_count(number: float) -> int:
            return max(1, round(number * share))

        classes = [
            msgspec.structs.replace(
                job_class,
                per_minute=job_class.per_minute * share,
                at_start=scaled_count(job_class.at_start) if job_class.at_start else 0,
                burst=[msgspec.structs.replace(burst, jobs=scaled_count(burst.jobs)) for burst in job_class.burst],
            )
            for job_class in self.classes
        ]
        return msgspec.structs.replace(
            self, name=f"{self.name} x {share:g}", workers=scaled_count(self.workers), classes=classes
        )


def parse(text: str) -> Scenario:
    """The scenario in a TOML text. Raises ScenarioError, which names the field and what is wrong with it."""
    try:
        scenario = msgspec.convert(tomllib.loads(text), Scenario)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ScenarioError(str(error)) from None
    _check(scenario)
    return scenario


def load(name: str) -> Scenario:
    """The scenario in the file `name`, or the one of that name that comes with the program. Raises ScenarioError."""
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
    """Names of the scenarios that come with the program."""
    folder = resources.files("pepperlatch.scale") / "scenarios"
    return sorted(entry.name.removesuffix(".toml") for entry in folder.iterdir() if entry.name.endswith(".toml"))


def _check(scenario: Scenario) -> None:
    """Check what concerns several fields. Raises ScenarioError."""
    if not scenario.zones:
        raise ScenarioError("zones: at least one is needed")
    zones = [zone.name for zone in scenario.zones]
    regions = {zone.region for zone in scenario.zones}
    _check_unique("zones", zones)
    _check_unique("classes", [job_class.name for job_class in scenario.classes])
    if scenario.times.cancel_s <= scenario.times.lease_s:
        raise ScenarioError("times.cancel_s: must be above times.lease_s")
    for index, job_class in enumerate(scenario.classes):
        if job_class.cpus > scenario.machine.cpus or job_class.memory_gb > scenario.machine.memory_gb:
            raise ScenarioError(f"classes[{index}]: a task of {job_class.name} fits no machine")
        if job_class.cpus > scenario.teams.cpus_max:
            raise ScenarioError(f"classes[{index}].cpus: above teams.cpus_max")
    for index, trouble in enumerate(scenario.troubles):
        field_path = f"troubles[{index}]"
        if trouble.at_s > scenario.length_s:
            raise ScenarioError(f"{field_path}.at_s: after the end, length_s is {scenario.length_s:g}")
        zone = None if isinstance(trouble, KillControllers) else trouble.zone
        if zone is not None and zone not in zones:
            raise ScenarioError(f"{field_path}.zone: no zone is called {zone!r}")
        if isinstance(trouble, KillControllers) and trouble.which not in {"leader", "follower", *regions}:
            raise ScenarioError(f"{field_path}.which: leader, follower or one of {', '.join(sorted(regions))}")


def _check_unique(field: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise ScenarioError(f"{field}: {name!r} stands there twice")
