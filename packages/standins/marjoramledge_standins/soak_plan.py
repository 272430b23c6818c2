"""Generates the schedule of faults and operator orders of a soak.

The whole schedule follows from one seed.  Faults overlap: each of several
series draws its own kinds, targets, start times and durations.  The last
part of a soak is free of faults, so that recovery can be checked.
"""

import dataclasses
import enum
import random
import typing

# Time with traffic before the first fault.
QUIET_START_S: typing.Final = 3.0
# Time without faults at the end, longer than recovery takes.
QUIET_END_S: typing.Final = 12.0
MIN_FAULT_S: typing.Final = 0.5
MAX_FAULT_S: typing.Final = 5.0
MAX_PAUSE_S: typing.Final = 4.0
SERIES: typing.Final = 3
# Range of the share of callers that disconnect during a CALLERS_LEAVE event.
LEAVE_SHARES: typing.Final = (0.3, 0.8)
CALLERS_SERIES: typing.Final = 2
# Ranges of the time for which a server names a limit or says that it leaves,
# and of the limit in requests per second.
SIGNAL_S: typing.Final = (4.0, 8.0)
RATE_LIMITS_PER_S: typing.Final = (0.5, 1.0, 4.0)


class FaultKind(enum.Enum):
    """The kinds of faults and orders that a soak applies to a deployment."""

    NODE_KILL = "node-kill"
    NODE_STOP = "node-stop"
    NODE_FREEZE = "node-freeze"
    SERVER_KILL = "server-kill"
    SERVER_FREEZE = "server-freeze"
    SERVER_FAILS = "server-fails"
    SERVER_LINK = "server-link"
    PEER_LINK = "peer-link"
    STORE_LINK = "store-link"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    ZONE_OUT = "zone-out"
    CHANGE = "change"
    DRAIN_ORDER = "drain-order"
    CALLERS_LEAVE = "callers-leave"
    SERVER_LIMIT = "server-limit"
    SERVER_LEAVES = "server-leaves"


# Orders of operators; they must not abort any call.
PLANNED: typing.Final = frozenset(
    {
        FaultKind.NODE_STOP,
        FaultKind.ZONE_OUT,
        FaultKind.CHANGE,
        FaultKind.DRAIN_ORDER,
    }
)
# These affect the store as a whole, not one VM.
STORE_FAULTS: typing.Final = frozenset(
    {
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_LOSES_ANSWERS,
    }
)
# Behaviour of callers is no fault; it must not abort other calls either.
CALLER_EVENTS: typing.Final = frozenset({FaultKind.CALLERS_LEAVE})
# Backend servers that name a limit or that leave must not abort calls either.
SERVER_SIGNALS: typing.Final = frozenset(
    {FaultKind.SERVER_LIMIT, FaultKind.SERVER_LEAVES}
)
NON_FAULTS: typing.Final = PLANNED | CALLER_EVENTS | SERVER_SIGNALS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One scheduled fault or order.

    Times are seconds from the start of traffic.  ``vm`` is the number of the
    VM that it hits, or whose zone it concerns; ``link_mode`` is set for link
    faults; ``share`` is the share of callers that disconnect; ``rate_per_s``
    is the limit that a server names.
    """

    kind: FaultKind
    vm: int
    at: float
    for_s: float
    link_mode: str = ""
    share: float = 0.0
    rate_per_s: float = 0.0

    @property
    def until(self) -> float:
        """Return the time at which the fault ends."""
        return self.at + self.for_s


LINK_MODES: typing.Final = ("slow", "reset", "silent", "one-way")
_LINKS: typing.Final = frozenset(
    {FaultKind.SERVER_LINK, FaultKind.PEER_LINK, FaultKind.STORE_LINK}
)


def draw_plan(
    *,
    seed: int,
    duration_s: float,
    vms: int,
    quiet_end_s: float = QUIET_END_S,
) -> tuple[Fault, ...]:
    """Draw the faults of a soak, ordered by start time.

    One series consists of orders, which one operator gives one by one; two
    consist of periods in which callers disconnect early; one of servers that
    name limits or leave; the others consist of faults, one of them of store
    faults.
    """
    rng = random.Random(seed)
    end = duration_s - quiet_end_s
    orders = sorted(PLANNED, key=lambda kind: kind.value)
    unplanned = [
        kind
        for kind in FaultKind
        if kind not in NON_FAULTS and kind not in STORE_FAULTS
    ]
    store = sorted(STORE_FAULTS, key=lambda kind: kind.value)
    faults = []
    callers = sorted(CALLER_EVENTS, key=lambda kind: kind.value)
    for kinds in (
        orders,
        store,
        *[unplanned] * SERIES,
        *[callers] * CALLERS_SERIES,
    ):
        at = QUIET_START_S + rng.uniform(0.0, MAX_PAUSE_S)
        while at < end - MIN_FAULT_S:
            kind = rng.choice(kinds)
            for_s = min(end - at, rng.uniform(MIN_FAULT_S, MAX_FAULT_S))
            link_mode = rng.choice(LINK_MODES) if kind in _LINKS else ""
            share = 0.0
            if kind in CALLER_EVENTS:
                share = rng.uniform(*LEAVE_SHARES)
            faults.append(
                Fault(
                    kind=kind,
                    vm=rng.randrange(vms),
                    at=at,
                    for_s=for_s,
                    link_mode=link_mode,
                    share=share,
                )
            )
            at += for_s + rng.uniform(0.0, MAX_PAUSE_S)
    faults.extend(_draw_signals(seed, end, vms))
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_signals(seed: int, end: float, vms: int) -> list[Fault]:
    """Draw the series of servers that name limits or leave.

    It has a generator of its own, so that the other series of a seed stay as
    they were before there was this one.
    """
    rng = random.Random(f"signals {seed}")
    kinds = sorted(SERVER_SIGNALS, key=lambda kind: kind.value)
    signals = []
    at = QUIET_START_S + rng.uniform(0.0, MAX_PAUSE_S)
    while at < end - MIN_FAULT_S:
        for_s = min(end - at, rng.uniform(*SIGNAL_S))
        signals.append(
            Fault(
                kind=rng.choice(kinds),
                vm=rng.randrange(vms),
                at=at,
                for_s=for_s,
                rate_per_s=rng.choice(RATE_LIMITS_PER_S),
            )
        )
        at += for_s + rng.uniform(0.0, MAX_PAUSE_S)
    return signals
