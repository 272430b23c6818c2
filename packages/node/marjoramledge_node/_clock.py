"""The clock of a node's decisions.

It counts the time in which the VM is suspended, unlike the event loop's
clock, so that what ran out meanwhile is known to have run out.  Times of this
clock and of the loop's must not be compared; durations in which a suspension
does not matter may be taken from either.
"""

import time


def read_clock() -> float:
    """Return the time since the VM was booted, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
