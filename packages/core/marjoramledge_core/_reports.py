"""Load reports that a gate sends to other nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of one backend server, as measured by its gate.

    Gates attach a report to each answer.  ``in_flight`` counts running and
    queued calls, ``limit`` is the gate's concurrency limit, and ``service_s``
    is the current estimate of the service time, in seconds.
    """

    in_flight: int
    limit: int
    service_s: float
