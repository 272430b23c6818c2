"""Departures that hold after a restart of their node, without the store.

An acknowledged departure is in the store, or in its node's member record at
some peers, from which the process that takes the node's place gets it back.
"""

import asyncio
import collections.abc
import dataclasses
import json
import types
import typing

import aiohttp
from aiohttp import test_utils
import hypothesis
from hypothesis import strategies
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _announcements
from marjoramledge_node import _departure_keeper
from marjoramledge_node import _engine
from marjoramledge_node import _local_port
from marjoramledge_node import _wire
from marjoramledge_standins import builders
from marjoramledge_standins import virtual_network
import pytest
from returns import result

START = node.ServerStart(server=ids.ServerId("i-1"), born=1000)
SERVER = dataclasses.replace(builders.build_server(), start=START, sequence=5)
LATE = dataclasses.replace(SERVER, sequence=9)
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 10.0
# Time after its restart from which on a node is bound by the rules again.
CONTACT_S = 3.0

DEPARTURES = pytest.mark.parametrize(
    "departure", [node.ServerDraining, node.ServerWithdrawn]
)


def _build_network(count: int, seed: int) -> virtual_network.Network:
    """Build a fleet that has formed while the store was available."""
    network = virtual_network.Network(count=count, seed=seed)
    network.submit(network.address(1), node.ServerAnnounced(server=SERVER))
    network.run(5.0)
    assert network.is_agreed()
    network.store.is_up = False
    return network


def _accepts_work(network: virtual_network.Network) -> bool:
    return network.nodes[network.address(1)].gate.accepts_work


# Guards against work for a server that has left: its departure was
# acknowledged in an outage of the store, and its node was killed (review,
# case 4), alone or together with others.
@DEPARTURES
@pytest.mark.parametrize("killed", [(1,), (1, 2, 3, 4, 5), (1, 3, 5, 7, 9)])
@pytest.mark.parametrize("incarnation", [0, 10**12])
def test_a_restarted_node_recalls_a_departure_from_its_peers(
    departure: type[node.ServerDraining | node.ServerWithdrawn],
    killed: tuple[int, ...],
    incarnation: int,
) -> None:
    network = _build_network(count=10, seed=len(killed))
    network.submit(network.address(1), departure(server=START))
    network.run(0.2)
    for number in killed:
        network.kill(number)
    network.run(0.7)
    for number in killed:
        network.start(number, incarnation, server=None)
    network.run(CONTACT_S)
    network.submit(network.address(1), node.ServerAnnounced(server=LATE))
    assert not _accepts_work(network)


# Guards against a late heartbeat that comes before the peers have answered.
def test_a_departure_that_is_recalled_late_still_applies() -> None:
    network = _build_network(count=10, seed=3)
    network.submit(network.address(1), node.ServerDraining(server=START))
    network.run(0.2)
    network.kill(1)
    network.start(1, 10**12, server=LATE)
    network.run(CONTACT_S)
    assert not _accepts_work(network)


# Guards against a departure that is lost with the peers that hold it, since
# nobody writes it once the store is back.
def test_a_recalled_departure_is_stored() -> None:
    left = builders.CoreDriver(name="n1")
    left.submit(node.ServerAnnounced(server=SERVER))
    left.submit(node.ServerWithdrawn(server=START))
    record = left.state.membership.myself
    assert record.departed == START
    driver = builders.CoreDriver(name="n1")
    commands = driver.submit(node.MembersReceived(members=(record,)))
    stored = [c for c in commands if isinstance(c, node.StoreDeparture)]
    assert [command.server for command in stored] == [START]
    assert driver.state.membership.myself.departed == START
    assert not driver.submit(node.MembersReceived(members=(record,)))


# Guards against a server that is ignored for ever once another start of it,
# or another server, has left.
@pytest.mark.parametrize("name", ["i-1", "i-2"])
def test_a_recalled_departure_does_not_concern_the_next_start(
    name: str,
) -> None:
    network = _build_network(count=6, seed=4)
    network.submit(network.address(1), node.ServerDraining(server=START))
    network.run(0.2)
    network.kill(1)
    following = node.ServerStart(server=ids.ServerId(name), born=2000)
    server = dataclasses.replace(SERVER, start=following)
    network.start(1, 10**12, server=server)
    network.run(CONTACT_S)
    assert _accepts_work(network)


# Guards against a departure that is lost on the way: records of a node may
# reach a peer in any order and more than once.
@hypothesis.given(order=strategies.lists(strategies.integers(0, 3)))
def test_a_peer_keeps_a_departure_whatever_order_records_arrive_in(
    order: list[int],
) -> None:
    driver = builders.CoreDriver(name="n0")
    driver.learn_peer("n1")
    known = driver.state.membership.members[ids.NodeId("n1")]
    records = [
        dataclasses.replace(known, incarnation=5),
        dataclasses.replace(known, incarnation=6, departed=START),
        dataclasses.replace(known, incarnation=9),
        dataclasses.replace(known, incarnation=4),
    ]
    for position in (*order, 1, *order):
        record = records[position]
        driver.submit(node.MembersReceived(members=(record,)))
    held = driver.state.membership.members[ids.NodeId("n1")]
    assert held.departed == START


