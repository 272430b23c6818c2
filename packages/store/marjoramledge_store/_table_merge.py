"""Merges what a node knows of a table with what it reads after a restoration.

The store may come back from an older copy.  Rows written since the copy are
then missing or old, their numbers are given out again, and the operator writes
them again in time.  Until then a node must keep what it knows, but must adopt
each row that is written anew, whatever its number.

Which of two documents knows more of a row is decided as with version
vectors: a document that knows all writes up to a number, and does not have a
row written before, has seen the row replaced or removed.  A row that was read
after a restoration was either written since, or restored with the copy.  It
was written since if its number is above the one that the store was restored
at, for which there is an upper bound: the lowest number that any node has read
in the new era, or one below the number of a row that was not in the store
before under that number.

Merging is commutative, associative and idempotent apart from that evidence,
which only lowers the bound, so that nodes that merge each other's documents
end with the same one.

Source: Preguica, Baquero, Almeida, Fonte and Goncalves, "Dotted Version
Vectors: Logical Clocks for Optimistic Replication", 2010, with one counter for
all writers.
"""

import collections
import collections.abc
import dataclasses
import typing

from marjoramledge_store import _table_document

# Number of eras that a document keeps the known numbers of.
MAX_KNOWN_ERAS: typing.Final = 4
# Number of removals that a document keeps.
MAX_REMOVALS: typing.Final = 64
# Number of written rows that a node remembers, over all keys.
MAX_REMEMBERED_ROWS: typing.Final = 512

# Tells from the texts of two rows with the same key whether the second one is
# known to be later.
LaterCheck = collections.abc.Callable[[str, str, str], bool]


def never_later(key: str, text: str, other: str) -> bool:
    """Tell nothing, since the texts of rows carry no order."""
    del key, text, other
    return False


class RowMemory:
    """Rows that a node has had in force, as evidence of what was written anew.

    A row whose number lies in the range that this node has followed, and that
    it has never seen under that number, can't be of the time before.
    """

    def __init__(self) -> None:
        # Hashes of texts by the era of the document, key and number.
        self._seen: collections.OrderedDict[tuple[int, str, int], int] = (
            collections.OrderedDict()
        )
        self._first_number: dict[int, int] = {}

    def remember(self, document: _table_document.TableDocument) -> None:
        """Remember the rows of a document that was in force."""
        era = document.read.era
        self._first_number.setdefault(era, document.read.number)
        for key, row in document.rows.items():
            entry = (era, key, row.written.number)
            self._seen[entry] = hash(row.text)
            self._seen.move_to_end(entry)
        while len(self._seen) > MAX_REMEMBERED_ROWS:
            self._seen.popitem(last=False)

    def has_seen(
        self, key: str, row: _table_document.Row, last_era: int
    ) -> bool:
        """Return whether a row was in force up to an era."""
        return any(
            self._seen.get((era, key, row.written.number)) == hash(row.text)
            for era in self._first_number
            if era <= last_era
        )

    def is_written_since(
        self,
        key: str,
        row: _table_document.Row,
        before: _table_document.WriteTime,
    ) -> bool:
        """Return whether a row can't have been written up to ``before``."""
        first = self._first_number.get(before.era)
        if first is None or not first <= row.written.number <= before.number:
            return False
        return not self.has_seen(key, row, before.era)


def merge_documents(
    own: _table_document.TableDocument,
    fetched: _table_document.TableDocument,
    *,
    memory: RowMemory,
    is_later: LaterCheck = never_later,
) -> _table_document.TableDocument:
    """Merge a fetched document into the one in force.

    Parameters
    ----------
    own, fetched
        The documents.
    memory
        Rows that this node has had in force.
    is_later
        Tells from the texts of two rows whether the second one is later.
    """
    older, newer = sorted((own, fetched), key=lambda each: each.read)
    restored = _merge_lowest(own.restored, fetched.restored)
    if older.read.era != newer.read.era:
        era = newer.read.era
        restored[era] = min(
            restored.get(era, newer.read.number), newer.read.number
        )
        restored[era] = _find_evidence(
            older, newer, restored[era], memory, is_later
        )
    one = dataclasses.replace(own, restored=restored)
    other = dataclasses.replace(fetched, restored=restored)
    removed = _merge_removals(own.removed, fetched.removed)
    rows = {}
    for key in sorted(own.rows.keys() | fetched.rows.keys()):
        row = _choose_row(one, other, key)
        if row is None and older.read.era != newer.read.era:
            row = _find_unknown(older, newer, key, memory)
        at = removed.get(key)
        if row is not None and (at is None or row.written > at):
            rows[key] = row
    return _table_document.TableDocument(
        rows=rows,
        read=newer.read,
        known=_limit_eras(_merge_highest(own.known, fetched.known)),
        restored=_limit_eras(restored),
        removed={key: at for key, at in removed.items() if key not in rows},
    )


