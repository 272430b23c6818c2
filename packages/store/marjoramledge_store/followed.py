"""Store whose tables have a change feed to follow (public names)."""

from marjoramledge_store import _change_feed
from marjoramledge_store import _ports
from marjoramledge_store import _table_document

CALL_TIMEOUT_S = _change_feed.CALL_TIMEOUT_S
ChangeFeedStore = _change_feed.ChangeFeedStore
Rows = _ports.Rows
RolloutRows = _ports.RolloutRows
RowTables = _ports.RowTables

decode_rows = _table_document.decode_texts
split_content = _table_document.split_content
