"""HTTP port for readiness checks of this node.

A node is not ready while it has no configuration, refuses callers since its
configuration is outdated, or is stopping.  When it stops, it still serves
requests that arrive for a while.
"""

from aiohttp import web

from marjoramledge_node import _bounded_server
from marjoramledge_node import _connection_limits
from marjoramledge_node import _engine


class ReadyPort:
    """Handler of readiness checks.

    Parameters
    ----------
    engine
        The node's engine.
    target
        Request target of the readiness check.
    """

    def __init__(self, *, engine: _engine.Engine, target: str) -> None:
        self._engine = engine
        self._target = target

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        if request.raw_path.partition("?")[0] != self._target:
            return web.Response(status=404)
        problem = self._engine.state.describe_unreadiness(self._engine.now())
        return web.Response(status=503 if problem else 200, text=problem)


def make_server(
    port: ReadyPort,
    table: _connection_limits.ConnectionTable | None = None,
) -> web.Server:
    """Create the HTTP server of the readiness port."""
    return _bounded_server.Server(port.serve, table=table, access_log=None)
