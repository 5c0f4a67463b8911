"""Tests that fail for a fault which is known and not mended yet: listed in KNOWN-RED.txt, passed over and printed.

One that passes fails the run, so that its entry goes with the fault. How the list is read: `tests/known_red.py`.
"""

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, not_collected, parse

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> dict[str, KnownRed]:
    """Entries by the test that they name; ends the run if the list cannot be read."""
    try:
        return parse(KNOWN_RED.read_text("utf-8")) if KNOWN_RED.exists() else {}
    except (KnownRedError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {error}") from None


def pytest_configure() -> None:
    known_red()


def _whole_run(config: pytest.Config) -> bool:
    """Whether all tests are asked for, so that a listed one that is not there does not exist."""
    asked = {(ROOT / argument).resolve() for argument in config.args}
    everything = {(ROOT / path).resolve() for path in config.getini("testpaths")}
    option = config.option
    return asked == everything and not (option.keyword or option.markexpr or option.deselect or option.ignore)


class MissingTests(pytest.Item):
    """Fails for entries whose tests do not exist; an item, since an error at collection is lost between processes."""

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
