"""Roll-outs in datagrams, documents, announcements and the product's store."""

import asyncio
import json
import typing

from marjoramledge_cli import _fleet_client
from marjoramledge_cli import _reports
from marjoramledge_core import _rollout_exposure
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _announcements
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _metrics_port
from marjoramledge_node import _wire
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
from marjoramledge_standins import platform_service
from marjoramledge_store import client
import pytest
from returns import result
import rollout_fleet

SHOP: typing.Final = ids.ServiceName("shop")
VERSION: typing.Final = ids.ServerVersion("v2")
ORDER: typing.Final = """
[[rollout]]
service = "shop"
version = "v2"
duration_ms = 12000
"""


def _build_message(
    *rollouts: node.RolloutNotice, updates: tuple[node.Member, ...] = ()
) -> node.Message:
    return node.Message(
        kind=node.MessageKind.ROLLOUT,
        sender=ids.NodeId("n1"),
        sender_address=node.Address(host="127.0.0.1", port=7001),
        sequence=0,
        target=ids.NodeId("n1"),
        config=configuration.NO_VERSION,
        updates=updates,
        suspicions=(),
        rollouts=rollouts,
    )


# Guards against clocks that are compared: the receiver's clock differs.
def test_states_and_evidence_are_sent_with_ages() -> None:
    counts = node.ResponseCounts(responses=9, failures=4, slow=2)
    state = node.RolloutState(
        service=SHOP,
        version=VERSION,
        order=ids.OrderId("7"),
        phase=node.RolloutPhase.PROMOTING,
        started_at=100.0,
        changed_at=108.0,
        reason="no more faults",
    )
    report = node.EvidenceReport(
        run=3,
        number=5,
        kinds=(
            node.KindEvidence(
                kind=ids.KindName("page"),
                old=counts,
                new=node.ResponseCounts(),
            ),
        ),
    )
    message = _build_message(node.RolloutNotice(state=state, report=report))
    sent = _wire.encode_message(message, 110.0)
    (received,) = _wire.decode_message(sent, 30.0).unwrap().rollouts
    assert received.report == report
    assert received.state.started_at == pytest.approx(20.0)
    assert received.state.changed_at == pytest.approx(28.0)
    assert received.state.phase is node.RolloutPhase.PROMOTING
    assert received.state.reason == state.reason


def test_a_member_record_has_the_version_of_its_server() -> None:
    driver = builders.CoreDriver()
    driver.configure()
    server = builders.build_server()
    fields = {
        "service": "shop",
        "port": server.port,
        "slots": 4,
        "connections": 40,
        "state": "warm",
        "version": "v2",
    }
    read = _announcements.read_announcement(
        "PUT", "/server", json.dumps(fields).encode(), "127.0.0.1"
    )
    driver.submit(read.unwrap())
    myself = driver.state.membership.myself
    sent = _wire.encode_message(_build_message(updates=(myself,)), 1.0)
    (member,) = _wire.decode_message(sent, 1.0).unwrap().updates
    assert member.server_version == VERSION


# Guards against headers and datagrams that grow where no roll-out is ordered.
def test_without_orders_messages_are_unchanged() -> None:
    driver = builders.CoreDriver(
        options=node.Options(stop_limit_s=30.0, rollouts=node.RolloutOptions())
    )
    driver.configure()
    driver.learn_peer("n1")
    for command in driver.pass_time(5.0):
        if isinstance(command, node.SendMessage):
            assert command.message.kind is not node.MessageKind.ROLLOUT
            assert not command.message.rollouts


def _parse(
    inventory: str,
) -> result.Result[
    configuration.Configuration, tuple[configuration.Problem, ...]
]:
    return configuration.parse_documents(
        {
            "inventory.toml": builders.INVENTORY + inventory,
            "rules.toml": builders.RULES,
        }
    )


def test_an_order_of_the_inventory_is_read_and_planned() -> None:
    before, after = _parse("").unwrap(), _parse(ORDER).unwrap()
    order = after.rollouts[SHOP]
    assert (order.version, order.duration_s) == (VERSION, 12.0)
    again = _parse(ORDER + 'order = "second"\n').unwrap()
    assert again.rollouts[SHOP].order != order.order
    changes = configuration.compare_configurations(before, after)
    assert any("rollouts.shop.version" in str(change) for change in changes)


