"""What a node keeps about the roll-outs of all services.

Holds the orders of the configuration, the states that are known, and what the
node does for them as an entry (exposure, counts) and as a deciding node (test,
access to the store).  ``_rollouts`` has the periodic work.
"""

import collections.abc
import dataclasses
import hashlib
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _load
from marjoramledge_core import _rollout_evidence
from marjoramledge_core import _rollout_exposure
from marjoramledge_core import _rollout_orders
from marjoramledge_core import _rollout_verdict
from marjoramledge_core import _timers

# Delays after failed accesses to the store: each call costs, and an outage may
# last longer than a roll-out.
FIRST_STORE_RETRY_S: typing.Final = 0.3
MAX_STORE_RETRY_S: typing.Final = 2.0
# Roll-outs of a service that are remembered; versions of older ones can't be
# told from others any more.
MAX_STATES_PER_SERVICE: typing.Final = 4
# After a completion, the old servers are avoided for this long, since they
# stop at once and their departures take time to spread.
COMPLETED_HOLD_S: typing.Final = 10.0
# A version under test is tested on at least this many servers, so that one
# server that a neighbour slows does not decide, and else on this share of
# them, so that these bear the load that they would bear after the roll-out.
MIN_TESTED_SERVERS: typing.Final = 3
TESTED_SERVER_SHARE: typing.Final = 0.1

Key = tuple[_ids.ServiceName, _ids.OrderId]
Servers = collections.abc.Sequence[_load.ServerLoad]


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreAccess:
    """Access of a deciding node to the row of one service.

    ``etag`` is the condition of the next write, once the row has been read.
    ``writing`` is what the pending write will have decided.  ``rewrites`` are
    ended roll-outs that are checked again, after the store was restored.
    """

    is_read: bool = False
    etag: str = ""
    is_pending: bool = False
    next_at: float = -math.inf
    retry_s: float = FIRST_STORE_RETRY_S
    writing: _rollout_orders.RolloutState | None = None
    rewrites: set[Key] = dataclasses.field(default_factory=set)

    def note_failure(self, now: float) -> None:
        """Delay the next access; longer after each failure in a row."""
        self.next_at = now + self.retry_s
        self.retry_s = min(MAX_STORE_RETRY_S, 2.0 * self.retry_s)


