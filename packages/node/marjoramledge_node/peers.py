"""What others need to speak with a node's peer port, as operators do."""

from marjoramledge_node import _auth
from marjoramledge_node import _contents
from marjoramledge_node import _fleet
from marjoramledge_node import _options
from marjoramledge_node import _peer_port

KeyRing = _auth.KeyRing
DRAIN_TARGET = _peer_port.DRAIN_TARGET
MEMBERS_TARGET = _peer_port.MEMBERS_TARGET
PEER_TIMEOUT_S = _fleet.PEER_TIMEOUT_S
STATUS_TARGET = _peer_port.STATUS_TARGET

pack_content = _contents.pack
manifest_target = _peer_port.manifest_target
parse_address = _options.parse_address
parse_keys = _auth.parse_keys
sign_request = _peer_port.sign_request
