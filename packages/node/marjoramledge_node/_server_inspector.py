"""Asks the backend server about itself where this node may know too little.

A node that has just started finds a server that already runs by a probe.  As
long as it has not read from the store which servers have left, it also checks
an announcement against the server's health page: it may have come late.
"""

import asyncio
import contextlib
import dataclasses
import typing

from marjoramledge_core import node

from marjoramledge_node import _engine
from marjoramledge_node import _options
from marjoramledge_node import _upstream

# Backend servers wait 1 s for the answer to an announcement.
CHECK_TIMEOUT_S: typing.Final = 0.5
# How long a starting node waits for the store's list of departed servers
# before it announces the backend server that already runs.
STORE_READ_WAIT_S: typing.Final = 0.3


class ServerInspector:
    """Probes the backend server at the node's start.

    Parameters
    ----------
    engine
        The node's engine.
    upstream
        Client to the backend server.
    fleet_loaded
        Set once departures have been read from the store.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        upstream: _upstream.Upstream,
        fleet_loaded: asyncio.Event,
    ) -> None:
        self._engine = engine
        self._upstream = upstream
        self._fleet_loaded = fleet_loaded

    async def contradicts(self, server: node.Server) -> bool:
        """Return whether a server's health page denies that it is ready.

        Only asked of a server that this node doesn't know yet, while it may
        not know of its departure.
        """
        is_known = self._engine.state.gate.starts.matches(server.start)
        if self._fleet_loaded.is_set() or is_known or server.is_cold:
            return False
        probed = await self._upstream.probe(server, CHECK_TIMEOUT_S)
        return probed is not None and not probed.is_healthy

    async def announce_running_server(self, hint: _options.ServerHint) -> None:
        """Announce the backend server if it is already running.

        The hint tells where to probe it.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_READ_WAIT_S):
                await self._fleet_loaded.wait()
        declared = self._engine.state.versions.configuration
        if declared is None:
            return
        service = declared.services.get(hint.service)
        if service is None or service.health_path is None:
            return
        server = node.Server(
            service=hint.service,
            host=hint.address.host,
            port=hint.address.port,
            slots=1,
            connections=service.connections,
            cold_concurrency=1,
            is_cold=False,
            health_path=service.health_path,
        )
        probed = await self._upstream.probe(server, _upstream.PROBE_TIMEOUT_S)
        if probed is None or not probed.is_healthy or probed.slots is None:
            return
        if probed.signals is not None and probed.signals.is_leaving:
            return
        if self._engine.state.gate.server is not None:
            return
        cold_left_s = probed.cold_left_s or 0.0
        self._engine.submit(
            node.ServerAnnounced(
                server=dataclasses.replace(
                    server,
                    slots=probed.slots,
                    cold_concurrency=probed.slots,
                    is_cold=cold_left_s > 0.0,
                    cold_left_s=cold_left_s,
                    start=node.ServerStart(server=probed.server),
                )
            )
        )
