"""Public API for platform adapters that run a node."""

from marjoramledge_node import _absorbed_hangups  # noqa: F401
from marjoramledge_node import _auth
from marjoramledge_node import _connection_limits
from marjoramledge_node import _dialect
from marjoramledge_node import _environment
from marjoramledge_node import _event_loop
from marjoramledge_node import _headers
from marjoramledge_node import _options
from marjoramledge_node import _process

DEFAULT_MEMORY_MB = _connection_limits.DEFAULT_MEMORY_MB
Dialect = _dialect.Dialect
HeaderMap = _dialect.HeaderMap
KeyRing = _auth.KeyRing
LogFormat = _options.LogFormat
LogLevel = _options.LogLevel
Options = _options.Options
ServerHint = _options.ServerHint
Environment = _environment.Environment

new_event_loop = _event_loop.new_event_loop
parse_address = _options.parse_address
parse_count = _headers.parse_count
parse_signals = _dialect.parse_signals
parse_keys = _auth.parse_keys
run_node = _process.run_node
