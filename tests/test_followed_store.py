"""The followed store, checked against the history of the operator's table.

The in-memory table truncates its history, fails, and returns stale reads.  In
all cases the content that a node holds is that of some version of the table,
and the versions never decrease.
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
    """In-memory tables that can fail as a store does."""

    def __init__(self) -> None:
        self.version = 1
        self.history: list[tuple[int, dict[str, bytes]]] = [(1, {})]
        self.history_start = 1
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
        """Do nothing, since nothing is open."""

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
        if after < self.history_start:
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
    """Compares what a node reads with the history of the table."""

    def __init__(self) -> None:
        super().__init__()
        self.tables = _Tables()
        self.store = followed.ChangeFeedStore(
            tables=self.tables, operator_table=TABLE
        )
        self.last_ref = configuration.NO_VERSION

    @stateful.rule(key=_KEYS, value=strategies.binary(max_size=3))
    def operator_writes(self, key: str, value: bytes) -> None:
        """Write one row."""
        text = value.hex().encode()
        self.tables.change({**self.tables.rows, key: text})

    @stateful.rule(key=_KEYS)
    def operator_removes(self, key: str) -> None:
        """Remove one row, which may be absent."""
        rows = {k: v for k, v in self.tables.rows.items() if k != key}
        self.tables.change(rows)

    @stateful.rule()
    def history_is_truncated(self) -> None:
        """Drop the history of all changes so far."""
        self.tables.history_start = self.tables.version

    @stateful.rule(
        fault=strategies.sampled_from(
            [
                None,
                client.StoreError.NO_ANSWER,
                client.StoreError.UNREACHABLE,
            ]
        )
    )
    def store_fails_or_recovers(self, fault: client.StoreError | None) -> None:
        """Make the store fail, or work again."""
        self.tables.fault = fault

    @stateful.rule(lag=strategies.integers(min_value=0, max_value=2))
    def whole_table_reads_lag(self, lag: int) -> None:
        """Make reads of the whole table return an older version."""
        self.tables.lag = lag

    @stateful.rule()
    def node_reads(self) -> None:
        """Read as a node does; check that the content was current once."""
        read = asyncio.run(self.store.wait_version(self.last_ref, 1.0))
        if isinstance(read, result.Failure):
            return
        row = read.unwrap()
        if row is None:
            return
        assert row.ref.version >= self.last_ref.version
        self.last_ref = row.ref
        content = asyncio.run(self.store.get_manifest(row.ref.digest))
        held = followed.decode_rows(content.unwrap())
        past = [rows for _, rows in self.tables.history]
        assert {k: v.encode() for k, v in held.items()} in past

    @stateful.rule()
    def node_reads_from_a_working_store(self) -> None:
        """Read from a working store; check that the content is current."""
        self.tables.fault = None
        self.tables.lag = 0
        self.node_reads()
        read = asyncio.run(
            self.store.wait_version(self.last_ref, 1.0)
        ).unwrap()
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


def test_a_starting_node_reads_stored_members_and_departures() -> None:
    async def store_and_read() -> None:
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
        broken = (await store.read_fleet(member.node, 8)).unwrap()
        (invalid,) = broken.invalid_rows
        assert invalid.startswith("node/m: ")
        assert len(broken.members) == 8
        assert broken.departures == (start,)

    asyncio.run(store_and_read())


class _SlowTables(_Tables):
    """Tables whose next answer to a read of changes can be delayed."""

    def __init__(self) -> None:
        super().__init__()
        self.delay: asyncio.Event | None = None

    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[followed.Rows, client.StoreError]:
        answer = await super().wait_for_changes(table, after, wait_s)
        delay, self.delay = self.delay, None
        if delay is not None:
            await delay.wait()
        return answer


def test_a_late_answer_does_not_bring_an_older_row_back() -> None:
    # Guards against a revoked key that comes back: two reads run at once, and
    # the answer to the earlier one arrives after that to the later one.
    async def read_twice_at_once() -> dict[str, str]:
        tables = _SlowTables()
        tables.change({"config": b'"key"', "evacuate/a": b'"1"'})
        store = followed.ChangeFeedStore(tables=tables, operator_table=TABLE)
        await store.wait_version(configuration.NO_VERSION, 1.0)
        tables.change({"config": b'"key, other"', "evacuate/a": b'"1"'})
        tables.delay = delay = asyncio.Event()
        late = asyncio.create_task(
            store.wait_version(configuration.NO_VERSION, 1.0)
        )
        await asyncio.sleep(0)
        tables.change({"config": b'"other"', "evacuate/a": b'"1"'})
        await store.wait_version(configuration.NO_VERSION, 1.0)
        delay.set()
        await late
        tables.change({"config": b'"other"', "evacuate/a": b'"2"'})
        read = await store.wait_version(configuration.NO_VERSION, 1.0)
        row = read.unwrap()
        assert row is not None
        content = await store.get_manifest(row.ref.digest)
        return dict(followed.decode_rows(content.unwrap()))

    rows = asyncio.run(read_twice_at_once())
    assert rows == {"config": '"other"', "evacuate/a": '"2"'}
