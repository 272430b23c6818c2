"""Lookup of a request's route by its host and the longest path prefix.

A lookup tries the prefixes of the request path in a hash table, longest
first, so that its cost does not grow with the number of routes, of which a
configuration may have very many.
"""

import collections.abc
import dataclasses
import typing

T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route(typing.Generic[T]):
    """A target for one host and path prefix.

    ``prefix`` starts and ends with a slash.
    """

    host: str
    prefix: str
    target: T


class RouteTable(typing.Generic[T]):
    """Targets by host and path prefix.

    Parameters
    ----------
    routes
        All routes.  A later one replaces an earlier one with the same host
        and prefix.
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
        """Return whether a host, with or without port, has routes."""
        return _strip_port(host) in self._hosts

    def find(self, host: str, path: str) -> T | None:
        """Return the target with the longest matching prefix, or None."""
        prefixes = self._hosts.get(_strip_port(host), {})
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            target = prefixes.get(path[: end + 1])
            if target is not None:
                return target
        return None


def _strip_port(host: str) -> str:
    return host.partition(":")[0].lower()
