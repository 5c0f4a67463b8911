"""Stand-ins and tools for the review's cases: state service, cloud, workers, load balancer, users, controllers.

All stand-ins run in the process of a case, on loopback addresses, and follow PROTOCOL-pepperlatch.md. The controllers
are the project's own program, started with the command of deploy/service.toml, each as a process of its own.
"""

import asyncio
import bisect
import itertools
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
MAX_BYTES = 64 * 1024  # PROTOCOL: the limit of request bodies, and of lines in responses to workers and users


class CannotRun(Exception):
    """The case could not be brought to the point where the rule is checked."""


# --- record ---------------------------------------------------------------------------------------


class Record:
    """Writes what was sent, answered and run, with seconds since the start, to the case's record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


# --- HTTP -----------------------------------------------------------------------------------------


REASONS = {200: "OK", 201: "Created"}


async def read_message(reader):
    """First line, headers and body of one message; None if the connection was closed before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class HttpServer:
    """Answers requests by `handle(method, path, body) -> (status, object)`, one after the other on each connection."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None
        self.address = ""

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port, backlog=512)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                method, path, _ = message[0].split(" ", 2)
                status, answer = await self.handle(method, path, message[2])
                body = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    def stop(self):
        if self.server is not None:
            self.server.close()
        for task in list(self.connections):
            task.cancel()


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, address):
        self.address = address
        self.streams = None
        self.longest_line = 0  # bytes, of the body of the last response

    async def request(self, method, path, body=None, timeout_s=5.0):
        """Status, headers and decoded body; status 0 without an answer in time."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout_s)
        except (OSError, asyncio.TimeoutError, ValueError, TypeError):
            self.close()
            return 0, {}, None

    async def _request(self, method, path, body):
        if self.streams is None:
            host, port = self.address.rsplit(":", 1)
            self.streams = await asyncio.open_connection(host, int(port))
        reader, writer = self.streams
        payload = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: {len(payload)}\r\n"
        writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + payload)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed before the answer")
        self.longest_line = max(map(len, message[2].split(b"\n")))
        status = int(message[0].split(" ", 2)[1])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return status, message[1], json.loads(message[2]) if message[2] else None

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


async def ask(address, method, path, body=None, timeout_s=5.0):
    """One request on a connection of its own: status, headers, decoded body."""
    connection = Connection(address)
    try:
        return await connection.request(method, path, body, timeout_s)
    finally:
        connection.close()


