"""What a soak reads from the nodes' logs."""

import json
import re
import typing

from marjoramledge_standins import deployment
from marjoramledge_standins import soak_checks

_CROSSED: typing.Final = re.compile(
    r"Bad file descriptor|is used by transport|Unclosed c"
    r"|Exception in callback|exception was never retrieved"
    r"|Fatal (read |write )?error|Task was destroyed|Unhandled exception"
    r"|Error handling request|Traceback \(most recent call last\)"
)


def find_crossed_lines(name: str, log: str) -> list[str]:
    """Find lines of a log that show a descriptor with two owners.

    Exceptions that nobody caught belong to these: they are how the other
    owner learns of it.
    """
    return [
        f"{name}: {line.strip()[:120]}"
        for line in log.splitlines()
        if _CROSSED.search(line)
    ]


def read_crossed_lines(fleet: deployment.Deployment) -> list[str]:
    """Read such lines from the logs of all nodes."""
    return [
        line
        for vm in fleet.vms
        for line in find_crossed_lines(
            vm.plan.name,
            (fleet.folder / f"{vm.plan.name}-node.log").read_text(
                errors="replace"
            ),
        )
    ]


def read_adoptions(
    fleet: deployment.Deployment,
) -> list[soak_checks.Adoption]:
    """Read from the nodes' logs which versions they put in force."""
    adoptions = []
    for number, vm in enumerate(fleet.vms):
        log = fleet.folder / f"{vm.plan.name}-node.log"
        run = 0
        for position, line in enumerate(log.read_text().splitlines()):
            try:
                fields = json.loads(line)
            except ValueError:
                # A line that a kill has cut.
                continue
            if fields["event"] == "node-started":
                run += 1
            elif fields["event"] == "config-adopted":
                adoptions.append(
                    soak_checks.Adoption(
                        vm=number,
                        run=run,
                        version=int(fields["message"].split()[-1]),
                        at=float(position),
                    )
                )
    return adoptions
