"""Plots tail latency against load for our nodes and the naive policies.

Run by ``make plots``, which installs matplotlib.
"""

import concurrent.futures
import pathlib
import statistics
import sys
import typing

from marjoramledge_standins import driver
from marjoramledge_standins import measure_decisions
import matplotlib.pyplot

LOADS: typing.Final = (0.3, 0.5, 0.7, 0.8, 0.9, 0.95)
SEEDS: typing.Final = (1, 2, 3)
PROCESSES: typing.Final = 6


def _measure_ms(policy: driver.Policy, load: float, seed: int) -> float:
    scenario = measure_decisions.shopfront(seed, load)
    return measure_decisions.p99_ms(driver.run_scenario(scenario, policy))


def main(path: pathlib.Path) -> None:
    """Save the plot to a file."""
    figure, axes = matplotlib.pyplot.subplots(figsize=(7, 4.5))
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for policy in driver.Policy:
            futures = [
                [pool.submit(_measure_ms, policy, load, s) for s in SEEDS]
                for load in LOADS
            ]
            seeds_ms = [[f.result() for f in row] for row in futures]
            median_ms = [statistics.median(row) for row in seeds_ms]
            shown = [100 * load for load in LOADS]
            axes.plot(shown, median_ms, marker="o", label=policy.value)
            axes.fill_between(
                shown, [*map(min, seeds_ms)], [*map(max, seeds_ms)], alpha=0.2
            )
            print(policy.value, [round(value, 1) for value in median_ms])
    axes.set_yscale("log")
    axes.set_xlabel("load, % of capacity")
    axes.set_ylabel("p99, ms (median of 3 seeds, span shaded)")
    axes.set_title("Shopfront, 5 servers, bursts of noisy neighbours")
    axes.grid(visible=True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=120)


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
