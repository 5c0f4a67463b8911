"""The state service in memory for tests: keys, transactions, leases and watches, in virtual time."""

import itertools
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson
import trio

Answer = tuple[int, Any]  # status and body


class FakeState:
    """The state service: keys, transactions, leases and watches.

    While `down`, it answers 503 to all requests and no lease expires; the sources in `refused_sources` always get 503.
    """

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, version, lease
        self.log: list[dict[str, Any]] = []
        self.oldest_revision = 0
        self.revision = 0
        self.leases: dict[int, list[float]] = {}
        self.down = False
        self.refused_sources: set[str] = set()
        # How long the answer to this source and path takes, in seconds.
        self.answer_delay_s: Callable[[str, str], float] = lambda source, path: 0.0
        self._ids = itertools.count(1)
        self._changed = trio.Event()
        self.limits: dict[str, float] = {}  # empty: none are enforced
        self.refusals: list[str] = []  # the status of each request that exceeded the limits
        self._write_allowance = (0.0, 0.0)  # operations that may still be written, and when that was counted

    def limits_status(self, body: Any) -> int:
        """400 for a transaction that is too large, 429 for one that exceeds the write rate, else 0."""
        writes = body.get("writes", [])
        sizes = [len(orjson.dumps(w["value"])) for w in writes if "set" in w]
        most = self.limits["txn_ops"]
        if max(sizes, default=0) > self.limits["value_kb"] * 1024 or len(writes) > most or len(body["when"]) > 4 * most:
            self.refusals.append("400")
            return 400
        (saved, at), rate, now = self._write_allowance, self.limits["write_rps"], trio.current_time()
        saved = min(rate, saved + (now - at) * rate) - len(writes)
        self._write_allowance = (saved, now)
        if saved < 0:
            self.refusals.append("429")
            self._write_allowance = (saved + len(writes), now)
            return 429
        return 0

    async def serve(self, source: str, method: str, path: str, body: Any) -> Answer:
        """Execute a request of `source`, the name of a controller; the result is status and body."""
        if self.down or source in self.refused_sources:
            return 503, {"error": "trouble"}
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/txn":
            return self.txn(body)
        if url.path == "/changes":
            return await self.changes(source, query)
        if url.path.startswith("/leases"):
            return self.lease(method, url.path.split("/")[2:], body)
        if url.path == "/keys":
            return self.list_page(query)
        entry = self.keys.get(url.path[len("/keys/") :])
        if entry is None:
            return 404, {"ledger_mark": self.revision}
        return 200, {"k": url.path[len("/keys/") :], "value": entry[0], "stamp": entry[1]}

    def list_page(self, query: dict[str, str]) -> Answer:
        """One page of the keys under a prefix, in alphabetical order."""
        names = sorted(k for k in self.keys if k.startswith(query["under"]) and k > query.get("after", ""))
        most = int(query.get("page", "1000"))
        pairs = [{"k": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:most]]
        return 200, {"pairs": pairs, "truncated": len(names) > most, "ledger_mark": self.revision}

    def txn(self, body: Any) -> Answer:
        """Apply a transaction: 409 if a key has another version than required, 400 if it names an ended lease."""
        if self.limits and (status := self.limits_status(body)):
            return status, {"error": "beyond the limits"}
        failed = [c["k"] for c in body["when"] if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]]
        writes = body.get("writes", [])
        if any(w.get("tenancy") is not None and w["tenancy"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledger_mark": self.revision}
        if writes:
            self.change(writes)
        return 200, {"ledger_mark": self.revision}

    def change(self, writes: list[dict[str, Any]]) -> None:
        """Apply the writes in one revision, without limits or preconditions, and wake the watches."""
        self.revision += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["value"], self.revision, write.get("tenancy"))
                self.log.append({"set": write["set"], "value": write["value"], "stamp": self.revision})
            elif self.keys.pop(write["delete"], None) is not None:
                self.log.append({"delete": write["delete"], "stamp": self.revision})
        self._changed.set()
        self._changed = trio.Event()

    async def changes(self, source: str, query: dict[str, str]) -> Answer:
        """Answer a watch: the changes after a revision, or none after `wait_ms`; 410 if they are compacted."""
        after, until = int(query["after"]), trio.current_time() + int(query.get("wait_ms", "0")) / 1000
        if after < self.oldest_revision:
            return 410, {}
        while True:
            seen = not self.down and source not in self.refused_sources
            events = [
                e for e in self.log if e["stamp"] > after and (e.get("set") or e["delete"]).startswith(query["under"])
            ]
            left = until - trio.current_time()
            if seen and (events or left <= 0):
                return 200, {"ledger_mark": self.revision, "log": events}
            with trio.move_on_after(max(left, 0.1)):
                await self._changed.wait()

    def compact(self) -> None:
        """Discard all recorded changes: watches that ask for an earlier revision get 410."""
        self.oldest_revision, self.log = self.revision, []

    def lease(self, method: str, segments: list[str], body: Any) -> Answer:
        """Grant a lease, or renew or end (DELETE) the one whose id is in the path `segments`; 404 if it has ended."""
        if not segments:
            lease = next(self._ids)
            self.leases[lease] = [body["life_ms"] / 1000, trio.current_time() + body["life_ms"] / 1000]
            return 200, {"tenancy": lease}
        lease = int(segments[0])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end(lease)
        else:
            self.leases[lease][1] = trio.current_time() + self.leases[lease][0]
        return 200, {"tenancy": lease}

    def end(self, lease: int) -> None:
        """End a lease and delete the keys that were written under it."""
        del self.leases[lease]
        deletions = [{"delete": k} for k, entry in self.keys.items() if entry[2] == lease]
        if deletions:
            self.change(deletions)

    async def run(self) -> None:
        """End leases that expire; an outage extends all of them."""
        while True:
            await trio.sleep(0.05)
            now = trio.current_time()
            for lease, entry in list(self.leases.items()):
                if self.down:
                    entry[1] = now + entry[0]
                elif now > entry[1]:
                    self.end(lease)

    def job_state(self, job_id: str) -> str | None:
        """The state in the job's stored record, or None if there is no record."""
        entry = self.keys.get(f"j/job/{job_id}")
        return entry[0]["state"] if entry else None
