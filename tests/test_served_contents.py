"""Contents of configurations that a node serves to its peers."""

import asyncio
import types
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _counts
from marjoramledge_node import _document_exchange
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _options
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_node import peers
from marjoramledge_standins import builders


class _Engine(builders.CoreDriver):
    """A node's state machine as an engine without consumers."""

    def connect(self, *_: object) -> None:
        pass


def _build_ref(version: int, digest: str) -> configuration.VersionRef:
    return configuration.VersionRef(
        version=ids.ConfigVersion(version), digest=ids.Digest(digest)
    )


def _build_parsed(content: bytes) -> _document_exchange._Parsed:
    return _document_exchange._Parsed(
        digest=ids.Digest(content.decode()),
        document=content,
        declared=builders.build_configuration(),
        compressed=content,
        compressed_document=content,
    )


# Guards against a node that serves its former content as the one in force: it
# has fetched a content under a number that was outdated when the fetch ended.
def test_a_content_is_served_under_its_latest_number() -> None:
    async def run() -> bytes | None:
        engine = _Engine()
        exchange = _document_exchange.DocumentExchange(
            engine=typing.cast(_engine.Engine, engine),
            upstream=typing.cast(_upstream.Upstream, None),
            store=None,
            options=typing.cast(_options.Options, types.SimpleNamespace()),
            timeline=_timeline.Timeline(),
            environment=_environment.Environment(),
            counts=_counts.Counts(),
        )
        exchange._adopt(_build_ref(1, "x"), _build_parsed(b"x"))
        for version, digest in ((2, "y"), (3, "x"), (4, "y")):
            ref = _build_ref(version, digest)
            engine.submit(node.VersionRead(ref=ref))
        exchange._adopt(_build_ref(2, "y"), _build_parsed(b"y"))
        assert engine.state.versions.ref.version == 4
        target = peers.manifest_target(ids.Digest("y"))
        served = await exchange.handle_request("GET", target, b"")
        await exchange.close()
        return served

    assert asyncio.run(run()) == b"y"
