"""Deaths of the backend server on this VM, and who is suspected.

A broken call is the first sign of a death.  The death is presumed at once and
told before the call's own failure is, since a caller may send the same
request again within a millisecond; a probe then confirms it or has it
withdrawn.  All calls that break in one death count as one.  Telling all nodes
costs a message for each, so where the last death was none, the probe comes
first.
"""

import collections.abc
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _records
from marjoramledge_core import _state

# A server whose presumed death has been taken back within this time is probed
# before another one is told: it loses answers, but lives.
VERIFY_FIRST_S: typing.Final = 60.0


def presume(step: _state.Step, broken: _ids.Fingerprint) -> None:
    """Presume a death because a call broke, and have it checked."""
    state = step.state
    gate = state.gate
    if state.presumed_death is not None or gate.server is None:
        return
    presumed = _state.PresumedDeath(
        death=_name_death(step),
        fingerprints=(broken, *gate.running_fingerprints()),
        is_published=step.now - state.death_withdrawn_at >= VERIFY_FIRST_S,
    )
    state.presumed_death = presumed
    if presumed.is_published:
        record_death(step, presumed.death, presumed.fingerprints)
    step.out.append(_commands.ProbeServer(server=gate.server))


def confirm(step: _state.Step) -> None:
    """Take in that the backend server has died."""
    fingerprints = step.state.gate.pop_aborted(step.now)
    presumed = step.state.presumed_death
    if presumed is None:
        fingerprints.extend(step.state.gate.running_fingerprints())
        record_death(step, _name_death(step), fingerprints)
        return
    step.state.presumed_death = None
    if not presumed.is_published:
        record_death(step, presumed.death, presumed.fingerprints)


def withdraw(step: _state.Step) -> None:
    """Take in that the backend server lives after all."""
    presumed = step.state.presumed_death
    if presumed is None:
        return
    step.state.presumed_death = None
    step.state.death_withdrawn_at = step.now
    step.record(_records.RecordKind.DEATH_WITHDRAWN, detail=presumed.death)
    if presumed.is_published:
        step.publish_suspicions(
            step.state.quarantine.withdraw(presumed.death, step.now)
        )


def record_death(
    step: _state.Step,
    death: _ids.DeathId,
    fingerprints: collections.abc.Collection[_ids.Fingerprint],
) -> None:
    """Suspect what ran at a death, and tell the other nodes."""
    if not fingerprints:
        return
    quarantine = step.state.quarantine
    told = quarantine.record_death(death, fingerprints, step.now)
    step.record(
        _records.RecordKind.SERVER_DIED,
        detail=f"{death}: {len(told)} requests suspected",
    )
    for suspicion in told:
        if quarantine.remaining_s(suspicion.fingerprint, step.now):
            step.record(
                _records.RecordKind.REQUEST_QUARANTINED,
                detail=suspicion.fingerprint,
            )
    step.publish_suspicions(told)


def _name_death(step: _state.Step) -> _ids.DeathId:
    myself = step.state.membership.myself
    step.state.deaths += 1
    return _ids.DeathId(
        f"{myself.node}@{myself.incarnation}#{step.state.deaths}"
    )
