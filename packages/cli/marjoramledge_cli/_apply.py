"""Putting a configuration in force, by one conditional write.

The write of the version row is the moment of acceptance.  Its answer may be
lost; then the row itself is asked, by the id of the change, before the
operator is told anything.  Sending the same conditional write again is safe:
at most one of the two can meet its condition.
"""

import asyncio
import collections.abc
import dataclasses
import datetime
import enum
import random
import typing
import uuid

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_store import client
from returns import result

FIRST_RETRY_S: typing.Final = 0.2
MAX_RETRY_S: typing.Final = 2.0

T = typing.TypeVar("T")


class ApplyError(enum.Enum):
    """Why a configuration was not put in force."""

    INVALID = "the documents have problems"
    CONFLICT = "another change was accepted first"
    STORE = "the store can't be used"
    UNKNOWN = "the store did not tell whether the change was accepted"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CurrentVersion:
    """The configuration in force, as the store tells."""

    row: client.VersionRow | None
    manifest: configuration.Manifest | None
    declared: configuration.Configuration | None

    @property
    def ref(self) -> configuration.VersionRef:
        """The version in force."""
        return configuration.NO_VERSION if self.row is None else self.row.ref


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """A failed apply, with lines for the operator."""

    error: ApplyError
    details: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """What an operator wants to put in force, and on whose word."""

    files: collections.abc.Mapping[str, str]
    author: str
    note: str


async def read_current(
    store: client.StoreClient, timeout_s: float
) -> result.Result[CurrentVersion, Failure]:
    """Read the configuration in force from the store."""
    row = await _retry(store.read_version, timeout_s)
    if isinstance(row, result.Failure):
        return _build_store_failure(row.failure())
    found = row.unwrap()
    if found is None:
        return result.Success(
            CurrentVersion(row=None, manifest=None, declared=None)
        )
    manifest = await read_manifest(store, found.ref.digest, timeout_s)
    if isinstance(manifest, result.Failure):
        return manifest
    parsed = configuration.parse_documents(manifest.unwrap().files)
    return result.Success(
        CurrentVersion(
            row=found,
            manifest=manifest.unwrap(),
            declared=parsed.value_or(None),
        )
    )


async def read_manifest(
    store: client.StoreClient, digest: ids.Digest, timeout_s: float
) -> result.Result[configuration.Manifest, Failure]:
    """Read one accepted version from the store."""
    read = await _retry(lambda: store.get_manifest(digest), timeout_s)
    if isinstance(read, result.Failure):
        return _build_store_failure(read.failure())
    decoded = configuration.decode_manifest(read.unwrap() or b"", digest)
    return decoded.alt(
        lambda detail: Failure(error=ApplyError.STORE, details=(detail,))
    )


async def write_change(
    store: client.StoreClient,
    current: CurrentVersion,
    change: Change,
    timeout_s: float,
) -> result.Result[configuration.Manifest, Failure]:
    """Write a new version on top of the one that was read.

    Parameters
    ----------
    store
        The platform's store.
    current
        The version on top of which the change was made.
    change
        The documents; they must have been checked.
    timeout_s
        Seconds for which to try while the store does not answer.

    Returns
    -------
    Result
        The accepted version, or why there is none.
    """
    manifest = configuration.Manifest(
        version=ids.ConfigVersion(current.ref.version + 1),
        parent=current.ref.digest,
        change_id=uuid.uuid4().hex,
        author=change.author,
        note=change.note,
        created_at=datetime.datetime.now(datetime.UTC).isoformat(),
        files=change.files,
    )
    content = configuration.encode_manifest(manifest)
    ref = configuration.VersionRef(
        version=manifest.version, digest=configuration.compute_digest(content)
    )
    stored = await _retry(
        lambda: store.put_manifest(ref.digest, content),
        timeout_s,
        is_done=lambda: _has_manifest(store, ref.digest),
    )
    if isinstance(stored, result.Failure):
        return _build_store_failure(stored.failure())
    written = await _write_row(
        store, current, ref, manifest.change_id, timeout_s
    )
    return written.map(lambda _: manifest)


