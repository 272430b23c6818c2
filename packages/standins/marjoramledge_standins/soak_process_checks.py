"""Checks of the observed connections and processes of a soak."""

import collections
import collections.abc
import typing

from marjoramledge_standins import deployment
from marjoramledge_standins import soak_watch


def find_stray_answers(seen: soak_watch.Observations) -> list[str]:
    """Find answers on connections where no call was pending."""
    return list(seen.strays)


def find_second_answers(seen: soak_watch.Observations) -> list[str]:
    """Find calls that were answered more than once."""
    return [
        f"{call} was answered {count} times"
        for call, count in collections.Counter(seen.echoes).items()
        if count > 1
    ]


def find_shared_descriptors(seen: soak_watch.Observations) -> list[str]:
    """Find log lines that show a descriptor with two owners."""
    return list(seen.log_lines)


def find_late_exits(seen: soak_watch.Observations) -> list[str]:
    """Find nodes that ran longer than their grace time after SIGTERM."""
    return [
        f"VM {end.vm} ran for {end.ended_at - end.began_at:.1f} s "
        "after the signal to stop"
        for end in seen.ends
        if end.was_signalled
        and end.ended_at - end.began_at >= deployment.STOP_TIMEOUT_S
    ]


def find_unexpected_exits(seen: soak_watch.Observations) -> list[str]:
    """Find nodes that exited by themselves or were killed by a signal."""
    return [
        f"VM {end.vm} exited "
        f"{'abnormally' if end.was_signalled else 'unexpectedly'} "
        f"with {end.status}"
        for end in seen.ends
        if not end.was_signalled
        or (
            end.status < 0
            and end.ended_at - end.began_at < deployment.STOP_TIMEOUT_S
        )
    ]


def find_refusals(seen: soak_watch.Observations) -> list[str]:
    """Find ports of running nodes that accepted no connection."""
    return list(seen.refusals)


def find_descriptor_leaks(seen: soak_watch.Observations) -> list[str]:
    """Find processes whose number of open descriptors grew too much."""
    return [
        f"{name} had {first} descriptors at first and {last} at the end"
        for name, (first, last) in seen.descriptors.items()
        if last > first + soak_watch.MAX_MORE_DESCRIPTORS
    ]


Find = collections.abc.Callable[[soak_watch.Observations], list[str]]
FINDERS: typing.Final[collections.abc.Mapping[str, Find]] = {
    "an answer comes where a call waits": find_stray_answers,
    "no call is answered twice": find_second_answers,
    "no descriptor has two owners": find_shared_descriptors,
    "nodes end within their grace time": find_late_exits,
    "nodes end when told, by themselves": find_unexpected_exits,
    "running nodes take connections": find_refusals,
    "descriptors are given back": find_descriptor_leaks,
}
# Checks that may fail on a slow machine.
TIMED: typing.Final = frozenset({"nodes end within their grace time"})
