"""State that a node releases after its event loop refused a descriptor.

An attempt that is cancelled while connecting used to close its descriptor
twice.  If a caller's connection got the number in between, that connection is
closed under its transport, and the next attempt that gets the number fails
with an error that isn't a network error.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import gc
import os
import random
import socket
import subprocess
import sys

from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _caller_port
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _engine
from marjoramledge_node import _faults
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
from marjoramledge_standins import descriptors
import uvloop

HOST = "127.0.0.1"
REQUEST = (
    b"GET /pages/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Marjoramledge-Deadline-Ms: 1000\r\n\r\n"
)
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
# Exit status when the fault handler ends the process.
EXIT_STATUS = 3


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    return web.Response(body=b"done")


async def _call(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    """Make a call; return the status line of its answer."""
    writer.write(REQUEST)
    try:
        return await reader.readline()
    finally:
        writer.close()


def _start_engine(server_port: int) -> _engine.Engine:
    """Build an engine with a configuration and a warm backend server."""
    loop = asyncio.get_running_loop()
    engine = _engine.Engine(
        state=node.create_state(
            identity=node.Identity(
                node=ids.NodeId("n0"),
                address=node.Address(host=HOST, port=1),
                zone=ids.ZoneName("north"),
                incarnation=1,
            ),
            seeds=(),
            options=node.Options(stop_limit_s=1.0),
            now=loop.time(),
        ),
        rng=random.Random(1),
        clock=loop.time,
    )
    for command_type in (
        node.ProbeServer,
        node.ReadVersion,
        node.RegisterMember,
        node.SendMessage,
        node.SyncMembers,
        node.WriteRecord,
    ):
        engine.connect(command_type, lambda command: None)
    engine.submit(
        node.ManifestFetched(
            ref=builders.build_ref(1),
            configuration=builders.build_configuration(),
        )
    )
    server = dataclasses.replace(builders.build_server(), port=server_port)
    engine.submit(node.ServerAnnounced(server=server))
    return engine


@contextlib.asynccontextmanager
async def _serving_callers(
    server_port: int,
) -> collections.abc.AsyncIterator[tuple[_engine.Engine, int]]:
    """Serve callers; yield the engine and the port for callers."""
    loop = asyncio.get_running_loop()
    engine = _start_engine(server_port)
    upstream = _upstream.Upstream(
        dialect=_dialect.DEFAULT_DIALECT, idle_connection_s=4.0
    )
    callers = await loop.create_server(
        _caller_port.make_server(
            _caller_port.CallerPort(
                engine=engine,
                upstream=upstream,
                keys=_auth.parse_keys(deployment.KEYS).unwrap(),
                stamper=_auth.Stamper(run="n0-"),
                call_prefix="n0-",
                dialect=_dialect.DEFAULT_DIALECT,
                caller_service="",
                counts=_counts.Counts(),
            )
        ),
        HOST,
        0,
    )
    try:
        yield engine, callers.sockets[0].getsockname()[1]
    finally:
        engine.stop()
        await upstream.close()
        callers.close()


def _occupy_descriptors(descriptor: int) -> list[int]:
    """Open files up to a descriptor number; return the other descriptors."""
    opened = [os.open(os.devnull, os.O_RDONLY)]
    while opened[-1] < descriptor:
        opened.append(os.open(os.devnull, os.O_RDONLY))
    return [number for number in opened if number != descriptor]


# Guards against slots that stay occupied by finished calls: after several such
# calls the backend server has too few free slots left.
def test_a_call_that_gets_a_used_descriptor_releases_its_slot() -> None:
    async def call() -> tuple[bytes, int, bytes]:
        loop = asyncio.get_running_loop()
        servers = await loop.create_server(web.Server(_answer), HOST, 0)
        port = servers.sockets[0].getsockname()[1]
        async with _serving_callers(port) as (engine, caller_port):
            lost_transport, _ = await loop.create_connection(
                asyncio.Protocol, HOST, port
            )
            opened = await asyncio.open_connection(HOST, caller_port)
            os.close(lost_transport.get_extra_info("socket").fileno())
            first = await _call(*opened)
            running_calls = engine.state.gate.running
            # Once the connections of the first call are closed, the closed
            # number must not be assigned to another connection.
            await asyncio.sleep(0.1)
            gc.collect()
            fillers = _occupy_descriptors(
                lost_transport.get_extra_info("socket").fileno()
            )
            opened = await asyncio.open_connection(HOST, caller_port)
            second = await _call(*opened)
        for filler in fillers:
            os.close(filler)
        lost_transport.abort()
        servers.close()
        return first, running_calls, second

    first, running_calls, second = uvloop.run(call())
    assert running_calls == 0, first
    assert second == b"HTTP/1.1 200 OK\r\n"


async def _call_until_deadline() -> bytes:
    """Call an unresponsive server and close the descriptor that connects."""
    loop = asyncio.get_running_loop()
    log = _faults.FaultLog(
        counts=_counts.Counts(),
        clock=loop.time,
        abort_node=lambda: os._exit(EXIT_STATUS),
    )
    loop.set_exception_handler(log.handle_loop_fault)
    others = await loop.create_server(asyncio.Protocol, HOST, 0)
    with contextlib.ExitStack() as stack:
        stack.callback(others.close)
        listening = stack.enter_context(socket.socket())
        listening.bind((HOST, 0))
        listening.listen(0)
        for _ in range(2):
            filling = stack.enter_context(socket.socket())
            filling.setblocking(False)
            filling.connect_ex(listening.getsockname())
        port = listening.getsockname()[1]
        async with _serving_callers(port) as (_, caller_port):
            opened = await asyncio.open_connection(HOST, caller_port)
            before = descriptors.find_connecting_sockets()
            answer = asyncio.create_task(_call(*opened))
            await asyncio.sleep(0.2)
            opening = descriptors.find_connecting_sockets() - before
            assert opening
            other = stack.enter_context(socket.socket())
            other.setblocking(False)
            for descriptor in opening:
                os.close(descriptor)
            # The accepting side gets the number that was closed last.
            await loop.sock_connect(other, others.sockets[0].getsockname())
            async with asyncio.timeout(HANG_TIMEOUT_S):
                return await answer


# Guards against calls that get no answer at their deadline: the attempt can't
# be cancelled, and the error skips the rest of the step.  A node that detects
# shared descriptors exits, which also ends its calls.
def test_a_call_whose_attempt_cannot_be_cancelled_is_answered() -> None:
    done = subprocess.run(
        [sys.executable, __file__],
        timeout=6 * HANG_TIMEOUT_S,
        capture_output=True,
        check=False,
    )
    is_answered = done.stdout.startswith(b"HTTP/1.1 5")
    assert is_answered or done.returncode == EXIT_STATUS, done.stderr[-2000:]


if __name__ == "__main__":
    print(uvloop.run(_call_until_deadline()).decode())
