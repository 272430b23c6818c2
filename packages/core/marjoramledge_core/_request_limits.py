"""Limits that an operator sets for callers' requests and connections."""

import dataclasses
import typing

# Each default is beyond what a proper caller needs: more than the heads that
# browsers and libraries send, and more time than a slow network takes.
DEFAULT_MAX_HEAD_BYTES: typing.Final = 65536
DEFAULT_MAX_BODY_BYTES: typing.Final = 1 << 40
DEFAULT_HEAD_TIMEOUT_S: typing.Final = 30.0
DEFAULT_IDLE_TIMEOUT_S: typing.Final = 3600.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Limits of each request and of each connection.

    ``head_timeout_s`` counts from the first byte of a head to its end, and
    ``idle_timeout_s`` from the end of a request to the next one.
    """

    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    head_timeout_s: float = DEFAULT_HEAD_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S
