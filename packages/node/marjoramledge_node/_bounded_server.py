"""HTTP server that bounds what a connection may send besides requests.

The library limits single lines and header fields.  It doesn't limit empty
lines before a request, or extensions of the chunks of a body.  It parses them
as fast as they arrive, so that a few senders can take the processor from all
others.  It also drops what it has received behind a request that offers a
change of the protocol.
"""

import asyncio
import collections.abc
import time
import typing

from aiohttp import abc
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
import loguru
from marjoramledge_core import configuration
from marjoramledge_core import node

from marjoramledge_node import _connection_limits
from marjoramledge_node import _headers

# Bytes that may arrive while neither the head of a request ends nor its body
# grows.
MAX_OVERHEAD_BYTES: typing.Final = 131072
# Bytes of overhead allowed for each byte of a body.  A body may come in chunks
# of one byte, each of which takes at least five more.
OVERHEAD_PER_BODY_BYTE: typing.Final = 8
# Received bytes are parsed in pieces, so that one read neither blocks the loop
# nor fills the queue with requests.
PIECE_BYTES: typing.Final = 16384
# A body is received ahead of its reader up to twice this size.
BODY_BUFFER_BYTES: typing.Final = 65536
# Memory of a connection that holds nothing, and of a header field.  The first
# was measured as 6.6 KB.  The second was 146 bytes for an empty field of a
# head that is not complete; copies and longer names take more.
CONNECTION_BYTES: typing.Final = 8192
FIELD_BYTES: typing.Final = 400
# Bytes of a body that its request may keep to send them again.
_KEPT_BODY_BYTES: typing.Final = 65536
# Parsing a byte of a body in one piece takes less than this.  What takes
# longer is expensive.
_EXPECTED_S_PER_BYTE: typing.Final = 2e-8
# Less than this is received at no great cost, however it is formed.
_CHEAP_BYTES: typing.Final = 1024
# Less than this is not worth a pause.
_MIN_EXPENSIVE_S: typing.Final = 0.0005
# Bytes of a field besides its name and value, and of the rest of a head
# besides method and target.
_FIELD_OVERHEAD_BYTES: typing.Final = 4
_LINE_OVERHEAD_BYTES: typing.Final = 14
_HEAD_END: typing.Final = b"\r\n\r\n"
# The library keeps what follows a request that offers this protocol.
_KEPT_UPGRADE: typing.Final = "websocket"


Handler = collections.abc.Callable[
    [web.BaseRequest], collections.abc.Awaitable[web.StreamResponse]
]


