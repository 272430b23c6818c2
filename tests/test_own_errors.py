"""Local errors of a node, and probes without a result."""

import asyncio
import collections.abc
import dataclasses
import errno
import random
import socket
import typing

import aiohttp
from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _bodies
from marjoramledge_node import _connections
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _document_exchange
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _event_loop
from marjoramledge_node import _faults
from marjoramledge_node import _headers
from marjoramledge_node import _options
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
from marjoramledge_store import _throttling
import multidict
import pytest

HOST = "127.0.0.1"
CLOSED_DESCRIPTOR = OSError(errno.EBADF, "Bad file descriptor")


def _build_request() -> _upstream.OutgoingRequest:
    return _upstream.OutgoingRequest(
        method="GET",
        target="/",
        headers=multidict.CIMultiDict({_headers.ATTEMPT: "c.0"}),
        body=_bodies.Body(),
    )


def _open_upstream() -> _upstream.Upstream:
    return _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=4.0
    )


def _find_probes(
    commands: collections.abc.Iterable[node.Command],
) -> list[node.Command]:
    return [c for c in commands if isinstance(c, node.ProbeServer)]


def _has_presumed_death(driver: builders.CoreDriver) -> bool:
    return driver.state.presumed_death is not None


class _FakeUpstream:
    """Returns the given probe results one after the other."""

    def __init__(self, outcomes: list[_upstream.ProbeResult | None]) -> None:
        self._outcomes = outcomes

    async def probe(
        self, _server: node.Server, _timeout_s: float
    ) -> _upstream.ProbeResult | None:
        """Return the next result."""
        return self._outcomes.pop(0)


# Guards against a presumed death that is never confirmed or withdrawn: the
# probe that should do so has no result (a descriptor was lost, or its timeout
# was noticed late).  Requests that crashed no server would stay suspected, and
# no later death would be detected while calls are answered.
@pytest.mark.parametrize(
    ("outcomes", "is_healthy"),
    [
        ([None, _upstream.ProbeResult(is_alive=True)], True),
        ([None, None], False),
    ],
)
def test_a_probe_without_a_result_is_repeated(
    outcomes: list[_upstream.ProbeResult | None], is_healthy: bool
) -> None:
    driver = builders.CoreDriver()
    driver.configure()
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    driver.offer("broken", target_s=1.0)
    commands = driver.submit(
        node.WorkEnded(
            attempt=ids.AttemptId("broken.0"),
            outcome=node.ServerOutcome.ABORTED,
            head_s=0.0,
            slowdown=None,
        )
    )
    assert _has_presumed_death(driver)
    (command,) = _find_probes(commands)

    async def probe() -> None:
        engine = _engine.Engine(
            state=driver.state, rng=random.Random(1), clock=lambda: driver.now
        )
        for command_type in (
            node.RefuseWork,
            node.SendMessage,
            node.WriteRecord,
        ):
            engine.connect(command_type, lambda _command: None)
        fleet = _document_exchange.DocumentExchange(
            engine=engine,
            upstream=typing.cast(_upstream.Upstream, _FakeUpstream(outcomes)),
            store=None,
            options=typing.cast(_options.Options, None),
            timeline=_timeline.Timeline(),
            environment=_environment.Environment(),
            counts=_counts.Counts(),
        )
        engine._consumers[node.ProbeServer](command)
        await asyncio.gather(*fleet._tasks)
        engine.stop()

    asyncio.run(probe())
    assert not _has_presumed_death(driver)
    assert driver.state.gate.accepts_work is is_healthy


