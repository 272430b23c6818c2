"""Command line of ``marjoramledge-node``."""

import collections.abc
import sys
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_store import client
from returns import result
import typer

from marjoramledge_node import _auth
from marjoramledge_node import _connection_limits
from marjoramledge_node import _environment
from marjoramledge_node import _options
from marjoramledge_node import _process

T = typing.TypeVar("T")

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


def _parse_option(
    parse: collections.abc.Callable[[str], result.Result[T, str]],
    text: str,
    flag: str,
) -> T:
    parsed = parse(text)
    if isinstance(parsed, result.Failure):
        raise typer.BadParameter(parsed.failure(), param_hint=f"'{flag}'")
    return parsed.unwrap()


def _parse_name(text: str) -> result.Result[str, str]:
    if text and text.replace("-", "").replace(".", "").isalnum():
        return result.Success(text)
    return result.Failure("must contain only letters, digits, '-' and '.'")


def _parse_url(text: str) -> result.Result[str, str]:
    if text.startswith(("http://", "https://")):
        return result.Success(text.rstrip("/"))
    return result.Failure("must start with http:// or https://")


@app.command()
def run(
    *,
    node_id: typing.Annotated[
        str,
        typer.Option(
            "--node-id",
            envvar="MARJORAMLEDGE_NODE_ID",
            help="Name of this node, unique in the fleet.",
        ),
    ],
    zone: typing.Annotated[
        str,
        typer.Option(
            "--zone",
            envvar="MARJORAMLEDGE_ZONE",
            help="Availability zone of this VM, as in the inventory.",
        ),
    ],
    keys: typing.Annotated[
        str,
        typer.Option(
            "--keys",
            envvar="MARJORAMLEDGE_KEYS",
            help="Shared keys as ID:SECRET[,ID:SECRET...]; the first one "
            "signs, all are accepted.",
        ),
    ],
    listen: typing.Annotated[
        str,
        typer.Option(
            "--listen",
            envvar="MARJORAMLEDGE_LISTEN",
            help="IP:PORT for callers (HTTP/1.1).",
        ),
    ] = "127.0.0.1:8080",
    peer_listen: typing.Annotated[
        str,
        typer.Option(
            "--peer-listen",
            envvar="MARJORAMLEDGE_PEER_LISTEN",
            help="IP:PORT for other nodes, TCP and UDP; they must be able "
            "to reach this node at this IP address.",
        ),
    ] = "127.0.0.1:8081",
    peer_advertise: typing.Annotated[
        str,
        typer.Option(
            "--peer-advertise",
            envvar="MARJORAMLEDGE_PEER_ADVERTISE",
            help="IP:PORT at which other nodes reach --peer-listen, if it "
            "is a different address.",
        ),
    ] = "",
    local_listen: typing.Annotated[
        str,
        typer.Option(
            "--local-listen",
            envvar="MARJORAMLEDGE_LOCAL_LISTEN",
            help="IP:PORT where the backend server on this VM announces "
            "itself.",
        ),
    ] = "127.0.0.1:8082",
    seed: typing.Annotated[
        str,
        typer.Option(
            "--seeds",
            envvar="MARJORAMLEDGE_SEEDS",
            help="IP:PORT[,IP:PORT...] of the peer ports of some other "
            "nodes; not needed with --store-url.",
        ),
    ] = "",
    store_url: typing.Annotated[
        str,
        typer.Option(
            "--store-url",
            envvar="MARJORAMLEDGE_STORE_URL",
            help="URL of the platform's table service and object store.",
        ),
    ] = "",
    stop_limit_s: typing.Annotated[
        float,
        typer.Option(
            "--stop-limit-s",
            envvar="MARJORAMLEDGE_STOP_LIMIT_S",
            min=1.0,
            max=3600.0,
            help="Seconds that a planned stop waits for running calls.",
        ),
    ] = _options.DEFAULT_STOP_LIMIT_S,
    outdated_limit_s: typing.Annotated[
        float,
        typer.Option(
            "--outdated-limit-s",
            envvar="MARJORAMLEDGE_OUTDATED_LIMIT_S",
            min=0.5,
            max=3600.0,
            help="Seconds after which a node that lacks a configuration "
            "known to the fleet refuses calls.",
        ),
    ] = node.DEFAULT_OUTDATED_LIMIT_S,
    zone_overflow: typing.Annotated[
        bool,
        typer.Option(
            "--zone-overflow/--no-zone-overflow",
            envvar="MARJORAMLEDGE_ZONE_OVERFLOW",
            help="Let a share of the calls use other zones at the cost of "
            "the measured round trip while the own zone is busy.",
        ),
    ] = False,
    zone_crossing_cost_ms: typing.Annotated[
        float,
        typer.Option(
            "--zone-crossing-cost-ms",
            envvar="MARJORAMLEDGE_ZONE_CROSSING_COST_MS",
            min=0.0,
            max=60000.0,
            help="Milliseconds that a call must gain by leaving its zone, "
            "besides the round trip; used with --zone-overflow.",
        ),
    ] = 0.0,
    log_format: typing.Annotated[
        _options.LogFormat,
        typer.Option(
            "--log-format",
            envvar="MARJORAMLEDGE_LOG_FORMAT",
            help="Readable text, or one JSON object per line.",
        ),
    ] = _options.LogFormat.TEXT,
    log_level: typing.Annotated[
        _options.LogLevel,
        typer.Option(
            "--log-level",
            envvar="MARJORAMLEDGE_LOG_LEVEL",
            help="Least severe level that is logged.",
        ),
    ] = _options.LogLevel.INFO,
    ready_listen: typing.Annotated[
        str,
        typer.Option(
            "--ready-listen",
            envvar="MARJORAMLEDGE_READY_LISTEN",
            help="IP:PORT where GET /ready reports whether this node accepts "
            "callers; empty for none.",
        ),
    ] = "",
    metrics_listen: typing.Annotated[
        str,
        typer.Option(
            "--metrics-listen",
            envvar="MARJORAMLEDGE_METRICS_LISTEN",
            help="IP:PORT that serves Prometheus metrics; empty for none.",
        ),
    ] = "",
    max_head_bytes: typing.Annotated[
        int,
        typer.Option(
            "--max-head-bytes",
            envvar="MARJORAMLEDGE_MAX_HEAD_BYTES",
            min=1024,
            help="Bytes of the longest request head of a caller.",
        ),
    ] = configuration.DEFAULT_MAX_HEAD_BYTES,
    max_body_bytes: typing.Annotated[
        int,
        typer.Option(
            "--max-body-bytes",
            envvar="MARJORAMLEDGE_MAX_BODY_BYTES",
            min=1,
            help="Bytes of the longest request body of a caller.",
        ),
    ] = configuration.DEFAULT_MAX_BODY_BYTES,
    head_timeout_s: typing.Annotated[
        float,
        typer.Option(
            "--head-timeout-s",
            envvar="MARJORAMLEDGE_HEAD_TIMEOUT_S",
            min=1.0,
            help="Seconds that a request head may take to arrive.",
        ),
    ] = configuration.DEFAULT_HEAD_TIMEOUT_S,
    idle_timeout_s: typing.Annotated[
        float,
        typer.Option(
            "--idle-timeout-s",
            envvar="MARJORAMLEDGE_IDLE_TIMEOUT_S",
            min=1.0,
            help="Seconds for which a connection without a request stays "
            "open while there is room.",
        ),
    ] = configuration.DEFAULT_IDLE_TIMEOUT_S,
    memory_mb: typing.Annotated[
        int,
        typer.Option(
            "--memory-mb",
            envvar="MARJORAMLEDGE_MEMORY_MB",
            min=128,
            help="Memory of the VM; connections hold a quarter of it at most.",
        ),
    ] = _connection_limits.DEFAULT_MEMORY_MB,
    statsd: typing.Annotated[
        str,
        typer.Option(
            "--statsd",
            envvar="MARJORAMLEDGE_STATSD",
            help="IP:PORT of a statsd server; empty for none.",
        ),
    ] = "",
    statsd_prefix: typing.Annotated[
        str,
        typer.Option(
            "--statsd-prefix",
            envvar="MARJORAMLEDGE_STATSD_PREFIX",
            help="Prefix of all statsd metric names.",
        ),
    ] = "marjoramledge",
    expose_share: typing.Annotated[
        float,
        typer.Option(
            "--expose-share",
            envvar="MARJORAMLEDGE_EXPOSE_SHARE",
            min=0.0,
            max=1.0,
            help="Largest share of a service's requests that a version "
            "receives while its roll-out runs.",
        ),
    ] = node.DEFAULT_EXPOSE_SHARE,
) -> None:
    """Run the load balancer node of a backend server's VM.

    It accepts callers' requests on --listen, sends each to a backend server
    with free capacity, and protects the backend server on this VM from
    overload.  SIGTERM stops it once running requests end.
    """
    parse_address = _options.parse_address
    options = _options.Options(
        node_id=ids.NodeId(_parse_option(_parse_name, node_id, "--node-id")),
        zone=ids.ZoneName(_parse_option(_parse_name, zone, "--zone")),
        caller_address=_parse_option(parse_address, listen, "--listen"),
        peer_address=_parse_option(
            parse_address, peer_listen, "--peer-listen"
        ),
        advertised_address=(
            _parse_option(parse_address, peer_advertise, "--peer-advertise")
            if peer_advertise
            else None
        ),
        local_address=_parse_option(
            parse_address, local_listen, "--local-listen"
        ),
        seeds=_parse_addresses(seed, "--seeds"),
        keys=_parse_option(_auth.parse_keys, keys, "--keys"),
        core_options=node.Options(
            stop_limit_s=stop_limit_s,
            outdated_limit_s=outdated_limit_s,
            rollouts=node.RolloutOptions(expose_share=expose_share),
            zone_overflow=(
                node.ZoneOverflow(
                    crossing_cost_s=zone_crossing_cost_ms / 1000.0
                )
                if zone_overflow
                else None
            ),
        ),
        request_limits=configuration.RequestLimits(
            max_head_bytes=max_head_bytes,
            max_body_bytes=max_body_bytes,
            head_timeout_s=head_timeout_s,
            idle_timeout_s=idle_timeout_s,
        ),
        memory_mb=memory_mb,
        log_format=log_format,
        log_level=log_level,
        statsd_address=(
            _parse_option(parse_address, statsd, "--statsd")
            if statsd
            else None
        ),
        statsd_prefix=statsd_prefix,
        ready_address=(
            _parse_option(parse_address, ready_listen, "--ready-listen")
            if ready_listen
            else None
        ),
        metrics_address=(
            _parse_option(parse_address, metrics_listen, "--metrics-listen")
            if metrics_listen
            else None
        ),
    )
    environment = _environment.Environment()
    if store_url:
        base_url = _parse_option(_parse_url, store_url, "--store-url")
        environment = _environment.Environment(
            open_store=lambda: client.StoreClient(base_url=base_url)
        )
    raise typer.Exit(_process.run_node(options, environment))


def _parse_addresses(text: str, flag: str) -> tuple[node.Address, ...]:
    return tuple(
        _parse_option(_options.parse_address, part.strip(), flag)
        for part in text.split(",")
        if part.strip()
    )


def main() -> None:
    """Run the command; print an invalid setting as a one-line error."""
    try:
        status = app(standalone_mode=False)
    except typer.TyperException as error:
        print(f"marjoramledge-node: {error.format_message()}", file=sys.stderr)
        sys.exit(2)
    except OSError as error:
        print(f"marjoramledge-node: {error}", file=sys.stderr)
        sys.exit(1)
    sys.exit(status if isinstance(status, int) else 0)
