"""Cleanup after operations that are cancelled or fail unexpectedly."""

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
from marjoramledge_node import _departure_keeper
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
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
ATTEMPT = ids.AttemptId("c.0")
SERVER = builders.build_server(port=1)


class _Engine:
    """Runs each call on the local server and records submitted events."""

    def __init__(self) -> None:
        self.state = types.SimpleNamespace(
            stop_phase=node.StopPhase.RUNNING,
            versions=types.SimpleNamespace(ref=configuration.NO_VERSION),
        )
        self.events: list[node.Event] = []
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
        self.events.append(event)
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
        """Return this object, typed as an engine."""
        return typing.cast(_engine.Engine, self)


class _Failing:
    """Fails with an error that isn't a connection error."""

    async def send_to_server(self, *_: object) -> _upstream.SendResult:
        raise RuntimeError("File descriptor 31 is used by transport")

    async def wait_version(self, *_: object) -> typing.NoReturn:
        raise RuntimeError("File descriptor 31 is used by transport")

    async def get_manifest(self, *_: object) -> typing.NoReturn:
        raise RuntimeError("File descriptor 31 is used by transport")


async def _serve_failing_request(engine: _Engine) -> None:
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
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await port.serve(request)
    except (RuntimeError, TimeoutError):
        # The answer to the caller is not checked here.
        pass


# Guards against a leaked slot of the gate: a request that fails with an error
# that isn't a connection error (a descriptor "used by transport" was seen)
# kept its slot, until the gate admitted no more requests.
def test_a_request_that_fails_unexpectedly_releases_its_slot() -> None:
    engine = _Engine()
    asyncio.run(_serve_failing_request(engine))
    released = [
        e.attempt for e in engine.events if isinstance(e, node.WorkEnded)
    ]
    assert released == [ATTEMPT]


def _build_exchange(
    engine: _Engine, store: object
) -> _document_exchange.DocumentExchange:
    """Build an exchange whose requests to peers fail."""
    return _document_exchange.DocumentExchange(
        engine=engine.typed(),
        upstream=typing.cast(_upstream.Upstream, _Failing()),
        store=typing.cast(client.NodeStore, store),
        options=typing.cast(_options.Options, types.SimpleNamespace()),
        timeline=_timeline.Timeline(),
        environment=_environment.Environment(),
        counts=_counts.Counts(),
    )


async def _run_failing_command(engine: _Engine, command: node.Command) -> None:
    fleet = _build_exchange(engine, _Failing())
    engine.consumers[type(command)](command)
    for _ in range(8):
        await asyncio.sleep(0)
    await fleet.close()


# Guards against a node that never adopts a new configuration: it waits forever
# for the end of a read or a fetch that failed with such an error.
@pytest.mark.parametrize(
    ("command", "awaited"),
    [
        (node.ReadVersion(wait_s=0.0), node.VersionReadEnded),
        (
            node.FetchManifest(
                ref=configuration.NO_VERSION, source=None, ordered_at=0.0
            ),
            node.ManifestFailed,
        ),
    ],
    ids=["version", "manifest"],
)
def test_an_unexpected_error_ends_the_operation_for_the_core(
    command: node.Command, awaited: type
) -> None:
    engine = _Engine()
    asyncio.run(_run_failing_command(engine, command))
    assert [event for event in engine.events if isinstance(event, awaited)]


class _BusyStore:
    """Fails to store a departure a few times."""

    def __init__(self, failures: int) -> None:
        self.writes = 0
        self._failures = failures

    async def put_departure(
        self, _server: node.ServerStart
    ) -> result.Result[None, client.StoreError]:
        self.writes += 1
        if self.writes <= self._failures:
            return result.Failure(client.StoreError.NO_ANSWER)
        return result.Success(None)


# Guards against a departure that is lost because the store was away.
def test_a_departure_is_stored_once_the_store_takes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_departure_keeper, "FIRST_WRITE_PAUSE_S", 0.0)
    store = _BusyStore(failures=3)

    async def run() -> None:
        engine = _Engine()
        exchange = _build_exchange(engine, store)
        start = node.ServerStart(server=ids.ServerId("i-1"), born=7)
        engine.consumers[node.StoreDeparture](
            node.StoreDeparture(server=start)
        )
        for _ in range(32):
            await asyncio.sleep(0)
        await exchange.close()

    asyncio.run(run())
    assert store.writes == 4


async def _read_after_cancelled_trial() -> client.StoreError | None:
    """Cancel the breaker's trial operation; return the error of the next."""
    store = client.StoreClient(base_url="http://store.example")
    store._breaker.consecutive_failures = _throttling.FAILURE_THRESHOLD

    async def wait_forever(*_: object) -> typing.NoReturn:
        await asyncio.Event().wait()
        raise AssertionError("never comes")

    async def answer(*_: object) -> result.Result[_client._Reply, typing.Any]:
        return result.Success(_client._Reply(status=404, body=b"", etag=""))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(store, "_send", wait_forever)
        trial = asyncio.create_task(store.read_version())
        await asyncio.sleep(0)
        trial.cancel()
        await asyncio.gather(trial, return_exceptions=True)
        patch.setattr(store, "_send", answer)
        outcome = await store.read_version()
    return None if isinstance(outcome, result.Success) else outcome.failure()


# Guards against a breaker that stays open forever: the caller cancels the one
# trial operation (storing a departure may take 0.6 s at most), and no further
# operation is allowed.
def test_a_cancelled_trial_of_the_breaker_allows_another() -> None:
    assert asyncio.run(_read_after_cancelled_trial()) is None


class _MixedUpStore:
    """Returns the content of another digest than the requested one."""

    async def get_manifest(
        self, *_: object
    ) -> result.Result[bytes, client.StoreError]:
        return result.Success(b"another content")


# Guards against a wrong configuration: the answer to another fetch is adopted
# under the requested version if the deployment's reader checks no digest.
def test_content_with_another_digest_is_not_adopted() -> None:
    async def fetch(engine: _Engine) -> None:
        fleet = _document_exchange.DocumentExchange(
            engine=engine.typed(),
            upstream=typing.cast(_upstream.Upstream, None),
            store=typing.cast(client.NodeStore, _MixedUpStore()),
            options=typing.cast(_options.Options, types.SimpleNamespace()),
            timeline=_timeline.Timeline(),
            environment=_environment.Environment(
                read_configuration=lambda _content, _digest: result.Success(
                    builders.build_configuration()
                )
            ),
            counts=_counts.Counts(),
        )
        command = node.FetchManifest(
            ref=builders.build_ref(1), source=None, ordered_at=0.0
        )
        engine.consumers[node.FetchManifest](command)
        await asyncio.wait(fleet._tasks, timeout=HANG_TIMEOUT_S)
        await fleet.close()

    engine = _Engine()
    asyncio.run(fetch(engine))
    assert [type(event) for event in engine.events] == [node.ManifestFailed]
