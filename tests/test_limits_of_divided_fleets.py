"""The bound on a workspace's requests while nodes start in a partition."""

import random

import pytest
import quota_network

NODES = 16
ADDED_NODES = 20


def test_nodes_that_start_beyond_a_partition_earn_no_share_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against new nodes that take the places of voters which they know
    # as failed, while the other side still counts these.
    limited = quota_network.workspace("large", 122.0, 122.0)
    network = quota_network.QuotaNetwork(
        monkeypatch, count=NODES, seed=1, workspaces=[limited]
    )
    state = network.nodes[network.address(0)]
    view = state.quota.view
    view.refresh(state.membership.members, state.membership.revision)
    voters = {member.node for member in view.voters}
    large_side: list[int] = []
    small_side = list(range(NODES, NODES + ADDED_NODES))
    for number in range(NODES):
        state = network.nodes[network.address(number)]
        side = large_side if state.node in voters else small_side
        side.append(number)
    network.cut = {
        frozenset((network.address(one), network.address(other)))
        for one in large_side
        for other in small_side
    }
    for number in range(NODES, NODES + ADDED_NODES):
        network.start(number)
    network.run(4.0)
    rng = random.Random(1)
    for side in (large_side, small_side):
        network.send_traffic("large", 160.0, 11.0, side, rng)
    network.run(12.0)
    allowed = quota_network.BOUND.allows(122.0, 122.0)
    assert network.most_in_window("large") <= allowed
