"""Explaining a request from the logs of several nodes."""

import json

from marjoramledge_cli import _explain


def _line(second: float, node: str, event: str, **fields: str) -> str:
    document = {
        "time": f"2026-01-01T00:00:{second:06.3f}+00:00",
        "node": node,
        "event": event,
        "message": fields.pop("message", event),
        **fields,
    }
    return json.dumps(document)


LOGS = [
    _line(1.0, "n2", "server-draining", service="shop"),
    _line(2.0, "n9", "server-draining", service="other"),
    _line(9.5, "n1", "call-retried", call="c1", request="r1", peer="n2"),
    _line(8.0, "n2", "server-withdrawn", service="shop"),
    "12.5 n1 " + _line(9.7, "n1", "call-refused", call="c1", request="r1"),
    _line(9.6, "n1", "call-refused", call="c2", request="r2"),
    "Traceback (most recent call last):",
    "{broken",
]


def _list_events(name: str) -> list[str]:
    lines = [_explain.parse_line(text) for text in LOGS]
    found = _explain.find_request_lines(
        [candidate for candidate in lines if candidate], name
    )
    return [f"{line.node} {line.event}" for line in found]


def test_a_request_is_listed_in_order_with_earlier_server_events() -> None:
    expected = [
        "n2 server-withdrawn",
        "n1 call-retried",
        "n1 call-refused",
    ]
    assert _list_events("r1") == expected
    assert _list_events("c1") == expected


# Guards against a call that left its zone for a reason that is not shown.
def test_a_change_of_a_zone_share_is_shown_with_the_calls_it_concerns() -> (
    None
):
    texts = [
        _line(1.0, "n1", "zone-share-changed", service="shop"),
        _line(1.5, "n2", "zone-share-changed", service="other"),
        _line(2.0, "n1", "call-answered", call="c1", service="shop"),
    ]
    lines = [line for text in texts if (line := _explain.parse_line(text))]
    found = _explain.find_request_lines(lines, "c1")
    assert [(line.node, line.event) for line in found] == [
        ("n1", "zone-share-changed"),
        ("n1", "call-answered"),
    ]


def test_no_lines_are_found_for_an_unknown_request() -> None:
    assert _list_events("r7") == []


def test_each_event_is_formatted_as_one_line() -> None:
    line = _explain.parse_line(LOGS[2])
    assert line is not None
    assert _explain.format_lines([line]) == (
        "2026-01-01T00:00:09.500+00:00 n1 call-retried -> n2"
    )
