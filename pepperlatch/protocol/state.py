"""Client of the state service: keys, transactions, leases and watches, inside this node's budget."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from pepperlatch.constants import core as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.client import Network, NotSent, NoUsableResponse
from pepperlatch.protocol.token_bucket import SharedTokenBucket, TokenBucket
from pepperlatch.settings import StateLimits


class NotExecuted(Exception):
    """The request was surely not carried out: refused, or no connection."""


class RateLimited(NotExecuted):
    """Beyond the service's rate at this moment."""


class Rejected(NotExecuted):
    """The service will not carry it out as it stands, however often it is asked."""


class OutcomeUnknown(Exception):
    """No answer: it may have been carried out, or may yet be."""


class LeaseGone(Exception):
    """The lease has ended."""


@dataclass(slots=True)
class Outcome:
    """Of a transaction: its revision if it was applied, else the keys whose versions did not match."""

    revision: int
    failed: list[str] = field(default_factory=list)

    @property
    def applied(self) -> bool:
        return not self.failed


class StateClient:
    def __init__(
        self, network: Network, addr: str, limits: StateLimits, nodes: int, clock: Callable[[], float]
    ) -> None:
        self._network = network
        self._addr = addr
        self._limits = limits
        self._nodes = nodes
        self._clock = clock
        self._requests = TokenBucket(limits.rps)
        self._writes = SharedTokenBucket(limits.write_rps, recovery_s=c.WRITE_RATE_RECOVERY_S)
        self.set_role(False)
        self.last_success_at = clock()
        self.last_failure_at = -1.0
        self.failing_since = -1.0  # when the answers stopped, if they have

    def set_role(self, leads: bool) -> None:
        """The budgets are for all nodes together: one part for the leader, one for the others.

        Requests keep to fixed parts: every node watches and reads all the time. Writes of the others are few and come
        unevenly, so each may use the whole part of the others until it is refused.
        """
        share = c.STATE_SHARE_LEADER if leads else c.STATE_SHARE_OTHERS / max(1, self._nodes - 1)
        self._requests.rate = self._limits.rps * share
        rate = self._limits.write_rps
        if leads:
            self._writes.set_limits(rate * c.WRITE_SHARE_LEADER, rate * c.WRITE_SHARE_LEADER)
        else:
            self._writes.set_limits(rate * c.WRITE_SHARE_OTHERS / max(1, self._nodes - 1), rate * c.WRITE_SHARE_OTHERS)

    def writes_within(self, seconds: float) -> int:
        """How many puts this node's share allows within that time."""
        return max(1, int(self._writes.rate * (seconds + self._writes.burst_s)))

    def spare_writes(self) -> int:
        """How many puts may be made now that nobody waits for, with the rest kept for those that somebody does."""
        writes = self._writes
        saved = writes.available(self._clock())
        full = saved >= writes.rate * writes.burst_s
        return max(int(full), int(saved - c.BACKGROUND_WRITE_RESERVE_SHARE * writes.rate * writes.burst_s))

    def max_background_changes(self) -> int:
        """How many changes a write that nobody waits for may have, to find its turn at all."""
        return max(1, int((1 - c.BACKGROUND_WRITE_RESERVE_SHARE) * self._writes.min_rate * self._writes.burst_s))

    def reachable(self) -> bool:
        return self.last_success_at >= self.last_failure_at

    def _bad(self) -> None:
        if self.reachable():
            self.failing_since = self._clock()
        self.last_failure_at = self._clock()

    async def _call(
        self, method: str, path: str, body: Any = None, seconds: float = c.STATE_REQUEST_TIMEOUT_S, urgent: bool = False
    ) -> tuple[int, Any]:
        wait = self._requests.take(self._clock(), 1.0, urgent)
        if wait > 0:
            await trio.sleep(wait)
        try:
            status, answer = await self._network.request(self._addr, method, path, body, seconds)
        except NotSent as error:
            self._bad()
            raise NotExecuted(str(error)) from None
        except NoUsableResponse as error:
            self._bad()
            raise OutcomeUnknown(str(error)) from None
        if status == 429:
            raise RateLimited(f"{path}: {status}")
        if status == 503:
            self._bad()
            raise NotExecuted(f"{path}: {status}")
        self.last_success_at = self._clock()
        return status, answer

    async def responds(self) -> bool:
        """Whether the service answers this node right now."""
        try:
            await self._call("GET", f"{wire.KEYS_PATH}/ping", None, c.STATE_FRESH_S, urgent=True)
            return True
        except (NotExecuted, OutcomeUnknown):
            return False

    async def read(self, key: str) -> wire.KeyValue | None:
        """One key as it stands; None if there is none."""
        status, answer = await self._call("GET", f"{wire.KEYS_PATH}/{key}")
        return None if status == 404 else _checked(answer, wire.KeyValue)

    async def read_all(
        self, prefix: str, transform: Callable[[wire.KeyValue], wire.KeyValue] = lambda pair: pair
    ) -> tuple[int, list[wire.KeyValue]]:
        """All pairs below a prefix, with the revision of the first page; each as `transform` makes it."""
        pairs: list[wire.KeyValue] = []
        revision, after = -1, ""
        while True:
            _, answer = await self._call("GET", wire.keys_path(prefix, after, c.LIST_PAGE))
            page = _checked(answer, wire.KeyPage)
            revision = page.revision if revision < 0 else revision
            pairs += map(transform, page.items)
            if not page.more or not page.items:
                return revision, pairs
            after = page.items[-1].key

    async def changes(self, prefix: str, after: int, wait_ms: int) -> wire.Changes | None:
        """What changed since; None if the service no longer keeps changes so old."""
        seconds = c.STATE_REQUEST_TIMEOUT_S + wait_ms / 1000
        status, answer = await self._call("GET", wire.watch_path(prefix, after, wait_ms), None, seconds)
        return None if status == 410 else _checked(answer, wire.Changes)

    async def txn(
        self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]], urgent: bool = False,
        seconds: float = c.STATE_REQUEST_TIMEOUT_S,
    ) -> Outcome:  # fmt: skip
        """Somebody waits for most of them, so they do not stand in line behind reads, which make up for it.

        OutcomeUnknown after `seconds` without an answer; cancelled, it may be carried out.
        """
        status, answer = await self._write(wire.txn_body(conditions, writes), len(writes), urgent, seconds)
        if status == 200:
            return Outcome(wire.revision_of(answer))
        if status == 409:
            return Outcome(wire.revision_of(answer), wire.failed_keys(answer))
        if isinstance(answer, dict) and answer.get("error") == "no such lease":
            raise LeaseGone
        if status == 400:
            raise Rejected(f"transaction: {answer}")
        raise NotExecuted(f"transaction: {status} {answer}")

    async def _write(self, body: dict[str, Any], count: int, urgent: bool, seconds: float) -> tuple[int, Any]:
        """Tried again while the service is busy, as long as an answer may take; cancelled, it may be carried out."""
        until = self._clock() + c.STATE_REQUEST_TIMEOUT_S
        while True:
            wait = self._writes.take(self._clock(), count, urgent)
            if wait > 0:
                await trio.sleep(wait)
            try:
                return await self._call("POST", wire.TXN_PATH, body, seconds, urgent=True)
            except RateLimited:
                self._writes.on_refused(self._clock())
                if urgent or self._clock() + count / self._writes.rate > until:
                    raise

    async def grant_lease(self, ttl_ms: int) -> int:
        _, answer = await self._call("POST", wire.LEASES_PATH, wire.lease_body(ttl_ms), urgent=True)
        return wire.lease_of(answer)

    async def renew_lease(self, lease: int, seconds: float) -> None:
        status, _ = await self._call(
            "POST", f"{wire.LEASES_PATH}/{lease}/{wire.TOUCH_SUBPATH}", {}, seconds, urgent=True
        )
        if status == 404:
            raise LeaseGone

    async def revoke_lease(self, lease: int) -> None:
        await self._call("DELETE", f"{wire.LEASES_PATH}/{lease}", urgent=True)


def _checked(answer: Any, kind: Any) -> Any:
    try:
        return wire.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise NotExecuted(f"unexpected answer: {error}") from None
