"""Emulated backend servers under virtual time.

Each has slots, a queue in front of them, and a speed that a noisy neighbour
changes within milliseconds.  A request has a demand, in seconds of an
undisturbed slot; its duration follows from the server's speed while it runs.
All randomness is seeded, so that every policy meets the same disturbances.
"""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import random
import typing

HORIZON_S: typing.Final = 600.0
COLD_SLOWDOWN: typing.Final = 4.0
RESET_DELAY_S: typing.Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Noise:
    """A noisy neighbour that slows the server in bursts; times are means.

    With ``is_fixed_at_start``, a request keeps the speed at which it began,
    as if its share of the VM were fixed when it starts.
    """

    quiet_s: float = 0.2
    burst_s: float = 0.05
    slowdown: float = 5.0
    is_fixed_at_start: bool = False

    @property
    def mean_speed(self) -> float:
        """Long-run mean speed, as a share of the undisturbed speed."""
        total_s = self.quiet_s + self.burst_s
        return (self.quiet_s + self.burst_s / self.slowdown) / total_s


DEFAULT_NOISE: typing.Final = Noise()


class SpeedProfile:
    """Speed of one server over time, piecewise constant.

    Parameters
    ----------
    noise
        The noisy neighbour.
    seed
        Seed of its bursts.
    until_s
        Time until which bursts are drawn.
    slow_from_s, slow_until_s, slowdown
        Interval in which the server is also a straggler, and its slowdown.
    """

    def __init__(
        self,
        *,
        noise: Noise,
        seed: int,
        until_s: float,
        slow_from_s: float = 0.0,
        slow_until_s: float = 0.0,
        slowdown: float = 1.0,
    ) -> None:
        rng = random.Random(seed)
        self._times: list[float] = [0.0]
        self._speeds: list[float] = [1.0]
        self._is_fixed_at_start = noise.is_fixed_at_start
        self._straggler_period = (slow_from_s, slow_until_s, slowdown)
        now = 0.0
        while now < until_s:
            now += rng.expovariate(1 / noise.quiet_s)
            self._add(now, 1 / noise.slowdown)
            now += rng.expovariate(1 / noise.burst_s)
            self._add(now, 1.0)

    def speed_at(self, now: float) -> float:
        """Return the speed at a time; 1.0 is undisturbed."""
        return self._speeds[bisect.bisect_right(self._times, now) - 1]

    def finish_at(self, now: float, demand_s: float) -> float:
        """Return when a request that starts now finishes."""
        if self._is_fixed_at_start:
            return now + demand_s / self.speed_at(now)
        position = bisect.bisect_right(self._times, now) - 1
        while True:
            speed = self._speeds[position]
            is_last = position + 1 == len(self._times)
            end = HORIZON_S if is_last else self._times[position + 1]
            served = (end - now) * speed
            if served >= demand_s:
                return now + demand_s / speed
            demand_s -= served
            now = end
            position += 1

    def _add(self, at: float, speed: float) -> None:
        slow_from, slow_until, _ = self._straggler_period
        for edge in (slow_from, slow_until):
            if self._times[-1] < edge < at:
                self._times.append(edge)
                self._speeds.append(self._slow(edge, self._speeds[-1]))
        self._times.append(at)
        self._speeds.append(self._slow(at, speed))

    def _slow(self, at: float, speed: float) -> float:
        slow_from, slow_until, slowdown = self._straggler_period
        return speed / slowdown if slow_from <= at < slow_until else speed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GreyFaults:
    """Grey failures: faults of a server that still reports to be healthy.

    ``resets`` and ``hangs`` are shares of the requests: the first are aborted
    after ``RESET_DELAY_S``, the second never end by themselves.
    """

    resets: float = 0.0
    hangs: float = 0.0
    from_s: float = 0.0
    until_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Knee:
    """The share of slots in use above which a server becomes slower."""

    share: float = 1.0
    slowdown: float = 1.0


NO_GREY_FAULTS: typing.Final = GreyFaults()
NO_KNEE: typing.Final = Knee()


class JobEnd(enum.Enum):
    """The way in which a server ends a request."""

    ANSWERED = enum.auto()
    ERRORED = enum.auto()
    ABORTED = enum.auto()