class Bucket:
    """A limit with bursts of `burst_s` seconds' worth; what exceeds it is refused at once."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.most = rate, rate * burst_s
        self.tokens, self.at = self.most, time.monotonic()

    def take(self, amount=1.0):
        now = time.monotonic()
        self.tokens, self.at = min(self.most, self.tokens + (now - self.at) * self.rate), now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


# --- state service --------------------------------------------------------------------------------


class StateService:
    """Keys, transactions, leases and watches of PROTOCOL, in memory, with its limits.

    `served_writes` counts puts and deletes that were carried out, `refused` requests that were answered with 429.
    """

    def __init__(self, params, latency_ms=3.0):
        self.params, self.latency_s = params, latency_ms / 1000
        self.keys, self.revision, self.log = {}, 0, []
        self.in_order = None  # the keys in order, made when needed
        self.leases, self.next_lease = {}, 0
        self.requests, self.writes = Bucket(params["rps"]), Bucket(params["write_rps"])
        self.changed = asyncio.Event()
        self.out = False  # an outage: every request is answered with 503
        self.served_writes = self.refused = 0
        self.http = HttpServer(self.handle)
        self.expiry = None

    async def start(self):
        await self.http.start()
        self.expiry = asyncio.create_task(self._expire())
        return self

    async def handle(self, method, path, body):
        await asyncio.sleep(self.latency_s)
        if self.out:
            return 503, {"error": "trouble"}
        if not self.requests.take():
            self.refused += 1
            return 429, {"error": "too many requests"}
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        try:
            if url.path == "/txn":
                return self._txn(json.loads(body))
            if url.path == "/changes":
                return await self._watch(query)
            if url.path.startswith("/leases"):
                return self._lease(method, url.path.split("/")[2:], body)
            if url.path == "/keys":
                return self._page(query)
            key = url.path.removeprefix("/keys/")
            held = self.keys.get(key)
            return (200, self._pair(key)) if held else (404, {"ledger_mark": self.revision})
        except (KeyError, TypeError, ValueError) as error:
            return 400, {"error": f"malformed: {error}"}

    def _pair(self, key):
        value, stamp, tenancy = self.keys[key]
        return {"k": key, "value": value, "stamp": stamp, "tenancy": tenancy}

    def _page(self, query):
        most, prefix, after = min(1000, int(query.get("page", 1000))), query["under"], query.get("after", "")
        if self.in_order is None:
            self.in_order = sorted(self.keys)
        first = bisect.bisect_right(self.in_order, after) if after > prefix else bisect.bisect_left(self.in_order, prefix)
        pairs, size, truncated = [], 0, False
        for key in itertools.islice(self.in_order, first, None):
            if not key.startswith(prefix):
                break
            size += len(json.dumps(self._pair(key)))
            if len(pairs) == most or (pairs and size > 512 * 1024):
                truncated = True
                break
            pairs.append(self._pair(key))
        return 200, {"pairs": pairs, "truncated": truncated, "ledger_mark": self.revision}

    def load(self, pairs):
        """Put many keys at once, each with a revision of its own, as if it had been written long ago."""
        for key, value in pairs:
            self.revision += 1
            self.keys[key] = (value, self.revision, None)
            self.log.append((self.revision, key, {"set": key, "value": value, "stamp": self.revision}))
        del self.log[:-10000]
        self.in_order = None
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["under"]
        until = time.monotonic() + min(60000, int(query.get("wait_ms", 0))) / 1000
        while True:
            if self.log and after < self.log[0][0] - 1 and len(self.log) >= 10000:
                return 410, {"error": "too old"}
            found = []
            for revision, key, plain in reversed(self.log):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    found.append(plain)
            left = until - time.monotonic()
            if (found or left <= 0) and not self.out:
                return 200, {"ledger_mark": self.revision, "log": found[::-1]}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, left))
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        when, writes = body.get("when") or [], body.get("writes") or []
        if len(writes) > self.params["txn_ops"] or len(when) > 4 * self.params["txn_ops"]:
            raise ValueError("too many changes or conditions")
        for write in writes:
            if "set" in write and len(json.dumps(write["value"])) > self.params["value_kb"] * 1024:
                raise ValueError("a value is too large")
        if not self.writes.take(len(writes)):
            self.refused += 1
            return 429, {"error": "too many changes"}
        if any(write.get("tenancy") is not None and write["tenancy"] not in self.leases for write in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_mark": self.revision}
        self._apply(writes)
        self.served_writes += len(writes)
        return 200, {"ledger_mark": self.revision}

    def _apply(self, writes):
        if not writes:
            return
        self.revision += 1
        for write in writes:
            if "set" in write:
                key = write["set"]
                self.in_order = self.in_order if key in self.keys else None
                self.keys[key] = (write["value"], self.revision, write.get("tenancy"))
                self.log.append((self.revision, key, {"set": key, "value": write["value"], "stamp": self.revision}))
            elif self.keys.pop(write["delete"], None) is not None:
                key = write["delete"]
                self.in_order = None
                self.log.append((self.revision, key, {"delete": key, "stamp": self.revision}))
        del self.log[:-10000]
        self.changed.set()
        self.changed = asyncio.Event()

    def _lease(self, method, parts, body):
        if not parts:
            life_s = int(json.loads(body)["life_ms"]) / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = [life_s, time.monotonic() + life_s]
            return 200, {"tenancy": self.next_lease}
        number = int(parts[0])
        if number not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(number)
        else:
            self.leases[number][1] = time.monotonic() + self.leases[number][0]
        return 200, {"tenancy": number}

    def _end(self, number):
        del self.leases[number]
        self._apply([{"delete": key} for key, held in sorted(self.keys.items()) if held[2] == number])

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.out:  # after an outage every lease has its full time again
                for lease in self.leases.values():
                    lease[1] = time.monotonic() + lease[0]
                continue
            for number in [n for n, lease in self.leases.items() if lease[1] < time.monotonic()]:
                self._end(number)

    def leader(self):
        """Name of the controller that holds the leader's key; None if none does."""
        held = self.keys.get("j/leader")
        return held[0]["node"] if held else None


# --- workers and cloud ----------------------------------------------------------------------------


