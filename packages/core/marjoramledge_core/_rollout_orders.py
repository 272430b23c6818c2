"""Values of roll-outs: orders, states, stored rows and evidence.

A roll-out moves the requests of a service to the servers of another software
version.  The operator's order is part of the configuration; its state spreads
by gossip, and the decision is a row of the store.
"""

import dataclasses
import enum
import typing

from marjoramledge_core import _ids

# Share of a service's requests that may go to the new version, unless the
# deployment states another.
DEFAULT_EXPOSE_SHARE: typing.Final = 0.1
DEFAULT_REVERSAL_LIMIT_S: typing.Final = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service to another version.

    ``order`` identifies this order: two successive orders may have the same
    text.  ``problem`` describes why it can't be followed; empty if it can.
    """

    service: _ids.ServiceName
    version: _ids.ServerVersion
    duration_s: float
    order: _ids.OrderId
    problem: str = ""


class RolloutPhase(enum.IntEnum):
    """Phase of a roll-out; with the same standing, the greater one wins.

    While ``PROMOTING``, entries send all new requests to the new version, and
    the completion has not been written yet.
    """

    UNKNOWN = 0
    RUNNING = 1
    PROMOTING = 2
    REVERTED = 3
    COMPLETED = 4


FINAL_PHASES: typing.Final = frozenset(
    {RolloutPhase.REVERTED, RolloutPhase.COMPLETED}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutState:
    """What a node knows of one roll-out.

    ``is_stored`` is true if the store has confirmed ``phase``.  Times are
    monotonic, in seconds, of the clock of the node that holds this value:
    ``started_at`` is the start of the roll-out and ``changed_at`` that of the
    phase.  ``is_untested`` marks a reversal that no evidence demanded, as of
    an invalid or withdrawn order.
    """

    service: _ids.ServiceName
    version: _ids.ServerVersion
    order: _ids.OrderId
    phase: RolloutPhase
    started_at: float
    changed_at: float
    is_stored: bool = False
    reason: str = ""
    is_untested: bool = False

    @property
    def key(self) -> tuple[_ids.ServiceName, _ids.OrderId]:
        """Identifier of the roll-out."""
        return self.service, self.order

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.phase in FINAL_PHASES

    @property
    def precedence(self) -> tuple[bool, RolloutPhase]:
        """Order of two states of one roll-out: the greater one holds."""
        return self.is_stored and self.is_final, self.phase


def merge_states(known: RolloutState, received: RolloutState) -> RolloutState:
    """Return the state that holds of two of the same roll-out.

    It is ``known`` itself if nothing is new.  The earlier start holds, since
    delays make information look newer than it is.
    """
    started_at = min(known.started_at, received.started_at)
    if received.precedence > known.precedence:
        return dataclasses.replace(received, started_at=started_at)
    is_stored = known.is_stored or (
        received.is_stored and received.phase is known.phase
    )
    # Ages are rounded to milliseconds, so a smaller change means nothing.
    if known.started_at - started_at > 0.01 or is_stored != known.is_stored:
        return dataclasses.replace(
            known, started_at=started_at, is_stored=is_stored
        )
    return known


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutRow:
    """The row of the store that tells how a service's roll-out stands.

    ``order`` is empty if the store does not keep it; ``etag`` is the condition
    of the next write.
    """

    service: _ids.ServiceName
    version: _ids.ServerVersion
    phase: RolloutPhase
    order: _ids.OrderId = _ids.NO_ORDER
    etag: str = ""

    def concerns(
        self, version: _ids.ServerVersion, order: _ids.OrderId
    ) -> bool:
        """Return whether the row is about an order.

        A store that does not keep the order numbers its writes: a row about an
        order has a later number than the order.
        """
        if self.order:
            return self.order == order
        if not (self.etag.isdecimal() and order.isdecimal()):
            return False
        return self.version == version and int(self.etag) > int(order)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseCounts:
    """Numbers of responses: all, failed ones and slow ones."""

    responses: int = 0
    failures: int = 0
    slow: int = 0

    def plus(self, other: "ResponseCounts") -> "ResponseCounts":
        """Return the sum."""
        return ResponseCounts(
            responses=self.responses + other.responses,
            failures=self.failures + other.failures,
            slow=self.slow + other.slow,
        )

    def minus(self, other: "ResponseCounts") -> "ResponseCounts":
        """Return the difference."""
        return ResponseCounts(
            responses=self.responses - other.responses,
            failures=self.failures - other.failures,
            slow=self.slow - other.slow,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KindEvidence:
    """Responses to requests of one kind by the old and the new version."""

    kind: _ids.KindName
    old: ResponseCounts
    new: ResponseCounts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceReport:
    """Cumulative counts of one entry since its start.

    ``run`` is drawn when the entry begins to count, and ``number`` increases
    with each report.
    """

    run: int
    number: int
    kinds: tuple[KindEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutNotice:
    """What a message tells of a roll-out.

    A notice with the phase ``UNKNOWN`` asks for the state.
    """

    state: RolloutState
    report: EvidenceReport | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOptions:
    """Options of roll-outs.

    ``expose_share`` is the maximum share of a service's requests that a
    version under test receives.  No request is sent to a bad version later
    than ``reversal_limit_s`` after it has shown that it is bad.
    """

    expose_share: float = DEFAULT_EXPOSE_SHARE
    reversal_limit_s: float = DEFAULT_REVERSAL_LIMIT_S
