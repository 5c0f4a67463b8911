"""A small HTTP/1.1 server: one async function answers every request. Reading and writing have deadlines."""

import contextlib
import logging
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import h11
import orjson
import trio

from pepperlatch.constants import core as c
from pepperlatch.containment import Containment

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Request:
    """A request as read from the connection. `path`: its target, with the query.

    A HEAD request is handled as GET with `head_only`, so that handlers need not know of it.
    """

    method: str
    path: str
    body: bytes
    gzip: bool = False  # whether the answer may be compressed
    head_only: bool = False  # the answer is sent without its body


@dataclass(slots=True)
class Response:
    """The answer to a request. Texts of a refusal are cut to MAX_REFUSAL_CHARS: they may quote the request."""

    status: int
    body: Any = None  # written as JSON; bytes as they are, with a Content-Type among the headers
    headers: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if self.status >= 400 and not isinstance(self.body, bytes):
            self.body = _with_short_texts(self.body)


def _with_short_texts(value: Any) -> Any:
    """The JSON value with every text in it cut to MAX_REFUSAL_CHARS."""
    match value:
        case str():
            return value[: c.MAX_REFUSAL_CHARS]
        case list():
            return [_with_short_texts(item) for item in value]
        case dict():
            return {name: _with_short_texts(item) for name, item in value.items()}
    return value


