"""The subcommands of `pepperlatch pipeline`.

Functions that return an int print their result and return the exit code. Those that take a `Client` raise NoAnswer if
no node gives a final response in time.
"""

import math
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import trio

from pepperlatch.command import output
from pepperlatch.command.client import DONE, Client
from pepperlatch.command.retrying_client import OK, REFUSED, USAGE, poll_until
from pepperlatch.constants import pipelines as c
from pepperlatch.pipelines import plan as plans
from pepperlatch.protocol import wire

if TYPE_CHECKING:
    from pepperlatch.pipelines.compile import CompiledFile

PIPELINES_PATH, SCHEDULES_PATH = "/pipelines", "/schedules"
FINAL_STATUSES = {DONE, wire.JobState.CANCELLED.value, "refused", "cancelled"}  # of a run


def read_pipeline_file(file: str, key: str | None, team: str | None = None) -> "CompiledFile":
    """The plan and schedule of a pipeline file, `-` for standard input.

    `key` overrides the key in the file; `team` is for jobs whose team the file does not name, None for the team of the
    preferences. If the file has mistakes, prints up to MAX_ERRORS_SHOWN of them with their places and ends the command
    with exit code 2.
    """
    from pepperlatch.command import preferences
    from pepperlatch.pipelines.compile import compile_file
    from pepperlatch.pipelines.document import InvalidFile

    data = sys.stdin.buffer.read(c.MAX_FILE_BYTES + 1) if file == "-" else _read_bytes(file)
    try:
        return compile_file(data, key, preferences.load().team if team is None else team)
    except InvalidFile as error:
        for mistake in error.mistakes[: c.MAX_ERRORS_SHOWN]:
            click.echo(mistake.format("standard input" if file == "-" else file), err=True)
        if (more := len(error.mistakes) - c.MAX_ERRORS_SHOWN) > 0:
            click.echo(f"and {more} more", err=True)
        raise click.exceptions.Exit(USAGE) from None


def _read_bytes(file: str) -> bytes:
    """The file's content, cut one byte above the bound so that a larger file is recognized."""
    with Path(file).open("rb") as stream:
        return stream.read(c.MAX_FILE_BYTES + 1)


def show_plan(plan: plans.Plan, output_format: str) -> int:
    """Print the steps in sending order with start, end and slack; warn if the estimates miss the deadline."""
    spec_of_step, times = plans.job_specs(plan), plans.timing(plan)
    steps = {step.name: step for step in plan.steps}
    if output_format == "json":
        rows = [
            {"step": name, "needs": steps[name].needs, "starts_s": times[name].starts_s, "ends_s": times[name].ends_s,
             "slack_s": times[name].slack_s if math.isfinite(times[name].slack_s) else None,
             "job": wire.to_plain(spec)}
            for name, spec in spec_of_step.items()
        ]  # fmt: skip
        output.print_json({"run": plan.run_name, "steps": rows})
        return OK
    columns = ("step", "job", "tasks", "needs", "starts", "ends", "to spare")
    table = [
        (name, spec.id, spec.tasks, ", ".join(steps[name].needs), output.format_seconds(times[name].starts_s),
         output.format_seconds(times[name].ends_s), output.format_seconds(times[name].slack_s))
        for name, spec in spec_of_step.items()
    ]  # fmt: skip
    output.print_table(columns, table, plan.run_name)
    late = [name for name, time in times.items() if time.slack_s < 0]
    if late:
        output.print_message(f"by its estimates the deadline cannot be met: {', '.join(late[:5])}")
    return OK


def run(client: Client, plan: plans.Plan, wait: bool) -> int:
    """Submit a plan and print its run, with `wait` once it is over.

    Submitting the same plan again creates only the jobs that are missing.
    """
    return _start_run(client, "PUT", f"{PIPELINES_PATH}/{plan.run_name}", {"plan": _pack(plan)}, wait)


def _pack(plan: plans.Plan) -> str:
    """The plan as it is sent. Raises ValueError if that is longer than the service accepts."""
    packed = plans.pack(plan)
    if len(packed) > c.MAX_PACKED_PLAN_CHARS:
        raise ValueError(f"the plan is {len(packed)} characters packed; at most {c.MAX_PACKED_PLAN_CHARS} are taken")
    return packed


def add_schedule(client: Client, compiled_file: "CompiledFile") -> int:
    """Store the schedule of a file; one of the same name is replaced. Raises ValueError if the file has none."""
    if compiled_file.schedule is None:
        raise ValueError("the file has no `schedule`")
    body = {"plan": _pack(compiled_file.plan), "schedule": compiled_file.schedule}
    return _send_schedule_request(client, "PUT", f"{SCHEDULES_PATH}/{compiled_file.plan.name}", body)


