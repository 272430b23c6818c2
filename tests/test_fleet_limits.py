"""Limits of workspaces over a fleet: what is served and what is refused.

In virtual time, with the delays between zones; no network.
"""

import random

from marjoramledge_core import _quota_groups
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _refusals
from marjoramledge_node import _wire
import pytest
import quota_network

_LARGE = quota_network.workspace("large", 122.0, 122.0)
_SMALL = quota_network.workspace("small", 4.8, 4.8)


def _build(
    patch: pytest.MonkeyPatch,
    *workspaces: configuration.Workspace,
    count: int = 9,
    seed: int = 1,
) -> quota_network.QuotaNetwork:
    return quota_network.QuotaNetwork(
        patch, count=count, seed=seed, workspaces=workspaces
    )


def _find_owner(network: quota_network.QuotaNetwork, name: str) -> int:
    group = _quota_groups.group_of(ids.WorkspaceName(name))
    nodes = [state.node for state in network.nodes.values()]
    owner = min(nodes, key=lambda other: _quota_groups.rank(group, other))
    return int(owner.removeprefix("n"))


@pytest.mark.parametrize("count", [9, 72])
def test_less_than_one_in_a_hundred_is_refused_below_the_limit(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against entries that see a workspace seldom and refuse it, and
    # against tokens that are lost on their way.
    network = _build(monkeypatch, _LARGE, _SMALL, count=count)
    rng = random.Random(count)
    began_at = network.now
    network.send_traffic("large", 75.0, 8.0, range(count), rng)
    network.send_traffic("small", 3.0, 8.0, range(count), rng)
    network.run(9.0)
    assert network.refused_share(began_at, network.now) < 0.01
    # A decision takes a round trip, besides those that had just begun.
    delays_s = sorted(network.delays_s)
    assert delays_s[len(delays_s) // 2] < 0.01


def test_a_workspace_is_served_whose_callers_are_all_at_one_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a limit that is divided evenly while an owner is heard.
    network = _build(monkeypatch, _LARGE)
    rng = random.Random(1)
    began_at = network.now
    network.send_traffic("large", 110.0, 4.0, [3], rng)
    network.run(4.0)
    network.send_traffic("large", 110.0, 4.0, [7], rng)
    network.run(5.0)
    assert network.refused_share(began_at, network.now) < 0.01


@pytest.mark.parametrize("count", [9, 24])
@pytest.mark.parametrize("seed", range(4))
def test_few_calls_are_refused_below_the_limit_when_an_owner_dies(
    count: int, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a gap between two owners.
    network = _build(monkeypatch, _LARGE, _SMALL, count=count, seed=seed)
    owner = _find_owner(network, "large")
    entries = [number for number in range(count) if number != owner]
    rng = random.Random(seed)
    network.send_traffic("large", 75.0, 8.0, entries, rng)
    network.send_traffic("small", 3.0, 8.0, entries, rng)
    network.run(3.0)
    network.kill(owner)
    died_at = network.now
    network.run(2.0)
    assert network.refused_share(died_at, died_at + 2.0) < 0.05
    network.start(owner, incarnation=2)
    network.run(4.0)
    assert network.refused_share(died_at + 2.0, network.now) < 0.01


def test_a_restarted_entry_serves_calls_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against entries that need tokens of their own before they admit.
    network = _build(monkeypatch, _SMALL)
    owner = _find_owner(network, "small")
    entry = (owner + 1) % 9
    began_at = network.now
    network.send_traffic("small", 3.0, 8.0, [entry], random.Random(1))
    network.run(3.0)
    network.kill(entry)
    network.run(0.5)
    network.start(entry, incarnation=2)
    network.run(6.0)
    # Calls before the configuration is known are refused for another reason.
    refused = sum(
        state.quota.refused.get(ids.WorkspaceName("small"), 0)
        for state in network.nodes.values()
    )
    assert refused == 0
    assert len(network.admitted["small"]) > 10
    assert network.refused_share(began_at, began_at + 3.0) == 0.0


def test_a_surge_is_cut_to_the_limit_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against admission by what was known before the surge.
    network = _build(monkeypatch, _LARGE)
    rng = random.Random(1)
    network.send_traffic("large", 73.0, 11.0, range(9), rng)
    network.run(5.0)
    surge_at = network.now
    network.send_traffic("large", 850.0, 6.0, range(9), rng)
    network.run(7.0)
    assert network.most_in_window("large") <= quota_network.BOUND.allows(
        122.0, 122.0
    )
    # The burst and its tolerance, and the rate from then on.
    admitted = network.admitted["large"]
    first_s = sum(surge_at <= at < surge_at + 1.0 for at in admitted)
    assert first_s <= 122.0 * 2 + quota_network.BOUND.slack
    last_s = sum(surge_at + 4.0 <= at < surge_at + 6.0 for at in admitted)
    assert 0.9 * 244.0 <= last_s <= 1.1 * 244.0
    assert min(network.retry_after_s) > 0.0
    assert max(network.retry_after_s) <= 4.0


def test_a_lowered_limit_binds_after_one_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against tokens that were earned under the former limit.
    network = _build(monkeypatch, _LARGE)
    rng = random.Random(1)
    network.send_traffic("large", 300.0, 14.0, range(9), rng)
    network.run(3.0)
    lower = quota_network.workspace("large", 10.0, 5.0)
    network.configure(2, [lower])
    while network.versions() != {2}:
        network.run(0.1)
    in_force_at = network.now
    network.run(10.0)
    late = [at for at in network.admitted["large"] if at >= in_force_at + 5.0]
    network.admitted["large"] = late
    assert len(late) > 20
    bound = quota_network.BOUND.allows(10.0, 5.0)
    assert network.most_in_window("large") <= bound


@pytest.mark.parametrize("rate_per_s", [None, 0.0])
def test_a_workspace_without_a_rate_is_not_limited(
    rate_per_s: float | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against messages and refusals where no limit is configured, and
    # against a burst that is taken for a limit.
    free = quota_network.workspace("free", rate_per_s, 5.0)
    network = _build(monkeypatch, free)
    network.send_traffic("free", 100.0, 1.0, range(9), random.Random(1))
    network.run(2.0)
    assert len(network.admitted["free"]) > 50
    assert not network.refused
    assert network.messages == 0


def test_nothing_is_sent_while_limited_workspaces_send_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against polls that cost bytes without any traffic.
    network = _build(monkeypatch, _LARGE)
    network.call(0, "large")
    network.run(3.0)
    sent = network.messages
    assert sent > 0
    network.run(3.0)
    assert network.messages == sent


def test_refusals_name_the_limit_and_have_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a status that callers take for a lack of capacity.
    network = _build(monkeypatch, quota_network.workspace("tiny", 0.1))
    for _ in range(40):
        network.call(0, "tiny")
    network.run(1.0)
    assert network.refused["tiny"]
    response = _refusals.build_refusal(
        node.Reason.WORKSPACE_LIMIT, node.RunState.NOT_RUN
    )
    assert response.status == 429
    kinds = {record.kind for _, _, record in network.records}
    assert node.RecordKind.QUOTA_PRESSED in kinds


def test_a_call_that_did_not_run_is_not_charged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against callers that use up their limit without being served.
    network = _build(monkeypatch, quota_network.workspace("tiny", 0.5))
    network.has_servers = False
    for _ in range(100):
        network.call(0, "tiny")
        network.run(0.02)
    network.has_servers = True
    network.call(0, "tiny")
    network.run(0.1)
    assert len(network.admitted["tiny"]) == 1


def test_asks_for_many_workspaces_fit_in_datagrams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against datagrams that receivers reject for their size.
    names = [f"workspace-with-a-long-name-{i:04}" for i in range(600)]
    network = _build(
        monkeypatch,
        *(quota_network.workspace(name, 5.0, 5.0) for name in names),
    )
    for name in names:
        network.call_at(0.001, 0, name)
    network.run(2.0)
    assert sum(map(len, network.admitted.values())) == 600
    sizes = [
        len(_wire.encode_message(message, 0.0))
        for message in network.largest_messages
    ]
    # The envelope adds its key id, stamp and MAC.
    assert 1_000 < max(sizes) < _wire.MAX_DATAGRAM_BYTES - 500


def test_the_parts_of_messages_about_limits_survive_encoding() -> None:
    # Guards against fields that are lost between nodes.
    message = node.Message(
        kind=node.MessageKind.QUOTA,
        sender=ids.NodeId("n1"),
        sender_address=node.Address(host="127.0.0.1", port=7001),
        sequence=7,
        target=ids.NodeId("n2"),
        config=configuration.NO_VERSION,
        updates=(),
        suspicions=(),
        quota_reports=(
            node.QuotaReport(
                group=1,
                workspace=ids.WorkspaceName("w"),
                wanted=3,
                returned=2,
                vote=node.Vote.MOVED,
            ),
            node.QuotaReport(group=0),
        ),
        quota_shares=(
            node.QuotaShare(
                group=1,
                workspace=ids.WorkspaceName("w"),
                granted=3,
                wait_s=0.05,
                retry_after_s=1.25,
            ),
            node.QuotaShare(group=0, is_poll=True),
        ),
    )
    content = _wire.encode_message(message, 0.0)
    assert _wire.decode_message(content, 0.0).unwrap() == message
