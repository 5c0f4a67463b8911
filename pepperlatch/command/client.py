"""What the subcommands for settings and jobs do: their requests, the progress they report and their exit codes."""

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
from pepperlatch.command.retrying_client import OK, REFUSED, RetryingClient, job_has_ended, poll_until
from pepperlatch.constants import core as c
from pepperlatch.pipelines import canonical
from pepperlatch.protocol import wire

DONE = wire.JobState.DONE.value
JOB_COLUMNS = ("job", "status", "done", "running", "reason")


@dataclass(slots=True)
class Client:
    """The operations of one command on the controllers.

    `output_format` is "table" or "json". Methods that return an int print their result and return the exit code. All
    methods that send requests raise NoAnswer if no node gives a final response in time.
    """

    http: RetryingClient
    preferences: Preferences
    output_format: str

    @classmethod
    def from_options(
        cls, nodes: Sequence[str], timeout: float | None, output_format: str | None, admin: bool
    ) -> "Client":
        """The client of a command with these options; `timeout` is in seconds, `admin` is for the operators' listener.

        An option that is empty or None is taken from the preferences. Raises PreferencesError or SettingsError.
        """
        preferred = preferences.load()
        addresses = list(nodes) or (preferred.admin_nodes if admin else preferred.nodes)
        timeout_s = preferred.timeout_s if timeout is None else timeout
        return cls(
            RetryingClient(addresses, timeout_s, output.print_message), preferred, output_format or preferred.output
        )

    def request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Status and body of the final response."""
        return trio.run(self.http.request, method, path, body)

    def print_response(self, method: str, path: str, body: Any = None) -> int:
        """Send a request and print its answer as JSON; the exit code tells whether its status is 200 or 201."""
        status, answer = self.request(method, path, body)
        output.print_json(answer)
        return OK if status in (200, 201) else REFUSED

    # --- operators --------------------------------------------------------------------------------

    def show_settings(self) -> int:
        """Print all settings of the operators, as a table or as JSON."""
        status, answer = self.request("GET", "/admin/settings")
        if status != 200 or self.output_format == "json":
            output.print_json(answer)
            return OK if status == 200 else REFUSED
        columns = ("setting", "value", "default", "low", "high", "unit", "reason")
        rows = [[name, *(row[column] for column in columns[1:])] for name, row in answer["settings"].items()]
        output.print_table(columns, rows, f"version {answer['version']}")
        return OK

    def change_settings(self, values: Sequence[str]) -> int:
        """Change settings and print the answer; `values` as in `parse_settings_change`, which raises ValueError."""
        return self.print_response("PUT", "/admin/settings", parse_settings_change(values))

    # --- jobs -------------------------------------------------------------------------------------

    def submit(self, files: Sequence[str], key: str, again: bool, wait: bool) -> int:
        """Submit the job of each file in order; the first refusal ends the command.

        `key` enters the ids of jobs whose file names none. With `again` every job gets a new id. All files are read
        before the first request. Raises ValueError for a malformed file, and if a job's class may not be repeated.
        """
        jobs = [self._read_job(file, key, str(uuid.uuid4()) if again else "") for file in files]
        if again:
            self._check_repeats_allowed(jobs)
        answers: list[dict[str, Any]] = []
        for job in jobs:
            status, answer = self.request("POST", wire.JOBS_PATH, job)
            if status not in (200, 201):
                self._print_jobs(
                    [*answers, {**answer, wire.ID_FIELD: job[wire.ID_FIELD], "status": f"refused ({status})"}]
                )
                return REFUSED
            answers.append(answer)
        if wait:
            return self.status([job[wire.ID_FIELD] for job in jobs], wait)
        self._print_jobs(answers)
        return OK

    def _read_job(self, file: str, key: str, again: str) -> dict[str, Any]:
        """The job of a file, `-` for standard input, as it is sent. Raises ValueError naming the file.

        A job without an id gets the one that follows from its content, `key` and `again`. A non-empty `again` replaces
        the file's id too.
        """
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

    def _check_repeats_allowed(self, jobs: Sequence[dict[str, Any]]) -> None:
        """Raises ValueError if the operators do not let the class of one of the jobs repeat."""
        status, answer = self.request("GET", "/pipelines")
        allowed = answer.get("repeats", []) if status == 200 else []
        forbidden = {str(wire.job_from_wire(job).get("job_class")) for job in jobs} - set(allowed)
        if forbidden:
            raise ValueError(f"the operators let no job of class {', '.join(sorted(forbidden))} repeat")

    def status(self, jobs: Sequence[str], wait: bool) -> int:
        """Print the jobs, with `wait` once all have ended.

        The exit code is REFUSED if a job is unknown or, with `wait`, did not end as done.
        """
        return trio.run(self._status, jobs, wait)

    async def _status(self, jobs: Sequence[str], wait: bool) -> int:
        answers = []
        for job in jobs:
            reported = ""

            def report_progress(answer: Any) -> None:
                nonlocal reported
                done, running = answer["done"], answer["running"]
                message = f"{answer[wire.ID_FIELD]} is {answer['status']}: {done} done, {running} running"
                if wait and message != reported:
                    output.print_message(reported := message)

            def is_final(answer: Any) -> bool:
                return not wait or job_has_ended(answer)

            answer = await poll_until(self.http, f"{wire.JOBS_PATH}/{job}", is_final, report_progress)
            answers.append(answer if "status" in answer else {wire.ID_FIELD: job, "status": answer.get("error")})
        self._print_jobs(answers)
        good = [answer["status"] == DONE if wait else wire.ID_FIELD in answer for answer in answers]
        known = all(answer["status"] in {state.value for state in wire.JobState} for answer in answers)
        return OK if known and all(good) else REFUSED

    def cancel(self, jobs: Sequence[str]) -> int:
        """Cancel each job, also after one was refused; in that case the exit code is REFUSED."""
        answers, code = [], OK
        for job in jobs:
            status, answer = self.request("POST", f"{wire.JOBS_PATH}/{job}/{wire.CANCEL_SUBPATH}")
            answers.append(answer if status == 200 else {wire.ID_FIELD: job, "status": answer.get("error")})
            code = code if status == 200 else REFUSED
        self._print_jobs(answers)
        return code

    def _print_jobs(self, answers: Sequence[dict[str, Any]]) -> None:
        """Print the answers as a table, or as JSON: an object for one job, a list for several."""
        if self.output_format == "json":
            output.print_json(answers[0] if len(answers) == 1 else answers)
            return
        rows = [
            (a[wire.ID_FIELD], a["status"], a.get("done"), a.get("running"), a.get("reason") or a.get("error"))
            for a in answers
        ]
        output.print_table(JOB_COLUMNS, rows)


def parse_settings_change(values: Sequence[str]) -> dict[str, Any]:
    """`version=7 idle_s=20` as the body of PUT /admin/settings. Raises ValueError."""
    pairs = dict(value.split("=", 1) for value in values if "=" in value)
    if len(pairs) != len(values) or "version" not in pairs:
        raise ValueError("wanted: version=N NAME=VALUE ...")
    version = int(pairs.pop("version"))
    return {"version": version, "settings": {name: float(value) for name, value in pairs.items()}}
