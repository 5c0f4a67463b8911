"""The command line's side of the protocol: submit, status, cancel, admin against a running node."""

import argparse
import sys
import time
from pathlib import Path
from typing import Any

import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import admin
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, Lost, NotSent

OK, REFUSED, UNREACHABLE = 0, 1, 3


def run(args: argparse.Namespace) -> int:
    try:
        method, path, body = _request(args)
    except (OSError, ValueError) as error:
        print(f"pepperlatch: {error}", file=sys.stderr)
        return 2
    try:
        status, answer = trio.run(_patiently, args.node, method, path, body)
    except (NotSent, Lost) as error:
        print(f"pepperlatch: no answer: {error}", file=sys.stderr)
        return UNREACHABLE
    print(orjson.dumps(answer, option=orjson.OPT_INDENT_2).decode("utf-8"))
    return OK if status in (200, 201) else REFUSED


def _request(args: argparse.Namespace) -> tuple[str, str, Any]:
    if args.command == "submit":
        text = sys.stdin.read() if args.job == "-" else Path(args.job).read_text("utf-8")
        return "POST", wire.JOBS, orjson.loads(text)
    if args.command == "status":
        return "GET", f"{wire.JOBS}/{args.job}", None
    if args.command == "cancel":
        return "POST", f"{wire.JOBS}/{args.job}/{wire.CANCEL}", None
    if args.what == "view":
        return "GET", admin.VIEW, None
    if args.what == "settings":
        return "GET", admin.SETTINGS, None
    return "PUT", admin.SETTINGS, _changes(args.values)


def _changes(values: list[str]) -> dict[str, Any]:
    pairs = dict(value.split("=", 1) for value in values if "=" in value)
    if len(pairs) != len(values) or "version" not in pairs:
        raise ValueError("wanted: version=N NAME=VALUE ...")
    version = int(pairs.pop("version"))
    return {"version": version, "settings": {name: float(value) for name, value in pairs.items()}}


async def _patiently(node: str, method: str, path: str, body: Any) -> tuple[int, Any]:
    """Repeats what may be repeated, as long as the protocol's users do."""
    network = HttpNetwork(4)
    until = time.monotonic() + c.USER_GIVES_UP_S
    while True:
        try:
            status, answer = await network.request(node, method, path, body, c.USER_WAITS_S)
            if status not in (429, 503, 504) or time.monotonic() > until:
                return status, answer
        except (NotSent, Lost):
            if time.monotonic() > until:
                raise
        await trio.sleep(c.USER_PAUSE_S)
