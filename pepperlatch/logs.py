"""One event a line on standard error, as text for people or as JSON for programs, with a limit against floods.

The standard library's logging: the usual library for structured logs takes longer to import than all of a controller's
start. `LOG_LEVEL` (error, info, debug) says how much, `LOG_FORMAT` (text, json) how. An event's own fields go into
`extra`: `job`, `machine`, `task`; node and token are added here.
"""

import logging
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any, TextIO

import orjson

from pepperlatch.constants import core as c

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
FIELDS = ("job", "task", "machine", "zone")


@dataclass(slots=True)
class LogContext:
    """What every line of a process says; `token` of the term that it leads, if it does."""

    node: str
    token: Callable[[], int | None] = lambda: None


class JsonFormatter(logging.Formatter):
    """`{"at": ..., "level": ..., "node": ..., "token": ..., "logger": ..., "event": ..., "job": ...}`"""

    def __init__(self, context: LogContext) -> None:
        super().__init__()
        self._context = context

    def format(self, record: logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "at": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "node": self._context.node,
        }
        token = self._context.token()
        if token is not None:
            line["token"] = token
        line["logger"] = record.name.removeprefix("pepperlatch.")
        line["event"] = record.getMessage()
        line.update({name: getattr(record, name) for name in FIELDS if hasattr(record, name)})
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode("utf-8", "replace")


@dataclass(slots=True)
class _Flow:
    """One kind of event: what it may still say, and how much was left out."""

    saved: float
    at: float
    left_out: int = 0


@dataclass(slots=True)
class FloodFilter:
    """Lets through a burst of each kind of event, then so many a second; says how many were left out.

    A kind is a place in the code: its logger and its text before the values. Errors always pass.
    """

    clock: Callable[[], float] = time.monotonic
    _flows: dict[tuple[str, str], _Flow] = field(default_factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.ERROR:
            return True
        now = self.clock()
        flow = self._flows.setdefault((record.name, str(record.msg)), _Flow(c.LOG_BURST_LINES, now))
        flow.saved, flow.at = min(c.LOG_BURST_LINES, flow.saved + (now - flow.at) * c.LOG_LINES_PER_S), now
        if flow.saved < 1:
            flow.left_out += 1
            return False
        flow.saved -= 1
        if flow.left_out:
            record.msg, record.args = f"{record.getMessage()} ({flow.left_out} alike left out before)", None
            flow.left_out = 0
        return True


def configure(node: str, environ: Mapping[str, str], stream: TextIO = sys.stderr) -> LogContext:
    """Set up the logging of this process; what is not known in the variables means `error` and `text`."""
    context = LogContext(node)
    handler = logging.StreamHandler(stream)
    if environ.get("LOG_FORMAT", "text").lower() == "json":
        handler.setFormatter(JsonFormatter(context))
    else:
        handler.setFormatter(logging.Formatter(f"%(levelname).1s {node} %(message)s"))
    handler.addFilter(FloodFilter().filter)
    level = LEVELS.get(environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return context