class _Protocol(web.RequestHandler):
    """Aborts a connection whose sender sends much that is no request."""

    _served_payload: streams.StreamReader | None = None
    _overhead_bytes = 0
    _seen_requests = 0
    _seen_payload: streams.StreamReader | None = None
    _seen_body_bytes = 0
    _has_failed = False
    # The newest request that offers a protocol and has nothing behind it.
    _lone_offer: http_parser.RawRequestMessage | None = None
    # The last bytes before those that are being received.
    _received_before = b""
    # Received bytes that are not parsed yet, and the timer that goes on.
    _unparsed = b""
    _parsing: asyncio.TimerHandle | None = None
    # Bytes that the parser keeps since the reader of a body is slow.
    _kept_by_parser = 0
    # Bytes and lines of a head that is not complete.
    _head_bytes = 0
    _head_lines = 0
    _waiting_periods = 0
    _waiting_for_head = False
    _served_fields = 0
    _is_served_in_chunks = False
    _last_use = 0
    _table: _connection_limits.ConnectionTable
    # A request whose head is too long.
    _too_long: http_parser.RawRequestMessage | None = None
    # Answer to a head that is not complete; sent after all others.
    _refusal = b""

    @property
    def _max_head_bytes(self) -> int:
        manager = self._manager
        assert isinstance(manager, Server)
        return manager.head_factor * self._table.limits.max_head_bytes

    @property
    def phase(self) -> _connection_limits.Phase:
        """What the connection is doing."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            is_stalled = self._paused or self._is_body_due()
            if self._request_count and is_stalled:
                return _connection_limits.Phase.STALLED
            if self._request_count or self._request_in_progress:
                return _connection_limits.Phase.SERVED
        if self._head_bytes or not self._request_count:
            return _connection_limits.Phase.WITHOUT_REQUEST
        return _connection_limits.Phase.IDLE

    @property
    def last_use(self) -> int:
        """Number that increases with the time of the last request."""
        return self._last_use

    def measure_held_bytes(self) -> int:
        """Return an estimate of the memory that the connection holds."""
        held = CONNECTION_BYTES + len(self._unparsed) + self._kept_by_parser
        held += self._head_bytes + FIELD_BYTES * self._head_lines
        held += FIELD_BYTES * self._served_fields
        payload = self._served_payload
        if payload is not None and payload is not streams.EMPTY_PAYLOAD:
            read_bytes = payload.total_bytes - payload._size
            held += min(read_bytes, _KEPT_BODY_BYTES)
            held += payload._size
        for message, queued in self._messages:
            if isinstance(message, http_parser.RawRequestMessage):
                held += FIELD_BYTES * len(message.raw_headers)
            held += queued._size if queued is not streams.EMPTY_PAYLOAD else 0
        if self.transport is not None:
            held += self.transport.get_write_buffer_size()
        return held

    def check_timeouts(self, limits: configuration.RequestLimits) -> None:
        """Close the connection if a timeout has passed; called each period."""
        if self._refusal:
            self._send_refusal()
            return
        is_held_up = bool(
            self._unparsed or self._reading_paused or self._buffer_paused
        )
        has_head = bool(self._head_bytes)
        is_waiting = has_head or (
            self.phase < _connection_limits.Phase.STALLED
        )
        if is_held_up or not is_waiting or has_head != self._waiting_for_head:
            self._waiting_periods = 0
            self._waiting_for_head = has_head
            return
        self._waiting_periods += 1
        waited_s = self._waiting_periods * _connection_limits.PERIOD_S
        if has_head and waited_s > limits.head_timeout_s:
            self._refuse(408, "Request Timeout")
        elif not has_head and waited_s > limits.idle_timeout_s:
            self.force_close()

    def shed(self) -> None:
        """Close the connection at once to free what it holds."""
        transport = self.transport
        self._unparsed = b""
        self._force_close = True
        if transport is not None:
            transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        manager = self._manager
        assert isinstance(manager, Server)
        self._table = manager.table
        self._last_use = self._table.next_use()
        super().connection_made(transport)
        self._table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._table.remove(self)
        self._unparsed = b""
        if self._parsing is not None:
            self._parsing.cancel()
        super().connection_lost(exc)

    @property
    def _newest_payload(self) -> streams.StreamReader | None:
        """Body of the newest request, if there was one."""
        if self._messages:
            return self._messages[-1][1]
        return self._served_payload

    def begin_request(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
    ) -> http_parser.RawRequestMessage:
        """Note a request that is served next; return it as it is served."""
        self._served_payload = payload
        self._is_served_in_chunks = message.chunked
        self._served_fields = len(message.raw_headers)
        self._last_use = self._table.next_use()
        self._waiting_periods = 0
        if not message.upgrade or message is self._lone_offer:
            return message
        if message.headers.get("Upgrade", "").lower() == _KEPT_UPGRADE:
            return message
        # Part of the next request may have been dropped; its rest must not be
        # taken for another one.
        return message._replace(should_close=True)

    def data_received(self, data: bytes) -> None:
        if not data:
            # The library goes on with what its parser has kept.
            self._parse(data)
        elif self._unparsed or self._parsing is not None:
            self._unparsed += data
            self._pause_transport_reading()
            self._table.update(self)
        elif len(data) <= _CHEAP_BYTES:
            self._parse(data)
            # A short request that is complete holds little until it is
            # measured with all others.
            if (
                self._head_bytes
                or len(self._messages) > 1
                or self._is_body_due()
            ):
                self._table.update(self)
        else:
            self._parse_pieces(data)

    def _parse_pieces(self, data: bytes) -> None:
        """Parse received bytes until the parser or their time is up."""
        begin = 0
        while begin < len(data) and not self._force_close:
            if self._reading_paused or self._buffer_paused:
                break
            piece = data[begin : begin + PIECE_BYTES]
            begin += len(piece)
            began_s = time.thread_time()
            self._parse(piece)
            spent_s = time.thread_time() - began_s
            self._table.update(self)
            expensive_s = spent_s - len(piece) * _EXPECTED_S_PER_BYTE
            if expensive_s > _MIN_EXPENSIVE_S:
                self._parsing = self._loop.call_later(
                    self._table.delay_parsing(expensive_s), self._go_on
                )
                break
            has_more = begin < len(data) and not self._has_failed
            if self._messages and has_more:
                # The library resumes when it takes a request.
                self._pause_reading_for_buffer()
        if begin < len(data):
            self._unparsed = data[begin:]
            self._table.update(self)
        if self._unparsed or self._parsing is not None:
            self._pause_transport_reading()

    def _go_on(self) -> None:
        self._parsing = None
        data, self._unparsed = self._unparsed, b""
        self._parse_pieces(data)
        if not self._unparsed:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self._parsing is not None:
            return
        if self._unparsed:
            self._parsing = self._loop.call_later(0.0, self._go_on)
        elif not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()

    def _parse(self, data: bytes) -> None:
        was_body_due = self._is_body_due()
        if self._close and was_body_due:
            # The library would drop the rest of the body.
            self._close = False
            super().data_received(data)
            self._close = True
        elif not self._has_failed:
            super().data_received(data)
        if self._reading_paused or self._buffer_paused:
            self._kept_by_parser = len(data) or self._kept_by_parser
        else:
            self._kept_by_parser = 0
        if self._close or self._force_close:
            return
        self._overhead_bytes += len(data)
        if self._request_count != self._seen_requests:
            self._check_head_size(len(data))
            self._check_newest(data, self._request_count - self._seen_requests)
            self._seen_requests = self._request_count
            self._overhead_bytes = 0
            self._head_bytes = self._head_lines = 0
        elif not was_body_due and (self._head_bytes or data.strip(b"\r\n")):
            self._head_bytes += len(data)
            self._head_lines += data.count(b"\n")
            if self._head_bytes > self._max_head_bytes:
                self._refuse(431, "Request Header Fields Too Large")
                return
        self._received_before = (self._received_before + data)[-3:]
        self._credit_body()
        if self._reading_paused or self._buffer_paused:
            # Received bytes wait to be parsed, and no more are received.
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._abort()

    def _check_head_size(self, received_bytes: int) -> None:
        """Refuse the newest request if its head is too long."""
        limit = self._max_head_bytes
        if self._head_bytes + received_bytes <= limit or not self._messages:
            return
        message, _ = self._messages[-1]
        if not isinstance(message, http_parser.RawRequestMessage):
            return
        size = len(message.method) + len(message.path) + _LINE_OVERHEAD_BYTES
        size += sum(
            len(name) + len(value) + _FIELD_OVERHEAD_BYTES
            for name, value in message.raw_headers
        )
        if size > limit:
            self._too_long = message
            self._has_failed = True

    def is_too_long(self, message: http_parser.RawRequestMessage) -> bool:
        """Return whether the head of a request exceeds the limit."""
        return message is self._too_long

    def _refuse(self, status: int, reason: str) -> None:
        """Refuse a head that is not complete, and close."""
        self._has_failed = True
        self._unparsed = b""
        self._head_bytes = self._head_lines = 0
        self._refusal = (
            f"HTTP/1.1 {status} {reason}\r\n"
            f"{_headers.RUN}: {node.RunState.NOT_RUN.value}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        ).encode()
        self._send_refusal()

    def _send_refusal(self) -> None:
        """Send a refusal, once earlier requests have been answered."""
        waiter, transport = self._waiter, self.transport
        if waiter is None or waiter.done() or transport is None:
            return
        transport.write(self._refusal)
        self.force_close()

    def _check_newest(self, data: bytes, count: int) -> None:
        """Check the newest of some requests that have just been received."""
        if not self._messages:
            return
        message, payload = self._messages[-1]
        if not isinstance(message, http_parser.RawRequestMessage):
            # What follows bytes that are no request can't be parsed.
            self._has_failed = True
            return
        if not message.upgrade:
            return
        received = self._received_before + data
        if (
            payload is streams.EMPTY_PAYLOAD
            and received.endswith(_HEAD_END)
            and received.count(_HEAD_END) == count
        ):
            self._lone_offer = message

    def _is_body_due(self) -> bool:
        payload = self._newest_payload
        return payload is not None and not payload.is_eof()

    def _credit_body(self) -> None:
        """Allow more overhead for what the body has grown by."""
        payload = self._newest_payload
        if payload is None:
            return
        if payload is not self._seen_payload:
            self._seen_payload = payload
            self._seen_body_bytes = 0
        manager = self._manager
        if (
            isinstance(manager, Server)
            and manager.limits_bodies
            and self._is_served_in_chunks
            and payload is self._served_payload
            and payload.total_bytes > self._table.limits.max_body_bytes
        ):
            self._abort()
            return
        grown = payload.total_bytes - self._seen_body_bytes
        self._seen_body_bytes = payload.total_bytes
        self._overhead_bytes = max(
            0, self._overhead_bytes - grown * (1 + OVERHEAD_PER_BODY_BYTE)
        )

    def _abort(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        loguru.logger.bind(event="sender-aborted").debug(
            "closed a connection after {} bytes that are no request",
            self._overhead_bytes,
        )
        transport.abort()


async def _refuse(status: int) -> web.StreamResponse:
    refusal = web.Response(
        status=status, headers={_headers.RUN: node.RunState.NOT_RUN.value}
    )
    refusal.force_close()
    return refusal


class Server(web.Server):
    """HTTP server whose connections bound the overhead of requests.

    Must be created inside the event loop.

    Parameters
    ----------
    handler
        Serves a request.
    table
        Limits on all connections of the process; by default, on those of this
        server.
    head_factor
        Factor of the operator's limit of heads on this port.
    limits_bodies
        Whether the operator's limit of bodies holds on this port.
    options
        Options of the library.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        table: _connection_limits.ConnectionTable | None = None,
        head_factor: int = 1,
        limits_bodies: bool = False,
        **options: typing.Any,  # noqa: ANN401
    ) -> None:
        super().__init__(
            self._serve, read_bufsize=BODY_BUFFER_BYTES, **options
        )
        self._handler = handler
        self.head_factor = head_factor
        self.limits_bodies = limits_bodies
        self.table = table or _connection_limits.ConnectionTable(
            capacity=_connection_limits.compute_capacity(),
            read_limits=configuration.RequestLimits,
        )

    def _serve(
        self, request: web.BaseRequest
    ) -> collections.abc.Awaitable[web.StreamResponse]:
        protocol = request.protocol
        if isinstance(protocol, _Protocol) and protocol.is_too_long(
            request._message
        ):
            return _refuse(431)
        length = max(request.content_length or 0, request.content.total_bytes)
        if self.limits_bodies and length > self.table.limits.max_body_bytes:
            return _refuse(413)
        return self._handler(request)

    def __call__(self) -> web.RequestHandler:
        return _Protocol(self, loop=self._loop, **self._kwargs)

    def _make_request(
        self,
        message: http_parser.RawRequestMessage,
        payload: streams.StreamReader,
        protocol: web.RequestHandler,
        writer: abc.AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        if isinstance(protocol, _Protocol):
            message = protocol.begin_request(message, payload)
        return super()._make_request(message, payload, protocol, writer, task)
