"""Logging: one event a line on standard error, as text for people or as JSON for programs, with a rate limit.

It uses the standard library's logging, because the usual library for structured logs takes longer to import than a
whole controller takes to start. The variable `LOG_LEVEL` (error, info, debug) sets the level, `LOG_FORMAT` (text, json)
the format. Callers pass an event's own fields in `extra`: `job`, `machine`, `task`, `zone`; node and token are added
here.
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
    """What every log line of a process contains: the node's name, and its term's fencing token while it leads."""

    node: str
    token: Callable[[], int | None] = lambda: None


class JsonFormatter(logging.Formatter):
    """Formats `{"at": ..., "level": ..., "node": ..., "token": ..., "logger": ..., "event": ..., "job": ...}`.

    The token is there only while the node leads, and the fields of `extra` only if the caller passed them.
    """

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
class _EventRate:
    """Rate limit of one kind of event: the lines it may still log, and how many were left out since the last one."""

    tokens: float
    updated_at: float
    left_out: int = 0


@dataclass(slots=True)
class FloodFilter:
    """Passes LOG_BURST_LINES of each kind of event, then LOG_LINES_PER_S; the next line says how many were left out.

    A kind is a place in the code: its logger and its text before the values. Errors always pass. `clock`: steady time
    in seconds.
    """

    clock: Callable[[], float] = time.monotonic
    _rates: dict[tuple[str, str], _EventRate] = field(default_factory=dict)

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record is logged; called by the logging handler."""
        if record.levelno >= logging.ERROR:
            return True
        now = self.clock()
        rate = self._rates.setdefault((record.name, str(record.msg)), _EventRate(c.LOG_BURST_LINES, now))
        rate.tokens, rate.updated_at = (
            min(c.LOG_BURST_LINES, rate.tokens + (now - rate.updated_at) * c.LOG_LINES_PER_S),
            now,
        )
        if rate.tokens < 1:
            rate.left_out += 1
            return False
        rate.tokens -= 1
        if rate.left_out:
            record.msg, record.args = (
                f"{record.getMessage()} ({rate.left_out} similar lines left out before this one)",
                None,
            )
            rate.left_out = 0
        return True


def configure(node: str, environ: Mapping[str, str], stream: TextIO = sys.stderr) -> LogContext:
    """Set up the logging of this process. Unknown values of the variables mean level `error` and format `text`.

    The caller sets `token` of the returned context once it can tell the term that it leads.
    """
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
