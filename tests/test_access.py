"""Authorization of callers by their keys, and what the server is told."""

import asyncio
import dataclasses
import typing

from aiohttp import test_utils
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _headers
from marjoramledge_node import _peer_port
from marjoramledge_node import _upstream
from marjoramledge_standins import builders
import pytest
from returns import result

KEY = "a-key-of-alder"
ALDER = configuration.Workspace(
    name=ids.WorkspaceName("alder"),
    key_digests=frozenset({configuration.digest_key(KEY.encode())}),
    priority=configuration.Priority.CRITICAL,
)


def build_configuration(
    *workspaces: configuration.Workspace, public_kinds: tuple[str, ...] = ()
) -> configuration.Configuration:
    """Build a configuration with workspaces and public kinds."""
    plain = builders.build_configuration()
    return configuration.Configuration(
        organisation=plain.organisation,
        services=tuple(plain.services.values()),
        zones=tuple(plain.zones.values()),
        kinds=tuple(
            dataclasses.replace(kind, is_public=kind.name in public_kinds)
            for kind in plain.kinds
        ),
        measuring=plain.measuring,
        default_deadline_s=plain.default_deadline_s,
        workspaces=configuration.WorkspaceTable(workspaces),
    )


def _start(
    *workspaces: configuration.Workspace, public_kinds: tuple[str, ...] = ()
) -> builders.CoreDriver:
    driver = builders.CoreDriver()
    declared = build_configuration(*workspaces, public_kinds=public_kinds)
    driver.submit(
        node.ManifestFetched(ref=builders.build_ref(1), configuration=declared)
    )
    driver.submit(
        node.VersionRead(ref=builders.build_ref(1), started_at=driver.now)
    )
    driver.submit(node.ServerAnnounced(server=builders.build_server()))
    return driver


def _arrive(
    driver: builders.CoreDriver, *credentials: str
) -> node.RunOnServer | node.RefuseCall:
    call = dataclasses.replace(
        builders.build_call(f"c{len(driver.out)}"), credentials=credentials
    )
    for command in driver.submit(call):
        if isinstance(command, node.RunOnServer | node.RefuseCall):
            return command
    raise AssertionError("the call was neither run nor refused")


# Guards against a request that runs without a key of any configuration, and
# against an internal error on odd credentials.
@pytest.mark.parametrize(
    ("credentials", "reason"),
    [
        ((), node.Reason.UNKNOWN_KEY),
        (("",), node.Reason.UNKNOWN_KEY),
        (("Bearer",), node.Reason.UNKNOWN_KEY),
        (("Bearer  ",), node.Reason.UNKNOWN_KEY),
        (("Bearer other",), node.Reason.UNKNOWN_KEY),
        (("Basic " + KEY,), node.Reason.UNKNOWN_KEY),
        ((KEY,), node.Reason.UNKNOWN_KEY),
        (("Bearer " + 10000 * "k",), node.Reason.UNKNOWN_KEY),
        (("Bearer \udcff",), node.Reason.UNKNOWN_KEY),
        (("Bearer " + KEY, "Bearer " + KEY), node.Reason.BAD_REQUEST),
    ],
)
def test_a_request_without_one_known_key_is_refused(
    credentials: tuple[str, ...], reason: node.Reason
) -> None:
    refusal = _arrive(_start(ALDER), *credentials)
    assert isinstance(refusal, node.RefuseCall)
    assert (refusal.reason, refusal.run) == (reason, node.RunState.NOT_RUN)


# Guards against an ordinary request that is refused, or runs without the name
# and the priority of its workspace.
@pytest.mark.parametrize("scheme", ["Bearer", "bearer"])
def test_a_known_key_selects_the_workspace(scheme: str) -> None:
    driver = _start(ALDER)
    run = _arrive(driver, f"{scheme} {KEY}")
    assert isinstance(run, node.RunOnServer)
    assert run.workspace == "alder"
    (call,) = driver.state.calls.values()
    assert call.kind.priority is configuration.Priority.CRITICAL
    assert call.kind.name == "page"


# Guards against a gate of a peer that queues a call by its route's priority.
def test_a_peer_gets_the_workspace_and_its_priority() -> None:
    driver = builders.CoreDriver()
    driver.submit(
        node.ManifestFetched(
            ref=builders.build_ref(1), configuration=build_configuration(ALDER)
        )
    )
    driver.learn_peer("n1")
    call = dataclasses.replace(
        builders.build_call("c"), credentials=(f"Bearer {KEY}",)
    )
    (sent,) = (
        command
        for command in driver.submit(call)
        if isinstance(command, node.SendToPeer)
    )
    assert sent.workspace == "alder"
    formatted = _headers.format_kind(sent.service, sent.kind)
    parsed = _headers.parse_kind(formatted)
    assert parsed is not None
    assert parsed.priority is configuration.Priority.CRITICAL


