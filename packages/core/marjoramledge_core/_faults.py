"""Share of the calls of late that a backend server failed.

A faulty server may say that it is well and fail many of its calls, quickly at
that, so that it looks the fastest of all.  The gate, which sees every call,
therefore reports it as slower by what it fails.  Old outcomes fade, so that a
server that gets few calls for its faults is tried again after some seconds.
"""

import typing

from marjoramledge_core import _decaying_mean

FADE_S: typing.Final = 4.0
# Sound calls that are presumed, so that one failure among few says little.
PRIOR_CALLS: typing.Final = 6.0
# Shares up to this are ordinary: requests fail for reasons of their own.
ORDINARY_SHARE: typing.Final = 0.05
# Times by which a server that fails all its calls is reported as slower.
PENALTY: typing.Final = 20.0


class ErrorRate:
    """Fading share of faults among outcomes."""

    def __init__(self) -> None:
        self._share = _decaying_mean.DecayingMean(
            time_constant_s=FADE_S, prior_count=PRIOR_CALLS, prior_value=0.0
        )

    def note(self, is_fault: bool, now: float) -> None:
        """Take in the outcome of a call."""
        self._share.note(float(is_fault), now)

    def penalty(self, now: float) -> float:
        """Factor by which the server is to be taken as slower."""
        over = self._share.mean(now) - ORDINARY_SHARE
        return 1.0 + PENALTY * max(0.0, over)
