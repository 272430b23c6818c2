"""Route lookup compared with a linear search, and traffic splits."""

import hypothesis
from hypothesis import strategies
from marjoramledge_core import configuration
from marjoramledge_core import ids

_SEGMENT = strategies.sampled_from(["a", "b", "ab", "c"])
_HOST = strategies.sampled_from(["x.example", "y.example"])
_PREFIX = strategies.lists(_SEGMENT, max_size=4).map(
    lambda parts: "/" + "".join(part + "/" for part in parts)
)
_PATH = strategies.tuples(_PREFIX, strategies.sampled_from(["", "a", "2f"]))


def _find_linearly(
    routes: list[tuple[str, str]], host: str, path: str
) -> tuple[str, str] | None:
    matches = [
        route
        for route in routes
        if route[0] == host and path.startswith(route[1])
    ]
    return max(matches, key=lambda route: len(route[1]), default=None)


@hypothesis.given(
    routes=strategies.lists(
        strategies.tuples(_HOST, _PREFIX), unique=True, max_size=12
    ),
    host=_HOST,
    path=_PATH,
)
def test_the_longest_matching_prefix_wins(
    routes: list[tuple[str, str]], host: str, path: tuple[str, str]
) -> None:
    table = configuration.RouteTable(
        configuration.Route(host=name, prefix=prefix, target=(name, prefix))
        for name, prefix in routes
    )
    full_path = "".join(path)
    expected = _find_linearly(routes, host, full_path)
    assert table.find(host, full_path) == expected
    assert table.find(f"{host.upper()}:8080", full_path) == expected


def test_a_traffic_split_follows_the_weights() -> None:
    kind = configuration.RequestKind(
        name=ids.KindName("page"),
        service=ids.ServiceName("old"),
        methods=frozenset(),
        path="/*",
        priority=configuration.Priority.NORMAL,
        idempotent=True,
        deadline_s=1.0,
        hedging=False,
        hedge_after_s=0.0,
        max_slot_share=1.0,
        shares=(
            configuration.ServiceShare(
                service=ids.ServiceName("old"), weight=90
            ),
            configuration.ServiceShare(
                service=ids.ServiceName("new"), weight=10
            ),
        ),
    )
    picked = [kind.pick_service(draw / 1000) for draw in range(1000)]
    assert picked.count(ids.ServiceName("old")) == 900
    assert picked.count(ids.ServiceName("new")) == 100
