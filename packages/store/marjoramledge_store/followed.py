"""Store of a node over tables of rows that can be followed."""

from marjoramledge_store import _followed
from marjoramledge_store import _ports

FollowedStore = _followed.FollowedStore
Rows = _ports.Rows
RowTables = _ports.RowTables

decode_rows = _followed.decode_rows
