"""Log lines: readable text, or one JSON object a line."""

import json
import sys
import typing

import loguru

from marjoramledge_node import _log_sink
from marjoramledge_node import _options

_TEXT_FORMAT: typing.Final = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level:<7} {extra[node]} "
    "{extra[event]} {message}{extra[fields]}\n"
)
_COMMON_FIELDS: typing.Final = frozenset({"node", "zone", "event", "fields"})


def configure_logs(options: _options.Options) -> None:
    """Send this process's log lines to standard output."""
    loguru.logger.remove()
    loguru.logger.configure(
        extra={
            "node": options.node_id,
            "zone": options.zone,
            "event": "process",
            "fields": "",
        }
    )
    is_json = options.log_format is _options.LogFormat.JSON
    loguru.logger.add(
        _log_sink.LogSink(descriptor=sys.stdout.fileno()).write,
        level=options.log_level.value.upper(),
        format=_format_json if is_json else _format_text,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )


def _format_text(record: "loguru.Record") -> str:
    record["extra"]["fields"] = "".join(
        f" {name}={value}" for name, value in _extra_fields(record).items()
    )
    return _TEXT_FORMAT + ("{exception}" if record["exception"] else "")


def _format_json(record: "loguru.Record") -> str:
    document = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["extra"]["event"],
        "node": record["extra"]["node"],
        "zone": record["extra"]["zone"],
        "message": record["message"],
        **_extra_fields(record),
    }
    if record["exception"] is not None:
        document["exception"] = repr(record["exception"].value)
    # The returned text is itself a format; the line goes in as a field.
    record["extra"]["fields"] = json.dumps(document, ensure_ascii=False)
    return "{extra[fields]}\n"


def _extra_fields(record: "loguru.Record") -> dict[str, object]:
    return {
        name: value
        for name, value in record["extra"].items()
        if name not in _COMMON_FIELDS
    }
