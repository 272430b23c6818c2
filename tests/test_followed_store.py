"""A node that follows the operator's table against an oracle of that table.

The stand-in forgets its history, loses answers, answers from the past and is
away; whatever it does, what the node holds is what the table was at some
version, and the versions never go back.
"""

import asyncio
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_store import client
from marjoramledge_store import followed
from returns import result

TABLE = "operator"
_KEYS = strategies.sampled_from(["config", "evacuate/a", "evacuate/b"])


class _Tables:
    """Tables of rows in memory, with the faults of a store."""

    def __init__(self) -> None:
        self.version = 1
        self.history: list[tuple[int, dict[str, bytes]]] = [(1, {})]
        self.known_from = 1
        self.fault: client.StoreError | None = None
        self.lag = 0
        self.fleet: dict[str, bytes] = {}

    @property
    def rows(self) -> dict[str, bytes]:
        return self.history[-1][1]

    def change(self, rows: dict[str, bytes]) -> None:
        self.version += 1
        self.history.append((self.version, rows))

    async def close(self) -> None:
        """Nothing is open."""

    async def list_rows(
        self, table: str
    ) -> result.Result[followed.Rows, client.StoreError]:
        if self.fault is not None:
            return result.Failure(self.fault)
        if table != TABLE:
            return result.Success(
                followed.Rows(
                    rows=dict(self.fleet),
                    removed=frozenset(),
                    version=self.version,
                )
            )
        version, rows = self.history[-1 - min(self.lag, len(self.history) - 1)]
        return result.Success(
            followed.Rows(rows=rows, removed=frozenset(), version=version)
        )

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[followed.Rows, client.StoreError]:
        assert table == TABLE
        assert wait_s > 0.0
        if self.fault is not None:
            return result.Failure(self.fault)
        if after < self.known_from:
            return result.Failure(client.StoreError.HISTORY_GONE)
        old = next(rows for at, rows in self.history if at == after)
        new = self.rows
        return result.Success(
            followed.Rows(
                rows={k: v for k, v in new.items() if old.get(k) != v},
                removed=frozenset(old.keys() - new.keys()),
                version=self.version,
            )
        )

    async def put_row(
        self, table: str, key: str, value: bytes
    ) -> result.Result[None, client.StoreError]:
        assert table != TABLE
        if self.fault is not None:
            return result.Failure(self.fault)
        self.fleet[key] = value
        return result.Success(None)


class FollowedStoreMachine(stateful.RuleBasedStateMachine):
    """The oracle is the stand-in's own history."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = _Tables()
        self.store = followed.ChangeFeedStore(
            tables=self.tables, operator_table=TABLE
        )
        self.known = configuration.NO_VERSION

    @stateful.rule(key=_KEYS, value=strategies.binary(max_size=3))
    def operator_writes(self, key: str, value: bytes) -> None:
        """Write one row."""
        text = value.hex().encode()
        self.tables.change({**self.tables.rows, key: text})

    @stateful.rule(key=_KEYS)
    def operator_removes(self, key: str) -> None:
        """Remove one row, which may not be there."""
        rows = {k: v for k, v in self.tables.rows.items() if k != key}
        self.tables.change(rows)

    @stateful.rule()
    def history_is_forgotten(self) -> None:
        """Forget all changes up to now."""
        self.tables.known_from = self.tables.version

    @stateful.rule(
        fault=strategies.sampled_from(
            [
                None,
                client.StoreError.NO_ANSWER,
                client.StoreError.UNREACHABLE,
            ]
        )
    )
    def store_fails_or_returns(self, fault: client.StoreError | None) -> None:
        """Let the store be away, or back."""
        self.tables.fault = fault

    @stateful.rule(lag=strategies.integers(min_value=0, max_value=2))
    def whole_reads_lag(self, lag: int) -> None:
        """Let reads of a whole table come from the past."""
        self.tables.lag = lag

    @stateful.rule()
    def node_reads(self) -> None:
        """Let the node read; check what it holds."""
        read = asyncio.run(self.store.wait_version(self.known, 1.0))
        if isinstance(read, result.Failure):
            return
        row = read.unwrap()
        if row is None:
            return
        assert row.ref.version >= self.known.version
        self.known = row.ref
        content = asyncio.run(self.store.get_manifest(row.ref.digest))
        held = followed.decode_rows(content.unwrap())
        past = [rows for _, rows in self.tables.history]
        assert {k: v.encode() for k, v in held.items()} in past

    @stateful.rule()
    def node_reads_from_a_sound_store(self) -> None:
        """Let the node read; what it holds is the table of now."""
        self.tables.fault = None
        self.tables.lag = 0
        self.node_reads()
        read = asyncio.run(self.store.wait_version(self.known, 1.0)).unwrap()
        if read is None:
            assert not self.tables.rows
            return
        content = asyncio.run(self.store.get_manifest(read.ref.digest))
        held = followed.decode_rows(content.unwrap())
        assert {k: v.encode() for k, v in held.items()} == self.tables.rows


TestFollowedStore = FollowedStoreMachine.TestCase
TestFollowedStore.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)


def test_nodes_that_start_find_nodes_and_departed_servers() -> None:
    async def keep_and_read() -> None:
        tables = _Tables()
        store = followed.ChangeFeedStore(tables=tables, operator_table=TABLE)
        address = node.Address(host="10.0.0.1", port=7380)
        start = node.ServerStart(server=ids.ServerId("s"), born=7)
        member = node.Member(
            node=ids.NodeId("n"),
            address=address,
            zone=ids.ZoneName("a"),
            incarnation=node.STORED_INCARNATION,
            status=node.MemberStatus.ALIVE,
            service=ids.ServiceName("shop"),
            server=node.ServerState.WARM,
            slots=4,
        )
        await store.put_member(member)
        for number in range(20):
            other = ids.NodeId(f"other-{number}")
            await store.put_member(dataclasses.replace(member, node=other))
        await store.put_departure(start)
        fleet = (await store.read_fleet(member.node, 8)).unwrap()
        assert member in fleet.members
        assert len(fleet.members) == 8
        assert fleet.departures == (start,)
        tables.fleet["node/m"] = b"not JSON"
        broken = await store.read_fleet(member.node, 8)
        assert broken == result.Failure(client.StoreError.REJECTED)

    asyncio.run(keep_and_read())
