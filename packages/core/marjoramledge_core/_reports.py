"""What a gate tells others of the load of its backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """A gate's own view, carried on its answers.

    ``in_flight`` counts running and queued calls, ``limit`` is the gate's
    concurrency limit, ``service_s`` the recent mean time of a call at the
    backend server in seconds.
    """

    in_flight: int
    limit: int
    service_s: float
