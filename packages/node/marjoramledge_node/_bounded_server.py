"""HTTP server that bounds what a connection may send besides requests.

The library limits single lines and header fields.  It doesn't limit empty
lines before a request, or extensions of the chunks of a body.  It parses them
as fast as they arrive, so that a few senders can take the processor from all
others.  It also drops what it has received behind a request that offers a
change of the protocol.
"""

import asyncio
import typing

from aiohttp import abc
from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web
import loguru

# Bytes that may arrive while neither the head of a request ends nor its body
# grows.
MAX_OVERHEAD_BYTES: typing.Final = 131072
# Bytes of overhead allowed for each byte of a body.  A body may come in chunks
# of one byte, each of which takes at least five more.
OVERHEAD_PER_BODY_BYTE: typing.Final = 8
_HEAD_END: typing.Final = b"\r\n\r\n"
# The library keeps what follows a request that offers this protocol.
_KEPT_UPGRADE: typing.Final = "websocket"


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
        if not message.upgrade or message is self._lone_offer:
            return message
        if message.headers.get("Upgrade", "").lower() == _KEPT_UPGRADE:
            return message
        # Part of the next request may have been dropped; its rest must not be
        # taken for another one.
        return message._replace(should_close=True)

    def data_received(self, data: bytes) -> None:
        if self._close and self._is_body_due():
            # The library would drop the rest of the body.
            self._close = False
            super().data_received(data)
            self._close = True
        elif not self._has_failed:
            super().data_received(data)
        if self._close or self._force_close:
            return
        self._overhead_bytes += len(data)
        if self._request_count != self._seen_requests:
            self._check_newest(data, self._request_count - self._seen_requests)
            self._seen_requests = self._request_count
            self._overhead_bytes = 0
        self._received_before = (self._received_before + data)[-3:]
        self._credit_body()
        if self._reading_paused or self._buffer_paused:
            # Received bytes wait to be parsed, and no more are received.
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._abort()

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


class Server(web.Server):
    """HTTP server whose connections bound the overhead of requests.

    Must be created inside the event loop.
    """

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
