"""An accepted version of the configuration, as kept in the object store.

A manifest holds the documents whole, its version and the digest of the one
before it.  Its own name is its digest, so content can be fetched from any
peer or from the store and checked; the table's one row only names the version
in force.  History is the chain of parents, which needs no second write at the
moment of acceptance.
"""

import collections.abc
import dataclasses
import hashlib
import json
import typing

from returns import result

from marjoramledge_core import _ids

MAX_MANIFEST_BYTES: typing.Final = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionRef:
    """Names one version: its number and the digest of its manifest."""

    version: _ids.ConfigVersion
    digest: _ids.Digest


NO_VERSION: typing.Final = VersionRef(
    version=_ids.NO_CONFIGURATION, digest=_ids.Digest("")
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Manifest:
    """One accepted version with its documents."""

    version: _ids.ConfigVersion
    parent: _ids.Digest
    change_id: str
    author: str
    note: str
    created_at: str
    files: collections.abc.Mapping[str, str]


def encode_manifest(manifest: Manifest) -> bytes:
    """Render a manifest in its canonical form."""
    fields = {
        "version": manifest.version,
        "parent": manifest.parent,
        "change_id": manifest.change_id,
        "author": manifest.author,
        "note": manifest.note,
        "created_at": manifest.created_at,
        "files": dict(manifest.files),
    }
    return json.dumps(fields, sort_keys=True, ensure_ascii=False).encode()


def compute_digest(content: bytes) -> _ids.Digest:
    """Compute the name under which content is kept (SHA-256, hex)."""
    return _ids.Digest(hashlib.sha256(content).hexdigest())


def decode_manifest(
    content: bytes, expected: _ids.Digest
) -> result.Result[Manifest, str]:
    """Read a manifest and check that it is the one that was asked for.

    Returns
    -------
    Result
        The manifest, or why the content is not it.
    """
    if compute_digest(content) != expected:
        return result.Failure("content does not have the expected digest")
    try:
        fields = json.loads(content)
        manifest = Manifest(
            version=_ids.ConfigVersion(int(fields["version"])),
            parent=_ids.Digest(str(fields["parent"])),
            change_id=str(fields["change_id"]),
            author=str(fields["author"]),
            note=str(fields["note"]),
            created_at=str(fields["created_at"]),
            files={str(k): str(v) for k, v in fields["files"].items()},
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return result.Failure(f"not a manifest: {error!r}")
    return result.Success(manifest)
