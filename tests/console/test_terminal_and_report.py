"""Terminal and report show the same texts from the same model, escape users' names, and work at any size."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from html.parser import HTMLParser
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo

import msgspec
import pytest
import trio

from pepperlatch.command import cli
from pepperlatch.console import formatting, report
from pepperlatch.console.poller import Poller, Selection, ViewState
from pepperlatch.console.public import Redactor
from pepperlatch.console.rows import BadQuery, JobRow, Query
from pepperlatch.console.terminal import ConsoleApp, LiveConsoleApp, Table, parse_filter
from pepperlatch.console.view_copy import ViewCopy
from pepperlatch.constants import console as c
from tests.console.helpers import console_extension, mixed_workload, view_copy_of
from tests.fakes import World, job, run_scenario

ZONE = ZoneInfo("Asia/Amman")
HOSTILE = '"><script>alert(1)</script>{{7*7}}'
HEAD = {"node": "perch-1", "leader": "perch-0", "token": 7, "revision": 3, "at": 1e9, "age_s": 0.0, "version": "x"}


class Page(HTMLParser):
    """Parses a report: open tags, wrong tags and attributes, texts of rows, scripts, and resources that it fetches."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.open: list[str] = []
        self.wrong: list[str] = []
        self.scripts: list[str] = []
        self.fetched: list[str] = []
        self.rows: list[list[str]] = []
        self.cells = 0
        self.feed(text)
        self.close()

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.fetched += [f"{tag} {name}" for name, _ in attrs if name in ("src", "href", "action", "data", "poster")]
        self.wrong += [f"{tag} {name}" for name, _ in attrs if name.startswith("on")]
        if tag == "tr":
            self.rows.append([])
        if tag == "td":
            self.rows[-1].append("")
        if tag not in ("meta", "input", "br"):
            self.open.append(tag)

    def handle_endtag(self, tag: str) -> None:
        if not self.open or self.open.pop() != tag:
            self.wrong.append(f"/{tag}")

    def handle_data(self, data: str) -> None:
        if self.open[-1:] == ["script"]:
            self.scripts.append(data)
        if self.open[-1:] == ["td"]:
            self.rows[-1][-1] += data


def row(number: int, **changes: Any) -> JobRow:
    plain = {"team": "red", "job_class": "x", "kind": "sweep", "priority": "standard", "state": "queued", "tasks": 4}
    reason = {"why": "team-limit", "text": "team limit: red uses 32 of 32 CPUs", "at": 1e9 - 500, "since": 1e9 - 400}
    return JobRow(f"run-{number:06d}", **{**plain, **reason, "waiting": 4, **changes})


def content(rows: list[JobRow]) -> report.Content:
    waits = [{"why": "team-limit", "jobs": len(rows), "tasks": 4 * len(rows), "since": 1e9 - 400}]
    return report.Content(HEAD, rows, {"states": {"queued": len(rows)}, "waits": waits})


def run_with_console(scenario: Callable[[World], Awaitable[None]]) -> None:
    run_scenario(scenario, extensions=(console_extension,))


def test_terminal_report_and_plain_table_show_the_same_for_every_job() -> None:
    found: dict[str, Any] = {}

    async def scenario(world: World) -> None:
        for one in mixed_workload():
            await world.submit(one)
        await trio.sleep(20.0)
        view_copy = view_copy_of(world)
        found["view_state"] = await Poller(
            view_copy, Selection(view_copy.query, "jobs"), lambda view_state: None
        ).poll_once()
        found["content"] = await report.gather(view_copy)

    run_with_console(scenario)
    view_state, page = found["view_state"], Page(report.render(found["content"], ZONE))
    by_page = {cells[0]: cells for cells in page.rows if cells and cells[0].startswith("run-")}
    by_console = {cells[0]: cells for cells in terminal_rows(view_state, (140, 40))}
    assert len(by_console) == len(view_state.rows) >= 11
    for each in view_state.rows:
        reason = formatting.reason_text(each, view_state.now)
        assert by_console[each.id][4] == reason == formatting.job_cells(each, view_state.now)[4]
        assert by_page[each.id][-1] == reason and by_page[each.id][4] == each.state


