"""Decoding of what backend servers say of themselves in their answers."""

import math

import hypothesis
from hypothesis import strategies
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _dialect
from marjoramledge_platform import _dialect as platform_dialect
from marjoramledge_standins import builders
import pytest

SERVER_LIMIT = {
    "own": (_dialect.DEFAULT_DIALECT, "Marjoramledge-Rate-Limit"),
    "platform": (platform_dialect.DIALECT, "Server-Limit"),
}
SERVER_LEAVING = {
    "own": (_dialect.DEFAULT_DIALECT, "Marjoramledge-Leaving"),
    "platform": (platform_dialect.DIALECT, "Server-Leaving"),
}


@pytest.mark.parametrize("name", SERVER_LIMIT)
@pytest.mark.parametrize(
    ("text", "rate_per_s"),
    [("6.5", 6.5), ("1", 1.0), ("0", 0.0), (" 12 ", 12.0), ("0.25", 0.25)],
)
def test_a_named_limit_is_read(
    name: str, text: str, rate_per_s: float
) -> None:
    dialect, header = SERVER_LIMIT[name]
    signals = dialect.read_signals({header: text})
    assert signals == node.ServerSignals(rate_limit_per_s=rate_per_s)
    assert dialect.read_signals({}) == node.NO_SIGNALS


# Guards against a garbled limit that is taken for none, or for any number.
@pytest.mark.parametrize("name", SERVER_LIMIT)
@pytest.mark.parametrize(
    "text",
    ["", "x", "-1", "1e3", "inf", "nan", "1,5", "1;5", "٣", "9" * 400, "1 1"],
)
def test_a_garbled_limit_is_reported_and_names_none(
    name: str, text: str
) -> None:
    dialect, header = SERVER_LIMIT[name]
    signals = dialect.read_signals({header: text})
    assert signals.rate_limit_per_s is None
    assert signals.invalid_rate_limit
    assert len(signals.invalid_rate_limit) <= _dialect.MAX_INVALID_CHARS


@pytest.mark.parametrize("name", SERVER_LEAVING)
@pytest.mark.parametrize(
    ("text", "is_leaving", "is_invalid"),
    [
        ("1", True, False),
        (" 1", True, False),
        ("0", False, True),
        ("", False, True),
        ("yes" * 99, False, True),
    ],
)
def test_a_leaving_server_is_recognised(
    name: str, text: str, is_leaving: bool, is_invalid: bool
) -> None:
    dialect, header = SERVER_LEAVING[name]
    signals = dialect.read_signals({header: text})
    assert signals.is_leaving == is_leaving
    assert bool(signals.invalid_leaving) == is_invalid
    assert len(signals.invalid_leaving) <= _dialect.MAX_INVALID_CHARS


@hypothesis.given(strategies.text())
def test_any_text_is_a_finite_limit_or_invalid(text: str) -> None:
    signals = _dialect.parse_signals(text, None)
    rate_per_s = signals.rate_limit_per_s
    if rate_per_s is None:
        assert signals.invalid_rate_limit
    else:
        assert math.isfinite(rate_per_s) and rate_per_s >= 0.0


class _Server:
    """A gate whose server answers one call after another."""

    def __init__(self) -> None:
        self.driver = builders.CoreDriver()
        self.driver.configure()
        self.driver.submit(
            node.ServerAnnounced(server=builders.build_server())
        )
        self._calls = 0

    @property
    def limit(self) -> float | None:
        """The limit in force at the gate."""
        return self.driver.state.gate.rate_limit_per_s

    def start(self) -> ids.AttemptId:
        """Start a call at the server."""
        self._calls += 1
        self.driver.offer(f"c{self._calls}", target_s=5.0)
        return ids.AttemptId(f"c{self._calls}.0")

    def answer(
        self, attempt: ids.AttemptId, signals: node.ServerSignals
    ) -> list[node.RecordKind]:
        """End a call; return the kinds of the records."""
        self.driver.out.clear()
        if signals != node.NO_SIGNALS:
            self.driver.submit(
                node.ServerSignalled(server=node.ANY_START, signals=signals)
            )
        self.driver.submit(
            node.WorkEnded(
                attempt=attempt,
                outcome=node.ServerOutcome.ANSWERED,
                head_s=0.1,
                signals=signals,
            )
        )
        return [
            command.record.kind
            for command in self.driver.out
            if isinstance(command, node.WriteRecord)
            and command.record.kind.value.startswith("rate-limit")
        ]


def _name(rate_per_s: float) -> node.ServerSignals:
    return node.ServerSignals(rate_limit_per_s=rate_per_s)


def test_a_limit_is_recorded_when_it_starts_changes_and_ends() -> None:
    server = _Server()
    kinds = []
    for signals in (
        node.NO_SIGNALS,
        _name(2.0),
        _name(2.0),
        _name(5.0),
        node.NO_SIGNALS,
        node.NO_SIGNALS,
    ):
        server.driver.pass_time(1.0)
        attempt = server.start()
        server.driver.pass_time(0.1)
        kinds.append(server.answer(attempt, signals))
    named, ended = (
        node.RecordKind.RATE_LIMIT_NAMED,
        node.RecordKind.RATE_LIMIT_ENDED,
    )
    assert kinds == [[], [named], [], [named], [ended], []]


# Guards against a garbled value that ends a limit, and against one that no log
# line shows.
def test_a_garbled_limit_leaves_the_last_one_in_force() -> None:
    server = _Server()
    server.answer(server.start(), _name(2.0))
    server.driver.pass_time(1.0)
    attempt = server.start()
    garbled = node.ServerSignals(invalid_rate_limit="x")
    assert server.answer(attempt, garbled) == [
        node.RecordKind.RATE_LIMIT_INVALID
    ]
    assert server.limit == 2.0


# Guards against an answer that was written before the limit and ends it.
def test_an_answer_to_an_earlier_call_does_not_end_a_limit() -> None:
    server = _Server()
    early = server.start()
    server.driver.pass_time(0.1)
    server.driver.submit(
        node.ServerSignalled(server=node.ANY_START, signals=_name(2.0))
    )
    server.driver.pass_time(0.1)
    assert server.answer(early, node.NO_SIGNALS) == []
    assert server.limit == 2.0


# Guards against a limit of an earlier start of the server.
def test_a_limit_of_another_start_is_ignored() -> None:
    server = _Server()
    other = node.ServerStart(server=ids.ServerId("other"), born=1)
    server.driver.submit(
        node.ServerSignalled(server=other, signals=_name(2.0))
    )
    assert server.limit is None
