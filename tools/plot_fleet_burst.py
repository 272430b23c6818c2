"""Plots the share of callers answered in time per second of a load burst.

Run by ``make plots``, which installs matplotlib.
"""

import pathlib
import sys

from marjoramledge_standins import driver
from marjoramledge_standins import fleet_burst
import matplotlib.pyplot

SEEDS = (1, 2, 3)


def main(path: pathlib.Path) -> None:
    """Save the plot to a file, with one line per seed."""
    seconds = range(int(fleet_burst.DURATION_S))
    figure, panel = matplotlib.pyplot.subplots(figsize=(6.0, 3.2))
    for seed in SEEDS:
        result = driver.run_scenario(
            fleet_burst.build_scenario(seed), driver.Policy.OURS
        )
        shares = [
            fleet_burst.share_in_time(result, from_s=at, until_s=at + 1)
            for at in seconds
        ]
        panel.plot(seconds, shares, marker=".", label=f"seed {seed}")
    burst = fleet_burst.BURST
    panel.axvspan(burst.from_s, burst.until_s, alpha=0.15, label="burst")
    panel.set_ylim(0.0, 1.0)
    panel.set_xlabel("second")
    panel.set_ylabel("share within target")
    panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
