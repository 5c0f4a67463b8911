"""Makes a variant of a deployment's site file, to run days at sizes for which there is no file.

    python -m tests.acceptance.variant SITE FOLDER [--machines 1.5] [--arrivals 2] [--restart-delay 0.2]
                                       [--zones a,b] [--controllers 5] [--run-times 4] [--cancelled 0.3] [--stream 4]

FOLDER must not exist; it is created with the site file and the files that the bench needs beside it. Machines and
faults of zones that are left out move to the remaining zones. On a mistake, one line is printed, nothing is written,
and the exit code is 2.
"""

import math
import shutil
import sys
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import click
import tomli_w

Site = dict[str, Any]
CONTROLLERS_MOST = 64  # more are of no use: each holds a copy of all state and sockets to all others
BESIDE = "wire"  # the field that names a file which the bench needs beside the site file


def more_machines(site: Site, factor: float) -> None:
    """Multiply the capacity and the machines that are up at the start; teams, limits, arrivals and budgets stay."""
    for row in [*site.get("capacity", ()), *site.get("machines", ())]:
        for name in ("count", "spot"):
            if isinstance(row.get(name), int) and not isinstance(row[name], bool):
                row[name] = math.ceil(row[name] * factor)


def more_arrivals(site: Site, factor: float) -> None:
    """Multiply the arrival rate of every class."""
    for row in site.get("jobs", ()):
        if "rate" in row.get("arrivals", {}):
            row["arrivals"]["rate"] *= factor


def longer_tasks(site: Site, factor: float) -> None:
    """Multiply the run times of all classes but services."""
    for row in site.get("jobs", ()):
        if row.get("kind") != "service" and "run_s" in row:
            row["run_s"] = {name: value * factor for name, value in row["run_s"].items()}


def more_cancelled(site: Site, share: float) -> None:
    """Set the share of jobs that their users cancel, of all classes but services."""
    for row in site.get("jobs", ()):
        if row.get("kind") != "service":
            row["cancelled"] = share


def stream(site: Site, rate: float) -> None:
    """Let the class of arrays that arrives most often send small one-task jobs instead, `rate` a second.

    Raises click.UsageError if the site has no class of arrays.
    """
    rows = [row for row in site.get("jobs", ()) if row.get("kind") == "array"]
    if not rows:
        raise click.UsageError("--stream: the site has no class of arrays")
    row = max(rows, key=lambda row: row.get("arrivals", {}).get("rate", 0.0))
    row |= {"arrivals": {"rate": rate}, "tasks": {"median": 1.0, "p95": 1.0, "max": 1.0}, "cpus": 1.0, "memory_gb": 1.0}


def only_zones(site: Site, kept: Sequence[str]) -> None:
    """Keep only these zones: whatever names another zone names one of these instead, in turn.

    Faults between zones of which only one is left are dropped. Raises click.UsageError for a wrong list of zones.
    """
    known = site["nodes"]["zones"]
    for zone in kept:
        if zone not in known:
            raise click.UsageError(f"--zones: {zone!r} is none of {', '.join(known)}")
    if not kept or len(set(kept)) < len(kept):
        raise click.UsageError("--zones: wants each zone once")
    others = [zone for zone in known if zone not in kept]
    instead = {zone: kept[n % len(kept)] for n, zone in enumerate(others)}
    site["nodes"]["zones"] = list(kept)
    faults = [fault for day in site.get("day", ()) for fault in day.get("faults", ())]
    for row in [*site.get("capacity", ()), *site.get("machines", ()), *site.get("jobs", ()), *faults]:
        if "zone" in row:
            row["zone"] = instead.get(row["zone"], row["zone"])
    for day in site.get("day", ()):
        day.pop("small", None)  # a smaller form of the day that names zones itself; variants are not made for it
        for fault in day.get("faults", ()):
            if "zones" in fault:
                fault["zones"] = sorted({instead.get(zone, zone) for zone in fault["zones"]})
        day["faults"] = [fault for fault in day.get("faults", ()) if len(fault.get("zones", "ab")) > 1]
    site["capacity"] = _joined(site.get("capacity", ()))


