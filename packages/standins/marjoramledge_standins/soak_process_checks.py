"""Checks of what the soak saw of connections and processes."""

import collections
import collections.abc
import typing

from marjoramledge_standins import deployment
from marjoramledge_standins import soak_watch


def find_strays(seen: soak_watch.Seen) -> list[str]:
    """Find answers that came where no call waited."""
    return list(seen.strays)


def find_second_answers(seen: soak_watch.Seen) -> list[str]:
    """Find calls that were answered more than once."""
    return [
        f"{call} was answered {count} times"
        for call, count in collections.Counter(seen.echoes).items()
        if count > 1
    ]


def find_crossed_descriptors(seen: soak_watch.Seen) -> list[str]:
    """Find log lines of descriptors with two owners."""
    return list(seen.log_lines)


def find_late_ends(seen: soak_watch.Seen) -> list[str]:
    """Find nodes that were told to stop and outlived their grace time."""
    return [
        f"VM {end.vm} was there for {end.ended_at - end.began_at:.1f} s "
        "after its signal"
        for end in seen.ends
        if end.was_told
        and end.ended_at - end.began_at >= deployment.STOP_TIMEOUT_S
    ]


def find_ends_unasked(seen: soak_watch.Seen) -> list[str]:
    """Find nodes that ended unasked, or by a signal but the one sent."""
    return [
        f"VM {end.vm} ended "
        f"{'badly' if end.was_told else 'unasked'} with {end.status}"
        for end in seen.ends
        if not end.was_told
        or (
            end.status < 0
            and end.ended_at - end.began_at < deployment.STOP_TIMEOUT_S
        )
    ]


def find_refusals(seen: soak_watch.Seen) -> list[str]:
    """Find ports of running nodes that took no connection."""
    return list(seen.refusals)


def find_kept_descriptors(seen: soak_watch.Seen) -> list[str]:
    """Find processes that held far more descriptors at their end."""
    return [
        f"{name} had {first} descriptors, then {last}"
        for name, (first, last) in seen.descriptors.items()
        if last > first + soak_watch.MAX_MORE_DESCRIPTORS
    ]


Find = collections.abc.Callable[[soak_watch.Seen], list[str]]
FINDERS: typing.Final[collections.abc.Mapping[str, Find]] = {
    "an answer comes where a call waits": find_strays,
    "no call is answered twice": find_second_answers,
    "no descriptor has two owners": find_crossed_descriptors,
    "nodes end within their grace time": find_late_ends,
    "nodes end when told, by themselves": find_ends_unasked,
    "running nodes take connections": find_refusals,
    "descriptors are given back": find_kept_descriptors,
}
# What a slow machine can excuse.
TIMED: typing.Final = frozenset({"nodes end within their grace time"})
