"""The port for the backend server on this VM: announce, drain, withdraw.

A backend server needs one request to announce itself and one more for each
change.  Everything is checked here, and all faults are named at once.
"""

import collections.abc
import json
import typing

from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _engine

SERVER_TARGET: typing.Final = "/server"
MAX_ANNOUNCEMENT_BYTES: typing.Final = 16384

_STATES: typing.Final = ("cold", "warm", "draining")
_REQUIRED: typing.Final = {"service", "port", "slots", "connections", "state"}
_OPTIONAL: typing.Final = {"host", "cold_concurrency", "health_path"}
_MAX_COUNT: typing.Final = 100_000


class LocalPort:
    """Handler of the backend server's requests.

    Parameters
    ----------
    engine
        The node's engine.
    default_host
        IP number of a backend server that names none.
    """

    def __init__(self, *, engine: _engine.Engine, default_host: str) -> None:
        self._engine = engine
        self._default_host = default_host

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        if request.raw_path != SERVER_TARGET:
            return web.Response(status=404)
        if request.method == "GET":
            return self._describe()
        if request.method == "DELETE":
            self._engine.submit(node.ServerWithdrawn())
            return web.Response(status=204)
        if request.method != "PUT":
            return web.Response(status=405)
        body = await request.content.read(MAX_ANNOUNCEMENT_BYTES)
        parsed = _parse_announcement(body, self._default_host)
        if isinstance(parsed, result.Failure):
            return _json_response(400, {"problems": list(parsed.failure())})
        server = parsed.unwrap()
        if server is None:
            self._engine.submit(node.ServerDraining())
        else:
            self._engine.submit(node.ServerAnnounced(server=server))
        return web.Response(status=204)

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


def _parse_announcement(
    body: bytes, default_host: str
) -> result.Result[node.Server | None, tuple[str, ...]]:
    """Read an announcement; a Success of None asks to drain."""
    try:
        fields = json.loads(body)
    except ValueError:
        return result.Failure(("the body must be JSON",))
    if not isinstance(fields, dict):
        return result.Failure(("the body must be a JSON object",))
    if fields.get("state") == "draining":
        return result.Success(None)
    problems = _find_problems(fields)
    if problems:
        return result.Failure(tuple(problems))
    is_cold = fields["state"] == "cold"
    return result.Success(
        node.Server(
            service=ids.ServiceName(fields["service"]),
            host=fields.get("host", default_host),
            port=fields["port"],
            slots=fields["slots"],
            connections=fields["connections"],
            cold_concurrency=fields.get("cold_concurrency", 1),
            is_cold=is_cold,
            health_path=fields.get("health_path", "/"),
        )
    )


def _find_problems(
    fields: collections.abc.Mapping[str, object],
) -> list[str]:
    problems = [
        f"{key}: is missing" for key in sorted(_REQUIRED - fields.keys())
    ]
    allowed = _REQUIRED | _OPTIONAL
    problems.extend(
        f"{key}: unknown; allowed are: {', '.join(sorted(allowed))}"
        for key in sorted(fields.keys() - allowed)
    )
    for key in ("service", "host"):
        if key in fields and not _is_text(fields[key]):
            problems.append(f"{key}: must be a string that is not empty")
    if "state" in fields and fields["state"] not in _STATES:
        problems.append(f"state: must be one of: {', '.join(_STATES)}")
    path = fields.get("health_path", "/")
    if not isinstance(path, str) or not path.startswith("/"):
        problems.append("health_path: must start with '/'")
    if "port" in fields and not _is_count(fields["port"], 65535):
        problems.append("port: must be an integer from 1 to 65535")
    for key in ("slots", "connections", "cold_concurrency"):
        if key in fields and not _is_count(fields[key], _MAX_COUNT):
            problems.append(f"{key}: must be an integer from 1 to 100000")
    return problems


def _is_text(value: object) -> bool:
    return isinstance(value, str) and value != ""


def _is_count(value: object, high: int) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 1 <= typing.cast(int, value) <= high


def _json_response(status: int, document: object) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(document).encode(),
        content_type="application/json",
    )


def make_server(port: LocalPort) -> web.Server:
    """Make the HTTP server of the local port."""
    return web.Server(port.serve, access_log=None)
