"""The subcommands of `pepperlatch pipeline`."""

import math
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click
import trio

from pepperlatch.command import output
from pepperlatch.command.service import OK, REFUSED, USAGE, follow
from pepperlatch.command.talk import DONE, Talk
from pepperlatch.constants import pipelines as c
from pepperlatch.pipelines import plan as plans
from pepperlatch.protocol import wire

if TYPE_CHECKING:
    from pepperlatch.pipelines.compile import CompiledFile

ROOT, SCHEDULES = "/pipelines", "/schedules"
OVER = {DONE, wire.JobState.CANCELLED.value, "refused", "cancelled"}


def read(file: str, key: str | None, team: str | None = None) -> "CompiledFile":
    """What a file asks for; every mistake is printed with its place, and the command ends with code 2."""
    from pepperlatch.command import preferences
    from pepperlatch.pipelines.compile import compile_file
    from pepperlatch.pipelines.document import InvalidFile

    data = sys.stdin.buffer.read(c.MAX_FILE_BYTES + 1) if file == "-" else _bytes(file)
    try:
        return compile_file(data, key, preferences.load().team if team is None else team)
    except InvalidFile as error:
        for mistake in error.mistakes[: c.MAX_ERRORS_SHOWN]:
            click.echo(mistake.format("standard input" if file == "-" else file), err=True)
        if (more := len(error.mistakes) - c.MAX_ERRORS_SHOWN) > 0:
            click.echo(f"and {more} more", err=True)
        raise click.exceptions.Exit(USAGE) from None


def _bytes(file: str) -> bytes:
    with Path(file).open("rb") as opened:
        return opened.read(c.MAX_FILE_BYTES + 1)


def show_plan(plan: plans.Plan, form: str) -> int:
    named, times = plans.job_specs(plan), plans.timing(plan)
    steps = {step.name: step for step in plan.steps}
    if form == "json":
        rows = [
            {"step": name, "needs": steps[name].needs, "starts_s": times[name].starts_s, "ends_s": times[name].ends_s,
             "slack_s": times[name].slack_s if math.isfinite(times[name].slack_s) else None,
             "job": wire.to_plain(spec)}
            for name, spec in named.items()
        ]  # fmt: skip
        output.json({"run": plan.run_name, "steps": rows})
        return OK
    columns = ("step", "job", "tasks", "needs", "starts", "ends", "to spare")
    table = [
        (name, spec.id, spec.tasks, ", ".join(steps[name].needs), output.seconds(times[name].starts_s),
         output.seconds(times[name].ends_s), output.seconds(times[name].slack_s))
        for name, spec in named.items()
    ]  # fmt: skip
    output.table(columns, table, plan.run_name)
    late = [name for name, time in times.items() if time.slack_s < 0]
    if late:
        output.say(f"by its estimates the deadline cannot be met: {', '.join(late[:5])}")
    return OK


def run(talk: Talk, plan: plans.Plan, wait: bool) -> int:
    return _begun(talk, "PUT", f"{ROOT}/{plan.run_name}", {"plan": _packed(plan)}, wait)


def _packed(plan: plans.Plan) -> str:
    packed = plans.pack(plan)
    if len(packed) > c.MAX_PACKED_PLAN_CHARS:
        raise ValueError(f"the plan is {len(packed)} characters packed; at most {c.MAX_PACKED_PLAN_CHARS} are taken")
    return packed


def schedule(talk: Talk, asked: "CompiledFile") -> int:
    if asked.schedule is None:
        raise ValueError("the file has no `schedule`")
    body = {"plan": _packed(asked.plan), "schedule": asked.schedule}
    return _scheduled(talk, "PUT", f"{SCHEDULES}/{asked.plan.name}", body)


def schedules(talk: Talk, method: str, rest: str) -> int:
    return _scheduled(talk, method, SCHEDULES + rest)


def _scheduled(talk: Talk, method: str, path: str, body: Any = None) -> int:
    status, answer = talk.ask(method, path, body)
    if status != 200:
        _refused(talk, status, answer)
        return REFUSED
    if talk.form == "json" or answer.get("removed"):
        output.json(answer)
        return OK
    columns = ("schedule", "cron", "timezone", "missed", "paused", "next")
    output.table(columns, [[row[column] for column in columns] for row in answer.get("schedules", [answer])])
    return OK


def rerun(talk: Talk, name: str, first: Sequence[str], wait: bool) -> int:
    return _begun(talk, "POST", f"{ROOT}/{name}/rerun", {"from": list(first)}, wait)


def _begun(talk: Talk, method: str, path: str, body: Any, wait: bool) -> int:
    status, answer = talk.ask(method, path, body)
    if status != 200:
        _refused(talk, status, answer)
        return REFUSED
    if answer["phase"] != "sent":
        output.say(f"{answer['run']} is {answer['phase']}; another --key, or `pipeline rerun`, begins it anew")
    return _show(talk, answer["run"], wait)


def _refused(talk: Talk, status: int, answer: Any) -> None:
    """Why, with every place; a switched-off part is told apart from an unknown run."""
    if talk.form == "json":
        output.json(answer)
        return
    output.say(f"{answer.get('error') or answer.get('reason') or 'refused'} ({status})")
    for problem in answer.get("problems", []):
        output.say(": ".join(str(problem[name]) for name in ("place", "step", "error") if name in problem))
    for text in answer.get("differs", []):
        output.say(text)
    if answer.get("phase") == "refused":
        output.say("what had been sent of it was withdrawn")


def status(talk: Talk, name: str, wait: bool) -> int:
    return _show(talk, name, wait)


def cancel(talk: Talk, name: str) -> int:
    status, answer = talk.ask("POST", f"{ROOT}/{name}/cancel")
    if status != 200:
        _refused(talk, status, answer)
        return REFUSED
    return _show(talk, name, False, good=OVER)


def _show(talk: Talk, name: str, wait: bool, good: set[str] | None = None) -> int:
    answer = trio.run(_looked, talk, name, wait)
    if "rows" not in answer:
        _refused(talk, 404, answer)
        return REFUSED
    if talk.form == "json":
        output.json(answer)
    else:
        columns = ("step", "job", "status", "done", "tasks", "reason")
        rows = [
            (row["step"], row[wire.ID_FIELD], row["status"], row.get("done"), row["tasks"], row.get("reason"))
            for row in answer["rows"]
        ]
        output.table(columns, rows, f"{answer['run']}: {answer['status']}")
        if answer.get("reason"):
            output.say(answer["reason"])
    bad = OVER - {DONE} - (good or set())
    return REFUSED if answer["status"] in bad else OK


async def _looked(talk: Talk, name: str, wait: bool) -> Any:
    """A run with all its steps, once it is over if `wait`; its status is told whenever it changes."""
    told = ""

    def progress(answer: Any) -> None:
        nonlocal told
        done = sum(1 for row in answer["rows"] if row["status"] == DONE)
        now = f"{name} is {answer['status']}: {done} of {answer['total']} steps done"
        if wait and now != told and "next" not in answer:
            output.say(told := now)

    path = f"{ROOT}/{name}"
    answer = await follow(talk.service, path, lambda a: not wait or a["status"] in OVER, progress)
    while "next" in answer:
        _, more = await talk.service.ask("GET", f"{path}?after={answer.pop('next')}")
        answer["rows"] += more["rows"]
        if "next" in more:
            answer["next"] = more["next"]
    return answer
