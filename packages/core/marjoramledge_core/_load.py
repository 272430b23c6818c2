"""Load estimate of one backend server, as seen by one entry.

A load report is stale from the moment it is sent.  The estimate therefore
combines three sources of different freshness: the calls that this entry has in
flight, which are exact; the calls of other entries from the last report, whose
weight decays with its age; and the latency that the server's gate estimates
from the calls it ran.
"""

import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _queue
from marjoramledge_core import _reports
from marjoramledge_core import _server_status

# Minimum half-life of a report: queues may turn over within milliseconds, so
# an old report says little about them.
REPORT_HALF_LIFE_S: typing.Final = 0.05
INITIAL_LATENCY_S: typing.Final = 0.005

# Consecutive failures after which a server is ejected.
EJECT_AFTER_FAILURES: typing.Final = 3
FIRST_EJECTION_S: typing.Final = 0.5
MAX_EJECTION_S: typing.Final = 30.0
# Time over which a readmitted server ramps up to its full share of calls.
READMISSION_RAMP_S: typing.Final = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLoad:
    """Load and health of one backend server, as seen by one entry.

    ``entry_in_flight`` counts the calls of this entry at the server, and
    ``others_in_flight`` those of all other entries by the last report.
    ``zone_cost_s``, or ``zone_cost_share`` times the latency if that is more,
    is added to the expected response time of a server outside the entry's
    zone, and ``ejections`` counts the ejections since the server
    last recovered.  ``status`` is what its gate has told about it, and until
    ``paused_until`` its rate limit leaves no room for a call of this entry.
    ``version`` is the software version of the server, and ``is_cold`` whether
    its node has published it as cold.
    """

    node: _ids.NodeId
    address: _members.Address
    zone: _ids.ZoneName
    zone_cost_s: float
    zone_cost_share: float = 0.0
    slots: int
    is_local: bool = False
    entry_in_flight: int = 0
    others_in_flight: float = 0.0
    limit: float = 1.0
    latency_s: float = INITIAL_LATENCY_S
    reported_at: float = 0.0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    readmitted_at: float = -READMISSION_RAMP_S
    status: _server_status.ServerStatus | None = None
    paused_until: float = 0.0
    version: _ids.ServerVersion = _ids.NO_SERVER_VERSION
    is_cold: bool = False

    def start_call(self) -> None:
        """Record that a call was sent to the server."""
        self.entry_in_flight += 1

    def end_call(self) -> None:
        """Record that a call ended, whatever its outcome."""
        if self.entry_in_flight <= 0:
            raise AssertionError("end_call without a matching start_call")
        self.entry_in_flight -= 1

    def note_report(self, report: _reports.LoadReport, now: float) -> None:
        """Update the estimate from a load report of the server's gate."""
        self.others_in_flight = max(
            0.0, report.in_flight - self.entry_in_flight
        )
        self.limit = max(1.0, report.limit)
        self.latency_s = report.service_s
        self.reported_at = now

    def note_answer_status(
        self, status: _server_status.ServerStatus | None
    ) -> None:
        """Record what the gate tells with an answer of the server."""
        self.status = status

    def note_refusal_status(
        self, status: _server_status.ServerStatus | None, now: float
    ) -> None:
        """Record what the gate tells when it refuses a call.

        A gate that has restarted may know nothing about its server yet, so
        the last status is kept if it tells none.
        """
        if status is not None:
            self.status = status
            self.paused_until = now + status.pause_s

    def is_paused(self, now: float) -> bool:
        """Return whether a call would wait too long for the rate limit.

        It may be sent somewhat earlier, since it can be queued.
        """
        return self.paused_until - now > _queue.MAX_QUEUE_WAIT_S

    def note_success(self, now: float) -> bool:
        """Record a successful answer; return whether the server recovered.

        It has recovered when it answers successfully after the ramp that
        follows its readmission.
        """
        self.consecutive_failures = 0
        if not self.ejections or now < self.readmitted_at + READMISSION_RAMP_S:
            return False
        self.ejections = 0
        return True

    def note_failure(self, now: float) -> bool:
        """Record a failure; return whether the server is ejected by it."""
        self.consecutive_failures += 1
        if (
            self.consecutive_failures < EJECT_AFTER_FAILURES
            and not self.ejections
        ):
            return False
        if now < self.ejected_until:
            return False
        ejection_s = FIRST_EJECTION_S * 2.0**self.ejections
        self.ejected_until = now + min(MAX_EJECTION_S, ejection_s)
        self.readmitted_at = self.ejected_until
        self.ejections = min(self.ejections + 1, 16)
        return True

    def report_age_s(self, now: float) -> float | None:
        """Return the age of the last load report; None without one."""
        return now - self.reported_at if self.reported_at else None

    def is_ejected(self, now: float) -> bool:
        """Return whether the server is ejected at ``now``."""
        return now < self.ejected_until

    def estimate_in_flight(self, now: float) -> float:
        """Estimate the number of calls at the server, running and queued."""
        age_s = now - self.reported_at
        # A queue of slow calls changes slowly, so its report decays slowly.
        half_life_s = max(REPORT_HALF_LIFE_S, self.latency_s)
        decay = half_life_s / (half_life_s + age_s)
        return self.entry_in_flight + self.others_in_flight * decay
