"""What members may see: no settings, no machines, and names of jobs and of other teams only where that is allowed."""

import hashlib
import re
import secrets
from typing import Any
from urllib.parse import parse_qsl, urlencode

from pepperlatch import features
from pepperlatch.console.service import BASE, Views
from pepperlatch.constants import console as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response

_IDS = re.compile(wire.JOB_ID)
_SHOWN = frozenset((f"{BASE}/overview", f"{BASE}/jobs", f"{BASE}/changes"))
_OVERVIEW = ("node", "version", "at", "age_s", "source", "why", "states", "waits")


class Redactor:
    """Puts words in place of names: the same for the same name, and another set for each `key`."""

    def __init__(self, names: bool, teams: list[str], key: bytes | None = None) -> None:
        self._names = names
        self._teams = frozenset(teams)
        self._key = key or secrets.token_bytes(16)

    def word(self, job_id: str) -> str:
        digest = hashlib.blake2b(job_id.encode("utf-8"), key=self._key).hexdigest()
        return f"job-{digest[: c.WORD_DIGITS]}"

    def text(self, text: str) -> str:
        return text if self._names else _IDS.sub(lambda found: self.word(found[0]), text)

    def row(self, row: dict[str, Any]) -> dict[str, Any] | None:
        """A job as members see it; None if it is of a team that is not shown."""
        if self._teams and row["team"] not in self._teams:
            return None
        if self._names:
            return row
        return {**row, "id": self.word(row["id"]), "text": self.text(row["text"])}

    def rows(self, found: list[dict[str, Any]]) -> list[dict[str, Any]]:
        return [shown for row in found if (shown := self.row(row)) is not None]


class Public:
    """Answers the members' listener from the same views as the operators'."""

    def __init__(self, views: Views, wanted: features.Public) -> None:
        self._views = views
        self._hidden = Redactor(wanted.names, wanted.teams)
        self._pages: dict[str, str] = {}  # what asks the leader for a page names a job, so members get a word for it

    async def handle(self, request: Request) -> Response:
        path, _, text = request.path.partition("?")
        if path not in _SHOWN or request.method != "GET":
            return Response(404, {"error": "no such path"})
        fields = dict(parse_qsl(text))
        if "text" in fields:  # names could be guessed by asking for them
            return Response(400, {"error": "text: not for members"})
        if "after" in fields:
            if fields["after"] not in self._pages:
                return Response(410, {"error": "after: not known any more; begin with the first page"})
            fields["after"] = self._pages[fields["after"]]
            path_and_more = f"{path}?{urlencode(fields)}"
            request = Request(request.method, path_and_more, b"", request.gzip)
        response = await self._views.plain(request)
        if response.status == 200:
            response.body = self._shown(path, response.body)
        return response

    def _shown(self, path: str, answer: dict[str, Any]) -> dict[str, Any]:
        if path == f"{BASE}/overview":
            return {name: answer[name] for name in _OVERVIEW if name in answer}
        rest = {name: answer[name] for name in answer if name not in ("jobs", "gone", "next")}
        shown = {**rest, "jobs": self._hidden.rows(answer["jobs"])}
        if "gone" in answer:
            shown["gone"] = [self._hidden.word(job_id) for job_id in answer["gone"]]
        return {**shown, "next": self._next(answer["next"])} if "next" in answer else shown

    def _next(self, after: str) -> str:
        if not after:
            return ""
        word = self._hidden.word(after)
        self._pages[word] = after
        while len(self._pages) > c.PAGES_KEPT:
            del self._pages[next(iter(self._pages))]
        return word
