"""Records of the time line.

Every decision that an operator may want to trace later adds one record.  The
names are stable: logs, metrics and the time line share them.
"""

import dataclasses
import enum

from marjoramledge_core import _ids


class RecordKind(enum.Enum):
    """Kinds of record; the values are stable names.

    ``GATE_PRESSED`` summarises what a gate did while it refused calls,
    ``SERVER_UNCONFIRMED`` a start that is ignored until it announces itself
    again, ``DEPARTURE_RECALLED`` a departure that the process before this one
    acknowledged, ``SERVER_FELL_COLD`` a server that became cold again without
    announcing it, and ``CONFIG_HEARD`` the first notice of a newer
    configuration.
    ``CONFIG_UNPROVEN`` begins a time in which requests with keys are refused,
    since the configuration may be outdated, and ``CONFIG_PROVEN`` ends it.
    ``LIMIT_CHANGED`` concerns the gate's own limit of concurrent calls, and
    the ``RATE_LIMIT`` kinds the limit that the server names in its answers.
    The ``ROLLOUT`` kinds are the phases of a roll-out, with its reason.
    ``LEAVING_INVALID`` is an answer that says unreadably whether the server
    leaves.  ``QUOTA_PRESSED`` summarises the calls that an entry refused
    because of a workspace's limit, and ``QUOTA_OWNER_SILENT`` is a node that
    decides on limits and does not answer.  ``ZONE_SHARE_CHANGED`` tells which
    share of the calls may use another zone, and why.
    """

    CALL_REFUSED = "call-refused"
    CALL_RETRIED = "call-retried"
    CALL_HEDGED = "call-hedged"
    CALL_UNKNOWN = "call-unknown"
    CALL_ANSWERED = "call-answered"
    SERVER_ANNOUNCED = "server-announced"
    SERVER_UNCONFIRMED = "server-unconfirmed"
    SERVER_DRAINING = "server-draining"
    SERVER_WITHDRAWN = "server-withdrawn"
    DEPARTURE_RECALLED = "departure-recalled"
    SERVER_UNREACHABLE = "server-unreachable"
    SERVER_FELL_COLD = "server-fell-cold"
    GATE_PRESSED = "gate-pressed"
    LIMIT_CHANGED = "limit-changed"
    RATE_LIMIT_NAMED = "rate-limit-named"
    RATE_LIMIT_ENDED = "rate-limit-ended"
    RATE_LIMIT_INVALID = "rate-limit-invalid"
    LEAVING_INVALID = "leaving-invalid"
    QUOTA_PRESSED = "quota-pressed"
    QUOTA_OWNER_SILENT = "quota-owner-silent"
    SERVER_DIED = "server-died"
    DEATH_WITHDRAWN = "death-withdrawn"
    SUSPICION_LEARNED = "suspicion-learned"
    REQUEST_QUARANTINED = "request-quarantined"
    PEER_EJECTED = "peer-ejected"
    PEER_READMITTED = "peer-readmitted"
    MEMBER_JOINED = "member-joined"
    MEMBER_SUSPECTED = "member-suspected"
    MEMBER_FAILED = "member-failed"
    MEMBER_LEFT = "member-left"
    CONFIG_HEARD = "config-heard"
    CONFIG_FETCHED = "config-fetched"
    CONFIG_ADOPTED = "config-adopted"
    CONFIG_REFUSED = "config-refused"
    CONFIG_PROVEN = "config-proven"
    CONFIG_UNPROVEN = "config-unproven"
    DRAIN_ORDERED = "drain-ordered"
    DRAIN_ENDED = "drain-ended"
    ZONE_SHARE_CHANGED = "zone-share-changed"
    ZONE_CLOSED = "zone-closed"
    ZONE_OPENED = "zone-opened"
    STORE_FAILED = "store-failed"
    STORE_RECOVERED = "store-recovered"
    STORE_ERA = "store-era"
    ROLLOUT_STARTED = "rollout-started"
    ROLLOUT_PROMOTED = "rollout-promoted"
    ROLLOUT_COMPLETED = "rollout-completed"
    ROLLOUT_REVERTED = "rollout-reverted"
    LOOP_STALLED = "loop-stalled"
    OPTIONS_CHANGED = "options-changed"
    STOP_BEGUN = "stop-begun"
    STOP_FINISHED = "stop-finished"


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """One entry of the time line; fields that do not apply are empty."""

    kind: RecordKind
    service: _ids.ServiceName = _ids.NO_SERVICE
    call: _ids.CallId = _ids.NO_CALL
    peer: _ids.NodeId = _ids.NO_NODE
    request: str = ""
    detail: str = ""