class _ClosingProtocol(asyncio.Protocol):
    """Closes each connection at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


# Guards against a peer that closes each connection being treated as one whose
# backend server refuses work.  It would stay a candidate, and each attempt on
# it would be charged as a retry although nothing was sent.
def test_a_peer_that_closes_each_connection_is_unreachable() -> None:
    async def send() -> _upstream.AttemptFailure:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(_ClosingProtocol, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = _open_upstream()
        # The peer's close must arrive before the connection is checked.
        connect: typing.Any = aiohttp.TCPConnector.connect

        async def connect_and_wait(*args: object) -> object:
            connection = await connect(*args)
            await asyncio.sleep(0.05)
            return connection

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(aiohttp.TCPConnector, "connect", connect_and_wait)
            exchange = await upstream.send_to_peer(
                _build_request(), node.Address(host=HOST, port=port), 5.0
            )
        await upstream.close()
        listener.close()
        return exchange.failure()

    fault = asyncio.run(send())
    assert fault.run is node.RunState.NOT_RUN
    assert fault.reason is node.Reason.PEER_UNREACHABLE


# Guards against an unreachable server that stays in use: the time spent on a
# first, unusable connection counts as a delay of this process, so that the
# timeout of the second connection is attributed to the node.
def test_a_timeout_of_the_second_connect_is_the_servers_failure() -> None:
    async def send() -> _upstream.AttemptFailure:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(_ClosingProtocol, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = _open_upstream()
        connect: typing.Any = aiohttp.TCPConnector.connect
        limit_s = _upstream.CONNECT_TIMEOUT_S
        connects = 0

        real_time = loop.time
        elapsed_s = 0.0

        async def connect_or_time_out(*args: object) -> object:
            nonlocal connects, elapsed_s
            connects += 1
            if connects > 1:
                # Noticed on time, one timeout after this connect started.
                elapsed_s += limit_s
                raise aiohttp.ConnectionTimeoutError
            connection = await connect(*args)
            elapsed_s += limit_s / 2
            connection.protocol.force_close()
            return connection

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(aiohttp.TCPConnector, "connect", connect_or_time_out)
            patch.setattr(loop, "time", lambda: real_time() + elapsed_s)
            exchange = await upstream.send_to_server(
                _build_request(), builders.build_server(port=port), 5.0
            )
        await upstream.close()
        listener.close()
        assert connects == 2
        return exchange.failure()

    fault = asyncio.run(send())
    assert fault.outcome is node.ServerOutcome.UNREACHABLE
    assert fault.reason is node.Reason.SERVER_UNREACHABLE


def _lose_socket(*_: object) -> typing.NoReturn:
    raise CLOSED_DESCRIPTOR


async def _probe(upstream: _upstream.Upstream) -> object:
    return await upstream.probe(builders.build_server(port=1), 1.0)


async def _fetch(upstream: _upstream.Upstream) -> object:
    return await upstream.fetch(
        "GET",
        node.Address(host=HOST, port=1),
        "/members",
        headers={},
        timeout_s=1.0,
        max_bytes=10,
    )


# Guards against answers to the wrong caller: a node keeps running with a
# closed descriptor when a probe or the fetch of a document is the first to hit
# it.
@pytest.mark.parametrize("ask", [_probe, _fetch])
def test_a_closed_descriptor_is_reported_by_every_operation(
    ask: collections.abc.Callable[
        [_upstream.Upstream], collections.abc.Awaitable[object]
    ],
) -> None:
    async def count() -> int:
        loop = asyncio.get_running_loop()
        counts = _counts.Counts()
        log = _faults.FaultLog(
            counts=counts, clock=loop.time, abort_node=lambda: None
        )
        loop.set_exception_handler(log.handle_loop_fault)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(_connections, "_open_socket", _lose_socket)
            upstream = _open_upstream()
        await ask(upstream)
        await upstream.close()
        return counts.faults[_faults.FaultKind.DESCRIPTOR_GONE.value]

    assert asyncio.run(count()) == 1


# Guards against leaked descriptors: if the transfer of a socket fails before a
# transport exists, nothing owns the socket.
def test_a_socket_is_closed_when_its_transfer_is_refused() -> None:
    async def refuse() -> bytes | None:
        loop = asyncio.get_running_loop()
        with socket.create_server((HOST, 0)) as listening:
            local_socket = socket.create_connection(listening.getsockname())
            remote_socket, _ = listening.accept()
        remote_socket.setblocking(False)
        with pytest.raises(ValueError, match="ssl"):
            # The loop creates the protocol before it checks the options.
            await loop.create_connection(
                asyncio.Protocol, sock=local_socket, ssl_handshake_timeout=1.0
            )
        local_socket.close()
        with remote_socket:
            try:
                return remote_socket.recv(1)
            except BlockingIOError:
                # The socket is still open, and nothing owns it.
                return None

    with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
        assert runner.run(refuse()) == b""


# Guards against a second concurrent trial operation: an operation that started
# before the breaker opened is cancelled during the trial.
def test_cancelling_an_older_operation_allows_no_second_trial() -> None:
    breaker = _throttling.CircuitBreaker()
    assert breaker.allow_operation(0.0)
    was_probe = breaker.is_probing
    for _ in range(_throttling.FAILURE_THRESHOLD):
        breaker.record_failure(0.0, 0.0)
    assert breaker.allow_operation(10.0)
    assert not breaker.allow_operation(10.0)
    breaker.record_cancellation(was_probe=was_probe)
    assert not breaker.allow_operation(10.0)


# Guards against an exception for a header value that isn't a number: the probe
# would have no result, and a caller would get a 500 from the node instead of
# the server's answer.
def test_a_malformed_number_in_a_header_does_not_fail_the_probe() -> None:
    async def serve(_request: web.BaseRequest) -> web.Response:
        return web.Response(headers={"Cold-Left": "\N{SUPERSCRIPT TWO}"})

    async def probe() -> _upstream.ProbeResult | None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(web.Server(serve), HOST, 0)
        port = server.sockets[0].getsockname()[1]
        dialect = dataclasses.replace(
            _dialect.DEFAULT_DIALECT, cold_left="Cold-Left"
        )
        upstream = _upstream.Upstream(dialect=dialect, idle_connection_s=4.0)
        try:
            return await upstream.probe(builders.build_server(port=port), 5.0)
        finally:
            await upstream.close()
            server.close()

    probed = asyncio.run(probe())
    assert probed is not None
    assert probed.is_alive
