"""Line numbers of the keys of a TOML document.

``tomllib`` does not report positions, so the document is split into its
statements and each is parsed alone.  Keys are written as in the problems of
``_document``, for example ``kinds[2].path``.
"""

import collections.abc
import re
import tomllib
import typing

# A statement of several lines can only end on a line with one of these; the
# other lines are not worth an attempt to parse.
_CLOSING: typing.Final = ("]", "}", '"""', "'''")
_LAST_PART: typing.Final = re.compile(r"(\.[^.\[\]]*|\[\d+\])$")
_ERROR_LINE: typing.Final = re.compile(r"\(at line (\d+), column \d+\)$")


def number_lines(text: str) -> dict[str, int]:
    """Return the line of each key and table; empty if it is not TOML."""
    try:
        tomllib.loads(text)
    except tomllib.TOMLDecodeError:
        return {}
    line_of: dict[str, int] = {}
    counts: dict[str, int] = {}
    prefix = ""
    for line, statement in _split_statements(text):
        content = tomllib.loads(statement)
        if statement.lstrip().startswith("["):
            prefix = _resolve_header(content, counts)
            line_of.setdefault(prefix, line)
        else:
            for key in _list_keys(content, prefix):
                line_of.setdefault(key, line)
    return line_of


def find_line(
    line_of: collections.abc.Mapping[str, int], key: str
) -> int | None:
    """Return the line of a key, or of the innermost table that has one."""
    while key not in line_of:
        shorter = _LAST_PART.sub("", key)
        if shorter == key:
            return None
        key = shorter
    return line_of[key]


def find_error_line(message: str) -> int | None:
    """Return the line that a message of ``tomllib`` ends with."""
    match = _ERROR_LINE.search(message)
    return int(match[1]) if match else None


def _split_statements(
    text: str,
) -> collections.abc.Iterator[tuple[int, str]]:
    pending: list[str] = []
    start = 1
    for number, line in enumerate(text.split("\n"), start=1):
        if not pending:
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            start = number
        pending.append(line)
        if len(pending) > 1 and not any(mark in line for mark in _CLOSING):
            continue
        statement = "\n".join(pending)
        if _is_complete(statement):
            yield start, statement
            pending = []


def _is_complete(statement: str) -> bool:
    try:
        tomllib.loads(statement)
    except tomllib.TOMLDecodeError:
        return False
    return True


def _resolve_header(
    content: collections.abc.Mapping[str, object], counts: dict[str, int]
) -> str:
    """Return the path of a header; ``counts`` holds the sizes of arrays."""
    path = ""
    entry: object = content
    while isinstance(entry, dict) and entry:
        ((part, entry),) = entry.items()
        path = f"{path}.{part}" if path else part
        if isinstance(entry, list):
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path = f"{path}[{counts[path] - 1}]"
    return path


def _list_keys(
    content: collections.abc.Mapping[str, object], prefix: str
) -> collections.abc.Iterator[str]:
    for part, value in content.items():
        path = f"{prefix}.{part}" if prefix else part
        yield path
        if isinstance(value, dict):
            yield from _list_keys(value, path)
