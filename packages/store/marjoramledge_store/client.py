"""Client of the table service and object store (public names)."""

from marjoramledge_store import _client
from marjoramledge_store import _errors
from marjoramledge_store import _ports

FleetRows = _ports.FleetRows
NodeStore = _ports.NodeStore
StoreClient = _client.StoreClient
StoreError = _errors.StoreError
VersionRow = _ports.VersionRow
