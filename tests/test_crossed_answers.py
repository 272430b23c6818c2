"""Callers of real processes get their own answers while others disconnect.

Callers that left while the node was connecting to the server for their order
caused other callers to receive the answers of other calls.
"""

import asyncio
import collections
import collections.abc
import concurrent.futures
import json
import pathlib
import random
import re
import socket
import threading
import time

from marjoramledge_standins import deployment
import pytest

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "kitabalcony"
SHOP = "shopfront.kitabalcony.example"
SEED = 24
PATIENT_CALLERS = 24
# Duration of the load.  It isn't a number of calls, because a node with mixed
# up descriptors may stop serving altogether.
LOAD_S = 10.0
MAX_CALLS_PER_CONNECTION = 3
IMPATIENT_CALLERS = 4
MAX_STAY_S = 0.004
PAUSE_S = 0.02
# Ends a call whose answer does not arrive.  Longer than any deadline of the
# node: on a busy machine an answer may come late, and only one that never
# comes shows that its connection was lost.
CALL_TIMEOUT_S = 20.0
# At least 0.1 s apart; a deployment needs a few seconds to start.
WARM_UP_ATTEMPTS = 300
PLANS = tuple(
    deployment.VmPlan(
        name=f"shop-{zone}",
        service="shopfront",
        zone=zone,
        slots=64,
        server_flags=("--service-ms", "4", "--cold-s", "0.2"),
    )
    for zone in ("sapporo-a", "sapporo-b")
)
SHARED_DESCRIPTOR = re.compile(
    r"File descriptor \d+ is used by transport|Bad file descriptor"
)

Answers = collections.Counter[str]


class _Observations:
    """Results of the callers and suspicious log lines of the nodes."""

    def __init__(self, answers: Answers, lines: list[str]) -> None:
        self.answers = answers
        self.shared_descriptors = [
            line for line in lines if SHARED_DESCRIPTOR.search(line)
        ]


def _encode_call(call: str, *, is_order: bool) -> bytes:
    if not is_order:
        head = f"GET /kits/1 HTTP/1.1\r\nHost: {SHOP}\r\nX-Call-Id: {call}"
        return f"{head}\r\n\r\n".encode()
    body = call.encode()
    head = f"POST /orders HTTP/1.1\r\nHost: {SHOP}\r\nX-Call-Id: {call}"
    return f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def _classify_answer(connection: socket.socket, call: str) -> str:
    """Read one answer from a connection and classify it."""
    with connection.makefile("rb") as reader:
        status = reader.readline().split()[1]
        length = 0
        while line := reader.readline().strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        body = reader.read(length)
    if len(body) != length:
        return "cut"
    if status != b"200":
        return "not served"
    try:
        answered = json.loads(body)["call"]
    except (ValueError, KeyError):
        return "not whole"
    return "own" if answered == call else "crossed"


def _call_patiently(
    number: int, address: tuple[str, int], is_finished: threading.Event
) -> Answers:
    """Make sequential calls, several on each connection."""
    rng = random.Random(f"{SEED} patient {number}")
    answers: Answers = collections.Counter()
    call_count = 0
    while not is_finished.is_set():
        try:
            with socket.create_connection(
                address, timeout=CALL_TIMEOUT_S
            ) as connection:
                for _ in range(rng.randint(1, MAX_CALLS_PER_CONNECTION)):
                    call_count += 1
                    call = f"p{number}-{call_count}"
                    is_order = rng.random() < 0.5
                    connection.sendall(_encode_call(call, is_order=is_order))
                    answers[_classify_answer(connection, call)] += 1
        except (OSError, IndexError):
            answers["broken"] += 1
            time.sleep(PAUSE_S)
    return answers


def _call_impatiently(
    number: int, address: tuple[str, int], is_finished: threading.Event
) -> Answers:
    """Send orders and disconnect before they can be answered."""
    rng = random.Random(f"{SEED} impatient {number}")
    answers: Answers = collections.Counter()
    while not is_finished.is_set():
        answers["left"] += 1
        call = f"i{number}-{answers['left']}"
        try:
            with socket.create_connection(
                address, timeout=CALL_TIMEOUT_S
            ) as connection:
                connection.sendall(_encode_call(call, is_order=True))
                time.sleep(rng.random() * MAX_STAY_S)
        except OSError:
            answers["broken"] += 1
        time.sleep(rng.random() * PAUSE_S)
    return answers


def _call_nodes(addresses: list[tuple[str, int]]) -> Answers:
    """Run all callers for ``LOAD_S``; return the patient callers' answers.

    Patient and impatient callers are spread evenly over the nodes.
    """
    is_finished = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(
        PATIENT_CALLERS + IMPATIENT_CALLERS
    ) as pool:
        callers = [
            pool.submit(call, number, addresses[number % 2], is_finished)
            for call, count in (
                (_call_patiently, PATIENT_CALLERS),
                (_call_impatiently, IMPATIENT_CALLERS),
            )
            for number in range(count)
        ]
        time.sleep(LOAD_S)
        is_finished.set()
        return sum(
            (caller.result() for caller in callers[:PATIENT_CALLERS]),
            start=collections.Counter[str](),
        )


async def _wait_until_warm(fleet: deployment.Deployment) -> None:
    output = ""
    for _ in range(WARM_UP_ATTEMPTS):
        _, output = await fleet.run_command("status", "--json")
        states = [member["server"] for member in json.loads(output)["members"]]
        if states == ["warm"] * len(fleet.vms):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"the servers do not become warm: {output}")


async def _run_load() -> _Observations:
    fleet = deployment.Deployment(plans=PLANS)
    try:
        await fleet.start()
        await fleet.apply(EXAMPLE)
        await _wait_until_warm(fleet)
        addresses = [(vm.host, vm.caller_port) for vm in fleet.vms]
        answers = await asyncio.to_thread(_call_nodes, addresses)
        lines = [
            line
            for log in sorted(fleet.folder.glob("*-node.log"))
            for line in log.read_text().splitlines()
        ]
        return _Observations(answers, lines)
    finally:
        await fleet.stop()


@pytest.fixture(scope="module")
def observations() -> _Observations:
    """Run callers that wait next to callers that disconnect."""
    return asyncio.run(_run_load())


# Guards against answers that belong to another call or are incomplete.
def test_callers_get_their_own_answers_while_others_disconnect(
    observations: _Observations,
) -> None:
    answers = observations.answers
    assert answers["own"] > 0
    assert answers["crossed"] == answers["not whole"] == 0, answers


# Guards against a descriptor that is closed while its owner still uses it.
def test_no_descriptor_is_shared_while_callers_disconnect(
    observations: _Observations,
) -> None:
    count = len(observations.shared_descriptors)
    assert count == 0, (
        count,
        observations.shared_descriptors[:2],
        observations.answers,
    )


# Guards against a connection that ends although neither side closed it,
# because its descriptor was closed by code that does not own it.
def test_callers_lose_no_connection_while_others_disconnect(
    observations: _Observations,
) -> None:
    answers = observations.answers
    assert answers["broken"] == answers["cut"] == 0, answers
