"""The event loop that a node runs on.

Everything that opens a connection does it through the loop, so that the loop
is the place to see to it that a descriptor has one owner at each moment.
"""

import asyncio
import os
import socket
import typing

import uvloop


class _Loop(uvloop.Loop):
    """Hands a socket over to its transport, also when that is cancelled."""

    async def create_connection(
        self,
        *arguments: object,
        sock: socket.socket | None = None,
        **options: object,
    ) -> tuple[typing.Any, typing.Any]:
        """Connect, or make a transport for a socket that is connected."""
        connect: typing.Any = super().create_connection
        try:
            opened: tuple[typing.Any, typing.Any] = await connect(
                *arguments, sock=sock, **options
            )
            return opened
        except asyncio.CancelledError:
            if sock is not None:
                # The transport owned the descriptor and has closed it; the
                # socket would close whatever has its number by then.
                sock.detach()
            raise


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make an event loop."""
    # libuv would otherwise be free to use io_uring.
    os.environ["UV_USE_IO_URING"] = "0"
    return _Loop()