def _joined(rows: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
    """One row for each type and zone, with the sum of the counts."""
    out: dict[tuple[str, str], dict[str, Any]] = {}
    for row in rows:
        held = out.setdefault((row["type"], row["zone"]), {**row, "count": 0, "spot": 0})
        held["count"] += row["count"]
        held["spot"] += row["spot"]
    return list(out.values())


def _set_node(name: str) -> Callable[[Site, Any], None]:
    """A change that sets this field of the site's `nodes`."""

    def change(site: Site, value: Any) -> None:
        site["nodes"][name] = value

    return change


def read(path: Path) -> Site:
    """The site file's content; raises click.UsageError if it cannot be read or lacks a required field."""
    try:
        site = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise click.UsageError(f"{path}: {error}") from error
    for name in ("name", "nodes", "capacity", BESIDE):
        if name not in site:
            raise click.UsageError(f"{path}: not a site file, it has no `{name}`")
    return site


def write(site: Site, source: Path, folder: Path) -> Path:
    """Write the site file and the files beside it into a new folder, or nothing: the folder gets its name last.

    Returns the path of the site file; raises click.UsageError on failure.
    """
    if folder.exists():
        raise click.UsageError(f"{folder}: exists already")
    beside = source.parent / site[BESIDE]
    if not beside.is_file():
        raise click.UsageError(f"{beside}: named by {source}, and not there")
    making = folder.with_name(folder.name + ".making")
    shutil.rmtree(making, ignore_errors=True)
    try:
        making.mkdir(parents=True)
        (making / source.name).write_text(tomli_w.dumps(site))
        shutil.copyfile(beside, making / beside.name)
        days = source.with_suffix(".days")
        if days.is_file():
            shutil.copyfile(days, making / days.name)
        making.rename(folder)
    except OSError as error:
        shutil.rmtree(making, ignore_errors=True)
        raise click.UsageError(f"{folder}: {error}") from error
    return folder / source.name


class Positive(click.ParamType):
    """A finite number above 0."""

    name = "number"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if not 0 < number < math.inf:
            self.fail(f"{value!r} is not a positive number", param, ctx)
        return number


@click.command(help=__doc__)
@click.argument("site", type=click.Path(path_type=Path))
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--machines", type=Positive(), help="factor of all machines")
@click.option("--arrivals", type=Positive(), help="factor of the arrivals of every class")
@click.option("--restart-delay", type=Positive(), help="s, from the end of a controller to its start")
@click.option("--zones", help="those that stay, with commas between")
@click.option("--run-times", type=Positive(), help="factor of the tasks' run times")
@click.option("--cancelled", type=click.FloatRange(0, 1), help="share of the jobs that their users cancel")
@click.option("--stream", "a_second", type=Positive(), help="one-task jobs a second, in place of a class's arrays")
@click.option("--controllers", type=click.IntRange(1, CONTROLLERS_MOST))
def command(
    site: Path, folder: Path, machines: float | None, arrivals: float | None, restart_delay: float | None,
    zones: str | None, controllers: int | None, run_times: float | None, cancelled: float | None,
    a_second: float | None,
) -> None:  # fmt: skip
    made = read(site)
    changes: list[tuple[Callable[[Site, Any], None], Any]] = [
        (only_zones, zones.split(",") if zones is not None else None),
        (more_machines, machines), (more_arrivals, arrivals), (longer_tasks, run_times), (more_cancelled, cancelled),
        (stream, a_second),
        (_set_node("restart_delay_s"), restart_delay), (_set_node("count"), controllers),
    ]  # fmt: skip
    for change, value in changes:
        if value is not None:
            change(made, value)
    print(write(made, site, folder))


def main(words: Sequence[str] | None = None) -> int:
    try:
        command.main(words, standalone_mode=False)
    except click.ClickException as error:
        print(" ".join(error.format_message().split()), file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
