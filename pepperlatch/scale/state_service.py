"""A hollow state service: keys, transactions, leases and watches as PROTOCOL has them, in memory, with its limits."""

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
from pepperlatch.scale.limits import RateLimit
from pepperlatch.scale.scenario import StateLimits

_KEY = re.compile(r"\S{1,200}")


@dataclass(slots=True)
class _Held:
    value: Any
    version: int
    lease: int | None


@dataclass(slots=True)
class _Lease:
    life_s: float
    ends_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Change:
    revision: int
    key: str
    plain: dict[str, Any]


class _Malformed(Exception):
    """The request is answered with 400."""


class StateService:
    """One store. `clock`: seconds, steady."""

    def __init__(self, limits: StateLimits, clock: Callable[[], float]) -> None:
        self._limits = limits
        self._clock = clock
        self._keys: SortedDict = SortedDict()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._revision = 0
        self._log: deque[_Change] = deque()
        self._forgotten = 0  # the latest change that is not retained any more
        self._changed = trio.Event()
        self._requests = RateLimit(limits.rps)
        self._writes = RateLimit(limits.write_rps)
        self.counts: Counter[str] = Counter()  # requests by kind, refusals by status, puts and deletes

    async def handle(self, request: Request) -> Response:
        """Answer a request. Cancelled, what it asked for is done or not, as with any lost answer."""
        kind = request.path.partition("?")[0].split("/")[1]
        self.counts[kind] += 1
        self.counts["bytes in"] += len(request.body)
        if not self._requests.take(self._clock()):
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
            return self._grant(orjson.loads(request.body))
        if url.path.startswith(wire.LEASES_PATH + "/"):
            return self._lease(request.method, url.path.split("/")[2:])
        if url.path == wire.KEYS_PATH:
            return self._page(query)
        return self._one(url.path.removeprefix(wire.KEYS_PATH + "/"))

    # --- reading ----------------------------------------------------------------------------------

    def _one(self, key: str) -> Response:
        held = self._keys.get(key)
        if held is None:
            return Response(404, {"ledger_mark": self._revision})
        return Response(200, _pair(key, held))

    def _page(self, query: dict[str, str]) -> Response:
        under, most = query["under"], min(int(query.get("page", c.MAX_PAGE_ITEMS)), c.MAX_PAGE_ITEMS)
        first = query.get("after", "")
        pairs: list[dict[str, Any]] = []
        more = False
        for key in self._keys.irange(max(under, first), inclusive=(first < under, True)):
            if not key.startswith(under):
                break
            if len(pairs) == most:
                more = True
                break
            pairs.append(_pair(key, self._keys[key]))
        return Response(200, {"pairs": pairs, "truncated": more, "ledger_mark": self._revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after, under = int(query["after"]), query["under"]
        until = self._clock() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._forgotten:
                return Response(410, {"error": "not retained"})
            found = [change.plain for change in self._since(after) if change.key.startswith(under)]
            left = until - self._clock()
            if found or left <= 0:
                return Response(200, {"ledger_mark": self._revision, "log": found})
            after = self._revision  # nothing up to here concerns this watch
            with trio.move_on_after(left):
                await self._changed.wait()

    def _since(self, revision: int) -> list[_Change]:
        first = bisect.bisect_right(self._log, revision, key=lambda change: change.revision)
        return [self._log[index] for index in range(first, len(self._log))]

    # --- writing ----------------------------------------------------------------------------------

    def _transaction(self, body: Any) -> Response:
        conditions, writes = body.get("when") or [], body.get("writes") or []
        self._check(conditions, writes)
        if not self._writes.take(self._clock(), len(writes)):
            return Response(429, {"error": "too many changes"})
        if any(write.get("tenancy") is not None and write["tenancy"] not in self._leases for write in writes):
            return Response(400, {"error": "no such lease"})
        failed = [wanted["k"] for wanted in conditions if self._version(wanted["k"]) != wanted["stamp"]]
        if failed:
            return Response(409, {"failed": failed, "ledger_mark": self._revision})
        self._apply(writes)
        return Response(200, {"ledger_mark": self._revision})

    def _check(self, conditions: list[Any], writes: list[Any]) -> None:
        if len(writes) > self._limits.txn_ops or len(conditions) > 4 * self._limits.txn_ops:
            raise _Malformed("too many changes or conditions")
        for write in writes:
            if not _KEY.fullmatch(wire.written_key(write)):
                raise _Malformed("not a key")
            if "set" in write and len(orjson.dumps(write["value"])) > self._limits.value_kb * 1024:
                raise _Malformed("a value is too large")

    def _version(self, key: str) -> int:
        held = self._keys.get(key)
        return held.version if held is not None else 0

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        if not writes:
            return
        self._revision += 1
        self.counts["puts and deletes"] += len(writes)
        for write in writes:
            if "set" in write:
                self._put(write["set"], write["value"], write.get("tenancy"))
            else:
                self._delete(write["delete"])
        while len(self._log) > c.MAX_CHANGES_KEPT:
            self._forgotten = self._log.popleft().revision
        self._changed.set()
        self._changed = trio.Event()

    def _put(self, key: str, value: Any, lease: int | None) -> None:
        self._detach(key)
        self._keys[key] = _Held(value, self._revision, lease)
        if lease is not None:
            self._leases[lease].keys.add(key)
        change = {"set": key, "value": value, "stamp": self._revision}
        self._log.append(_Change(self._revision, key, change))

    def _delete(self, key: str) -> None:
        self._detach(key)
        if self._keys.pop(key, None) is not None:
            self._log.append(_Change(self._revision, key, {"delete": key, "stamp": self._revision}))

    def _detach(self, key: str) -> None:
        held = self._keys.get(key)
        if held is not None and held.lease in self._leases:
            self._leases[held.lease].keys.discard(key)

    # --- leases -----------------------------------------------------------------------------------

    def _grant(self, body: Any) -> Response:
        life_ms = int(body["life_ms"])
        if not 100 <= life_ms <= 600_000:
            raise _Malformed("life_ms")
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = _Lease(life_ms / 1000, self._clock() + life_ms / 1000)
        return Response(200, {"tenancy": lease})

    def _lease(self, method: str, parts: list[str]) -> Response:
        number = int(parts[0])
        lease = self._leases.get(number)
        if lease is None:
            return Response(404, {"error": "no such lease"})
        if method == "DELETE":
            self._end(number)
        else:
            lease.ends_at = self._clock() + lease.life_s
        return Response(200, {"tenancy": number})

    def _end(self, number: int) -> None:
        lease = self._leases.pop(number)
        self._apply([{"delete": key} for key in sorted(lease.keys)])

    async def end_leases(self) -> None:
        """Ends leases that nobody renewed, never early; runs until it is cancelled."""
        while True:
            await trio.sleep(c.MAX_LEASE_DELAY_S)
            now = self._clock()
            for number in [number for number, lease in self._leases.items() if lease.ends_at < now]:
                self._end(number)


def _pair(key: str, held: _Held) -> dict[str, Any]:
    return {"k": key, "value": held.value, "stamp": held.version, "tenancy": held.lease}
