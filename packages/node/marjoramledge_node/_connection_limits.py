"""Limits on what the connections of all ports hold together.

A single connection is bounded by ``_bounded_server``.  The sum over all
connections of a process is bounded here: their number, by the process's
descriptors, and the memory that they hold before their requests are served,
by the memory of the VM.  When a limit is reached, connections without a
complete request are closed first.
"""

import asyncio
import collections.abc
import dataclasses
import enum
import heapq
import itertools
import resource
import typing

import loguru
from marjoramledge_core import configuration

# Memory of the smallest VM, assumed where nothing else is known.
DEFAULT_MEMORY_MB: typing.Final = 200
# Share of the VM's memory that connections may hold.  The rest is for the
# process itself, its requests to servers and peers, and other processes.
HELD_SHARE: typing.Final = 0.25
# Descriptors for all but callers and the requests sent for them: listening
# sockets, the store, log files; at most this share of all descriptors.
RESERVED_DESCRIPTORS: typing.Final = 256
RESERVED_SHARE: typing.Final = 0.125
# A served request needs a descriptor for its caller's connection and one for
# its server's.
DESCRIPTORS_PER_REQUEST: typing.Final = 2
# Connections closed at once when their number reaches the limit, as a share
# of the limit, so that they are not ranked for each new connection.
CLOSED_SHARE: typing.Final = 1 / 32
# Connections are closed until they hold no more than this share of the limit.
KEPT_SHARE: typing.Final = 0.9
# Period at which timeouts are checked.  They are counted in periods, so that
# the time for which the process was suspended does not count.
PERIOD_S: typing.Final = 0.5
# Share of the event loop's time for bytes that are expensive to parse, such
# as bodies in chunks of one byte.
PARSING_SHARE: typing.Final = 0.5

_BYTES_PER_MB: typing.Final = 1 << 20
# Part of what a connection with a request in progress holds that counts when
# connections are ranked: it is freed soon.
_SERVED_WEIGHT: typing.Final = 0.25


class Phase(enum.IntEnum):
    """What a connection is doing; lower ones are closed first."""

    WITHOUT_REQUEST = 0
    IDLE = 1
    STALLED = 2
    SERVED = 3


class Connection(typing.Protocol):
    """A connection as the limits see it."""

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    @property
    def last_use(self) -> int:
        """Number that increases with the time of the last request."""

    def measure_held_bytes(self) -> int:
        """Return an estimate of the memory that the connection holds."""

    def check_timeouts(self, limits: configuration.RequestLimits) -> None:
        """Close the connection if a timeout has passed; called each period."""

    def shed(self) -> None:
        """Close the connection at once to free what it holds."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Limits on the connections of a process."""

    max_connections: int
    max_held_bytes: int


def compute_capacity(
    *,
    memory_mb: int = DEFAULT_MEMORY_MB,
    max_descriptors: int | None = None,
) -> Capacity:
    """Compute the limits of this process.

    ``max_descriptors`` is a limit besides the process's RLIMIT_NOFILE.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if max_descriptors is not None:
        descriptors = min(descriptors, max_descriptors)
    reserved = min(RESERVED_DESCRIPTORS, int(descriptors * RESERVED_SHARE))
    return Capacity(
        max_connections=max(
            1, (descriptors - reserved) // DESCRIPTORS_PER_REQUEST
        ),
        max_held_bytes=int(memory_mb * _BYTES_PER_MB * HELD_SHARE),
    )


class ConnectionTable:
    """All accepted connections of a process.

    Must be created inside the event loop.

    Parameters
    ----------
    capacity
        Limits on all connections together.
    read_limits
        Returns the operator's limits in force.
    """

    def __init__(
        self,
        *,
        capacity: Capacity,
        read_limits: collections.abc.Callable[[], configuration.RequestLimits],
    ) -> None:
        self._capacity = capacity
        self._read_limits = read_limits
        self._loop = asyncio.get_running_loop()
        self._held: dict[Connection, int] = {}
        self._held_bytes = 0
        self._uses = itertools.count(1)
        self._check: asyncio.TimerHandle | None = None
        self._may_parse_at = 0.0
        self._shed = 0

    @property
    def limits(self) -> configuration.RequestLimits:
        """The operator's limits in force."""
        return self._read_limits()

    def next_use(self) -> int:
        """Return a number that is greater than all returned before."""
        return next(self._uses)

    def add(self, connection: Connection) -> None:
        """Add a new connection; may close others, or itself if all serve."""
        if len(self._held) >= self._capacity.max_connections:
            self._free_places()
        self._held[connection] = 0
        if len(self._held) > self._capacity.max_connections:
            self._close(connection)
        elif self._check is None:
            self._check = self._loop.call_later(PERIOD_S, self._check_all)

    def remove(self, connection: Connection) -> None:
        """Remove a connection that was closed."""
        self._held_bytes -= self._held.pop(connection, 0)

    def update(self, connection: Connection) -> None:
        """Measure again what a connection holds."""
        known = self._held.get(connection)
        if known is None:
            return
        held = connection.measure_held_bytes()
        self._held[connection] = held
        self._held_bytes += held - known
        if self._held_bytes > self._capacity.max_held_bytes:
            self._free_memory()

    def delay_parsing(self, spent_s: float) -> float:
        """Account for time spent on expensive bytes.

        Returns
        -------
        float
            Seconds for which their connection must not be parsed further.
        """
        now = self._loop.time()
        self._may_parse_at = (
            max(now, self._may_parse_at) + spent_s / PARSING_SHARE
        )
        return self._may_parse_at - now

    def _free_places(self) -> None:
        count = int(self._capacity.max_connections * CLOSED_SHARE) + 1
        ranked = (
            (connection.phase, connection.last_use, connection)
            for connection in self._held
        )
        for phase, _, connection in heapq.nsmallest(count, ranked):
            if phase is not Phase.SERVED:
                self._close(connection)

    def _free_memory(self) -> None:
        for connection in list(self._held):
            self._measure(connection)
        kept = self._capacity.max_held_bytes * KEPT_SHARE
        if self._held_bytes <= self._capacity.max_held_bytes:
            return
        by_weight = sorted(
            self._held, key=lambda connection: -self._weigh(connection)
        )
        for connection in by_weight:
            if self._held_bytes <= kept:
                return
            self._close(connection)

    def _weigh(self, connection: Connection) -> float:
        held = self._held[connection]
        if connection.phase is Phase.SERVED:
            return held * _SERVED_WEIGHT
        return held

    def _measure(self, connection: Connection) -> None:
        held = connection.measure_held_bytes()
        self._held_bytes += held - self._held[connection]
        self._held[connection] = held

    def _close(self, connection: Connection) -> None:
        self.remove(connection)
        self._shed += 1
        connection.shed()

    def _check_all(self) -> None:
        self._check = None
        limits = self._read_limits()
        for connection in list(self._held):
            if connection in self._held:
                self._measure(connection)
                connection.check_timeouts(limits)
        if self._shed:
            loguru.logger.bind(
                event="connections-shed", count=self._shed
            ).warning(
                "closed connections, since all together reached a limit of "
                "their number or memory"
            )
            self._shed = 0
        if self._held:
            self._check = self._loop.call_later(PERIOD_S, self._check_all)
