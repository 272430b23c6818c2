"""Token buckets for further attempts of a call.

Each first attempt earns a fraction of a token and each further one spends a
whole token, so that further attempts stay a bounded share of the traffic
however many calls fail.  An attempt that may have run costs the servers work,
and levels of calls would multiply it, so its share is small.  One that a gate
refused costs only a message; its share is larger, but bounded too, since an
overloaded service should not spend its time on refusals.
"""

import dataclasses
import typing

# Part of the fleet's allowance that is given out: a repeated call may call
# other services again, and those count as repeats there too.
RATIO_FRACTION: typing.Final = 0.4
SLACK_FRACTION: typing.Final = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetRetryBudget:
    """Calls that the whole fleet may repeat at one service in a window.

    ``ratio`` is relative to the calls for the service, ``slack`` absolute.
    """

    ratio: float
    slack: float


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Tokens of one service at one entry.

    ``tokens`` pay for attempts after one that may have run, and for hedges.
    ``reroute_tokens`` pay for attempts after one that a gate refused; a move is paid
    before the attempt that may be refused, and refunded when it is not, so
    that a call is never left without a place to go.
    """

    earned_per_call: float = 0.1
    capacity: float = 10.0
    tokens: float = 10.0
    reroutes_per_call: float = 1.0
    reroute_capacity: float = 50.0
    reroute_tokens: float = 50.0

    def set_share(self, fleet: FleetRetryBudget, node_count: int) -> None:
        """Take this entry's share of what the whole fleet may repeat.

        The shares add up to less than the whole however little the entries
        hear of one another, as long as each knows about how many there are.
        """
        self.earned_per_call = RATIO_FRACTION * fleet.ratio
        self.capacity = max(
            1.0, SLACK_FRACTION * fleet.slack / max(1, node_count)
        )
        self.tokens = min(self.tokens, self.capacity)

    def earn(self) -> None:
        """Credit one first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.earned_per_call)
        self.reroute_tokens = min(
            self.reroute_capacity, self.reroute_tokens + self.reroutes_per_call
        )

    def spend(self) -> bool:
        """Take a token for an attempt that adds work to the servers."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def spend_reroute(self) -> bool:
        """Take a token for the move that a refusal would ask for."""
        if self.reroute_tokens < 1.0:
            return False
        self.reroute_tokens -= 1.0
        return True

    def refund_reroute(self) -> None:
        """Give back a token whose move was not needed."""
        self.reroute_tokens = min(
            self.reroute_capacity, self.reroute_tokens + 1.0
        )
