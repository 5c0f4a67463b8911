"""`pepperlatch console` and `pepperlatch report`: fetch the jobs that the service shows and present them."""

import sys
from datetime import tzinfo
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import trio

from pepperlatch.command import output
from pepperlatch.command.retrying_client import OK, REFUSED, NoAnswer, RetryingClient
from pepperlatch.console import formatting
from pepperlatch.console.poller import Poller, Selection, ViewState
from pepperlatch.console.rows import BadQuery, to_builtins
from pepperlatch.console.view_copy import AskFunction, NoNodeAnswered, ViewCopy, ViewRefused
from pepperlatch.constants import console as c
from pepperlatch.constants import core
from pepperlatch.protocol.http.client import HttpNetwork


def time_zone(name: str) -> tzinfo | None:
    """The named time zone; None, which stands for the machine's own, for an empty name.

    Raises ValueError for a zone that the tz database does not have.
    """
    if not name:
        return None
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError):
        raise ValueError(f"{name}: no such time zone") from None


def _request_function(client: Any, timeout_s: float, report_retry: Any) -> AskFunction:
    """The function through which a `ViewCopy` sends requests: tries the client's nodes in turn for `timeout_s` seconds.

    Answers may be compressed. It raises NoNodeAnswered if no node gives a final response in time. `report_retry` is
    called with a text before each pause.
    """
    network = HttpNetwork(core.MAX_CLIENT_CONNECTIONS, gzip=True)
    http = RetryingClient(client.http.nodes, timeout_s, report_retry, network)

    async def request(method: str, path: str) -> tuple[int, Any]:
        try:
            return await http.request(method, path)
        except NoAnswer as error:
            raise NoNodeAnswered(str(error)) from None

    return request


def run_console(client: Any, filter_text: str, zone_name: str, once: bool) -> int:
    """Show the jobs that match the filter until the viewer quits, or print them once; returns the exit code.

    Raises ValueError for a wrong filter or time zone, and with `once` also what `_print_once` raises.
    """
    try:
        from pepperlatch.console.terminal import parse_filter, run
    except ImportError:
        output.print_message("the console needs more libraries: pip install 'pepperlatch[console]'")
        return REFUSED
    zone = time_zone(zone_name)
    query = parse_filter(filter_text)
    if once:
        return _print_once(
            client, ViewCopy(_request_function(client, client.http.timeout_s, output.print_message), query), zone
        )
    if not sys.stdout.isatty():
        output.print_message("not a terminal: use --once")
        return REFUSED
    view_copy = ViewCopy(_request_function(client, c.STALE_AFTER_S / 2, lambda text: None), query)
    run(lambda show: Poller(view_copy, Selection(query), show), zone)
    return OK


def _print_once(client: Any, view_copy: ViewCopy, zone: tzinfo | None) -> int:
    """Print the jobs, as a table or as JSON.

    Raises NoNodeAnswered or ViewRefused, or NoAnswer if nothing could be fetched.
    """

    async def fetch() -> ViewState:
        await view_copy.load_complete()
        return await Poller(view_copy, Selection(view_copy.query), lambda view_state: None).poll_once()

    view_state = trio.run(fetch)
    if not view_state.head:
        raise NoAnswer(view_state.stale)
    if client.output_format == "json":
        output.print_json(
            {**view_state.head, "stale": view_state.stale, "jobs": to_builtins(view_state.rows), **view_state.overview}
        )
        return OK
    output.print_message(
        f"{formatting.date_time_text(view_state.now, zone)}: {formatting.headline(view_state.overview)}"
    )
    if view_state.stale:
        output.print_message(f"stale: {view_state.stale}")
    output.print_table(formatting.JOB_COLUMNS, [formatting.job_cells(row, view_state.now) for row in view_state.rows])
    return OK


def report(client: Any, file: str, zone_name: str, members: bool, teams: tuple[str, ...], names: bool) -> int:
    """Write the page to a file, `-` for standard output; returns the exit code. Raises NoAnswer.

    An existing file is replaced whole or not at all. With `members` the page holds jobs only: those of `teams`, or of
    all teams if that is empty, with pseudonyms in place of the jobs' names unless `names` is true.
    """
    try:
        from pepperlatch.console import report as report_page
    except ImportError:
        output.print_message("the report needs more libraries: pip install 'pepperlatch[console]'")
        return REFUSED
    from pepperlatch.console.public import Redactor

    zone = time_zone(zone_name)
    view_copy = ViewCopy(_request_function(client, client.http.timeout_s, output.print_message))
    try:
        content = trio.run(report_page.gather, view_copy, 0 if members else c.MAX_REPORT_TIMELINES)
    except NoNodeAnswered as error:
        raise NoAnswer(str(error)) from None
    except (ViewRefused, BadQuery) as error:
        output.print_message(str(error))
        return REFUSED
    if members:
        content = report_page.for_members(content, Redactor(names, list(teams)))
    text = report_page.render(content, zone)
    if file == "-":
        print(text)
        return OK
    target = Path(file)
    temporary = target.with_name(target.name + ".part")
    temporary.write_text(text, "utf-8")
    temporary.replace(target)
    output.print_message(f"{file}: {len(content.rows)} jobs, {len(text.encode('utf-8')) / 1000:.0f} KB")
    return OK
