"""The JSON form of log lines, and the filter that drops repeated lines and counts them."""

import io
import logging

import orjson

from pepperlatch import logs
from pepperlatch.constants import core as c


def test_a_json_line_holds_node_token_and_extra_fields() -> None:
    stream = io.StringIO()
    saved = logging.root.handlers[:], logging.root.level
    try:
        context = logs.configure("perch-1", {"LOG_FORMAT": "json", "LOG_LEVEL": "info"}, stream)
        log = logging.getLogger("pepperlatch.policy.cluster")
        log.info("return %s: %s", 'n-1"\n', "idle", extra={"machine": 'n-1"\n'})
        context.token = lambda: 41
        try:
            raise ValueError("a mistake")
        except ValueError:
            log.exception("it failed")
        log.debug("not said")
    finally:
        logging.root.handlers[:], logging.root.level = saved
    first, second = [orjson.loads(line) for line in stream.getvalue().splitlines()]
    assert first["event"] == 'return n-1"\n: idle' and first["machine"] == 'n-1"\n' and "token" not in first
    assert (first["node"], first["level"], first["logger"]) == ("perch-1", "info", "policy.cluster")
    assert second["token"] == 41 and "ValueError: a mistake" in second["trace"]


def test_repeated_lines_are_dropped_and_counted_while_others_pass() -> None:
    now = 0.0
    flood = logs.FloodFilter(lambda: now)
    template = "place %s"

    def filtered(text: str = template, level: int = logging.INFO) -> logging.LogRecord | None:
        record = logging.LogRecord("x", level, "f", 1, text, ("run-1/0",), None)
        return record if flood.filter(record) else None

    passed = sum(filtered() is not None for _ in range(int(c.LOG_BURST_LINES) + 500))
    assert passed == c.LOG_BURST_LINES
    assert filtered("end %s") is not None
    assert filtered(level=logging.ERROR) is not None
    now = 1.0
    after = filtered()
    assert after is not None and after.getMessage() == "place run-1/0 (500 similar lines left out before this one)"
