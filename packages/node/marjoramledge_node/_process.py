"""Builds the parts of a node process, runs them and shuts them down."""

import asyncio
import errno
import gc
import logging
import os
import random
import signal
import socket
import sys
import time
import typing

from aiohttp import web
import loguru
from marjoramledge_core import configuration
from marjoramledge_core import node

from marjoramledge_node import _auth
from marjoramledge_node import _caller_port
from marjoramledge_node import _clock
from marjoramledge_node import _connection_limits
from marjoramledge_node import _counts
from marjoramledge_node import _document_exchange
from marjoramledge_node import _engine
from marjoramledge_node import _environment
from marjoramledge_node import _event_loop
from marjoramledge_node import _faults
from marjoramledge_node import _gossip_port
from marjoramledge_node import _listeners
from marjoramledge_node import _local_port
from marjoramledge_node import _logs
from marjoramledge_node import _metrics_port
from marjoramledge_node import _options
from marjoramledge_node import _peer_port
from marjoramledge_node import _ready_port
from marjoramledge_node import _reload
from marjoramledge_node import _server_inspector
from marjoramledge_node import _statsd_reporter
from marjoramledge_node import _timeline
from marjoramledge_node import _upstream

# Objects of a call are freed when it ends, so frequent collections of the
# young generation only add tail latency.
GC_THRESHOLDS: typing.Final = (50_000, 20, 100)
# Time for request handlers that are cancelled at the end of a stop.
SHUTDOWN_TIMEOUT_S: typing.Final = 0.1
# How long connections without a first request stay open at a stop.  Must be
# shorter than the time that the node takes to stop.
UNUSED_CONNECTION_S: typing.Final = 0.1
# A node must detect a lost socket before the others declare it failed, which
# they do if it does not answer for longer than this.
SOCKET_CHECK_PERIOD_S: typing.Final = 1.0
# Limits how long the thread that parses a configuration may hold the
# interpreter lock while the event loop waits for it.
THREAD_SWITCH_INTERVAL_S: typing.Final = 0.001


