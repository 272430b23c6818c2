"""An operation that is broken off, or fails unforeseen, ends its duty."""

import asyncio
import types
import typing

from aiohttp import test_utils
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _caller_port
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _document_exchange
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _mailbox
from marjoramledge_node import _options
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_node import peers
from marjoramledge_standins import builders
from marjoramledge_store import _client
from marjoramledge_store import _throttling
from marjoramledge_store import client
import pytest
from returns import result

KEYS = peers.parse_keys("k1:a-secret-of-this-test").unwrap()
# Ends a test that would never end; no promise is read from it.
HANG_S = 10.0
ATTEMPT = ids.AttemptId("c.0")
SERVER = builders.build_server(port=1)


class _Engine:
    """Sends each call to the server here, and notes what it is told."""

    def __init__(self) -> None:
        self.state = types.SimpleNamespace(
            stop_phase=node.StopPhase.RUNNING,
            versions=types.SimpleNamespace(ref=configuration.NO_VERSION),
        )
        self.told: list[node.Event] = []
        self.consumers: dict[type, _engine.Consumer] = {}
        self._mailbox = _mailbox.Mailbox()

    def now(self) -> float:
        return 0.0

    def connect(self, command: type, consumer: _engine.Consumer) -> None:
        self.consumers[command] = consumer

    def open_mailbox(self, _owner: str) -> _mailbox.Mailbox:
        return self._mailbox

    def close_mailbox(self, _owner: str) -> None:
        pass

    def register_canceller(self, _attempt: str, _cancel: object) -> None:
        pass

    def remove_canceller(self, _attempt: str) -> None:
        pass

    def is_cancelled_early(self, _attempt: str) -> bool:
        return False

    def submit(self, event: node.Event) -> None:
        self.told.append(event)
        if isinstance(event, node.CallArrived):
            self._mailbox.put(
                node.RunOnServer(
                    call=event.call,
                    attempt=ATTEMPT,
                    server=SERVER,
                    deadline_at=1.0,
                    is_repeatable=True,
                )
            )

    def typed(self) -> _engine.Engine:
        """Give itself out as an engine."""
        return typing.cast(_engine.Engine, self)


class _Failing:
    """Fails in a way that is none of the errors of a connection."""

    async def send_to_server(self, *_: object) -> _upstream.SendResult:
        raise RuntimeError("File descriptor 31 is used by transport")

    async def wait_version(self, *_: object) -> typing.NoReturn:
        raise RuntimeError("File descriptor 31 is used by transport")

    async def get_manifest(self, *_: object) -> typing.NoReturn:
        raise RuntimeError("File descriptor 31 is used by transport")


async def _serve_and_fail(engine: _Engine) -> None:
    port = _caller_port.CallerPort(
        engine=engine.typed(),
        upstream=typing.cast(_upstream.Upstream, _Failing()),
        keys=KEYS,
        stamper=_auth.Stamper(run="run-"),
        call_prefix="run-",
        dialect=_dialect.DEFAULT_DIALECT,
        caller_service="",
        counts=_counts.Counts(),
    )
    request = test_utils.make_mocked_request("GET", "/", {"Host": "shop"})
    try:
        async with asyncio.timeout(HANG_S):
            await port.serve(request)
    except (RuntimeError, TimeoutError):
        # How the caller is answered is not looked at here.
        pass


# Guards against: a request that fails with an error that is no connection's
# (a descriptor "used by transport" was seen) keeps its slot of the gate for
# good, until the gate lets nothing in.
def test_a_request_that_fails_unforeseen_gives_its_slot_back() -> None:
    engine = _Engine()
    asyncio.run(_serve_and_fail(engine))
    ended = [e.attempt for e in engine.told if isinstance(e, node.WorkEnded)]
    assert ended == [ATTEMPT]


async def _order_and_fail(engine: _Engine, command: node.Command) -> None:
    fleet = _document_exchange.DocumentExchange(
        engine=engine.typed(),
        upstream=typing.cast(_upstream.Upstream, _Failing()),
        store=typing.cast(client.NodeStore, _Failing()),
        options=typing.cast(_options.Options, types.SimpleNamespace()),
        timeline=_timeline.Timeline(),
        environment=_environment.Environment(),
        counts=_counts.Counts(),
    )
    engine.consumers[type(command)](command)
    for _ in range(8):
        await asyncio.sleep(0)
    await fleet.close()


# Guards against: the node waits for good for the end of a read or a fetch
# that failed with such an error, and takes in no configuration, or not this
# one, any more (CONFIG).
@pytest.mark.parametrize(
    ("command", "awaited"),
    [
        (node.ReadVersion(wait_s=0.0), node.VersionReadEnded),
        (
            node.FetchManifest(ref=configuration.NO_VERSION, source=None),
            node.ManifestFailed,
        ),
    ],
    ids=["version", "manifest"],
)
def test_what_the_core_waits_for_ends_after_an_unforeseen_error(
    command: node.Command, awaited: type
) -> None:
    engine = _Engine()
    asyncio.run(_order_and_fail(engine, command))
    assert [event for event in engine.told if isinstance(event, awaited)]


async def _ask_after_a_broken_try() -> client.StoreError | None:
    """Break the breaker's one try off; return how the next one ends."""
    store = client.StoreClient(base_url="http://store.example")
    store._breaker.consecutive_failures = _throttling.FAILURE_THRESHOLD

    async def never(*_: object) -> typing.NoReturn:
        await asyncio.Event().wait()
        raise AssertionError("never comes")

    async def answer(*_: object) -> result.Result[_client._Reply, typing.Any]:
        return result.Success(_client._Reply(status=404, body=b"", etag=""))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(store, "_send", never)
        tried = asyncio.create_task(store.read_version())
        await asyncio.sleep(0)
        tried.cancel()
        await asyncio.gather(tried, return_exceptions=True)
        patch.setattr(store, "_send", answer)
        asked = await store.read_version()
    return None if isinstance(asked, result.Success) else asked.failure()


# Guards against: the one try that the breaker lets through is given up by
# its caller (a departure is kept for 0.6 s at most), and no operation is let
# through any more.
def test_a_try_of_the_store_that_is_broken_off_does_not_bar_the_next() -> None:
    assert asyncio.run(_ask_after_a_broken_try()) is None


class _Crossed:
    """Sends a content that was asked for under another digest."""

    async def get_manifest(
        self, *_: object
    ) -> result.Result[bytes, client.StoreError]:
        return result.Success(b"another content")


# Guards against: the answer to another fetch is adopted under the version that
# was asked for (CONFIG), where the reader of a deployment checks no digest.
def test_a_content_of_another_digest_is_not_adopted() -> None:
    async def fetch(engine: _Engine) -> None:
        fleet = _document_exchange.DocumentExchange(
            engine=engine.typed(),
            upstream=typing.cast(_upstream.Upstream, None),
            store=typing.cast(client.NodeStore, _Crossed()),
            options=typing.cast(_options.Options, types.SimpleNamespace()),
            timeline=_timeline.Timeline(),
            environment=_environment.Environment(
                read_configuration=lambda _content, _digest: result.Success(
                    builders.build_configuration()
                )
            ),
            counts=_counts.Counts(),
        )
        command = node.FetchManifest(ref=builders.build_ref(1), source=None)
        engine.consumers[node.FetchManifest](command)
        await asyncio.wait(fleet._tasks, timeout=HANG_S)
        await fleet.close()

    engine = _Engine()
    asyncio.run(fetch(engine))
    assert [type(event) for event in engine.told] == [node.ManifestFailed]
