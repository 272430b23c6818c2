"""What may go wrong between a client and the platform's store."""

import enum


class StoreError(enum.StrEnum):
    """Why an operation did not succeed.

    After ``NO_ANSWER`` a write may have taken effect all the same; after the
    others it has not.
    """

    NO_ANSWER = "the store did not answer"
    UNREACHABLE = "the store can't be reached"
    CONFLICT = "somebody else wrote first"
    NOT_FOUND = "not found"
    REJECTED = "the store rejected the request"
    HISTORY_GONE = "the store no longer knows the changes since then"