class _Process:
    """A running node: its ports, its engine and its background tasks."""

    def __init__(
        self,
        *,
        options: _options.Options,
        environment: _environment.Environment,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._options = options
        self._timeline = _timeline.Timeline()
        self._log_writer = _timeline.LogWriter(clock=loop.time)
        self._timeline.stream.subscribe(self._log_writer.write)
        self._counts = _counts.Counts()
        self._timeline.stream.subscribe(
            lambda stamped: self._counts.note_record(stamped.record)
        )
        self._fault_log = _faults.FaultLog(
            counts=self._counts, clock=loop.time, abort_node=self._abort
        )
        loop.set_exception_handler(self._fault_log.handle_loop_fault)
        logging.getLogger().addHandler(self._fault_log)
        self._rng = random.Random()
        self._engine = _engine.Engine(
            state=node.create_state(
                identity=node.Identity(
                    node=options.node_id,
                    address=(
                        options.advertised_address or options.peer_address
                    ),
                    zone=options.zone,
                    incarnation=time.time_ns() // 1_000_000,
                ),
                seeds=options.seeds,
                options=options.core_options,
                now=_clock.read_clock(),
            ),
            rng=self._rng,
            clock=_clock.read_clock,
        )
        self._engine.connect(node.WriteRecord, self._write_record)
        self._engine.connect(node.StopAccepting, self._stop_accepting)
        self._engine.connect(node.StopNode, self._stop_node)
        self._upstream = _upstream.Upstream(
            dialect=environment.dialect,
            idle_connection_s=options.idle_connection_s,
            keys=options.keys,
        )
        self._store = environment.open_store()
        self._document_exchange = _document_exchange.DocumentExchange(
            engine=self._engine,
            upstream=self._upstream,
            store=self._store,
            options=options,
            timeline=self._timeline,
            environment=environment,
            counts=self._counts,
        )
        self._inspector = _server_inspector.ServerInspector(
            engine=self._engine,
            upstream=self._upstream,
            fleet_loaded=self._document_exchange.fleet_loaded,
        )
        self._connections = _connection_limits.ConnectionTable(
            capacity=_connection_limits.compute_capacity(
                memory_mb=options.memory_mb,
                max_descriptors=options.max_descriptors,
            ),
            read_limits=self._read_request_limits,
        )
        run = f"{options.node_id}-{os.urandom(4).hex()}-"
        stamper = _auth.Stamper(run=run)
        guard = node.ReplayGuard()
        self._gossip = _gossip_port.GossipPort(
            engine=self._engine,
            keys=options.keys,
            stamper=stamper,
            guard=guard,
            counts=self._counts,
        )
        self._caller_port = _caller_port.CallerPort(
            engine=self._engine,
            upstream=self._upstream,
            keys=options.keys,
            stamper=stamper,
            call_prefix=run,
            dialect=environment.dialect,
            caller_service=options.caller_service,
            counts=self._counts,
        )
        self._callers = _caller_port.make_server(
            self._caller_port, self._connections
        )
        self._peers = _peer_port.make_server(
            _peer_port.PeerPort(
                engine=self._engine,
                upstream=self._upstream,
                keys=options.keys,
                guard=guard,
                handle_document_request=self._document_exchange.handle_request,
                counts=self._counts,
                workspace_header=environment.dialect.workspace,
            ),
            self._connections,
        )
        self._local = _local_port.make_server(
            _local_port.LocalPort(
                engine=self._engine,
                default_host=options.local_address.host,
                read_announcement=environment.read_announcement,
                contradicts=self._inspector.contradicts,
                keep_departure=self._document_exchange.departures.keep,
            ),
            self._connections,
        )
        self._ready = _ready_port.make_server(
            _ready_port.ReadyPort(
                engine=self._engine, target=environment.dialect.ready_target
            ),
            self._connections,
        )
        self._metrics = _metrics_port.make_server(
            _metrics_port.MetricsPort(
                engine=self._engine,
                counts=self._counts,
                count_suppressed_lines=lambda: (
                    self._log_writer.suppressed_lines
                    + self._fault_log.suppressed_lines
                ),
            ),
            self._connections,
        )
        self._reload: _reload.SettingsReloader | None = None
        if environment.read_options is not None:
            self._reload = _reload.SettingsReloader(
                engine=self._engine,
                options=options,
                read=environment.read_options,
            )
        self._listeners: list[_listeners.Listener] = []
        self._stopped: asyncio.Future[int] = loop.create_future()
        self._configured: asyncio.Future[None] = loop.create_future()
        self._has_stopped_accepting = False

    async def run(self) -> int:
        """Run until stopped; return the number of aborted calls."""
        loop = asyncio.get_running_loop()
        options = self._options
        self._handle_signals(loop)
        await self._listen(self._local, options.local_address)
        await self._listen(self._peers, options.peer_address)
        if options.ready_address is not None:
            await self._listen(self._ready, options.ready_address)
        if options.metrics_address is not None:
            await self._listen(self._metrics, options.metrics_address)
        await loop.create_datagram_endpoint(
            lambda: self._gossip,
            local_addr=(options.peer_address.host, options.peer_address.port),
        )
        watch = asyncio.create_task(self._watch_sockets())
        metrics = self._start_metrics()
        reload = self._start_reload()
        self._engine.start()
        # Without a configuration the node would refuse every call, so it
        # accepts callers only after the first one; until then they connect
        # to another node.
        await self._configured
        if not self._has_stopped_accepting:
            await self._listen(self._callers, options.caller_address)
        if options.server_hint is not None:
            await self._inspector.announce_running_server(options.server_hint)
        loguru.logger.bind(event="node-started").info("node is running")
        try:
            return await self._stopped
        finally:
            for task in (watch, metrics, reload):
                if task is not None:
                    task.cancel()
            await self._close()

    def _handle_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(
                number, self._engine.submit, node.StopRequested()
            )
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)

    async def _listen(self, server: web.Server, address: node.Address) -> None:
        self._listeners.append(await _listeners.listen(server, address))

    def _start_metrics(self) -> asyncio.Task[None] | None:
        if self._options.statsd_address is None:
            return None
        metrics = _statsd_reporter.StatsdReporter(
            address=self._options.statsd_address,
            prefix=self._options.statsd_prefix,
            engine=self._engine,
        )
        self._timeline.stream.subscribe(metrics.count_record)
        return asyncio.create_task(metrics.run())

    def _start_reload(self) -> asyncio.Task[None] | None:
        if self._reload is None:
            return None
        return asyncio.create_task(self._reload.run())

    def _reload_settings(self) -> None:
        loguru.logger.bind(event="reload-requested").info("SIGHUP received")
        if self._reload is not None:
            self._reload.reload_settings()

    def _read_request_limits(self) -> configuration.RequestLimits:
        in_force = self._engine.state.versions.configuration
        if in_force is None or in_force.request_limits is None:
            return self._options.request_limits
        return in_force.request_limits

    def _write_record(self, command: node.WriteRecord) -> None:
        self._timeline.write(command.record)
        is_config_adopted = (
            command.record.kind is node.RecordKind.CONFIG_ADOPTED
        )
        if is_config_adopted and not self._configured.done():
            self._configured.set_result(None)

    def _stop_accepting(self, _command: node.StopAccepting) -> None:
        self._has_stopped_accepting = True
        if not self._configured.done():
            self._configured.set_result(None)
        for listener in self._listeners:
            listener.close()
        self._close_idle(keeps_unused=True)
        asyncio.get_running_loop().call_later(
            UNUSED_CONNECTION_S, lambda: self._close_idle(keeps_unused=False)
        )

    def _close_idle(self, *, keeps_unused: bool) -> None:
        _caller_port.close_idle_connections(
            self._callers, self._caller_port, keeps_unused=keeps_unused
        )

    def _stop_node(self, command: node.StopNode) -> None:
        if not self._stopped.done():
            self._stopped.set_result(command.aborted_calls)

    def _abort(self) -> None:
        """Exit at once with an error; a supervisor restarts the node."""
        if self._stopped.done():
            return
        loguru.logger.bind(event="node-aborted").error(
            "a file descriptor is shared or was closed by another owner"
        )
        self._stopped.set_exception(
            AssertionError("a file descriptor was lost")
        )
        self._stop_accepting(node.StopAccepting())

    async def _watch_sockets(self) -> None:
        """Check periodically that the node's sockets are still open.

        A descriptor with another inode was closed and reused elsewhere.
        """
        known: dict[int, int] = {}
        while True:
            for opened in self._list_sockets():
                number = opened.fileno()
                inode = _read_inode(number)
                if known.setdefault(number, inode) != inode:
                    _faults.report(
                        "the descriptor of a node socket was closed or reused",
                        OSError(errno.EBADF, f"descriptor {number}"),
                    )
            await asyncio.sleep(SOCKET_CHECK_PERIOD_S)

    def _list_sockets(self) -> list[socket.socket]:
        listeners = [
            opened
            for listener in self._listeners
            for opened in listener.sockets
        ]
        return [*listeners, *self._gossip.sockets]

    async def _close(self) -> None:
        self._engine.stop()
        self._gossip.close()
        await self._document_exchange.close()
        servers = (
            self._callers,
            self._peers,
            self._local,
            self._ready,
            self._metrics,
        )
        await asyncio.gather(
            *(
                server.shutdown(timeout=SHUTDOWN_TIMEOUT_S)
                for server in servers
            )
        )
        await self._upstream.close()
        if self._store is not None:
            await self._store.close()
        logging.getLogger().removeHandler(self._fault_log)


def _read_inode(descriptor: int) -> int:
    """Return the inode of a descriptor, or 0 if it is closed."""
    try:
        return os.fstat(descriptor).st_ino
    except OSError:
        return 0


async def _run(
    options: _options.Options, environment: _environment.Environment
) -> int:
    process = _Process(options=options, environment=environment)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    return await process.run()


def run_node(
    options: _options.Options, environment: _environment.Environment
) -> int:
    """Run a node until it is stopped; return its exit status."""
    _logs.configure_logs(options)
    with asyncio.Runner(loop_factory=_event_loop.new_event_loop) as runner:
        aborted_calls = runner.run(_run(options, environment))
    return 0 if aborted_calls == 0 else 1
