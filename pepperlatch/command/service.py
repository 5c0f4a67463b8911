"""The command line's side of the protocols: several nodes tried in turn, and patience that says so."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import HttpNetwork, NotSent, NoUsableResponse
from pepperlatch.settings import SettingsError, split_address

OK, REFUSED, USAGE, UNREACHABLE = 0, 1, 2, 3  # exit codes
LATER = (202, 429, 503, 504)  # to be repeated, all of them safely


class NoAnswer(Exception):
    """Nobody took the request in time; the text says what came last."""


@dataclass(slots=True)
class Service:
    """Asks nodes in turn until one answers for good or `timeout_s` is over; `say` is told why it goes on."""

    nodes: Sequence[str]
    timeout_s: float
    say: Callable[[str], None]
    network: Any = field(default_factory=lambda: HttpNetwork(c.MAX_CLIENT_CONNECTIONS))
    _next: int = 0

    def __post_init__(self) -> None:
        if not self.nodes:
            raise SettingsError("no node is named: give --node, or nodes in the settings file")
        for node in self.nodes:
            split_address(node)

    async def ask(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """The first final answer. Raises NoAnswer. Whatever is repeated here may be repeated, by the protocol."""
        until = trio.current_time() + self.timeout_s
        tried = 0
        while True:
            node = self.nodes[self._next % len(self.nodes)]
            status, pause, why = await self._try(node, method, path, body, until)
            if status is not None:
                return status
            tried += 1
            self._next += 1
            left = until - trio.current_time()
            if tried % len(self.nodes) and pause <= c.MIN_USER_RETRY_PAUSE_S:
                pause = 0.0  # the others first
            if left <= pause:
                raise NoAnswer(why)
            self.say(f"{why}; going on for {math.ceil(left)} s")
            await trio.sleep(pause)

    async def _try(
        self, node: str, method: str, path: str, body: Any, until: float
    ) -> tuple[tuple[int, Any] | None, float, str]:
        """A final answer, or how long to wait and why there is none."""
        seconds = min(c.USER_REQUEST_TIMEOUT_S, max(0.1, until - trio.current_time()))
        try:
            status, retry_after, answer = await self.network.request_with_retry_after(node, method, path, body, seconds)
        except NotSent:
            return None, c.MIN_USER_RETRY_PAUSE_S, f"{node} cannot be reached"
        except NoUsableResponse:
            return None, c.MIN_USER_RETRY_PAUSE_S, f"{node} gave no answer"
        if status not in LATER:
            return (status, answer), 0.0, ""
        pause = min(float(retry_after), c.MAX_RETRY_AFTER_S) if retry_after.isdigit() else c.MIN_USER_RETRY_PAUSE_S
        text = answer.get("error") or answer.get("phase") if isinstance(answer, dict) else None
        return None, max(pause, c.MIN_USER_RETRY_PAUSE_S), f"{node}: {status} {text or ''}".rstrip()


async def follow(service: Service, path: str, over: Callable[[Any], bool], show: Callable[[Any], None]) -> Any:
    """Poll until `over`; each answer is shown. Raises NoAnswer if nobody answers for `timeout_s`."""
    while True:
        status, answer = await service.ask("GET", path)
        if status != 200:
            return answer
        show(answer)
        if over(answer):
            return answer
        await trio.sleep(c.USER_POLL_INTERVAL_S)


def job_over(answer: Any) -> bool:
    return answer.get("status") in {state.value for state in wire.FINAL_JOB_STATES}
