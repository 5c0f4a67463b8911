"""The console on a terminal: overview, jobs, one job's time line, machines, teams, events.

The poller runs in a thread of its own: it passes complete view states to the terminal and gets the selection from it.
"""

import threading
from collections.abc import Callable, Sequence
from datetime import tzinfo
from typing import Any, ClassVar
from urllib.parse import urlencode

import msgspec
import trio
from rich.text import Text
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import Vertical
from textual.widgets import DataTable, Footer, Input, Static, TabbedContent, TabPane

from pepperlatch.console import formatting
from pepperlatch.console.poller import Poller, Selection, ViewState
from pepperlatch.console.rows import BadQuery, Query, parse_query
from pepperlatch.constants import console as c

PollerFactory = Callable[[Callable[[ViewState], None]], Poller]
NARROW_BELOW_COLUMNS = 110  # terminal width; narrower ones get NARROW_COLUMNS
_VIEWS = ("overview", "jobs", "job", "machines", "teams", "events")


def parse_filter(text: str, page: int = c.MAX_PAGE_ROWS) -> Query:
    """Parses a filter such as `team:web-services priority:urgent why:team-limit words`. Raises BadQuery."""
    fields: dict[str, str] = {}
    words = []
    for word in text.split():
        name, colon, value = word.partition(":")
        if colon and name in ("team", "class", "priority", "state", "why"):
            fields[name] = value
        elif colon and name.isalpha():
            raise BadQuery(f"{name}: no such field; team, class, priority, state, why, or words")
        else:
            words.append(word)
    parsed, _ = parse_query(urlencode({"state": "unfinished", **fields, "text": " ".join(words)}))
    return msgspec.structs.replace(parsed, page=page, most=c.MAX_CONSOLE_ANSWER_BYTES)


