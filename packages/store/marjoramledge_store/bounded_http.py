"""HTTP client connections with bounded answers (public names)."""

from marjoramledge_store import _bounded_http

MAX_INTERIM_RESPONSES = _bounded_http.MAX_INTERIM_RESPONSES
MAX_OVERHEAD_BYTES = _bounded_http.MAX_OVERHEAD_BYTES
BoundedConnector = _bounded_http.BoundedConnector
BoundedProtocol = _bounded_http.BoundedProtocol
EndlessAnswerError = _bounded_http.EndlessAnswerError
FaultyAnswerError = _bounded_http.FaultyAnswerError
InvalidStatusError = _bounded_http.InvalidStatusError
log_if_faulty = _bounded_http.log_if_faulty
read_bounded = _bounded_http.read_bounded
