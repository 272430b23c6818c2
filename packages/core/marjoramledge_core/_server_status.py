"""Starts of backend servers, and what nodes tell each other about one.

A gate attaches a status to its answers and refusals, and an entry to its
offers: after a restart, a gate learns from the entries what the server has
said of itself.
"""

import dataclasses
import typing

from marjoramledge_core import _ids


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerStart:
    """One start of a backend server.

    ``born`` is the start time of the process: it tells restarts of the same
    ``server`` apart and grows with each.  Both fields have their defaults if
    the backend server does not identify itself.
    """

    server: _ids.ServerId = _ids.NO_SERVER_ID
    born: int = 0

    def __str__(self) -> str:
        return f"{self.server} of {self.born}"


# Stands for the current start of a server that does not identify itself.
ANY_START: typing.Final = ServerStart()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerStatus:
    """What one start of a backend server has said of itself in answers.

    ``pause_s`` is set in a refusal that is due to the rate limit: the entry
    should offer no other call for that long.
    """

    start: ServerStart
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
