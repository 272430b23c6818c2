"""The commands as processes: settings, log lines and metrics."""

import asyncio
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import tomllib
import typing

from aiohttp import test_utils
from aiohttp import web
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _metrics_port
from marjoramledge_standins import builders
from marjoramledge_standins import deployment
import pytest

DATA = pathlib.Path(__file__).parent / "data" / "settings.toml"
CASES = tomllib.loads(DATA.read_text())["cases"]
BIN = pathlib.Path(sys.executable).parent


def _environment() -> dict[str, str]:
    return {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("MARJORAMLEDGE_")
    }


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["name"])
def test_a_wrong_setting_is_reported_in_one_line(
    case: dict[str, typing.Any],
) -> None:
    done = subprocess.run(
        [str(BIN / case["command"]), *case["flags"]],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.splitlines() == [case["line"]]


@pytest.mark.parametrize("command", ["marjoramledge-node", "marjoramledge"])
def test_help_requires_no_settings(command: str) -> None:
    done = subprocess.run(
        [str(BIN / command), "--help"],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 0
    assert "Usage" in done.stdout


def test_a_node_logs_json_and_sends_metrics() -> None:
    host = "127.0.0.1"
    ports = [deployment.find_free_port(host) for _ in range(3)]
    flags = ("--listen", "--peer-listen", "--local-listen")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as statsd:
        statsd.bind((host, 0))
        statsd.settimeout(20)
        process = _start_node(
            host,
            {
                **dict(zip(flags, ports, strict=True)),
                "--statsd": statsd.getsockname()[1],
            },
        )
        try:
            lines = statsd.recv(8192).decode().splitlines()
            assert "marjoramledge.gate.running:0|g" in lines
            process.send_signal(signal.SIGTERM)
            output, _ = process.communicate(timeout=20)
        finally:
            process.kill()
    assert process.returncode == 0
    records = [json.loads(line) for line in output.splitlines()]
    events = [record["event"] for record in records]
    assert "stop-begun" in events
    assert events[-1] == "stop-finished"
    assert {record["node"] for record in records} == {"n0"}
    assert {record["zone"] for record in records} == {"north"}


def test_a_hangup_signal_reloads_and_does_not_stop_the_node() -> None:
    host = "127.0.0.1"
    ports = [deployment.find_free_port(host) for _ in range(4)]
    flags = ("--listen", "--peer-listen", "--local-listen", "--ready-listen")
    process = _start_node(host, dict(zip(flags, ports, strict=True)))
    try:
        _wait_until_listening(host, ports[3])
        process.send_signal(signal.SIGHUP)
        status = _get_readiness(host, ports[3])
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=20)
    finally:
        process.kill()
    assert status == 503
    assert process.returncode == 0
    events = [json.loads(line)["event"] for line in output.splitlines()]
    assert "reload-requested" in events


# Sends SIGHUP to its own process at each import of a library.
HANG_UP_AT_IMPORTS = """
import os, signal, sys

def hang_up(event, arguments):
    if event == "import":
        package = arguments[0].partition(".")[0]
        if package in ("aiohttp", "loguru", "returns", "typer", "uvloop"):
            os.kill(os.getpid(), signal.SIGHUP)

signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.addaudithook(hang_up)
"""


# Guards against a node that is ended by SIGHUP in its first half second.
@pytest.mark.parametrize(
    ("start", "status"),
    [
        (
            "from marjoramledge_node import _start\n"
            "sys.argv = ['marjoramledge-node', '--help']\n"
            "_start.main()",
            0,
        ),
        (
            "from marjoramledge_platform import __main__\n"
            "sys.exit(__main__.main())",
            2,
        ),
    ],
    ids=["own", "platform"],
)
def test_a_hangup_signal_does_not_end_a_starting_node(
    start: str, status: int
) -> None:
    done = subprocess.run(
        [sys.executable, "-c", HANG_UP_AT_IMPORTS + start],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == status, done.stderr


def _start_node(host: str, ports: dict[str, int]) -> "subprocess.Popen[str]":
    """Start a node that listens on a port for each of the given flags."""
    return subprocess.Popen(
        [
            str(BIN / "marjoramledge-node"),
            *(
                part
                for flag, port in ports.items()
                for part in (flag, f"{host}:{port}")
            ),
        ],
        env={
            **_environment(),
            "MARJORAMLEDGE_NODE_ID": "n0",
            "MARJORAMLEDGE_ZONE": "north",
            "MARJORAMLEDGE_KEYS": deployment.KEYS,
            "MARJORAMLEDGE_LOG_FORMAT": "json",
        },
        stdout=subprocess.PIPE,
        text=True,
    )


def _wait_until_listening(host: str, port: int) -> None:
    for _ in range(400):
        with socket.socket() as probe:
            if probe.connect_ex((host, port)) == 0:
                return
        time.sleep(0.05)
    raise AssertionError(f"nothing listens on port {port}")


def _get_readiness(host: str, port: int) -> int:
    connection = http.client.HTTPConnection(host, port, timeout=5.0)
    connection.request("GET", "/ready")
    return connection.getresponse().status


def test_metrics_are_served_as_text() -> None:
    counts = _counts.Counts()
    counts.note_answer(ids.KindName("page"), 200, 0.03)
    counts.note_answer(ids.KindName("page"), 503, 0.001)
    counts.note_answer(None, 404, 0.001)
    counts.note_store_call("read-version", "no_answer")
    counts.note_message(node.MessageKind.PING, 300)
    counts.note_message(node.MessageKind.PING, 200)
    driver = builders.CoreDriver()
    driver.configure()

    async def scrape() -> str:
        port = _metrics_port.MetricsPort(
            engine=_engine.Engine(
                state=driver.state, rng=driver.rng, clock=lambda: driver.now
            ),
            counts=counts,
            count_suppressed_lines=lambda: 3,
        )
        request = test_utils.make_mocked_request("GET", "/metrics")
        response = await port.serve(request)
        assert isinstance(response, web.Response)
        assert isinstance(response.body, bytes)
        return response.body.decode()

    text = asyncio.run(scrape())
    assert 'marjoramledge_answers_total{route="page",status="503"} 1.0' in text
    assert 'answer_seconds_bucket{le="0.05",route="page"} 2.0' in text
    assert "marjoramledge_log_lines_left_out 3.0" in text
    store_calls = 'operation="read-version",outcome="no_answer"'
    assert f"store_calls_total{{{store_calls}}} 1.0" in text
    assert 'marjoramledge_messages_total{kind="ping"} 2.0' in text
    assert 'marjoramledge_message_bytes_total{kind="ping"} 500.0' in text
    assert "marjoramledge_configuration_version 1.0" in text
