"""Estimate of the concurrency that gives a server the highest throughput.

The announced slots are the calls that a backend server can run concurrently,
but not necessarily at full speed.  Some servers slow down when nearly full and
have a higher throughput with fewer concurrent calls.

For each concurrency, the gate keeps a decaying mean of the logarithm of
relative service times: service time divided by the typical time for the kind
of call and by the slowdown factor of the VM.  By Little's law, the throughput
is highest where concurrency divided by service time is greatest.  Logarithms
make the choice independent of the typical time and robust against single slow
calls.
"""

import math
import typing

from marjoramledge_core import _decaying_mean

# Long compared with slowdowns by noisy neighbours, so that they average out.
TIME_CONSTANT_S: typing.Final = 20.0
# Weight of the prior, in calls: calls at a concurrency are assumed to take as
# long as at a concurrency lower by one.
PRIOR_CALLS: typing.Final = 4.0
# Minimum number of calls, after decay, for a concurrency to be judged.
MIN_CALLS: typing.Final = 3.0
# A concurrency below the best one is measured until it has so many calls: the
# mean of fewer is often wrong by the gain that it could show, and is then
# believed until it has decayed.
SETTLED_CALLS: typing.Final = 9.0
# Lower bound of the limit, as a share of the slots: a server that is slow with
# half of its slots in use has another problem than being nearly full.
MIN_LIMIT_SHARE: typing.Final = 0.5
# Share of the slots that is used until calls have been measured.  Servers that
# slow down when nearly full typically do so above four fifths of their slots.
# Cold servers are not measured, and all are cold after a common start, when
# calls that take longer are most likely to come too late.
UNMEASURED_SHARE: typing.Final = 0.8
# Gain in throughput, as a logarithm, that justifies a lower limit; a smaller
# one may be noise.
MIN_GAIN: typing.Final = 0.05


class ContentionEstimate:
    """Relative service times by concurrency, and the limit they suggest.

    Parameters
    ----------
    slots
        Announced slots of the backend server.
    """

    def __init__(self, *, slots: int) -> None:
        self._times = [
            _decaying_mean.DecayingMean(
                time_constant_s=TIME_CONSTANT_S,
                prior_count=0.0,
                prior_value=0.0,
            )
            for _ in range(slots)
        ]

    @property
    def slots(self) -> int:
        """Announced slots of the backend server."""
        return len(self._times)

    @property
    def unmeasured_limit(self) -> int:
        """Concurrency limit until enough calls have been measured."""
        return max(1, round(UNMEASURED_SHARE * self.slots))

    def describe(self, now: float) -> str:
        """Describe the number and mean time of calls per concurrency."""
        return ", ".join(
            f"{times.count(now):.1f} calls at concurrency {running} took "
            f"{math.exp(times.mean(now)):.2f} times as long as typical"
            for running, times in enumerate(self._times, start=1)
            if times.count(now) >= MIN_CALLS
        )

    def note(self, running: int, ratio: float, now: float) -> None:
        """Record a finished call.

        Parameters
        ----------
        running
            Concurrent calls when it started, itself included.
        ratio
            Its service time relative to the typical one, above zero.
        now
            Monotonic time in seconds.
        """
        index = min(max(running, 1), self.slots) - 1
        self._times[index].note(math.log(ratio), now)

    def choose_limit(self, now: float) -> int:
        """Choose the concurrency limit with the highest throughput.

        If concurrencies below the best one have too few calls to be settled,
        the highest of them is chosen, so that it is measured.
        """
        counts = [times.count(now) for times in self._times]
        totals = [times.total(now) for times in self._times]
        if sum(counts) < MIN_CALLS:
            return self.unmeasured_limit
        lowest = max(1, round(MIN_LIMIT_SHARE * self.slots))
        best = _find_best(counts, totals, lowest)
        if counts[best - 1] < 2.0 * MIN_CALLS:
            return best
        for running in range(best - 1, lowest - 1, -1):
            if counts[running - 1] < SETTLED_CALLS:
                return running
        return best


def _find_best(counts: list[float], totals: list[float], lowest: int) -> int:
    """Return the highest concurrency whose throughput is near the maximum."""
    mean = sum(totals) / sum(counts)
    rates: list[float] = []
    for running, (count, total) in enumerate(
        zip(counts, totals, strict=True), start=1
    ):
        mean = (total + PRIOR_CALLS * mean) / (count + PRIOR_CALLS)
        rates.append(math.log(running) - mean)
    threshold = max(rates[lowest - 1 :]) - MIN_GAIN
    return max(
        running
        for running, rate in enumerate(rates, start=1)
        if running >= lowest and rate >= threshold
    )
