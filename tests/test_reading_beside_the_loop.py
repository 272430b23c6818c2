"""A configuration is parsed while the event loop keeps running."""

import asyncio
import threading
import types
import typing

from aiohttp import test_utils
from aiohttp import web
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _config_content
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _document_exchange
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _options
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_node import peers
from marjoramledge_standins import builders
from returns import result

# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 5.0
CONTENT = b"routes " * 50_000
REF = configuration.VersionRef(
    version=ids.ConfigVersion(2), digest=configuration.compute_digest(CONTENT)
)


class _BlockingReader:
    """A reader that blocks until the event loop releases it."""

    def __init__(self) -> None:
        self.is_started = threading.Event()
        self.is_released = threading.Event()
        self.content = b""

    def read(
        self, content: bytes, _digest: ids.Digest
    ) -> result.Result[configuration.Configuration, str]:
        self.content = content
        self.is_started.set()
        if not self.is_released.wait(HANG_TIMEOUT_S):
            return result.Failure("the event loop was blocked")
        return result.Success(builders.build_configuration())


async def _fetch_from_peer(reader: _BlockingReader) -> node.NodeState:
    """Fetch from a peer, and release the reader from the event loop."""
    driver = builders.CoreDriver()
    engine = _engine.Engine(
        state=driver.state, rng=driver.rng, clock=lambda: driver.now
    )
    timeline = _timeline.Timeline()
    engine.connect(
        node.WriteRecord, lambda command: timeline.write(command.record)
    )
    engine.connect(node.SendMessage, lambda command: None)
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=1.0
    )
    options = types.SimpleNamespace(
        keys=peers.parse_keys("k1:a-secret-of-this-test").unwrap()
    )
    fleet = _document_exchange.DocumentExchange(
        engine=engine,
        upstream=upstream,
        store=None,
        options=typing.cast(_options.Options, options),
        timeline=timeline,
        environment=_environment.Environment(read_configuration=reader.read),
        counts=_counts.Counts(),
    )

    async def serve(request: web.BaseRequest) -> web.Response:
        assert request.path == peers.manifest_target(REF.digest)
        return web.Response(body=_config_content.compress_content(CONTENT))

    async with test_utils.RawTestServer(serve) as server:
        assert server.port is not None
        engine.submit(
            node.MessageReceived(
                message=_build_message(server.host, server.port)
            )
        )
        while not driver.state.versions.ref.version:
            await asyncio.sleep(0)
            if reader.is_started.is_set():
                reader.is_released.set()
        served = await fleet.handle_request(
            "GET", peers.manifest_target(REF.digest), b""
        )
    await fleet.close()
    await upstream.close()
    assert served == _config_content.compress_content(CONTENT)
    return driver.state


def _build_message(host: str, port: int) -> node.Message:
    return node.Message(
        kind=node.MessageKind.NEWS,
        sender=ids.NodeId("n1"),
        sender_address=node.Address(host=host, port=port),
        sequence=0,
        target=ids.NodeId("n0"),
        config=REF,
        updates=(),
        suspicions=(),
    )


# Guards against a new configuration that stalls the calls of all nodes while
# its routes are parsed.
def test_the_event_loop_runs_while_a_configuration_is_read() -> None:
    async def fetch() -> None:
        reader = _BlockingReader()
        async with asyncio.timeout(2 * HANG_TIMEOUT_S):
            state = await _fetch_from_peer(reader)
        assert state.versions.ref == REF
        assert reader.content == CONTENT

    asyncio.run(fetch())


def test_content_that_cannot_be_unpacked_is_rejected() -> None:
    compressed = _config_content.compress_content(CONTENT)
    limit = len(CONTENT)
    assert (
        _config_content.decompress_content(compressed, limit).unwrap()
        == CONTENT
    )
    for broken, max_bytes in (
        (compressed[:-5], limit),
        (b"noise", limit),
        (CONTENT, limit),
        (compressed, limit - 1),
    ):
        assert isinstance(
            _config_content.decompress_content(broken, max_bytes),
            result.Failure,
        )
