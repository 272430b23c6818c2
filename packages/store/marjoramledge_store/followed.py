"""Store of a node over tables of rows that can be followed."""

from marjoramledge_store import _change_feed
from marjoramledge_store import _ports

ChangeFeedStore = _change_feed.ChangeFeedStore
Rows = _ports.Rows
RowTables = _ports.RowTables

decode_rows = _change_feed.decode_rows
