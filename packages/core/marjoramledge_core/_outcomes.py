"""Outcomes of calls, as reported to callers.

``RunState.NOT_RUN`` is a guarantee: no byte of the request reached a backend
server, or the backend server itself reported that it did not start it.
"""

import enum


class RunState(enum.Enum):
    """Whether a backend server may have run a request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Reason(enum.Enum):
    """Machine-readable reason why the load balancer itself answered a call."""

    NO_CONFIGURATION = "no-configuration"
    OUTDATED_CONFIGURATION = "outdated-configuration"
    UNKNOWN_SERVICE = "unknown-service"
    NO_SERVER = "no-server"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline-passed"
    SERVER_LEAVING = "server-leaving"
    OTHER_SERVICE = "other-service"
    ZONE_CLOSED = "zone-closed"
    DRAINED_BY_ORDER = "drained-by-order"
    NODE_STOPPING = "node-stopping"
    SERVER_REFUSED = "server-refused"
    NODE_FAULT = "node-fault"
    SERVER_UNREACHABLE = "server-unreachable"
    PEER_UNREACHABLE = "peer-unreachable"
    ANSWER_LOST = "answer-lost"
    ANSWER_CUT_SHORT = "answer-cut-short"
    QUARANTINED = "quarantined"
    UNKNOWN_KEY = "unknown-key"
    UNPROVEN_CONFIGURATION = "unproven-configuration"
    BAD_REQUEST = "bad-request"
    BODY_STALLED = "body-stalled"
    NOT_A_MEMBER = "not-a-member"
    WORKSPACE_LIMIT = "workspace-limit"


class ServerOutcome(enum.Enum):
    """How a request to a backend server ended, as seen by its gate.

    ``ERRORED`` is an error answer, ``SHED`` a request that the server refused
    to start, and ``ABORTED`` an exchange that broke before its answer was
    complete.
    """

    ANSWERED = enum.auto()
    ERRORED = enum.auto()
    SHED = enum.auto()
    UNREACHABLE = enum.auto()
    ABORTED = enum.auto()
    CANCELLED = enum.auto()
