"""Output of the command line: tables for people, JSON for programs, colour only on a terminal."""

import sys
from collections.abc import Sequence
from typing import Any

import orjson

# The colour of a table cell, by the cell's whole text.
CELL_STYLES = {"done": "green", "running": "cyan", "withdrawn": "red", "refused": "red", "cancelled": "red"}


def print_json(value: Any) -> None:
    """Print a command's result to standard output, indented."""
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode("utf-8"))


def print_message(text: str) -> None:
    """Print progress, a warning or an error to standard error; standard output holds the result only."""
    print(f"pepperlatch: {text}", file=sys.stderr, flush=True)


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]], title: str = "") -> None:
    """Print a table to standard output, with colours and as wide as the terminal.

    Without a terminal it is plain text, 1000 columns wide, so that every row stays on one line.
    """
    from rich import box
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=1000, color_system=None)
    result = Table(box=box.SIMPLE_HEAD if console.is_terminal else None, pad_edge=False)
    for column in columns:
        result.add_column(column, overflow="fold")
    for row in rows:
        cells = ["" if value is None else str(value) for value in row]
        result.add_row(*(Text(cell, style=CELL_STYLES.get(cell, "")) for cell in cells))
    if title:
        console.print(title, style="bold")
    console.print(result)


def format_seconds(value: float) -> str:
    """A duration in seconds as `95 s`, `4.0 min` or `2.5 h`; empty for infinity."""
    if value == float("inf"):
        return ""
    for unit, size in (("h", 3600.0), ("min", 60.0)):
        if abs(value) >= 2 * size:
            return f"{value / size:.1f} {unit}"
    return f"{value:g} s"