def _do_nothing() -> None:
    pass


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A request at a server.

    ``call_another``, if set, is called when the request's local work is done;
    the request then holds its slot until ``end_call``, and fails if the call
    failed.
    """

    demand_s: float
    on_done: collections.abc.Callable[[JobEnd], None]
    call_another: collections.abc.Callable[[], None] | None = None
    on_cancel: collections.abc.Callable[[], None] = _do_nothing
    is_cancelled: bool = False


Schedule = collections.abc.Callable[
    [float, collections.abc.Callable[[], None]], None
]


class VirtualServer:
    """One backend server.

    While cold, it aborts each request above its cold concurrency, and its
    cold start begins again.

    Parameters
    ----------
    slots
        Number of requests that can run at once.
    profile
        Speed over time.
    schedule
        Schedules a function at a time.
    cold_bears
        Number of requests that can run at once while cold.
    grey, knee
        Grey failures, and the slowdown under high utilisation.
    seed
        Seed for choosing the requests that fail.
    """

    def __init__(
        self,
        *,
        slots: int,
        profile: SpeedProfile,
        schedule: Schedule,
        cold_concurrency: int,
        grey: GreyFaults = NO_GREY_FAULTS,
        knee: Knee = NO_KNEE,
        seed: int = 0,
    ) -> None:
        self._grey = grey
        self._knee = knee
        self._rng = random.Random(seed)
        self._slots = slots
        self._profile = profile
        self._schedule = schedule
        self._cold_concurrency = cold_concurrency
        self._cold_until = -1.0
        self._cold_s = 0.0
        self._running = 0
        self._queue: collections.deque[Job] = collections.deque()
        self._jobs: list[Job] = []
        self._overruns = 0
        self._served_s = 0.0

    @property
    def overruns(self) -> int:
        """Number of requests above the cold concurrency."""
        return self._overruns

    @property
    def in_system(self) -> int:
        """Number of running and queued requests."""
        return self._running + len(self._queue)

    @property
    def served_s(self) -> float:
        """Total demand served so far, in slot seconds."""
        return self._served_s

    def go_cold(self, now: float, seconds: float) -> None:
        """Begin a cold start without notice; running requests go on."""
        self._cold_s = seconds
        self._cold_until = now + seconds

    def restart(self, now: float, seconds: float) -> None:
        """Begin a cold start without notice, as a restarted process does.

        Running and queued requests are aborted.
        """
        self.go_cold(now, seconds)
        jobs = [*self._jobs, *self._queue]
        self._jobs.clear()
        self._queue.clear()
        self._running = 0
        for job in jobs:
            if not job.is_cancelled:
                job.on_done(JobEnd.ABORTED)

    def slowdown_at(self, now: float) -> float:
        """Return the slowdown factor of the VM; 1.0 is undisturbed."""
        return 1.0 / self._profile.speed_at(now)

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self._cold_until

    def expected_finish_s(self, now: float, demand_s: float) -> float:
        """Return a new request's duration in seconds at the current speed."""
        speed = self._profile.speed_at(now)
        ahead = max(0, self.in_system + 1 - self._slots)
        return (ahead / self._slots * demand_s + demand_s) / speed

    def submit(self, job: Job, now: float) -> None:
        """Start a request, queue it, or abort it if the server is cold."""
        if self.is_cold(now) and self._running >= self._cold_concurrency:
            self._overruns += 1
            self.go_cold(now, self._cold_s)
            job.on_done(JobEnd.ABORTED)
            return
        if self._running < self._slots:
            self._start(job, now)
        else:
            self._queue.append(job)

    def cancel(self, job: Job, now: float) -> None:
        """Cancel a request, as when its caller disconnects."""
        job.is_cancelled = True
        job.on_cancel()
        if job in self._jobs:
            self._jobs.remove(job)
            self._running -= 1
            self._start_waiting(now)

    def end_call(self, job: Job, now: float, *, is_answered: bool) -> None:
        """End a request whose call to another service has ended."""
        end = JobEnd.ANSWERED if is_answered else JobEnd.ERRORED
        self._end(job, end, now)

    def _start_waiting(self, now: float) -> None:
        while self._queue and self._running < self._slots:
            waiting = self._queue.popleft()
            if not waiting.is_cancelled:
                self._start(waiting, now)

    def _start(self, job: Job, now: float) -> None:
        self._running += 1
        self._jobs.append(job)
        slowdown = COLD_SLOWDOWN if self.is_cold(now) else 1.0
        if self._running > self._knee.share * self._slots:
            slowdown *= self._knee.slowdown
        if self._grey.from_s <= now < self._grey.until_s:
            draw = self._rng.random()
            if draw < self._grey.hangs:
                return
            if draw < self._grey.hangs + self._grey.resets:
                self._schedule(now + RESET_DELAY_S, lambda: self._abort(job))
                return
        finish_at = self._profile.finish_at(now, slowdown * job.demand_s)
        self._schedule(finish_at, lambda: self._finish(job, finish_at))

    def _abort(self, job: Job) -> None:
        if job in self._jobs:
            self._jobs.remove(job)
            self._running -= 1
            job.on_done(JobEnd.ABORTED)

    def _finish(self, job: Job, now: float) -> None:
        if job.call_another is not None and job in self._jobs:
            job.call_another()
        else:
            self._end(job, JobEnd.ANSWERED, now)

    def _end(self, job: Job, end: JobEnd, now: float) -> None:
        if job not in self._jobs:
            return
        self._jobs.remove(job)
        self._running -= 1
        self._served_s += job.demand_s
        self._start_waiting(now)
        job.on_done(end)
