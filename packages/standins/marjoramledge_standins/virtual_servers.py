"""Fake backend servers under virtual time.

Each has slots, a queue in front of them, and a speed that a noisy neighbour
changes within milliseconds.  A request is a demand, in seconds of an
undisturbed slot; how long it takes follows from the speed while it runs.  All
randomness comes from seeds, so that every policy meets the same disturbance.
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
RESET_S: typing.Final = 0.002


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Noise:
    """A neighbour that slows the server in bursts; times are means.

    ``is_lasting`` tells that a request goes on at the speed at which it
    began, as one does whose share of the VM is set when it starts.
    """

    quiet_s: float = 0.2
    burst_s: float = 0.05
    slowdown: float = 5.0
    is_lasting: bool = False

    @property
    def mean_speed(self) -> float:
        """Share of the undisturbed speed over a long time."""
        total_s = self.quiet_s + self.burst_s
        return (self.quiet_s + self.burst_s / self.slowdown) / total_s


DEFAULT_NOISE: typing.Final = Noise()


class SpeedProfile:
    """Speed of one server over time, piecewise constant.

    Parameters
    ----------
    noise
        The neighbour.
    seed
        Seed of its bursts.
    slow_from_s, slow_until_s, slowdown
        A time in which the server is a straggler besides.
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
        self._is_lasting = noise.is_lasting
        self._straggles = (slow_from_s, slow_until_s, slowdown)
        now = 0.0
        while now < until_s:
            now += rng.expovariate(1 / noise.quiet_s)
            self._add(now, 1 / noise.slowdown)
            now += rng.expovariate(1 / noise.burst_s)
            self._add(now, 1.0)

    def speed_at(self, now: float) -> float:
        """Speed at a moment, 1.0 being undisturbed."""
        return self._speeds[bisect.bisect_right(self._times, now) - 1]

    def finish_at(self, now: float, demand_s: float) -> float:
        """Time at which a demand that starts now is met."""
        if self._is_lasting:
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
        slow_from, slow_until, _ = self._straggles
        for edge in (slow_from, slow_until):
            if self._times[-1] < edge < at:
                self._times.append(edge)
                self._speeds.append(self._slow(edge, self._speeds[-1]))
        self._times.append(at)
        self._speeds.append(self._slow(at, speed))

    def _slow(self, at: float, speed: float) -> float:
        slow_from, slow_until, slowdown = self._straggles
        return speed / slowdown if slow_from <= at < slow_until else speed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grey:
    """Faults of a server that says that it is well.

    ``resets`` and ``hangs`` are shares of the requests: the first are broken
    off after ``RESET_S``, the second never end by themselves.
    """

    resets: float = 0.0
    hangs: float = 0.0
    from_s: float = 0.0
    until_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Knee:
    """Above a share of its slots in use a server works slower."""

    share: float = 1.0
    slowdown: float = 1.0


WELL: typing.Final = Grey()
NO_KNEE: typing.Final = Knee()


class JobEnd(enum.Enum):
    """How a server ends a request."""

    ANSWERED = enum.auto()
    ERRORED = enum.auto()
    ABORTED = enum.auto()


def _do_nothing() -> None:
    pass


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """A request at a server.

    ``call_another``, if there is one, is called when its own work is done;
    it then holds its slot until ``end_call``, and fails if that call did.
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

    While cold it fails whatever would make it run more than it bears, and
    begins its cold start anew.

    Parameters
    ----------
    slots
        Requests that run at once.
    profile
        Its speed.
    schedule
        Calls a function at a time.
    cold_bears
        Requests that it bears while cold.
    grey, knee
        Its faults, and where it slows down.
    seed
        Decides which requests its faults hit.
    """

    def __init__(
        self,
        *,
        slots: int,
        profile: SpeedProfile,
        schedule: Schedule,
        cold_bears: int,
        grey: Grey = WELL,
        knee: Knee = NO_KNEE,
        seed: int = 0,
    ) -> None:
        self._grey = grey
        self._knee = knee
        self._rng = random.Random(seed)
        self._slots = slots
        self._profile = profile
        self._schedule = schedule
        self._cold_bears = cold_bears
        self._cold_until = -1.0
        self._cold_s = 0.0
        self._running = 0
        self._queue: collections.deque[Job] = collections.deque()
        self._jobs: list[Job] = []
        self._overruns = 0
        self._served_s = 0.0

    @property
    def overruns(self) -> int:
        """Requests above what the server bore while cold."""
        return self._overruns

    @property
    def in_system(self) -> int:
        """Requests that run or wait."""
        return self._running + len(self._queue)

    @property
    def served_s(self) -> float:
        """Demand met so far, in slot seconds."""
        return self._served_s

    def go_cold(self, now: float, seconds: float) -> None:
        """Begin a cold start without a word; what runs goes on."""
        self._cold_s = seconds
        self._cold_until = now + seconds

    def restart(self, now: float, seconds: float) -> None:
        """Begin a cold start without a word, as a restarted process does.

        What ran or waited is broken off.
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
        """Tell how many times slower the VM works than undisturbed."""
        return 1.0 / self._profile.speed_at(now)

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is cold."""
        return now < self._cold_until

    def expected_finish_s(self, now: float, demand_s: float) -> float:
        """Seconds a request would take if the speed stayed as it is."""
        speed = self._profile.speed_at(now)
        ahead = max(0, self.in_system + 1 - self._slots)
        return (ahead / self._slots * demand_s + demand_s) / speed

    def submit(self, job: Job, now: float) -> None:
        """Take a request in."""
        if self.is_cold(now) and self._running >= self._cold_bears:
            self._overruns += 1
            self.go_cold(now, self._cold_s)
            job.on_done(JobEnd.ABORTED)
            return
        if self._running < self._slots:
            self._start(job, now)
        else:
            self._queue.append(job)

    def cancel(self, job: Job, now: float) -> None:
        """Break a request off, as a caller that hangs up does."""
        job.is_cancelled = True
        job.on_cancel()
        if job in self._jobs:
            self._jobs.remove(job)
            self._running -= 1
            self._start_waiting(now)

    def end_call(self, job: Job, now: float, *, is_answered: bool) -> None:
        """Take in the end of the call that a request has made."""
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
                self._schedule(now + RESET_S, lambda: self._break_off(job))
                return
        finish_at = self._profile.finish_at(now, slowdown * job.demand_s)
        self._schedule(finish_at, lambda: self._finish(job, finish_at))

    def _break_off(self, job: Job) -> None:
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
