"""Parsing and validation of announcements from the local backend server.

All problems of an announcement are reported together.
"""

import collections.abc
import json
import typing

from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

SERVER_TARGET: typing.Final = "/server"

_STATES: typing.Final = ("cold", "warm", "draining")
_REQUIRED: typing.Final = {"service", "port", "slots", "connections", "state"}
_OPTIONAL: typing.Final = {
    "host",
    "cold_concurrency",
    "cold_left_ms",
    "health_path",
    "version",
}
_MAX_COUNT: typing.Final = 100_000
_MAX_COLD_MS: typing.Final = 3_600_000


def read_announcement(
    method: str, target: str, body: bytes, default_host: str
) -> result.Result[node.Event, tuple[str, ...]]:
    """Parse an announcement of the backend server.

    Returns
    -------
    Result
        The corresponding event, or descriptions of all problems.
    """
    if target != SERVER_TARGET or method not in ("PUT", "DELETE"):
        return result.Failure((f"unsupported request: {method} {target}",))
    if method == "DELETE":
        return result.Success(node.ServerWithdrawn())
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return result.Failure(("the body must be JSON",))
    if not isinstance(fields, dict):
        return result.Failure(("the body must be a JSON object",))
    if fields.get("state") == "draining":
        return result.Success(node.ServerDraining())
    problems = _find_problems(fields)
    if problems:
        return result.Failure(tuple(problems))
    return result.Success(
        node.ServerAnnounced(
            server=_build_server(fields, default_host=default_host)
        )
    )


def _build_server(
    fields: collections.abc.Mapping[str, typing.Any], *, default_host: str
) -> node.Server:
    return node.Server(
        service=ids.ServiceName(fields["service"]),
        host=fields.get("host", default_host),
        port=fields["port"],
        slots=fields["slots"],
        connections=fields["connections"],
        cold_concurrency=fields.get("cold_concurrency", 1),
        is_cold=fields["state"] == "cold",
        health_path=fields.get("health_path", "/"),
        cold_left_s=fields.get("cold_left_ms", 0) / 1000,
        version=ids.ServerVersion(fields.get("version", "")),
    )


def _find_problems(
    fields: collections.abc.Mapping[str, object],
) -> list[str]:
    problems = [
        f"{key}: required but missing"
        for key in sorted(_REQUIRED - fields.keys())
    ]
    allowed = _REQUIRED | _OPTIONAL
    problems.extend(
        f"{key}: unknown field; allowed: {', '.join(sorted(allowed))}"
        for key in sorted(fields.keys() - allowed)
    )
    for key in ("service", "host"):
        if key in fields and not _is_text(fields[key]):
            problems.append(f"{key}: must be a non-empty string")
    version = fields.get("version", "")
    if (
        not isinstance(version, str)
        or len(version.encode()) > ids.MAX_SERVER_VERSION_BYTES
    ):
        problems.append(
            "version: must be a string of at most "
            f"{ids.MAX_SERVER_VERSION_BYTES} bytes"
        )
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
    left_ms = fields.get("cold_left_ms", 0)
    if left_ms != 0 and not _is_count(left_ms, _MAX_COLD_MS):
        problems.append("cold_left_ms: must be an integer from 0 to 3600000")
    return problems


def _is_text(value: object) -> bool:
    return isinstance(value, str) and value != ""


def _is_count(value: object, maximum: int) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 1 <= typing.cast(int, value) <= maximum
