"""Manifests: accepted configuration versions in the object store.

A manifest holds the complete configuration documents, their version and the
digest of the previous manifest.  It is stored under its own digest, so it can
be fetched from any peer or from the store and verified.  A single row in the
table store names the version in force.  The history is the chain of parents,
so accepting a version needs no second write for it.
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
    """Reference to a version: its number and its manifest's digest."""

    version: _ids.ConfigVersion
    digest: _ids.Digest


NO_VERSION: typing.Final = VersionRef(
    version=_ids.NO_CONFIGURATION, digest=_ids.Digest("")
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownVersion:
    """A version that a node has in force, and its age in the fleet.

    ``known_at`` is the monotonic time of the node that holds this value at
    which the first node of the fleet learned of the version, in seconds.
    """

    ref: VersionRef
    known_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Manifest:
    """One accepted configuration version.

    ``parent`` is the digest of the previous manifest, and ``files`` maps
    document names to their content.
    """

    version: _ids.ConfigVersion
    parent: _ids.Digest
    change_id: str
    author: str
    note: str
    created_at: str
    files: collections.abc.Mapping[str, str]


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest in the canonical form that its digest covers."""
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
    """Compute the digest under which content is stored (SHA-256, hex)."""
    return _ids.Digest(hashlib.sha256(content).hexdigest())


def decode_manifest(
    content: bytes, expected: _ids.Digest
) -> result.Result[Manifest, str]:
    """Decode a manifest and verify that it has the expected digest.

    Returns
    -------
    Result
        The manifest, or the reason why the content was rejected.
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
