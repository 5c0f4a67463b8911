"""`pepperlatch console` and `pepperlatch report`: the options read, the copy made, one of the faces shown."""

import sys
from datetime import tzinfo
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import trio

from pepperlatch.command import output
from pepperlatch.command.service import OK, REFUSED, NoAnswer, Service
from pepperlatch.console import picture
from pepperlatch.console.feed import Feed, Shown, Wants
from pepperlatch.console.mirror import Ask, Mirror, Refused, Silent
from pepperlatch.console.rows import BadQuery, plain
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


def _request_function(talk: Any, timeout_s: float, say: Any) -> Ask:
    """Compressed answers, one node after the other; what cannot be had is said by the mirror's own exceptions."""
    network = HttpNetwork(core.MAX_CLIENT_CONNECTIONS, gzip=True)
    service = Service(talk.service.nodes, timeout_s, say, network)

    async def ask(method: str, path: str) -> tuple[int, Any]:
        try:
            return await service.ask(method, path)
        except NoAnswer as error:
            raise Silent(str(error)) from None

    return ask


def watch(talk: Any, words: str, zone_name: str, once: bool) -> int:
    """Until the viewer quits, or once as a plain table."""
    try:
        from pepperlatch.console.terminal import read_filter, run
    except ImportError:
        output.say("the console needs more libraries: pip install 'pepperlatch[console]'")
        return REFUSED
    zone = zone_of(zone_name)
    query = read_filter(words)
    if once:
        return _once(talk, Mirror(_request_function(talk, talk.service.timeout_s, output.say), query), zone)
    if not sys.stdout.isatty():
        output.say("not a terminal: use --once")
        return REFUSED
    mirror = Mirror(_request_function(talk, c.STALE_AFTER_S / 2, lambda text: None), query)
    run(lambda show: Feed(mirror, Wants(query), show), zone)
    return OK


def _once(talk: Any, mirror: Mirror, zone: tzinfo | None) -> int:
    async def look() -> Shown:
        await mirror.complete()
        return await Feed(mirror, Wants(mirror.query), lambda shown: None).look()

    shown = trio.run(look)
    if not shown.head:
        raise NoAnswer(shown.stale)
    if talk.form == "json":
        output.json({**shown.head, "stale": shown.stale, "jobs": plain(shown.rows), **shown.overview})
        return OK
    output.say(f"{picture.day_and_moment(shown.now, zone)}: {picture.headline(shown.overview)}")
    if shown.stale:
        output.say(f"stale: {shown.stale}")
    output.table(picture.JOB_COLUMNS, [picture.job_cells(row, shown.now) for row in shown.rows])
    return OK


def report(talk: Any, file: str, zone_name: str, members: bool, teams: tuple[str, ...], names: bool) -> int:
    """Write the page; an existing file is replaced whole or not at all."""
    try:
        from pepperlatch.console import report as page
    except ImportError:
        output.say("the report needs more libraries: pip install 'pepperlatch[console]'")
        return REFUSED
    from pepperlatch.console.public import Hidden

    zone = zone_of(zone_name)
    mirror = Mirror(_request_function(talk, talk.service.timeout_s, output.say))
    try:
        content = trio.run(page.gather, mirror, 0 if members else c.MAX_REPORT_TIMELINES)
    except Silent as error:
        raise NoAnswer(str(error)) from None
    except (Refused, BadQuery) as error:
        output.say(str(error))
        return REFUSED
    if members:
        content = page.for_members(content, Hidden(names, list(teams)))
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
