"""`pepperlatch scale`: runs a scenario while showing its progress, prints its result, compares two results."""

import signal
import sys
import time
from pathlib import Path

import msgspec

from pepperlatch.command import output
from pepperlatch.command.retrying_client import OK, REFUSED, USAGE
from pepperlatch.scale import resource_limits, results, runner, scenario
from pepperlatch.scale.addresses import NoPort
from pepperlatch.scale.results import Result
from pepperlatch.scale.scenario import Scenario

PROGRESS_INTERVAL_S = 10.0  # s; interval between two progress lines without a terminal


class _LineProgress:
    """Progress without a terminal: a line at each new stage and every PROGRESS_INTERVAL_S."""

    def __init__(self) -> None:
        self._printed_at = 0.0
        self._stage = ""

    def show(self, progress: runner.Progress) -> None:
        now = time.monotonic()
        if progress.stage == self._stage and now - self._printed_at < PROGRESS_INTERVAL_S:
            return
        self._printed_at, self._stage = now, progress.stage
        output.print_message(_progress_text(progress))


class _BarProgress:
    """Progress as a bar on a terminal."""

    def __init__(self) -> None:
        from rich.console import Console
        from rich.progress import Progress

        self._progress = Progress(console=Console(stderr=True))
        self._task = self._progress.add_task("starting", total=1.0)
        self._progress.start()

    def show(self, progress: runner.Progress) -> None:
        self._progress.update(
            self._task, description=_progress_text(progress), total=progress.length_s, completed=progress.elapsed_s
        )

    def stop(self) -> None:
        self._progress.stop()


def _progress_text(progress: runner.Progress) -> str:
    if not progress.leader_cpu:
        return progress.stage
    return (
        f"{progress.stage} {progress.elapsed_s:.0f} of {progress.length_s:.0f} s, "
        f"busiest controller {progress.leader_cpu:.2f} cores"
    )


def load_scenario(
    name: str, share: float, length_s: float | None, settle_s: float | None, seed: int | None
) -> Scenario:
    """The named scenario with what the options change; lengths are in seconds. Raises ScenarioError.

    `share` scales the numbers of workers and jobs; None leaves the scenario's own value.
    """
    loaded = scenario.load(name)
    if share != 1.0:
        loaded = loaded.scaled(share)
    overrides = {"length_s": length_s, "settle_s": settle_s, "seed": seed}
    return msgspec.structs.replace(loaded, **{name: value for name, value in overrides.items() if value is not None})


def run(selected: Scenario, program: Path, report: Path | None, keep: Path | None, output_format: str) -> int:
    """Run a scenario and print the result; returns 1 if a rule was broken, 2 if the run was impossible or failed.

    `program` is the `run.py` to measure, `report` a file for the result as JSON, `keep` a folder for logs and
    histories.
    """
    _interrupt_on_signals()
    bar = _BarProgress() if sys.stderr.isatty() else None
    show = bar.show if bar is not None else _LineProgress().show
    try:
        result = runner.run_scenario(selected, program, show, keep)
    except (resource_limits.TooLarge, NoPort, runner.RunFailed) as error:
        output.print_message(str(error))
        return USAGE
    finally:
        if bar is not None:
            bar.stop()
    if report is not None:
        results.save(result, report)
    print_result(result, output_format)
    return REFUSED if result.breaches else OK


def _interrupt_on_signals() -> None:
    """Raise KeyboardInterrupt on SIGINT and SIGTERM, so that the run ends its processes.

    SIGINT is set too because a shell starts background commands with SIGINT ignored.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda number, frame: signal.raise_signal(signal.SIGINT))


def print_result(result: Result, output_format: str) -> None:
    """Print figures, processes and broken rules to standard output, warnings to standard error."""
    if output_format == "json":
        output.print_json(msgspec.to_builtins(result))
        return
    output.print_table(["figure", "value"], results.overview(result), result.scenario)
    output.print_table(results.PROCESS_COLUMNS, results.process_rows(result), "processes")
    for breach in result.breaches:
        print(f"{breach.at:.3f} {breach.rule}: {breach.text}")
        for line in breach.history:
            print(f"    {line}")
    for warning in result.warnings:
        output.print_message(f"warning: {warning}")


def compare(first_file: Path, second_file: Path) -> int:
    """Print two stored results side by side; returns 2 if one cannot be read."""
    try:
        first, second = results.load(first_file), results.load(second_file)
    except results.BadResult as error:
        output.print_message(str(error))
        return USAGE
    output.print_table(["figure", first_file.stem, second_file.stem], results.side_by_side(first, second))
    return OK
