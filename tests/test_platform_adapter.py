"""Adapters for the platform's settings, announcements, rows and headers."""

import json
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_platform import _announcements
from marjoramledge_platform import _dialect
from marjoramledge_platform import _operator
from marjoramledge_platform import _settings
from marjoramledge_platform import _units
import pytest
from returns import result

HEARTBEAT: dict[str, typing.Any] = {
    "address": "10.1.0.9:8080",
    "born": 1700000000000,
    "info": {"service": "shop", "version": "v1", "zone": "a", "slots": 9},
    "status": {"state": "ready", "seqNo": 4, "coldLeft": "1500ms"},
}
CONFIG: dict[str, typing.Any] = {
    "version": "00000007",
    "limits": {},
    "listeners": [
        {
            "host": "shop.example",
            "rules": [
                {
                    "name": "order",
                    "kind": "unsafe",
                    "targetLatency": "400ms",
                    "priority": 1,
                    "match": {"pathPrefix": "/orders/"},
                    "action": {
                        "service": "shop",
                        "timeout": "1200ms",
                        "maxAttempts": 3,
                    },
                },
                {
                    "name": "page",
                    "kind": "safe",
                    "match": {"pathPrefix": "/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "shop", "weight": 90},
                            {"service": "next", "weight": 10},
                        ],
                        "timeout": "1s",
                        "maxAttempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": "shop",
            "healthPath": "/health",
            "maxConns": 220,
            "coldStart": "3s",
            "coldPerS": 20.0,
        }
    ],
}
REGIONS = {
    ids.ZoneName("a"): ids.RegionName("r"),
    ids.ZoneName("b"): ids.RegionName("r"),
}


def _read(body: object, action: str = "heartbeat") -> object:
    return _announcements.read_announcement(
        "POST",
        f"/api/instances/i-1/{action}",
        json.dumps(body).encode(),
        "10.1.0.9",
    )


def test_a_heartbeat_announces_a_server() -> None:
    read = _read(HEARTBEAT)
    assert isinstance(read, result.Success)
    event = read.unwrap()
    assert isinstance(event, node.ServerAnnounced)
    server = event.server
    assert server.start == node.ServerStart(
        server=ids.ServerId("i-1"), born=1700000000000
    )
    assert (server.host, server.port) == ("10.1.0.9", 8080)
    assert (server.slots, server.sequence, server.cold_left_s) == (9, 4, 1.5)
    assert server.is_cold


def test_draining_and_deregistering_name_the_start() -> None:
    status = {**HEARTBEAT["status"], "state": "draining"}
    draining = _read({**HEARTBEAT, "status": status})
    deregistered = _read({"born": 5}, "deregister")
    assert draining == result.Success(
        node.ServerDraining(
            server=node.ServerStart(
                server=ids.ServerId("i-1"), born=1700000000000
            )
        )
    )
    assert deregistered == result.Success(
        node.ServerWithdrawn(
            server=node.ServerStart(server=ids.ServerId("i-1"), born=5)
        )
    )


@pytest.mark.parametrize(
    "body",
    [
        [],
        {},
        {**HEARTBEAT, "info": None},
        {**HEARTBEAT, "info": {"service": 7, "slots": 9}},
        {**HEARTBEAT, "status": {"state": "asleep", "seqNo": 1}},
        {**HEARTBEAT, "status": {"state": "ready", "seqNo": "x"}},
        {**HEARTBEAT, "born": "yesterday"},
        {**HEARTBEAT, "address": 9},
    ],
)
def test_a_malformed_announcement_is_refused(body: object) -> None:
    assert isinstance(_read(body), result.Failure)


def _content(**rows: object) -> bytes:
    return json.dumps(
        {key: json.dumps(value) for key, value in rows.items()}
    ).encode()


def test_the_operators_rows_become_a_configuration() -> None:
    content = _content(config=CONFIG, **{"evacuate/b": {}})
    read = _operator.read_configuration(content, REGIONS).unwrap()
    order = read.find_kind("shop.example", "POST", "/orders/1")
    assert order is not None
    assert not order.idempotent
    assert (order.deadline_s, order.max_runs, order.target_s) == (1.2, 3, 0.4)
    page = read.find_kind("shop.example:80", "GET", "/pages/1")
    assert page is not None
    assert page.idempotent
    assert [share.weight for share in page.shares] == [90.0, 10.0]
    assert read.find_kind("other.example", "GET", "/") is None
    assert read.zone_takes_work(ids.ZoneName("a"))
    assert not read.zone_takes_work(ids.ZoneName("b"))
    service = read.services[ids.ServiceName("shop")]
    assert (service.cold_rate_per_s, service.cold_s) == (20.0, 3.0)


@pytest.mark.parametrize("content", [b"", b"[]", b"{}", _content(config={})])
def test_rows_without_a_valid_configuration_are_refused(
    content: bytes,
) -> None:
    read = _operator.read_configuration(content, REGIONS)
    assert isinstance(read, result.Failure)


def test_the_settings_file_sets_the_options_of_the_node() -> None:
    fields = {
        "local": {
            "node": "sidecar-a-1",
            "ip": "10.1.0.5",
            "zone": "a",
            "service": "shop",
            "appAddr": "10.1.0.5:8145",
        },
        "network": {
            "internalPorts": [7380, 7395],
            "listen": {
                "outbound": "10.1.0.5:8147",
                "ready": "10.1.0.5:8141",
                "control": "10.1.0.5:8144",
            },
            "zones": {"a": "r"},
        },
        "platform": {"platform": {"address": "10.2.0.1:8142"}},
        "terms": {
            "bounds": {
                "grace": "6s",
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 56,
            }
        },
    }
    settings = _settings.parse_settings(fields, keys="1:" + 16 * "k")
    options = settings.options
    assert options.peer_address == node.Address(host="10.1.0.5", port=7380)
    assert options.caller_service == "shop"
    # Calls accepted in the first half of the grace time may be aborted in its
    # last sixth; calls accepted later may not.
    assert options.core_options.stop_accept_s < 6.0 / 2
    assert 6.0 * 5 / 6 < options.core_options.stop_limit_s < 5.5
    assert options.core_options.repeats == node.FleetRetryBudget(
        ratio=0.2, slack=56
    )
    assert settings.store_address.port == 8142
    assert options.core_options.quota == node.QuotaBound(
        window_s=5.0, overage=0.1, slack=20.0
    )
    default_s = node.DEFAULT_OUTDATED_LIMIT_S
    assert options.core_options.outdated_limit_s == default_s


# Guards against calls that are served by an old configuration later than the
# deployment allows.
def test_the_bound_of_a_configuration_limits_outdated_ones() -> None:
    bounds = {
        "configApply": "2500ms",
        "grace": "6s",
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 56,
    }
    assert _settings.read_core_options(bounds).outdated_limit_s == 2.0


# Guards against limits that are applied by another bound than stated.
def test_the_bound_of_limits_is_read_from_the_settings() -> None:
    bounds = {
        "grace": "6s",
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 56,
        "quotaWindow": "2500ms",
        "quotaOverage": 0.2,
        "quotaSlack": 8,
    }
    assert _settings.read_core_options(bounds).quota == node.QuotaBound(
        window_s=2.5, overage=0.2, slack=8.0
    )


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_times_are_parsed_with_their_unit(text: str, seconds: float) -> None:
    assert _units.parse_seconds(text) == pytest.approx(seconds)


@pytest.mark.parametrize("text", ["", "5", "5m", None, 5])
def test_a_time_without_a_unit_is_refused(text: object) -> None:
    with pytest.raises(ValueError):
        _units.parse_seconds(text)


def test_answer_headers_and_statuses_are_translated() -> None:
    dialect = _dialect.DIALECT
    assert dialect.indicates_not_run(503, {"Not-Executed": "1"})
    assert not dialect.indicates_not_run(503, {})
    assert dialect.read_slots({"Server-Load": "3,0,8,250"}) == 8
    assert dialect.read_slowdown({"Server-Load": "3,0,8,250"}) == 2.5
    assert dialect.read_slowdown({"Server-Load": "3,0,8"}) is None
    assert dialect.read_slowdown({}) is None
    assert dialect.map_status(504, node.RunState.NOT_RUN) == 503
    assert dialect.map_status(503, node.RunState.MAY_HAVE_RUN) == 504
    assert dialect.map_status(404, node.RunState.NOT_RUN) == 404


# Guards against tenants of the platform whose keys or limits are lost.
def test_tenants_become_workspaces() -> None:
    rule = CONFIG["listeners"][0]["rules"][0]
    tenants = [
        {
            "name": "alder",
            "apiKeys": ["k1", "k2"],
            "priority": 0,
            "ratePerS": 12.5,
            "burst": 40,
        },
        {"name": "birch", "ratePerS": 0},
    ]
    document = {
        **CONFIG,
        "tenants": tenants,
        "listeners": [
            {"host": "shop.example", "rules": [{**rule, "public": True}]}
        ],
    }
    read = _operator.read_configuration(
        _content(config=document), REGIONS
    ).unwrap()
    alder = read.workspaces.find(b"k2")
    assert alder is not None
    assert alder is read.workspaces.find(b"k1")
    assert (alder.name, alder.priority) == ("alder", 0)
    assert (alder.rate_per_s, alder.burst) == (12.5, 40.0)
    birch = read.workspaces.get(ids.WorkspaceName("birch"))
    assert birch == configuration.Workspace(name=ids.WorkspaceName("birch"))
    order = read.find_kind("shop.example", "POST", "/orders/1")
    assert order is not None
    assert order.is_public
    plain = _operator.read_configuration(_content(config=CONFIG), REGIONS)
    assert not plain.unwrap().workspaces


# Guards against a header that a tenant's name would split.
@pytest.mark.parametrize(
    "tenant", [{}, {"name": ""}, {"name": "a\r\nb"}, {"name": 7}, 7]
)
def test_an_invalid_tenant_is_refused(tenant: object) -> None:
    content = _content(config={**CONFIG, "tenants": [tenant]})
    read = _operator.read_configuration(content, REGIONS)
    assert isinstance(read, result.Failure)


# Guards against a bound of revocations that is not applied, or is applied
# where the deployment does not ask for it.
@pytest.mark.parametrize(
    ("extra", "limit_s"),
    [
        ({}, None),
        ({"revoke": "5000ms"}, None),
        ({"strictRevoke": False, "revoke": "5000ms"}, None),
        ({"strictRevoke": True, "revoke": "5000ms"}, 5.0),
    ],
)
def test_the_bound_of_revocations_is_read(
    extra: dict[str, object], limit_s: float | None
) -> None:
    bounds = {
        "grace": "6s",
        "retryBudgetRatio": 0.2,
        "retryBudgetSlack": 56,
        **extra,
    }
    assert _settings.read_core_options(bounds).revocation_limit_s == limit_s
