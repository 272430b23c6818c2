"""The faults and orders of a soak, all drawn from one seed.

Faults overlap: each of several series draws its own kinds, targets, moments
and durations.  The last part of a soak is free of faults, so that recovery
can be judged.
"""

import dataclasses
import enum
import random
import typing

# Traffic runs for so long before the first fault.
QUIET_START_S: typing.Final = 3.0
# The end of a soak, free of faults; the product recovers well within it.
QUIET_END_S: typing.Final = 12.0
MIN_FAULT_S: typing.Final = 0.5
MAX_FAULT_S: typing.Final = 5.0
MAX_PAUSE_S: typing.Final = 4.0
SERIES: typing.Final = 3
# Share of the callers that leave in a spell of it.
LEAVE_SHARES: typing.Final = (0.3, 0.8)
CALLERS_SERIES: typing.Final = 2


class FaultKind(enum.Enum):
    """What is done to the deployment."""

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


# What operators order; it must cut nothing.
PLANNED: typing.Final = frozenset(
    {
        FaultKind.NODE_STOP,
        FaultKind.ZONE_OUT,
        FaultKind.CHANGE,
        FaultKind.DRAIN_ORDER,
    }
)
# These concern the store as a whole, not one VM.
OF_THE_STORE: typing.Final = frozenset(
    {
        FaultKind.STORE_DOWN,
        FaultKind.STORE_SLOW,
        FaultKind.STORE_LOSES_ANSWERS,
    }
)
# What callers do is no fault; it must cut nothing either.
OF_THE_CALLERS: typing.Final = frozenset({FaultKind.CALLERS_LEAVE})
EXPLAINS_NOTHING: typing.Final = PLANNED | OF_THE_CALLERS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault or order; times in seconds from the start of traffic.

    ``vm`` is the number of the VM that it hits, or whose zone it concerns;
    ``share`` is that of the callers who leave.
    """

    kind: FaultKind
    vm: int
    at: float
    for_s: float
    how: str = ""
    share: float = 0.0

    @property
    def until(self) -> float:
        """When it ends."""
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
    """Draw the faults of a soak, in order of time.

    One series consists of orders, which one operator gives one by one; two
    are of spells of callers who leave; the others are of faults, one of them
    of the store.
    """
    rng = random.Random(seed)
    end = duration_s - quiet_end_s
    orders = sorted(PLANNED, key=lambda kind: kind.value)
    unplanned = [
        kind
        for kind in FaultKind
        if kind not in EXPLAINS_NOTHING and kind not in OF_THE_STORE
    ]
    store = sorted(OF_THE_STORE, key=lambda kind: kind.value)
    faults = []
    callers = sorted(OF_THE_CALLERS, key=lambda kind: kind.value)
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
            how = rng.choice(LINK_MODES) if kind in _LINKS else ""
            share = 0.0
            if kind in OF_THE_CALLERS:
                share = rng.uniform(*LEAVE_SHARES)
            faults.append(
                Fault(
                    kind=kind,
                    vm=rng.randrange(vms),
                    at=at,
                    for_s=for_s,
                    how=how,
                    share=share,
                )
            )
            at += for_s + rng.uniform(0.0, MAX_PAUSE_S)
    return tuple(sorted(faults, key=lambda fault: fault.at))
