"""How many calls at once a backend server serves best.

The announced slots say how many calls a backend server runs at once, not that
it runs them all at full speed: some slow down when they are nearly full, and
then serve more calls in a second when they hold fewer.  The gate keeps the
fading mean of the logarithm of how long calls took, relative to what is usual
for their kind and to how slow the VM was, for each number of calls that one
started among.  By Little's law the number that serves most in a second is the
one with the greatest quotient of number and time; logarithms make the choice
independent of what "usual" is, and keep single slow calls from deciding it.
"""

import math
import typing

from marjoramledge_core import _decaying_mean

# Long against a spell of a noisy neighbour, so that spells even out.
FADE_S: typing.Final = 20.0
# Calls at a number that are presumed to have taken as long as with one less.
PRIOR_CALLS: typing.Final = 4.0
# Fewer calls of late than this say nothing of a number of calls at once.
MIN_CALLS: typing.Final = 3.0
# Part of the slots below which the limit is not set: a server that is slow
# with half of its slots used is not slow for being nearly full.
MIN_LIMIT_SHARE: typing.Final = 0.5
# A limit is lowered only for a gain greater than this, a logarithm; less may
# be chance.
MIN_GAIN: typing.Final = 0.05


class ContentionEstimate:
    """Relative times of calls by how many ran at once.

    Parameters
    ----------
    slots
        Calls that the backend server runs at once, as announced.
    """

    def __init__(self, *, slots: int) -> None:
        self._times = [
            _decaying_mean.DecayingMean(
                time_constant_s=FADE_S, prior_count=0.0, prior_value=0.0
            )
            for _ in range(slots)
        ]

    @property
    def slots(self) -> int:
        """Calls that the backend server runs at once, as announced."""
        return len(self._times)

    def describe(self, now: float) -> str:
        """List the calls that count, and their mean time, by number."""
        return ", ".join(
            f"{times.count(now):.1f} at {running} took "
            f"{math.exp(times.mean(now)):.2f}"
            for running, times in enumerate(self._times, start=1)
            if times.count(now) >= MIN_CALLS
        )

    def note(self, running: int, ratio: float, now: float) -> None:
        """Take in a call that started as one of ``running``.

        ``ratio`` is its time relative to the usual one, above zero.
        """
        place = min(max(running, 1), self.slots) - 1
        self._times[place].note(math.log(ratio), now)

    def choose_limit(self, now: float) -> int:
        """Choose how many calls may run at once.

        Where nothing is known of the numbers below the best, the greatest of
        these is tried.
        """
        counts = [times.count(now) for times in self._times]
        totals = [times.total(now) for times in self._times]
        if sum(counts) < MIN_CALLS:
            return self.slots
        least = max(1, round(MIN_LIMIT_SHARE * self.slots))
        best = _find_best(counts, totals, least)
        if counts[best - 1] < 2.0 * MIN_CALLS:
            return best
        for running in range(best - 1, least - 1, -1):
            if counts[running - 1] < MIN_CALLS:
                return running
        return best


def _find_best(counts: list[float], totals: list[float], least: int) -> int:
    """Find the greatest number of calls that serves about as much as any."""
    mean = sum(totals) / sum(counts)
    rates: list[float] = []
    for running, (count, total) in enumerate(
        zip(counts, totals, strict=True), start=1
    ):
        mean = (total + PRIOR_CALLS * mean) / (count + PRIOR_CALLS)
        rates.append(math.log(running) - mean)
    enough = max(rates[least - 1 :]) - MIN_GAIN
    return max(
        running
        for running, rate in enumerate(rates, start=1)
        if running >= least and rate >= enough
    )
