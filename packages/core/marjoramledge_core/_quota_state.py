"""State of a node that applies the limits of workspaces."""

import dataclasses
import math

from marjoramledge_core import _ids
from marjoramledge_core import _quota_groups
from marjoramledge_core import _quota_messages
from marjoramledge_core import _quota_owner
from marjoramledge_core import _quota_voter
from marjoramledge_core import _timers


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitingCall:
    """A call that waits until its workspace's limit is decided."""

    call: _ids.CallId
    workspace: _ids.WorkspaceName
    since: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Block:
    """A time in which calls of a workspace are refused without asking."""

    until: float
    retry_after_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class OpenAsk:
    """An ask without a reply; it is sent again with the same content.

    ``sent_at`` is the arrival of its first call, and ``asked_at`` the time at
    which it was sent first.
    """

    number: int
    sent_at: float
    asked_at: float
    reports: tuple[_quota_messages.QuotaReport, ...]
    calls: dict[_ids.WorkspaceName, list[WaitingCall]]
    attempts: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class GroupState:
    """What an entry knows of one group of workspaces.

    ``silent`` are candidates that did not reply lately.  While
    ``is_unheard``, no candidate replies, and calls do not wait.
    ``owner_node`` replied last, and ``returned`` holds the times at which the
    tokens that are to be given back were charged.  ``reply_s`` is the time
    that the slowest of the recent replies took.
    """

    owner: _quota_owner.Owner
    voter: _quota_voter.Voter
    waiting: list[WaitingCall] = dataclasses.field(default_factory=list)
    returned: dict[_ids.WorkspaceName, list[float]] = dataclasses.field(
        default_factory=dict
    )
    ask: OpenAsk | None = None
    ask_timer: _timers.Timer | None = None
    owner_node: _ids.NodeId = _ids.NO_NODE
    silent: set[_ids.NodeId] = dataclasses.field(default_factory=set)
    is_unheard: bool = False
    next_unheard_ask_at: float = -math.inf
    reply_s: float = 0.0


def _build_groups() -> list[GroupState]:
    return [
        GroupState(
            owner=_quota_owner.Owner(group=group),
            voter=_quota_voter.Voter(group=group),
        )
        for group in range(_quota_groups.GROUPS)
    ]


@dataclasses.dataclass(slots=True, kw_only=True)
class QuotaState:
    """State of the limits at one node, as entry, voter and owner."""

    started_at: float = 0.0
    groups: list[GroupState] = dataclasses.field(default_factory=_build_groups)
    view: _quota_groups.GroupView = dataclasses.field(
        default_factory=_quota_groups.GroupView
    )
    blocks: dict[_ids.WorkspaceName, Block] = dataclasses.field(
        default_factory=dict
    )
    next_number: int = 0
    admitted: dict[_ids.WorkspaceName, int] = dataclasses.field(
        default_factory=dict
    )
    refused: dict[_ids.WorkspaceName, int] = dataclasses.field(
        default_factory=dict
    )
    refused_since_record: dict[_ids.WorkspaceName, int] = dataclasses.field(
        default_factory=dict
    )
    recorded_at: float = -math.inf
