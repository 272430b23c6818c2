"""The asyncio event loop of a node.

All connections are opened through the loop, so it can ensure that a file
descriptor has exactly one owner at any time.
"""

import asyncio
import collections.abc
import os
import socket
import typing

import uvloop

ProtocolFactory = collections.abc.Callable[[], asyncio.BaseProtocol]
Connection = tuple[typing.Any, typing.Any]


class _Loop(uvloop.Loop):
    """uvloop loop that moves a socket's descriptor to its transport.

    When ``create_connection`` of the base class is cancelled or fails, the
    transport closes the descriptor while the caller's socket still refers to
    it.  The socket closes the same descriptor number again when it is
    garbage-collected, even if the number has been reused in the meantime.
    """

    async def create_connection(
        self,
        protocol_factory: ProtocolFactory,
        *address: object,
        sock: socket.socket | None = None,
        **options: object,
    ) -> Connection:
        """Connect, or create a transport for a connected socket.

        A given socket is always detached, even if an error is raised.
        """
        connect: collections.abc.Callable[
            ..., collections.abc.Awaitable[Connection]
        ] = super().create_connection
        if sock is None:
            return await connect(protocol_factory, *address, **options)
        family, kind, protocol = sock.family, sock.type, sock.proto
        owned_sock = socket.socket(
            family, kind, protocol, fileno=sock.detach()
        )
        is_transferred = False

        def make_protocol() -> asyncio.BaseProtocol:
            nonlocal is_transferred
            created = protocol_factory()
            is_transferred = True
            return created

        try:
            return await connect(
                make_protocol, *address, sock=owned_sock, **options
            )
        except (TypeError, ValueError):
            # The loop checks its arguments before it creates a transport.
            owned_sock.close()
            raise
        except BaseException:
            if is_transferred:
                owned_sock.detach()
            else:
                owned_sock.close()
            raise


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop."""
    # libuv may use io_uring where the kernel has it; a node uses epoll only.
    os.environ["UV_USE_IO_URING"] = "0"
    return _Loop()
