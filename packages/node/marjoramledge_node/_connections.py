"""Client connections to backend servers and peers.

Whether a request may have run depends on how its connection ended.  This
module therefore tells a reset from an orderly close, doesn't reuse a
connection after a fault, and detects a connection that has gone silent.
"""

import asyncio
import contextvars
import fcntl
import select
import socket
import struct
import termios
import typing
import weakref

import aiohttp
from aiohttp import client_proto
from aiohttp import connector
from marjoramledge_store import bounded_http

from marjoramledge_node import _faults

# A peer or server that has acknowledged nothing for this long is considered
# dead: links lose packets, but not for several retransmission timeouts.
UNACKNOWLEDGED_TIMEOUT_S: typing.Final = 1.0


# New connections per request.  Without a limit, the node would reconnect
# endlessly to a server that closes each connection at once.
MAX_NEW_CONNECTIONS: typing.Final = 2


# ``struct linger`` for SO_LINGER: enabled with a timeout of 0, so that close
# sends a reset.
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
# A timeout that fires later than this expired while the event loop was
# blocked; the connection may have been established in time.
LATE_TIMEOUT_S: typing.Final = 0.02


class LateTimeoutError(aiohttp.ClientConnectionError):
    """Raised when a connect timeout fired late in this process."""


class NoUsableConnectionError(aiohttp.ClientConnectionError):
    """Raised when no new connection was usable; no request was sent."""


class _Protocol(bounded_http.BoundedProtocol):
    """Detects a connection reset that the event loop reports as a close.

    When the last bytes and the reset arrive together, libuv reports a plain
    end of file; the error is then still pending on the socket.
    """

    _reset_error: OSError | None = None

    def eof_received(self) -> None:
        transport = self.transport
        sock: socket.socket | None = None
        if transport is not None and not transport.is_closing():
            sock = transport.get_extra_info("socket")
        if sock is not None:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._reset_error = ConnectionResetError(
                    error, "reset by server"
                )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc or self._reset_error)

    def close(self) -> None:
        """Close the connection; reset it if a request is only half sent.

        Otherwise the close would be queued behind bytes that the other side
        does not read.
        """
        transport = self.transport
        # A closing transport may already have released its descriptor.
        is_open = transport is not None and not transport.is_closing()
        if (
            transport is not None
            and is_open
            and not self._is_response_complete()
        ):
            _reset_if_unsent(transport)
        super().close()

    def _is_response_complete(self) -> bool:
        """Return whether the complete response has been received."""
        return self._payload is not None and self._payload.is_eof()


# Resolves when the connection last assigned to the current task is closed;
# holds an exception if the connection was reset.
_current_close_future: typing.Final[
    contextvars.ContextVar[asyncio.Future[None] | None]
] = contextvars.ContextVar("closing", default=None)


_current_protocol: typing.Final[
    contextvars.ContextVar[client_proto.ResponseHandler | None]
] = contextvars.ContextVar("protocol", default=None)


class Connector(bounded_http.BoundedConnector):
    """Connection pool that discards connections with unexpected bytes.

    Bytes that arrived before the request are unexpected, read or not.  The
    pool keeps a future for the close of each connection, because a response
    that is delimited by the close of its connection is complete only if the
    connection was not reset.  The close may precede the processing of the
    response.
    """

    def __init__(
        self, *, keepalive_timeout: float = 0.0, force_close: bool = False
    ) -> None:
        super().__init__(
            protocol=_Protocol,
            limit=0,
            keepalive_timeout=None if force_close else keepalive_timeout,
            force_close=force_close,
            socket_factory=_open_socket,
        )
        self._close_futures: weakref.WeakKeyDictionary[
            client_proto.ResponseHandler, asyncio.Future[None]
        ] = weakref.WeakKeyDictionary()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[typing.Any],
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109
    ) -> connector.Connection:
        opened = 0
        while opened < MAX_NEW_CONNECTIONS:
            connection = await self._connect_once(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None:
                return connection
            if protocol not in self._close_futures:
                opened += 1
            close_future = self._get_close_future(protocol)
            if not protocol.should_close and not _is_readable(protocol):
                _current_close_future.set(close_future)
                _current_protocol.set(protocol)
                return connection
            connection.close()
        raise NoUsableConnectionError(
            "server closed, or sent bytes, before a request"
        )

    async def _connect_once(
        self,
        req: aiohttp.ClientRequest,
        traces: list[typing.Any],
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109
    ) -> connector.Connection:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            return await super().connect(req, traces, timeout)
        except TimeoutError as error:
            late_s = loop.time() - began_at - (timeout.sock_connect or 0.0)
            if late_s > LATE_TIMEOUT_S:
                raise LateTimeoutError("connect timeout fired late") from error
            raise

    def _get_close_future(
        self, protocol: client_proto.ResponseHandler
    ) -> asyncio.Future[None] | None:
        known = self._close_futures.get(protocol)
        closed = protocol.closed if known is None else known
        if known is None and closed is not None:
            closed.add_done_callback(_retrieve_outcome)
            self._close_futures[protocol] = closed
        return closed


def _retrieve_outcome(closed: asyncio.Future[None]) -> None:
    """Mark the exception as retrieved, so that the loop does not log it."""
    if not closed.cancelled():
        closed.exception()


def _is_readable(protocol: client_proto.ResponseHandler) -> bool:
    """Return whether unread bytes or an end of file are pending."""
    transport = protocol.transport
    if transport is None or transport.is_closing():
        return True
    sock: socket.socket = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _reset_if_unsent(transport: asyncio.Transport) -> None:
    """Reset a connection if some sent bytes are not acknowledged yet."""
    sock: socket.socket = transport.get_extra_info("socket")
    try:
        unsent = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
        if not any(unsent) and not transport.get_write_buffer_size():
            return
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError as error:
        _faults.report("cannot reset a connection", error)
    transport.abort()


def get_current_close_future() -> asyncio.Future[None] | None:
    """Return the close future of this task's most recent connection."""
    return _current_close_future.get()


def discard_current_connection() -> None:
    """Reuse this task's most recent connection for no other request."""
    protocol = _current_protocol.get()
    if protocol is not None:
        protocol.force_close()


def _open_socket(
    address: tuple[
        int | socket.AddressFamily,
        int | socket.SocketKind,
        int,
        str,
        tuple[typing.Any, ...],
    ],
) -> socket.socket:
    family, kind, protocol, _name, _sockaddr = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        round(UNACKNOWLEDGED_TIMEOUT_S * 1000),
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return sock
