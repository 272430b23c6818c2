"""Listening ports of a node, and the connections of a port that closes.

Closing a listening socket resets the connections that the kernel has made and
the process has not accepted yet.  Their first requests would be lost, so a
port accepts these connections before it closes.
"""

import asyncio
import os
import socket
import typing

from aiohttp import web
from marjoramledge_core import node

from marjoramledge_node import _faults

# Connections that the kernel may make before the node accepts them.
BACKLOG: typing.Final = 1024


class Listener:
    """An open port and the HTTP server of its connections."""

    def __init__(self, *, http: web.Server, port: asyncio.Server) -> None:
        self._http = http
        self._port = port
        self._handovers: set[asyncio.Task[None]] = set()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """Listening sockets; none after the port was closed."""
        return tuple(self._port.sockets)

    def close(self) -> None:
        """Close the port, and serve the connections that were made."""
        pending = [
            connection
            for listening in self.sockets
            for connection in _accept_pending(listening)
        ]
        self._port.close()
        for connection in pending:
            handover = asyncio.create_task(self._serve(connection))
            self._handovers.add(handover)
            handover.add_done_callback(self._handovers.discard)

    async def _serve(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._http, connection)
        except OSError as error:
            connection.close()
            _faults.report("a connection was lost as its port closed", error)


async def listen(http: web.Server, address: node.Address) -> Listener:
    """Open a port for an HTTP server.

    Raises
    ------
    OSError
        The address is not available.
    """
    port = await asyncio.get_running_loop().create_server(
        http, address.host, address.port, backlog=BACKLOG
    )
    return Listener(http=http, port=port)


def _accept_pending(listening: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait at a listening socket."""
    accepted: list[socket.socket] = []
    try:
        # The event loop owns the descriptor, and its sockets don't accept.
        with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
            duplicate.setblocking(False)
            while len(accepted) < BACKLOG:
                connection, _ = duplicate.accept()
                connection.setblocking(False)
                accepted.append(connection)
    except BlockingIOError:
        pass
    except OSError as error:
        _faults.report("accepting the last connections of a port", error)
    return accepted
