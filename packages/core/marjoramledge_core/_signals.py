"""What a backend server says of itself in the headers of an answer."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSignals:
    """Signals of one answer of a backend server.

    Attributes
    ----------
    rate_limit_per_s
        Requests per second that the server takes from all nodes together;
        None if it names no limit.
    invalid_rate_limit
        Text of a limit that cannot be read; empty if there is none.
    is_leaving
        Whether the server leaves and takes no new work.
    invalid_leaving
        Text that cannot be read in place of ``is_leaving``; empty if there is
        none.
    """

    rate_limit_per_s: float | None = None
    invalid_rate_limit: str = ""
    is_leaving: bool = False
    invalid_leaving: str = ""


NO_SIGNALS: typing.Final = ServerSignals()
