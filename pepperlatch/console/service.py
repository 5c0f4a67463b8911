"""Answers viewers' requests: the leader from its model within a CPU budget, a follower by forwarding to the leader.

GET /console/overview                job totals, teams, machines by kind, costs, recoveries
GET /console/jobs?FILTERS&sort=&page=&after=
GET /console/changes?FILTERS&token=&since=&most=
GET /console/jobs/ID                 one job: its time line and its position in the queue
GET /console/machines, /console/events

A follower that gets no answer from the leader answers jobs and overview from its own copy of the records.
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
from pepperlatch.console.model import ChangesExpired, ViewModel, row_from_record
from pepperlatch.console.recorder import Recorder
from pepperlatch.constants import console as c
from pepperlatch.controller.extensions import ExtensionContext
from pepperlatch.policy.reasons import changes_when
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import NotSent, NoUsableResponse
from pepperlatch.protocol.http.server import Request, Response, compressed
from pepperlatch.protocol.token_bucket import TokenBucket

if TYPE_CHECKING:
    from pepperlatch.controller.leader import Leader

BASE_PATH = "/console"
DIRECT_FIELD = "direct"  # marks a request forwarded by another controller: it is not forwarded again


class LeaderBusy(Exception):
    """The viewers' CPU budget is used up or the leader's queue is long: answered with 503 and Retry-After."""


@dataclass(slots=True)
class _CachedAnswer:
    """An answer and its term's token. `made_at`: steady clock, s. `encoded`: the body by whether it is compressed."""

    made_at: float
    token: int
    answer: dict[str, Any]
    encoded: dict[bool, bytes] = field(default_factory=dict)


