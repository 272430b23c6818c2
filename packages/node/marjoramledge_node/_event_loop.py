"""The event loop that a node runs on.

Everything that opens a connection does it through the loop, so that the loop
is the place to see to it that a descriptor has one owner at each moment.
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
    """Hands a socket over to its transport, whatever ends that.

    The library's own loop lets the caller's socket keep the number of a
    descriptor that its transport has closed, when the hand-over is cancelled
    or fails; the socket closes the number again when it is collected, and
    with it whatever was opened under that number meanwhile.
    """

    async def create_connection(
        self,
        protocol_factory: ProtocolFactory,
        *address: object,
        sock: socket.socket | None = None,
        **options: object,
    ) -> Connection:
        """Connect, or make a transport for a socket that is connected.

        The socket is empty afterwards, also when an error is raised.
        """
        connect: collections.abc.Callable[
            ..., collections.abc.Awaitable[Connection]
        ] = super().create_connection
        if sock is None:
            return await connect(protocol_factory, *address, **options)
        family, kind, protocol = sock.family, sock.type, sock.proto
        owner = socket.socket(family, kind, protocol, fileno=sock.detach())
        is_handed_over = False

        def make_protocol() -> asyncio.BaseProtocol:
            nonlocal is_handed_over
            made = protocol_factory()
            is_handed_over = True
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
            if is_handed_over:
                owner.detach()
            else:
                owner.close()
            raise


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop."""
    # libuv would otherwise be free to use io_uring.
    os.environ["UV_USE_IO_URING"] = "0"
    return _Loop()
