"""Probes that wait for an answer, own ones and those made for others.

Numbers them, so that an answer finds its probe.  A probe is direct at first;
when it goes on through helpers, it is kept under the negative of its number,
so that the timer of the second stage is told from that of the first.
"""

import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members

# Probes for others that are open at once; the oldest is given up.
MAX_RELAYS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A probe made for another node, and how that node numbers it."""

    origin: _members.Address
    sequence: int


class ProbeTable:
    """Open probes by their numbers."""

    def __init__(self) -> None:
        self._sequence = 0
        self._targets: dict[int, _ids.NodeId] = {}
        self._relays: dict[int, Relay] = {}

    def open(self, target: _ids.NodeId) -> int:
        """Note a probe of a member; return its number."""
        sequence = self._take_number()
        self._targets[sequence] = target
        return sequence

    def open_relay(self, relay: Relay) -> int:
        """Note a probe made for another node; return its number."""
        sequence = self._take_number()
        self._relays[sequence] = relay
        while len(self._relays) > MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return sequence

    def find_target(self, sequence: int) -> _ids.NodeId | None:
        """Tell whom an open probe asks."""
        return self._targets.get(sequence)

    def go_indirect(self, sequence: int) -> int:
        """Put a probe into its second stage; return its number there."""
        self._targets[-sequence] = self._targets.pop(sequence)
        return -sequence

    def close(self, sequence: int) -> None:
        """Forget a probe, whatever its stage."""
        self._targets.pop(sequence, None)
        self._targets.pop(-sequence, None)

    def close_relay(self, sequence: int) -> Relay | None:
        """Forget and return a probe made for another node."""
        return self._relays.pop(sequence, None)

    def clear(self) -> None:
        """Forget all own probes."""
        self._targets.clear()

    def _take_number(self) -> int:
        self._sequence += 1
        return self._sequence
