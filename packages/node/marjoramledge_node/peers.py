"""Public API for clients of a node's peer port, such as the CLI."""

from marjoramledge_node import _auth
from marjoramledge_node import _config_content
from marjoramledge_node import _document_exchange
from marjoramledge_node import _options
from marjoramledge_node import _peer_port

KeyRing = _auth.KeyRing
DRAIN_TARGET = _peer_port.DRAIN_TARGET
MAX_DOCUMENT_BYTES = _peer_port.MAX_DOCUMENT_BYTES
MEMBERS_TARGET = _peer_port.MEMBERS_TARGET
MANIFEST_IDLE_S = _document_exchange.MANIFEST_IDLE_S
MANIFEST_TIMEOUT_S = _document_exchange.MANIFEST_TIMEOUT_S
STATUS_TARGET = _peer_port.STATUS_TARGET

compress_content = _config_content.compress_content
manifest_target = _peer_port.manifest_target
parse_address = _options.parse_address
parse_keys = _auth.parse_keys
sign_request = _peer_port.sign_request
