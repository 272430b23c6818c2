"""Entries of other writers: nested too deeply, out of range, or no JSON."""

import asyncio
import json
import typing

import hypothesis
from hypothesis import strategies
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _announcements
from marjoramledge_node import _wire
from marjoramledge_platform import _announcements as platform_announcements
from marjoramledge_platform import _dialect as platform_dialect
from marjoramledge_platform import _units
from marjoramledge_store import client
from marjoramledge_store import followed
import pytest
from returns import result

NESTED = b"[" * 100_000
HUGE = b"9" * 5000
MEMBER = {"host": "10.0.0.1", "port": 7380, "zone": "a"}
TARGET = "/api/instances/i-1/heartbeat"
HEARTBEAT: dict[str, typing.Any] = {
    "address": "10.0.0.1:8080",
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 4},
    "status": {"state": "ready", "seqNo": 4, "coldLeft": "0ms"},
}


def _encode(**changes: object) -> bytes:
    return json.dumps({**MEMBER, **changes}).encode()


ODD_ROWS = {
    "nested": NESTED,
    "nested field": b'{"host": ' + NESTED,
    "no JSON": b"\xff\x00",
    "empty": b"",
    "a list": b"[]",
    "a number": b"1e400",
    "huge number": b'{"port": ' + HUGE + b"}",
    "infinite port": _encode(port=float("inf")),
    "port out of range": _encode(port=99999),
    "negative port": _encode(port=-1),
    "no port": json.dumps({"host": "10.0.0.1", "zone": "a"}).encode(),
    "a port of another type": _encode(port=[1]),
    "a name for an address": _encode(host="example.org"),
    "no address": _encode(host=None),
    "slots out of range": _encode(slots=10**12),
    "negative slots": _encode(slots=-1),
    "slots of another type": _encode(slots={}),
}


class _Tables:
    """A table with the given rows."""

    def __init__(self, rows: dict[str, bytes]) -> None:
        self._rows = rows

    async def close(self) -> None:
        """Do nothing, since nothing is open."""

    async def list_rows(
        self, _table: str
    ) -> result.Result[followed.Rows, client.StoreError]:
        return result.Success(
            followed.Rows(
                rows=dict(self._rows), removed=frozenset(), version=1
            )
        )

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[followed.Rows, client.StoreError]:
        raise NotImplementedError

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> result.Result[None, client.StoreError]:
        raise NotImplementedError


def _read_fleet(rows: dict[str, bytes]) -> client.FleetRows:
    store = followed.ChangeFeedStore(
        tables=_Tables(rows), operator_table="operator"
    )
    return asyncio.run(store.read_fleet(ids.NodeId("n"), 128)).unwrap()


# Guards against nodes that end, or read no member any more, because of one
# row of another writer.
@pytest.mark.parametrize("name", ODD_ROWS)
@pytest.mark.parametrize("prefix", ["node/", "departed/"])
def test_an_odd_row_is_reported_and_the_others_hold(
    prefix: str, name: str
) -> None:
    rows = {
        "node/good": _encode(),
        "departed/gone": b'{"born": 7}',
        f"{prefix}odd": ODD_ROWS[name],
    }
    fleet = _read_fleet(rows)
    assert [member.node for member in fleet.members] == ["good"]
    assert fleet.departures == (
        node.ServerStart(server=ids.ServerId("gone"), born=7),
    )
    (invalid,) = fleet.invalid_rows
    assert invalid.startswith(f"{prefix}odd: ")
    assert len(invalid) < 300


# Guards against a row of a later build, with more fields, that is taken for an
# odd one.
def test_a_row_may_have_further_fields() -> None:
    fleet = _read_fleet({"node/good": _encode(later=1)})
    assert [member.node for member in fleet.members] == ["good"]


# Guards against a member that is stored, and can't be sent in a message.
@hypothesis.given(
    port=strategies.integers() | strategies.floats(),
    slots=strategies.integers() | strategies.text(),
)
def test_every_member_that_is_read_can_be_sent(
    port: object, slots: object
) -> None:
    rows = {"node/odd": _encode(port=port, slots=slots)}
    fleet = _read_fleet(rows)
    _wire.encode_members(fleet.members)
    assert len(fleet.members) + len(fleet.invalid_rows) == 1


def _change(path: str, value: object) -> bytes:
    fields = json.loads(json.dumps(HEARTBEAT))
    *parents, last = path.split(".")
    for parent in parents:
        fields = fields[parent]
    fields[last] = value
    whole = json.loads(json.dumps(HEARTBEAT))
    target = whole
    for parent in parents:
        target = target[parent]
    target[last] = value
    return json.dumps(whole).encode()


ODD_HEARTBEATS = {
    "nested": NESTED,
    "nested field": b'{"info": ' + NESTED,
    "no JSON": b"\xff",
    "a list": b"[]",
    "huge number": b'{"born": ' + HUGE + b"}",
    "infinite born": _change("born", float("inf")),
    "born out of range": _change("born", 2**80),
    "port out of range": _change("address", "10.0.0.1:99999"),
    "a name for an address": _change("address", "example.org:80"),
    "odd digits": _change("address", "10.0.0.1:8²"),
    "slots out of range": _change("info.slots", 10**12),
    "no slots": _change("info.slots", 0),
    "infinite cold time": _change("status.coldLeft", "1e400s"),
    "no number": _change("status.coldLeft", "nans"),
    "negative cold time": _change("status.coldLeft", "-5s"),
}


# Guards against a node that fails, or believes nonsense of its server, because
# of an odd heartbeat.
@pytest.mark.parametrize("name", ODD_HEARTBEATS)
def test_an_odd_heartbeat_is_refused(name: str) -> None:
    read = platform_announcements.read_announcement(
        "POST", TARGET, ODD_HEARTBEATS[name], "10.0.0.1"
    )
    assert isinstance(read, result.Failure), read


def test_a_sound_heartbeat_is_accepted() -> None:
    read = platform_announcements.read_announcement(
        "POST", TARGET, json.dumps(HEARTBEAT).encode(), "10.0.0.1"
    )
    assert isinstance(read.unwrap(), node.ServerAnnounced)


@pytest.mark.parametrize("body", [NESTED, b'{"port": ' + HUGE + b"}"])
def test_an_odd_announcement_is_refused(body: bytes) -> None:
    read = _announcements.read_announcement(
        "PUT", _announcements.SERVER_TARGET, body, "10.0.0.1"
    )
    assert isinstance(read, result.Failure)


# Guards against figures of a server that no message can carry.
@pytest.mark.parametrize("text", ["0,0,0,100", f"0,0,{10**30},1", "9" * 5000])
def test_a_load_out_of_range_is_ignored(text: str) -> None:
    headers = {"Server-Load": text}
    assert platform_dialect.DIALECT.read_slots(headers) is None


@pytest.mark.parametrize("text", ["nans", "infs", "1e400s", "-1s", "-0.1ms"])
def test_a_duration_must_be_finite(text: str) -> None:
    with pytest.raises(ValueError):
        _units.parse_seconds(text)
