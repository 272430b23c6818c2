"""Announcements that a node checks against the server's health page."""

import asyncio
import dataclasses
import types
import typing

from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _engine
from marjoramledge_node import _server_inspector
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import pytest

START = node.ServerStart(server=ids.ServerId("i-1"), born=7)
SERVER = dataclasses.replace(builders.build_server(), start=START)
HEALTHY = _upstream.ProbeResult(is_alive=True, is_healthy=True)
LEAVING = _upstream.ProbeResult(is_alive=True, is_healthy=False)
GONE = _upstream.ProbeResult(is_alive=False)


def _contradicts(
    server: node.Server,
    probed: _upstream.ProbeResult | None,
    *,
    is_fleet_loaded: bool,
    is_known: bool = False,
) -> bool:
    driver = builders.CoreDriver()
    if is_known:
        driver.submit(node.ServerAnnounced(server=SERVER))

    async def probe(*_: object) -> _upstream.ProbeResult | None:
        return probed

    async def run() -> bool:
        fleet_loaded = asyncio.Event()
        if is_fleet_loaded:
            fleet_loaded.set()
        inspector = _server_inspector.ServerInspector(
            engine=typing.cast(_engine.Engine, driver),
            upstream=typing.cast(
                _upstream.Upstream, types.SimpleNamespace(probe=probe)
            ),
            fleet_loaded=fleet_loaded,
        )
        return await inspector.contradicts(server)

    return asyncio.run(run())


# Guards against a late heartbeat of a server that has left, at a node whose
# fleet was killed in an outage of the store.
@pytest.mark.parametrize(
    ("probed", "expected"),
    [(HEALTHY, False), (LEAVING, True), (GONE, True), (None, False)],
)
def test_an_unknown_server_is_asked_until_departures_are_read(
    probed: _upstream.ProbeResult | None, expected: bool
) -> None:
    assert _contradicts(SERVER, probed, is_fleet_loaded=False) is expected


# Guards against a sound server that is out of use since its health page lies.
@pytest.mark.parametrize("is_fleet_loaded", [True, False])
def test_known_servers_and_cold_ones_are_not_doubted(
    is_fleet_loaded: bool,
) -> None:
    cold = dataclasses.replace(SERVER, is_cold=True)
    assert not _contradicts(SERVER, LEAVING, is_fleet_loaded=True)
    assert not _contradicts(cold, LEAVING, is_fleet_loaded=is_fleet_loaded)
    assert not _contradicts(
        SERVER, LEAVING, is_fleet_loaded=is_fleet_loaded, is_known=True
    )
