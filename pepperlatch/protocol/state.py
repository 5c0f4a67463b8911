"""Client of the state service: keys, transactions, leases and watches, within this node's share of the rate limits.

Every call raises NotExecuted or OutcomeUnknown if it got no usable answer; the callers decide whether to retry.
"""

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
    """The request was certainly not carried out: refused, or no connection."""


class RateLimited(NotExecuted):
    """The service refused the request because the rate limit is exceeded at this moment."""


class Rejected(NotExecuted):
    """The service will never carry out the request as it stands; a retry is useless."""


class OutcomeUnknown(Exception):
    """There was no answer: the request may have been carried out, or may still be."""


class LeaseGone(Exception):
    """The lease has ended, so it cannot be renewed and no key can be written under it."""


@dataclass(slots=True)
class Outcome:
    """Result of a transaction: its revision if it was applied, else the keys whose versions did not match."""

    revision: int
    failed: list[str] = field(default_factory=list)

    @property
    def applied(self) -> bool:
        """Whether the transaction was applied; if not, no write of it was."""
        return not self.failed


class StateClient:
    """One controller's client; it waits where a request would exceed this node's share of the rate limits.

    `addr`: host and port. `limits`: the service's limits for all controllers together. `nodes`: number of controllers.
    `clock`: steady time in seconds.
    """

    def __init__(
        self, network: Network, addr: str, limits: StateLimits, nodes: int, clock: Callable[[], float]
    ) -> None:
        self._network = network
        self._addr = addr
        self._limits = limits
        self._nodes = nodes
        self._clock = clock
        self._requests = TokenBucket(limits.rps)  # all requests, writes included
        self._writes = SharedTokenBucket(limits.write_rps, recovery_s=c.WRITE_RATE_RECOVERY_S)
        self.set_role(False)
        self.last_success_at = clock()
        self.last_failure_at = -1.0
        self.failing_since = -1.0  # when the answers stopped; meaningful only while `reachable` is false

    def set_role(self, leads: bool) -> None:
        """Take the leader's or a follower's share of the rate limits, which all nodes share.

        Request shares are fixed, since every node watches and reads all the time. Followers write little and unevenly,
        so each may use the whole share of all followers until it is refused.
        """
        share = c.STATE_SHARE_LEADER if leads else c.STATE_SHARE_OTHERS / max(1, self._nodes - 1)
        self._requests.rate = self._limits.rps * share
        rate = self._limits.write_rps
        if leads:
            self._writes.set_limits(rate * c.WRITE_SHARE_LEADER, rate * c.WRITE_SHARE_LEADER)
        else:
            self._writes.set_limits(rate * c.WRITE_SHARE_OTHERS / max(1, self._nodes - 1), rate * c.WRITE_SHARE_OTHERS)

    def writes_within(self, seconds: float) -> int:
        """How many writes this node's share of the write rate allows within `seconds`."""
        return max(1, int(self._writes.rate * (seconds + self._writes.burst_s)))

    def spare_writes(self) -> int:
        """How many background writes may be made now.

        The rest of the saved-up write rate is kept for writes that a user or the leader waits for.
        """
        writes = self._writes
        saved = writes.available(self._clock())
        full = saved >= writes.rate * writes.burst_s
        return max(int(full), int(saved - c.BACKGROUND_WRITE_RESERVE_SHARE * writes.rate * writes.burst_s))

    def max_background_changes(self) -> int:
        """How many changes a background write may have; a larger one might never find enough of the rate saved up."""
        return max(1, int((1 - c.BACKGROUND_WRITE_RESERVE_SHARE) * self._writes.min_rate * self._writes.burst_s))

    def reachable(self) -> bool:
        """Whether the latest request was answered; one refused by the rate limit (429) is not counted."""
        return self.last_success_at >= self.last_failure_at

    def _on_failure(self) -> None:
        """Record a request without an answer, or with status 503, for `reachable`."""
        if self.reachable():
            self.failing_since = self._clock()
        self.last_failure_at = self._clock()

    async def _call(
        self, method: str, path: str, body: Any = None, seconds: float = c.STATE_REQUEST_TIMEOUT_S, urgent: bool = False
    ) -> tuple[int, Any]:
        """Send one request, after waiting for the request rate unless it is urgent; returns status and decoded body.

        `seconds`: deadline for the answer. Raises RateLimited (429), NotExecuted (503, or no connection) or
        OutcomeUnknown (no answer).
        """
        wait = self._requests.take(self._clock(), 1.0, urgent)
        if wait > 0:
            await trio.sleep(wait)
        try:
            status, answer = await self._network.request(self._addr, method, path, body, seconds)
        except NotSent as error:
            self._on_failure()
            raise NotExecuted(str(error)) from None
        except NoUsableResponse as error:
            self._on_failure()
            raise OutcomeUnknown(str(error)) from None
        if status == 429:
            raise RateLimited(f"{path}: {status}")
        if status == 503:
            self._on_failure()
            raise NotExecuted(f"{path}: {status}")
        self.last_success_at = self._clock()
        return status, answer

    async def responds(self) -> bool:
        """Whether the service answers this node now, within STATE_FRESH_S. Called when another controller asks."""
        try:
            await self._call("GET", f"{wire.KEYS_PATH}/ping", None, c.STATE_FRESH_S, urgent=True)
            return True
        except (NotExecuted, OutcomeUnknown):
            return False

    async def read(self, key: str) -> wire.KeyValue | None:
        """The key as it stands; None if it does not exist."""
        status, answer = await self._call("GET", f"{wire.KEYS_PATH}/{key}")
        return None if status == 404 else _checked(answer, wire.KeyValue)

    async def read_all(
        self, prefix: str, transform: Callable[[wire.KeyValue], wire.KeyValue] = lambda pair: pair
    ) -> tuple[int, list[wire.KeyValue]]:
        """All pairs below a prefix, each passed through `transform`, and the revision of the first page.

        Changes between two pages may be missed, so the caller watches from that revision.
        """
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
        """Changes below `prefix` since revision `after`; waits up to `wait_ms` milliseconds for the first one.

        None if the service no longer keeps changes so old; the caller then reads everything anew.
        """
        seconds = c.STATE_REQUEST_TIMEOUT_S + wait_ms / 1000
        status, answer = await self._call("GET", wire.watch_path(prefix, after, wait_ms), None, seconds)
        return None if status == 410 else _checked(answer, wire.Changes)

    async def txn(
        self, conditions: list[dict[str, Any]], writes: list[dict[str, Any]], urgent: bool = False,
        seconds: float = c.STATE_REQUEST_TIMEOUT_S,
    ) -> Outcome:  # fmt: skip
        """Apply all writes if all conditions hold, else none.

        A user or the leader waits for most transactions, so they do not queue behind reads; reads wait longer instead.
        An urgent transaction does not wait for the write rate either. Raises LeaseGone, Rejected, NotExecuted, or
        OutcomeUnknown after `seconds` without an answer. If the caller is cancelled, the transaction may still be
        carried out.
        """
        status, answer = await self._write(wire.txn_body(conditions, writes), len(writes), urgent, seconds)
        if status == 200:
            return Outcome(_checked(answer, wire.TransactionResult, OutcomeUnknown).revision)
        if status == 409:
            refused = _checked(answer, wire.TransactionResult)
            return Outcome(refused.revision, refused.failed or [])
        if isinstance(answer, dict) and answer.get("error") == "no such lease":
            raise LeaseGone
        if status == 400:
            raise Rejected(f"transaction: {answer}")
        raise NotExecuted(f"transaction: {status} {answer}")

    async def _write(self, body: dict[str, Any], count: int, urgent: bool, seconds: float) -> tuple[int, Any]:
        """Send a transaction of `count` writes; retry it while the rate limit refuses it, for STATE_REQUEST_TIMEOUT_S.

        If the caller is cancelled, the transaction may still be carried out.
        """
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
        """Ask for a lease of `ttl_ms` milliseconds; returns its number."""
        _, answer = await self._call("POST", wire.LEASES_PATH, wire.lease_body(ttl_ms), urgent=True)
        lease: wire.GrantedLease = _checked(answer, wire.GrantedLease, OutcomeUnknown)
        return lease.number

    async def renew_lease(self, lease: int, seconds: float) -> None:
        """Let the lease run for its whole duration again. Raises LeaseGone if it has ended.

        `seconds`: deadline for the answer.
        """
        status, _ = await self._call(
            "POST", f"{wire.LEASES_PATH}/{lease}/{wire.TOUCH_SUBPATH}", {}, seconds, urgent=True
        )
        if status == 404:
            raise LeaseGone

    async def revoke_lease(self, lease: int) -> None:
        """End the lease, and with it all keys written under it."""
        await self._call("DELETE", f"{wire.LEASES_PATH}/{lease}", urgent=True)


def _checked(answer: Any, kind: Any, error_type: type[Exception] = NotExecuted) -> Any:
    """The answer as a `kind`. Raises an `error_type` if it has another form."""
    try:
        return wire.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise error_type(f"unexpected answer: {error}") from None
