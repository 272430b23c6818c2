"""Workspaces: organisations of callers, each with its keys and its limit.

A configuration keeps digests of the keys, not the keys themselves, so that
none can be shown or logged by mistake.
"""

import collections.abc
import dataclasses
import hashlib

from marjoramledge_core import _ids
from marjoramledge_core import _priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """Callers that share keys, a priority and a limit.

    ``key_digests`` are SHA-256 digests of the keys in hexadecimal digits.
    ``priority`` takes precedence over that of a kind of request.  The
    workspace may send ``rate_per_s`` requests per second, and a burst of
    ``burst``, over all nodes together; without a rate it is not limited.
    """

    name: _ids.WorkspaceName
    key_digests: frozenset[_ids.Digest] = frozenset()
    priority: _priority.Priority | None = None
    rate_per_s: float | None = None
    burst: float = 0.0


def digest_key(key: bytes) -> _ids.Digest:
    """Return the digest under which a configuration lists a key."""
    return _ids.Digest(hashlib.sha256(key).hexdigest())


class WorkspaceTable:
    """Workspaces by name and by key.

    Parameters
    ----------
    workspaces
        All workspaces; without any, requests need no key.
    """

    def __init__(
        self, workspaces: collections.abc.Iterable[Workspace]
    ) -> None:
        self._by_name = {workspace.name: workspace for workspace in workspaces}
        self._by_digest = {
            digest: workspace
            for workspace in self._by_name.values()
            for digest in workspace.key_digests
        }

    def __bool__(self) -> bool:
        return bool(self._by_name)

    def __iter__(self) -> collections.abc.Iterator[Workspace]:
        """Yield all workspaces."""
        return iter(self._by_name.values())

    def get(self, name: _ids.WorkspaceName) -> Workspace | None:
        """Return a workspace by its name."""
        return self._by_name.get(name)

    def find(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key."""
        return self._by_digest.get(digest_key(key))
