"""Mistakes in scenarios are reported with their field; a small run completes and leaves no process behind."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from pepperlatch.command.cli import main
from pepperlatch.constants import scale as c
from pepperlatch.scale import resource_limits, results, scenario
from pepperlatch.scale.addresses import Addresses, find_free_ports
from pepperlatch.scale.cloud import Fleet
from pepperlatch.scale.controller_settings import controller_zones, settings_text
from pepperlatch.settings import parse

SMALL = """
name = "x"
controllers = 2
workers = 20
hosts = 1
settle_s = 2.0
length_s = 5.0
changes_per_hour = 3600.0
zones = [{ name = "a", region = "r" }, { name = "b", region = "s" }]
classes = [
    { name = "batch", tasks = 5, run_s = 1.0, per_minute = 60.0 },
    { name = "service", shape = "daemon", tasks = 2, at_start = 1 },
]
troubles = [
    { what = "kill", at_s = 1.0, which = "leader", back_after_s = 0.5 },
    { what = "machines", at_s = 1.0, action = "restart", count = 2 },
]
"""


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ("workers = 20", "workers = 0", "$.workers"),
        ("tasks = 5", "tasks = 5, colour = 1", "colour"),
        ("run_s = 1.0", "run_s = 1.0, cpus = 99.0", "classes[0]: a task of batch fits no machine"),
        ('which = "leader"', 'which = "moon"', "troubles[0].which: leader, follower or one of r, s"),
        ("at_s = 1.0, action", "at_s = 9.0, action", "troubles[1].at_s: after the end"),
        ('name = "b"', 'name = "a"', "zones: 'a' stands there twice"),
    ],
)
def test_a_mistake_in_a_scenario_is_reported_with_its_field(old: str, new: str, said: str) -> None:
    with pytest.raises(scenario.ScenarioError) as caught:
        scenario.parse(SMALL.replace(old, new))
    assert said in str(caught.value)


def test_shipped_scenarios_are_valid_and_give_valid_settings() -> None:
    assert {"small", "today", "two-years", "idle"} <= set(scenario.shipped_names())
    for name in scenario.shipped_names():
        loaded = scenario.load(name)
        settings = parse(settings_text(loaded, Addresses(20_000), 0))
        assert (settings.params.nodes, len(settings.params.teams)) == (loaded.controllers, loaded.teams.count)
        assert len(set(controller_zones(loaded))) == min(loaded.controllers, len(loaded.zones))
        quarter = loaded.scaled(0.25)
        assert quarter.workers == loaded.workers / 4
        fleet = Fleet(quarter)
        assert {fleet.zone(number) for number in range(quarter.workers)} == {zone.name for zone in loaded.zones}


def test_a_run_that_is_too_large_is_refused_before_it_starts(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    for change, said in ((("hosts = 1", "hosts = 400"), "processes"), (("workers = 20", "workers = 90000"), "MB")):
        path = tmp_path / "large.toml"
        path.write_text(SMALL.replace(*change), "utf-8")
        with pytest.raises(resource_limits.TooLarge, match=said):
            resource_limits.check(scenario.load(str(path)))
        assert main(["scale", str(path)]) == 2
        assert said in capsys.readouterr().err


def test_a_small_run_with_real_controllers_keeps_all_rules_and_leaves_no_process(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path, report, kept = tmp_path / "small.toml", tmp_path / "one.json", tmp_path / "kept"
    path.write_text(SMALL, "utf-8")
    assert main(["scale", str(path), "--report", str(report), "--keep", str(kept)]) == 0
    result = results.load(report)
    assert result.breaches == []
    assert result.answers.get("200", 0) > 0
    assert sum(process.lives for process in result.processes if process.name.startswith("node")) == 3
    assert result.starts["batch"]["count"] > 0
    assert "starts a second" in capsys.readouterr().out
    assert main(["scale", "compare", str(report), str(report)]) == 0
    assert "leader, share of a core" in capsys.readouterr().out
    assert not _processes_of(kept)


def test_a_run_that_receives_sigterm_ends_all_its_processes(tmp_path: Path) -> None:
    path, kept = tmp_path / "long.toml", tmp_path / "kept"
    path.write_text(SMALL.replace("length_s = 5.0", "length_s = 500.0"), "utf-8")
    command = [sys.executable, "-m", "pepperlatch.command.cli", "scale", str(path), "--keep", str(kept)]
    with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as run:
        assert run.stderr is not None
        assert any("settling" in line for line in run.stderr)
        run.send_signal(signal.SIGTERM)
        assert run.wait(20) == 130
    assert not _processes_of(kept)


def test_two_runs_that_start_together_choose_different_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against ports that are tested but not reserved.

    Two runs that start together both find the same ports free, because neither listens on them yet. One or both then
    end with code 2 or never become healthy.
    """
    # Outside the ports that runs take, so that a run beside this test changes nothing.
    monkeypatch.setattr(c, "FIRST_PORT", c.LAST_PORT + 100)
    monkeypatch.setattr(c, "LAST_PORT", c.LAST_PORT + 120)
    first = find_free_ports()
    second = find_free_ports()
    assert first.port != second.port


def _processes_of(folder: Path) -> list[str]:
    """Command lines of running processes that contain the folder of a run."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit() and int(entry.name) != os.getpid():
            try:
                found.append((entry / "cmdline").read_bytes().decode("utf-8", "replace"))
            except OSError:
                continue
    return [line for line in found if str(folder) in line]
