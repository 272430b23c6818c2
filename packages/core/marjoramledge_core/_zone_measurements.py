"""Measurements behind the overflow to other zones.

Takes the round trips between zones from the membership probes that are sent
anyway, and the response times of zones from the answers to calls.  Does
nothing unless ``Options.zone_overflow`` is set.
"""

from marjoramledge_core import _commands
from marjoramledge_core import _members
from marjoramledge_core import _state


def probe_next(step: _state.Step) -> None:
    """Probe the next member, and remember when and in which zone."""
    state = step.state
    first = len(step.out)
    state.membership.probe_next(step.now, step.rng, step.out)
    if state.options.zone_overflow is None:
        return
    for command in step.out[first:]:
        if (
            isinstance(command, _commands.SendMessage)
            and command.message.kind is _members.MessageKind.PING
        ):
            member = state.membership.members.get(command.message.target)
            if member is not None:
                state.zone_overflow.note_probe(
                    command.message.sequence, member.zone, step.now
                )


def note_message(step: _state.Step, message: _members.Message) -> None:
    """Measure a round trip if a message answers this node's last probe."""
    if (
        step.state.options.zone_overflow is not None
        and message.kind is _members.MessageKind.ACK
    ):
        step.state.zone_overflow.note_probe_answer(message.sequence, step.now)


def note_answer(
    step: _state.Step, call: _state.Call, attempt: _state.Attempt
) -> None:
    """Record the response time of an answer for the zone that gave it."""
    if step.state.options.zone_overflow is None:
        return
    typical_s = step.latency_of(call.kind).value_s
    if typical_s <= 0.0:
        return
    step.state.zone_overflow.note_answer(
        call.service,
        attempt.server.zone,
        (step.now - attempt.sent_at) / typical_s,
        step.now,
    )
