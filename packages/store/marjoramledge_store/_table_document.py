"""A configuration that is made up of the rows of a table, and its history.

The content of a configuration is the rows themselves, and its digest covers
nothing else, so that the same rows are the same configuration whenever they
were written.  The history tells when each row was written.  It is needed to
merge two configurations after the store has been restored (see
``_table_merge``), and is sent along with the content.
"""

import dataclasses
import json
import math
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from returns import result

# Separates the content from the history; JSON text has no such byte.
_SEPARATOR: typing.Final = b"\0"


@dataclasses.dataclass(frozen=True, slots=True, order=True, kw_only=True)
class WriteTime:
    """When a row was written or removed, as the store counts its writes.

    A row that was first read after a restoration may be older than ``era``.
    """

    era: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """The text of a row, and when it was written."""

    text: str
    written: WriteTime


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableDocument:
    """Rows of a table, and what is known of their history.

    ``read`` is the version of the store that the rows were last read at.
    ``known`` has, by era, the highest number up to which all writes are known;
    it includes that of ``read``.  ``restored`` has, by era, an upper bound of
    the number at which the store was restored: later numbers were given out in
    that era.  ``removed`` tells of rows that the store had after it was
    restored and that were removed before it was read.
    """

    rows: typing.Mapping[str, Row]
    read: WriteTime
    known: typing.Mapping[int, int]
    restored: typing.Mapping[int, int]
    removed: typing.Mapping[str, WriteTime]

    def restored_at(self, era: int) -> float:
        """Return the bound in ``restored``; infinite if there is none."""
        return self.restored.get(era, math.inf)


def encode_texts(texts: typing.Mapping[str, str]) -> bytes:
    """Encode the content of a configuration."""
    return json.dumps(texts, sort_keys=True).encode()


def decode_texts(content: bytes) -> dict[str, str]:
    """Decode the content of a version into its rows, by key.

    Raises
    ------
    ValueError
        The content is not a JSON object.
    """
    rows = json.loads(split_content(content)[0])
    if not isinstance(rows, dict):
        raise ValueError("the content is not a JSON object of rows")
    return {str(key): str(text) for key, text in rows.items()}


def split_content(document: bytes) -> tuple[bytes, bytes]:
    """Split a document into its content and its history, if it has one."""
    content, _, history = document.partition(_SEPARATOR)
    return content, history


def encode_document(document: TableDocument) -> bytes:
    """Encode the content and the history."""
    texts = {key: row.text for key, row in document.rows.items()}
    history = {
        "rows": {
            key: dataclasses.astuple(row.written)
            for key, row in document.rows.items()
        },
        "known": sorted(document.known.items()),
        "restored": sorted(document.restored.items()),
        "removed": {
            key: dataclasses.astuple(at)
            for key, at in document.removed.items()
        },
    }
    return (
        encode_texts(texts)
        + _SEPARATOR
        + json.dumps(history, sort_keys=True).encode()
    )


def decode_document(
    document: bytes, version: ids.ConfigVersion
) -> result.Result[TableDocument, str]:
    """Decode a document that is in force under a version.

    The version may have been raised since the document was merged: the same
    rows were read again in that era.  A later era tells nothing of the rows,
    before they have been merged with those of that era.

    Returns
    -------
    Result
        The document, or why it has no usable history.
    """
    content, history = split_content(document)
    try:
        texts = decode_texts(content)
        fields = json.loads(history)
        known = _decode_numbers(fields["known"])
        era = max(known, default=configuration.era_of(version))
        if era == configuration.era_of(version):
            number = configuration.number_of(version)
            known[era] = max(number, known.get(era, number))
        return result.Success(
            TableDocument(
                rows={
                    key: Row(text=text, written=_decode_time(written))
                    for key, text in texts.items()
                    for written in (fields["rows"][key],)
                },
                read=WriteTime(era=era, number=known[era]),
                known=known,
                restored=_decode_numbers(fields["restored"]),
                removed={
                    str(key): _decode_time(at)
                    for key, at in fields["removed"].items()
                },
            )
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return result.Failure(f"invalid history: {error!r:.200}")


def _decode_numbers(pairs: list[tuple[int, int]]) -> dict[int, int]:
    return {int(era): int(number) for era, number in pairs}


def _decode_time(pair: tuple[int, int]) -> WriteTime:
    era, number = pair
    return WriteTime(era=int(era), number=int(number))