class _Refused(Exception):
    """A request that is answered without reading all of it; the connection is closed with the answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


Handler = Callable[[Request], Awaitable[Response]]


class Server:
    """Serves one listener; holds at most `max_connections` connections and closes further ones at once.

    Above HIGH_CONNECTION_SHARE of that limit, a connection is closed with its next answer unless `keeps_open` returns
    true for the request, so workers keep their connections while users reconnect. `containment` takes up unexpected
    exceptions: of the handler, which are answered with 500, and of connections, which are closed.
    """

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        keeps_open: Callable[[Request], bool] = lambda request: True,
        containment: Containment | None = None,
    ) -> None:
        self._containment = containment or Containment()
        self._handler = handler
        self._max_connections = max_connections
        self._keeps_open = keeps_open
        self._open = 0

    async def serve(self, host: str, port: int, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Listen until cancelled. Raises OSError if the port cannot be opened at first.

        After an exception of the listener it is opened again.
        """
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=c.LISTEN_BACKLOG)
        task_status.started(listeners)
        while True:
            try:
                await trio.serve_listeners(self._connection, listeners)
            except Exception as error:
                self._containment.record("a listener", error, "it is opened again after a pause")
            await trio.sleep(c.CONTAINED_RESTART_PAUSE_S)
            with contextlib.suppress(OSError):  # the closed listeners raise once more, and are replaced after a pause
                listeners = await trio.open_tcp_listeners(port, host=host, backlog=c.LISTEN_BACKLOG)

    async def _connection(self, stream: trio.abc.Stream) -> None:
        if self._open >= self._max_connections:
            await stream.aclose()
            return
        self._open += 1
        try:
            async with stream:
                await self._requests(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            self._containment.record("a connection", error, "it is closed")
        finally:
            self._open -= 1

    async def _requests(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection, one after the other, until it is closed or one is refused."""
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                request = await self._read(conn, stream)
            except h11.RemoteProtocolError as error:
                version = _OTHER_VERSION.search(str(error))
                status, text = (505, _unsupported(version[1])) if version else (400, "malformed request")
                await self._refuse(conn, stream, _Refused(status, text))
                return
            except _Refused as refused:
                await self._refuse(conn, stream, refused)
                return
            if request is None:
                return
            close = self._open > c.HIGH_CONNECTION_SHARE * self._max_connections and not self._keeps_open(request)
            await self._write(conn, stream, await self._answer(request), close=close, head_only=request.head_only)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _answer(self, request: Request) -> Response:
        """The handler's answer with its body as bytes; 500 if it raises an exception or its answer is no JSON."""
        try:
            return _encoded(await self._handler(request))
        except Exception as error:
            self._containment.count("a request", error)
            log.exception("request %s %s raised an exception; answered with status 500", request.method, request.path)
            return _encoded(Response(500, {"error": "internal error"}))

    async def _event(self, conn: h11.Connection, stream: trio.abc.Stream, seconds: float) -> Any:
        """The next event of the connection; ConnectionClosed if none comes within `seconds`, or if these are past.

        Data that has arrived already needs no deadline: usually one read takes a whole request.
        """
        event = conn.next_event()
        if event is not h11.NEED_DATA:
            return event
        with trio.move_on_after(max(0.0, seconds)):
            while event is h11.NEED_DATA:
                conn.receive_data(bytes(await stream.receive_some(c.READ_CHUNK_BYTES)))
                event = conn.next_event()
            return event
        return h11.ConnectionClosed()

    async def _read(self, conn: h11.Connection, stream: trio.abc.Stream) -> Request | None:
        """The next request; None if the client is gone or too slow. Raises _Refused and h11.RemoteProtocolError."""
        head = await self._event(conn, stream, c.IDLE_CONNECTION_S)
        if not isinstance(head, h11.Request):
            return None
        _check_head(head)
        deadline = trio.current_time() + c.REQUEST_READ_S
        body = bytearray()
        while True:
            event = await self._event(conn, stream, deadline - trio.current_time())
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > c.MAX_BODY_BYTES:
                    raise _too_large()
            elif isinstance(event, h11.EndOfMessage):
                method, target = head.method.decode("ascii"), head.target.decode("ascii", "replace")
                head_only = method == "HEAD"
                return Request("GET" if head_only else method, target, bytes(body), _accepts_gzip(head), head_only)
            else:
                return None

    async def _refuse(self, conn: h11.Connection, stream: trio.abc.Stream, refused: _Refused) -> None:
        """Answer, then read on for a moment: closing while the client still sends could destroy the answer on its way.

        What is read is dropped; REFUSAL_DRAIN_S and REFUSAL_DRAIN_BYTES bound it.
        """
        if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        await self._write(conn, stream, _encoded(Response(refused.status, {"error": str(refused)})), close=True)
        left = c.REFUSAL_DRAIN_BYTES
        with trio.move_on_after(c.REFUSAL_DRAIN_S):
            if isinstance(stream, trio.SocketStream):
                await stream.send_eof()
            while left > 0 and (data := await stream.receive_some(c.READ_CHUNK_BYTES)):
                left -= len(data)

    async def _write(
        self,
        conn: h11.Connection,
        stream: trio.abc.Stream,
        response: Response,
        close: bool = False,
        head_only: bool = False,
    ) -> None:
        """Send a response whose body is bytes; `head_only`: without that."""
        payload: bytes = response.body
        headers = [] if "Content-Type" in response.headers else [("Content-Type", "application/json")]
        headers.append(("Content-Length", str(len(payload))))
        headers += list(response.headers.items())
        if close:
            headers.append(("Connection", "close"))
        data = conn.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if payload and not head_only:
            data += conn.send(h11.Data(data=payload)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(c.REQUEST_READ_S):
            await stream.send_all(data)


def _encoded(response: Response) -> Response:
    """The response with its body as bytes."""
    body = response.body
    if not isinstance(body, bytes):
        body = b"" if body is None else orjson.dumps(body)
    return Response(response.status, body, response.headers)


def _accepts_gzip(head: h11.Request) -> bool:
    return any(name == b"accept-encoding" and b"gzip" in value for name, value in head.headers)


def compressed(payload: bytes) -> bytes:
    """The payload as gzip, for requests with `gzip`; the caller sets Content-Encoding."""
    import zlib

    compressor = zlib.compressobj(c.COMPRESS_LEVEL, zlib.DEFLATED, 16 + zlib.MAX_WBITS)  # 16: with gzip's header
    return compressor.compress(payload) + compressor.flush()


_OTHER_VERSION = re.compile(r"HTTP/((?!1\.)\d[\d.]*)")


def _unsupported(version: str) -> str:
    return f"HTTP/{version} is not spoken here, HTTP/1.1 is"


def _too_large() -> _Refused:
    return _Refused(400, f"the body is larger than {c.MAX_BODY_BYTES} bytes")


def _check_head(head: h11.Request) -> None:
    """Refuse at once a request whose head alone shows that it cannot be served. Raises _Refused."""
    version = head.http_version.decode("ascii")
    if not version.startswith("1."):
        raise _Refused(505, _unsupported(version))
    if head.method == b"CONNECT":
        raise _Refused(405, "CONNECT is not served here")
    declared = next((value for name, value in head.headers if name == b"content-length"), b"0")
    if int(declared) > c.MAX_BODY_BYTES:
        raise _too_large()
