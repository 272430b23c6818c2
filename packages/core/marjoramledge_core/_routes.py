"""Lookup of a request's route by its host and the longest path prefix.

A configuration may have very many routes, so a lookup tries the prefixes of
the path, longest first, in a table, and its cost does not grow with the
number of routes.
"""

import collections.abc
import dataclasses
import typing

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route(typing.Generic[T]):
    """Where a target is found; ``prefix`` begins and ends with a slash."""

    host: str
    prefix: str
    target: T


class RouteTable(typing.Generic[T]):
    """Targets by host and path prefix.

    Parameters
    ----------
    routes
        Of two routes with the same host and prefix, the later one holds.
    """

    def __init__(self, routes: collections.abc.Iterable[Route[T]]) -> None:
        self._hosts: dict[str, dict[str, T]] = {}
        for route in routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route.target

    def __iter__(self) -> collections.abc.Iterator[Route[T]]:
        """Yield all routes."""
        for host, prefixes in self._hosts.items():
            for prefix, target in prefixes.items():
                yield Route(host=host, prefix=prefix, target=target)

    def has_host(self, host: str) -> bool:
        """Tell whether any route is of this host, with or without port."""
        return _strip_port(host) in self._hosts

    def find(self, host: str, path: str) -> T | None:
        """Find the target of a path; the longest prefix decides."""
        prefixes = self._hosts.get(_strip_port(host), {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            target = prefixes.get(path[: end + 1])
            if target is not None:
                return target
        return None


def _strip_port(host: str) -> str:
    return host.partition(":")[0].lower()
