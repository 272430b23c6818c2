"""Runs measurements and prints one JSON object per line.

A target is met if ``value`` keeps to ``bound``; ``baseline`` is the same
quantity without the system or with a naive policy.  Arguments name the groups
of measures to run; the default is all.
"""

import asyncio
import collections.abc
import sys
import typing

from marjoramledge_standins import measure_control
from marjoramledge_standins import measure_decisions
from marjoramledge_standins import measure_latency
from marjoramledge_standins import measure_membership
from marjoramledge_standins import measure_processes
from marjoramledge_standins import measure_zones
from marjoramledge_standins import measurement

Run = collections.abc.Callable[
    [], collections.abc.Awaitable[list[measurement.Measure]]
]

RUNS: typing.Final[dict[str, Run]] = {
    "latency": measure_latency.run,
    "decisions": measure_decisions.run,
    "control": measure_control.run,
    "membership": measure_membership.run,
    "zones": measure_zones.run,
    "processes": measure_processes.run,
}


def main(names: collections.abc.Sequence[str]) -> int:
    """Run the named groups of measures, or all; return the exit status."""
    unknown = set(names) - RUNS.keys()
    if unknown:
        allowed = ", ".join(RUNS)
        print(f"measure: known groups are: {allowed}", file=sys.stderr)
        return 2
    for name in names or RUNS:
        for measure in asyncio.run(_await(RUNS[name])):
            print(measurement.format_measure(measure), flush=True)
    return 0


async def _await(run: Run) -> list[measurement.Measure]:
    return await run()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