class ViewService:
    """Answers viewers on this node. `cpu_time` returns the processor time that the process has used so far, in s."""

    def __init__(self, core: ExtensionContext, cpu_time: Callable[[], float]) -> None:
        self._core = core
        self._cpu_time = cpu_time
        self._budget = TokenBucket(
            c.LEADER_SHARE * core.settings.params.limits.cpu_share, c.LEADER_BURST_S, float("inf"), core.clock()
        )  # fmt: skip
        self._model: ViewModel | None = None
        self._refreshed_at = float("-inf")
        self._last_request_at = float("-inf")
        self._cache: dict[str, _CachedAnswer] = {}  # by path and query string

    # --- on the leader ------------------------------------------------------------------------------

    def start_term(self, leader: "Leader", recorder: Recorder) -> None:
        """Create an empty model for a new term. Called by the extension."""
        self._model = ViewModel(leader, recorder)
        self._refreshed_at = float("-inf")
        self._cache.clear()

    async def run(self) -> None:
        """Rebuild pending rows in batches while there are viewers; drop all rows after VIEW_IDLE_TIMEOUT_S without one.

        Runs until cancelled. Batches stop when half of the saved-up CPU budget is used, so that answers have priority.
        """
        while True:
            model, now = self._current_model(), self._core.clock()
            if model is None or now - self._last_request_at > c.VIEW_IDLE_TIMEOUT_S:
                if self._model is not None and self._model.rows:
                    self._model.discard_rows()
                    self._cache.clear()
                await trio.sleep(c.MIN_REFRESH_INTERVAL_S)
                continue
            # The other half of the budget is for answers.
            has_budget = self._budget.available(now) > self._budget.rate * self._budget.burst_s / 2
            if model.pending() and has_budget and not model.leader.command_loop.is_backlogged():
                with self._charge_cpu(now):
                    model.refresh()
            await trio.sleep(c.ROW_BATCH_PAUSE_S)

    def _current_model(self) -> ViewModel | None:
        """The model of the current term, or None if this node does not lead or is not ready."""
        model, leader = self._model, self._core.current_leader()
        if model is None or leader is None or model.leader is not leader or leader.term.over or not leader.ready:
            return None
        return model

    def _answer_from_model(self, model: ViewModel, path: str, query_string: str) -> "_CachedAnswer":
        """The answer from the model, or a recent cached one for the same request.

        If the CPU budget is used up or the command loop has a backlog, a cached answer up to MAX_ANSWER_AGE_S old is
        given, marked `busy`. Raises LeaderBusy if there is none, BadQuery, ChangesExpired, or KeyError for an unknown
        job.
        """
        now = self._core.clock()
        self._last_request_at = now
        key = f"{path}?{query_string}"
        cached = self._cache.get(key)
        all_rows_built = path == f"{BASE_PATH}/jobs" and cached is not None and not cached.answer["pending"]
        max_age_s = c.PAGE_CACHE_S if all_rows_built else c.MIN_REFRESH_INTERVAL_S
        if cached is not None and now - cached.made_at < max_age_s and cached.token == model.leader.term.token:
            return cached
        if self._budget.available(now) <= 0 or model.leader.command_loop.is_backlogged():
            if cached is not None and now - cached.made_at < c.MAX_ANSWER_AGE_S:
                stale_answer = {**cached.answer, "age_s": round(now - cached.made_at, 1), "busy": True}
                return _CachedAnswer(cached.made_at, cached.token, stale_answer)
            raise LeaderBusy
        with self._charge_cpu(now):
            if now - self._refreshed_at >= c.MIN_REFRESH_INTERVAL_S:
                self._refreshed_at = now
                model.refresh(c.ROWS_PER_ANSWER)
            made = _CachedAnswer(
                now,
                model.leader.term.token,
                {**self._answer_head(model), **self._answer_body(model, path, query_string)},
            )
        self._cache = {k: cached for k, cached in self._cache.items() if now - cached.made_at < c.MAX_ANSWER_AGE_S}
        self._cache[key] = made
        return made

    @contextmanager
    def _charge_cpu(self, now: float) -> Iterator[None]:
        """Take the processor time that the block uses from the viewers' CPU budget."""
        began = self._cpu_time()
        try:
            yield
        finally:
            self._budget.take(now, self._cpu_time() - began)

    def _encode(self, cached: "_CachedAnswer", gzip: bool) -> Response:
        """The response; each encoding is made once per cached answer."""
        if gzip not in cached.encoded:
            with self._charge_cpu(self._core.clock()):
                plain = orjson.dumps(cached.answer)
                cached.encoded[gzip] = compressed(plain) if gzip else plain
        headers = {"Content-Type": "application/json", **({"Content-Encoding": "gzip"} if gzip else {})}
        return Response(200, cached.encoded[gzip], headers)

    def _answer_head(self, model: ViewModel) -> dict[str, Any]:
        """The fields that every answer of a leader has. `at`: time of day, s."""
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

    def _answer_body(self, model: ViewModel, path: str, query_string: str) -> dict[str, Any]:
        """The fields of the path's answer. Raises BadQuery, ChangesExpired (also for another term), or KeyError."""
        if path == f"{BASE_PATH}/changes":
            query, more = rows.parse_query(query_string, ("token", "since"))
            token, since = more.get("token", ""), more.get("since", "")
            if not (token.isdecimal() and since.isdecimal()):
                raise rows.BadQuery("since, token: wanted from an earlier answer")
            if int(token) != model.leader.term.token:
                raise ChangesExpired
            return model.changes(query, int(since))
        if path == f"{BASE_PATH}/jobs":
            return model.page(rows.parse_query(query_string)[0])
        if path.startswith(f"{BASE_PATH}/jobs/"):
            return self._job_detail(model, path.removeprefix(f"{BASE_PATH}/jobs/"))
        if path == f"{BASE_PATH}/machines":
            return {"machines": model.machines()}
        if path == f"{BASE_PATH}/events":
            return {"events": [msgspec.to_builtins(event) for event in reversed(model.recorder.events)]}
        return model.overview()

    def _job_detail(self, model: ViewModel, job_id: str) -> dict[str, Any]:
        """One job with its time line. `job` is None if there is no row, as for a job that ended long ago.

        Raises KeyError for an unknown job.
        """
        row = model.rows.get(job_id)
        line = [msgspec.to_builtins(event) for event in model.recorder.history.timeline(job_id)]
        entry = model.leader.replica.jobs.get(job_id)
        if entry is None:
            raise KeyError(job_id)
        found: dict[str, Any] = {"job": rows.to_builtins([row])[0] if row else None, "line": line}
        found["state"] = row.state if row else entry.state.value
        if row is not None:
            found["changes_when"] = changes_when(row.why)
            found["order"] = model.queue_position(job_id)
        return found

    # --- requests -------------------------------------------------------------------------------------

    async def handle(self, request: Request) -> Response:
        """Answer a request, at once or within `VIEW_FORWARD_TIMEOUT_S` if it is forwarded. Safe to cancel."""
        return await self._handle(request, lambda cached: self._encode(cached, request.gzip))

    async def handle_unencoded(self, request: Request) -> Response:
        """Like `handle` with the body not encoded yet, for `MembersView`, which removes fields from it."""
        return await self._handle(request, lambda cached: Response(200, cached.answer))

    async def _handle(self, request: Request, encode: Callable[["_CachedAnswer"], Response]) -> Response:
        path, _, query_string = request.path.partition("?")
        if request.method != "GET" or not _is_known_path(path):
            return Response(404, {"error": "no such path"})
        query_string, direct = _strip_direct(query_string)
        try:
            model = self._current_model()
            if model is not None:
                return encode(self._answer_from_model(model, path, query_string))
            if direct:
                return Response(409, {"error": "does not lead"})
            return await self._forward_to_leader(path, query_string)
        except rows.BadQuery as error:
            return Response(400, {"error": str(error), "field": str(error).partition(":")[0]})
        except ChangesExpired:
            return Response(410, {"error": "changes since then are not known any more: ask for the jobs anew"})
        except KeyError:
            return Response(404, {"error": "no such job"})
        except LeaderBusy:
            why = "the leader has no time for viewers now: workers and users go first"
            return Response(503, {"error": why}, {"Retry-After": str(c.BUSY_RETRY_S)})

    async def _forward_to_leader(self, path: str, query_string: str) -> Response:
        """The leader's answer; if it gives none, an answer from this node's records that states their age."""
        leader_and_token = self._core.watcher.replica.leader
        peer = next(
            (p for p in self._core.settings.peers if leader_and_token is not None and p.node == leader_and_token[0]),
            None,
        )
        why = "nobody leads"
        if peer is not None:
            forwarded_path = f"{path}?{query_string}&{DIRECT_FIELD}=1" if query_string else f"{path}?{DIRECT_FIELD}=1"
            try:
                status, answer = await self._core.network.request(
                    peer.addr, "GET", forwarded_path, None, c.VIEW_FORWARD_TIMEOUT_S
                )
                if status != 409 and isinstance(answer, dict):
                    if status == 200:
                        answer["node"] = self._core.settings.node
                    headers = {"Retry-After": str(c.BUSY_RETRY_S)} if status == 503 else {}
                    return Response(status, answer, headers)
            except (NotSent, NoUsableResponse):
                pass
            why = f"{peer.node}, which leads, does not answer this node"
        return self._answer_from_records(path, query_string, why)

    def _answer_from_records(self, path: str, query_string: str, why: str) -> Response:
        """Jobs or totals from this node's copy of the records and the progress that the leader last reported.

        Other paths are answered with 503. `why`: why the leader did not answer.
        """
        core, replica = self._core, self._core.watcher.replica
        if path not in (f"{BASE_PATH}/jobs", f"{BASE_PATH}/overview"):
            return Response(503, {"error": f"only the leader knows that, and {why}"}, {"Retry-After": "2"})
        snapshot, wall = core.leader_snapshot(), core.wall()
        found = [
            row_from_record(job_id, entry, replica, wall, progress=snapshot.progress(job_id))
            for job_id, entry in replica.jobs.items() if entry.state not in wire.FINAL_JOB_STATES
        ]  # fmt: skip
        shown_rows = [row for row in found if row is not None]
        leader_and_token = replica.leader
        now = core.clock()
        age_s = (
            now - max(replica.current_at, min(snapshot.requested_at, now))
            if replica.current_at > float("-inf")
            else None
        )
        head = {
            "node": core.settings.node, "version": __version__,
            "leader": leader_and_token[0] if leader_and_token else None,
            "token": leader_and_token[1] if leader_and_token else None, "revision": 0, "at": round(wall, 1),
            "age_s": round(age_s, 1) if age_s is not None else None,
            "told_s": round(now - snapshot.requested_at, 1) if snapshot.requested_at > float("-inf") else None,
            "source": "records", "why": why,
        }  # fmt: skip
        if path == f"{BASE_PATH}/overview":
            return Response(200, {**head, **rows.totals(shown_rows)})
        query = rows.parse_query(query_string)[0]
        shown, after = rows.page(rows.select(shown_rows, query), query)
        return Response(200, {**head, "jobs": rows.to_builtins(shown), "next": after, "shown": len(shown_rows)})


def _is_known_path(path: str) -> bool:
    known = [f"{BASE_PATH}/{name}" for name in ("overview", "jobs", "changes", "machines", "events")]
    return path in known or path.startswith(f"{BASE_PATH}/jobs/")


def _strip_direct(query_string: str) -> tuple[str, bool]:
    """The query string without the mark of a forwarded request, and whether it was there."""
    parts = [part for part in query_string.split("&") if part]
    rest = [part for part in parts if not part.startswith(f"{DIRECT_FIELD}=")]
    return "&".join(rest), len(rest) < len(parts)
