"""Membership and configuration of several cores under virtual time."""

import itertools
import random

from marjoramledge_core import _timers
from marjoramledge_core import _versions
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network
import pytest


def _run_until_agreed(
    network: virtual_network.Network, limit_s: float
) -> float:
    began_at = network.now
    while not network.is_agreed():
        assert network.now - began_at < limit_s, "no agreement"
        network.run(0.25)
    return network.now - began_at


def _has_event(
    network: virtual_network.Network, kind: node.RecordKind
) -> bool:
    return any(record.kind is kind for _, _, record in network.records)


@pytest.mark.parametrize("uses_store", [True, False])
@pytest.mark.parametrize("seed", range(5))
def test_nodes_that_start_together_do_not_remain_in_groups(
    seed: int, uses_store: bool
) -> None:
    network = virtual_network.Network(
        count=9, seed=seed, uses_store=uses_store
    )
    _run_until_agreed(network, 15.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_killed_node_is_found_and_a_restarted_one_welcomed(
    seed: int,
) -> None:
    network = virtual_network.Network(count=16, seed=seed)
    _run_until_agreed(network, 15.0)
    network.link.loss = 0.01
    network.kill(3)
    _run_until_agreed(network, 20.0)
    # Its clock went back: only the protocol can lift its incarnation.
    network.start(3, incarnation=0)
    _run_until_agreed(network, 20.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_node_that_leaves_is_not_called_failed(seed: int) -> None:
    network = virtual_network.Network(count=8, seed=seed)
    _run_until_agreed(network, 15.0)
    network.submit(network.address(2), node.StopRequested())
    network.run(2.0)
    network.kill(2)
    network.run(12.0)
    assert not _has_event(network, node.RecordKind.MEMBER_FAILED)
    assert network.view(5)["n2"] is node.MemberStatus.LEFT


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_node_neither_harms_nor_is_lost(seed: int) -> None:
    network = virtual_network.Network(count=12, seed=seed)
    _run_until_agreed(network, 15.0)
    network.pause(4, 20.0)
    network.run(20.0)
    blamed_before = [
        record.peer
        for _, by, record in network.records
        if record.kind is node.RecordKind.MEMBER_FAILED
    ]
    assert set(blamed_before) == {"n4"}
    network.run(5.0)
    _run_until_agreed(network, 10.0)
    blamed_by_paused = [
        record.peer
        for _, by, record in network.records
        if record.kind is node.RecordKind.MEMBER_FAILED and by == "n4"
    ]
    assert not blamed_by_paused


@pytest.mark.parametrize("seed", range(3))
def test_halves_that_were_apart_for_minutes_come_together(seed: int) -> None:
    network = virtual_network.Network(count=10, seed=seed)
    _run_until_agreed(network, 15.0)
    addresses = list(network.nodes)
    network.cut = {
        frozenset(pair)
        for pair in itertools.product(addresses[:4], addresses[4:])
    }
    network.run(240.0)
    assert not network.is_agreed()
    network.cut = set()
    _run_until_agreed(network, 90.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_version_is_in_force_everywhere_within_seconds(seed: int) -> None:
    network = virtual_network.Network(count=16, seed=seed)
    network.link = virtual_network.Link(loss=0.01, duplication=0.1)
    network.store.accept(1)
    network.run(15.0)
    assert network.versions() == {1}
    network.store.accept(2, closed_zone="south")
    network.run(4.0)
    assert network.versions() == {2}


@pytest.mark.parametrize("seed", range(5))
def test_a_version_that_one_node_read_before_an_outage_is_in_force(
    seed: int,
) -> None:
    network = virtual_network.Network(count=16, seed=seed)
    network.link = virtual_network.Link(loss=0.01)
    network.store.accept(1)
    network.run(15.0)
    network.store.accept(2)
    while network.versions() == {1}:
        network.run(0.01)
    network.store.is_up = False
    network.run(2.5)
    assert network.versions() == {2}


def test_a_node_that_starts_in_an_outage_learns_from_its_peers() -> None:
    network = virtual_network.Network(count=5, seed=1, uses_store=False)
    network.store.accept(1)
    network.run(10.0)
    network.store.is_up = False
    network.start(5)
    network.run(5.0)
    assert network.versions() == {1}


def test_an_old_version_row_reverts_nothing() -> None:
    network = virtual_network.Network(count=5, seed=1)
    network.store.accept(4)
    network.run(10.0)
    network.store.accept(3, closed_zone="south")
    network.run(30.0)
    assert network.versions() == {4}


def test_nothing_is_left_behind_by_departed_members() -> None:
    network = virtual_network.Network(count=6, seed=1)
    network.run(10.0)
    network.kill(5)
    network.run(700.0)
    assert "n5" not in network.view(0)


def test_a_few_nodes_of_each_zone_follow_the_store() -> None:
    network = virtual_network.Network(count=16, seed=1)
    _run_until_agreed(network, 15.0)
    zones: dict[str, int] = {}
    for number in range(16):
        state = network.nodes[network.address(number)]
        membership = state.membership
        if membership.is_follower(network.now):
            zones[state.zone] = zones.get(state.zone, 0) + 1
    assert zones
    assert set(zones.values()) == {2}


def test_a_node_that_hears_nobody_follows_the_store() -> None:
    network = virtual_network.Network(count=16, seed=1)
    _run_until_agreed(network, 15.0)
    lone = next(
        number
        for number in range(16)
        if not network.nodes[network.address(number)].membership.is_follower(
            network.now
        )
    )
    membership = network.nodes[network.address(lone)].membership
    assert membership.is_follower(network.now + 2.0)


def _break_call(network: virtual_network.Network, number: int) -> None:
    """Let a call break off at a node, whose server may have died of it."""
    address = network.address(number)
    attempt = ids.AttemptId("a.0")
    network.submit(
        address,
        node.WorkOffered(
            attempt=attempt,
            host="shop.example",
            method="POST",
            path="/orders",
            deadline_s=5.0,
            prefers_queueing=False,
            fingerprint=ids.Fingerprint("broken"),
        ),
    )
    network.submit(
        address,
        node.WorkEnded(
            attempt=attempt,
            outcome=node.ServerOutcome.ABORTED,
            head_s=0.0,
        ),
    )


def _count_suspecting(network: virtual_network.Network) -> int:
    fingerprint = ids.Fingerprint("broken")
    return sum(
        state.quarantine.is_suspect(fingerprint, network.now)
        for state in network.nodes.values()
    )


@pytest.mark.parametrize(
    ("count", "messages_a_node", "known_at_once"),
    [(62, 1.2, 1.0), (150, 4, 0.9)],
)
def test_a_broken_call_is_told_to_all_at_the_price_of_a_few_messages(
    count: int, messages_a_node: float, known_at_once: float
) -> None:
    # Calls break by the dozen where answers are lost; when each told the
    # whole news to eight members, and these to eight more, this was nearly
    # all that 62 nodes sent.
    network = virtual_network.Network(count=count, seed=1)
    network.store.accept(1)
    network.run(20.0)
    sent_before = network.sent_messages
    _break_call(network, 0)
    network.run(0.02)
    sent = network.sent_messages - sent_before
    ordinary = 2 * count * 0.02
    assert sent <= messages_a_node * count + ordinary
    assert _count_suspecting(network) >= known_at_once * count


@pytest.mark.parametrize("seed", range(4))
def test_a_broken_call_is_known_everywhere_although_messages_are_lost(
    seed: int,
) -> None:
    network = virtual_network.Network(count=62, seed=seed)
    network.store.accept(1)
    network.run(20.0)
    network.link.loss = 0.05
    _break_call(network, 0)
    network.run(3.0)
    assert _count_suspecting(network) == 62


def _restart_all(network: virtual_network.Network, count: int) -> None:
    for number in range(count):
        network.kill(number)
    network.run(1.0)
    for number in range(count):
        network.start(number, incarnation=2)


def test_nodes_that_lost_power_together_know_one_another_at_once() -> None:
    network = virtual_network.Network(count=62, seed=1)
    _run_until_agreed(network, 15.0)
    _restart_all(network, 62)
    network.run(0.05)
    for number in range(62):
        state = network.nodes[network.address(number)]
        present = [
            member
            for member in state.membership.members.values()
            if member.accepts_work
        ]
        assert len(present) == 62
    network.run(3.0)
    assert all(
        member.is_confirmed
        for state in network.nodes.values()
        for member in state.membership.members.values()
    )


def test_what_the_store_kept_of_gone_nodes_is_dropped() -> None:
    network = virtual_network.Network(count=12, seed=1)
    _run_until_agreed(network, 15.0)
    _restart_all(network, 12)
    for number in range(6):
        network.kill(number)
    network.run(1.0)
    zones = {
        state.zone
        for state in network.nodes.values()
        if state.membership.is_follower(network.now)
    }
    assert zones == {"north", "south"}
    _run_until_agreed(network, 30.0)


def test_a_node_does_not_answer_probes_of_one_that_had_its_address() -> None:
    network = virtual_network.Network(count=8, seed=1)
    _run_until_agreed(network, 15.0)
    address = network.address(3)
    network.kill(3)
    network.start(3)
    newcomer = network.nodes[address]
    network.kill(3)
    network.nodes[address] = node.create_state(
        identity=node.Identity(
            node=ids.NodeId("newcomer"),
            address=address,
            zone=newcomer.zone,
            incarnation=1,
        ),
        seeds=(network.address(0),),
        options=node.Options(stop_limit_s=30.0),
        now=network.now,
    )
    _run_until_agreed(network, 30.0)


@pytest.mark.parametrize("seed", range(200))
def test_a_version_whose_teller_is_cut_off_is_asked_of_others_soon(
    seed: int,
) -> None:
    # One that follows the store for others can't name what it has not read.
    rng = random.Random(seed)
    timers = _timers.TimerQueue()
    versions = _versions.VersionTracker(timers=timers, waits_for_change=True)
    peers = [virtual_network.Network.address(number) for number in range(9)]
    out: list[node.Command] = []
    now = 0.0
    ref = builders.build_ref(2)
    versions.observe_version(ref, peers[0], out)
    # The connection attempt to the teller ends after half a second.
    now += 0.5
    asked: list[node.Address] = []
    while now < 2.0:
        versions.fetch_failed(ref, now, rng)
        due = timers.next_at
        assert due is not None
        now = due
        timer = timers.pop_due(now)
        assert timer is not None
        out.clear()
        versions.retry_fetch(timer.number, peers, rng, out)
        (fetch,) = out
        assert isinstance(fetch, node.FetchManifest)
        if fetch.source is not None and now < 2.0:
            asked.append(fetch.source)
    assert len(asked) >= 3
