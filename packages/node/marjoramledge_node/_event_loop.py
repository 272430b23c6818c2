"""The event loop that a node runs on.

Every connection is opened through the loop, which makes it the place to ensure
that a descriptor has exactly one owner at any time.
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
    """Moves the descriptor of a connected socket to its transport.

    When ``create_connection`` of the base class is cancelled or fails, the
    transport closes the descriptor while the caller's socket still refers to
    it.  The socket closes the number again when it is collected, along with
    whatever was opened under it in the meantime.
    """

    async def create_connection(
        self,
        protocol_factory: ProtocolFactory,
        *address: object,
        sock: socket.socket | None = None,
        **options: object,
    ) -> Connection:
        """Connect, or make a transport for a socket that is connected.

        The socket is detached in any case, also when an error is raised.
        """
        connect: collections.abc.Callable[
            ..., collections.abc.Awaitable[Connection]
        ] = super().create_connection
        if sock is None:
            return await connect(protocol_factory, *address, **options)
        family, kind, protocol = sock.family, sock.type, sock.proto
        owner = socket.socket(family, kind, protocol, fileno=sock.detach())
        is_transferred = False

        def make_protocol() -> asyncio.BaseProtocol:
            nonlocal is_transferred
            made = protocol_factory()
            is_transferred = True
            return made

        try:
            return await connect(
                make_protocol, *address, sock=owner, **options
            )
        except (TypeError, ValueError):
            # The loop refuses arguments before it opens a transport.
            owner.close()
            raise
        except BaseException:
            if is_transferred:
                owner.detach()
            else:
                owner.close()
            raise


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop."""
    # libuv would otherwise be free to use io_uring.
    os.environ["UV_USE_IO_URING"] = "0"
    return _Loop()
