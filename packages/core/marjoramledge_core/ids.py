"""Public names of the identifier types."""

from marjoramledge_core import _ids

AttemptId = _ids.AttemptId
CallId = _ids.CallId
DeathId = _ids.DeathId
Fingerprint = _ids.Fingerprint
ConfigVersion = _ids.ConfigVersion
Digest = _ids.Digest
KindName = _ids.KindName
NodeId = _ids.NodeId
OrderId = _ids.OrderId
RegionName = _ids.RegionName
ServerId = _ids.ServerId
ServerVersion = _ids.ServerVersion
ServiceName = _ids.ServiceName
WorkspaceName = _ids.WorkspaceName
ZoneName = _ids.ZoneName

MAX_SERVER_VERSION_BYTES = _ids.MAX_SERVER_VERSION_BYTES
MAX_SERVER_ID_BYTES = _ids.MAX_SERVER_ID_BYTES
NO_CONFIGURATION = _ids.NO_CONFIGURATION
NO_ORDER = _ids.NO_ORDER
NO_SERVICE = _ids.NO_SERVICE
NO_SERVER_VERSION = _ids.NO_SERVER_VERSION
NO_SERVER_ID = _ids.NO_SERVER_ID
NO_WORKSPACE = _ids.NO_WORKSPACE
