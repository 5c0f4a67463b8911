"""What the controllers say to each other, and the administration API. On the controllers' own listener only."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.store import Watched
from pepperlatch.policy.tuning import KNOBS, BadValue, Tuning, checked
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown, StateClient

SETTINGS, VIEW = "/admin/settings", "/admin/view"


def _away(request: Request) -> Response:
    """A change that was sent may still be carried out; the version tells."""
    error = "the state service does not answer"
    if request.method != "GET":
        error += "; whether the change was made, `settings` will tell"
    return Response(503, {"error": error}, {"Retry-After": str(c.RETRY_AFTER_S)})


class Admin:
    def __init__(self, watched: Watched, state: StateClient, view: Callable[[], dict[str, Any]]) -> None:
        self._watched = watched
        self._state = state
        self._view = view

    async def handle(self, request: Request) -> Response:
        """Answers at a deadline: an operator who looks into an outage must not wait for its end."""
        with trio.move_on_after(c.SUBMIT_TIMEOUT_S):
            return await self._answer(request)
        return _away(request)

    async def _answer(self, request: Request) -> Response:
        try:
            if request.path == VIEW and request.method == "GET":
                return Response(200, self._view())
            if request.path == SETTINGS and request.method == "GET":
                await self._watched.sync()
                return Response(200, self._describe())
            if request.path == SETTINGS and request.method == "PUT":
                return await self._change(request.body)
        except (NotExecuted, OutcomeUnknown):
            return _away(request)
        return Response(404, {"error": "no such path"})

    def _describe(self) -> dict[str, Any]:
        stored, version = self._watched.replica.tuning
        now = Tuning(stored).values()
        fields = {
            name: {
                "value": now[name],
                "default": k.default,
                "low": k.low,
                "high": k.high,
                "unit": k.unit,
                "reason": k.reason,
            }
            for name, k in KNOBS.items()
        }
        return {"version": version, "settings": fields}

    async def _change(self, body: bytes) -> Response:
        """`{"version": 7, "settings": {"idle_s": 60}}`; fields left out keep their value."""
        try:
            wanted = orjson.loads(body)
            version, changes = wanted["version"], wanted["settings"]
            if isinstance(version, bool) or not isinstance(version, int) or not isinstance(changes, dict):
                raise TypeError
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return Response(400, {"error": "wanted: an object with version (integer) and settings (object)"})
        try:
            values = {name: checked(name, value) for name, value in changes.items()}
        except BadValue as error:
            return Response(400, {"error": str(error), "field": str(error).partition(":")[0]})
        await self._watched.sync()
        stored, current = self._watched.replica.tuning
        if version != current:
            return Response(409, {"error": "stale version", "version": current})
        outcome = await self._state.txn(
            [wire.version_condition(store.TUNING, current)], [wire.put(store.TUNING, {**stored, **values})]
        )
        if not outcome.applied:
            return Response(409, {"error": "stale version"})
        await self._watched.sync()
        return Response(200, self._describe())
