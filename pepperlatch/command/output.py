"""What the command line prints: tables for people, JSON for programs, colour only on a terminal."""

import sys
from collections.abc import Sequence
from typing import Any

import orjson

STYLE = {"done": "green", "running": "cyan", "withdrawn": "red", "refused": "red", "cancelled": "red"}


def json(value: Any) -> None:
    print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode("utf-8"))


def say(text: str) -> None:
    """To standard error: what is not the answer."""
    print(f"pepperlatch: {text}", file=sys.stderr, flush=True)


def table(columns: Sequence[str], rows: Sequence[Sequence[Any]], title: str = "") -> None:
    """On a terminal with colour and its width; piped, plain text with every row on one line."""
    from rich import box
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(highlight=False, width=1000, color_system=None)
    shown = Table(box=box.SIMPLE_HEAD if console.is_terminal else None, pad_edge=False)
    for column in columns:
        shown.add_column(column, overflow="fold")
    for row in rows:
        cells = ["" if value is None else str(value) for value in row]
        shown.add_row(*(Text(cell, style=STYLE.get(cell, "")) for cell in cells))
    if title:
        console.print(title, style="bold")
    console.print(shown)


def seconds(value: float) -> str:
    """`95 s`, `4.0 min`, `2.5 h`; empty for what has no bound."""
    if value == float("inf"):
        return ""
    for unit, size in (("h", 3600.0), ("min", 60.0)):
        if abs(value) >= 2 * size:
            return f"{value / size:.1f} {unit}"
    return f"{value:g} s"
