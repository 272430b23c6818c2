"""Authorization of callers by the key that their request shows.

Active where the configuration in force lists workspaces.  A request needs a
known key unless its kind is public.  Keys are compared by their digests and
never recorded.

A known key may have been revoked meanwhile, and an unknown one may have been
given out, so both need a configuration that is proven recent enough.  Without
it, a request is refused as not run, and not as unauthorized.
"""

import dataclasses
import enum
import typing

from marjoramledge_core import _confirmation_rounds
from marjoramledge_core import _events
from marjoramledge_core import _ids
from marjoramledge_core import _outcomes
from marjoramledge_core import _settings
from marjoramledge_core import _state
from marjoramledge_core import _workspaces

_SCHEME: typing.Final = "bearer"


class AccessOutcome(enum.Enum):
    """How a request was authorized, or why it was not."""

    NO_WORKSPACES = "no-workspaces"
    PUBLIC = "public"
    KNOWN = "known"
    UNKNOWN = "unknown"
    AMBIGUOUS = "ambiguous"
    UNPROVEN = "unproven"


_REASONS: typing.Final = {
    AccessOutcome.UNKNOWN: _outcomes.Reason.UNKNOWN_KEY,
    AccessOutcome.AMBIGUOUS: _outcomes.Reason.BAD_REQUEST,
    AccessOutcome.UNPROVEN: _outcomes.Reason.UNPROVEN_CONFIGURATION,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Access:
    """Result of an authorization.

    ``kind`` is the kind of the call, with the priority of its ``workspace``
    if that has one.  ``reason`` is None if the call is admitted.
    """

    outcome: AccessOutcome
    kind: _settings.RequestKind
    workspace: _workspaces.Workspace | None = None

    @property
    def reason(self) -> _outcomes.Reason | None:
        """Why the call is refused; None if it is admitted."""
        return _REASONS.get(self.outcome)

    @property
    def workspace_name(self) -> _ids.WorkspaceName | None:
        """Name that the backend server is told; None without workspaces.

        It is empty if the caller belongs to no workspace.
        """
        if self.outcome is AccessOutcome.NO_WORKSPACES:
            return None
        if self.workspace is None:
            return _ids.NO_WORKSPACE
        return self.workspace.name

    @property
    def limited_workspace(self) -> _ids.WorkspaceName | None:
        """Workspace whose limit applies to the call; None without one."""
        if self.workspace is None or not self.workspace.rate_per_s:
            return None
        return self.workspace.name


def authorize(
    step: _state.Step,
    event: _events.CallArrived,
    kind: _settings.RequestKind,
) -> Access:
    """Decide whether a request may run, and for which workspace."""
    configuration = step.state.versions.configuration
    if configuration is None or not configuration.workspaces:
        return Access(outcome=AccessOutcome.NO_WORKSPACES, kind=kind)
    credentials = event.credentials
    is_ambiguous = len(credentials) > 1
    key = None if is_ambiguous else _read_key(credentials)
    workspace = None if key is None else configuration.workspaces.find(key)
    is_proven = _confirmation_rounds.is_proven(step)
    if kind.is_public:
        if not is_proven:
            # The key may have been revoked.
            workspace = None
        return _admit(step, AccessOutcome.PUBLIC, kind, workspace)
    if is_ambiguous:
        return Access(outcome=AccessOutcome.AMBIGUOUS, kind=kind)
    if workspace is None:
        outcome = AccessOutcome.UNPROVEN
        if _confirmation_rounds.can_reject(step):
            outcome = AccessOutcome.UNKNOWN
        return Access(outcome=outcome, kind=kind)
    if not is_proven:
        return Access(outcome=AccessOutcome.UNPROVEN, kind=kind)
    return _admit(step, AccessOutcome.KNOWN, kind, workspace)


def _admit(
    step: _state.Step,
    outcome: AccessOutcome,
    kind: _settings.RequestKind,
    workspace: _workspaces.Workspace | None,
) -> Access:
    if workspace is not None:
        kind = step.state.prioritized_kinds.get(kind, workspace.priority)
    return Access(outcome=outcome, kind=kind, workspace=workspace)


def _read_key(credentials: tuple[str, ...]) -> bytes | None:
    """Return the key of an ``Authorization`` field; None if it has none."""
    if not credentials:
        return None
    scheme, _, key = credentials[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        return None
    return key.encode("utf-8", "surrogateescape")
