"""Open probes of other nodes, and probes relayed for other nodes.

Each probe has a sequence number that pairs it with its ACK.  A probe that
becomes indirect is stored under the negative of its number, so that the
timeout of the indirect stage is distinguished from that of the direct stage.
"""

import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members

# Relayed probes that may be open at once; the oldest is dropped first.
MAX_RELAYS: typing.Final = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A probe relayed for another node.

    ``sequence`` is the number that the ``origin`` gave its probe.
    """

    origin: _members.Address
    sequence: int


class ProbeTable:
    """Open probes by sequence number."""

    def __init__(self) -> None:
        self._sequence = 0
        self._targets: dict[int, _ids.NodeId] = {}
        self._relays: dict[int, Relay] = {}

    def open(self, target: _ids.NodeId) -> int:
        """Add a direct probe of a member; return its number."""
        sequence = self._next_number()
        self._targets[sequence] = target
        return sequence

    def open_relay(self, relay: Relay) -> int:
        """Add a probe relayed for another node; return its number."""
        sequence = self._next_number()
        self._relays[sequence] = relay
        while len(self._relays) > MAX_RELAYS:
            del self._relays[next(iter(self._relays))]
        return sequence

    def find_target(self, sequence: int) -> _ids.NodeId | None:
        """Return the member that an open probe is sent to, or None."""
        return self._targets.get(sequence)

    def make_indirect(self, sequence: int) -> int:
        """Make a direct probe indirect; return its new, negative number."""
        self._targets[-sequence] = self._targets.pop(sequence)
        return -sequence

    def close(self, sequence: int) -> None:
        """Remove a probe, direct or indirect."""
        self._targets.pop(sequence, None)
        self._targets.pop(-sequence, None)

    def close_relay(self, sequence: int) -> Relay | None:
        """Remove and return a relayed probe, or return None."""
        return self._relays.pop(sequence, None)

    def clear(self) -> None:
        """Remove all probes except relayed ones."""
        self._targets.clear()

    def _next_number(self) -> int:
        self._sequence += 1
        return self._sequence
