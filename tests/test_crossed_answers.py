"""Callers of real programs get their own answers, whatever others break off.

Guards against MIXED: callers who left while an order was being connected to
its server made other callers get the answers of other calls.
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
PATIENT = 24
# How long calls are made; a node whose descriptors are crossed may serve
# nobody any more, so that no number of calls would end it.
LOAD_S = 10.0
MAX_CALLS_PER_CONNECTION = 3
IMPATIENT = 4
LEAVES_WITHIN_S = 0.004
PAUSE_S = 0.02
# Ends a call whose answer never comes.
HANG_S = 2.0
# Tries a tenth of a second and more apart; a deployment needs a few seconds.
WARM_TRIES = 300
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
CROSSED_DESCRIPTOR = re.compile(
    r"File descriptor \d+ is used by transport|Bad file descriptor"
)

Answers = collections.Counter[str]


class _Seen:
    """What callers were answered and what the nodes wrote."""

    def __init__(self, answers: Answers, lines: list[str]) -> None:
        self.answers = answers
        self.crossed_descriptors = [
            line for line in lines if CROSSED_DESCRIPTOR.search(line)
        ]


def _encode_call(call: str, *, is_order: bool) -> bytes:
    if not is_order:
        head = f"GET /kits/1 HTTP/1.1\r\nHost: {SHOP}\r\nX-Call-Id: {call}"
        return f"{head}\r\n\r\n".encode()
    body = call.encode()
    head = f"POST /orders HTTP/1.1\r\nHost: {SHOP}\r\nX-Call-Id: {call}"
    return f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def _judge_answer(opened: socket.socket, call: str) -> str:
    """Read one answer from a connection and say whose it is."""
    with opened.makefile("rb") as reader:
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
    number: int, address: tuple[str, int], is_over: threading.Event
) -> Answers:
    """Make calls one after the other, some on each connection."""
    rng = random.Random(f"{SEED} patient {number}")
    answers: Answers = collections.Counter()
    done = 0
    while not is_over.is_set():
        try:
            with socket.create_connection(address, timeout=HANG_S) as opened:
                for _ in range(rng.randint(1, MAX_CALLS_PER_CONNECTION)):
                    done += 1
                    call = f"p{number}-{done}"
                    is_order = rng.random() < 0.5
                    opened.sendall(_encode_call(call, is_order=is_order))
                    answers[_judge_answer(opened, call)] += 1
        except (OSError, IndexError):
            answers["broken"] += 1
            time.sleep(PAUSE_S)
    return answers


def _call_impatiently(
    number: int, address: tuple[str, int], is_over: threading.Event
) -> Answers:
    """Place orders and leave before they can be answered."""
    rng = random.Random(f"{SEED} impatient {number}")
    answers: Answers = collections.Counter()
    while not is_over.is_set():
        answers["left"] += 1
        call = f"i{number}-{answers['left']}"
        try:
            with socket.create_connection(address, timeout=HANG_S) as opened:
                opened.sendall(_encode_call(call, is_order=True))
                time.sleep(rng.random() * LEAVES_WITHIN_S)
        except OSError:
            answers["broken"] += 1
        time.sleep(rng.random() * PAUSE_S)
    return answers


def _call_nodes(addresses: list[tuple[str, int]]) -> Answers:
    """Call until it is over; return what the patient callers were left with.

    Callers of both sorts go to the nodes in turn.
    """
    is_over = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(PATIENT + IMPATIENT) as pool:
        callers = [
            pool.submit(call, number, addresses[number % 2], is_over)
            for call, count in (
                (_call_patiently, PATIENT),
                (_call_impatiently, IMPATIENT),
            )
            for number in range(count)
        ]
        time.sleep(LOAD_S)
        is_over.set()
        return sum(
            (caller.result() for caller in callers[:PATIENT]),
            start=collections.Counter[str](),
        )


async def _wait_until_warm(fleet: deployment.Deployment) -> None:
    output = ""
    for _ in range(WARM_TRIES):
        _, output = await fleet.run_command("status", "--json")
        states = [one["server"] for one in json.loads(output)["members"]]
        if states == ["warm"] * len(fleet.vms):
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"the servers do not become warm: {output}")


async def _play() -> _Seen:
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
        return _Seen(answers, lines)
    finally:
        await fleet.stop()


@pytest.fixture(scope="module")
def seen() -> _Seen:
    """Play callers who stay beside callers who leave."""
    return asyncio.run(_play())


# Guards against MIXED: an answer that is another call's, or not whole.
def test_callers_beside_others_who_leave_get_their_own_answers(
    seen: _Seen,
) -> None:
    answers = seen.answers
    assert answers["own"] > 0
    assert answers["crossed"] == answers["not whole"] == 0, answers


# Guards against MIXED: a descriptor that is closed under its owner.
def test_callers_who_leave_make_no_node_cross_descriptors(
    seen: _Seen,
) -> None:
    count = len(seen.crossed_descriptors)
    assert count == 0, (count, seen.crossed_descriptors[:2], seen.answers)


# Guards against MIXED: a connection that ends though nobody ended it, as one
# whose descriptor was closed by another does.
def test_callers_beside_others_who_leave_lose_no_connection(
    seen: _Seen,
) -> None:
    answers = seen.answers
    assert answers["broken"] == answers["cut"] == 0, answers
