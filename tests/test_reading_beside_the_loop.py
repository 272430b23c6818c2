"""A configuration is read while the event loop goes on serving."""

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

# Only ends a test that would never end.
HANG_S = 5.0
CONTENT = b"routes " * 50_000
REF = configuration.VersionRef(
    version=ids.ConfigVersion(2), digest=configuration.compute_digest(CONTENT)
)


class _Stuck:
    """A reader that goes on only when the event loop lets it."""

    def __init__(self) -> None:
        self.begun = threading.Event()
        self.released = threading.Event()
        self.content = b""

    def read(
        self, content: bytes, _digest: ids.Digest
    ) -> result.Result[configuration.Configuration, str]:
        self.content = content
        self.begun.set()
        if not self.released.wait(HANG_S):
            return result.Failure("the event loop stood still")
        return result.Success(builders.build_configuration())


async def _fetch_from_peer(stuck: _Stuck) -> node.NodeState:
    """Fetch from a peer, releasing the reader by a turn of the loop."""
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
        environment=_environment.Environment(read_configuration=stuck.read),
        counts=_counts.Counts(),
    )

    async def serve(request: web.BaseRequest) -> web.Response:
        assert request.path == peers.manifest_target(REF.digest)
        return web.Response(body=_config_content.compress_content(CONTENT))

    async with test_utils.RawTestServer(serve) as server:
        assert server.port is not None
        engine.submit(
            node.MessageReceived(
                message=_tell_version(server.host, server.port)
            )
        )
        while not driver.state.versions.ref.version:
            await asyncio.sleep(0)
            if stuck.begun.is_set():
                stuck.released.set()
        served = await fleet.handle_request(
            "GET", peers.manifest_target(REF.digest), b""
        )
    await fleet.close()
    await upstream.close()
    assert served == _config_content.compress_content(CONTENT)
    return driver.state


def _tell_version(host: str, port: int) -> node.Message:
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


# Guards against a new configuration that stalls the calls of every node for
# as long as its routes take to be read.
def test_the_loop_goes_on_while_a_configuration_is_read() -> None:
    async def fetch() -> None:
        stuck = _Stuck()
        async with asyncio.timeout(2 * HANG_S):
            state = await _fetch_from_peer(stuck)
        assert state.versions.ref == REF
        assert stuck.content == CONTENT

    asyncio.run(fetch())


def test_what_does_not_unpack_is_refused() -> None:
    compressed = _config_content.compress_content(CONTENT)
    limit = len(CONTENT)
    assert (
        _config_content.decompress_content(compressed, limit).unwrap()
        == CONTENT
    )
    for broken, most in (
        (compressed[:-5], limit),
        (b"noise", limit),
        (CONTENT, limit),
        (compressed, limit - 1),
    ):
        assert isinstance(
            _config_content.decompress_content(broken, most), result.Failure
        )
