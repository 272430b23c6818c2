"""Token bucket for retries and hedges.

Each first attempt earns a fraction of a token and each extra one spends a
whole token, so extra attempts stay a bounded share of the traffic however
many calls fail, which is what keeps a failing service from being multiplied
by the levels of calls above it.
"""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Tokens of one service at one entry."""

    earned_per_call: float = 0.1
    capacity: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Credit one first attempt."""
        self.tokens = min(self.capacity, self.tokens + self.earned_per_call)

    def spend(self) -> bool:
        """Take a token for an extra attempt; false when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
