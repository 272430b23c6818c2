"""Reads evidence for the soak's checks from the nodes' logs."""

import json
import re
import typing

from marjoramledge_standins import deployment
from marjoramledge_standins import soak_checks

_DESCRIPTOR_ERROR: typing.Final = re.compile(
    r"Bad file descriptor|is used by transport|Unclosed c"
    r"|Exception in callback|exception was never retrieved"
    r"|Fatal (read |write )?error|Task was destroyed|Unhandled exception"
    r"|Error handling request|Traceback \(most recent call last\)"
)


def find_descriptor_errors(name: str, log: str) -> list[str]:
    """Find lines of a log that show a descriptor with two owners.

    Uncaught exceptions count too: they are how the other owner of the
    descriptor notices.
    """
    return [
        f"{name}: {line.strip()[:120]}"
        for line in log.splitlines()
        if _DESCRIPTOR_ERROR.search(line)
    ]


def read_descriptor_errors(fleet: deployment.Deployment) -> list[str]:
    """Find lines of all nodes' logs that show a shared descriptor."""
    return [
        line
        for vm in fleet.vms
        for line in find_descriptor_errors(
            vm.plan.name,
            (fleet.folder / f"{vm.plan.name}-node.log").read_text(
                errors="replace"
            ),
        )
    ]


def read_adoptions(
    fleet: deployment.Deployment,
) -> list[soak_checks.Adoption]:
    """Read from the nodes' logs which versions they adopted."""
    adoptions = []
    for number, vm in enumerate(fleet.vms):
        log = fleet.folder / f"{vm.plan.name}-node.log"
        run = 0
        for position, line in enumerate(log.read_text().splitlines()):
            try:
                fields = json.loads(line)
            except ValueError:
                # A line truncated by a kill.
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
