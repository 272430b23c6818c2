"""What a node still holds after its event loop has refused a descriptor.

An attempt that is cancelled while it connects closes its descriptor twice.
In between the number may be a caller's, which then stands for a connection
that is gone, and the next attempt that gets it ends in an error which is no
error of the network.
"""

import asyncio
import dataclasses
import os
import random

from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _caller_port
from marjoramledge_node import _counts
from marjoramledge_node import _dialect
from marjoramledge_node import _engine
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
import uvloop

HOST = "127.0.0.1"
REQUEST = b"GET /pages/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    return web.Response(body=b"done")


async def _call(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bytes:
    """Make a call; return the first line of its answer."""
    writer.write(REQUEST)
    try:
        return await reader.readline()
    finally:
        writer.close()


def _start_engine(server_port: int) -> _engine.Engine:
    """Start a node with a configuration and a warm backend server."""
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
    for ignored in (
        node.ProbeServer,
        node.ReadVersion,
        node.RegisterMember,
        node.SendMessage,
        node.SyncMembers,
        node.WriteRecord,
    ):
        engine.connect(ignored, lambda command: None)
    engine.submit(
        node.ManifestFetched(
            ref=builders.build_ref(1),
            configuration=builders.build_configuration(),
        )
    )
    server = dataclasses.replace(builders.build_server(), port=server_port)
    engine.submit(node.ServerAnnounced(server=server))
    return engine


# Guards against slots of a backend server that stay taken by calls that are
# over: after a burst of such calls too few are left.
def test_a_call_that_gets_a_used_descriptor_gives_back_its_slot() -> None:
    async def call() -> tuple[bytes, int, bytes]:
        loop = asyncio.get_running_loop()
        servers = await loop.create_server(web.Server(_answer), HOST, 0)
        port = servers.sockets[0].getsockname()[1]
        engine = _start_engine(port)
        upstream = _upstream.Upstream(
            dialect=_dialect.OWN_DIALECT, idle_connection_s=4.0
        )
        callers = await loop.create_server(
            _caller_port.make_server(
                _caller_port.CallerPort(
                    engine=engine,
                    upstream=upstream,
                    keys=_auth.parse_keys(deployment.KEYS).unwrap(),
                    stamper=_auth.Stamper(run="n0-"),
                    call_prefix="n0-",
                    dialect=_dialect.OWN_DIALECT,
                    caller_service="",
                    counts=_counts.Counts(),
                )
            ),
            HOST,
            0,
        )
        lost, _ = await loop.create_connection(asyncio.Protocol, HOST, port)
        caller_port = callers.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, caller_port)
        try:
            os.close(lost.get_extra_info("socket").fileno())
            first = await _call(reader, writer)
            held = engine.state.gate.running
            lost.close()
            reader, writer = await asyncio.open_connection(HOST, caller_port)
            return first, held, await _call(reader, writer)
        finally:
            engine.stop()
            await upstream.close()
            callers.close()
            servers.close()

    first, held, second = uvloop.run(call())
    assert held == 0, first
    assert second == b"HTTP/1.1 200 OK\r\n"
