"""Bound on the requests that a version under test receives from one entry.

Each call to the service earns a fraction of a token, and an attempt at the new
version costs a whole one.  There are no initial tokens, so the bound holds for
each entry alone, and for the sum over all entries in any partition.
"""

import collections
import typing

from marjoramledge_core import _ids

# Fraction of the permitted share that is used: attempts are counted by the
# servers, and an entry that ends takes its count of calls with it.
USED_FRACTION: typing.Final = 0.8
# Tokens of a pause are not spent at once: a burst would overload the few
# servers that receive them.
MAX_TOKENS: typing.Final = 4.0
# Kinds that have had more than their part of the exposure leave this many
# tokens for rarer kinds, so that each kind is tested.
RESERVED_TOKENS: typing.Final = 1.0


class ExposureBudget:
    """Tokens for attempts at the new version of one roll-out."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._calls = 0
        self._spent: collections.Counter[_ids.KindName] = collections.Counter()

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    @property
    def calls(self) -> int:
        """Number of calls that have earned tokens."""
        return self._calls

    @property
    def spent(self) -> int:
        """Number of tokens spent."""
        return self._spent.total()

    def earn(self, share: float) -> None:
        """Earn the fraction of a token for one call."""
        self._calls += 1
        self._tokens = min(MAX_TOKENS, self._tokens + USED_FRACTION * share)

    def spend(self, kind: _ids.KindName) -> bool:
        """Spend a token for a call of a kind; return False if none is left."""
        self._spent[kind] += 0
        needed = 1.0
        if self._spent[kind] * len(self._spent) > self.spent:
            needed += RESERVED_TOKENS
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        self._spent[kind] += 1
        return True

    def refund(self, kind: _ids.KindName) -> None:
        """Return a token whose call was not sent to the new version."""
        self._tokens += 1.0
        self._spent[kind] -= 1
