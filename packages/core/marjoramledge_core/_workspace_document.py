"""Reads the workspaces of the operators' documents, and lists them for plans.

Keys are declared by their digests.  No message or plan contains a whole one.
"""

import collections.abc
import string
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _priority
from marjoramledge_core import _workspaces

MAX_RATE_PER_S: typing.Final = 1_000_000.0
MAX_BURST: typing.Final = 1_000_000.0
DIGEST_DIGITS: typing.Final = 64
# Enough to tell the keys of a fleet apart.
SHOWN_DIGITS: typing.Final = 8
_HEX_DIGITS: typing.Final = frozenset(string.hexdigits)


class TableReader(typing.Protocol):
    """The part of a reader of a table that workspaces need."""

    def report(self, key: str, message: str) -> None:
        """Add a problem with one key of the table."""

    def reject_unknown(self) -> None:
        """Report every key that has not been read."""

    def name(self, key: str) -> str:
        """Read a required name."""

    def is_given(self, key: str) -> bool:
        """Return whether an optional key is present."""

    def strings(self, key: str) -> tuple[str, ...]:
        """Read a list of strings."""

    def number(
        self, key: str, low: float, high: float, default: float
    ) -> float:
        """Read a number within inclusive bounds."""

    def choice(self, key: str, allowed: tuple[str, ...], default: str) -> str:
        """Read a string that must be one of those allowed."""


def read_workspaces(
    readers: collections.abc.Iterable[TableReader],
) -> _workspaces.WorkspaceTable:
    """Read the tables ``[[workspace]]``."""
    names: set[str] = set()
    owner_of: dict[_ids.Digest, str] = {}
    workspaces = []
    for reader in readers:
        workspace = _read_workspace(reader)
        if workspace.name in names:
            reader.report("name", f"{workspace.name} is declared twice")
        names.add(workspace.name)
        for digest in sorted(workspace.key_digests):
            if digest in owner_of:
                reader.report(
                    "key_sha256",
                    f"{_shorten(digest)} is already a key of workspace "
                    f"{owner_of[digest]}",
                )
            owner_of[digest] = workspace.name
        reader.reject_unknown()
        workspaces.append(workspace)
    return _workspaces.WorkspaceTable(workspaces)


def flatten_workspaces(
    workspaces: collections.abc.Iterable[_workspaces.Workspace],
) -> dict[str, str]:
    """List the fields of workspaces by item, rendered for display."""
    items = {}
    for workspace in workspaces:
        prefix = f"workspaces.{workspace.name}"
        rate, priority = workspace.rate_per_s, workspace.priority
        keys = sorted(map(_shorten, workspace.key_digests))
        items[f"{prefix}.key_sha256"] = ",".join(keys) or "none"
        items[f"{prefix}.priority"] = (
            "that of the kind" if priority is None else priority.name.lower()
        )
        items[f"{prefix}.rate_per_s"] = (
            "unlimited" if rate is None else f"{rate:g}"
        )
        items[f"{prefix}.burst"] = f"{workspace.burst:g}"
    return items


def _read_workspace(reader: TableReader) -> _workspaces.Workspace:
    priority = None
    if reader.is_given("priority"):
        allowed = tuple(level.name.lower() for level in _priority.Priority)
        chosen = reader.choice("priority", allowed, "normal")
        priority = _priority.Priority[chosen.upper()]
    rate_per_s = None
    if reader.is_given("rate_per_s"):
        rate_per_s = reader.number("rate_per_s", 0.01, MAX_RATE_PER_S, 1.0)
    burst = reader.number("burst", 0, MAX_BURST, 0.0)
    if burst and rate_per_s is None:
        reader.report("burst", "is allowed only with rate_per_s")
    return _workspaces.Workspace(
        name=_ids.WorkspaceName(reader.name("name")),
        key_digests=_read_digests(reader),
        priority=priority,
        rate_per_s=rate_per_s,
        burst=burst,
    )


def _read_digests(reader: TableReader) -> frozenset[_ids.Digest]:
    """Read the digests of keys; a workspace may have none."""
    if not reader.is_given("key_sha256"):
        return frozenset()
    digests = set()
    for position, text in enumerate(reader.strings("key_sha256")):
        if len(text) != DIGEST_DIGITS or not _HEX_DIGITS.issuperset(text):
            # It may be the key itself, which must not be shown.
            reader.report(
                f"key_sha256[{position}]",
                f"must be a SHA-256 digest of {DIGEST_DIGITS} hex digits",
            )
        digests.add(_ids.Digest(text.lower()))
    return frozenset(digests)


def _shorten(digest: _ids.Digest) -> str:
    return f"{digest[:SHOWN_DIGITS]}..."
