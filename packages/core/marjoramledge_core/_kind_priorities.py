"""Kinds of request with the priority of a workspace in place of their own.

The gate queues a call by the priority of its kind, here and at peers, so a
call of a workspace with a priority gets a copy of its kind.
"""

import dataclasses
import typing

from marjoramledge_core import _priority
from marjoramledge_core import _settings

# More than the kinds of any configuration times the priorities; bounds the
# copies of kinds that are built for each call anew.
MAX_COPIES: typing.Final = 4096


class PrioritizedKinds:
    """Cache of copies of kinds, by kind and priority."""

    def __init__(self) -> None:
        # A copy is kept with its kind, whose id is valid as long as it exists.
        self._copies: dict[
            tuple[int, _priority.Priority],
            tuple[_settings.RequestKind, _settings.RequestKind],
        ] = {}

    def get(
        self,
        kind: _settings.RequestKind,
        priority: _priority.Priority | None,
    ) -> _settings.RequestKind:
        """Return a kind with another priority; itself if there is none."""
        if priority is None or priority is kind.priority:
            return kind
        key = (id(kind), priority)
        found = self._copies.get(key)
        if found is None:
            if len(self._copies) >= MAX_COPIES:
                self._copies.clear()
            copy = dataclasses.replace(kind, priority=priority)
            found = self._copies[key] = (kind, copy)
        return found[1]

    def forget(self) -> None:
        """Forget the copies of a configuration that has been replaced."""
        self._copies.clear()
