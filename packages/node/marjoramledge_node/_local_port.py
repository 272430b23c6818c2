"""HTTP port to which the backend server reports its start and its departure.

A backend server sends one request to announce itself and one for each change.
A departure is acknowledged once it is kept outside this process, so that it
still holds after a restart of this node.
"""

import collections.abc
import json
import time
import typing

from aiohttp import web
import loguru
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _announcements
from marjoramledge_node import _bounded_server
from marjoramledge_node import _connection_limits
from marjoramledge_node import _engine
from marjoramledge_node import _environment

MAX_ANNOUNCEMENT_BYTES: typing.Final = 16384

NS_PER_MS: typing.Final = 1_000_000

AnnouncementCheck = collections.abc.Callable[
    [node.Server], collections.abc.Awaitable[bool]
]
KeepDeparture = collections.abc.Callable[
    [node.ServerStart], collections.abc.Awaitable[bool]
]


class LocalPort:
    """Handler of requests from the backend server on this VM.

    Parameters
    ----------
    engine
        The node's engine.
    default_host
        IP address of a backend server that announces none.
    parse_announcement
        Parses an announcement.
    contradicts
        Returns whether a server's health page denies its announcement.
    keep_departure
        Keeps a server's departure outside this process; returns whether it
        succeeded.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        default_host: str,
        read_announcement: _environment.AnnouncementReader,
        contradicts: AnnouncementCheck,
        keep_departure: KeepDeparture,
    ) -> None:
        self._engine = engine
        self._default_host = default_host
        self._read_announcement = read_announcement
        self._contradicts = contradicts
        self._keep_departure = keep_departure

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        is_server_target = request.raw_path == _announcements.SERVER_TARGET
        if is_server_target and request.method == "GET":
            return self._describe()
        body = await request.content.read(MAX_ANNOUNCEMENT_BYTES)
        parsed = self._read_announcement(
            request.method, request.raw_path, body, self._default_host
        )
        if isinstance(parsed, result.Failure):
            problems = list(parsed.failure())
            loguru.logger.bind(event="announcement-refused").warning(
                "invalid announcement from the backend server: {}",
                "; ".join(problems),
            )
            return _json_response(400, {"problems": problems})
        event = parsed.unwrap()
        if not isinstance(event, node.ServerDraining | node.ServerWithdrawn):
            if isinstance(event, node.ServerAnnounced):
                event.is_doubted = await self._contradicts(event.server)
            self._engine.submit(event)
            return web.Response(status=204)
        event.said_at_ms = time.time_ns() // NS_PER_MS
        self._engine.submit(event)
        server = self._engine.state.gate.starts.resolve(event.server)
        if await self._keep_departure(server):
            return web.Response(status=204)
        # The gate sends nothing more to the server in any case, but this
        # can't be promised for a process that takes this one's place.
        loguru.logger.bind(
            event="departure-not-kept", server=server.server, born=server.born
        ).warning("the backend server's departure is not acknowledged yet")
        return _json_response(
            503, {"problems": ["the departure could not be kept; repeat it"]}
        )

    def _describe(self) -> web.Response:
        gate = self._engine.state.gate
        return _json_response(
            200,
            {
                "state": gate.state.name.lower(),
                "running": gate.running,
                "queued": gate.queued,
                "limit": gate.limit,
            },
        )


def _json_response(status: int, document: object) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type="application/json",
    )


def make_server(
    port: LocalPort,
    table: _connection_limits.ConnectionTable | None = None,
) -> web.Server:
    """Create the HTTP server of the local port."""
    return _bounded_server.Server(port.serve, table=table, access_log=None)
