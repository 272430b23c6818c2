"""Requests and operator commands end to end, over real processes."""

import asyncio
import collections.abc
import contextlib
import functools
import hashlib
import json
import pathlib
import signal
import socket
import time
import typing

import aiohttp
from marjoramledge_standins import deployment
from marjoramledge_standins import measurement
import pytest

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "kitabalcony"
SHOP = "shopfront.kitabalcony.example"
# At least 0.1 s apart; a deployment needs a few seconds to start.
WARM_UP_ATTEMPTS = 300
# Ends a hanging test; not a performance bound.
HANG_TIMEOUT_S = 60.0
LARGE_BYTES = 100 * 1024 * 1024
ZONES = ("sapporo-a", "sapporo-b", "obihiro")
SHOPS = tuple(
    deployment.VmPlan(
        name=f"shop-{number}",
        service="shopfront",
        zone=zone,
        server_flags=("--service-ms", "2", "--cold-s", "0.2"),
    )
    for number, zone in enumerate(ZONES)
)

# A server may get this many times the limit that it named, and some more.
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5

Answer = tuple[int, collections.abc.Mapping[str, str], bytes]
Run = collections.abc.Callable[
    [collections.abc.Coroutine[None, None, typing.Any]], typing.Any
]


class _Fleet:
    """A running deployment and a caller's session."""

    def __init__(
        self,
        *,
        running: deployment.Deployment,
        session: aiohttp.ClientSession,
    ) -> None:
        self.running = running
        self.session = session

    async def call(
        self,
        path: str,
        *,
        method: str = "GET",
        vm: int = 0,
        host: str = SHOP,
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Make a call; underscores in header names are sent as dashes."""
        sent = {name.replace("_", "-"): v for name, v in headers.items()}
        async with self.session.request(
            method,
            self.running.vms[vm].caller_url + path,
            data=body,
            headers={"Host": host, **sent},
        ) as response:
            return response.status, response.headers, await response.read()

    def runs_of(self, call: str, event: str = "run") -> list[str]:
        """List the servers that recorded an event of a call."""
        return [
            record.server
            for record in self.running.read_records()
            if (record.call, record.event) == (call, event)
        ]

    async def change_server(self, vm: int, **behaviour: object) -> None:
        """Change the behaviour of a stand-in server."""
        url = f"{self.running.vms[vm].server_url}/standin"
        async with self.session.put(url, json=behaviour) as response:
            await response.read()

    async def call_all(self, name: str, rounds: int) -> set[int]:
        """Make calls at all nodes at once, some rounds; return statuses."""
        statuses: set[int] = set()
        for number in range(rounds):
            answers = await asyncio.gather(
                *(
                    self.call("/kits/1", vm=vm, X_Call_Id=f"{name}{number}")
                    for vm in range(len(self.running.vms))
                )
            )
            statuses.update(status for status, _, _ in answers)
        return statuses

    def count_runs(self, server: str, name: str) -> int:
        """Count the runs at a server of calls whose id begins so."""
        return sum(
            record.event == "run"
            and record.server == server
            and record.call.startswith(name)
            for record in self.running.read_records()
        )


@contextlib.asynccontextmanager
async def _running_fleet(
    plans: collections.abc.Sequence[deployment.VmPlan] = SHOPS,
) -> collections.abc.AsyncIterator[_Fleet]:
    fleet = deployment.Deployment(plans=plans)
    try:
        await fleet.start()
        await fleet.apply(EXAMPLE)
        await _wait_until_warm(fleet)
        async with aiohttp.ClientSession() as session:
            yield _Fleet(running=fleet, session=session)
    finally:
        await fleet.stop()


async def _wait_until_warm(fleet: deployment.Deployment) -> None:
    output = ""
    for _ in range(WARM_UP_ATTEMPTS):
        _, output = await fleet.run_command("status", "--json")
        members = json.loads(output)["members"]
        states = [member["server"] for member in members]
        if states == ["warm"] * len(fleet.vms):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"the servers do not become warm: {output}")


@pytest.fixture(scope="module")
def shared() -> collections.abc.Iterator[tuple[Run, _Fleet]]:
    """Share a deployment among the tests that do not change it."""
    with asyncio.Runner() as runner:
        manager = _running_fleet()
        fleet = runner.run(manager.__aenter__())
        try:
            yield runner.run, fleet
        finally:
            runner.run(manager.__aexit__(None, None, None))


def test_a_caller_gets_its_own_answer(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    for vm in range(len(ZONES)):
        status, headers, body = run(
            fleet.call("/kits/1", vm=vm, X_Call_Id=f"own-{vm}")
        )
        assert status == 200
        assert json.loads(body)["call"] == f"own-{vm}"
        assert headers["Marjoramledge-Call"].startswith(f"shop-{vm}-")


def test_large_bodies_are_streamed_in_both_directions(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    node = fleet.running.vms[0].node
    assert node is not None
    before_mb = measurement.read_rss_mb(node.pid)
    content = bytes(1024 * 1024) * 100
    status, _, body = run(fleet.call("/orders", method="POST", body=content))
    assert status == 200
    assert json.loads(body)["body"] == hashlib.sha256(content).hexdigest()
    status, _, body = run(fleet.call(f"/kits/1?bytes={LARGE_BYTES}"))
    assert (status, len(body)) == (200, LARGE_BYTES)
    assert measurement.read_rss_mb(node.pid) - before_mb < 30


@pytest.mark.parametrize(
    ("host", "deadline_ms", "expected_status", "reason"),
    [
        ("nobody.example", "1000", 404, "unknown-service"),
        (SHOP, "0", 504, "deadline-passed"),
        (SHOP, "soon", 400, "bad-request"),
        (SHOP, "-5", 400, "bad-request"),
    ],
)
def test_requests_that_cannot_run_are_refused_as_not_run(
    shared: tuple[Run, _Fleet],
    host: str,
    deadline_ms: str,
    expected_status: int,
    reason: str,
) -> None:
    run, fleet = shared
    status, headers, body = run(
        fleet.call("/kits/1", host=host, Marjoramledge_Deadline_Ms=deadline_ms)
    )
    assert status == expected_status
    assert headers["Marjoramledge-Reason"] == reason
    assert headers["Marjoramledge-Run"] == "not-run"
    assert json.loads(body)["run"] == "not-run"


def test_a_deadline_reaches_the_server_and_ends_the_call(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    status, headers, _ = run(
        fleet.call(
            "/orders",
            method="POST",
            Marjoramledge_Deadline_Ms="150",
            X_Sleep_Ms="3000",
            X_Call_Id="late",
        )
    )
    assert status == 504
    assert headers.get("Marjoramledge-Run") in (None, "may-have-run")
    assert len(fleet.runs_of("late")) == 1


def test_system_headers_of_callers_are_not_forwarded(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    _, _, body = run(
        fleet.call(
            "/kits/1",
            Marjoramledge_Attempt="x.0",
            Marjoramledge_Auth="k1:00",
            Marjoramledge_Load="0;1;1",
            marjoramledge_run="not-run",
        )
    )
    assert json.loads(body)["system_headers"] == [
        "Marjoramledge-Call",
        "Marjoramledge-Deadline-Ms",
    ]


@pytest.mark.parametrize("attempt", [None, "c.0"])
def test_the_peer_port_rejects_requests_without_a_valid_signature(
    shared: tuple[Run, _Fleet], attempt: str | None
) -> None:
    run, fleet = shared
    headers = {"Host": SHOP, "X-Call-Id": "intruder"}
    if attempt is not None:
        headers["Marjoramledge-Attempt"] = attempt
        headers["Marjoramledge-Auth"] = "k1:" + "00" * 16

    async def intrude() -> int:
        url = f"http://{fleet.running.vms[0].peer_address}/status"
        async with fleet.session.get(url, headers=headers) as response:
            return response.status

    assert run(intrude()) == 403
    assert fleet.runs_of("intruder") == []


def test_an_order_is_not_retried_after_a_lost_answer(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    # No rule names the path, and an HTTP client would resend the method by
    # itself on a reused connection.
    run(fleet.call("/unnamed", X_Call_Id="before"))
    status, headers, _ = run(
        fleet.call("/unnamed", X_Drop_At="any", X_Call_Id="once")
    )
    assert status == 502
    assert headers["Marjoramledge-Run"] == "may-have-run"
    assert len(fleet.runs_of("once")) == 1


# Guards against an answer that stays lost although its request is idempotent.
# An entry avoids its local server while that is slow, which happens on a busy
# machine, so calls are made until the local server has run one.
def test_an_export_is_retried_elsewhere_after_a_lost_answer(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    for number in range(WARM_UP_ATTEMPTS):
        call = f"again-{number}"
        status, _, body = run(
            fleet.call("/exports/1", X_Drop_At="shop-0", X_Call_Id=call)
        )
        assert status == 200
        assert json.loads(body)["server"] != "shop-0"
        runs = fleet.runs_of(call)
        assert len(runs) == (2 if "shop-0" in runs else 1)
        if "shop-0" in runs:
            return
        run(asyncio.sleep(0.1))
    raise AssertionError("the server whose answers are dropped ran no call")


def test_a_truncated_answer_is_not_relayed_as_complete(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared
    status, headers, _ = run(
        fleet.call(
            "/unnamed?bytes=5000", X_Cut_At="2000", X_Call_Id="cut-small"
        )
    )
    assert status == 502
    assert headers["Marjoramledge-Reason"] == "answer-cut-short"
    assert headers["Marjoramledge-Run"] == "may-have-run"
    for vm in (0, 1):
        with pytest.raises(aiohttp.ClientPayloadError):
            run(fleet.call("/unnamed?bytes=500000", vm=vm, X_Cut_At="200000"))


def test_a_caller_that_hangs_up_cancels_its_request_at_the_server(
    shared: tuple[Run, _Fleet],
) -> None:
    run, fleet = shared

    async def hang_up() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await fleet.call(
                    "/kits/1", X_Sleep_Ms="1500", X_Call_Id="hung-up"
                )
        async with asyncio.timeout(5):
            while not fleet.runs_of("hung-up", "cancelled"):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    run(hang_up())


@pytest.mark.parametrize(
    "head",
    [
        "POST /orders HTTP/1.1\r\nHost: {host}\r\nContent-Length: 4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /orders HTTP/1.1\r\nHost: {host}\r\nContent-Length: 4\r\n"
        "Content-Length: 5\r\n\r\nabcde",
        "POST /orders HTTP/1.1\r\nHost: {host}\r\n"
        "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
        "GET /kits/1 HTTP/1.1\r\nHost: {host}\r\nHost: other\r\n\r\n",
        "GET /kits/1 HTTP/1.1\r\n\r\n",
        "GET /kits/1 HTTP/1.1\r\nHost: {host}\r\nX: a\x00b\r\n\r\n",
        "GET http://elsewhere/kits/1 HTTP/1.1\r\nHost: {host}\r\n\r\n",
        "CONNECT elsewhere:443 HTTP/1.1\r\nHost: {host}\r\n\r\n",
        "GET /" + "a" * 20000 + " HTTP/1.1\r\nHost: {host}\r\n\r\n",
        "nonsense\r\n\r\n",
    ],
)
def test_malformed_requests_reach_no_server(
    shared: tuple[Run, _Fleet], head: str
) -> None:
    _, fleet = shared
    vm = fleet.running.vms[0]
    before = len(fleet.running.read_records())
    with socket.create_connection((vm.host, vm.caller_port), 5) as connection:
        connection.sendall(head.replace("{host}", SHOP).encode("latin-1"))
        connection.settimeout(5)
        answer = connection.recv(4096)
    assert answer == b"" or answer.split()[1].startswith(b"4"), answer
    runs = fleet.running.read_records()[before:]
    assert runs == []


@pytest.mark.parametrize("size", [5, 200_000])
def test_a_client_that_expects_a_continue_gets_one(
    shared: tuple[Run, _Fleet], size: int
) -> None:
    _, fleet = shared
    vm = fleet.running.vms[0]
    head = (
        f"POST /orders HTTP/1.1\r\nHost: {SHOP}\r\n"
        f"Expect: 100-continue\r\nContent-Length: {size}\r\n\r\n"
    )
    with socket.create_connection((vm.host, vm.caller_port), 5) as connection:
        connection.sendall(head.encode())
        granted = connection.recv(4096)
        assert granted == b"HTTP/1.1 100 Continue\r\n\r\n"
        connection.sendall(bytes(size))
        assert connection.recv(4096).startswith(b"HTTP/1.1 200 OK")


def test_a_node_does_not_use_io_uring(shared: tuple[Run, _Fleet]) -> None:
    _, fleet = shared
    node = fleet.running.vms[0].node
    assert node is not None
    targets = []
    for entry in pathlib.Path(f"/proc/{node.pid}/fd").iterdir():
        # A connection may be closed while the descriptors are read.
        with contextlib.suppress(FileNotFoundError):
            targets.append(str(entry.readlink()))
    assert any("eventpoll" in name for name in targets)
    assert not any("io_uring" in name for name in targets)


def test_one_of_two_concurrent_changes_is_rejected() -> None:
    async def race() -> None:
        async with _running_fleet() as fleet:
            running = fleet.running
            changed = _copy_example(running.folder / "a", "12", "10")
            other = _copy_example(running.folder / "b", "220", "210")
            outcomes = await asyncio.gather(
                running.run_command(
                    "apply", str(changed), "--expect-version", "1"
                ),
                running.run_command(
                    "apply", str(other), "--expect-version", "1"
                ),
            )
            assert sorted(status for status, _ in outcomes) == [0, 3]
            (rejected,) = [text for status, text in outcomes if status == 3]
            assert "another change was accepted first" in rejected
            await running.set_faults("lose-answers")
            status, output = await running.run_command(
                "apply", str(EXAMPLE), "--note", "settled", "--wait"
            )
            assert status == 0, output
            await running.set_faults("down")
            status, output = await running.run_command(
                "apply", str(changed), "--timeout-s", "0.5"
            )
            assert status in (1, 4), output
            status, _, _ = await fleet.call("/kits/1")
            assert status == 200
            await running.set_faults("up")
            _, output = await running.run_command("history")
            versions = [line.split()[0] for line in output.splitlines()]
            assert versions == ["3", "2", "1"]
            assert "settled" in output

    asyncio.run(race())


def test_a_request_that_crashes_two_servers_is_quarantined() -> None:
    async def crash() -> None:
        async with _running_fleet() as fleet:
            call = functools.partial(
                fleet.call, "/kits/deadly", X_Crash="1", X_Call_Id="deadly"
            )
            for vm in (0, 1, 2, 0, 1):
                status, headers, _ = await call(vm=vm)
                assert status in (502, 503)
            assert headers["Marjoramledge-Reason"] == "quarantined"
            assert headers["Marjoramledge-Run"] == "not-run"
            assert int(headers["Retry-After"]) > 200
            assert len(fleet.runs_of("deadly", "crash")) <= 2
            # A request that differs only in its body or target is served.
            status, _, _ = await fleet.call("/kits/healthy", vm=2)
            assert status == 200

    asyncio.run(crash())


def test_a_version_accepted_just_before_an_outage_is_adopted() -> None:
    async def apply_and_stop_store() -> None:
        async with _running_fleet() as fleet:
            running = fleet.running
            changed = _copy_example(running.folder / "a", "12", "10")
            status, output = await running.run_command("apply", str(changed))
            await running.set_faults("down")
            assert status == 0, output
            for vm in running.vms:
                await _wait_for_version(running, 2, vm)
            # A node that starts now gets the version from its peers and
            # accepts no callers before.
            vm = running.vms[2]
            assert vm.node is not None
            await deployment.end_process(vm.node, signal.SIGTERM)
            with pytest.raises(aiohttp.ClientConnectorError):
                await fleet.call("/kits/1", vm=2)
            (running.folder / f"{vm.plan.name}-node.log").unlink()
            await running.start_node(vm)
            await _wait_for_version(running, 2, vm)
            status, _, _ = await fleet.call("/kits/1", vm=2)
            assert status == 200

    asyncio.run(apply_and_stop_store())


async def _wait_for_version(
    running: deployment.Deployment, version: int, vm: deployment.Vm
) -> None:
    """Wait until a node logs that it has adopted a version.

    The log is read because an operator's command takes a second or more to
    start on a busy machine.  The timeout only ends a hanging test; the time to
    adopt a version is checked under virtual time by other tests.
    """
    log = running.folder / f"{vm.plan.name}-node.log"
    adopted = f"config-adopted version {version}\n"
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while adopted not in log.read_text():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def test_a_zone_can_be_drained_while_the_store_is_down() -> None:
    async def drain_and_end() -> None:
        async with _running_fleet() as fleet:
            running = fleet.running
            await running.set_faults("down")
            flags = (
                "--zone",
                "obihiro",
                "--peers",
                running.vms[0].peer_address,
            )
            status, output = await running.run_command("drain", *flags)
            assert (status, output) == (0, "shop-2: drained by order\n")
            await asyncio.sleep(1.0)
            for number in range(20):
                call = f"drained-{number}"
                await fleet.call("/kits/1", vm=2, X_Call_Id=call)
                assert "shop-2" not in fleet.runs_of(call)
            status, output = await running.run_command(
                "drain", "--end", *flags
            )
            assert (status, output) == (0, "shop-2: takes work again\n")
            # An order is not hedged, as a slow page is on a busy machine.
            await fleet.call("/orders", method="POST", vm=2, X_Call_Id="ended")
            assert fleet.runs_of("ended") == ["shop-2"]
            status, _ = await running.run_command("drain", *flags[2:])
            assert status == 2

    asyncio.run(drain_and_end())


# Guards against the limit of a real server that its gate, or the gate of
# another node, does not keep to; the calls are served elsewhere.
def test_a_real_server_gets_no_more_than_the_limit_that_it_names() -> None:
    async def limit_server() -> None:
        async with _running_fleet() as fleet:
            assert await fleet.call_all("before-", 20) == {200}
            await fleet.change_server(0, rate_limit="1")
            await fleet.call_all("named-", 5)
            began_at = time.monotonic()
            assert await fleet.call_all("limited-", 60) == {200}
            elapsed_s = time.monotonic() - began_at
            runs = fleet.count_runs("shop-0", "limited-")
            assert runs <= LIMIT_RATIO * elapsed_s + LIMIT_SLACK
            await fleet.change_server(0, rate_limit="garbled")
            assert await fleet.call_all("garbled-", 10) == {200}

    asyncio.run(limit_server())


# Guards against new work for a real server that says in its answers only that
# it leaves.
def test_a_real_server_that_says_that_it_leaves_gets_no_call() -> None:
    async def leave() -> None:
        async with _running_fleet() as fleet:
            await fleet.change_server(0, is_leaving=True)
            await fleet.call_all("said-", 10)
            assert await fleet.call_all("after-", 30) == {200}
            assert fleet.count_runs("shop-0", "after-") == 0
            assert fleet.count_runs("shop-1", "after-") > 0

    asyncio.run(leave())


def test_a_planned_stop_finishes_calls_and_sends_new_ones_elsewhere() -> None:
    async def stop_under_calls() -> None:
        async with _running_fleet() as fleet:
            node = fleet.running.vms[0].node
            assert node is not None
            slow_call = asyncio.create_task(
                fleet.call("/orders", method="POST", X_Sleep_Ms="2500")
            )
            await asyncio.sleep(0.3)
            node.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            status, headers, body = await fleet.call("/kits/1")
            assert status == 200
            assert headers["Connection"] == "close"
            assert json.loads(body)["server"] != "shop-0"
            status, _, _ = await slow_call
            assert status == 200
            assert await node.wait() == 0

    asyncio.run(stop_under_calls())


def _copy_example(folder: pathlib.Path, old: str, new: str) -> pathlib.Path:
    folder.mkdir()
    for name in ("inventory.toml", "rules.toml"):
        text = (EXAMPLE / name).read_text()
        (folder / name).write_text(text.replace(old, new))
    return folder


ROUTES = """

[[routes]]
name = "pages"
host = "garden.example"
path_prefix = "/"
service = "shopfront"
idempotent = true

[[routes]]
name = "answers"
host = "garden.example"
path_prefix = "/plants/"
shares = { shopfront = 1, advisor = 1 }
idempotent = true
target_ms = 400
"""


def test_calls_are_routed_as_the_documents_say() -> None:
    async def call_by_routes() -> None:
        plans = [
            deployment.VmPlan(
                name=f"{service}-0",
                service=service,
                zone=ZONES[0],
                server_flags=("--service-ms", "2", "--cold-s", "0.2"),
            )
            for service in ("shopfront", "advisor")
        ]
        async with _running_fleet(plans) as fleet:
            running = fleet.running
            folder = running.folder / "routed"
            _copy_example(folder, "", "")
            with (folder / "rules.toml").open("a") as rules:
                rules.write(ROUTES)
            status, output = await running.run_command(
                "apply", str(folder), "--wait"
            )
            assert status == 0, output
            served = set()
            for number in range(30):
                call = f"split-{number}"
                host = "GARDEN.example"
                await fleet.call("/plants/1", host=host, X_Call_Id=call)
                served.update(fleet.runs_of(call))
            assert served == {"shopfront-0", "advisor-0"}
            for vm in range(2):
                call = f"page-{vm}"
                await fleet.call(
                    "/kits/1", host="garden.example", vm=vm, X_Call_Id=call
                )
                assert fleet.runs_of(call) == ["shopfront-0"]

    asyncio.run(call_by_routes())


def test_calls_to_a_cold_server_stay_within_its_rate() -> None:
    async def call_cold_server() -> None:
        plan = deployment.VmPlan(
            name="shop-0",
            service="shopfront",
            zone=ZONES[0],
            server_flags=(
                *("--service-ms", "2", "--cold-s", "3"),
                *("--cold-bears", "12", "--cold-calls-per-s", "8"),
            ),
        )
        async with _running_fleet([plan]) as fleet:
            running = fleet.running
            folder = running.folder / "cold"
            _copy_example(
                folder,
                "cold_concurrency = 2",
                "cold_concurrency = 12\ncold_calls_per_s = 6\ncold_ms = 3000",
            )
            status, output = await running.run_command(
                "apply", str(folder), "--wait"
            )
            assert status == 0, output
            (vm,) = running.vms
            assert vm.server is not None
            await deployment.end_process(vm.server, signal.SIGKILL)
            await running.start_server(vm)
            for number in range(60):
                await fleet.call("/kits/1", X_Call_Id=f"cold-{number}")
            events = [r.event for r in running.read_records()]
            assert "fell" not in events
            assert any(
                r.is_cold and r.event == "run" for r in running.read_records()
            )

    asyncio.run(call_cold_server())