# Guards against endless gossip with peers of an earlier build, which return a
# record without its departure.
def test_a_claim_that_lacks_the_departure_is_not_refuted() -> None:
    driver = builders.CoreDriver(name="n1")
    driver.submit(node.ServerAnnounced(server=SERVER))
    driver.submit(node.ServerDraining(server=START))
    myself = driver.state.membership.myself
    claim = dataclasses.replace(myself, departed=node.ANY_START)
    driver.submit(node.MembersReceived(members=(claim,)))
    assert driver.state.membership.myself == myself


@pytest.mark.parametrize("departed", [START, node.ANY_START])
def test_a_record_carries_its_departure(departed: node.ServerStart) -> None:
    driver = builders.CoreDriver()
    record = dataclasses.replace(
        driver.state.membership.myself, departed=departed
    )
    decoded = _wire.decode_members(_wire.encode_members([record]))
    assert decoded == result.Success(node.MembersReceived(members=(record,)))


class _Fleet:
    """A leaving server's node, whose store and peers may not answer."""

    def __init__(
        self, *, peers: int, answering: int, store: bool | None
    ) -> None:
        self.driver = builders.CoreDriver()
        for number in range(1, peers + 1):
            self.driver.learn_peer(f"n{number}")
        self.driver.submit(node.ServerAnnounced(server=SERVER))
        self.records: list[node.Member] = []
        self.writes = 0
        self._answering = answering
        self._store = store
        self.keeper = _departure_keeper.DepartureKeeper(
            engine=self.typed(),
            write_departure=self._write,
            send_record=self._send,
        )

    @property
    def state(self) -> node.NodeState:
        return self.driver.state

    def submit(self, event: node.Event) -> None:
        self.driver.submit(event)

    def typed(self) -> _engine.Engine:
        """Return this object, typed as an engine."""
        return typing.cast(_engine.Engine, self)

    async def _write(self, _server: node.ServerStart) -> bool:
        self.writes += 1
        if self._store is None:
            await asyncio.Event().wait()
        return bool(self._store)

    async def _send(self, _address: node.Address) -> bool:
        self.records.append(self.state.membership.myself)
        if len(self.records) > self._answering:
            await asyncio.Event().wait()
        return True

    async def announce_departure(self) -> int:
        """Let the server leave; return the status of the answer."""
        port = _local_port.LocalPort(
            engine=self.typed(),
            default_host="127.0.0.1",
            read_announcement=lambda *_: result.Success(
                node.ServerWithdrawn(server=START)
            ),
            contradicts=_contradict_nothing,
            keep_departure=self.keeper.keep,
        )
        request = test_utils.make_mocked_request(
            "DELETE",
            _announcements.SERVER_TARGET,
            payload=typing.cast(
                aiohttp.StreamReader,
                types.SimpleNamespace(read=_read_nothing),
            ),
        )
        async with asyncio.timeout(HANG_TIMEOUT_S):
            answer = await port.serve(request)
        return answer.status


async def _contradict_nothing(_server: node.Server) -> bool:
    return False


async def _read_nothing(_size: int) -> bytes:
    return json.dumps({}).encode()


def _run(operation: collections.abc.Coroutine[None, None, int]) -> int:
    return asyncio.run(operation)


# Guards against an acknowledgement that nothing outlives: the store fails, or
# doesn't answer, and too few peers hold the departure.
@pytest.mark.parametrize("store", [None, False])
@pytest.mark.parametrize(
    ("peers", "answering"), [(0, 0), (1, 0), (3, 0), (9, 1)]
)
def test_a_departure_that_nobody_holds_is_not_acknowledged(
    store: bool | None, peers: int, answering: int
) -> None:
    async def leave() -> int:
        fleet = _Fleet(peers=peers, answering=answering, store=store)
        status = await fleet.announce_departure()
        assert not fleet.state.gate.accepts_work
        await fleet.keeper.close()
        return status

    assert _run(leave()) == 503


@pytest.mark.parametrize("store", [None, False])
@pytest.mark.parametrize(("peers", "answering"), [(1, 1), (3, 2), (9, 9)])
def test_a_departure_that_peers_hold_is_acknowledged(
    store: bool | None, peers: int, answering: int
) -> None:
    async def leave() -> int:
        fleet = _Fleet(peers=peers, answering=answering, store=store)
        status = await fleet.announce_departure()
        assert {record.departed for record in fleet.records} == {START}
        # Its repetition needs no further confirmation.
        sent = len(fleet.records)
        assert await fleet.announce_departure() == status
        assert len(fleet.records) == sent
        await fleet.keeper.close()
        return status

    assert _run(leave()) == 204


def test_a_departure_that_is_stored_costs_no_request_to_peers() -> None:
    async def leave() -> int:
        fleet = _Fleet(peers=9, answering=9, store=True)
        status = await fleet.announce_departure()
        assert await fleet.announce_departure() == status
        assert (fleet.writes, fleet.records) == (1, [])
        await fleet.keeper.close()
        return status

    assert _run(leave()) == 204


# Guards against a departure that peers hold and that never reaches the store.
def test_a_held_departure_is_written_until_the_store_has_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_departure_keeper, "FIRST_WRITE_PAUSE_S", 0.0)

    async def leave() -> int:
        fleet = _Fleet(peers=3, answering=3, store=False)
        status = await fleet.announce_departure()
        for _ in range(2 * _departure_keeper.MAX_WRITES):
            await asyncio.sleep(0)
        await fleet.keeper.close()
        assert fleet.writes == _departure_keeper.MAX_WRITES
        return status

    assert _run(leave()) == 204
