"""The simulated state service: keys, transactions, leases and watches of PROTOCOL, in memory, with its limits."""

import bisect
import re
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
import trio
from sortedcontainers import SortedDict

from pepperlatch.constants import scale as c
from pepperlatch.protocol import wire
from pepperlatch.protocol.http.server import Request, Response
from pepperlatch.scale.rate_limit import RateLimit
from pepperlatch.scale.scenario import StateLimits

_KEY = re.compile(r"\S{1,200}")


@dataclass(slots=True)
class _StoredValue:
    """The value of a key. `version`: revision of its last change. `lease`: the key is deleted when this lease ends."""

    value: Any
    version: int
    lease: int | None


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Change:
    """A change of a key, and its wire form (`plain`)."""

    revision: int
    key: str
    plain: dict[str, Any]


class _Malformed(Exception):
    """The request is answered with 400 and this message."""


class SimulatedStateService:
    """One store. `clock`: a monotonic clock in seconds."""

    def __init__(self, limits: StateLimits, clock: Callable[[], float]) -> None:
        self._limits = limits
        self._clock = clock
        self._keys: SortedDict = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._revision = 0
        self._changes: deque[_Change] = deque()
        self._discarded_revision = 0  # revision of the latest change that is no longer retained
        self._new_change = trio.Event()
        self._request_limit = RateLimit(limits.rps)
        self._write_limit = RateLimit(limits.write_rps)
        self.counts: Counter[str] = Counter()  # requests by kind, refusals by status, puts and deletes

    async def handle(self, request: Request) -> Response:
        """Answer a request. If this is cancelled, the request may or may not have been carried out."""
        kind = request.path.partition("?")[0].split("/")[1]
        self.counts[kind] += 1
        self.counts["bytes in"] += len(request.body)
        if not self._request_limit.take(self._clock()):
            self.counts["refused 429"] += 1
            return Response(429, {"error": "too many requests"})
        try:
            response = await self._answer(request)
        except (_Malformed, KeyError, TypeError, ValueError) as error:
            response = Response(400, {"error": f"malformed: {error}"})
        if response.status == 429:
            self.counts["refused 429"] += 1
        payload = orjson.dumps(response.body)
        self.counts["bytes out"] += len(payload)
        return Response(response.status, payload, {"Content-Type": "application/json"})

    async def _answer(self, request: Request) -> Response:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == wire.TXN_PATH:
            return self._transaction(orjson.loads(request.body))
        if url.path == wire.CHANGES_PATH:
            return await self._watch(query)
        if url.path == wire.LEASES_PATH:
            return self._grant_lease(orjson.loads(request.body))
        if url.path.startswith(wire.LEASES_PATH + "/"):
            return self._renew_or_revoke_lease(request.method, url.path.split("/")[2:])
        if url.path == wire.KEYS_PATH:
            return self._list_keys(query)
        return self._get_key(url.path.removeprefix(wire.KEYS_PATH + "/"))

    # --- reading ----------------------------------------------------------------------------------

    def _get_key(self, key: str) -> Response:
        stored = self._keys.get(key)
        if stored is None:
            return Response(404, {"ledger_mark": self._revision})
        return Response(200, _to_pair(key, stored))

    def _list_keys(self, query: dict[str, str]) -> Response:
        prefix, page_size = query["under"], min(int(query.get("page", c.MAX_PAGE_ITEMS)), c.MAX_PAGE_ITEMS)
        start_after = query.get("after", "")
        pairs: list[dict[str, Any]] = []
        more = False
        for key in self._keys.irange(max(prefix, start_after), inclusive=(start_after < prefix, True)):
            if not key.startswith(prefix):
                break
            if len(pairs) == page_size:
                more = True
                break
            pairs.append(_to_pair(key, self._keys[key]))
        return Response(200, {"pairs": pairs, "truncated": more, "ledger_mark": self._revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after, prefix = int(query["after"]), query["under"]
        deadline = self._clock() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._discarded_revision:
                return Response(410, {"error": "not retained"})
            changes = [change.plain for change in self._changes_since(after) if change.key.startswith(prefix)]
            remaining_s = deadline - self._clock()
            if changes or remaining_s <= 0:
                return Response(200, {"ledger_mark": self._revision, "log": changes})
            after = self._revision  # no change up to this revision concerns the watch
            with trio.move_on_after(remaining_s):
                await self._new_change.wait()

    def _changes_since(self, revision: int) -> list[_Change]:
        first = bisect.bisect_right(self._changes, revision, key=lambda change: change.revision)
        return [self._changes[index] for index in range(first, len(self._changes))]

    # --- writing ----------------------------------------------------------------------------------

    def _transaction(self, body: Any) -> Response:
        conditions, writes = body.get("when") or [], body.get("writes") or []
        self._check_transaction(conditions, writes)
        if not self._write_limit.take(self._clock(), len(writes)):
            return Response(429, {"error": "too many changes"})
        if any(write.get("tenancy") is not None and write["tenancy"] not in self._leases for write in writes):
            return Response(400, {"error": "no such lease"})
        failed = [condition["k"] for condition in conditions if self._version_of(condition["k"]) != condition["stamp"]]
        if failed:
            return Response(409, {"failed": failed, "ledger_mark": self._revision})
        self._apply_writes(writes)
        return Response(200, {"ledger_mark": self._revision})

    def _check_transaction(self, conditions: list[Any], writes: list[Any]) -> None:
        if len(writes) > self._limits.txn_ops or len(conditions) > 4 * self._limits.txn_ops:
            raise _Malformed("too many changes or conditions")
        for write in writes:
            if not _KEY.fullmatch(wire.written_key(write)):
                raise _Malformed("not a key")
            if "set" in write and len(orjson.dumps(write["value"])) > self._limits.value_kb * 1024:
                raise _Malformed("a value is too large")

    def _version_of(self, key: str) -> int:
        stored = self._keys.get(key)
        return stored.version if stored is not None else 0

    def _apply_writes(self, writes: list[dict[str, Any]]) -> None:
        if not writes:
            return
        self._revision += 1
        self.counts["puts and deletes"] += len(writes)
        for write in writes:
            if "set" in write:
                self._put(write["set"], write["value"], write.get("tenancy"))
            else:
                self._delete(write["delete"])
        while len(self._changes) > c.MAX_CHANGES_KEPT:
            self._discarded_revision = self._changes.popleft().revision
        self._new_change.set()
        self._new_change = trio.Event()

    def _put(self, key: str, value: Any, lease: int | None) -> None:
        self._detach_from_lease(key)
        self._keys[key] = _StoredValue(value, self._revision, lease)
        if lease is not None:
            self._leases[lease].keys.add(key)
        change = {"set": key, "value": value, "stamp": self._revision}
        self._changes.append(_Change(self._revision, key, change))

    def _delete(self, key: str) -> None:
        self._detach_from_lease(key)
        if self._keys.pop(key, None) is not None:
            self._changes.append(_Change(self._revision, key, {"delete": key, "stamp": self._revision}))

    def _detach_from_lease(self, key: str) -> None:
        stored = self._keys.get(key)
        if stored is not None and stored.lease in self._leases:
            self._leases[stored.lease].keys.discard(key)

    # --- leases -----------------------------------------------------------------------------------

    def _grant_lease(self, body: Any) -> Response:
        life_ms = int(body["life_ms"])
        if not 100 <= life_ms <= 600_000:
            raise _Malformed("life_ms")
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = _Lease(life_ms / 1000, self._clock() + life_ms / 1000)
        return Response(200, {"tenancy": lease})

    def _renew_or_revoke_lease(self, method: str, parts: list[str]) -> Response:
        number = int(parts[0])
        lease = self._leases.get(number)
        if lease is None:
            return Response(404, {"error": "no such lease"})
        if method == "DELETE":
            self._end_lease(number)
        else:
            lease.ends_at = self._clock() + lease.ttl_s
        return Response(200, {"tenancy": number})

    def _end_lease(self, number: int) -> None:
        lease = self._leases.pop(number)
        self._apply_writes([{"delete": key} for key in sorted(lease.keys)])

    async def expire_leases(self) -> None:
        """Delete the keys of leases that were not renewed, never early; runs until cancelled."""
        while True:
            await trio.sleep(c.MAX_LEASE_DELAY_S)
            now = self._clock()
            for number in [number for number, lease in self._leases.items() if lease.ends_at < now]:
                self._end_lease(number)


def _to_pair(key: str, stored: _StoredValue) -> dict[str, Any]:
    return {"k": key, "value": stored.value, "stamp": stored.version, "tenancy": stored.lease}