class Table(DataTable[Text]):
    """A table whose rows are all replaced at each update; the cursor stays on the row with the same first cell."""

    def replace_rows(self, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
        """Show these rows, and these columns if they differ from the present ones."""
        key = self.current_key()
        if [str(column.label) for column in self.columns.values()] != list(columns):
            self.clear(columns=True)
            for column in columns:
                self.add_column(column)
        else:
            self.clear()
        for n, row in enumerate(rows):
            self.add_row(*(Text(cell) for cell in row), key=f"{n}:{row[0]}")
        if key and (at := next((n for n, row in enumerate(rows) if row[0] == key), None)) is not None:
            self.move_cursor(row=at, animate=False)

    def current_key(self) -> str:
        """The first cell of the row under the cursor."""
        if not self.row_count:
            return ""
        return str(self.get_row_at(self.cursor_row)[0])


class ConsoleApp(App[None]):
    """The terminal application. It calls `on_select` when the selection changes; `show` displays a view state."""

    CSS = """
    Screen { overflow: hidden; }
    #views { height: 1fr; }
    #head { height: 1; }
    #stale { height: auto; text-style: reverse; }
    #summary { height: auto; padding: 0 0 1 0; }
    Table { height: 1fr; }
    #filter { height: 3; }
    """
    TITLE = "pepperlatch"
    ENABLE_COMMAND_PALETTE = False
    BINDINGS: ClassVar[list[BindingType]] = [
        *(Binding(str(n + 1), f"view('{view}')", view) for n, view in enumerate(_VIEWS)),
        Binding("slash", "filter", "filter"),
        Binding("escape", "leave", "back", show=False),
        Binding("q", "quit", "quit"),
    ]

    def __init__(
        self, on_select: Callable[[Selection], None], zone: tzinfo | None = None, selection: Selection | None = None
    ) -> None:
        super().__init__()
        self._on_select = on_select
        self._zone = zone
        self._selection = selection or Selection(parse_filter(""))
        self._last_state: ViewState | None = None

    def compose(self) -> ComposeResult:
        yield Static("asking ...", id="head", markup=False)
        yield Static("", id="stale", markup=False)
        with TabbedContent(initial=self._selection.view, id="views"):
            for view in _VIEWS:
                with TabPane(view, id=view), Vertical():
                    if view == "jobs":
                        yield Input(placeholder="team:... class:... priority:... why:... or words", id="filter")
                    yield Static("", id=f"summary-{view}", markup=False)
                    yield Table(id=f"table-{view}", cursor_type="row", zebra_stripes=True)
                    if view == "jobs":
                        # The full reason of the row under the cursor, which a narrow column cuts off.
                        yield Static("", id="reason", markup=False)
        yield Footer()

    # --- input ------------------------------------------------------------------------------------

    def action_view(self, view: str) -> None:
        self.query_one("#views", TabbedContent).active = view
        self._table(view).focus()  # a hidden table with the focus would switch back to its own view
        self._select_view(view)

    def action_filter(self) -> None:
        self.action_view("jobs")
        self.query_one("#filter", Input).focus()

    def action_leave(self) -> None:
        self.action_view("jobs" if self._selection.view == "job" else self._selection.view)
        self._table("jobs").focus()

    def on_tabbed_content_tab_activated(self, event: TabbedContent.TabActivated) -> None:
        if event.pane.id and event.pane.id != self._selection.view:
            self._select_view(event.pane.id)

    def on_input_submitted(self, event: Input.Submitted) -> None:
        try:
            query = parse_filter(event.value)
        except BadQuery as error:
            self.query_one("#summary-jobs", Static).update(str(error))
            return
        self._selection = Selection(query, "jobs", self._selection.job)
        self._on_select(self._selection)
        self._table("jobs").focus()

    def on_data_table_row_highlighted(self, event: DataTable.RowHighlighted) -> None:
        if event.data_table.id == "table-jobs" and self._last_state is not None:
            job = self._table("jobs").current_key()
            row = next((row for row in self._last_state.rows if row.id == job), None)
            self.query_one("#reason", Static).update(formatting.reason_text(row, self._last_state.now) if row else "")

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        table = event.data_table
        if table.id == "table-jobs" and isinstance(table, Table) and (job := table.current_key()):
            self._selection = Selection(self._selection.query, "job", job)
            self.action_view("job")

    def _select_view(self, view: str) -> None:
        """Report the new selection, and show the last view state until the next poll."""
        self._selection = Selection(self._selection.query, view, self._selection.job)
        self._on_select(self._selection)
        if self._last_state is not None:
            self.show(self._last_state)

    # --- output -----------------------------------------------------------------------------------

    def _table(self, view: str) -> Table:
        return self.query_one(f"#table-{view}", Table)

    def show(self, view_state: ViewState) -> None:
        """Display a view state. Must be called in the terminal's own thread."""
        self._last_state = view_state
        self.query_one("#head", Static).update(_header_text(view_state, self._zone))
        self.query_one("#stale", Static).update(f"STALE: {view_state.stale}" if view_state.stale else "")
        if view_state.head:
            summary, columns, rows = self._content(view_state)
            self.query_one(f"#summary-{self._selection.view}", Static).update(summary)
            self._table(self._selection.view).replace_rows(columns, rows)

    def _content(self, view_state: ViewState) -> tuple[str, Sequence[str], list[list[str]]]:
        """The selected view: the text above its table, and the table's columns and rows."""
        view, overview = self._selection.view, view_state.overview
        if view == "jobs":
            return self._jobs_content(view_state)
        if view == "job":
            return self._job_content(view_state)
        if view == "machines":
            counts = formatting.machine_counts(overview.get("machines", []))
            summary = ", ".join(f"{count} {state}" for state, count in counts.items())
            return summary, formatting.MACHINE_COLUMNS, formatting.machine_cells(view_state.listing)
        if view == "teams":
            return "", formatting.TEAM_COLUMNS, formatting.team_cells(overview.get("teams", []))
        if view == "events":
            return "", formatting.EVENT_COLUMNS, formatting.event_cells(view_state.listing, self._zone)
        waits = formatting.wait_cells(overview.get("waits", []), view_state.now)
        return formatting.headline(overview), formatting.WAIT_COLUMNS, waits

    def _jobs_content(self, view_state: ViewState) -> tuple[str, Sequence[str], list[list[str]]]:
        found = view_state.rows[: c.MAX_TERMINAL_ROWS]
        more = len(view_state.rows) - len(found)
        summary = f"{len(view_state.rows)} jobs" + (f", the first {len(found)} shown: filter with /" if more else "")
        if view_state.behind:
            summary += "; more has changed than this link is sent, the rest follows"
        rows = [formatting.job_cells(row, view_state.now) for row in found]
        columns = formatting.JOB_COLUMNS if self.size.width >= NARROW_BELOW_COLUMNS else formatting.NARROW_COLUMNS
        return summary, columns, [row[: len(columns)] for row in rows]

    def _job_content(self, view_state: ViewState) -> tuple[str, Sequence[str], list[list[str]]]:
        if not self._selection.job:
            return "choose a job with Enter in the list", formatting.TIMELINE_COLUMNS, []
        lines = [f"{self._selection.job}: {view_state.detail.get('state', '...')}"]
        row = next((row for row in view_state.rows if row.id == self._selection.job), None)
        if row is not None:
            lines.append(formatting.reason_text(row, view_state.now))
            lines.append(f"this changes when: {view_state.detail.get('changes_when', '')}")
        lines.append(formatting.queue_position_text(view_state.detail.get("order")))
        line = view_state.detail.get("line", [])[-c.MAX_TIMELINE_RECORDS_SHOWN :]
        cells = formatting.timeline_cells(line, self._zone, view_state.now)
        return "\n".join(text for text in lines if text), formatting.TIMELINE_COLUMNS, cells


def _header_text(view_state: ViewState, zone: tzinfo | None) -> str:
    if not view_state.head:
        return "nobody has answered yet"
    head = view_state.head
    at = formatting.date_time_text(head["at"], zone) if head.get("at") else ""
    return f"{at}  {head.get('leader') or 'nobody'} leads, seen at {head.get('node')}"


class LiveConsoleApp(ConsoleApp):
    """The console with its poller, which starts in a thread of its own when the screen is mounted.

    If the poller fails, the console exits and `failed` holds the exception.
    """

    def __init__(self, create_poller: PollerFactory, zone: tzinfo | None, selection: Selection | None = None) -> None:
        super().__init__(self._forward_selection, zone, selection)
        self._poller = create_poller(self._on_view_state)
        self._trio_token: Any = None
        self._unmounted = False
        self.failed: BaseException | None = None

    def on_mount(self) -> None:
        threading.Thread(target=self._run_poller, daemon=True).start()

    def on_unmount(self) -> None:
        self._unmounted = True

    def _forward_selection(self, selection: Selection) -> None:
        if self._trio_token is not None and self.failed is None:
            self._trio_token.run_sync_soon(self._poller.select, selection)

    def _on_view_state(self, view_state: ViewState) -> None:
        """Pass a view state to the terminal. Called in the poller's thread.

        That thread starts only when the screen is mounted: a call before the screen exists would end the poller
        silently.
        """
        if not self._unmounted:
            self.call_from_thread(self.show, view_state)

    def _run_poller(self) -> None:
        async def main() -> None:
            self._trio_token = trio.lowlevel.current_trio_token()
            await self._poller.run()

        try:
            trio.run(main)
        except BaseException as error:
            self.failed = error
            if not self._unmounted:
                self.call_from_thread(self.exit)


def run(create_poller: PollerFactory, zone: tzinfo | None) -> None:
    """Run the console until the viewer quits. `create_poller` makes a poller that calls the function given to it.

    Raises the exception with which the poller failed, unless it is a RuntimeError.
    """
    app = LiveConsoleApp(create_poller, zone)
    app.run()
    if app.failed is not None and not isinstance(app.failed, RuntimeError):
        raise app.failed
