"""Token buckets that bound retries, hedges and reroutes.

Each call's first attempt earns tokens and each further attempt spends one, so
further attempts stay a bounded share of the traffic however many calls fail.
A retry after an attempt that may have run costs the servers work, and nested
calls would multiply it, so its share is small.  A reroute, the next attempt
after one that a gate refused, costs only a message; its share is larger, but
also bounded, so that an overloaded service does not spend its time on
refusals.
"""

import dataclasses
import typing

# Fractions of the fleet's budget that are allotted to the entries.  The rest
# is a reserve: a retried call may call other services again, and those calls
# count as retries there too.
RATIO_FRACTION: typing.Final = 0.4
SLACK_FRACTION: typing.Final = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetRetryBudget:
    """Retries that the whole fleet may make at one service in a window.

    Their number may be ``ratio`` times the calls for the service, plus
    ``slack``.
    """

    ratio: float
    slack: float


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Tokens for further attempts at one service by one entry.

    ``tokens`` pay for hedges and for retries after an attempt that may have
    run or that the backend server itself refused.  A retry of an error answer
    also takes one of ``error_tokens``, which are fewer: where calls are
    nested, the error may be that of a call which another level has retried
    already, and each level would multiply it.  ``reroute_tokens`` pay for
    attempts after one that a gate refused.  A reroute token is spent before
    an attempt that may be refused, and refunded if the attempt is not
    refused, so that a refused call can always be sent to another server.
    """

    earned_per_call: float = 0.1
    capacity: float = 10.0
    tokens: float = 10.0
    errors_per_call: float = 0.01
    error_capacity: float = 3.0
    error_tokens: float = 3.0
    reroutes_per_call: float = 1.0
    reroute_capacity: float = 50.0
    reroute_tokens: float = 50.0

    def set_share(self, fleet: FleetRetryBudget, node_count: int) -> None:
        """Set this entry's share of the fleet's retry budget.

        The shares of all entries add up to less than the fleet's budget
        without coordination, as long as each entry knows roughly how many
        nodes there are.
        """
        self.earned_per_call = RATIO_FRACTION * fleet.ratio
        self.capacity = max(
            1.0, SLACK_FRACTION * fleet.slack / max(1, node_count)
        )
        self.tokens = min(self.tokens, self.capacity)
        # The fleet's budget says how many retries its services bear.
        self.errors_per_call = self.earned_per_call
        self.error_capacity = self.capacity
        self.error_tokens = min(self.error_tokens, self.error_capacity)

    def earn(self) -> None:
        """Credit the tokens that the first attempt of a call earns."""
        self.tokens = min(self.capacity, self.tokens + self.earned_per_call)
        self.error_tokens = min(
            self.error_capacity, self.error_tokens + self.errors_per_call
        )
        self.reroute_tokens = min(
            self.reroute_capacity, self.reroute_tokens + self.reroutes_per_call
        )

    def spend_on_error(self) -> bool:
        """Spend tokens on the retry of an error answer, if there are any."""
        if self.error_tokens < 1.0 or not self.spend():
            return False
        self.error_tokens -= 1.0
        return True

    def spend(self) -> bool:
        """Spend a token on a retry or hedge; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def spend_reroute(self) -> bool:
        """Spend a reroute token; return False if none is left."""
        if self.reroute_tokens < 1.0:
            return False
        self.reroute_tokens -= 1.0
        return True

    def refund_reroute(self) -> None:
        """Refund a reroute token that was not needed."""
        self.reroute_tokens = min(
            self.reroute_capacity, self.reroute_tokens + 1.0
        )