@dataclasses.dataclass(slots=True, kw_only=True)
class Deciding:
    """Evidence and test of a deciding node for one roll-out."""

    began_at: float
    ledger: _rollout_evidence.EvidenceLedger = dataclasses.field(
        default_factory=_rollout_evidence.EvidenceLedger
    )
    test: _rollout_verdict.RolloutTest = dataclasses.field(
        default_factory=_rollout_verdict.RolloutTest
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Routing:
    """Where the calls of a service may go.

    ``target`` is the version of the roll-out in progress and ``blocked`` are
    versions that a roll-out has reverted.  Those of them that are ``spare``
    serve if there is no other server: evidence did not demand the reversal,
    or no order is in force any more.
    """

    target: _ids.ServerVersion | None
    phase: _rollout_orders.RolloutPhase
    key: Key | None
    changed_at: float
    blocked: frozenset[_ids.ServerVersion]
    spare: frozenset[_ids.ServerVersion]


class RolloutTable:
    """Orders and states of all services."""

    def __init__(self) -> None:
        self.orders: dict[_ids.ServiceName, _rollout_orders.RolloutOrder] = {}
        self.ordered_at: dict[Key, float] = {}
        self.fresh: set[Key] = set()
        self.states: dict[Key, _rollout_orders.RolloutState] = {}
        self.exposures: dict[Key, _rollout_exposure.ExposureBudget] = {}
        self.counts: dict[Key, _rollout_evidence.EntryCounts] = {}
        self.deciding: dict[Key, Deciding] = {}
        self.accesses: dict[_ids.ServiceName, StoreAccess] = {}
        self.typical_times = _rollout_evidence.TypicalTimes()
        self.timer: _timers.Timer | None = None
        self.queried_at = -math.inf
        self.announced_at = -math.inf
        self.received_at = -math.inf
        self.deciders: tuple[int, tuple[_ids.NodeId, ...]] = (-1, ())
        self.decider_heard_at = -math.inf
        self._routings: dict[_ids.ServiceName, Routing] = {}

    def put(self, state: _rollout_orders.RolloutState) -> None:
        """Replace what is known of a roll-out."""
        self.states[state.key] = state
        own = [s for s in self.states.values() if s.service == state.service]
        own.sort(key=lambda known: known.started_at)
        current = self.current_key(state.service)
        for known in own[:-MAX_STATES_PER_SERVICE]:
            if known.key != current:
                del self.states[known.key]
                self.deciding.pop(known.key, None)
        if state.is_final:
            self.exposures.pop(state.key, None)
            self.counts.pop(state.key, None)
        self.refresh(state.service)

    def refresh(self, service: _ids.ServiceName) -> None:
        """Derive the routing of a service again."""
        routing = self._derive_routing(service)
        if routing is None:
            self._routings.pop(service, None)
        else:
            self._routings[service] = routing

    def routing_of(self, service: _ids.ServiceName) -> Routing | None:
        """Return the routing of a service; None without restriction."""
        return self._routings.get(service)

    def states_of(
        self, service: _ids.ServiceName
    ) -> list[_rollout_orders.RolloutState]:
        """Return the known states of a service, from the earliest on."""
        return sorted(
            (s for s in self.states.values() if s.service == service),
            key=lambda state: state.started_at,
        )

    def current_key(self, service: _ids.ServiceName) -> Key | None:
        """Return the roll-out that concerns a service now.

        It is that of the configuration.  Without one, a node of the fleet may
        know a newer configuration, and tell of a roll-out that runs.
        """
        order = self.orders.get(service)
        if order is not None:
            return service, order.order
        running = [s for s in self.states_of(service) if not s.is_final]
        return running[-1].key if running else None

    def services(self) -> set[_ids.ServiceName]:
        """Return the services with an order or a known roll-out."""
        return self.orders.keys() | {s.service for s in self.states.values()}

    def _derive_routing(self, service: _ids.ServiceName) -> Routing | None:
        latest: dict[_ids.ServerVersion, _rollout_orders.RolloutState] = {}
        for state in self.states_of(service):
            known = latest.get(state.version)
            if known is None or state.changed_at >= known.changed_at:
                latest[state.version] = state
        blocked = {
            version
            for version, state in latest.items()
            if state.phase is _rollout_orders.RolloutPhase.REVERTED
        }
        key = self.current_key(service)
        current = None if key is None else self.states.get(key)
        is_ordered = service in self.orders
        spare = frozenset(
            version
            for version in blocked
            if not is_ordered or latest[version].is_untested
        )
        if current is not None:
            if not current.is_final:
                blocked.discard(current.version)
            return Routing(
                target=current.version,
                phase=current.phase,
                key=key,
                changed_at=current.changed_at,
                blocked=frozenset(blocked),
                spare=spare,
            )
        order = self.orders.get(service)
        if order is None and not blocked:
            return None
        return Routing(
            target=None if order is None else order.version,
            phase=_rollout_orders.RolloutPhase.UNKNOWN,
            key=key,
            changed_at=-math.inf,
            blocked=frozenset(blocked),
            spare=spare,
        )


def split_servers(
    routing: Routing, servers: Servers, now: float, *, is_exposed: bool
) -> list[Servers]:
    """Split the servers that a call may go to into groups, the best first.

    ``is_exposed`` is true for an attempt that may go to a version under test.
    """
    usable = [s for s in servers if s.version not in routing.blocked]
    if not usable:
        return [[s for s in servers if s.version in routing.spare]]
    new = [s for s in usable if s.version == routing.target]
    old = [s for s in usable if s.version != routing.target]
    match routing.phase:
        case _rollout_orders.RolloutPhase.UNKNOWN:
            # Without other servers, the new ones serve as if unordered.
            return [old or new]
        case _rollout_orders.RolloutPhase.RUNNING:
            if not is_exposed:
                return [old]
            tested = _select_tested(routing, new)
            nodes = {server.node for server in tested}
            return [tested, [s for s in new if s.node not in nodes], old]
        case _rollout_orders.RolloutPhase.PROMOTING:
            return [new, old]
        case _rollout_orders.RolloutPhase.COMPLETED:
            # The old servers have stopped, or will at once.
            if now - routing.changed_at < COMPLETED_HOLD_S:
                return [new or old]
    return [usable]


def _select_tested(
    routing: Routing, servers: list[_load.ServerLoad]
) -> list[_load.ServerLoad]:
    """Select the servers that are tested; all entries select the same.

    While all are cold, each bears little, and all are tested.
    """
    warm = [server for server in servers if not server.is_cold]
    if not warm:
        return servers
    count = max(
        MIN_TESTED_SERVERS, math.ceil(TESTED_SERVER_SHARE * len(servers))
    )
    return sorted(warm, key=lambda server: _rank(routing, server))[:count]


def _rank(routing: Routing, server: _load.ServerLoad) -> bytes:
    pair = f"{routing.key}\n{server.node}".encode()
    return hashlib.blake2b(pair, digest_size=8).digest()
