"""Parts of the datagrams by which nodes apply limits of workspaces."""

import dataclasses
import enum

from marjoramledge_core import _ids


class Vote(enum.IntEnum):
    """Whether a report delegates the sender's share of the limits.

    ``RENEWED`` means that the share was used by nobody else since the sender
    last voted for the same process.  Otherwise the share has ``MOVED``; the
    owner begins with some tokens for it.  With ``MOVED_EARLY`` it gets none:
    the share moved before within the window of the bound, or was unused for
    long.  ``DECLINED`` tells that another owner holds the share.
    """

    NONE = 0
    RENEWED = 1
    MOVED = 2
    MOVED_EARLY = 3
    DECLINED = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaReport:
    """What an entry asks of an owner, or a node's vote for an owner.

    An entry wants to admit ``wanted`` requests, and gives ``returned`` back
    that it was granted and no server ran.  A vote states in ``wanted`` how
    many nodes the sender knows that have a share, and in ``returned`` for how
    many milliseconds its own share was unused before the vote.
    """

    group: int
    workspace: _ids.WorkspaceName = _ids.NO_WORKSPACE
    wanted: int = 0
    returned: int = 0
    vote: Vote = Vote.NONE


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaShare:
    """What an owner grants to an entry, or its poll of a voter.

    Numbers of messages pair a reply with its ask, and a vote with its poll.
    If not all was granted, the entry
    should not ask again for ``wait_s``, and ``retry_after_s`` is the time
    after which a refused request has a good chance.
    """

    group: int
    is_poll: bool = False
    workspace: _ids.WorkspaceName = _ids.NO_WORKSPACE
    granted: int = 0
    wait_s: float = 0.0
    retry_after_s: float = 0.0
