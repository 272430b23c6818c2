"""Connections to backend servers and peers: opened, reused and ended.

What an exchange proves depends on how its connection ended, so this module
sees to it that an end is known for what it was, that a connection that showed
a fault is not used again, and that one that went silent does not hang.
"""

import asyncio
import contextvars
import fcntl
import functools
import select
import socket
import struct
import termios
import typing
import weakref

import aiohttp
from aiohttp import client_proto
from aiohttp import connector

from marjoramledge_node import _faults

# A peer or server that has acknowledged nothing for so long is gone: links
# lose packets, but not for several times the usual time of a resend.
UNACKNOWLEDGED_TIMEOUT_S: typing.Final = 1.0


# New connections for one exchange; without a limit, a server that closes each
# one at once would be connected to again and again.
MAX_NEW_CONNECTIONS: typing.Final = 2


# The kernel's ``struct linger``: on, with no time to linger.
_RESET_ON_CLOSE: typing.Final = struct.pack("ii", 1, 0)
# A time limit noticed this late ran out while the event loop was held up; the
# connection may have been made in time.
LATE_TIMEOUT_S: typing.Final = 0.02


class LateTimeoutError(aiohttp.ClientConnectionError):
    """The time limit of a connect was noticed late by this process."""


class NoUsableConnectionError(aiohttp.ClientConnectionError):
    """No new connection could carry a request; none was sent."""


class _Protocol(client_proto.ResponseHandler):
    """Tells a reset from a close where the event loop does not.

    When the last bytes and the reset come together, libuv reports a plain
    end of input; the socket still holds the error then.
    """

    _reset_error: OSError | None = None

    def eof_received(self) -> None:
        transport = self.transport
        opened: socket.socket | None = None
        if transport is not None and not transport.is_closing():
            opened = transport.get_extra_info("socket")
        if opened is not None:
            error = opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._reset_error = ConnectionResetError(
                    error, "reset by server"
                )
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc or self._reset_error)

    def close(self) -> None:
        """Close, with a reset where a request is abandoned half sent.

        Otherwise the end of the connection would wait behind bytes that the
        other side does not read.
        """
        transport = self.transport
        # A transport that is closing may have given its descriptor up.
        is_open = transport is not None and not transport.is_closing()
        if (
            transport is not None
            and is_open
            and not self._is_response_complete()
        ):
            _reset_if_unsent(transport)
        super().close()

    def _is_response_complete(self) -> bool:
        """Tell whether the answer has come whole."""
        return self._payload is not None and self._payload.is_eof()


# How the connection that the present task was last given will have ended.
_current_close_future: typing.Final[
    contextvars.ContextVar[asyncio.Future[None] | None]
] = contextvars.ContextVar("closing", default=None)


class Connector(aiohttp.TCPConnector):
    """Gives out no connection that brought stray bytes, read or not.

    Of each it knows how it will have ended, which an answer that ends with
    its connection needs, also when the end has come before the answer is
    looked at.
    """

    def __init__(
        self, *, keepalive_timeout: float = 0.0, force_close: bool = False
    ) -> None:
        super().__init__(
            limit=0,
            keepalive_timeout=None if force_close else keepalive_timeout,
            force_close=force_close,
            socket_factory=_open_socket,
        )
        # The class of its protocols is no public option of the library.
        self._factory = functools.partial(  # type: ignore[assignment]
            _Protocol, loop=asyncio.get_running_loop()
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
                return connection
            connection.close()
        raise NoUsableConnectionError("ended, or sent bytes, before a request")

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
                raise LateTimeoutError("noticed late") from error
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
    """Mark the outcome as retrieved, so that the loop does not log it."""
    if not closed.cancelled():
        closed.exception()


def _is_readable(protocol: client_proto.ResponseHandler) -> bool:
    """Tell whether the kernel holds bytes, or an end, not read yet."""
    transport = protocol.transport
    if transport is None or transport.is_closing():
        return True
    opened: socket.socket = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(opened.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _reset_if_unsent(transport: asyncio.Transport) -> None:
    """Reset a connection with bytes that were not acknowledged yet."""
    opened: socket.socket = transport.get_extra_info("socket")
    try:
        unsent = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, bytes(4))
        if not any(unsent) and not transport.get_write_buffer_size():
            return
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError as error:
        _faults.report("a connection could not be reset", error)
    transport.abort()


def get_current_close_future() -> asyncio.Future[None] | None:
    """Return the end of the connection that this task was last given."""
    return _current_close_future.get()


def _open_socket(
    address: tuple[
        int | socket.AddressFamily,
        int | socket.SocketKind,
        int,
        str,
        tuple[typing.Any, ...],
    ],
) -> socket.socket:
    family, kind, protocol, _name, _where = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        round(UNACKNOWLEDGED_TIMEOUT_S * 1000),
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return opened
