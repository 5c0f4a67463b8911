"""HTTP requests of the command line to the controllers: tries the given nodes in turn and reports why it retries.

Also holds the exit codes of the command line, which `command.cli` documents.
"""

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
RETRIED_STATUSES = (202, 429, 503, 504)  # HTTP statuses after which every request may safely be repeated


class NoAnswer(Exception):
    """No node gave a final response within the timeout; the text is the outcome of the last attempt."""


@dataclass(slots=True)
class RetryingClient:
    """Sends a request to the nodes in turn until one gives a final response or `timeout_s` seconds have passed.

    `nodes` are addresses as HOST:PORT. `report_retry` is called with a text before each retry. The constructor raises
    SettingsError if there is no node or an address is malformed.
    """

    nodes: Sequence[str]
    timeout_s: float
    report_retry: Callable[[str], None]
    network: Any = field(default_factory=lambda: HttpNetwork(c.MAX_CLIENT_CONNECTIONS))
    _next_node: int = 0  # index of the node to try next, modulo the length of `nodes`

    def __post_init__(self) -> None:
        if not self.nodes:
            raise SettingsError("no node is named: give --node, or nodes in the settings file")
        for node in self.nodes:
            split_address(node)

    async def request(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Status and body of the first final response. Raises NoAnswer.

        The protocol lets every request that is sent through here be repeated.
        """
        deadline = trio.current_time() + self.timeout_s
        attempts = 0
        while True:
            node = self.nodes[self._next_node % len(self.nodes)]
            response, pause_s, reason = await self._attempt(node, method, path, body, deadline)
            if response is not None:
                return response
            attempts += 1
            self._next_node += 1
            remaining_s = deadline - trio.current_time()
            if attempts % len(self.nodes) and pause_s <= c.MIN_USER_RETRY_PAUSE_S:
                pause_s = 0.0  # try the other nodes before pausing
            if remaining_s <= pause_s:
                raise NoAnswer(reason)
            self.report_retry(f"{reason}; going on for {math.ceil(remaining_s)} s")
            await trio.sleep(pause_s)

    async def _attempt(
        self, node: str, method: str, path: str, body: Any, deadline: float
    ) -> tuple[tuple[int, Any] | None, float, str]:
        """The final response, if any; else None, the seconds to pause before the next attempt, and the reason."""
        timeout_s = min(c.USER_REQUEST_TIMEOUT_S, max(0.1, deadline - trio.current_time()))
        try:
            status, retry_after, answer = await self.network.request_with_retry_after(
                node, method, path, body, timeout_s
            )
        except NotSent:
            return None, c.MIN_USER_RETRY_PAUSE_S, f"{node} cannot be reached"
        except NoUsableResponse:
            return None, c.MIN_USER_RETRY_PAUSE_S, f"{node} gave no answer"
        if status not in RETRIED_STATUSES:
            return (status, answer), 0.0, ""
        pause_s = min(float(retry_after), c.MAX_RETRY_AFTER_S) if retry_after.isdigit() else c.MIN_USER_RETRY_PAUSE_S
        text = answer.get("error") or answer.get("phase") if isinstance(answer, dict) else None
        return None, max(pause_s, c.MIN_USER_RETRY_PAUSE_S), f"{node}: {status} {text or ''}".rstrip()


async def poll_until(
    client: RetryingClient, path: str, is_final: Callable[[Any], bool], show: Callable[[Any], None]
) -> Any:
    """GET `path` every USER_POLL_INTERVAL_S until `is_final` accepts the answer, which is returned.

    Each answer with status 200 is passed to `show`; an answer with another status ends the polling and is returned.
    Raises NoAnswer if no node answers one of the requests within the client's timeout.
    """
    while True:
        status, answer = await client.request("GET", path)
        if status != 200:
            return answer
        show(answer)
        if is_final(answer):
            return answer
        await trio.sleep(c.USER_POLL_INTERVAL_S)


def job_has_ended(answer: Any) -> bool:
    """Whether an answer of GET /work/ID shows a job in a final state."""
    return answer.get("status") in {state.value for state in wire.FINAL_JOB_STATES}