class Worker:
    """One machine's worker: reports, leases, sessions and tokens as in PROTOCOL; tasks of arrays and services."""

    def __init__(self, bench, name, kind, zone, loaners):
        self.bench, self.name, self.kind, self.zone, self.loaners = bench, name, kind, zone, loaners
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.tasks = {}  # (piece, try) -> dict(status, cause, until)
        self.images = set()
        self.lease_from = time.monotonic()
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)
        self.loops = []
        self.node = random.randrange(len(bench.controllers))

    async def start(self):
        await self.http.start()
        self.loops = [asyncio.create_task(self._reports()), asyncio.create_task(self._clock())]

    def stop(self):
        for loop in self.loops:
            loop.cancel()
        self.http.stop()
        self._drop("machine gone")

    def _drop(self, why):
        for (piece, attempt), task in self.tasks.items():
            if task["status"] != "ended":
                self.note(f"{piece} try {attempt} is off the machine: {why}", piece)
        self.tasks.clear()

    def note(self, text, piece):
        """Record what happened to a task; of large arrays only the first three tasks."""
        job_id, _, number = piece.partition("/")
        if int(number) < 3 or self.bench.jobs[job_id]["pieces"] <= 100:
            self.bench.record(f"{self.name}: {text}")

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            row = {"piece": piece, "try": attempt, "status": task["status"]}
            if task["status"] == "ended":
                row["cause"] = task["cause"]
            pieces.append(row)
        return {
            "perch": self.name, "endpoint": self.http.address, "build": self.kind, "yard": self.zone,
            "loaners": self.loaners, "tenure": self.tenure, "tally": self.tally, "baton": self.baton,
            "reclaim_in_s": None, "pieces": pieces,
        }  # fmt: skip

    async def _clock(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if now - self.lease_from > self.bench.params["workers"]["lease_s"]:
                running = sum(task["status"] != "ended" for task in self.tasks.values())
                self.bench.record(f"{self.name}: lease over, session {self.tenure} ends with {running} tasks")
                self.bench.leases_ended.append((self.name, running))
                self._drop("lease over")
                self.tenure, self.lease_from = self.tenure + 1, now
                self.changed.set()
            for (piece, attempt), task in self.tasks.items():
                if task["until"] is not None and now >= task["until"]:
                    job = self.bench.jobs[piece.partition("/")[0]]
                    if task["status"] == "pulling":
                        self.images.add(job["bundle"])
                        task["status"] = "running"
                        task["until"] = None if job["shape"] == "daemon" else now + job["run_s"]
                        self.note(f"{piece} try {attempt} runs", piece)
                        if piece in self.bench.results:
                            task["until"] = now
                    else:
                        task.update(status="ended", cause="done", until=None)
                        self.bench.results.add(piece)
                        self.note(f"{piece} try {attempt} done", piece)
                    self.changed.set()

    async def _reports(self):
        report_s = self.bench.params["workers"]["report_s"]
        connection = None
        seen_token_at = 0.0
        while True:
            address = self.bench.controllers[self.node].bind
            if connection is None or connection.address != address:
                connection = Connection(address)
            sent, tenure = time.monotonic(), self.tenure
            self.changed.clear()
            report = json.dumps(self.report(), separators=(",", ":")).encode()
            status, _, answer = await connection.request("POST", "/agent/beat", report, 4.0)
            if len(report) > MAX_BYTES:
                self.bench.record(f"{self.name}: its own report had {len(report)} bytes; answered {status}")
                self.bench.reports_refused += status == 400
            if status == 200 and connection.longest_line > MAX_BYTES:
                self.bench.oversize(f"{self.name}: a response with a line of {connection.longest_line} bytes; dropped")
                status = 0
            if status == 200 and isinstance(answer, dict):
                baton = answer.get("baton", -1)
                if baton >= self.baton and tenure == self.tenure:
                    if baton > self.baton and sent - seen_token_at > self.bench.params["workers"]["lease_s"] / 2:
                        seen_token_at = sent
                        self.changed.set()
                    self.baton, self.lease_from = baton, max(self.lease_from, sent)
                    self.execute(answer.get("orders") or [])
                wait = report_s * random.uniform(0.75, 1.25) - (time.monotonic() - sent)
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.0, wait))
                except asyncio.TimeoutError:
                    pass
                await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
                continue
            connection.close()
            connection = None
            names = [controller.name for controller in self.bench.controllers]
            foreman = answer.get("foreman") if status == 421 and isinstance(answer, dict) else None
            if foreman in names and names.index(foreman) != self.node:
                self.node = names.index(foreman)
                await asyncio.sleep(random.random() * 0.5)
            else:
                self.node = (self.node + 1) % len(names)
                await asyncio.sleep(1.0)

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(*key)
            elif order["verb"] == "kill" and task is not None and task["status"] != "ended":
                task.update(status="ended", cause="halted", until=None)
                self.note(f"{key[0]} try {key[1]} killed", key[0])
                self.changed.set()
            elif order["verb"] == "reap" and task is not None and task["status"] == "ended":
                del self.tasks[key]
                self.changed.set()

    def _launch(self, piece, attempt):
        job = self.bench.jobs.get(piece.partition("/")[0])
        task = {"status": "ended", "cause": "no_such", "until": None}
        self.tasks[(piece, attempt)] = task
        self.changed.set()
        if job is None:
            return
        live = [p for (p, _), t in self.tasks.items() if t["status"] != "ended"]
        kind = self.bench.types[self.kind]
        cores = sum(self.bench.jobs[p.partition("/")[0]]["cores"] for p in live)
        memory = sum(self.bench.jobs[p.partition("/")[0]]["memory_gb"] for p in live)
        if piece in live:
            task["cause"] = "in_use"
        elif cores + job["cores"] > kind["cores"] or memory + job["memory_gb"] > kind["memory_gb"]:
            task["cause"] = "full"
        else:
            pull_s = 0.0 if job["bundle"] in self.images else job["pull_gb"] / kind["pull_gb_per_s"]
            task.update(status="pulling", until=time.monotonic() + pull_s)

    async def handle(self, method, path, body):
        if path == "/inspect":
            return 200, self.report()
        if len(body) > MAX_BYTES:
            self.bench.oversize(f"{self.name}: a request of {len(body)} bytes to {path}; refused with 400")
            return 400, {"error": "the body is larger than 64 KiB"}
        message = json.loads(body)
        if "baton" not in message or "tenure" not in message:
            return 400, {"error": "baton and tenure wanted"}
        if message["baton"] < self.baton or message["tenure"] != self.tenure:
            return 409, self.report()
        if message["baton"] > self.baton:
            self.baton = message["baton"]
        self.execute(message["orders"])
        return 200, self.report()