def request_schedules(client: Client, method: str, subpath: str) -> int:
    """Send a request to `/schedules` followed by `subpath`, and print the schedules of its answer."""
    return _send_schedule_request(client, method, SCHEDULES_PATH + subpath)


def _send_schedule_request(client: Client, method: str, path: str, body: Any = None) -> int:
    """Send a request and print the schedule or schedules of its answer."""
    status, answer = client.request(method, path, body)
    if status != 200:
        _print_refusal(client, status, answer)
        return REFUSED
    if client.output_format == "json" or answer.get("removed"):
        output.print_json(answer)
        return OK
    columns = ("schedule", "cron", "timezone", "missed", "paused", "next")
    output.print_table(columns, [[row[column] for column in columns] for row in answer.get("schedules", [answer])])
    return OK


def rerun(client: Client, name: str, from_steps: Sequence[str], wait: bool) -> int:
    """Run again the given steps and those that need them; `name` is NAME[@KEY]."""
    return _start_run(client, "POST", f"{PIPELINES_PATH}/{name}/rerun", {"from": list(from_steps)}, wait)


def _start_run(client: Client, method: str, path: str, body: Any, wait: bool) -> int:
    """Send a request that starts or completes a run, and print the run."""
    status, answer = client.request(method, path, body)
    if status != 200:
        _print_refusal(client, status, answer)
        return REFUSED
    if answer["phase"] != "sent":
        output.print_message(
            f"{answer['run']} is {answer['phase']}; another --key, or `pipeline rerun`, begins it anew"
        )
    return _print_run(client, answer["run"], wait)


def _print_refusal(client: Client, status: int, answer: Any) -> None:
    """Print the reason of a refusal, every place in the file that it names, and the differences from an earlier run.

    The error text and the status show whether the run is unknown or the service has pipelines switched off.
    """
    if client.output_format == "json":
        output.print_json(answer)
        return
    output.print_message(f"{answer.get('error') or answer.get('reason') or 'refused'} ({status})")
    for problem in answer.get("problems", []):
        output.print_message(": ".join(str(problem[name]) for name in ("place", "step", "error") if name in problem))
    for text in answer.get("differs", []):
        output.print_message(text)
    if answer.get("phase") == "refused":
        output.print_message("what had been sent of it was withdrawn")


def status(client: Client, name: str, wait: bool) -> int:
    """Print the run NAME[@KEY], with `wait` once it is over."""
    return _print_run(client, name, wait)


def cancel(client: Client, name: str) -> int:
    """Cancel the run NAME[@KEY] and print it as it is then; any status counts as success."""
    status, answer = client.request("POST", f"{PIPELINES_PATH}/{name}/cancel")
    if status != 200:
        _print_refusal(client, status, answer)
        return REFUSED
    return _print_run(client, name, False, expected=FINAL_STATUSES)


def _print_run(client: Client, name: str, wait: bool, expected: set[str] | None = None) -> int:
    """Print a run, `name` being NAME[@KEY]; with `wait` once it is over.

    The exit code is REFUSED if the run is unknown, or is over without being done and not in an `expected` status.
    """
    answer = trio.run(_fetch_run, client, name, wait)
    if "rows" not in answer:
        _print_refusal(client, 404, answer)
        return REFUSED
    if client.output_format == "json":
        output.print_json(answer)
    else:
        columns = ("step", "job", "status", "done", "tasks", "reason")
        rows = [
            (row["step"], row[wire.ID_FIELD], row["status"], row.get("done"), row["tasks"], row.get("reason"))
            for row in answer["rows"]
        ]
        output.print_table(columns, rows, f"{answer['run']}: {answer['status']}")
        if answer.get("reason"):
            output.print_message(answer["reason"])
    failed = FINAL_STATUSES - {DONE} - (expected or set())
    return REFUSED if answer["status"] in failed else OK


async def _fetch_run(client: Client, name: str, wait: bool) -> Any:
    """A run with all its steps, fetched page by page; with `wait` once it is over, reporting each change of status.

    If the run is unknown, returns the refusal, which has no `rows`.
    """
    reported = ""

    def report_progress(answer: Any) -> None:
        nonlocal reported
        done = sum(1 for row in answer["rows"] if row["status"] == DONE)
        message = f"{name} is {answer['status']}: {done} of {answer['total']} steps done"
        if wait and message != reported and "next" not in answer:
            output.print_message(reported := message)

    path = f"{PIPELINES_PATH}/{name}"
    answer = await poll_until(
        client.http, path, lambda run: not wait or run["status"] in FINAL_STATUSES, report_progress
    )
    while "next" in answer:
        _, next_page = await client.http.request("GET", f"{path}?after={answer.pop('next')}")
        answer["rows"] += next_page["rows"]
        if "next" in next_page:
            answer["next"] = next_page["next"]
    return answer
