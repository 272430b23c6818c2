"""The bound on a workspace's requests, under random failures.

Nodes are cut off, killed, restarted and frozen while callers send several
times the limit.  In virtual time; no network.
"""

import collections.abc
import functools
import random

from marjoramledge_core import _quota_owner
from marjoramledge_core import _quota_voter
from marjoramledge_core import ids
from marjoramledge_core import node
import pytest
import quota_network

_LARGE = quota_network.workspace("large", 122.0, 122.0)
_SMALL = quota_network.workspace("small", 3.2, 3.2)
_NO_BURST = quota_network.workspace("no-burst", 40.0)
_WORKSPACES = (_LARGE, _SMALL, _NO_BURST)
_DISTURBED_S = 16.0


def _disturb(
    network: quota_network.QuotaNetwork, count: int, rng: random.Random
) -> None:
    """Apply one random failure."""
    kind = rng.choice(("cut", "cut", "heal", "kill", "all", "pause", "delay"))
    addresses = [network.address(number) for number in range(count)]
    if kind == "cut":
        parts = [rng.randrange(rng.choice((2, 3, 9))) for _ in addresses]
        network.cut = {
            frozenset((one, other))
            for one, part in zip(addresses, parts, strict=True)
            for other, other_part in zip(addresses, parts, strict=True)
            if part != other_part
        }
    elif kind == "heal":
        network.cut = set()
    elif kind in ("kill", "all"):
        chance = 1.0 if kind == "all" else 0.3
        for number in range(count):
            if (
                rng.random() < chance
                and network.address(number) in network.nodes
            ):
                network.kill(number)
                network._push(
                    rng.uniform(0.3, 2.0),
                    functools.partial(network.start, number, 2),
                )
    elif kind == "pause":
        for number in rng.sample(range(count), 3):
            network.pause(number, rng.uniform(0.1, 3.0))
    else:
        network.link.max_delay_s = rng.choice((0.0045, 0.05, 0.4))


def _play(seed: int, *, count: int = 9) -> quota_network.QuotaNetwork:
    """Send several times the limits through random failures."""
    with pytest.MonkeyPatch.context() as patch:
        network = quota_network.QuotaNetwork(
            patch, count=count, seed=seed, workspaces=_WORKSPACES
        )
        _play_failures(network, random.Random(seed), count)
    return network


def _play_failures(
    network: quota_network.QuotaNetwork, rng: random.Random, count: int
) -> None:
    for workspace in _WORKSPACES:
        assert workspace.rate_per_s is not None
        network.send_traffic(
            workspace.name,
            rng.uniform(0.9, 6.0) * workspace.rate_per_s,
            _DISTURBED_S,
            range(count),
            rng,
        )
    at = rng.uniform(0.0, 3.0)
    while at < _DISTURBED_S:
        network._push(at, lambda: _disturb(network, count, rng))
        at += rng.choice((0.1, 0.3, 1.0, 3.0))
    network.run(_DISTURBED_S + 1.0)


def _find_excess(network: quota_network.QuotaNetwork) -> dict[str, float]:
    """Return by how much the workspaces exceed their bounds."""
    excess: dict[str, float] = {}
    for workspace in _WORKSPACES:
        assert workspace.rate_per_s is not None
        allowed = quota_network.BOUND.allows(
            workspace.rate_per_s, workspace.burst
        )
        excess[workspace.name] = (
            network.most_in_window(workspace.name) - allowed
        )
    return excess


@pytest.mark.parametrize("seed", range(12))
def test_no_failures_lead_to_more_requests_than_the_bound(
    seed: int,
) -> None:
    network = _play(seed)
    assert sum(map(len, network.admitted.values())) > 100
    assert max(_find_excess(network).values()) <= 0.0


def test_owners_that_ignore_the_absent_shares_exceed_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The guard is the division by all known shares: without it, the owner of
    # each part of a fleet grants the whole limit.
    monkeypatch.setattr(
        _quota_owner.Owner, "known_shares", property(_count_held_shares)
    )
    assert _find_most_excess(range(6)) > 0.0


def _count_held_shares(owner: _quota_owner.Owner) -> int:
    now = max(owner._polls.values(), default=0.0)
    return max(1, owner._count_votes(now))


def test_nodes_that_use_the_whole_limit_alone_exceed_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The guard is the even share of a node that hears no owner.
    take_locally = _quota_voter.Voter.take_locally

    def take(
        voter: _quota_voter.Voter,
        workspace: ids.WorkspaceName,
        limit: _quota_owner.Limit,
        bound: node.QuotaBound,
        *,
        index: int,
        share_count: int,
        started_at: float,
        now: float,
    ) -> bool:
        del index, share_count
        return take_locally(
            voter,
            workspace,
            limit,
            bound,
            index=0,
            share_count=1,
            started_at=started_at,
            now=now,
        )

    monkeypatch.setattr(_quota_voter.Voter, "take_locally", take)
    assert _find_most_excess(range(6)) > 0.0


def _find_most_excess(seeds: collections.abc.Iterable[int]) -> float:
    return max(max(_find_excess(_play(seed)).values()) for seed in seeds)
