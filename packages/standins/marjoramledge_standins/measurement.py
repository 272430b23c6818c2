"""The type of a measured figure, and helpers that measurements share."""

import collections.abc
import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Measure:
    """A measured figure and its bound.

    ``runs`` is the sample size, in a unit that depends on the measure: calls,
    seeds or seconds.
    """

    name: str
    value: float
    unit: str
    bound: float | None
    baseline: float | None
    runs: int


def make(
    name: str,
    value: float,
    unit: str,
    bound: float | None,
    runs: int,
    baseline: float | None = None,
) -> Measure:
    """Build a measure."""
    return Measure(
        name=name,
        value=value,
        unit=unit,
        bound=bound,
        baseline=baseline,
        runs=runs,
    )


def format_measure(measure: Measure) -> str:
    """Format a measure as one JSON object."""
    return json.dumps(
        {
            "measure": measure.name,
            "value": _round(measure.value),
            "unit": measure.unit,
            "bound": measure.bound,
            "baseline": _round(measure.baseline),
            "runs": measure.runs,
        }
    )


def quantile(values: collections.abc.Iterable[float], share: float) -> float:
    """Return a quantile of the values, such as 0.99 for the p99."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def read_rss_mb(pid: int) -> float:
    """Read the resident memory of a process, in MB of 10^6 bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise AssertionError("no VmRSS line in /proc/PID/status")


def read_cpu_s(pid: int) -> float:
    """Read the processor time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks_per_s = 100
    return (int(fields[11]) + int(fields[12])) / ticks_per_s


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 6)
