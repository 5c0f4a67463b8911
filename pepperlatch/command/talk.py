"""What the subcommands do with a service, once their options are read."""

import sys
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import orjson
import trio

from pepperlatch.command import output, preferences
from pepperlatch.command.preferences import Preferences
from pepperlatch.command.service import OK, REFUSED, Service, follow, job_over
from pepperlatch.constants import core as c
from pepperlatch.pipelines import canonical
from pepperlatch.protocol import wire

DONE = wire.JobState.DONE.value
JOB_COLUMNS = ("job", "status", "done", "running", "reason")


@dataclass(slots=True)
class Talk:
    service: Service
    preferences: Preferences
    form: str

    @classmethod
    def of(cls, nodes: Sequence[str], timeout: float | None, form: str | None, admin: bool) -> "Talk":
        """Options before variables before the file. Raises BadPreferences or SettingsError."""
        prefers = preferences.load()
        named = list(nodes) or (prefers.admin_nodes if admin else prefers.nodes)
        patience = prefers.timeout_s if timeout is None else timeout
        return cls(Service(named, patience, output.say), prefers, form or prefers.output)

    def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        return trio.run(self.service.ask, method, path, body)

    def print(self, method: str, path: str, body: Any = None) -> int:
        """The answer as it is."""
        status, answer = self.ask(method, path, body)
        output.json(answer)
        return OK if status in (200, 201) else REFUSED

    # --- operators --------------------------------------------------------------------------------

    def settings(self) -> int:
        status, answer = self.ask("GET", "/admin/settings")
        if status != 200 or self.form == "json":
            output.json(answer)
            return OK if status == 200 else REFUSED
        columns = ("setting", "value", "default", "low", "high", "unit", "reason")
        rows = [[name, *(row[column] for column in columns[1:])] for name, row in answer["settings"].items()]
        output.table(columns, rows, f"version {answer['version']}")
        return OK

    def change(self, values: Sequence[str]) -> int:
        return self.print("PUT", "/admin/settings", changes(values))

    # --- jobs -------------------------------------------------------------------------------------

    def submit(self, files: Sequence[str], key: str, again: bool, wait: bool) -> int:
        jobs = [self._read(file, key, str(uuid.uuid4()) if again else "") for file in files]
        if again:
            self._may_repeat(jobs)
        answers: list[dict[str, Any]] = []
        for job in jobs:
            status, answer = self.ask("POST", wire.JOBS_PATH, job)
            if status not in (200, 201):
                self._show([*answers, {**answer, wire.ID_FIELD: job[wire.ID_FIELD], "status": f"refused ({status})"}])
                return REFUSED
            answers.append(answer)
        if wait:
            return self.status([job[wire.ID_FIELD] for job in jobs], wait)
        self._show(answers)
        return OK

    def _read(self, file: str, key: str, again: str) -> dict[str, Any]:
        """A job as it is sent; one without an id gets the one that follows from it."""
        text = sys.stdin.read() if file == "-" else Path(file).read_text("utf-8")
        if len(text.encode("utf-8")) > c.MAX_BODY_BYTES:
            raise ValueError(f"{file}: larger than the {c.MAX_BODY_BYTES} bytes of a request")
        try:
            job = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            raise ValueError(f"{file}: {error}") from None
        if not isinstance(job, dict):
            raise ValueError(f"{file}: not an object")
        if self.preferences.team:
            job = {**wire.job_to_wire({"team": self.preferences.team}), **job}
        if wire.ID_FIELD in job and not again:
            return job
        job.pop(wire.ID_FIELD, None)
        try:
            return {**job, wire.ID_FIELD: canonical.with_content_id(job, key, again).id}
        except msgspec.ValidationError as error:
            raise ValueError(f"{file}: {error}") from None

    def _may_repeat(self, jobs: Sequence[dict[str, Any]]) -> None:
        status, answer = self.ask("GET", "/pipelines")
        allowed = answer.get("repeats", []) if status == 200 else []
        wrong = {str(wire.job_from_wire(job).get("job_class")) for job in jobs} - set(allowed)
        if wrong:
            raise ValueError(f"the operators let no job of class {', '.join(sorted(wrong))} repeat")

    def status(self, jobs: Sequence[str], wait: bool) -> int:
        return trio.run(self._status, jobs, wait)

    async def _status(self, jobs: Sequence[str], wait: bool) -> int:
        answers = []
        for job in jobs:
            told = ""

            def progress(answer: Any) -> None:
                nonlocal told
                done, running = answer["done"], answer["running"]
                now = f"{answer[wire.ID_FIELD]} is {answer['status']}: {done} done, {running} running"
                if wait and now != told:
                    output.say(told := now)

            def over(answer: Any) -> bool:
                return not wait or job_over(answer)

            answer = await follow(self.service, f"{wire.JOBS_PATH}/{job}", over, progress)
            answers.append(answer if "status" in answer else {wire.ID_FIELD: job, "status": answer.get("error")})
        self._show(answers)
        good = [answer["status"] == DONE if wait else wire.ID_FIELD in answer for answer in answers]
        known = all(answer["status"] in {state.value for state in wire.JobState} for answer in answers)
        return OK if known and all(good) else REFUSED

    def cancel(self, jobs: Sequence[str]) -> int:
        answers, code = [], OK
        for job in jobs:
            status, answer = self.ask("POST", f"{wire.JOBS_PATH}/{job}/{wire.CANCEL_SUBPATH}")
            answers.append(answer if status == 200 else {wire.ID_FIELD: job, "status": answer.get("error")})
            code = code if status == 200 else REFUSED
        self._show(answers)
        return code

    def _show(self, answers: Sequence[dict[str, Any]]) -> None:
        """One job as an object, several as a list: as programs ask, so they get."""
        if self.form == "json":
            output.json(answers[0] if len(answers) == 1 else answers)
            return
        rows = [
            (a[wire.ID_FIELD], a["status"], a.get("done"), a.get("running"), a.get("reason") or a.get("error"))
            for a in answers
        ]
        output.table(JOB_COLUMNS, rows)


def changes(values: Sequence[str]) -> dict[str, Any]:
    """`version=7 idle_s=20` as the administration API takes it. Raises ValueError."""
    pairs = dict(value.split("=", 1) for value in values if "=" in value)
    if len(pairs) != len(values) or "version" not in pairs:
        raise ValueError("wanted: version=N NAME=VALUE ...")
    version = int(pairs.pop("version"))
    return {"version": version, "settings": {name: float(value) for name, value in pairs.items()}}
