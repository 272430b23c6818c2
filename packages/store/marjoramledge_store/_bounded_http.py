"""HTTP client connections that bound what an answer may cost before its body.

The library limits single lines and header fields.  It doesn't limit interim
responses, empty lines before a status line, or answers that nobody asked for.
It reads and keeps them as fast as they arrive, so that one faulty server can
exhaust the memory and the processor of its client.  Bodies are bounded by
their readers.
"""

import asyncio
import functools
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import http_parser
from aiohttp import streams
import loguru

# Bytes that may arrive while neither the head of the final response ends nor a
# byte of its body is received.
MAX_OVERHEAD_BYTES: typing.Final = 131072
MAX_INTERIM_RESPONSES: typing.Final = 16
# Received bytes are parsed in pieces, so that the messages in one of them take
# little memory before the limits apply.
PIECE_BYTES: typing.Final = 16384

# Continue, Processing and Early Hints.  No request asks for a change of the
# protocol (101).
_INTERIM_STATUSES: typing.Final = frozenset({100, 102, 103})
# RFC 9110, section 15: a status of 600 or more is invalid.
_FINAL_STATUSES: typing.Final = range(200, 600)

_Message = tuple[http_parser.RawResponseMessage, streams.StreamReader]


class FaultyAnswerError(aiohttp.ClientConnectionError):
    """Raised when a server sends what is no valid response."""


class EndlessAnswerError(FaultyAnswerError):
    """Raised when a server sends too much before a response or without one."""


class InvalidStatusError(FaultyAnswerError):
    """Raised when the status of a response is no status code of HTTP."""


class BoundedProtocol(client_proto.ResponseHandler):
    """Aborts a connection whose server sends much that is no answer."""

    _awaits_head = False
    _is_aborted = False
    _interim_responses = 0
    _overhead_bytes = 0
    _body_bytes = 0

    def set_response_params(
        self,
        **params: typing.Any,  # noqa: ANN401
    ) -> None:
        """Expect the response to a request; called before it is sent."""
        self._awaits_head = True
        self._interim_responses = 0
        self._overhead_bytes = 0
        self._body_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        if len(data) <= PIECE_BYTES:
            self._receive_piece(data)
            return
        for begin in range(0, len(data), PIECE_BYTES):
            self._receive_piece(data[begin : begin + PIECE_BYTES])

    def feed_data(self, data: _Message, size: int = 0) -> None:
        """Pass on a parsed message, unless it exceeds the limits."""
        if self._is_aborted:
            return
        if not self._awaits_head:
            self._abort("a response that no request asked for")
            return
        status = data[0].code
        if status not in _INTERIM_STATUSES and status not in _FINAL_STATUSES:
            self._abort(
                f"a response with the invalid status {status:03}",
                InvalidStatusError,
            )
            return
        if status in _FINAL_STATUSES:
            self._awaits_head = False
            self._overhead_bytes = 0
        else:
            self._interim_responses += 1
            if self._interim_responses > MAX_INTERIM_RESPONSES:
                self._abort("too many interim responses")
                return
        super().feed_data(data, size)

    def _receive_piece(self, piece: bytes) -> None:
        if self._is_aborted:
            return
        super().data_received(piece)
        body_bytes = self._count_body_bytes()
        if body_bytes != self._body_bytes:
            self._body_bytes = body_bytes
            self._overhead_bytes = 0
            return
        if self._reading_paused:
            # The piece waits for a slow reader, and no more are received.
            return
        self._overhead_bytes += len(piece)
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._abort(f"{self._overhead_bytes} bytes that are no answer")

    def _count_body_bytes(self) -> int:
        if self._awaits_head or self._payload is None:
            return 0
        return self._payload.total_bytes

    def _abort(
        self,
        problem: str,
        error: type[FaultyAnswerError] = EndlessAnswerError,
    ) -> None:
        self._is_aborted = True
        self.force_close()
        if self._awaits_head:
            self.set_exception(error(f"server sent {problem}"))
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections bound the heads of responses.

    Must be created inside the event loop.
    """

    def __init__(
        self,
        *,
        protocol: type[BoundedProtocol] = BoundedProtocol,
        **options: typing.Any,  # noqa: ANN401
    ) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the protocol class.
        self._factory = functools.partial(  # type: ignore[assignment]
            protocol, loop=asyncio.get_running_loop()
        )


def log_if_faulty(error: Exception, host: str, port: int) -> None:
    """Write a log line if an error shows a faulty server."""
    if isinstance(error, FaultyAnswerError):
        loguru.logger.bind(
            event="answer-aborted", host=host, port=port
        ).warning("closed the connection to a faulty server: {}", error)


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Read a body; return more than ``max_bytes`` if it is longer.

    If the body is not read to its end, closing the response also closes its
    connection instead of reusing it.
    """
    parts: list[bytes] = []
    size = 0
    while size <= max_bytes:
        part = await response.content.readany()
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)