@pytest.mark.parametrize(
    ("inventory", "problem"),
    [
        (ORDER.replace("shop", "other"), "service"),
        (ORDER + ORDER, "service"),
        (ORDER.replace("12000", "3"), "duration_ms"),
        (ORDER.replace('version = "v2"\n', ""), "version"),
    ],
)
def test_problems_of_an_order_are_reported(
    inventory: str, problem: str
) -> None:
    problems = _parse(inventory).failure()
    assert [str(each) for each in problems if f".{problem}:" in str(each)]


def test_the_stores_row_is_written_only_if_it_is_unchanged() -> None:
    async def write() -> None:
        port = deployment.find_free_port("127.0.0.1")
        store = client.StoreClient(base_url=f"http://127.0.0.1:{port}")
        server = await platform_service.start_platform("127.0.0.1", port)
        row = node.RolloutRow(
            service=SHOP,
            version=VERSION,
            phase=node.RolloutPhase.RUNNING,
            order=ids.OrderId("first"),
        )
        try:
            assert (await store.read_rollout(SHOP)).unwrap() is None
            first = (await store.write_rollout(SHOP, row, "")).unwrap()
            assert (await store.read_rollout(SHOP)).unwrap() == first
            assert first.concerns(VERSION, row.order)
            again = await store.write_rollout(SHOP, row, "")
            assert again.failure() is client.StoreError.CONFLICT
            second = await store.write_rollout(SHOP, row, first.etag)
            assert second.unwrap().etag != first.etag
            late = await store.write_rollout(SHOP, row, first.etag)
            assert late.failure() is client.StoreError.CONFLICT
        finally:
            await store.close()
            server.close()

    asyncio.run(write())


# Guards against a busy kind that uses up the exposure of a quiet one.
def test_rare_kinds_are_exposed_too() -> None:
    budget = _rollout_exposure.ExposureBudget()
    spent = dict.fromkeys(("busy", "quiet"), 0)
    for number in range(4000):
        budget.earn(0.1)
        kind = "quiet" if number % 50 == 0 else "busy"
        spent[kind] += budget.spend(ids.KindName(kind))
    assert sum(spent.values()) <= 0.08 * 4000
    assert spent["quiet"] >= 0.5 * 80


# Guards against a status that the command can't read, or that lacks counts.
def test_the_status_shows_the_state_the_reason_and_the_counts() -> None:
    fleet = rollout_fleet.Fleet(
        versions=[rollout_fleet.OLD] * 4 + [rollout_fleet.NEW] * 2
    )
    fleet.order(rollout_fleet.build_order())
    fleet.error_shares[rollout_fleet.NEW] = 0.5
    fleet.run(6.0, calls_per_s=200.0)
    state = fleet.states[0]
    document = {
        "node": "n0",
        "zone": "north",
        "version": 1,
        "is_store_up": True,
        "is_drained_by_order": False,
        "gate": {"running": 0, "queued": 0, "limit": 4},
        "members": [],
        "rollouts": node.describe_rollouts(state, fleet.now),
    }
    content = json.dumps(document).encode()
    status = _fleet_client.parse_status(content).unwrap()
    text = _reports.format_status(status)
    assert "Roll-out of shop to v2 (order 1): reverted, stored" in text
    assert "more failures" in text
    assert "kind page: old" in text


def test_metrics_show_the_phase_and_the_exposure() -> None:
    fleet = rollout_fleet.Fleet(
        versions=[rollout_fleet.OLD] * 4 + [rollout_fleet.NEW] * 2
    )
    fleet.order(rollout_fleet.build_order())
    fleet.run(3.0, calls_per_s=200.0)

    class _Engine:
        state = fleet.states[0]

        def now(self) -> float:
            return fleet.now

    port = _metrics_port.MetricsPort(
        engine=typing.cast(_engine.Engine, _Engine()),
        counts=_counts.Counts(),
        count_suppressed_lines=lambda: 0,
    )
    values = {
        sample.name: sample.value
        for family in port.collect()
        for sample in family.samples
    }
    assert values["marjoramledge_rollout_phase_shop"] == 1.0
    calls = values["marjoramledge_rollout_calls_shop"]
    assert 0 < values["marjoramledge_rollout_exposed_shop"] < 0.1 * calls
