"""Deaths of the local backend server, and requests suspected of causing them.

The first sign of a death is a call that is aborted mid-request.  The death is
presumed at once and published before the failure of the call is, since a
caller may send the same request again within a millisecond.  A probe then
confirms or withdraws it.  All calls aborted by one death count as one.

Publishing a death costs one message per node.  For a while after a presumed
death was withdrawn, the next one is published only once a probe confirms it.
"""

import collections.abc
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _records
from marjoramledge_core import _state

# For this long after a presumed death was withdrawn, the next one is published
# only once a probe confirms it: the server aborts calls, but is alive.
PROBE_FIRST_S: typing.Final = 60.0


def presume(step: _state.Step, aborted: _ids.Fingerprint) -> None:
    """Presume that the server died during a call, and have it probed.

    ``aborted`` is the request whose call was aborted.
    """
    state = step.state
    gate = state.gate
    if state.presumed_death is not None or gate.server is None:
        return
    presumed = _state.PresumedDeath(
        death=_create_death_id(step),
        fingerprints=_find_unproven(
            step, [aborted, *gate.running_fingerprints()]
        ),
        is_published=step.now - state.death_withdrawn_at >= PROBE_FIRST_S,
    )
    state.presumed_death = presumed
    if presumed.is_published:
        record_death(step, presumed.death, presumed.fingerprints)
    step.out.append(_commands.ProbeServer(server=gate.server))


def confirm(step: _state.Step) -> None:
    """Handle the confirmed death of the backend server."""
    fingerprints = _find_unproven(
        step,
        [
            *step.state.gate.pop_aborted(step.now),
            *step.state.gate.running_fingerprints(),
        ],
    )
    # The next start of the server has not answered anything yet.
    step.state.answered_by_server.forget()
    presumed = step.state.presumed_death
    if presumed is None:
        record_death(step, _create_death_id(step), fingerprints)
        return
    step.state.presumed_death = None
    if not presumed.is_published:
        record_death(step, presumed.death, presumed.fingerprints)


def withdraw(step: _state.Step) -> None:
    """Withdraw a presumed death, since the backend server is alive."""
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
    """Suspect the requests that ran at a death; publish the suspicions."""
    if not fingerprints:
        return
    quarantine = step.state.quarantine
    suspicions = quarantine.record_death(death, fingerprints, step.now)
    step.record(
        _records.RecordKind.SERVER_DIED,
        detail=f"{death}: {len(suspicions)} requests suspected",
    )
    for suspicion in suspicions:
        if quarantine.remaining_s(suspicion.fingerprint, step.now):
            step.record(
                _records.RecordKind.REQUEST_QUARANTINED,
                detail=suspicion.fingerprint,
            )
    step.publish_suspicions(suspicions)


def _find_unproven(
    step: _state.Step,
    fingerprints: collections.abc.Iterable[_ids.Fingerprint],
) -> tuple[_ids.Fingerprint, ...]:
    """Return the requests that the server has not answered since its start."""
    answered = step.state.answered_by_server
    return tuple(
        fingerprint
        for fingerprint in fingerprints
        if not answered.has(fingerprint, step.now)
    )


def _create_death_id(step: _state.Step) -> _ids.DeathId:
    myself = step.state.membership.myself
    step.state.deaths += 1
    return _ids.DeathId(
        f"{myself.node}@{myself.incarnation}#{step.state.deaths}"
    )
