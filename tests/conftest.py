"""Marks the tests in KNOWN-RED.txt, which fail because of a known fault, as expected failures and prints the list.

A listed test that passes fails the run, so that its entry is removed along with the fault. `tests/known_red.py` reads
the list.
"""

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, not_collected, parse

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> dict[str, KnownRed]:
    """Entries by test id; ends the run with a usage error if the list cannot be read."""
    try:
        return parse(KNOWN_RED.read_text("utf-8")) if KNOWN_RED.exists() else {}
    except (KnownRedError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {error}") from None


def pytest_configure() -> None:
    known_red()


def _whole_run(config: pytest.Config) -> bool:
    """Whether the run selects all tests, so that a listed test that was not collected does not exist."""
    selected = {(ROOT / argument).resolve() for argument in config.args}
    everything = {(ROOT / path).resolve() for path in config.getini("testpaths")}
    option = config.option
    return selected == everything and not (option.keyword or option.markexpr or option.deselect or option.ignore)


class MissingTests(pytest.Item):
    """Fails if listed tests do not exist. It is a test item because pytest-xdist loses errors raised at collection."""

    missing: list[str]

    def runtest(self) -> None:
        raise KnownRedError(f"no such test: {', '.join(self.missing)}")


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(session: pytest.Session, config: pytest.Config, items: list[pytest.Item]) -> None:
    entries = known_red()
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.xfail(reason=str(entries[item.nodeid]), strict=True))
    missing = not_collected(entries, (item.nodeid for item in items)) if _whole_run(config) else []
    if missing:
        item = MissingTests.from_parent(session, name=KNOWN_RED.name)
        item.missing = missing
        items.append(item)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for entry in known_red().values():
        terminalreporter.write_line(f"known red: {entry}")
