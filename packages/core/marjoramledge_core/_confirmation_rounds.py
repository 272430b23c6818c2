"""Keeps the confirmation of the version in force young.

A few nodes read the store often for the fleet (readers).  The others ask one
of them with a PING, whose ACK tells the age of the confirmation.  In a large
fleet most nodes ask relays, which ask the readers.  When that does not help,
nodes ask others at random, and as a last resort read the store themselves, a
few a second over the fleet.  One that succeeds stands in for the readers: it
goes on reading and informs the others, until a reader or another stand-in
before it by name has a young confirmation.

Active while the configuration in force lists workspaces.
"""

import dataclasses
import math
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _confirmation
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _records
from marjoramledge_core import _roster
from marjoramledge_core import _state
from marjoramledge_core import _timers
from marjoramledge_core import _version_numbers

# Nodes that read the store often, in zones of their own.
FREQUENT_READERS: typing.Final = 2
# Interval of checks of an old confirmation, and while there is none at all, as
# after a start: requests with keys are refused then.
CHECK_PERIOD_S: typing.Final = 0.15
UNCONFIRMED_PERIOD_S: typing.Final = 0.1
# A reader's confirmation is 0.8 to 1.65 s old, since its reads wait for
# changes for 0.8 s.  A node that asks the same reader at the end of that time
# gets the next one at once; asking earlier is mostly in vain.  Relays have one
# that is older by a check or two.
ASK_AGE_S: typing.Final = 1.65
RELAYED_ASK_AGE_S: typing.Final = 1.9
# Fleets of more members than this use relays, one for so many members.
MAX_DIRECT_MEMBERS: typing.Final = 128
MEMBERS_PER_RELAY: typing.Final = 64
# Age from which a node reads the store itself, and such reads per second by
# all nodes that can reach each other.  The bound of a deployment is 5 s, and a
# node may refuse requests after 3 s without a path to the store.
READ_AGE_S: typing.Final = 2.2
FLEET_READS_PER_S: typing.Final = 3.0
# Longest delay after failed reads of this node; each failure doubles it.
MAX_RETRY_S: typing.Final = 4.0
# A read that has not ended by then is lost.
READ_TIMEOUT_S: typing.Final = 2.0
# How often a stand-in reads and asks, and the age at which the confirmation of
# another node shows that it is not needed any more.
STAND_IN_PERIOD_S: typing.Final = 0.8
YOUNG_AGE_S: typing.Final = 1.7
# A stand-in informs so many members in a large fleet, and all in a small one.
INFORMED_MEMBERS: typing.Final = 32


def is_proven(step: _state.Step) -> bool:
    """Return whether a known key may be accepted."""
    limit_s = step.state.options.revocation_limit_s
    return limit_s is None or _confirmation.is_within(_age_s(step), limit_s)


def can_reject(step: _state.Step) -> bool:
    """Return whether an unknown key may be rejected for good.

    The key may be part of a version that must be in force by now.
    """
    state = step.state
    limit_s = state.options.outdated_limit_s
    if state.options.revocation_limit_s is not None:
        limit_s = min(limit_s, state.options.revocation_limit_s)
    return state.confirmation.knows_newest(
        state.versions.wanted, state.versions.ref
    ) and _confirmation.is_within(_age_s(step), limit_s)


def describe(step: _state.Step) -> str:
    """Describe the confirmation, for records."""
    age_s = _age_s(step)
    by = step.state.confirmation.by
    age = f"{age_s:.3f} s ago by {by}" if by else "never"
    return f"version {step.state.versions.describe()}, confirmed {age}"


def start(step: _state.Step) -> None:
    """Begin to keep the confirmation young if there are workspaces."""
    state = step.state
    state.confirmation.settle(state.versions.ref)
    if _is_needed(state) and not state.confirmation_rounds.is_running:
        state.confirmation_rounds.is_running = True
        state.timers.set(step.now, _timers.TimerKind.CONFIRMATION)


def note_read(
    step: _state.Step, ref: _manifest.VersionRef, started_at: float | None
) -> None:
    """Note what a read of the store by this node has shown."""
    if started_at is None:
        return
    state = step.state
    state.confirmation.note(
        _confirmation.ConfirmedVersion(
            ref=ref, at=started_at, by=state.node, is_own_read=True
        ),
        state.versions.ref,
    )


def read_ended(step: _state.Step, *, is_success: bool) -> None:
    """Handle the end of a read of last resort."""
    rounds = step.state.confirmation_rounds
    rounds.is_reading = False
    if not is_success:
        rounds.is_stand_in = False
        rounds.retry_at = step.now + rounds.retry_s * step.rng.uniform(0.5, 1)
        rounds.retry_s = min(MAX_RETRY_S, 2.0 * rounds.retry_s)
        return
    rounds.retry_s = _confirmation.MIN_RETRY_S
    if not rounds.is_stand_in:
        # A reader reads regularly.
        rounds.is_stand_in = not _is_reader(rounds, step.state.node)
        _inform_others(step)


