"""Types of the identifiers that packages share.

They are plain strings and integers at run time; with distinct types, the type
checker rejects, say, a zone name where a service name is expected.
"""

import typing

NodeId = typing.NewType("NodeId", str)
ServiceName = typing.NewType("ServiceName", str)
ZoneName = typing.NewType("ZoneName", str)
RegionName = typing.NewType("RegionName", str)
KindName = typing.NewType("KindName", str)
CallId = typing.NewType("CallId", str)
AttemptId = typing.NewType("AttemptId", str)
Fingerprint = typing.NewType("Fingerprint", str)
DeathId = typing.NewType("DeathId", str)
ServerId = typing.NewType("ServerId", str)
ConfigVersion = typing.NewType("ConfigVersion", int)
Digest = typing.NewType("Digest", str)
WorkspaceName = typing.NewType("WorkspaceName", str)
ServerVersion = typing.NewType("ServerVersion", str)
OrderId = typing.NewType("OrderId", str)

NO_SERVICE: typing.Final = ServiceName("")
NO_CALL: typing.Final = CallId("")
NO_FINGERPRINT: typing.Final = Fingerprint("")
NO_NODE: typing.Final = NodeId("")
NO_WORKSPACE: typing.Final = WorkspaceName("")
NO_ORDER: typing.Final = OrderId("")
NO_SERVER_VERSION: typing.Final = ServerVersion("")
NO_SERVER_ID: typing.Final = ServerId("")
# A server's id is part of a row's key and of membership messages.
MAX_SERVER_ID_BYTES: typing.Final = 180
# A version is part of member records and of roll-out messages.
MAX_SERVER_VERSION_BYTES: typing.Final = 120
NO_CONFIGURATION: typing.Final = ConfigVersion(0)
