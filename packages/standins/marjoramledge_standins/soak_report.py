"""Renders the HTML report of a soak with a plot and the checks' results."""

import collections
import collections.abc
import html
import typing

from marjoramledge_standins import soak_checks
from marjoramledge_standins import traffic

_SECOND_PX: typing.Final = 16
_PLOT_PX: typing.Final = 160
_ROW_PX: typing.Final = 12
_COLOURS: typing.Final = {
    traffic.Ending.ANSWERED: "#4c9a52",
    traffic.Ending.LEFT: "#9aa0a6",
    traffic.Ending.NOT_TAKEN: "#5f6368",
    traffic.Ending.CUT_NEW: "#e8746a",
    traffic.Ending.SERVER_ERROR: "#d98c2b",
    traffic.Ending.REFUSED_NOT_RUN: "#3b74c0",
    traffic.Ending.MAY_HAVE_RUN: "#8a4fb0",
    traffic.Ending.LOST: "#c0392b",
    traffic.Ending.WRONG_ANSWER: "#000000",
}


def summarise(
    *,
    seed: int,
    evidence: soak_checks.Evidence,
    found: collections.abc.Mapping[str, list[str]],
) -> str:
    """Render the counts of a soak and its failed checks as plain text."""
    endings = collections.Counter(r.ending for r in evidence.results)
    listed = ", ".join(f"{e.value} {n}" for e, n in endings.most_common())
    failures = [
        f"  FAILED: {name}: {len(what)}, first: {what[0]}"
        for name, what in found.items()
        if what
    ]
    return "\n".join(
        [
            f"seed {seed}: {len(evidence.done)} faults and orders, "
            f"{len(evidence.results)} calls ({listed}), "
            f"{len(found)} checks, {len(failures)} failed",
            *failures,
        ]
    )


def list_calls(evidence: soak_checks.Evidence) -> list[str]:
    """Render each call on a line, for tracing single calls."""
    return [
        f"{result.started_at:.6f} {result.elapsed_s:.6f} {result.call} "
        f"{result.kind.name} {result.entry} {result.ending.value} "
        f"{result.reason[:200]!r}"
        for result in evidence.results
    ]


def render(
    *,
    seed: int,
    evidence: soak_checks.Evidence,
    found: collections.abc.Mapping[str, list[str]],
) -> str:
    """Render the report as HTML."""
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{len(what)}</td>"
        f"<td>{html.escape('; '.join(what[:5]))}</td></tr>"
        for name, what in found.items()
    )
    legend = " ".join(
        f'<span style="color:{colour}">&#9632;</span> {ending.value}'
        for ending, colour in _COLOURS.items()
    )
    summary = summarise(seed=seed, evidence=evidence, found=found)
    return (
        "<!doctype html><meta charset=utf-8>"
        f"<title>Soak {seed}</title><h1>Soak, seed {seed}</h1>"
        f"<pre>{html.escape(summary)}</pre>"
        f"<p>Calls per second by outcome: {legend}</p>"
        f"{_draw(evidence)}"
        "<table border=1><tr><th>promise</th><th>broken</th><th>by</th></tr>"
        f"{rows}</table><h2>Orders that failed</h2>"
        f"<pre>{html.escape(chr(10).join(evidence.failed_orders))}</pre>"
    )


def _draw(evidence: soak_checks.Evidence) -> str:
    """Draw the calls per second, with the faults as bars below them."""
    start = min(
        (result.started_at for result in evidence.results),
        default=evidence.ended_at,
    )
    seconds: dict[int, collections.Counter[traffic.Ending]] = {}
    for result in evidence.results:
        second = int(result.started_at - start)
        counts = seconds.setdefault(second, collections.Counter())
        counts[result.ending] += 1
    most = max((c.total() for c in seconds.values()), default=1)
    shapes = []
    for second, counts in seconds.items():
        top = float(_PLOT_PX)
        for ending, colour in _COLOURS.items():
            height = _PLOT_PX * counts[ending] / most
            top -= height
            shapes.append(
                f'<rect x="{second * _SECOND_PX}" y="{top:.1f}" '
                f'width="{_SECOND_PX - 1}" height="{height:.1f}" '
                f'fill="{colour}"/>'
            )
    for row, done in enumerate(evidence.done):
        x = (done.began_at - start) * _SECOND_PX
        width = (done.ended_at - done.began_at) * _SECOND_PX
        y = _PLOT_PX + 6 + row * _ROW_PX
        vm = evidence.vms[done.fault.vm].plan.name
        name = f"{done.fault.kind.value} {done.fault.link_mode} {vm}"
        shapes.append(
            f'<rect x="{x:.0f}" y="{y}" width="{width:.0f}" '
            f'height="{_ROW_PX - 3}" fill="#e3b7b0"/>'
            f'<text x="{x:.0f}" y="{y + _ROW_PX - 4}" '
            f'font-size="10">{html.escape(name)}</text>'
        )
    width = _SECOND_PX * (max(seconds, default=0) + 14)
    height = _PLOT_PX + 20 + _ROW_PX * len(evidence.done)
    return f'<svg width="{width}" height="{height}">{"".join(shapes)}</svg>'