def note_message(
    step: _state.Step, message: _members.Message, replies_from: int
) -> None:
    """Handle a peer's message, and complete the replies to it.

    ``replies_from`` is the index of the first command that replies to it.
    """
    state = step.state
    if not _is_needed(state):
        return
    state.confirmation.note_peer_version(message.config, state.versions.ref)
    if message.kind is _members.MessageKind.PING:
        if message.confirmed_by is not None:
            state.confirmation_rounds.hint = message.confirmed_by
        _complete_replies(step, replies_from)
    elif message.kind is _members.MessageKind.ACK:
        _note_answer(step, message)


def check(step: _state.Step) -> None:
    """Ask a peer or read the store if the confirmation is getting old."""
    state, rounds = step.state, step.state.confirmation_rounds
    if not _is_needed(state):
        rounds.is_running = rounds.is_stand_in = False
        return
    state.confirmation.settle(state.versions.ref)
    age_s = state.confirmation.age_s(step.now)
    period_s = CHECK_PERIOD_S if age_s < math.inf else UNCONFIRMED_PERIOD_S
    _record_change(step)
    _find_sources(state)
    ask_age_s = RELAYED_ASK_AGE_S if _asks_relays(state) else ASK_AGE_S
    delay_s = period_s * step.rng.uniform(0.8, 1.2)
    if not rounds.is_stand_in:
        delay_s = max(delay_s, ask_age_s - age_s)
    state.timers.set(step.now + delay_s, _timers.TimerKind.CONFIRMATION)
    # A stand-in finds out whether it is still needed.
    is_due = step.now - rounds.asked_at >= STAND_IN_PERIOD_S
    if age_s >= ask_age_s or (rounds.is_stand_in and is_due):
        _ask(step)
    if _should_read(step, age_s, period_s):
        rounds.is_reading = True
        rounds.read_began_at = step.now
        step.out.append(_commands.ReadVersion(wait_s=0.0, is_confirming=True))


def _is_reader(
    rounds: _confirmation.ConfirmationRounds, name: _ids.NodeId
) -> bool:
    return any(member.node == name for member in rounds.readers)


def _is_needed(state: _state.NodeState) -> bool:
    configuration = state.versions.configuration
    return configuration is not None and bool(configuration.workspaces)


def _age_s(step: _state.Step) -> float:
    """Return the age of the confirmation; infinite once the era ends."""
    versions = step.state.versions
    step.state.confirmation.settle(versions.ref)
    era = _version_numbers.era_of(versions.wanted.version)
    if era > versions.era:
        return math.inf
    return step.state.confirmation.age_s(step.now)


def _record_change(step: _state.Step) -> None:
    rounds = step.state.confirmation_rounds
    if step.state.options.revocation_limit_s is None:
        return
    proven = is_proven(step)
    if proven != rounds.is_proven:
        rounds.is_proven = proven
        kind = _records.RecordKind.CONFIG_UNPROVEN
        if proven:
            kind = _records.RecordKind.CONFIG_PROVEN
        step.record(kind, detail=describe(step))


def _should_read(step: _state.Step, age_s: float, period_s: float) -> bool:
    rounds = step.state.confirmation_rounds
    since_read_s = step.now - rounds.read_began_at
    if rounds.is_reading and since_read_s < READ_TIMEOUT_S:
        return False
    if step.now < rounds.retry_at:
        return False
    if rounds.is_stand_in:
        return since_read_s >= STAND_IN_PERIOD_S
    if age_s < READ_AGE_S:
        return False
    # A node that no peer answers can't count on the reads of others.
    share = step.state.confirmation.answering_share(step.now)
    nodes = max(1.0, share * step.state.membership.present_count)
    return step.rng.random() < FLEET_READS_PER_S * period_s / nodes


def _find_sources(state: _state.NodeState) -> None:
    """Find the readers and relays; all nodes find the same."""
    rounds, membership = state.confirmation_rounds, state.membership
    if rounds.members_revision == membership.revision:
        return
    rounds.members_revision = membership.revision
    alive = sorted(
        (
            member
            for member in membership.members.values()
            if member.status is _members.MemberStatus.ALIVE
        ),
        key=lambda member: member.node,
    )
    rounds.readers = _roster.list_first_of_zones(alive, FREQUENT_READERS)
    rounds.relays = ()
    if len(alive) > MAX_DIRECT_MEMBERS:
        others = [member for member in alive if member not in rounds.readers]
        count = math.ceil(len(alive) / MEMBERS_PER_RELAY)
        rounds.relays = tuple(others[:count])


