"""Calls at nodes that a new configuration reaches late."""

import random

from marjoramledge_core import node
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_links
import pytest

NODES = 88
ZONES = 5
# Promised time for a new version to be in force on all nodes.
IN_FORCE_S = 2.5
LINK_BYTES_PER_S = 1_250_000.0
# What calls leave of a full link, and the share of datagrams that it drops.
NARROW_BYTES_PER_S = 8_000.0
NARROW_LOSS = 0.5
NARROW_NODES = range(20, 60)
SETTLED_S = 25.0
# As large as the compressed configuration of 1,200 routes.
CONTENT = random.Random(1).randbytes(20_000)


def _serves_call(driver: builders.CoreDriver, call: str) -> bool:
    return not any(
        isinstance(command, node.RefuseCall) for command in driver.arrive(call)
    )


# Guards against a node that has been told of a newer version and still serves
# calls under the old one when the new one must be in force.
def test_a_node_serves_no_call_once_its_version_must_be_replaced() -> None:
    driver = builders.CoreDriver()
    driver.configure(1)
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    driver.learn_peer("n1")
    assert _serves_call(driver, "c0")
    driver.hear_version(2, "n1")
    assert _serves_call(driver, "c1")
    driver.pass_time(IN_FORCE_S)
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
