"""Calls at nodes that a new configuration reaches late."""

import random

from marjoramledge_core import configuration
from marjoramledge_core import node
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_links
import pytest

NODES = 88
ZONES = 5
# Promised time for a new version to be in force on all nodes.
IN_FORCE_S = 2.5
OUTDATED_LIMIT_S = virtual_links.OUTDATED_LIMIT_S
LINK_BYTES_PER_S = 1_250_000.0
# What calls leave of a full link, and the share of datagrams that it drops.
NARROW_BYTES_PER_S = 8_000.0
NARROW_LOSS = 0.5
NARROW_NODES = range(20, 60)
SETTLED_S = 25.0
# A change may come this soon after the store's return.
CONTACT_S = 2.0
OUTAGE_S = 4.5
# As large as the compressed configuration of 1,200 routes.
CONTENT = random.Random(1).randbytes(20_000)


def _start_node() -> builders.CoreDriver:
    driver = builders.CoreDriver()
    driver.submit(
        node.OptionsChanged(
            options=node.Options(
                stop_limit_s=30.0, outdated_limit_s=OUTDATED_LIMIT_S
            )
        )
    )
    driver.configure(1)
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    driver.learn_peer("n1")
    return driver


def _offer(
    driver: builders.CoreDriver, name: str, config: int | None
) -> node.Command:
    """Offer a call to the gate; end it if it starts."""
    ref = None if config is None else builders.build_ref(config)
    (command,) = driver.offer(name, config=ref)
    if isinstance(command, node.StartWork):
        driver.submit(
            node.WorkEnded(
                attempt=command.attempt,
                outcome=node.ServerOutcome.ANSWERED,
                head_s=0.01,
            )
        )
    return command


def _serves_call(driver: builders.CoreDriver, call: str) -> bool:
    return not any(
        isinstance(command, node.RefuseCall) for command in driver.arrive(call)
    )


# Guards against a node that has been told of a newer version and still serves
# calls under the old one when the new one must be in force.
def test_a_node_serves_no_call_once_its_version_must_be_replaced() -> None:
    driver = _start_node()
    assert _serves_call(driver, "c0")
    driver.hear_version(2, "n1")
    assert _serves_call(driver, "c1")
    driver.pass_time(IN_FORCE_S)
    assert not _serves_call(driver, "c2")
    driver.configure(2)
    assert _serves_call(driver, "c3")


# Guards against a node that counts from when it was told, not from when the
# fleet knew the version, and so serves calls by an old one for too long.
def test_a_node_that_is_told_late_serves_no_call_by_its_old_version() -> None:
    driver = _start_node()
    driver.hear_version(2, "n1", age_s=OUTDATED_LIMIT_S)
    assert not _serves_call(driver, "c1")


# Guards against versions in quick succession that make a node look outdated
# although it gets each of them in time.
def test_quick_versions_that_arrive_in_time_refuse_no_call() -> None:
    driver = _start_node()
    for version in range(2, 40):
        driver.hear_version(version, "n1")
        driver.pass_time(0.3)
        driver.configure(version - 1)
        assert _serves_call(driver, f"c{version}")
    driver.pass_time(OUTDATED_LIMIT_S)
    assert not _serves_call(driver, "last")


# Guards against a fleet that refuses all calls since a version was accepted
# whose content no node can get or read.
@pytest.mark.parametrize("is_unreadable", [False, True])
def test_a_version_that_no_node_can_use_refuses_no_call(
    is_unreadable: bool,
) -> None:
    driver = _start_node()
    ref = builders.build_ref(2)
    if is_unreadable:
        driver.hear_version(2, "n1")
    else:
        driver.submit(node.VersionRead(ref=ref))
    driver.submit(
        node.ManifestFailed(ref=ref, detail="x", is_unreadable=is_unreadable)
    )
    driver.pass_time(10 * OUTDATED_LIMIT_S)
    assert _serves_call(driver, "c1")
    if is_unreadable:
        # Its peers go on naming it.
        driver.hear_version(2, "n1", age_s=10 * OUTDATED_LIMIT_S)
        assert _serves_call(driver, "c2")


