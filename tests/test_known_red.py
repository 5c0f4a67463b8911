"""KNOWN-RED.txt is read completely or refused, and a listed test that passes fails the run."""

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRedError, not_collected, parse

ENTRY = "tests/test_a.py::test_one[7] | pytest tests/test_a.py, seed 7 | a rule broke | Known failures"
HERE = Path(__file__).resolve().parent


def test_an_entry_has_test_command_observation_and_issue() -> None:
    entry = parse(f"\n{ENTRY}\n\n")["tests/test_a.py::test_one[7]"]
    assert (entry.command, entry.seen, entry.issue) == (
        "pytest tests/test_a.py, seed 7", "a rule broke", "Known failures",
    )  # fmt: skip
    assert str(entry) == ENTRY
    assert parse("") == {}


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("tests/test_a.py::test_one | a rule broke | Known failures", "line 1: the field 'issue' is missing"),
        ("\ntests/test_a.py::test_one |  | a rule broke | 50", "line 2: the field 'command' is missing"),
        (" | pytest | a rule broke | 50", "line 1: the field 'test' is missing"),
        (f"{ENTRY} | more", "line 1: 5 fields, wanted are 4: test, command, seen, issue"),
        (f"{ENTRY}\n\n{ENTRY}", "line 3: tests/test_a.py::test_one[7] stands here twice"),
    ],
)
def test_a_malformed_list_is_refused_with_the_line_named(text: str, said: str) -> None:
    with pytest.raises(KnownRedError) as raised:
        parse(text)
    assert str(raised.value) == said


def test_listed_tests_that_do_not_exist_are_found() -> None:
    assert not_collected(["b", "a"], ["a", "c"]) == ["b"]


def run_pytest(folder: Path, listed: str, *more: str) -> tuple[int, str]:
    """Exit code and output of pytest in a project with this list, one test that passes and one that fails."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((HERE / name).read_text("utf-8"), "utf-8")
    (tests / "__init__.py").write_text("", "utf-8")
    (tests / "test_it.py").write_text(
        "def test_good() -> None:\n    pass\n\n\ndef test_bad() -> None:\n    raise AssertionError\n", "utf-8"
    )
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n', "utf-8")
    (folder / "KNOWN-RED.txt").write_text(listed, "utf-8")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *more]
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)
    return completed.returncode, completed.stdout + completed.stderr


def entries(*names: str) -> str:
    return "".join(f"tests/test_it.py::{name} | pytest, no seed | it fails | Known failures\n" for name in names)


@pytest.mark.parametrize("more", [(), ("-n", "2")])
def test_listed_failures_do_not_fail_the_run_and_are_printed(tmp_path: Path, more: tuple[str, ...]) -> None:
    code, output = run_pytest(tmp_path, entries("test_bad"), *more)
    assert code == 0, output
    assert "known red: tests/test_it.py::test_bad | pytest, no seed | it fails | Known failures" in output


@pytest.mark.parametrize(
    ("text", "reason", "more"),
    [
        (entries("test_bad", "test_good"), "1 failed", ()),
        ("", "1 failed", ()),
        (entries("test_bad", "test_gone"), "no such test: tests/test_it.py::test_gone", ()),
        (entries("test_bad", "test_gone"), "no such test: tests/test_it.py::test_gone", ("-n", "2")),
        ("tests/test_it.py::test_bad\n", "line 1: the field 'command' is missing", ("-n", "2")),
    ],
)
def test_the_run_fails_for_unlisted_failures_and_for_a_wrong_list(
    tmp_path: Path, text: str, reason: str, more: tuple[str, ...]
) -> None:
    code, output = run_pytest(tmp_path, text, *more)
    assert code != 0
    assert reason in output, output


def test_a_partial_run_does_not_report_other_listed_tests_as_missing(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, entries("test_bad"), "tests/test_it.py::test_good")
    assert code == 0, output
