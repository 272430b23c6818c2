"""A node's own share of the limits: delegated to an owner, or used here.

The share is delegated to at most one owner at a time.  It is used locally
only while it is not delegated, that is, if no owner was heard for the
duration of a vote.
"""

import dataclasses
import math
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _quota_bound
from marjoramledge_core import _quota_groups
from marjoramledge_core import _quota_messages
from marjoramledge_core import _quota_owner

# Longest time for which an unused share earns tokens at its next owner.  A
# longer time would fill any bucket as well.
MAX_UNUSED_S: typing.Final = 60.0
# A share that was unused for longer has earned tokens for its next owner.
MAX_GAP_S: typing.Final = 1.0
# Polls of one process continue by less than this, in all likelihood, and
# those of a process that has restarted do not.
MAX_POLL_STEP: typing.Final = 10_000
# A process that has just started may not know the other voters yet, and does
# not use its own share, which may be too large a part.
MIN_LOCAL_AGE_S: typing.Final = 10.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _LocalBucket:
    level: float
    filled_at: float


class Voter:
    """The share that a node has of the limits of one group.

    Parameters
    ----------
    group
        Number of the group.
    """

    def __init__(self, *, group: int) -> None:
        self._group = group
        self._polled_at: dict[_ids.NodeId, float] = {}
        self._holder = _ids.NO_NODE
        self._holder_poll = 0
        self._expires_at = -math.inf
        self._moved_at = -math.inf
        self._unused_since = -math.inf
        self._is_used_here = False
        self._buckets: dict[_ids.WorkspaceName, _LocalBucket] = {}

    def is_delegated(self, now: float) -> bool:
        """Return whether an owner holds the share."""
        return now < self._expires_at

    def vote(
        self,
        node: _ids.NodeId,
        number: int,
        share_count: int,
        bound: _quota_bound.QuotaBound,
        started_at: float,
        now: float,
    ) -> _quota_messages.QuotaReport:
        """Return the vote for a node that polls."""
        self._polled_at[node] = now
        for other, polled_at in list(self._polled_at.items()):
            if now - polled_at > _quota_owner.VOTE_S:
                del self._polled_at[other]
        best = min(
            self._polled_at,
            key=lambda other: _quota_groups.rank(self._group, other),
        )
        has_moved = now - max(self._moved_at, started_at) < bound.window_s
        if self._holder in self._polled_at and has_moved:
            # A move would find an owner without tokens.
            best = self._holder
        # The process before this one may have voted just before its end.
        free_at = max(self._expires_at, started_at + _quota_owner.VOTE_S)
        is_same = (
            node == self._holder
            and 0 < number - self._holder_poll < MAX_POLL_STEP
        )
        if best != node or (now < free_at and not is_same):
            return _quota_messages.QuotaReport(
                group=self._group,
                wanted=share_count,
                vote=_quota_messages.Vote.DECLINED,
            )
        kind = _quota_messages.Vote.RENEWED
        unused_s = now - max(free_at, self._unused_since)
        if not is_same or self._is_used_here:
            kind = _quota_messages.Vote.MOVED_EARLY
            if unused_s < MAX_GAP_S:
                kind = self._note_move(bound, started_at, now)
        self._holder, self._holder_poll = node, number
        self._expires_at = now + _quota_owner.VOTE_S
        self._is_used_here = False
        self._buckets.clear()
        return _quota_messages.QuotaReport(
            group=self._group,
            wanted=share_count,
            returned=int(1000 * min(MAX_UNUSED_S, max(0.0, unused_s))),
            vote=kind,
        )

    def _note_move(
        self,
        bound: _quota_bound.QuotaBound,
        started_at: float,
        now: float,
    ) -> _quota_messages.Vote:
        # What a move costs is paid once for each window.  A process that has
        # just started may have moved its share before it was restarted.
        if now - max(self._moved_at, started_at) < bound.window_s:
            return _quota_messages.Vote.MOVED_EARLY
        self._moved_at = now
        return _quota_messages.Vote.MOVED

    def take_locally(
        self,
        workspace: _ids.WorkspaceName,
        limit: _quota_owner.Limit,
        bound: _quota_bound.QuotaBound,
        index: int,
        share_count: int,
        started_at: float,
        now: float,
    ) -> bool:
        """Use a token of this node's own share, if no owner holds it.

        The whole tokens of a burst are dealt out by the positions of the
        voters, so that the sum over all of them is exact.
        """
        if self.is_delegated(now) or now - started_at < MIN_LOCAL_AGE_S:
            return False
        whole, rest = divmod(int(limit.burst + bound.burst_slack), share_count)
        most = whole + (index < rest)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            begin = max(
                self._expires_at,
                self._unused_since,
                started_at + _quota_owner.VOTE_S,
            )
            bucket = _LocalBucket(level=0.0, filled_at=begin)
            self._buckets[workspace] = bucket
        earned = (now - bucket.filled_at) * limit.rate_per_s / share_count
        bucket.level = min(float(most), bucket.level + earned)
        bucket.filled_at = now
        if bucket.level < 1.0 - 1e-9:
            return False
        bucket.level -= 1.0
        self._is_used_here = True
        self._unused_since = now
        return True
