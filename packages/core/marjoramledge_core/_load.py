"""What an entry knows of the load of one backend server.

A report is stale from the moment it is sent.  The estimate therefore joins
three sources of different freshness: this entry's own calls in flight, which
are exact; the calls of others in the last report, whose weight fades with its
age; and latency, averaged over the answers seen here and the gate's own view.
"""

import dataclasses
import typing

from marjoramledge_core import _ids
from marjoramledge_core import _members
from marjoramledge_core import _reports

# A report says little about a queue that turns over within milliseconds.
REPORT_HALF_LIFE_S: typing.Final = 0.05
INITIAL_LATENCY_S: typing.Final = 0.005

# Failures in a row after which a server is put aside.
EJECT_AFTER_FAILURES: typing.Final = 3
FIRST_EJECTION_S: typing.Final = 0.5
MAX_EJECTION_S: typing.Final = 30.0
# Share of the ordinary chance that a returning server gets at first.
READMISSION_RAMP_S: typing.Final = 5.0


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerLoad:
    """Running estimate of one backend server, as one entry sees it."""

    node: _ids.NodeId
    address: _members.Address
    zone: _ids.ZoneName
    zone_cost_s: float
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

    def start_call(self) -> None:
        """Count a call sent to the server."""
        self.entry_in_flight += 1

    def end_call(self) -> None:
        """Count the end of a call, however it ended."""
        if self.entry_in_flight <= 0:
            raise AssertionError("a call ended that was not counted")
        self.entry_in_flight -= 1

    def note_report(self, report: _reports.LoadReport, now: float) -> None:
        """Take in a gate's report of its own load."""
        self.others_in_flight = max(
            0.0, report.in_flight - self.entry_in_flight
        )
        self.limit = max(1.0, report.limit)
        self.latency_s = report.service_s
        self.reported_at = now

    def note_success(self, now: float) -> bool:
        """Take in a whole answer; tell whether the server has recovered."""
        self.consecutive_failures = 0
        if not self.ejections or now < self.readmitted_at + READMISSION_RAMP_S:
            return False
        self.ejections = 0
        return True

    def note_failure(self, now: float) -> bool:
        """Take in a failure; tell whether the server is now put aside."""
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

    def is_ejected(self, now: float) -> bool:
        """Tell whether the server is put aside at present."""
        return now < self.ejected_until

    def estimate_in_flight(self, now: float) -> float:
        """Estimate the calls at the server, running and queued."""
        age_s = now - self.reported_at
        # A queue of slow calls turns over slowly.
        half_life_s = max(REPORT_HALF_LIFE_S, self.latency_s)
        decay = half_life_s / (half_life_s + age_s)
        return self.entry_in_flight + self.others_in_flight * decay
