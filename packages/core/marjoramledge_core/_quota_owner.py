"""The node that decides on the limits of a group of workspaces.

Each voter has an equal share of every limit, and delegates it to one owner
for ``VOTE_S``.  An owner earns tokens for a workspace in proportion to the
shares that it holds, so two owners in different parts of a fleet together
earn no more than one.  A vote counts from the time at which the owner sent
the poll that it answers, and the voter counts it from the later time at which
it received the poll, so that no share is ever held by two owners.
"""

import collections
import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _quota_bound
from marjoramledge_core import _quota_messages

# A vote survives the loss of one poll.  A new owner waits for the end of the
# votes for one that has died; with 0.25 s, calls that had come just before the
# death waited for longer than they may.
VOTE_S: typing.Final = 0.2
POLL_PERIOD_S: typing.Final = 0.09
# An owner that has just been asked polls more often until it has its votes.
GATHER_PERIOD_S: typing.Final = 0.04
# It answers when at most this part of the voters that are not known to have
# failed, or one of at least four, has not voted; or when all votes for a
# former owner must have ended.
MISSING_VOTES_SHARE: typing.Final = 0.05
MIN_VOTERS_FOR_ONE_MISSING: typing.Final = 4
GATHER_S: typing.Final = VOTE_S + GATHER_PERIOD_S
# An owner that is not asked for this long ends its polls.
IDLE_S: typing.Final = 1.0
# For how long an owner believes a voter that knows more shares than itself.
TOLD_S: typing.Final = 2.0
# Bounds on how long an entry refuses a workspace's calls without asking.
MIN_WAIT_S: typing.Final = 0.05
MAX_WAIT_S: typing.Final = 0.5
# Refusals are told to come back within this time.
MAX_RETRY_AFTER_S: typing.Final = 3.0
# An ask that is older than the last one of its entry is a delayed datagram,
# unless the entry was silent for this long: then it may have restarted.
ASK_ORDER_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Limit of a workspace."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True, kw_only=True)
class Ask:
    """An entry's ask, and where the reply goes."""

    node: _ids.NodeId
    address: _members.Address
    number: int
    reports: tuple[_quota_messages.QuotaReport, ...]
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Reply to an ask."""

    ask: Ask
    shares: tuple[_quota_messages.QuotaShare, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Voter:
    poll: int
    expires_at: float
    earned_until: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Bucket:
    """Tokens of a workspace.

    ``grants`` are times and numbers of tokens that may still be given back.
    They and ``level`` together stay within the size of the bucket, so a token
    that is given back lets no window exceed the bound.
    """

    level: float
    earned_s: float
    bonus: float
    grants: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=collections.deque
    )
    second_from: float = 0.0
    refused: int = 0
    refused_before: int = 0


class Owner:
    """Token buckets of a group of workspaces at one node.

    ``earned_s`` counts the seconds in which this owner held all shares; a
    share that is one of n counts 1/n.

    Parameters
    ----------
    group
        Number of the group.
    """

    def __init__(self, *, group: int) -> None:
        self._group = group
        self._voters: dict[_ids.NodeId, _Voter] = {}
        self._known_count = 1
        self._present_count = 1
        self._told_count = 1
        self._told_at = 0.0
        self._declined_at: dict[_ids.NodeId, float] = {}
        self._poll_number = 0
        self._polls: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._buckets: dict[_ids.WorkspaceName, _Bucket] = {}
        self._earned_s = 0.0
        self._bonus = 0.0
        # What a workspace that was not asked for until now has earned.
        self._idle_earned_s = 0.0
        self._idle_bonus = 0.0
        self._asked_at: float | None = None
        self._gathers_until = 0.0
        self._waiting: dict[_ids.NodeId, Ask] = {}
        self._replies: dict[_ids.NodeId, Reply] = {}
        self.is_polling = False

    @property
    def known_shares(self) -> int:
        """Number of equal shares that the fleet's limits are divided into."""
        return max(self._known_count, self._told_count)

    def held_share(self, now: float) -> float:
        """Return the part of all shares that this owner holds."""
        return min(1.0, self._count_votes(now) / self.known_shares)

    def _count_votes(self, now: float) -> int:
        return sum(voter.expires_at > now for voter in self._voters.values())

    def receive_ask(self, ask: Ask) -> Reply | None:
        """Take an ask; return the reply if it was decided before."""
        if self._asked_at is None or ask.at - self._asked_at > IDLE_S:
            self._gathers_until = ask.at + GATHER_S
        self._asked_at = ask.at
        last = self._replies.get(ask.node)
        if last is not None:
            if last.ask.number == ask.number:
                return last
            is_recent = ask.at - last.ask.at < ASK_ORDER_S
            if ask.number < last.ask.number and is_recent:
                return None
        self._waiting[ask.node] = ask
        return None

    def list_waiting(self) -> set[_ids.WorkspaceName]:
        """Return the workspaces of the asks that are not decided yet."""
        return {
            report.workspace
            for ask in self._waiting.values()
            for report in ask.reports
        }

    def wants_polls(self, now: float) -> bool:
        """Return whether votes are needed."""
        return self._asked_at is not None and now - self._asked_at <= IDLE_S

    def next_poll_s(self, now: float) -> float:
        """Return the time until the next poll."""
        if now < self._gathers_until and not self._has_gathered(now):
            return GATHER_PERIOD_S
        return POLL_PERIOD_S

    def begin_poll(
        self,
        *,
        known_shares: int,
        present_shares: int,
        first_number: int,
        now: float,
    ) -> int:
        """Return the number of a poll that is sent to all voters now.

        The first poll has the number ``first_number``: voters recognise a
        process that has restarted by a number that does not continue.
        """
        self._earn(now)
        self._known_count = max(1, known_shares)
        self._present_count = present_shares
        if now - self._told_at > TOLD_S:
            self._told_count = 1
        self._poll_number = (self._poll_number or first_number) + 1
        self._polls[self._poll_number] = now
        while now - next(iter(self._polls.values())) > VOTE_S:
            self._polls.popitem(last=False)
        return self._poll_number

    def receive_vote(
        self,
        node: _ids.NodeId,
        number: int,
        report: _quota_messages.QuotaReport,
        now: float,
    ) -> None:
        """Count a vote from the time of the poll that it answers."""
        sent_at = self._polls.get(number)
        voter = self._voters.get(node)
        if sent_at is None or (voter is not None and number <= voter.poll):
            return
        if report.vote is _quota_messages.Vote.DECLINED:
            self._declined_at[node] = now
            return
        self._earn(now)
        # A node that has just started knows fewer shares than its voters.
        if report.wanted >= self._told_count:
            self._told_count, self._told_at = report.wanted, now
        share = 1.0 / self.known_shares
        self._earned_s += share * report.returned / 1000
        if report.vote is not _quota_messages.Vote.RENEWED:
            self._forget_share(share)
        if report.vote is _quota_messages.Vote.MOVED:
            self._bonus += share
            self._idle_bonus += share
        self._idle_earned_s += share * report.returned / 1000
        expires_at = sent_at + VOTE_S
        if voter is None:
            self._voters[node] = _Voter(
                poll=number, expires_at=expires_at, earned_until=sent_at
            )
        else:
            voter.poll = number
            voter.earned_until = max(voter.earned_until, sent_at)
            voter.expires_at = max(voter.expires_at, expires_at)

    def decide(
        self,
        limits: dict[_ids.WorkspaceName, Limit],
        bound: _quota_bound.QuotaBound,
        now: float,
    ) -> list[Reply]:
        """Decide on the asks that wait, if enough votes are there."""
        if not self._waiting:
            return []
        self._earn(now)
        if not self._may_decide(now):
            # An entry waits no longer than this for its reply.
            for node, ask in list(self._waiting.items()):
                if now - ask.at > bound.hold_s:
                    del self._waiting[node]
            return []
        replies = []
        for node, ask in self._waiting.items():
            shares = tuple(
                self._grant(report, limits.get(report.workspace), bound, now)
                for report in ask.reports
            )
            reply = Reply(ask=ask, shares=shares)
            self._replies[node] = reply
            replies.append(reply)
        self._waiting.clear()
        return replies

    def _may_decide(self, now: float) -> bool:
        """Return whether this owner holds more shares than any other.

        Between two owners, the entries need the reply of the one that has
        more tokens.
        """
        declined = sum(
            now - declined_at <= VOTE_S
            for declined_at in self._declined_at.values()
        )
        if self._count_votes(now) < max(1, declined):
            return False
        return now >= self._gathers_until or self._has_gathered(now)

    def _has_gathered(self, now: float) -> bool:
        expected = self._present_count
        missing = MISSING_VOTES_SHARE * expected
        if expected >= MIN_VOTERS_FOR_ONE_MISSING:
            missing = max(1.0, missing)
        return self._count_votes(now) >= max(1.0, expected - missing)

    def _grant(
        self,
        report: _quota_messages.QuotaReport,
        limit: Limit | None,
        bound: _quota_bound.QuotaBound,
        now: float,
    ) -> _quota_messages.QuotaShare:
        if limit is None:
            # The limit is not in force here yet, or not any more.
            return _quota_messages.QuotaShare(
                group=self._group,
                workspace=report.workspace,
                granted=report.wanted,
            )
        bucket = self._refill(report, limit, bound, now)
        granted = min(report.wanted, max(0, int(bucket.level + 1e-9)))
        bucket.level -= granted
        if granted:
            bucket.grants.append((now, granted))
        refused = report.wanted - granted
        wait_s = retry_after_s = 0.0
        if refused:
            wait_s, retry_after_s = self._note_refused(
                bucket, refused, limit, now
            )
        return _quota_messages.QuotaShare(
            group=self._group,
            workspace=report.workspace,
            granted=granted,
            wait_s=wait_s,
            retry_after_s=retry_after_s,
        )

    def _refill(
        self,
        report: _quota_messages.QuotaReport,
        limit: Limit,
        bound: _quota_bound.QuotaBound,
        now: float,
    ) -> _Bucket:
        bucket = self._buckets.get(report.workspace)
        if bucket is None:
            bucket = _Bucket(
                level=self._idle_earned_s * limit.rate_per_s
                + self._idle_bonus * bound.move_tokens(limit.rate_per_s),
                earned_s=self._earned_s,
                bonus=self._bonus,
            )
            self._buckets[report.workspace] = bucket
        bucket.level += (
            self._earned_s - bucket.earned_s
        ) * limit.rate_per_s + (
            self._bonus - bucket.bonus
        ) * bound.move_tokens(limit.rate_per_s)
        bucket.earned_s, bucket.bonus = self._earned_s, self._bonus
        oldest = now - bound.give_back_s(limit.rate_per_s, limit.burst)
        while bucket.grants and bucket.grants[0][0] < oldest:
            bucket.grants.popleft()
        returned = _remove_grants(bucket, report.returned)
        size = self.held_share(now) * (limit.burst + bound.burst_slack)
        most = max(0.0, size - sum(count for _, count in bucket.grants))
        bucket.level = min(bucket.level + returned, most)
        return bucket

    def _note_refused(
        self, bucket: _Bucket, refused: int, limit: Limit, now: float
    ) -> tuple[float, float]:
        """Return when an entry should ask again, and a caller."""
        if now - bucket.second_from >= 1.0:
            is_next = now - bucket.second_from < 2.0
            bucket.refused_before = bucket.refused if is_next else 0
            bucket.second_from, bucket.refused = now, 0
        bucket.refused += refused
        rate_per_s = max(0.01, self.held_share(now) * limit.rate_per_s)
        token_s = max(0.0, 1.0 - bucket.level) / rate_per_s
        # All that were refused within the last second will come again.
        queue = max(bucket.refused, bucket.refused_before)
        return (
            min(MAX_WAIT_S, max(MIN_WAIT_S, token_s)),
            min(MAX_RETRY_AFTER_S, token_s + queue / rate_per_s),
        )

    def _earn(self, now: float) -> None:
        """Count the time for which votes were held."""
        earned_s = 0.0
        for voter in self._voters.values():
            until = min(now, voter.expires_at)
            if until > voter.earned_until:
                earned_s += until - voter.earned_until
                voter.earned_until = until
        self._earned_s += earned_s / self.known_shares
        self._idle_earned_s += earned_s / self.known_shares

    def _forget_share(self, share: float) -> None:
        """Take out what a share has earned before it was used elsewhere."""
        for bucket in self._buckets.values():
            if bucket.level > 0.0:
                bucket.level *= 1.0 - share
        self._idle_earned_s *= 1.0 - share
        self._idle_bonus *= 1.0 - share


def _remove_grants(bucket: _Bucket, count: int) -> int:
    """Remove tokens that are given back; return how many there were."""
    left = count
    while left > 0 and bucket.grants:
        granted_at, granted = bucket.grants.popleft()
        if granted > left:
            bucket.grants.appendleft((granted_at, granted - left))
        left -= min(granted, left)
    return count - left
