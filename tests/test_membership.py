"""Membership and configuration of several nodes, under virtual time."""

import dataclasses
import itertools
import random

from marjoramledge_core import _timers
from marjoramledge_core import _versions
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _document_exchange
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


def _has_record(
    network: virtual_network.Network, kind: node.RecordKind
) -> bool:
    return any(record.kind is kind for _, _, record in network.records)


@pytest.mark.parametrize("uses_store", [True, False])
@pytest.mark.parametrize("seed", range(5))
def test_nodes_that_start_together_form_one_group(
    seed: int, uses_store: bool
) -> None:
    network = virtual_network.Network(
        count=9, seed=seed, uses_store=uses_store
    )
    _run_until_agreed(network, 15.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_killed_node_is_detected_and_rejoins_after_a_restart(
    seed: int,
) -> None:
    network = virtual_network.Network(count=16, seed=seed)
    _run_until_agreed(network, 15.0)
    network.link.loss = 0.01
    network.kill(3)
    _run_until_agreed(network, 20.0)
    # Its clock went back, so the node has to learn its last incarnation from
    # other nodes and exceed it.
    network.start(3, incarnation=0)
    _run_until_agreed(network, 20.0)


@pytest.mark.parametrize("seed", range(3))
def test_a_node_that_leaves_is_not_reported_as_failed(seed: int) -> None:
    network = virtual_network.Network(count=8, seed=seed)
    _run_until_agreed(network, 15.0)
    network.submit(network.address(2), node.StopRequested())
    network.run(2.0)
    network.kill(2)
    network.run(12.0)
    assert not _has_record(network, node.RecordKind.MEMBER_FAILED)
    assert network.view(5)["n2"] is node.MemberStatus.LEFT


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_node_rejoins_and_reports_no_peer_as_failed(
    seed: int,
) -> None:
    network = virtual_network.Network(count=12, seed=seed)
    _run_until_agreed(network, 15.0)
    network.pause(4, 20.0)
    network.run(20.0)
    reported_as_failed = [
        record.peer
        for _, by, record in network.records
        if record.kind is node.RecordKind.MEMBER_FAILED
    ]
    assert set(reported_as_failed) == {"n4"}
    network.run(5.0)
    _run_until_agreed(network, 10.0)
    reported_by_paused = [
        record.peer
        for _, by, record in network.records
        if record.kind is node.RecordKind.MEMBER_FAILED and by == "n4"
    ]
    assert not reported_by_paused


# Guards against a verdict of a timer that ran out during a pause: no
# refutation could arrive meanwhile, so the whole time must begin again.
@pytest.mark.parametrize("pause_s", [3.5, 19.5, 60.0])
def test_a_suspicion_from_before_a_pause_gets_its_time_again(
    pause_s: float,
) -> None:
    driver = builders.CoreDriver()
    driver.learn_peer("n1")
    driver.learn_peer("n2")
    driver.pass_time(3.0)
    suspect = dataclasses.replace(
        driver.state.membership.members[ids.NodeId("n1")],
        status=node.MemberStatus.SUSPECT,
    )
    driver.submit(node.MembersReceived(members=(suspect,)))
    driver.pass_time(0.5)
    driver.now += pause_s
    driver.submit(node.TimePassed())
    driver.pass_time(driver.state.membership.suspicion_s - 0.1)
    members = driver.state.membership.members
    assert members[ids.NodeId("n1")].status is node.MemberStatus.SUSPECT
    driver.pass_time(0.2)
    assert members[ids.NodeId("n1")].status is node.MemberStatus.FAILED


@pytest.mark.parametrize("seed", range(3))
def test_a_partition_of_several_minutes_heals(seed: int) -> None:
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
def test_a_version_read_by_one_node_before_an_outage_spreads(
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


def test_a_node_started_in_an_outage_gets_the_version_from_peers() -> None:
    network = virtual_network.Network(count=5, seed=1, uses_store=False)
    network.store.accept(1)
    network.run(10.0)
    network.store.is_up = False
    network.start(5)
    network.run(5.0)
    assert network.versions() == {1}


def test_an_older_version_in_the_store_is_ignored() -> None:
    network = virtual_network.Network(count=5, seed=1)
    network.store.accept(4)
    network.run(10.0)
    network.store.accept(3, closed_zone="south")
    network.run(30.0)
    assert network.versions() == {4}


def test_departed_members_are_forgotten() -> None:
    network = virtual_network.Network(count=6, seed=1)
    network.run(10.0)
    network.kill(5)
    network.run(700.0)
    assert "n5" not in network.view(0)


def test_two_nodes_of_each_zone_follow_the_store() -> None:
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


def test_an_isolated_node_follows_the_store() -> None:
    network = virtual_network.Network(count=16, seed=1)
    _run_until_agreed(network, 15.0)
    non_follower = next(
        number
        for number in range(16)
        if not network.nodes[network.address(number)].membership.is_follower(
            network.now
        )
    )
    membership = network.nodes[network.address(non_follower)].membership
    assert membership.is_follower(network.now + 2.0)


def _answer_version_read(
    driver: builders.CoreDriver, commands: list[node.Command]
) -> int:
    """Answer the reads of the version; return how many there are."""
    reads = [c for c in commands if isinstance(c, node.ReadVersion)]
    for _ in reads:
        driver.submit(node.VersionRead(ref=builders.build_ref(1)))
        driver.configure()
        driver.submit(node.VersionReadEnded(is_success=True))
    return len(reads)


# Guards against a load on the store by nodes that start together: each of
# them waited there for a change, as an isolated node does, because it had not
# heard of any other yet.
def test_a_started_node_leaves_it_to_others_to_follow_the_store() -> None:
    driver = builders.CoreDriver(name="n9")
    driver.state = node.create_state(
        identity=node.Identity(
            node=ids.NodeId("n9"),
            address=node.Address(host="127.0.0.1", port=7009),
            zone=ids.ZoneName("north"),
            incarnation=1,
        ),
        seeds=(),
        options=node.Options(stop_limit_s=30.0, waits_for_version=True),
        now=driver.now,
    )
    commands = driver.submit(node.TimePassed())
    stored = tuple(
        node.build_stored_member(
            node=ids.NodeId(f"n{number}"),
            address=node.Address(host="127.0.0.1", port=7000 + number),
            zone=ids.ZoneName("north"),
            service=ids.ServiceName("shop"),
            slots=4,
        )
        for number in range(4)
    )
    driver.submit(node.StoredMembersRead(members=stored))
    assert _answer_version_read(driver, commands) == 1
    assert _answer_version_read(driver, driver.pass_time(1.0)) == 0
    for number in range(4):
        driver.learn_peer(f"n{number}", zone="north")
    # Until the first of them is suspected, since this test answers no probes.
    driver.hear_version(1, "n1")
    assert _answer_version_read(driver, driver.pass_time(1.0)) == 0
    # Nobody is heard any more.
    assert _answer_version_read(driver, driver.pass_time(2.5)) > 0


def _abort_call(network: virtual_network.Network, number: int) -> None:
    """Abort a call at a node; the call may have crashed its server."""
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


def _count_suspecting_nodes(network: virtual_network.Network) -> int:
    fingerprint = ids.Fingerprint("broken")
    return sum(
        state.quarantine.is_suspect(fingerprint, network.now)
        for state in network.nodes.values()
    )


@pytest.mark.parametrize(
    ("count", "messages_per_node", "share_informed"),
    [(62, 1.2, 1.0), (150, 4, 0.9)],
)
def test_an_aborted_call_is_gossiped_to_all_nodes_in_few_messages(
    count: int, messages_per_node: float, share_informed: float
) -> None:
    # Where answers are lost, calls abort by the dozen.  When each was gossiped
    # with all pending updates to eight members, and by these to eight more,
    # these messages were nearly all the traffic of 62 nodes.
    network = virtual_network.Network(count=count, seed=1)
    network.store.accept(1)
    network.run(20.0)
    sent_before = network.sent_messages
    _abort_call(network, 0)
    network.run(0.02)
    sent = network.sent_messages - sent_before
    baseline = 2 * count * 0.02
    assert sent <= messages_per_node * count + baseline
    assert _count_suspecting_nodes(network) >= share_informed * count


@pytest.mark.parametrize("seed", range(4))
def test_an_aborted_call_is_known_everywhere_despite_lost_messages(
    seed: int,
) -> None:
    network = virtual_network.Network(count=62, seed=seed)
    network.store.accept(1)
    network.run(20.0)
    network.link.loss = 0.05
    _abort_call(network, 0)
    network.run(3.0)
    assert _count_suspecting_nodes(network) == 62


def _restart_all(network: virtual_network.Network, count: int) -> None:
    for number in range(count):
        network.kill(number)
    network.run(1.0)
    for number in range(count):
        network.start(number, incarnation=2)


def test_nodes_that_restart_together_know_each_other_at_once() -> None:
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


# Guards against a fleet that is known in part for seconds after a start: a
# limit on the rows that a node takes left the rest to gossip, which is slow
# while all nodes start at once (large fleets, and half of one killed).
def test_a_large_fleet_knows_itself_soon_after_starts() -> None:
    count = 195
    network = virtual_network.Network(
        count=count, seed=1, max_rows=_document_exchange.MAX_STORED_MEMBERS
    )
    assert _run_until_agreed(network, 3.0) <= 3.0
    killed = random.Random(2).sample(range(count), round(0.55 * count))
    for number in killed:
        network.kill(number)
    network.run(1.0)
    for number in killed:
        network.start(number, incarnation=2)
    network.run(1.0)
    running = {state.node for state in network.nodes.values()}
    for state in network.nodes.values():
        assert running <= state.membership.members.keys()


def test_stored_members_that_are_gone_are_dropped() -> None:
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


def test_a_node_ignores_probes_of_the_previous_node_at_its_address() -> None:
    network = virtual_network.Network(count=8, seed=1)
    _run_until_agreed(network, 15.0)
    address = network.address(3)
    network.kill(3)
    network.start(3)
    restarted = network.nodes[address]
    network.kill(3)
    network.nodes[address] = node.create_state(
        identity=node.Identity(
            node=ids.NodeId("newcomer"),
            address=address,
            zone=restarted.zone,
            incarnation=1,
        ),
        seeds=(network.address(0),),
        options=node.Options(stop_limit_s=30.0),
        now=network.now,
    )
    _run_until_agreed(network, 30.0)


@pytest.mark.parametrize("seed", range(200))
def test_a_version_from_an_unreachable_sender_is_fetched_from_others(
    seed: int,
) -> None:
    # Nodes that follow the store for others report a version only once they
    # have fetched its content.
    rng = random.Random(seed)
    timers = _timers.TimerQueue()
    versions = _versions.VersionTracker(timers=timers, waits_for_change=True)
    peers = [virtual_network.Network.address(number) for number in range(9)]
    out: list[node.Command] = []
    now = 0.0
    ref = builders.build_ref(2)
    known = configuration.KnownVersion(ref=ref, known_at=now)
    versions.observe_version(known, peers[0], now, out)
    # The connection attempt to the sender ends after half a second.
    now += 0.5
    sources: list[node.Address] = []
    while now < 2.0:
        versions.fetch_failed(ref, now, rng)
        due = timers.next_at
        assert due is not None
        now = due
        timer = timers.pop_due(now)
        assert timer is not None
        out.clear()
        versions.retry_fetch(timer.number, peers, now, rng, out)
        (fetch,) = out
        assert isinstance(fetch, node.FetchManifest)
        if fetch.source is not None and now < 2.0:
            sources.append(fetch.source)
    assert len(sources) >= 3
