"""Answers to those who look: at the leader from its model, within its budget; elsewhere the leader's answer, passed on.

GET /console/overview                what there is, teams, machines by kind, money, recoveries
GET /console/jobs?FILTERS&sort=&page=&after=
GET /console/changes?FILTERS&token=&since=&most=
GET /console/jobs/ID                 one job: its time line, and whose jobs are before it
GET /console/machines, /console/events
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import orjson
import trio

from pepperlatch import __version__
from pepperlatch.console import rows
from pepperlatch.console.model import Gone, Model, of_record
from pepperlatch.console.recorder import Recorder
from pepperlatch.constants import console as c
from pepperlatch.controller.extensions import ExtensionContext
from pepperlatch.policy.reasons import changes_when
from pepperlatch.protocol import wire
from pepperlatch.protocol.budget import Budget
from pepperlatch.protocol.http.client import Lost, NotSent
from pepperlatch.protocol.http.server import Request, Response, compressed

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

BASE = "/console"
DIRECT = "direct"  # asked by another controller: never passed on once more


class Busy(Exception):
    """The leader has no time for viewers now."""


@dataclass(slots=True)
class _Kept:
    """An answer, when it was made, and as it is sent, compressed or not."""

    made_at: float
    token: int
    answer: dict[str, Any]
    encoded: dict[bool, bytes] = field(default_factory=dict)


class Views:
    """What this node shows. `spent` is the processor time used so far, in s."""

    def __init__(self, core: ExtensionContext, spent: Callable[[], float]) -> None:
        self._core = core
        self._spent = spent
        self._budget = Budget(
            c.LEADER_SHARE * core.settings.params.limits.cpu_share, c.LEADER_BURST_S, float("inf"), core.clock()
        )  # fmt: skip
        self._model: Model | None = None
        self._refreshed_at = float("-inf")
        self._asked_at = float("-inf")
        self._kept: dict[str, _Kept] = {}  # answers by path

    # --- the leader's own ---------------------------------------------------------------------------

    def lead(self, leader: "Leader", recorder: Recorder) -> None:
        self._model = Model(leader, recorder)
        self._refreshed_at = float("-inf")
        self._kept.clear()

    async def run(self) -> None:
        """While somebody looks, take in what is much a part at a time; without a viewer keep no rows."""
        while True:
            model, now = self._leading(), self._core.clock()
            if model is None or now - self._asked_at > c.IDLE_S:
                if self._model is not None and self._model.rows:
                    self._model.forget()
                    self._kept.clear()
                await trio.sleep(c.REFRESH_S)
                continue
            enough = self._budget.available(now) > self._budget.rate * self._budget.burst_s / 2  # answers go first
            if model.pending() and enough and not model.leader.owner.long():
                with self._charged(now):
                    model.refresh()
            await trio.sleep(c.ROWS_PAUSE_S)

    def _leading(self) -> Model | None:
        model, leader = self._model, self._core.current_leader()
        if model is None or leader is None or model.leader is not leader or leader.term.over or not leader.ready:
            return None
        return model

    def _own(self, model: Model, path: str, text: str) -> "_Kept":
        """The answer from the model; a kept one for those who ask the same at once. Raises Busy, BadQuery or Gone."""
        now = self._core.clock()
        self._asked_at = now
        key = f"{path}?{text}"
        kept = self._kept.get(key)
        whole = path == f"{BASE}/jobs" and kept is not None and not kept.answer["pending"]
        keep_s = c.PAGE_KEPT_S if whole else c.REFRESH_S
        if kept is not None and now - kept.made_at < keep_s and kept.token == model.leader.term.token:
            return kept
        if self._budget.available(now) <= 0 or model.leader.owner.long():
            if kept is not None and now - kept.made_at < c.AGE_MOST_S:
                older = {**kept.answer, "age_s": round(now - kept.made_at, 1), "busy": True}
                return _Kept(kept.made_at, kept.token, older)
            raise Busy
        with self._charged(now):
            if now - self._refreshed_at >= c.REFRESH_S:
                self._refreshed_at = now
                model.refresh(c.ROWS_AN_ANSWER)
            made = _Kept(now, model.leader.term.token, {**self._head(model), **self._body(model, path, text)})
        self._kept = {k: kept for k, kept in self._kept.items() if now - kept.made_at < c.AGE_MOST_S}
        self._kept[key] = made
        return made

    @contextmanager
    def _charged(self, now: float) -> Iterator[None]:
        """What it takes is taken from what viewers may use."""
        began = self._spent()
        try:
            yield
        finally:
            self._budget.wait_for(now, self._spent() - began)

    def _sent(self, kept: "_Kept", gzip: bool) -> Response:
        """Encoded once for all who ask alike."""
        if gzip not in kept.encoded:
            with self._charged(self._core.clock()):
                plain = orjson.dumps(kept.answer)
                kept.encoded[gzip] = compressed(plain) if gzip else plain
        headers = {"Content-Type": "application/json", **({"Content-Encoding": "gzip"} if gzip else {})}
        return Response(200, kept.encoded[gzip], headers)

    def _head(self, model: Model) -> dict[str, Any]:
        return {
            "node": self._core.settings.node,
            "version": __version__,
            "leader": self._core.settings.node,
            "token": model.leader.term.token,
            "revision": model.revision,
            "at": round(self._core.wall(), 1),
            "age_s": 0.0,
            "source": "leader",
        }

    def _body(self, model: Model, path: str, text: str) -> dict[str, Any]:
        if path == f"{BASE}/changes":
            query, more = rows.parse(text, ("token", "since"))
            token, since = more.get("token", ""), more.get("since", "")
            if not (token.isdecimal() and since.isdecimal()):
                raise rows.BadQuery("since, token: wanted from an earlier answer")
            if int(token) != model.leader.term.token:
                raise Gone
            return model.changes(query, int(since))
        if path == f"{BASE}/jobs":
            return model.page(rows.parse(text)[0])
        if path.startswith(f"{BASE}/jobs/"):
            return self._job(model, path.removeprefix(f"{BASE}/jobs/"))
        if path == f"{BASE}/machines":
            return {"machines": model.machines()}
        if path == f"{BASE}/events":
            return {"events": [msgspec.to_builtins(event) for event in reversed(model.recorder.events)]}
        return model.overview()

    def _job(self, model: Model, job_id: str) -> dict[str, Any]:
        """What is kept of one job; its row is missing where it is over and shown no more."""
        row = model.rows.get(job_id)
        line = [msgspec.to_builtins(event) for event in model.recorder.history.line(job_id)]
        entry = model.leader.replica.jobs.get(job_id)
        if entry is None:
            raise KeyError(job_id)
        found: dict[str, Any] = {"job": rows.to_builtins([row])[0] if row else None, "line": line}
        found["state"] = row.state if row else entry.state.value
        if row is not None:
            found["changes_when"] = changes_when(row.why)
            found["order"] = model.order(job_id)
        return found

    # --- asked ----------------------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Answers at once or within `PASS_ON_S`; nothing is left behind when it is cancelled."""
        return await self._handle(request, lambda kept: self._sent(kept, request.gzip))

    async def plain(self, request: Request) -> Response:
        """The same with the body as it is before it is written, for those who take something out of it."""
        return await self._handle(request, lambda kept: Response(200, kept.answer))

    async def _handle(self, request: Request, sent: Callable[["_Kept"], Response]) -> Response:
        path, _, text = request.path.partition("?")
        if request.method != "GET" or not _known(path):
            return Response(404, {"error": "no such path"})
        text, direct = _without_direct(text)
        try:
            model = self._leading()
            if model is not None:
                return sent(self._own(model, path, text))
            if direct:
                return Response(409, {"error": "does not lead"})
            return await self._passed_on(path, text)
        except rows.BadQuery as error:
            return Response(400, {"error": str(error), "field": str(error).partition(":")[0]})
        except Gone:
            return Response(410, {"error": "changes since then are not known any more: ask for the jobs anew"})
        except KeyError:
            return Response(404, {"error": "no such job"})
        except Busy:
            why = "the leader has no time for viewers now: workers and users go first"
            return Response(503, {"error": why}, {"Retry-After": str(c.BUSY_RETRY_S)})

    async def _passed_on(self, path: str, text: str) -> Response:
        """The leader's answer; if there is none, what this node knows itself, and how old that is."""
        held = self._core.watched.replica.leader
        peer = next((p for p in self._core.settings.peers if held is not None and p.node == held[0]), None)
        why = "nobody leads"
        if peer is not None:
            asked = f"{path}?{text}&{DIRECT}=1" if text else f"{path}?{DIRECT}=1"
            try:
                status, answer = await self._core.network.request(peer.addr, "GET", asked, None, c.PASS_ON_S)
                if status != 409 and isinstance(answer, dict):
                    if status == 200:
                        answer["node"] = self._core.settings.node
                    after = {"Retry-After": str(c.BUSY_RETRY_S)} if status == 503 else {}
                    return Response(status, answer, after)
            except (NotSent, Lost):
                pass
            why = f"{peer.node}, which leads, does not answer this node"
        return self._of_records(path, text, why)

    def _of_records(self, path: str, text: str, why: str) -> Response:
        """Jobs as the records say, with what the leader last told of them."""
        core, replica = self._core, self._core.watched.replica
        if path not in (f"{BASE}/jobs", f"{BASE}/overview"):
            return Response(503, {"error": f"only the leader knows that, and {why}"}, {"Retry-After": "2"})
        told, wall = core.leader_snapshot(), core.wall()
        found = [
            of_record(job_id, entry, replica, wall, told=told.progress(job_id))
            for job_id, entry in replica.jobs.items() if entry.state not in wire.FINAL
        ]  # fmt: skip
        made = [row for row in found if row is not None]
        held = replica.leader
        now = core.clock()
        old = now - max(replica.current_at, min(told.requested_at, now)) if replica.current_at > float("-inf") else None
        head = {
            "node": core.settings.node, "version": __version__, "leader": held[0] if held else None,
            "token": held[1] if held else None, "revision": 0, "at": round(wall, 1),
            "age_s": round(old, 1) if old is not None else None,
            "told_s": round(now - told.requested_at, 1) if told.requested_at > float("-inf") else None,
            "source": "records", "why": why,
        }  # fmt: skip
        if path == f"{BASE}/overview":
            return Response(200, {**head, **rows.totals(made)})
        query = rows.parse(text)[0]
        shown, after = rows.page(rows.found(made, query), query)
        return Response(200, {**head, "jobs": rows.to_builtins(shown), "next": after, "shown": len(made)})


def _known(path: str) -> bool:
    known = [f"{BASE}/{name}" for name in ("overview", "jobs", "changes", "machines", "events")]
    return path in known or path.startswith(f"{BASE}/jobs/")


def _without_direct(text: str) -> tuple[str, bool]:
    parts = [part for part in text.split("&") if part]
    rest = [part for part in parts if not part.startswith(f"{DIRECT}=")]
    return "&".join(rest), len(rest) < len(parts)
