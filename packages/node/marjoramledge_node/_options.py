"""Validated settings of a node."""

import dataclasses
import enum
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _auth
from marjoramledge_node import _connection_limits

# Shorter than the idle timeout of backend servers, so that a request is not
# sent on a connection that the server is about to close.
DEFAULT_IDLE_CONNECTION_S: typing.Final = 15.0
DEFAULT_STOP_LIMIT_S: typing.Final = 30.0
# No less than the whole head that an operator's configuration allows.
MAX_HEAD_LINE_BYTES: typing.Final = 65536
# No less than fit into 16 KB; the shortest field takes four bytes.
MAX_HEAD_FIELDS: typing.Final = 4096


class LogFormat(enum.StrEnum):
    """Format of the log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(enum.StrEnum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerHint:
    """Address and service of the backend server on this VM.

    Lets a starting node find a server that is already running without
    waiting for the server's next announcement.
    """

    service: ids.ServiceName
    address: node.Address


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Settings of one node.

    ``caller_service`` is the service of this VM, which is sent to backend
    servers if the dialect has a header for it.  ``advertised_address`` is the
    address at which other nodes reach ``peer_address``, if they differ.
    ``request_limits`` hold where the configuration has none, ``memory_mb`` is
    the memory of the VM, and ``max_descriptors`` a limit besides the
    process's own.  ``core_options`` are the options of ``marjoramledge_core``.
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
    request_limits: configuration.RequestLimits = dataclasses.field(
        default_factory=configuration.RequestLimits
    )
    memory_mb: int = _connection_limits.DEFAULT_MEMORY_MB
    max_descriptors: int | None = None


def parse_address(text: str) -> result.Result[node.Address, str]:
    """Parse an address of the form ``IP:PORT``."""
    host, separator, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not separator or not host or not is_number:
        return result.Failure("must be IP:PORT, such as 10.0.0.7:8080")
    if not 0 < int(port) < 65536:
        return result.Failure("the port must be from 1 to 65535")
    return result.Success(node.Address(host=host.strip("[]"), port=int(port)))
