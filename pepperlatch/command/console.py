"""`pepperlatch console` and `pepperlatch report`: the options read, the copy made, one of the faces shown."""

import sys
from datetime import tzinfo
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import trio

from pepperlatch.command import output
from pepperlatch.command.service import OK, REFUSED, NoAnswer, Service
from pepperlatch.console import formatting
from pepperlatch.console.poller import Poller, Selection, ViewState
from pepperlatch.console.rows import BadQuery, to_builtins
from pepperlatch.console.view_copy import AskFunction, NoNodeAnswered, ViewCopy, ViewRefused
from pepperlatch.constants import console as c
from pepperlatch.constants import core
from pepperlatch.protocol.http.client import HttpNetwork


def zone_of(name: str) -> tzinfo | None:
    """None: the machine's own. Raises ValueError for a zone that the tz database does not have."""
    if not name:
        return None
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError):
        raise ValueError(f"{name}: no such time zone") from None


def _asking(talk: Any, timeout_s: float, say: Any) -> AskFunction:
    """Compressed answers, one node after the other; what cannot be had is said by the mirror's own exceptions."""
    network = HttpNetwork(core.MAX_CLIENT_CONNECTIONS, gzip=True)
    service = Service(talk.service.nodes, timeout_s, say, network)

    async def ask(method: str, path: str) -> tuple[int, Any]:
        try:
            return await service.ask(method, path)
        except NoAnswer as error:
            raise NoNodeAnswered(str(error)) from None

    return ask


def watch(talk: Any, words: str, zone_name: str, once: bool) -> int:
    """Until the viewer quits, or once as a plain table."""
    try:
        from pepperlatch.console.terminal import parse_filter, run
    except ImportError:
        output.say("the console needs more libraries: pip install 'pepperlatch[console]'")
        return REFUSED
    zone = zone_of(zone_name)
    query = parse_filter(words)
    if once:
        return _once(talk, ViewCopy(_asking(talk, talk.service.timeout_s, output.say), query), zone)
    if not sys.stdout.isatty():
        output.say("not a terminal: use --once")
        return REFUSED
    view_copy = ViewCopy(_asking(talk, c.STALE_AFTER_S / 2, lambda text: None), query)
    run(lambda show: Poller(view_copy, Selection(query), show), zone)
    return OK


def _once(talk: Any, view_copy: ViewCopy, zone: tzinfo | None) -> int:
    async def look() -> ViewState:
        await view_copy.load_complete()
        return await Poller(view_copy, Selection(view_copy.query), lambda view_state: None).poll_once()

    view_state = trio.run(look)
    if not view_state.head:
        raise NoAnswer(view_state.stale)
    if talk.form == "json":
        output.json(
            {**view_state.head, "stale": view_state.stale, "jobs": to_builtins(view_state.rows), **view_state.overview}
        )
        return OK
    output.say(f"{formatting.date_time_text(view_state.now, zone)}: {formatting.headline(view_state.overview)}")
    if view_state.stale:
        output.say(f"stale: {view_state.stale}")
    output.table(formatting.JOB_COLUMNS, [formatting.job_cells(row, view_state.now) for row in view_state.rows])
    return OK


def report(talk: Any, file: str, zone_name: str, members: bool, teams: tuple[str, ...], names: bool) -> int:
    """Write the page; an existing file is replaced whole or not at all."""
    try:
        from pepperlatch.console import report as page
    except ImportError:
        output.say("the report needs more libraries: pip install 'pepperlatch[console]'")
        return REFUSED
    from pepperlatch.console.public import Redactor

    zone = zone_of(zone_name)
    view_copy = ViewCopy(_asking(talk, talk.service.timeout_s, output.say))
    try:
        content = trio.run(page.gather, view_copy, 0 if members else c.MAX_REPORT_TIMELINES)
    except NoNodeAnswered as error:
        raise NoAnswer(str(error)) from None
    except (ViewRefused, BadQuery) as error:
        output.say(str(error))
        return REFUSED
    if members:
        content = page.for_members(content, Redactor(names, list(teams)))
    text = page.render(content, zone)
    if file == "-":
        print(text)
        return OK
    target = Path(file)
    beside = target.with_name(target.name + ".part")
    beside.write_text(text, "utf-8")
    beside.replace(target)
    output.say(f"{file}: {len(content.rows)} jobs, {len(text.encode('utf-8')) / 1000:.0f} KB")
    return OK
