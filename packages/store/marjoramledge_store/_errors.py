"""Errors of operations on the platform's store."""

import enum


class StoreError(enum.StrEnum):
    """Why an operation failed.

    After ``NO_ANSWER`` a write may still have taken effect; after any other
    error it has not.
    """

    NO_ANSWER = "the store did not answer"
    UNREACHABLE = "the store can't be reached"
    CONFLICT = "another client wrote first"
    NOT_FOUND = "not found"
    REJECTED = "the store rejected the request"
    HISTORY_GONE = "the store no longer has the changes since that version"
