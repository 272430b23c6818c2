"""What a node makes of errors of its own, and of probes that tell nothing."""

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
GONE = OSError(errno.EBADF, "Bad file descriptor")


def _build_outgoing() -> _upstream.OutgoingRequest:
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


class _Probing:
    """Gives the outcomes of probes out, one after the other."""

    def __init__(self, outcomes: list[_upstream.ProbeResult | None]) -> None:
        self._outcomes = outcomes

    async def probe(
        self, _server: node.Server, _timeout_s: float
    ) -> _upstream.ProbeResult | None:
        """Make one probe."""
        return self._outcomes.pop(0)


# Guards against: a probe that tells nothing (a descriptor was lost, or its
# time limit was noticed late) is the one that was to confirm a death or take
# it back; requests that killed nobody then stay suspected, and no later death
# is noticed while calls are answered (BUDGET).
@pytest.mark.parametrize(
    ("outcomes", "is_healthy"),
    [
        ([None, _upstream.ProbeResult(is_alive=True)], True),
        ([None, None], False),
    ],
)
def test_a_probe_that_tells_nothing_is_made_again(
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
        for ignored in (
            node.RefuseWork,
            node.SendMessage,
            node.WriteRecord,
        ):
            engine.connect(ignored, lambda _command: None)
        fleet = _document_exchange.DocumentExchange(
            engine=engine,
            upstream=typing.cast(_upstream.Upstream, _Probing(outcomes)),
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


class _Closing(asyncio.Protocol):
    """Closes each connection at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()


# Guards against: a peer that closes each connection is taken for one whose
# backend server refuses.  It is not found at fault and stays a candidate, and
# each try of it is paid for as a repeat, though nothing was sent.
def test_a_peer_that_closes_each_connection_is_unreachable() -> None:
    async def send() -> _upstream.AttemptFailure:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(_Closing, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = _open_upstream()
        # The end must be there before the connection is looked at.
        connect: typing.Any = aiohttp.TCPConnector.connect

        async def connect_and_wait(*args: object) -> object:
            connection = await connect(*args)
            await asyncio.sleep(0.05)
            return connection

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(aiohttp.TCPConnector, "connect", connect_and_wait)
            exchange = await upstream.send_to_peer(
                _build_outgoing(), node.Address(host=HOST, port=port), 5.0
            )
        await upstream.close()
        listener.close()
        return exchange.failure()

    fault = asyncio.run(send())
    assert fault.run is node.RunState.NOT_RUN
    assert fault.reason is node.Reason.PEER_UNREACHABLE


# Guards against: the time that a first, spoilt connection took is counted as
# lateness of this process, and a server that takes no second connection in
# time as a fault of the node, so that it stays in use.
def test_a_second_connect_that_times_out_tells_of_the_server() -> None:
    async def send() -> _upstream.AttemptFailure:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(_Closing, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        upstream = _open_upstream()
        connect: typing.Any = aiohttp.TCPConnector.connect
        limit_s = _upstream.CONNECT_TIMEOUT_S
        connects = 0

        real_time = loop.time
        passed_s = 0.0

        async def connect_or_time_out(*args: object) -> object:
            nonlocal connects, passed_s
            connects += 1
            if connects > 1:
                # Noticed on time: the limit after its own begin.
                passed_s += limit_s
                raise aiohttp.ConnectionTimeoutError
            connection = await connect(*args)
            passed_s += limit_s / 2
            connection.protocol.force_close()
            return connection

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(aiohttp.TCPConnector, "connect", connect_or_time_out)
            patch.setattr(loop, "time", lambda: real_time() + passed_s)
            exchange = await upstream.send_to_server(
                _build_outgoing(), builders.build_server(port=port), 5.0
            )
        await upstream.close()
        listener.close()
        assert connects == 2
        return exchange.failure()

    fault = asyncio.run(send())
    assert fault.outcome is node.ServerOutcome.UNREACHABLE
    assert fault.reason is node.Reason.SERVER_UNREACHABLE


def _lose_socket(*_: object) -> typing.NoReturn:
    raise GONE


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


# Guards against MIXED: a node goes on with descriptors that have lost their
# owner where a probe or a document is the first to come upon it.
@pytest.mark.parametrize("ask", [_probe, _fetch])
def test_a_lost_descriptor_is_told_whoever_comes_upon_it(
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


# Guards against descriptors that nobody closes: a hand-over that fails before
# there is a transport leaves the socket to nobody.
def test_a_socket_whose_hand_over_is_refused_is_closed() -> None:
    async def refuse() -> bytes | None:
        loop = asyncio.get_running_loop()
        with socket.create_server((HOST, 0)) as listening:
            ours = socket.create_connection(listening.getsockname())
            other, _ = listening.accept()
        other.setblocking(False)
        with pytest.raises(ValueError, match="ssl"):
            # The loop makes the protocol first and then looks at the options.
            await loop.create_connection(
                asyncio.Protocol, sock=ours, ssl_handshake_timeout=1.0
            )
        ours.close()
        with other:
            try:
                return other.recv(1)
            except BlockingIOError:
                # It is open still, and nothing has it.
                return None

    with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
        assert runner.run(refuse()) == b""


# Guards against: an operation from before the trouble that is given up during
# the one try lets a second try through beside it.
def test_an_older_operation_given_up_lets_no_second_try_through() -> None:
    breaker = _throttling.CircuitBreaker()
    assert breaker.allow_operation(0.0)
    was_probe = breaker.is_probing
    for _ in range(_throttling.FAILURE_THRESHOLD):
        breaker.record_failure(0.0, 0.0)
    assert breaker.allow_operation(10.0)
    assert not breaker.allow_operation(10.0)
    breaker.record_cancellation(was_probe=was_probe)
    assert not breaker.allow_operation(10.0)


# Guards against: an answer whose head can't be read as a number ends the
# exchange in an error instead of an outcome: the probe tells nothing, and the
# caller of a call gets a 500 of the node instead of the server's answer.
def test_a_figure_that_is_no_number_spoils_no_probe() -> None:
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