# Guards against public requests that are refused, or that are taken for those
# of a workspace without its key.
@pytest.mark.parametrize(
    ("credentials", "workspace"),
    [
        ((), ""),
        (("Bearer other",), ""),
        ((f"Bearer {KEY}",), "alder"),
        (2 * (f"Bearer {KEY}",), ""),
    ],
)
def test_a_public_kind_needs_no_key(
    credentials: tuple[str, ...], workspace: str
) -> None:
    run = _arrive(_start(ALDER, public_kinds=("page",)), *credentials)
    assert isinstance(run, node.RunOnServer)
    assert run.workspace == workspace


# Guards against changed requests where no workspaces are configured.
def test_without_workspaces_nothing_is_checked_or_told() -> None:
    run = _arrive(_start(), "Bearer other")
    assert isinstance(run, node.RunOnServer)
    assert run.workspace is None
    headers = _headers.Headers({"Authorization": "x", "W": "y"})
    _headers.set_workspace(headers, "W", run.workspace)
    assert dict(headers) == {"Authorization": "x", "W": "y"}


# Guards against a key that reaches the backend server, and against a caller
# that names a workspace itself.
@pytest.mark.parametrize("workspace", ["alder", ""])
def test_the_key_is_replaced_by_the_workspace(workspace: str) -> None:
    headers = _headers.Headers(
        [
            ("authorization", f"Bearer {KEY}"),
            ("w", "smuggled"),
            ("W", "again"),
            ("X-Other", "kept"),
        ]
    )
    _headers.set_workspace(headers, "W", workspace)
    expected = {"X-Other": "kept"}
    if workspace:
        expected["W"] = workspace
    assert dict(headers) == expected


class _Upstream:
    """Keeps the requests that a gate sends to its backend server."""

    def __init__(self) -> None:
        self.sent: list[_upstream.OutgoingRequest] = []

    async def send_to_server(
        self, outgoing: _upstream.OutgoingRequest, *_rest: object
    ) -> _upstream.SendResult:
        """Keep a request and fail it."""
        self.sent.append(outgoing)
        return result.Failure(_upstream._OUTCOME_UNKNOWN)


async def _offer(headers: dict[str, str]) -> _headers.Headers:
    """Offer a request to a gate; return what its server would receive."""
    driver = _start(ALDER)
    upstream = _Upstream()
    keys = _auth.parse_keys("1:a-secret-of-this-test").unwrap()
    address = driver.state.membership.myself.address
    engine = _engine.Engine(
        state=driver.state, rng=driver.rng, clock=lambda: driver.now
    )
    for command in typing.get_args(node.Command):
        if not hasattr(command, "attempt"):
            engine.connect(command, lambda _command: None)
    port = _peer_port.PeerPort(
        engine=engine,
        upstream=typing.cast(_upstream.Upstream, upstream),
        keys=keys,
        guard=node.ReplayGuard(),
        handle_document_request=typing.cast(typing.Any, None),
        counts=_counts.Counts(),
        workspace_header="W",
    )
    stamp = _auth.Stamper(run="r-").stamp()
    content = _auth.signed_request_content(
        "GET", "/pages/1", _auth.signed_offer_subject("a.0", "", None), b""
    )
    signed = _auth.signed_message_content(stamp, address, content)
    request = test_utils.make_mocked_request(
        "GET",
        "/pages/1",
        headers={
            "Host": "shop.example",
            _headers.ATTEMPT: "a.0",
            _headers.STAMP: str(stamp),
            _headers.AUTH: keys.sign_header(signed),
            _headers.DEADLINE: "1000",
            **headers,
        },
    )
    await port.serve(request)
    engine.stop()
    return upstream.sent[0].headers


# Guards against a peer's gate that drops the workspace, or passes on the key
# or a caller's own value, also where the entry lists no workspaces yet.
@pytest.mark.parametrize(
    ("named", "expected"), [("alder", "alder"), ("", None), (None, None)]
)
def test_a_gate_forwards_the_workspace_of_the_entry(
    named: str | None, expected: str | None
) -> None:
    headers = {"Authorization": f"Bearer {KEY}", "W": named or "smuggled"}
    if named is not None:
        headers[_headers.WORKSPACE] = named
    sent = asyncio.run(_offer(headers))
    assert "Authorization" not in sent
    assert sent.get("W") == expected
