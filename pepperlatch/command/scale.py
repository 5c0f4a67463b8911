"""`pepperlatch scale`: options read, a run played with its progress shown, its result printed."""

import signal
import sys
import time
from pathlib import Path

import msgspec

from pepperlatch.command import output
from pepperlatch.command.service import OK, REFUSED, USAGE
from pepperlatch.scale import resource_limits, results, runner, scenario
from pepperlatch.scale.addresses import NoPort
from pepperlatch.scale.results import Result
from pepperlatch.scale.scenario import Scenario

LINE_EVERY_S = 10.0  # s; between two lines of progress where there is no terminal


class _Lines:
    """Progress for a log: a line every now and then."""

    def __init__(self) -> None:
        self._at = 0.0
        self._stage = ""

    def show(self, progress: runner.Progress) -> None:
        now = time.monotonic()
        if progress.stage == self._stage and now - self._at < LINE_EVERY_S:
            return
        self._at, self._stage = now, progress.stage
        output.say(_words(progress))


class _Bar:
    """Progress on a terminal."""

    def __init__(self) -> None:
        from rich.console import Console
        from rich.progress import Progress

        self._progress = Progress(console=Console(stderr=True))
        self._task = self._progress.add_task("starting", total=1.0)
        self._progress.start()

    def show(self, progress: runner.Progress) -> None:
        self._progress.update(
            self._task, description=_words(progress), total=progress.length_s, completed=progress.elapsed_s
        )

    def stop(self) -> None:
        self._progress.stop()


def _words(progress: runner.Progress) -> str:
    if not progress.leader_cpu:
        return progress.stage
    return (
        f"{progress.stage} {progress.elapsed_s:.0f} of {progress.length_s:.0f} s, "
        f"busiest controller {progress.leader_cpu:.2f} cores"
    )


def wanted(name: str, share: float, length_s: float | None, settle_s: float | None, seed: int | None) -> Scenario:
    """The scenario with what the command line changes. Raises ScenarioError."""
    found = scenario.load(name)
    if share != 1.0:
        found = found.scaled(share)
    given = {"length_s": length_s, "settle_s": settle_s, "seed": seed}
    return msgspec.structs.replace(found, **{name: value for name, value in given.items() if value is not None})


def run(played: Scenario, program: Path, report: Path | None, keep: Path | None, form: str) -> int:
    """Play it and print the result; 1 if a rule was broken, 2 if it cannot be played."""
    _end_like_ctrl_c()
    bar = _Bar() if sys.stderr.isatty() else None
    show = bar.show if bar is not None else _Lines().show
    try:
        result = runner.run_scenario(played, program, show, keep)
    except (resource_limits.TooLarge, NoPort, runner.RunFailed) as error:
        output.say(str(error))
        return USAGE
    finally:
        if bar is not None:
            bar.stop()
    if report is not None:
        results.save(result, report)
    print_result(result, form)
    return REFUSED if result.breaches else OK


def _end_like_ctrl_c() -> None:
    """Asked to end by a signal, also in the background of a shell that ignores Ctrl-C, a run ends its processes."""
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, lambda number, frame: signal.raise_signal(signal.SIGINT))


def print_result(result: Result, form: str) -> None:
    if form == "json":
        output.json(msgspec.to_builtins(result))
        return
    output.table(["figure", "value"], results.overview(result), result.scenario)
    output.table(results.PROCESS_COLUMNS, results.process_rows(result), "processes")
    for breach in result.breaches:
        print(f"{breach.at:.3f} {breach.rule}: {breach.text}")
        for line in breach.history:
            print(f"    {line}")
    for warning in result.warnings:
        output.say(f"warning: {warning}")


def compare(one: Path, other: Path) -> int:
    """Two results side by side."""
    try:
        first, second = results.load(one), results.load(other)
    except results.BadResult as error:
        output.say(str(error))
        return USAGE
    output.table(["figure", one.stem, other.stem], results.side_by_side(first, second))
    return OK