def terminal_rows(view_state: ViewState, size: tuple[int, int]) -> list[list[str]]:
    """The cells of the list of jobs on a terminal of that size."""

    async def run() -> list[list[str]]:
        app = ConsoleApp(lambda selection: None, ZONE, Selection(parse_filter(""), "jobs"))
        async with app.run_test(size=size) as pilot:
            app.show(view_state)
            await pilot.pause()
            table = app.query_one("#table-jobs", Table)
            return [[str(cell) for cell in table.get_row_at(n)] for n in range(table.row_count)]

    return asyncio.run(run())


def view_state_of(rows: list[JobRow], **more: Any) -> ViewState:
    overview = content(rows).overview
    return ViewState(1e9, HEAD, rows, overview, more.pop("stale", ""), False, **more)


def test_hostile_names_are_shown_as_text_in_terminal_and_report() -> None:
    bad = row(1, job_class=HOSTILE, team=HOSTILE, text=f"waits for {HOSTILE}")
    text = report.render(content([bad, row(2)]), ZONE, title=HOSTILE)
    page = Page(text)
    assert len(page.scripts) == 1 and "alert" not in page.scripts[0]
    assert page.wrong == [] and page.open == [] and page.fetched == []
    assert [cells for cells in page.rows if HOSTILE in cells] and "{{7*7}}" in text
    assert terminal_rows(view_state_of([row(3, text="[bold]x[/bold]")]), (140, 24))[0][4] == "[bold]x[/bold]"


def test_a_report_of_ten_thousand_jobs_is_small_complete_and_grouped() -> None:
    whys = ("team-limit", "no-capacity", "booting")
    rows = [row(n, why=whys[n % 3], job_class=f"class-{n % 7}") for n in range(10_000)]
    text = report.render(content(rows), ZONE)
    assert len(text.encode("utf-8")) < 5_000_000
    page = Page(text)
    assert sum(1 for cells in page.rows if cells and cells[0].startswith("run-")) == 10_000
    assert text.count('<details class="group"') == 3 and page.wrong == [] and page.fetched == []
    assert "viewport" in text and "prefers-color-scheme: dark" in text and "Asia/Amman (EEST)" in text


def test_each_bar_has_its_own_marks() -> None:
    """Guards against every team's guarantee being marked on the first team's bar."""
    names = ("cpus", "cpus_guaranteed", "cpus_limit", "gpus", "gpus_guaranteed", "gpus_limit", "cpus_unseen")
    teams = [{"name": name, **dict.fromkeys(names, 8.0)} for name in ("red", "blue")]
    page_content = content([row(1)])
    page_content.overview["teams"] = teams
    text = report.render(page_content, ZONE)
    tops = [int(top) for top in re.findall(r'<line [^>]*y1="(\d+)"', text)]
    assert len(tops) == 2 and tops[1] - tops[0] == 44
    assert "4 tasks of 1 job<" in text


def test_members_report_has_pseudonyms_and_only_shown_teams() -> None:
    rows = [row(1, text="waits for run-000002"), row(2, team="blue")]
    text = report.render(report.for_members(content(rows), Redactor(False, ["red"], b"k" * 16)), ZONE)
    assert "run-0" not in text and "blue" not in text
    jobs = [cells for cells in Page(text).rows if cells and cells[0].startswith("job-")]
    assert len(jobs) == 1 and jobs[0][-1].startswith("waits for job-")