async def _write_row(
    store: client.StoreClient,
    current: CurrentVersion,
    ref: configuration.VersionRef,
    change_id: str,
    timeout_s: float,
) -> result.Result[configuration.VersionRef, Failure]:
    written = await _retry(
        lambda: store.write_version(
            ref=ref,
            change_id=change_id,
            expected_etag=None if current.row is None else current.row.etag,
        ),
        timeout_s,
        is_done=lambda: _has_change(store, change_id),
    )
    if isinstance(written, result.Success):
        return result.Success(ref)
    error = written.failure()
    if error is client.StoreError.UNREACHABLE:
        # No try may have got through after one that went unanswered, so
        # that case is reported as unanswered by ``_retry``.
        return _build_store_failure(error)
    return await _resolve_write(store, ref, change_id, error, timeout_s)


async def _resolve_write(
    store: client.StoreClient,
    ref: configuration.VersionRef,
    change_id: str,
    error: client.StoreError,
    timeout_s: float,
) -> result.Result[configuration.VersionRef, Failure]:
    """Find out from the row whose change was accepted."""
    read = await read_current(store, timeout_s)
    if isinstance(read, result.Failure):
        return result.Failure(Failure(error=ApplyError.UNKNOWN))
    current = read.unwrap()
    if current.row is not None and current.row.change_id == change_id:
        return result.Success(ref)
    was_superseded = await _is_ancestor(store, ref, current, timeout_s)
    if isinstance(was_superseded, result.Failure):
        return result.Failure(Failure(error=ApplyError.UNKNOWN))
    if was_superseded.unwrap():
        return result.Success(ref)
    if current.ref.version < ref.version:
        # A write without an answer may still be on its way.
        if error is client.StoreError.REJECTED:
            return _build_store_failure(error)
        return result.Failure(Failure(error=ApplyError.UNKNOWN))
    return result.Failure(Failure(error=ApplyError.CONFLICT))


async def _is_ancestor(
    store: client.StoreClient,
    ref: configuration.VersionRef,
    current: CurrentVersion,
    timeout_s: float,
) -> result.Result[bool, Failure]:
    manifest = current.manifest
    while manifest is not None and manifest.version > ref.version:
        if manifest.parent == ref.digest:
            return result.Success(True)
        if not manifest.parent:
            break
        parent = await read_manifest(store, manifest.parent, timeout_s)
        if isinstance(parent, result.Failure):
            return parent
        manifest = parent.unwrap()
    return result.Success(False)


async def _has_manifest(store: client.StoreClient, digest: ids.Digest) -> bool:
    stored = await store.get_manifest(digest)
    return isinstance(stored, result.Success)


async def _has_change(store: client.StoreClient, change_id: str) -> bool:
    read = await store.read_version()
    row = read.value_or(None)
    return row is not None and row.change_id == change_id


async def _is_never_done() -> bool:
    return False


async def _retry(
    operation: collections.abc.Callable[
        [],
        collections.abc.Coroutine[
            None, None, result.Result[T, client.StoreError]
        ],
    ],
    timeout_s: float,
    *,
    is_done: collections.abc.Callable[
        [], collections.abc.Coroutine[None, None, bool]
    ] = _is_never_done,
) -> result.Result[T | None, client.StoreError]:
    """Repeat an operation that the store does not answer.

    Must only be given operations that may be repeated.  ``is_done`` reads
    back whether a try that went unanswered has taken effect; the outcome is
    then a Success of None.  When one try went unanswered, the outcome is
    never reported as unreachable.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    pause_s = FIRST_RETRY_S
    was_unanswered = False
    while True:
        outcome = await operation()
        if isinstance(outcome, result.Success):
            return outcome
        error = outcome.failure()
        if error is client.StoreError.NO_ANSWER:
            was_unanswered = True
            if await is_done():
                return result.Success(None)
        elif error is not client.StoreError.UNREACHABLE:
            return outcome
        if loop.time() + pause_s > deadline:
            if was_unanswered:
                return result.Failure(client.StoreError.NO_ANSWER)
            return outcome
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(MAX_RETRY_S, 2 * pause_s)


def _build_store_failure(
    error: client.StoreError,
) -> result.Result[typing.Any, Failure]:
    return result.Failure(
        Failure(error=ApplyError.STORE, details=(error.value,))
    )