class Cloud:
    """Rents machines; `capacity` bounds the ordinary machines of each type and zone; no spot ones."""

    def __init__(self, bench, capacity):
        self.bench, self.capacity = bench, dict(capacity)
        self.machines = {}  # name -> dict
        self.hires = {}
        self.next = 0
        self.calls = Bucket(bench.params["cloud"]["rps"], 2.0)
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, body):
        await asyncio.sleep(0.1)
        if not self.calls.take():
            return 429, {"error": "too many calls"}
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/flavors":
            return 200, {"builds": list(self.bench.types.values())}
        if url.path == "/hosts/release":
            for name in json.loads(body)["perches"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    self.bench.record(f"cloud: {name} returned")
                    self.capacity[machine["build"], machine["yard"]] += 1
                    if machine["worker"] is not None:
                        machine["worker"].stop()
            return 200, {}
        if method == "POST":
            return self._rent(json.loads(body))
        shown_until = time.monotonic() - self.bench.params["cloud"]["list_lag_s"]
        rows = []
        for name, machine in sorted(self.machines.items()):
            if name > query.get("after", "") and machine["at"] <= shown_until:
                rows.append({
                    "name_id": name, "endpoint": machine["worker"].http.address if machine["worker"] else None,
                    "build": machine["build"], "yard": machine["yard"], "loaners": False,
                    "status": "running" if machine["worker"] else "starting", "held_s": shown_until - machine["at"],
                })  # fmt: skip
        return 200, {"perches": rows[: int(query.get("page", 500))], "truncated": False}

    def _rent(self, request):
        if request["hire"] in self.hires:
            return 200, {"perches": self.hires[request["hire"]]}
        zone, room = request["yard"], self.capacity.get((request["build"], request["yard"]), 0)
        if room <= 0 or request["loaners"]:
            return 503, {"error": "no capacity"}
        names = [self.add(request["build"], zone) for _ in range(min(room, request["count"], 50))]
        self.hires[request["hire"]] = names
        self.bench.record(f"cloud: rented {', '.join(names)} in {zone}")
        return 200, {"perches": names}

    def add(self, build, zone):
        self.next += 1
        name = f"n-{self.next:06d}"
        self.capacity[build, zone] -= 1
        self.machines[name] = {"build": build, "yard": zone, "worker": None, "at": time.monotonic()}
        asyncio.get_running_loop().create_task(self._boot(name, self.bench.boot_s))
        return name

    async def _boot(self, name, seconds):
        await asyncio.sleep(seconds)
        machine = self.machines.get(name)
        if machine is not None:
            machine["worker"] = Worker(self.bench, name, machine["build"], machine["yard"], False)
            await machine["worker"].start()


# --- controllers ----------------------------------------------------------------------------------


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Controller:
    """One controller process of the project, run as deploy/service.toml says."""

    def __init__(self, bench, index, zone):
        self.bench, self.name, self.zone = bench, f"perch-{index}", zone
        self.bind, self.peer = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        self.process = None
        self.log = bench.folder / f"{self.name}.log"

    def write_settings(self):
        bench = self.bench
        lines = [f'node_name = "{self.name}"', f'zone = "{self.zone}"', f'bind = "{self.bind}"']
        lines += [f'peer_listen = "{self.peer}"']
        for other in bench.controllers:
            if other is not self:
                lines += ["[[members]]", f'node_name = "{other.name}"', f'zone = "{other.zone}"']
                lines += [f'endpoint = "{other.peer}"']
        lines += ["[outside]", f'cloud = "{bench.cloud.http.address}"', f'state = "{bench.state.http.address}"']
        params = bench.params
        lines += ["[params]", f"nodes = {len(bench.controllers)}", f"zones = {json.dumps(params['zones'])}"]
        lines += [f"clock_error_ms = {params['clock_error_ms']}"]
        for name in ("teams", "objectives"):
            for row in params[name]:
                lines += [f"[[params.{name}]]", *(f"{key} = {json.dumps(value)}" for key, value in row.items())]
        for name in ("workers", "state", "cloud", "machine_limits"):
            lines += [f"[params.{name}]", *(f"{key} = {json.dumps(value)}" for key, value in params[name].items())]
        path = bench.folder / f"{self.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self):
        run = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*run, str(self.write_settings())], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )  # fmt: skip
        self.bench.record(f"{self.name}: process {self.process.pid} started")

    def signal(self, number):
        self.bench.record(f"{self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def ended(self):
        """Exit code if the process has ended, else None."""
        return self.process.poll() if self.process is not None else None

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def cpu_s(self):
        """Processor time that the process has used so far, in seconds."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, IndexError):
            return 0.0


# --- load balancer --------------------------------------------------------------------------------


class LoadBalancer:
    """Probes the controllers as PROTOCOL says and picks the one with the fewest open connections of users."""

    def __init__(self, bench):
        self.bench = bench
        self.healthy = {}
        self.open = {}

    async def run(self):
        await asyncio.gather(*(self._probe(controller) for controller in self.bench.controllers))

    async def _probe(self, controller):
        good = bad = 0
        known = False
        while True:
            began = time.monotonic()
            status, _, _ = await ask(controller.bind, "GET", "/healthz", None, 1.0)
            good, bad = (good + 1, 0) if status == 200 else (0, bad + 1)
            before = self.healthy.get(controller.name, False)
            if bad >= 2:
                self.healthy[controller.name] = False
            elif good >= 2 or (good and not known):
                self.healthy[controller.name] = known = True
            if before != self.healthy.get(controller.name, False):
                self.bench.record(f"balancer: {controller.name} healthy: {not before}")
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - began)))

    def choose(self):
        """The controller for a new connection; the first of all if none is healthy."""
        healthy = [c for c in self.bench.controllers if self.healthy.get(c.name)] or self.bench.controllers
        return min(healthy, key=lambda c: (self.open.get(c.name, 0), random.random()))

    def connect(self):
        controller = self.choose()
        self.open[controller.name] = self.open.get(controller.name, 0) + 1
        return controller

    def disconnect(self, controller):
        self.open[controller.name] -= 1


# --- all together ---------------------------------------------------------------------------------


class Bench:
    """A small deployment: controllers, state service, cloud, workers, load balancer."""

    def __init__(self, folder, record, params, types, capacity, boot_s):
        self.folder, self.record, self.params = folder, record, params
        self.types = {kind["sku"]: kind for kind in types}
        self.boot_s = boot_s
        self.jobs, self.results, self.leases_ended = {}, set(), []
        self.reports_refused = 0  # reports of workers beyond the protocol's limit
        self.oversized = 0  # requests and responses of controllers to workers beyond the protocol's limit
        self.capacity = capacity
        self.controllers = []
        self.state = self.cloud = self.balancer = None
        self.tasks = []

    async def start(self, controllers):
        """Start everything; returns once all controllers are healthy and one leads. Raises CannotRun after 30 s."""
        self.state = await StateService(self.params["state"]).start()
        self.cloud = Cloud(self, self.capacity)
        await self.cloud.http.start()
        zones = self.params["zones"]
        self.controllers = [Controller(self, n, zones[n % len(zones)]) for n in range(controllers)]
        for controller in self.controllers:
            controller.start()
        self.balancer = LoadBalancer(self)
        self.tasks.append(asyncio.create_task(self.balancer.run()))
        until = time.monotonic() + 30
        while not (all(self.balancer.healthy.get(c.name) for c in self.controllers) and self.state.leader()):
            if time.monotonic() > until:
                raise CannotRun("the controllers were not healthy, with a leader, within 30 s")
            await asyncio.sleep(0.1)
        self.record(f"all {controllers} controllers are healthy, {self.state.leader()} leads")

    def oversize(self, text):
        self.oversized += 1
        self.record(text)

    def running(self, job_id):
        """How many tasks of the job have their image and run on a machine now."""
        machines = [m["worker"] for m in self.cloud.machines.values() if m["worker"] is not None]
        return sum(
            1 for worker in machines for (piece, _), task in worker.tasks.items()
            if piece.partition("/")[0] == job_id and task["status"] == "running"
        )  # fmt: skip

    def running_in_all(self):
        return sum(self.running(job_id) for job_id in self.jobs)

    def leader(self):
        return next((c for c in self.controllers if c.name == self.state.leader()), None)

    def stop(self):
        for controller in self.controllers:
            controller.stop()
        for task in self.tasks:
            task.cancel()
        for machine in self.cloud.machines.values() if self.cloud else ():
            if machine["worker"] is not None:
                machine["worker"].stop()
        for part in (self.state, self.cloud):
            if part is not None:
                part.http.stop()

    def job(self, name_id, run_s=20.0, **fields):
        """A valid job description; `run_s` is how long each task runs on the stand-in workers."""
        job = {
            "name_id": name_id, "jobclass": "outage-report", "crew": self.params["teams"][0]["name"], "shape": "sweep",
            "urgency": "standard", "pieces": 1, "cores": 1.0, "gpus": 0.0, "memory_gb": 2.0, "bundle": "img-1",
            "pull_gb": 0.0, "builds": None, "yard": None, "one_zone": False, "apart": False, "loaners": False,
            "expected_s": run_s, "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": None,
        }  # fmt: skip
        job.update(fields)
        self.jobs[name_id] = {**job, "run_s": run_s}
        return job

    async def submit(self, job, for_s=60.0):
        """Submit as a user does: retried for up to 60 s. Returns the last status."""
        return (await self.persist("POST", "/work", job, for_s, f"submit {job['name_id']}"))[0]

    async def persist(self, method, path, body, for_s, what, connection=None):
        """Repeat a request until 200, 201, 400, 404 or 422, each try 5 s at most; status and body of the last try."""
        until = time.monotonic() + for_s
        while True:
            controller = None
            if connection is None:
                controller = self.balancer.connect()
                status, headers, answer = await ask(controller.bind, method, path, body, 5.0)
                self.balancer.disconnect(controller)
            else:
                status, headers, answer = await connection.request(method, path, body, 5.0)
            name = controller.name if controller is not None else connection.address
            self.record(f"{what} at {name}: {status} {json.dumps(answer)[:200] if answer else ''}")
            if status in (200, 201, 400, 404, 422) or time.monotonic() >= until:
                return status, answer
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 0) or 0))))


def params_of(zones, teams, workers, state, cloud, clock_error_ms=100.0, objectives=(), limits=None):
    """The settings' `params`. Workers: report_s, lease_s, gang_wait_s, gang_peer_s, cancel_s."""
    return {
        "zones": zones, "clock_error_ms": clock_error_ms, "objectives": list(objectives),
        "teams": [{"name": n, "cpus": c, "cpus_max": m, "gpus": 0.0, "gpus_max": 0.0} for n, c, m in teams],
        "workers": dict(zip(("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"), workers, strict=True)),
        "state": dict(zip(("rps", "write_rps", "value_kb", "txn_ops"), state, strict=True)),
        "cloud": dict(zip(("rps", "list_lag_s"), cloud, strict=True)),
        "machine_limits": limits or {"cpu": 0.36, "mem_mb": 266.0, "sockets": 1500},
    }  # fmt: skip


def portal_bench(folder, record):
    """The small guild-member-portal deployment: three controllers, 23 machines at most, two up at the start."""
    params = params_of(
        ["st-elizabeth", "clarendon-hills", "portland-east"],
        [("member-support", 168.0, 672.0), ("tower-ops", 200.0, 672.0), ("billing-desk", 112.0, 336.0)],
        (2.5, 14.0, 50.0, 5.0, 34.0),
        (150.0, 60.0, 16.0, 48),
        (3.0, 6.0),
    )
    kind = {
        "sku": "breadfruit-box", "cores": 16, "gpus": 0, "memory_gb": 64, "cache_gb": 70, "pull_gb_per_s": 0.3,
        "rate": 0.89, "market_price": 0.23, "ready_s": 15, "yards": params["zones"],
    }  # fmt: skip
    counts = {"st-elizabeth": 9, "clarendon-hills": 8, "portland-east": 6}
    capacity = {("breadfruit-box", zone): count for zone, count in counts.items()}
    return Bench(folder, record, params, [kind], capacity, boot_s=10.0)


def stations_bench(folder, record):
    """The small zarqa-air-stations deployment: three controllers, 19 machines at most, none up at the start."""
    teams = [("station-field-crew", 40.0, 128.0)]
    teams += [(name, 32.0, 96.0) for name in ("health-liaison", "data-quality-desk", "web-services", "night-duty")]
    params = params_of(
        ["amman-hills", "zarqa-east", "irbid-north", "aqaba-coast"], teams, (3.0, 18.0, 40.0, 5.0, 48.0),
        (150.0, 40.0, 16.0, 32), (4.0, 5.0), clock_error_ms=1000.0,
        limits={"cpu": 0.36, "mem_mb": 146.0, "sockets": 900},
    )  # fmt: skip
    sizes = [("small", 4, 30, 0.3, 0.18, 0.06, 35), ("medium", 8, 60, 0.6, 0.33, 0.11, 15)]
    sizes += [("heavy", 64, 70, 0.8, 2.77, 0.88, 15)]
    zones = {"small": params["zones"][1:3], "medium": params["zones"], "heavy": params["zones"][1:]}
    kinds = [
        {
            "sku": f"kestrel-{name}", "cores": cores, "gpus": 0, "memory_gb": 4 * cores, "cache_gb": cache,
            "pull_gb_per_s": rate, "rate": price, "market_price": spot, "ready_s": boot, "yards": zones[name],
        }
        for name, cores, cache, rate, price, spot, boot in sizes
    ]  # fmt: skip
    capacity = {
        (f"kestrel-{name}", zone): count
        for name, count in (("small", 7), ("medium", 1), ("heavy", 1)) for zone in zones[name]
    }  # fmt: skip
    return Bench(folder, record, params, kinds, capacity, boot_s=10.0)


def main(case, limit_s=112.0):
    """Run `case(bench_folder, record, trouble) -> BROKEN or HELD` and exit with its result, 2 if it could not run."""
    path = Path(sys.argv[1]).resolve()  # record.txt in the folder of the case
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(path)
    record.say(f"disruption: {'yes' if trouble else 'no'}")
    with tempfile.TemporaryDirectory(prefix="pepperlatch-review-") as temporary:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the controllers are ended on the way out
        try:
            result = asyncio.run(asyncio.wait_for(case(Path(temporary), record, trouble), limit_s))
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record.say(f"the case could not run: {error!r}")
            result = NOT_RUN
        for log in sorted(Path(temporary).glob("*.log")):
            tail = log.read_text(errors="replace").splitlines()[-30:]
            record(f"end of {log.name}:\n" + "\n".join(tail).replace(str(ROOT), ".").replace(temporary, "TMP"))
    record.say({BROKEN: "the rule was BROKEN", HELD: "the rule held", NOT_RUN: "NOT RUN"}[result])
    sys.exit(result)
