"""The members' view: no settings, no machines, and job ids and other teams' jobs only if the features allow it."""

import hashlib
import re
import secrets
from typing import Any
from urllib.parse import parse_qsl, urlencode

from pepperlatch import features
from pepperlatch.console.service import BASE_PATH, ViewService
from pepperlatch.constants import console as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response

_JOB_ID = re.compile(wire.JOB_ID_PATTERN)
_MEMBER_PATHS = frozenset((f"{BASE_PATH}/overview", f"{BASE_PATH}/jobs", f"{BASE_PATH}/changes"))
_OVERVIEW_FIELDS = ("node", "version", "at", "age_s", "source", "why", "states", "waits")


class Redactor:
    """Replaces job ids by pseudonyms, and removes jobs of teams that are not shown.

    A job has the same pseudonym wherever `key` is the same; a random key is used if none is given. `names`: show job
    ids as they are. `teams`: the teams shown, all if empty.
    """

    def __init__(self, names: bool, teams: list[str], key: bytes | None = None) -> None:
        self._show_names = names
        self._teams = frozenset(teams)
        self._key = key or secrets.token_bytes(16)

    def pseudonym(self, job_id: str) -> str:
        """`job-` and PSEUDONYM_DIGITS digits of a keyed hash of the id."""
        digest = hashlib.blake2b(job_id.encode("utf-8"), key=self._key).hexdigest()
        return f"job-{digest[: c.PSEUDONYM_DIGITS]}"

    def redact_text(self, text: str) -> str:
        """The text with a pseudonym for each job id in it, unless names are shown."""
        return text if self._show_names else _JOB_ID.sub(lambda found: self.pseudonym(found[0]), text)

    def redact_row(self, row: dict[str, Any]) -> dict[str, Any] | None:
        """The row as members see it, or None if its team is not shown."""
        if self._teams and row["team"] not in self._teams:
            return None
        if self._show_names:
            return row
        return {**row, "id": self.pseudonym(row["id"]), "text": self.redact_text(row["text"])}

    def redact_rows(self, found: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """The rows that members may see, redacted."""
        return [shown for row in found if (shown := self.redact_row(row)) is not None]


class MembersView:
    """Answers requests on the members' listener with redacted answers of the operators' `ViewService`."""

    def __init__(self, view_service: ViewService, config: features.Public) -> None:
        self._view_service = view_service
        self._redactor = Redactor(config.names, config.teams)
        self._cursors: dict[str, str] = {}  # by pseudonym; a cursor contains a job id

    async def handle(self, request: Request) -> Response:
        """Answer overview, jobs and changes; other paths get 404, a text search 400, an expired cursor 410."""
        path, _, query_string = request.path.partition("?")
        if path not in _MEMBER_PATHS or request.method != "GET":
            return Response(404, {"error": "no such path"})
        fields = dict(parse_qsl(query_string))
        if "text" in fields:  # a text search would reveal whether a name exists
            return Response(400, {"error": "text: not for members"})
        if "after" in fields:
            if fields["after"] not in self._cursors:
                return Response(410, {"error": "after: not known any more; begin with the first page"})
            fields["after"] = self._cursors[fields["after"]]
            path_and_more = f"{path}?{urlencode(fields)}"
            request = Request(request.method, path_and_more, b"", request.gzip)
        response = await self._view_service.handle_unencoded(request)
        if response.status == 200:
            response.body = self._redact_answer(path, response.body)
        return response

    def _redact_answer(self, path: str, answer: dict[str, Any]) -> dict[str, Any]:
        if path == f"{BASE_PATH}/overview":
            return {name: answer[name] for name in _OVERVIEW_FIELDS if name in answer}
        rest = {name: answer[name] for name in answer if name not in ("jobs", "gone", "next")}
        shown = {**rest, "jobs": self._redactor.redact_rows(answer["jobs"])}
        if "gone" in answer:
            shown["gone"] = [self._redactor.pseudonym(job_id) for job_id in answer["gone"]]
        return {**shown, "next": self._cursor_pseudonym(answer["next"])} if "next" in answer else shown

    def _cursor_pseudonym(self, after: str) -> str:
        """The pseudonym that later requests send in place of the cursor; the last MAX_PUBLIC_PAGES are known."""
        if not after:
            return ""
        pseudonym = self._redactor.pseudonym(after)
        self._cursors[pseudonym] = after
        while len(self._cursors) > c.MAX_PUBLIC_PAGES:
            del self._cursors[next(iter(self._cursors))]
        return pseudonym
