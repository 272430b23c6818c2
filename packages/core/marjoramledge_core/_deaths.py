"""Deaths of the backend server on this VM, and who is suspected.

A broken call is the first sign of a death.  The death is presumed at once and
told before the call's own failure is, since a caller may send the same
request again within a millisecond; a probe then confirms it or has it
withdrawn.  All calls that break in one death count as one.
"""

import collections.abc

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _records
from marjoramledge_core import _state


def presume(step: _state.Step, broken: _ids.Fingerprint) -> None:
    """Presume a death because a call broke, and have it checked."""
    gate = step.state.gate
    if step.state.presumed_death is not None or gate.server is None:
        return
    death = _name_death(step)
    step.state.presumed_death = death
    note_death(step, death, [broken, *gate.running_fingerprints()])
    step.out.append(_commands.ProbeServer(server=gate.server))


def confirm(step: _state.Step) -> None:
    """Take in that the backend server has died."""
    ran = step.state.gate.take_broken(step.now)
    if step.state.presumed_death is not None:
        step.state.presumed_death = None
        return
    ran.extend(step.state.gate.running_fingerprints())
    note_death(step, _name_death(step), ran)


def withdraw(step: _state.Step) -> None:
    """Take in that the backend server lives after all."""
    death = step.state.presumed_death
    if death is not None:
        step.state.presumed_death = None
        step.tell_suspicions(step.state.quarantine.withdraw(death, step.now))


def note_death(
    step: _state.Step,
    death: _ids.DeathId,
    ran: collections.abc.Collection[_ids.Fingerprint],
) -> None:
    """Suspect what ran at a death, and tell the other nodes."""
    if not ran:
        return
    quarantine = step.state.quarantine
    told = quarantine.note_death(death, ran, step.now)
    step.record(
        _records.RecordKind.SERVER_DIED,
        detail=f"{death}: {len(told)} requests suspected",
    )
    for suspicion in told:
        if quarantine.refuse_for_s(suspicion.fingerprint, step.now):
            step.record(
                _records.RecordKind.REQUEST_QUARANTINED,
                detail=suspicion.fingerprint,
            )
    step.tell_suspicions(told)


def _name_death(step: _state.Step) -> _ids.DeathId:
    myself = step.state.membership.myself
    step.state.deaths += 1
    return _ids.DeathId(
        f"{myself.node}@{myself.incarnation}#{step.state.deaths}"
    )
