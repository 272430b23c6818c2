"""A configuration with many routes on slow links, under virtual time."""

import random
import string

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_standins import virtual_links
import pytest

NODES = 88
ZONES = 5
ROUTES = 1200
# 10 Mbit/s, of which calls use only a small part.
LINK_BYTES_PER_S = 1_250_000.0
# Promised time for a new version to be in force on all nodes.
IN_FORCE_S = 2.5
# A node may send 6 KB/s of control traffic, and 2,600 changes are made a day.
BYTES_PER_CHANGE = 6000 * 86400 / 2600
SEEDS = range(1, 4)
# Before that, each started node waits for changes at the store itself.
SETTLED_S = 25.0


def _write_routes(count: int) -> bytes:
    rng = random.Random(1)

    def draw(size: int) -> str:
        return "".join(rng.choices(string.ascii_lowercase, k=size))

    routes = "".join(
        f'[[routes]]\nname = "{draw(8)}"\nhost = "{draw(6)}.example"\n'
        f'path_prefix = "/{draw(8)}/"\nservice = "shop"\n'
        "idempotent = true\npriority = 'normal'\nmax_runs = 3\n"
        "deadline_ms = 2500\ntarget_ms = 400\n"
        for _ in range(count)
    )
    return configuration.encode_manifest(
        configuration.Manifest(
            version=ids.ConfigVersion(2),
            parent=ids.Digest(""),
            change_id="",
            author="",
            note="",
            created_at="",
            files={"rules.toml": routes},
        )
    )


CONTENT = _write_routes(ROUTES)


def _start_network(seed: int) -> virtual_links.LinkedNetwork:
    network = virtual_links.LinkedNetwork(
        count=NODES, seed=seed, zones=ZONES, bytes_per_s=LINK_BYTES_PER_S
    )
    network.accept(1, b"small")
    network.run(SETTLED_S)
    assert network.versions() == {1}
    return network


# Guards against a configuration that fills the links of the nodes that forward
# it, and so delays calls and later versions.
@pytest.mark.parametrize("seed", SEEDS)
def test_many_routes_stay_within_the_control_traffic_of_a_link(
    seed: int,
) -> None:
    network = _start_network(seed)
    network.sent_bytes.clear()
    network.accept(2, CONTENT)
    network.run(IN_FORCE_S)
    assert network.versions() == {2}
    assert max(network.sent_bytes.values()) <= BYTES_PER_CHANGE


# Guards against repeated downloads: a starting node reads the same content
# under a later version number, and used to fetch it once for each number.
@pytest.mark.parametrize("seed", SEEDS)
def test_content_that_is_being_fetched_is_not_fetched_again(seed: int) -> None:
    network = _start_network(seed)
    network.accept(2, CONTENT)
    for number in range(20):
        network.run(IN_FORCE_S / 20)
        network.renumber(3 + number)
        network.start(NODES + number)
    network.run(IN_FORCE_S)
    assert 1 not in network.versions()
    assert network.repeated_fetches == 0
