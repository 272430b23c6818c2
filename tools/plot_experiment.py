"""Plots the share of calls within target against load, per pattern.

Run by ``make plots``, which installs matplotlib.
"""

import pathlib
import sys

from marjoramledge_standins import driver
from marjoramledge_standins import experiment
import matplotlib.pyplot

SEEDS = 3


def main(path: pathlib.Path) -> None:
    """Save the plot to a file, with one panel per pattern."""
    patterns = list(experiment.PATTERNS)
    rows = experiment.run_all(patterns, experiment.DEFAULT_LOADS, SEEDS)
    figure, panels = matplotlib.pyplot.subplots(
        1, len(patterns), figsize=(2.6 * len(patterns), 3.2), sharey=True
    )
    for panel, pattern in zip(panels, patterns, strict=True):
        for policy in driver.Policy:
            shown = [
                row
                for row in rows
                if (row.pattern, row.policy) == (pattern, policy)
            ]
            panel.plot(
                [row.load for row in shown],
                [row.in_target for row in shown],
                marker="o",
                label=policy.value,
            )
        panel.set_title(pattern, fontsize=9)
        panel.set_xlabel("load")
    panels[0].set_ylabel("share within target")
    panels[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    print(experiment.format_table(rows))


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
