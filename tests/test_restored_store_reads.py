"""Reads of a restored store: histories that are gone, odd builds and eras."""

import asyncio
import copy
import time
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _departure_keeper
from marjoramledge_node import _engine
from marjoramledge_standins import builders
from marjoramledge_store import _change_feed
from marjoramledge_store import followed
import pytest
import restored_table
from returns import result

ZONE = "evacuate/a"
CONFIG = restored_table.CONFIG
PEER = node.Address(host="127.0.0.1", port=1)


# Guards against an evacuation that is kept for ever: it began before the
# store's history does, and ended before any node had read the restored store.
@pytest.mark.parametrize("kept_changes", [8, 0])
def test_an_old_evacuation_that_ends_at_the_return_ends(
    kept_changes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_change_feed, "MAX_COPY_AGE_S", 0.05)
    tables = restored_table.Tables()
    tables.change(ZONE, b"{}")
    reader = restored_table.Node(tables)
    reader.read()
    for number in range(1, 20):
        tables.change(CONFIG, str(number).encode())
        reader.read()
    copied = copy.deepcopy(tables.state)
    time.sleep(0.1)
    tables.change(CONFIG, b"20")
    reader.read()
    tables.restore(copied)
    tables.history_start = copied.version - kept_changes
    tables.change(ZONE, None)
    tables.change(CONFIG, b"20")
    for _ in range(2):
        reader.read()
    assert ZONE not in reader.rows


def _build_ref(era: int, number: int, digest: str) -> configuration.VersionRef:
    return configuration.VersionRef(
        version=configuration.pack_version(era, number),
        digest=ids.Digest(digest),
    )


def _start_node() -> builders.CoreDriver:
    """Start a node that holds number 5 of the second era."""
    driver = builders.CoreDriver(
        name="n9",
        options=node.Options(stop_limit_s=30.0, waits_for_version=True),
    )
    driver.submit(
        node.ManifestFetched(
            ref=_build_ref(2, 5, "rows"),
            configuration=builders.build_configuration(),
        )
    )
    return driver


def _name_version(
    driver: builders.CoreDriver, ref: configuration.VersionRef
) -> list[node.Command]:
    return driver.submit(
        node.MessageReceived(
            message=node.Message(
                kind=node.MessageKind.PING,
                sender=ids.NodeId("n1"),
                sender_address=PEER,
                sequence=1,
                target=ids.NodeId("n9"),
                config=ref,
                updates=(),
                suspicions=(),
            )
        )
    )


# Guards against nodes of an older build that name a number of a lost history
# without its era, after which no change in the new era would be taken.
@pytest.mark.parametrize("digest", ["rows", "lost"])
def test_a_number_without_an_era_raises_no_version(digest: str) -> None:
    driver = _start_node()
    _name_version(driver, _build_ref(0, 11, digest))
    assert driver.state.versions.ref == _build_ref(2, 5, "rows")
    commands = _name_version(driver, _build_ref(2, 8, "changed"))
    fetches = [c for c in commands if isinstance(c, node.FetchManifest)]
    assert [fetch.ref.version for fetch in fetches] == [
        _build_ref(2, 8, "changed").version
    ]


# Guards against a node that hears of a change from nodes of an older build
# only, and waits for its next read in half a minute.
def test_a_newer_number_without_an_era_makes_a_node_read_the_store() -> None:
    driver = _start_node()
    # Two others of the zone follow the store.
    driver.learn_peer("n1", zone="north")
    driver.learn_peer("n2", zone="north")
    driver.pass_time(0.01)
    driver.submit(node.VersionReadEnded(is_success=True))
    _name_version(driver, _build_ref(2, 5, "rows"))
    driver.pass_time(1.2)
    _name_version(driver, _build_ref(0, 11, "changed"))
    commands = driver.pass_time(0.01)
    assert any(isinstance(each, node.ReadVersion) for each in commands)


# Guards against reads without a pause: a store that names no era comes back
# from an older copy, so that its feed lacks the number and its table is old.
def test_a_read_that_is_ignored_as_older_fails() -> None:
    tables = restored_table.Tables()
    tables.era = configuration.UNKNOWN_ERA
    copied = copy.deepcopy(tables.state)
    tables.change(CONFIG, b"1")
    store = followed.ChangeFeedStore(
        tables=tables, operator_table=restored_table.TABLE
    )

    async def read() -> object:
        first = await store.wait_version(configuration.NO_VERSION, 1.0)
        row = first.unwrap()
        assert row is not None
        tables.restore(copied)
        tables.era = configuration.UNKNOWN_ERA
        return await store.wait_version(row.ref, 1.0)

    assert isinstance(asyncio.run(read()), result.Failure)


# Guards against an acknowledged departure that is lost: that of an earlier
# start of the same server is written again after it, under the same key.
def test_the_latest_departure_of_a_server_is_written_again() -> None:
    first = node.ServerStart(server=ids.ServerId("a"), born=1)
    second = node.ServerStart(server=ids.ServerId("a"), born=2)
    written: list[node.ServerStart] = []

    async def write(server: node.ServerStart) -> bool:
        await asyncio.sleep(0.05 if server == first else 0.0)
        written.append(server)
        return True

    async def run() -> None:
        keeper = _departure_keeper.DepartureKeeper(
            engine=typing.cast(_engine.Engine, None),
            write_departure=write,
            send_record=_never_send,
        )
        assert await keeper.keep(first)
        assert await keeper.keep(second)
        written.clear()
        await keeper.rewrite()
        await keeper.close()

    asyncio.run(run())
    assert written == [second]


async def _never_send(_address: node.Address) -> bool:
    raise AssertionError("the store confirms each departure")
