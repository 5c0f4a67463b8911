"""A pooled HTTP client whose errors tell requests that were certainly not sent from those that may be carried out.

Addresses are host and port; bodies are JSON both ways; times are seconds of trio's clock.
"""

from dataclasses import dataclass, field
from typing import Any, Protocol

import h11
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.settings import SettingsError, split_address


class NotSent(Exception):
    """No connection was made, so the request is not carried out, neither now nor later."""


class NoUsableResponse(Exception):
    """No answer, or none that can be read: the request may have been carried out, or may still be."""


class Network(Protocol):
    """What the protocol clients need of a network; the tests implement it in memory."""

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]: ...


def _gunzip(data: bytes) -> bytes:
    """Unpack the data. Raises h11.RemoteProtocolError if it is not whole gzip, or longer than MAX_UNPACKED_BYTES."""
    import zlib

    decompressor = zlib.decompressobj(16 + zlib.MAX_WBITS)
    try:
        plain = decompressor.decompress(data, c.MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise h11.RemoteProtocolError(f"not gzip: {error}") from None
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise h11.RemoteProtocolError("compressed answer cut off, or too large")
    return plain


@dataclass(slots=True, eq=False)
class _Connection:
    """A connection with its HTTP state; `idle_since` is set while it is in the pool."""

    addr: str
    stream: trio.SocketStream
    conn: h11.Connection
    idle_since: float = 0.0


@dataclass(slots=True)
class HttpNetwork:
    """Requests over TCP; idle connections are pooled and reused for up to POOL_IDLE_S.

    At most `max_connections` are open at once. At that limit the longest idle connection is closed for a new one:
    without this, connections kept to a few hundred addresses would block requests to all others.
    """

    max_connections: int
    gzip: bool = False  # ask for compressed answers
    received_bytes: int = 0  # of all answers' bodies, before they are unpacked
    _idle: dict[str, list[_Connection]] = field(default_factory=dict)
    _idle_order: dict[_Connection, None] = field(default_factory=dict)  # all idle connections, the longest idle first
    _open: int = 0

    async def request(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, Any]:
        """Send a request; returns the status and the decoded body, None if that is empty.

        `deadline_s`: seconds for the whole request, of which at most CONNECT_TIMEOUT_S go to connecting. Raises NotSent
        or NoUsableResponse. If the caller is cancelled, the connection is closed.
        """
        status, _, answer = await self.request_with_retry_after(addr, method, path, body, deadline_s)
        return status, answer

    async def request_with_retry_after(
        self, addr: str, method: str, path: str, body: Any = None, deadline_s: float = 2.0
    ) -> tuple[int, str, Any]:
        """As `request`, with the answer's Retry-After header between status and body ("" if there is none)."""
        payload = b"" if body is None else orjson.dumps(body)
        started = trio.current_time()
        connection = await self._connect(addr, min(c.CONNECT_TIMEOUT_S, deadline_s))
        kept = False
        try:
            with trio.fail_after(max(0.01, deadline_s - (trio.current_time() - started))):
                status, retry_after, data = await self._exchange(connection, addr, method, path, payload)
                kept = self._return_to_pool(addr, connection)
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
                self._close(connection)

    async def _connect(self, addr: str, seconds: float) -> _Connection:
        """A pooled connection to the address, or a new one.

        Raises NotSent, also if all connections are in use and for an address that is none.
        """
        while idle := self._idle.get(addr):
            connection = idle[-1]
            self._take_from_pool(connection)
            if (
                trio.current_time() - connection.idle_since < c.POOL_IDLE_S
                and not connection.stream.socket.is_readable()
            ):
                return connection
            self._close(connection)
        if self._open >= self.max_connections and self._idle_order:
            self._drop_idle_one(next(iter(self._idle_order)))
        if self._open >= self.max_connections:
            raise NotSent("too many connections")
        try:
            host, port = split_address(addr)
        except SettingsError as error:
            raise NotSent(str(error)) from None
        sock = trio.socket.socket()
        self._open += 1
        try:
            with trio.fail_after(seconds):
                await sock.connect((host, port))
            return _Connection(addr, trio.SocketStream(sock), h11.Connection(h11.CLIENT))
        except BaseException as error:
            self._open -= 1
            sock.close()
            if isinstance(error, OSError | trio.TooSlowError | ValueError):  # ValueError: no name of a host
                raise NotSent(f"{addr!r}: {error!r}") from None
            raise

    async def _exchange(
        self, connection: _Connection, addr: str, method: str, path: str, payload: bytes
    ) -> tuple[int, str, bytes]:
        conn, stream = connection.conn, connection.stream
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
                retry_after = next((v.decode("latin-1") for name, v in event.headers if name == b"retry-after"), "")
                packed = any(name == b"content-encoding" and v == b"gzip" for name, v in event.headers)
            elif isinstance(event, h11.Data):
                answer += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.received_bytes += len(answer)
                return status, retry_after, _gunzip(bytes(answer)) if packed else bytes(answer)
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("closed before the answer")

    def _return_to_pool(self, addr: str, connection: _Connection) -> bool:
        """Whether the connection went back to the pool; if not, the caller closes it."""
        idle = self._idle.setdefault(addr, [])
        if (
            connection.conn.our_state is not h11.DONE
            or connection.conn.their_state is not h11.DONE
            or len(idle) >= c.MAX_IDLE_CONNECTIONS_PER_ADDRESS
        ):
            return False
        connection.conn.start_next_cycle()
        connection.idle_since = trio.current_time()
        idle.append(connection)
        self._idle_order[connection] = None
        return True

    def _close(self, connection: _Connection) -> None:
        self._open -= 1
        connection.stream.socket.close()

    def _take_from_pool(self, connection: _Connection) -> None:
        """Remove an idle connection from the pool; no entry is kept for an address without idle connections."""
        del self._idle_order[connection]
        self._idle[connection.addr].remove(connection)
        if not self._idle[connection.addr]:
            del self._idle[connection.addr]

    def _drop_idle_one(self, connection: _Connection) -> None:
        self._take_from_pool(connection)
        self._close(connection)

    def close(self) -> None:
        """Close all pooled connections; requests in flight keep theirs."""
        while self._idle_order:
            self._drop_idle_one(next(iter(self._idle_order)))

    def drop_idle(self) -> None:
        """Close pooled connections that were idle for POOL_IDLE_S; the controller calls this at that interval."""
        now = trio.current_time()
        while self._idle_order and now - next(iter(self._idle_order)).idle_since >= c.POOL_IDLE_S:
            self._drop_idle_one(next(iter(self._idle_order)))
