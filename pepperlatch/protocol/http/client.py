"""A pooled HTTP client that tells apart what was surely not sent and what may have been carried out."""

from dataclasses import dataclass, field
from typing import Any, Protocol

import h11
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.settings import split_address


class NotSent(Exception):
    """No connection came about, so the request cannot be carried out, not even later."""


class NoUsableResponse(Exception):
    """No answer: the request may have been carried out, or may yet be."""


class Network(Protocol):
    """What the protocol clients need of a network; the tests bring one in memory."""

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]: ...


def _unpacked(data: bytes) -> bytes:
    """Raises h11.RemoteProtocolError if it is not what it says, or larger than any answer."""
    import zlib

    unpacker = zlib.decompressobj(16 + zlib.MAX_WBITS)
    try:
        plain = unpacker.decompress(data, c.MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise h11.RemoteProtocolError(f"not gzip: {error}") from None
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise h11.RemoteProtocolError("compressed answer cut off, or too large")
    return plain


@dataclass(slots=True, eq=False)
class _Link:
    addr: str
    stream: trio.SocketStream
    conn: h11.Connection
    idle_since: float = 0.0


@dataclass(slots=True)
class HttpNetwork:
    """Requests over TCP; connections are kept and used again while they are young.

    At most `max_connections` at once: one that nobody uses makes room for a new one, or a few hundred partners that
    were asked lately would keep all others from being asked.
    """

    max_connections: int
    gzip: bool = False  # ask for compressed answers
    received_bytes: int = 0  # bytes of bodies, as they came
    _idle: dict[str, list[_Link]] = field(default_factory=dict)
    _resting: dict[_Link, None] = field(default_factory=dict)  # all that are idle, the longest first
    _open: int = 0

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]:
        """Status and decoded body. Raises NotSent or NoUsableResponse. Cancelled, it closes the connection it used."""
        status, _, answer = await self.request_with_retry_after(addr, method, path, body, deadline_s)
        return status, answer

    async def request_with_retry_after(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, str, Any]:
        """As `request`, with what the answer says in Retry-After between the two ("" if nothing)."""
        payload = b"" if body is None else orjson.dumps(body)
        started = trio.current_time()
        link = await self._link(addr, min(c.CONNECT_TIMEOUT_S, deadline_s))
        kept = False
        try:
            with trio.fail_after(max(0.01, deadline_s - (trio.current_time() - started))):
                status, retry_after, data = await self._exchange(link, addr, method, path, payload)
                kept = self._keep(addr, link)
            return status, retry_after, (orjson.loads(data) if data else None)
        except (
            trio.TooSlowError,
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.ProtocolError,
        ) as error:
            raise NoUsableResponse(f"{addr}{path}: {error!r}") from None
        except orjson.JSONDecodeError as error:
            raise NoUsableResponse(f"{addr}{path}: answer is not JSON: {error}") from None
        finally:
            if not kept:
                self._close(link)

    async def _link(self, addr: str, seconds: float) -> _Link:
        while idle := self._idle.get(addr):
            link = idle[-1]
            self._wake(link)
            if trio.current_time() - link.idle_since < c.POOL_IDLE_S and not link.stream.socket.is_readable():
                return link
            self._close(link)
        if self._open >= self.max_connections and self._resting:
            self._drop(next(iter(self._resting)))
        if self._open >= self.max_connections:
            raise NotSent("too many connections")
        host, port = split_address(addr)
        sock = trio.socket.socket()
        self._open += 1
        try:
            with trio.fail_after(seconds):
                await sock.connect((host, port))
            return _Link(addr, trio.SocketStream(sock), h11.Connection(h11.CLIENT))
        except BaseException as error:
            self._open -= 1
            sock.close()
            if isinstance(error, OSError | trio.TooSlowError):
                raise NotSent(f"{addr}: {error!r}") from None
            raise

    async def _exchange(self, link: _Link, addr: str, method: str, path: str, payload: bytes) -> tuple[int, str, bytes]:
        conn, stream = link.conn, link.stream
        headers = [("Host", addr), ("Content-Length", str(len(payload))), ("Content-Type", "application/json")]
        if self.gzip:
            headers.append(("Accept-Encoding", "gzip"))
        data = conn.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if payload:
            data += conn.send(h11.Data(data=payload)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        await stream.send_all(data)
        status, retry_after, packed, answer = 0, "", False, bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(c.READ_CHUNK_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                retry_after = next((v.decode("ascii") for name, v in event.headers if name == b"retry-after"), "")
                packed = any(name == b"content-encoding" and v == b"gzip" for name, v in event.headers)
            elif isinstance(event, h11.Data):
                answer += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.received_bytes += len(answer)
                return status, retry_after, _unpacked(bytes(answer)) if packed else bytes(answer)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the answer")

    def _keep(self, addr: str, link: _Link) -> bool:
        idle = self._idle.setdefault(addr, [])
        if (
            link.conn.our_state is not h11.DONE
            or link.conn.their_state is not h11.DONE
            or len(idle) >= c.MAX_IDLE_CONNECTIONS_PER_ADDRESS
        ):
            return False
        link.conn.start_next_cycle()
        link.idle_since = trio.current_time()
        idle.append(link)
        self._resting[link] = None
        return True

    def _close(self, link: _Link) -> None:
        self._open -= 1
        link.stream.socket.close()

    def _wake(self, link: _Link) -> None:
        """It rests no more; nothing is kept of a partner without an idle connection."""
        del self._resting[link]
        self._idle[link.addr].remove(link)
        if not self._idle[link.addr]:
            del self._idle[link.addr]

    def _drop(self, link: _Link) -> None:
        self._wake(link)
        self._close(link)

    def close(self) -> None:
        """Close all pooled connections; a request that is under way keeps its own."""
        while self._resting:
            self._drop(next(iter(self._resting)))

    def drop_idle(self) -> None:
        """Close pooled connections that nobody used for a while."""
        now = trio.current_time()
        while self._resting and now - next(iter(self._resting)).idle_since >= c.POOL_IDLE_S:
            self._drop(next(iter(self._resting)))