def _asks_relays(state: _state.NodeState) -> bool:
    rounds = state.confirmation_rounds
    return bool(rounds.relays) and all(
        member.node != state.node
        for member in (*rounds.readers, *rounds.relays)
    )


def _ask(step: _state.Step) -> None:
    """Ask the node that is most likely to have a young confirmation."""
    state, rounds = step.state, step.state.confirmation_rounds
    rounds.failed_asks += 1
    target = _choose_source(step)
    if target is None:
        return
    rounds.asked_at = step.now
    # Numbers of questions of an earlier process must not be used again.
    sequence = 1 << 62 | step.rng.getrandbits(61)
    state.confirmation.open_ask(sequence, target.node, step.now)
    _send_ping(step, target, sequence)


def _send_ping(
    step: _state.Step,
    target: _members.Member,
    sequence: int,
    confirmed_by: _ids.NodeId | None = None,
) -> None:
    myself = step.state.membership.myself
    message = _members.Message(
        kind=_members.MessageKind.PING,
        sender=myself.node,
        sender_address=myself.address,
        sequence=sequence,
        target=target.node,
        config=step.state.versions.ref,
        config_known_at=step.state.versions.in_force.known_at,
        updates=(),
        suspicions=(),
        confirmed_by=confirmed_by,
    )
    step.out.append(
        _commands.SendMessage(address=target.address, message=message)
    )


def _choose_source(step: _state.Step) -> _members.Member | None:
    state, rounds = step.state, step.state.confirmation_rounds
    members = state.membership.members
    sources = rounds.relays if _asks_relays(state) else rounds.readers
    stand_in = members.get(rounds.hint)
    if rounds.relays and rounds.failed_asks <= 1:
        # So many nodes must not ask the same one.
        stand_in = None
    turns: tuple[typing.Iterable[_members.Member | None], ...] = (
        (members.get(state.confirmation.by),),
        (stand_in,),
        sources,
        members.values(),
    )
    for candidates in (
        turns[rounds.failed_asks % len(turns)],
        sources,
        members.values(),
    ):
        usable = [
            member
            for member in candidates
            if member is not None and _can_ask(state, member)
        ]
        if not usable:
            continue
        # Datagrams within a zone are free.
        near = [member for member in usable if member.zone == state.zone]
        if near and rounds.failed_asks <= 1:
            usable = near
        return step.rng.choice(usable)
    return None


def _can_ask(state: _state.NodeState, member: _members.Member) -> bool:
    is_present = member.status <= _members.MemberStatus.SUSPECT
    return is_present and member.node != state.node


def _complete_replies(step: _state.Step, replies_from: int) -> None:
    """Add this node's confirmation to the ACKs of a PING.

    The age must be told together with the version that it concerns.
    """
    state = step.state
    age_s = _age_s(step)
    if age_s == math.inf:
        return
    for command in step.out[replies_from:]:
        if not isinstance(command, _commands.SendMessage):
            continue
        if command.message.kind is _members.MessageKind.ACK:
            command.message = dataclasses.replace(
                command.message,
                config=state.versions.ref,
                config_known_at=state.versions.in_force.known_at,
                confirmed_age_s=age_s,
                confirmed_by=state.confirmation.by,
            )


def _note_answer(step: _state.Step, message: _members.Message) -> None:
    state, rounds = step.state, step.state.confirmation_rounds
    asked_at = state.confirmation.close_ask(message.sequence, message.sender)
    age_s, by = message.confirmed_age_s, message.confirmed_by
    if asked_at is None or age_s is None or age_s < 0.0 or by is None:
        return
    if message.sender == rounds.hint and by != rounds.hint:
        rounds.hint = _ids.NO_NODE
    before_s = state.confirmation.age_s(step.now)
    state.confirmation.note(
        _confirmation.ConfirmedVersion(
            ref=message.config, at=asked_at - age_s, by=by, is_own_read=False
        ),
        state.versions.ref,
    )
    if state.confirmation.age_s(step.now) < before_s:
        rounds.failed_asks = 0
    takes_over = _is_reader(rounds, by) or by < state.node
    if by != state.node and takes_over and age_s < YOUNG_AGE_S:
        rounds.is_stand_in = False


def _inform_others(step: _state.Step) -> None:
    """Inform other members that this node reads the store."""
    state = step.state
    others = [
        member
        for member in state.membership.members.values()
        if _can_ask(state, member)
    ]
    if len(others) > MAX_DIRECT_MEMBERS:
        others = step.rng.sample(others, INFORMED_MEMBERS)
        others += state.confirmation_rounds.relays
    for member in others:
        sequence = 1 << 62 | step.rng.getrandbits(61)
        _send_ping(step, member, sequence, confirmed_by=state.node)
