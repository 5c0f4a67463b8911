"""The administration API: the view of the cluster, and the operators' settings. On the internal listener only."""

from collections.abc import Callable
from typing import Any

import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.controller import store
from pepperlatch.controller.store import StateWatcher
from pepperlatch.policy.operator_settings import OPERATOR_SETTINGS, InvalidSetting, OperatorSettings, validated
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.protocol.state import NotExecuted, OutcomeUnknown, StateClient

SETTINGS, VIEW = "/admin/settings", "/admin/view"


def _unavailable(request: Request) -> Response:
    """503 for an unreachable state service. A change that was sent may still be applied; the version shows it."""
    error = "the state service does not answer"
    if request.method != "GET":
        error += "; whether the change was made, `settings` will tell"
    return Response(503, {"error": error}, {"Retry-After": str(c.RETRY_AFTER_S)})


class AdminApi:
    """Serves `/admin/`. Settings are stored in the state service, so any node may change them."""

    def __init__(self, watcher: StateWatcher, state: StateClient, view: Callable[[], dict[str, Any]]) -> None:
        self._watcher = watcher
        self._state = state
        self._view = view

    async def handle(self, request: Request) -> Response:
        """Answer within SUBMIT_TIMEOUT_S: an operator who examines an outage must not wait for its end."""
        with trio.move_on_after(c.SUBMIT_TIMEOUT_S):
            return await self._answer(request)
        return _unavailable(request)

    async def _answer(self, request: Request) -> Response:
        try:
            if request.path == VIEW and request.method == "GET":
                return Response(200, self._view())
            if request.path == SETTINGS and request.method == "GET":
                await self._watcher.sync()
                return Response(200, self._describe())
            if request.path == SETTINGS and request.method == "PUT":
                return await self._change(request.body)
        except (NotExecuted, OutcomeUnknown):
            return _unavailable(request)
        return Response(404, {"error": "no such path"})

    def _describe(self) -> dict[str, Any]:
        """All settings in force with default, bounds, unit and reason, and the version that a change has to name."""
        stored, version = self._watcher.replica.tuning
        current = OperatorSettings(stored).values()
        fields = {
            name: {
                "value": current[name],
                "default": setting.default,
                "low": setting.minimum,
                "high": setting.maximum,
                "unit": setting.unit,
                "reason": setting.reason,
            }
            for name, setting in OPERATOR_SETTINGS.items()
        }
        return {"version": version, "settings": fields}

    async def _change(self, body: bytes) -> Response:
        """Change settings: `{"version": 7, "settings": {"idle_s": 60}}`. Settings left out keep their values.

        400 if malformed or out of bounds, 409 if the version is not the current one.
        """
        try:
            message = orjson.loads(body)
            version, changes = message["version"], message["settings"]
            if isinstance(version, bool) or not isinstance(version, int) or not isinstance(changes, dict):
                raise TypeError
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return Response(400, {"error": "wanted: an object with version (integer) and settings (object)"})
        try:
            values = {name: validated(name, value) for name, value in changes.items()}
        except InvalidSetting as error:
            return Response(400, {"error": str(error), "field": str(error).partition(":")[0]})
        await self._watcher.sync()
        stored, current = self._watcher.replica.tuning
        if version != current:
            return Response(409, {"error": "stale version", "version": current})
        outcome = await self._state.txn(
            [wire.version_condition(store.TUNING, current)], [wire.put(store.TUNING, {**stored, **values})]
        )
        if not outcome.applied:
            return Response(409, {"error": "stale version"})
        await self._watcher.sync()
        return Response(200, self._describe())