def test_the_console_works_at_80_by_24_without_colour(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("NO_COLOR", "1")
    selections: list[Selection] = []

    async def run() -> None:
        app = ConsoleApp(selections.append, ZONE)
        async with app.run_test(size=(80, 24)) as pilot:
            await pilot.press("2")
            rows = [row(n) for n in range(2 * c.MAX_TERMINAL_ROWS)]
            app.show(view_state_of(rows, stale="perch-0 cannot be reached"))
            await pilot.pause()
            table = app.query_one("#table-jobs", Table)
            assert table.row_count == c.MAX_TERMINAL_ROWS
            assert [str(column.label) for column in table.columns.values()] == list(formatting.NARROW_COLUMNS)
            assert "STALE: perch-0" in str(app.query_one("#stale").render())
            table.move_cursor(row=5)
            app.show(view_state_of(rows[3:]))  # the cursor stays with its job
            await pilot.pause()
            assert table.current_key() == "run-000005"
            assert str(app.query_one("#reason").render()) == "team limit: red uses 32 of 32 CPUs"
            await pilot.press("slash", *"team:red why:team-limit 12", "enter")
            await pilot.pause()
            assert selections[-1].query == parse_filter("team:red why:team-limit 12")
            table.focus()
            await pilot.press("enter")
            await pilot.pause()
            assert selections[-1].view == "job" and selections[-1].job == table.current_key()
            line = [{"at": 1e9 - 400, "what": "reason", "text": "no room"}, {"at": 1e9 - 100, "what": "over"}]
            app.show(
                view_state_of(rows, detail={"line": line, "state": "queued", "changes_when": "soon", "order": None})
            )
            await pilot.pause()
            assert str(app.query_one("#table-job", Table).get_row_at(0)[1]) == "5 min"
            for key in "1456":
                await pilot.press(key)
            assert selections[-1].view == "events" and selections[-1].query.team == "red"  # the filter is kept

    asyncio.run(run())


def test_the_console_and_its_poller_run_in_separate_threads() -> None:
    """Guards against a poller that updates before the screen exists: it ended silently, and the console stood still."""
    asked: list[str] = []

    async def ask(method: str, path: str) -> tuple[int, Any]:
        asked.append(path)
        if path.startswith("/console/overview"):
            return 200, {**HEAD, "source": "leader", **content([row(1)]).overview}
        if path.startswith("/console/jobs/"):
            return 200, {"line": [{"at": 1e9 - 9, "what": "accepted"}], "state": "queued", "order": None}
        if path.startswith("/console/changes"):
            return 200, {**HEAD, "source": "leader", "jobs": [], "gone": [], "upto": 3, "more": False}
        return 200, {**HEAD, "source": "leader", "jobs": [msgspec.to_builtins(row(1))], "next": ""}

    async def until(condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.02)

    async def run() -> None:
        app = LiveConsoleApp(
            lambda show: Poller(ViewCopy(ask, parse_filter("")), Selection(parse_filter("")), show), ZONE
        )
        async with app.run_test(size=(100, 30)) as pilot:
            await until(lambda: bool(app.query_one("#table-overview", Table).row_count))
            await pilot.press("2")
            await until(lambda: app.query_one("#table-jobs", Table).current_key() == "run-000001")
            await pilot.press("enter")
            await until(lambda: app.query_one("#table-job", Table).row_count == 1)
        assert app.failed is None

    asyncio.run(run())
    assert any(path.startswith("/console/jobs/run-000001") for path in asked)


def test_a_bad_filter_names_the_problem() -> None:
    assert parse_filter("priority:urgent dust").text == "dust"
    assert parse_filter("").state == "unfinished"
    with pytest.raises(BadQuery, match="colour: no such field"):
        parse_filter("colour:red")
    with pytest.raises(BadQuery, match="why: must be one of"):
        parse_filter("why:luck")


def test_texts_for_durations_times_and_queue_positions() -> None:
    assert [formatting.duration_text(s) for s in (0, 59.4, 60, 125, 3600, 12_000, 200_000)] == [
        "0 s", "59 s", "1 min", "2 min 5 s", "1 h", "3 h 20 min", "2 d 7 h",
    ]  # fmt: skip
    assert formatting.date_time_text(1e9, ZONE) == "2001-09-09 04:46:40 Asia/Amman (EEST)"
    before = [{"id": "run-1", "team": "red", "priority": "urgent", "tasks": 3}]
    order = {"place": 2, "of": 5, "before": before, "before_by_team": {"red": 1}, "within_guarantee": True}
    assert formatting.queue_position_text(order) == (
        "2 of 5 without a place; within its team's guarantee; before it: 1 of red; first run-1 (urgent, red)"
    )
    later = row(1, why="a-later-reason")
    assert formatting.group_by_reason([later])[0].changes_when == ""


def test_the_command_line_prints_and_writes_what_the_service_shows(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    from pepperlatch.command import console as console_command

    answers: dict[str, Any] = {
        "jobs": {**HEAD, "source": "leader", "jobs": [], "next": "", "pending": 0},
        "overview": {**HEAD, "source": "leader", **content([row(1)]).overview, "teams": [], "machines": []},
        "changes": {**HEAD, "source": "leader", "jobs": [], "gone": [], "upto": 3, "more": False},
        "events": {"events": []},
    }
    answers["jobs"]["jobs"] = [{**msgspec.to_builtins(row(1)), "a_later_field": 1}]

    def request_function(client: Any, timeout_s: float, report_retry: Any) -> Any:
        async def ask(method: str, path: str) -> tuple[int, Any]:
            name = path.removeprefix("/console/").partition("?")[0]
            return (200, answers[name]) if name in answers else (200, {"line": [], "state": "queued", "order": None})

        return ask

    monkeypatch.setattr(console_command, "_request_function", request_function)
    node = ["--node", "127.0.0.1:1"]
    assert cli.main(["console", *node, "--once", "team:red"]) == 0
    printed = capsys.readouterr()
    assert "run-000001" in printed.out and "team limit: red uses 32 of 32 CPUs" in printed.out
    assert cli.main(["console", *node, "--once", "why:luck"]) == 2
    assert cli.main(["console", *node, "--zone", "Nowhere/Town", "--once"]) == 2
    assert cli.main(["report", *node, "-o", str(tmp_path / "r.html"), "--zone", "Asia/Amman"]) == 0
    assert "run-000001" in (tmp_path / "r.html").read_text("utf-8")
    assert cli.main(["report", *node, "-o", str(tmp_path / "m.html"), "--members", "--team", "blue"]) == 0
    assert "run-" not in (tmp_path / "m.html").read_text("utf-8")
    assert cli.main(["report", *node, "-o", str(tmp_path / "n.html"), "--names"]) == 2
    assert [path.name for path in tmp_path.iterdir() if path.suffix != ".html"] == []


def test_rows_of_an_unknown_version_are_rejected_as_a_whole() -> None:
    async def ask(method: str, path: str) -> tuple[int, Any]:
        return 200, {**HEAD, "source": "leader", "jobs": [{"id": 7}], "next": ""}

    async def main() -> None:
        view_copy = ViewCopy(ask, Query())
        view_state = await Poller(view_copy, Selection(Query()), lambda view_state: None).poll_once()
        assert "not known here" in view_state.stale and view_copy.rows == {}

    trio.run(main)


def test_the_view_stays_small_and_current_with_thousands_of_waiting_jobs() -> None:
    """5,000 jobs wait for their team's limit; a new urgent job is on the first page of its priority."""

    async def scenario(world: World) -> None:
        for number in range(0, 5000, 20):
            await submit_all(world, range(number, number + 20))
        await world.submit(job(9_999, urgency="urgent", crew="blue"))
        view_copy = view_copy_of(world, Query(state="unfinished", page=1000, most=c.MAX_CONSOLE_ANSWER_BYTES))
        await view_copy.load_complete()
        assert len(view_copy.rows) >= 4900
        assert all(len(str(row.text)) < 200 for row in view_copy.rows.values())
        urgent = view_copy_of(world, Query(state="unfinished", priority="urgent"))
        await urgent.load_snapshot()
        assert [each.id for each in urgent.rows.values()] == ["run-009999"]

    async def submit_all(world: World, numbers: range) -> None:
        async with trio.open_nursery() as nursery:
            for number in numbers:
                nursery.start_soon(world.submit, job(number, pieces=3, expected_s=300.0))

    run_scenario(scenario, extensions=(console_extension,), write_rps=2000.0)
