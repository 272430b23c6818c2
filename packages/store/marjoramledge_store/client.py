"""Client of the platform's store."""

from marjoramledge_store import _client
from marjoramledge_store import _errors

StoreClient = _client.StoreClient
StoreError = _errors.StoreError
VersionRow = _client.VersionRow