def _find_evidence(
    older: _table_document.TableDocument,
    newer: _table_document.TableDocument,
    restored_at: int,
    memory: RowMemory,
    is_later: LaterCheck,
) -> int:
    """Lower the bound by rows that must have been written in the new era."""
    for key, row in newer.rows.items():
        number = row.written.number
        if row.written.era != newer.read.era or number > older.read.number:
            continue
        held = older.rows.get(key)
        if held is not None and is_later(key, row.text, held.text):
            continue
        if memory.is_written_since(key, row, older.read) or (
            held is not None and is_later(key, held.text, row.text)
        ):
            restored_at = min(restored_at, number - 1)
    return restored_at


def _choose_row(
    one: _table_document.TableDocument,
    other: _table_document.TableDocument,
    key: str,
) -> _table_document.Row | None:
    """Choose between the rows that two documents have under a key."""
    row, other_row = one.rows.get(key), other.rows.get(key)
    if row is None or other_row is None:
        present, document = (
            (row, other)
            if other_row is None
            else (
                other_row,
                one,
            )
        )
        if present is None or _knows(document, present.written):
            return None
        return present
    is_same = (row.written.number, row.text) == (
        other_row.written.number,
        other_row.text,
    )
    if is_same:
        return max(row, other_row, key=lambda each: each.written)
    is_replaced = _knows(other, row.written)
    is_other_replaced = _knows(one, other_row.written)
    if is_replaced != is_other_replaced:
        return other_row if is_replaced else row
    return max(row, other_row, key=lambda each: _order(one, each))


def _find_unknown(
    older: _table_document.TableDocument,
    newer: _table_document.TableDocument,
    key: str,
    memory: RowMemory,
) -> _table_document.Row | None:
    """Return a row of the newer document that this node has never seen.

    It may have been written anew, or restored with the copy and removed before
    this node started.  Nodes that have seen it know that it was removed.
    """
    row = newer.rows.get(key)
    if row is None or row.written.era != newer.read.era:
        return None
    return None if memory.has_seen(key, row, older.read.era) else row


def _knows(
    document: _table_document.TableDocument, written: _table_document.WriteTime
) -> bool:
    """Return whether a document has had a row written at that time."""
    if document.known.get(written.era, -1) >= written.number:
        return True
    if written.number > document.restored_at(written.era):
        return False
    # The row may have been restored with the copy.
    earlier = [era for era in document.known if era < written.era]
    return bool(earlier) and document.known[max(earlier)] >= written.number


def _order(
    document: _table_document.TableDocument, row: _table_document.Row
) -> tuple[int, int, str]:
    """Order rows of which neither is known to replace the other."""
    written = row.written
    is_restored = written.number <= document.restored_at(written.era)
    return written.era - is_restored, written.number, row.text


def _merge_removals(
    one: typing.Mapping[str, _table_document.WriteTime],
    other: typing.Mapping[str, _table_document.WriteTime],
) -> dict[str, _table_document.WriteTime]:
    merged = dict(one)
    for key, at in other.items():
        merged[key] = max(at, merged.get(key, at))
    latest = sorted(merged.items(), key=lambda entry: entry[1], reverse=True)
    return dict(latest[:MAX_REMOVALS])


def _merge_highest(
    one: typing.Mapping[int, int], other: typing.Mapping[int, int]
) -> dict[int, int]:
    merged = dict(one)
    for era, number in other.items():
        merged[era] = max(number, merged.get(era, number))
    return merged


def _merge_lowest(
    one: typing.Mapping[int, int], other: typing.Mapping[int, int]
) -> dict[int, int]:
    merged = dict(one)
    for era, number in other.items():
        merged[era] = min(number, merged.get(era, number))
    return merged


def _limit_eras(numbers: typing.Mapping[int, int]) -> dict[int, int]:
    eras = sorted(numbers, reverse=True)[:MAX_KNOWN_ERAS]
    return {era: numbers[era] for era in eras}
