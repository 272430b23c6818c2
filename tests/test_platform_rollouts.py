"""Roll-outs on the platform: its rows, and six node processes."""

import asyncio
import collections.abc
import json
import time
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_platform import _operator
from marjoramledge_platform import _rollout_rows
from marjoramledge_platform import _settings
from marjoramledge_platform import _store
from marjoramledge_store import client
import platform_deployment
import platform_restored_store
import pytest
import test_platform_adapter

SHOP: typing.Final = ids.ServiceName("shop")
ROW: typing.Final = "rollout/shop"
ZONES: typing.Final = ("north", "south") * 3
# Ends a test that hangs; not a performance bound.
HANG_TIMEOUT_S: typing.Final = 90.0


def _read_orders(text: str) -> configuration.RolloutOrder:
    content = json.dumps(
        {
            "config": json.dumps(test_platform_adapter.CONFIG),
            ROW: text,
        }
    ).encode()
    read = _operator.read_configuration(content, {}).unwrap()
    assert read.services
    return read.rollouts[SHOP]


def test_an_order_is_identified_by_the_number_of_its_row() -> None:
    text = json.dumps({"service": "shop", "to": "v2", "duration": "12s"})
    first, second = _read_orders(f"{text}\n7"), _read_orders(f"{text}\n9")
    assert (first.version, first.duration_s) == ("v2", 12.0)
    assert (first.order, second.order) == ("7", "9")
    assert not first.problem


# Guards against an order that makes nodes reject the whole configuration.
@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        '{"to": "v2"}',
        '{"to": "v2", "duration": "soon"}',
        '{"to": "v2", "duration": "-3s"}',
        '{"to": "", "duration": "12s"}',
        '{"to": 3, "duration": "12s"}',
        '{"to": "v2", "duration": "12s", "service": "other"}',
    ],
)
def test_an_invalid_order_is_kept_with_its_problem(text: str) -> None:
    assert _read_orders(f"{text}\n7").problem


def test_roll_outs_are_enabled_by_the_terms() -> None:
    bounds: dict[str, typing.Any] = {
        "grace": "6s",
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 56,
    }
    assert _settings.read_core_options(bounds).rollouts is None
    bounds |= {"exposeShare": 0.2, "rollback": "4000ms"}
    assert _settings.read_core_options(bounds).rollouts == (
        node.RolloutOptions(expose_share=0.2, reversal_limit_s=4.0)
    )


def test_a_row_is_written_only_if_it_is_unchanged() -> None:
    async def write() -> None:
        host, port = "127.0.0.1", 0
        for port in range(21000, 21100):
            store = platform_restored_store.RestoredStore(
                hosts={"node": host}, port=port
            )
            try:
                await store.start()
                break
            except OSError:
                continue
        tables = _store.PlatformTables(
            address=node.Address(host=host, port=port)
        )
        rows = _rollout_rows.PlatformRolloutRows(tables=tables)
        row = node.RolloutRow(
            service=SHOP,
            version=ids.ServerVersion("v2"),
            phase=node.RolloutPhase.RUNNING,
        )
        try:
            number = store.write("op", ROW, {"to": "v2", "duration": "9s"})
            listed = (await tables.list_rows("op")).unwrap()
            assert listed.rows[ROW].endswith(f"\n{number}".encode())
            assert (await rows.read_rollout(SHOP)).unwrap() is None
            first = (await rows.write_rollout(SHOP, row, "")).unwrap()
            again = await rows.write_rollout(SHOP, row, "")
            assert again.failure() is client.StoreError.CONFLICT
            assert (await rows.read_rollout(SHOP)).unwrap() == first
            assert first.concerns(row.version, ids.OrderId(str(number)))
            second = await rows.write_rollout(SHOP, row, first.etag)
            assert second.unwrap().etag != first.etag
            stored = store.read("status")[ROW]
            assert json.loads(stored) == {"state": "running", "to": "v2"}
        finally:
            await tables.close()
            await store.stop()

    asyncio.run(write())


def _run(
    story: collections.abc.Callable[
        [platform_deployment.Site], collections.abc.Awaitable[None]
    ],
) -> None:
    """Play a story at a site whose last two servers are of version v2."""

    async def play() -> None:
        site = platform_deployment.Site(machine_zones=ZONES)
        for machine in site.machines[-2:]:
            machine.server.version = "v2"
        async with asyncio.timeout(HANG_TIMEOUT_S):
            async with site.run():
                for _ in range(3):
                    site.operator.add_route()
                await asyncio.sleep(2.0)
                await story(site)

    asyncio.run(play())


def _read_state(site: platform_deployment.Site) -> str:
    row = site.store.read("status").get(ROW)
    return "" if row is None else str(json.loads(row)["state"])


# Guards against a part of the path that no node takes: announced versions,
# the operator's row, datagrams, and the answer in the store.
@pytest.mark.parametrize(
    ("error_share", "state"), [(0.0, "completed"), (0.5, "reverted")]
)
def test_an_order_is_answered_in_the_store(
    error_share: float, state: str
) -> None:
    async def story(site: platform_deployment.Site) -> None:
        for machine in site.machines[-2:]:
            machine.server.error_share = error_share
        site.store.write(
            "op", ROW, {"service": "shop", "to": "v2", "duration": "12s"}
        )
        assert await site.wait_until(lambda: _read_state(site), 5.0)
        assert _read_state(site) == "running"
        assert await site.wait_until(
            lambda: _read_state(site) != "running", 20.0
        )
        assert _read_state(site) == state
        decided_at = time.monotonic()
        await asyncio.sleep(1.5)
        stopped = "v2" if state == "reverted" else "v1"
        late = [
            run
            for run in site.runs
            if run.version == stopped and run.at > decided_at + 0.5
        ]
        assert not late

    _run(story)