# Guards against an entry that misses all gossip and sends calls that it routes
# by an old version to gates that have the new one.
def test_a_gate_refuses_calls_of_an_outdated_entry() -> None:
    driver = _start_node()
    driver.configure(2)
    assert isinstance(_offer(driver, "a", 1), node.StartWork)
    driver.pass_time(OUTDATED_LIMIT_S)
    refused = _offer(driver, "b", 1)
    assert isinstance(refused, node.RefuseWork)
    assert refused.reason is node.Reason.OUTDATED_CONFIGURATION
    for number, config in enumerate([None, 2, 3]):
        command = _offer(driver, f"c{number}", config)
        assert isinstance(command, node.StartWork)


# Guards against the same entry, which has to learn of the version from the
# gate's answers or refusals.
@pytest.mark.parametrize("is_refused", [False, True])
def test_an_entry_learns_of_a_version_from_a_gate(is_refused: bool) -> None:
    driver = _start_node()
    driver.submit(node.ServerWithdrawn())
    driver.pass_time(0.1)
    (sent,) = driver.arrive("c1")
    assert isinstance(sent, node.SendToPeer)
    known = configuration.KnownVersion(
        ref=builders.build_ref(2), known_at=driver.now - OUTDATED_LIMIT_S
    )
    event: node.Event
    if is_refused:
        event = node.AttemptFailed(
            call=sent.call,
            attempt=sent.attempt,
            run=node.RunState.NOT_RUN,
            reason=node.Reason.OUTDATED_CONFIGURATION,
            load=None,
            is_body_consumed=False,
            config=known,
        )
    else:
        event = node.AttemptAnswered(
            call=sent.call,
            attempt=sent.attempt,
            is_error=False,
            load=None,
            config=known,
        )
    commands = driver.submit(event)
    fetches = [c for c in commands if isinstance(c, node.FetchManifest)]
    assert [fetch.source for fetch in fetches] == [sent.address]
    assert any(isinstance(c, node.RefuseCall) for c in commands) == is_refused
    assert not _serves_call(driver, "c2")
    driver.configure(2)
    assert _serves_call(driver, "c3")


# Guards against calls that are routed by an old version at nodes whose link
# leaves too little for the download of the new one.
@pytest.mark.parametrize("seed", range(1, 4))
def test_no_node_on_a_full_link_serves_calls_by_an_old_version(
    seed: int,
) -> None:
    network = virtual_links.LinkedNetwork(
        count=NODES, seed=seed, zones=ZONES, bytes_per_s=LINK_BYTES_PER_S
    )
    network.accept(1, b"small")
    network.run(SETTLED_S)
    for number in NARROW_NODES:
        network.narrow(number, NARROW_BYTES_PER_S, loss=NARROW_LOSS)
    network.accept(2, CONTENT)
    network.run(IN_FORCE_S)
    served_by_old = [
        state.node
        for state in list(network.nodes.values())
        if state.versions.ref.version == 1 and network.serves_call(state.node)
    ]
    assert served_by_old == []


# Guards against a node that waits for a change in a read which a silent store
# has lost, and so hears of the next change seconds after the store's return.
@pytest.mark.parametrize("left_s", [0.0, 0.5, 1.0, 1.6, 2.0, 2.5, 3.0, 4.0])
def test_a_change_after_a_silent_outage_is_in_force_in_time(
    left_s: float,
) -> None:
    network = virtual_links.LinkedNetwork(
        count=10, seed=1, zones=4, bytes_per_s=LINK_BYTES_PER_S
    )
    network.accept(1, b"small")
    # The reads of nodes that do not follow the store are not due meanwhile.
    network.run(1.5 * SETTLED_S)
    network.fall_silent(left_s)
    network.run(OUTAGE_S)
    network.store.is_up = True
    network.run(CONTACT_S)
    network.accept(2, b"small too")
    network.run(IN_FORCE_S)
    assert network.versions() == {2}


# Guards against a download that is begun anew before it can end, so that a
# node on a full link never gets a new version.
@pytest.mark.parametrize("seed", range(1, 4))
def test_nodes_on_full_links_get_the_version_in_the_end(seed: int) -> None:
    network = virtual_links.LinkedNetwork(
        count=NODES, seed=seed, zones=ZONES, bytes_per_s=LINK_BYTES_PER_S
    )
    network.accept(1, b"small")
    network.run(SETTLED_S)
    for number in NARROW_NODES:
        network.narrow(number, NARROW_BYTES_PER_S, loss=NARROW_LOSS)
    network.accept(2, CONTENT)
    network.run(4 * len(CONTENT) / NARROW_BYTES_PER_S)
    assert network.versions() == {2}
