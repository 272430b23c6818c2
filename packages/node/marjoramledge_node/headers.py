"""Names of the headers that callers and backend servers use."""

from marjoramledge_node import _headers

CALL = _headers.CALL
DEADLINE = _headers.DEADLINE
IDEMPOTENCY_KEY = _headers.IDEMPOTENCY_KEY
REASON = _headers.REASON
RUN = _headers.RUN
