"""Settings of a node, checked, in one object."""

import dataclasses
import enum
import typing

from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _auth

# Shorter than what servers keep an idle connection for, so that a request is
# not written to one that is being closed.
DEFAULT_IDLE_CONNECTION_S: typing.Final = 15.0
DEFAULT_STOP_LIMIT_S: typing.Final = 30.0
MAX_HEAD_LINE_BYTES: typing.Final = 8190


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


class LogLevel(enum.StrEnum):
    """Least severe level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerHint:
    """Where the backend server of this VM is, and of which service.

    A node that starts beside a running server finds it so, before the next
    announcement.
    """

    service: ids.ServiceName
    address: node.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Settings of one node.

    ``caller_service`` is the service of this VM, told to backend servers
    where the dialect has a header for it; ``advertised_address`` is where
    other nodes reach ``peer_address``, if that is another one.
    """

    node_id: ids.NodeId
    zone: ids.ZoneName
    caller_address: node.Address
    peer_address: node.Address
    local_address: node.Address
    seeds: tuple[node.Address, ...]
    keys: _auth.KeyRing
    core_options: node.Options
    log_format: LogFormat
    log_level: LogLevel
    statsd_address: node.Address | None
    statsd_prefix: str
    ready_address: node.Address | None = None
    metrics_address: node.Address | None = None
    advertised_address: node.Address | None = None
    server_hint: ServerHint | None = None
    caller_service: str = ""
    idle_connection_s: float = DEFAULT_IDLE_CONNECTION_S


def parse_address(text: str) -> result.Result[node.Address, str]:
    """Read an address written ``IP:PORT``."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit():
        return result.Failure("must be IP:PORT, such as 10.0.0.7:8080")
    if not 0 < int(port) < 65536:
        return result.Failure("the port must be from 1 to 65535")
    return result.Success(node.Address(host=host.strip("[]"), port=int(port)))
