"""Which nodes there are: failure detection and spread of news by gossip.

Each node probes one other per period, in a shuffled round, directly and then
through a few helpers.  A member that does not answer is suspected, told to
everyone, and taken as failed unless it refutes in time by a higher
incarnation.  News rides on the probes and, since a leaving backend server
must lose its callers at once, is also pushed to a few random members within
``NEWS_DELAY_S``.  Rarely, two nodes exchange all they know, which heals what
a partition left apart.  The records are in ``_roster``, what is still to be
told is counted in ``_update_queue``, and open probes are kept in ``_probes``.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002; the care for a
node that was itself paused follows Dadgar, Phillips and Currey, "Lifeguard:
Local Health Awareness for More Accurate Failure Detection", 2017.
"""

import collections.abc
import dataclasses
import math
import random
import typing

from marjoramledge_core import _commands
from marjoramledge_core import _ids
from marjoramledge_core import _manifest
from marjoramledge_core import _members
from marjoramledge_core import _probes
from marjoramledge_core import _quarantine
from marjoramledge_core import _records
from marjoramledge_core import _reports
from marjoramledge_core import _roster
from marjoramledge_core import _timers
from marjoramledge_core import _update_queue

PROBE_PERIOD_S: typing.Final = 1.0
PROBE_TIMEOUT_S: typing.Final = 0.4
INDIRECT_PROBES: typing.Final = 3
MIN_SUSPICION_S: typing.Final = 3.0
NEWS_DELAY_S: typing.Final = 0.05
NEWS_FANOUT: typing.Final = 3
# A caller may send a deadly request again within a millisecond, so the node
# that suspects it tells up to so many members itself: one hop, one message a
# member.  In a larger fleet it tells some, and each that learns tells others.
MAX_TOLD_DIRECTLY: typing.Final = 128
SUSPICION_FANOUT: typing.Final = 16
SUSPICION_RELAY_FANOUT: typing.Final = 3
MIN_SYNC_PERIOD_S: typing.Final = 30.0
SYNC_PERIOD_PER_MEMBER_S: typing.Final = 0.2
# A node that starts exchanges views often, then ever less often, so that
# nodes that start together do not remain apart in groups.
FIRST_SYNC_PERIOD_S: typing.Final = 0.5
# A node that knows the others from the store has less to ask for.
KEPT_SYNC_PERIOD_S: typing.Final = 2.0
# After so long, a node has heard of whoever is there from the others.
KEPT_NEWS_S: typing.Final = 10.0
REGISTER_PERIOD_S: typing.Final = 300.0
# A node that has found nobody looks again this soon.
FIRST_REGISTER_PERIOD_S: typing.Final = 2.0
# A probe period this much late means that this node itself was paused.
PAUSE_THRESHOLD_S: typing.Final = 2.0
FOLLOWERS_PER_ZONE: typing.Final = 2
# A node is probed, and has its own probe answered, about once a second.
SILENCE_S: typing.Final = 1.5
MAX_FAR_TOLD: typing.Final = 12
# Addresses at which a node looks for groups apart from its own.
MAX_SEEDS: typing.Final = 64

_RECORD_OF_STATUS: typing.Final = {
    _members.MemberStatus.ALIVE: _records.RecordKind.MEMBER_JOINED,
    _members.MemberStatus.SUSPECT: _records.RecordKind.MEMBER_SUSPECTED,
    _members.MemberStatus.FAILED: _records.RecordKind.MEMBER_FAILED,
    _members.MemberStatus.LEFT: _records.RecordKind.MEMBER_LEFT,
}


class Membership:
    """View of all members that one node holds, and its protocol state.

    Methods append the commands that follow to ``out``.

    Parameters
    ----------
    myself
        First record of this node.
    seeds
        Addresses from the settings at which to look for others.
    timers
        The node's timers.
    """

    def __init__(
        self,
        *,
        myself: _members.Member,
        seeds: collections.abc.Iterable[_members.Address],
        timers: _timers.TimerQueue,
    ) -> None:
        self._seeds = [seed for seed in seeds if seed != myself.address]
        self._timers = timers
        self._roster = _roster.Roster(myself=myself)
        self._config = _manifest.NO_VERSION
        self._probes = _probes.ProbeTable()
        self._update_queue = _update_queue.UpdateQueue()
        self._push_is_set = False
        self._probed_at: float | None = None
        self._sync_period_s = FIRST_SYNC_PERIOD_S
        self._sync_timer: _timers.Timer | None = None
        self._register_period_s = FIRST_REGISTER_PERIOD_S
        self._has_registered = False
        self._started_at = 0.0
        self._heard_at = -SILENCE_S

    @property
    def myself(self) -> _members.Member:
        """Own record of this node."""
        return self._roster.myself

    @property
    def members(
        self,
    ) -> collections.abc.Mapping[_ids.NodeId, _members.Member]:
        """All members known, departed ones included."""
        return self._roster.members

    @property
    def revision(self) -> int:
        """Number that grows whenever a record changes."""
        return self._roster.revision

    @property
    def present_count(self) -> int:
        """Members that have not departed, this one included."""
        return self._roster.present_count

    @property
    def max_present_count(self) -> int:
        """Most members that have been present at once."""
        return self._roster.max_present_count

    def is_follower(self, now: float) -> bool:
        """Tell whether this node is to follow the store for others.

        A few of each zone do, picked alike by all, and whoever hears nobody.
        """
        if now - self._heard_at > SILENCE_S:
            return True
        nodes = self._roster.list_confirmed_in_zone()
        return self._roster.myself.node in nodes[:FOLLOWERS_PER_ZONE]

    @property
    def suspicion_s(self) -> float:
        """Seconds that a suspected member has to refute."""
        return MIN_SUSPICION_S * max(
            1.0, math.log10(len(self._roster.members))
        )

    def start(self, now: float) -> None:
        """Set the first timers of a node that starts."""
        self._started_at = now
        self._timers.set(now, _timers.TimerKind.MEMBER_REGISTER)
        self._plan_sync(now)
        self._timers.set(now + PROBE_PERIOD_S, _timers.TimerKind.MEMBER_PROBE)

    def set_config(self, ref: _manifest.VersionRef) -> None:
        """Set the configuration version that messages tell of."""
        self._config = ref

    def push_now(
        self, rng: random.Random, out: list[_commands.Command]
    ) -> None:
        """Push the configuration version and fresh news to a few members.

        Most are of the own zone, where bytes cost nothing; one or more of
        any zone carry the news on.
        """
        told = self._roster.pick_present(
            NEWS_FANOUT - 1, rng, zone=self._roster.myself.zone
        )
        for member in self._roster.pick_present(NEWS_FANOUT, rng):
            if len(told) < NEWS_FANOUT and member not in told:
                told.append(member)
        for member in told:
            self._send(_members.MessageKind.NEWS, member.address, out)

    def broadcast_load(
        self,
        load: _reports.LoadReport,
        out: list[_commands.Command],
    ) -> None:
        """Tell members at once how the load here has changed.

        Those of the own zone always hear; those of other zones only where
        they are few, since what crosses zones must not grow with the square
        of the fleet, and their answers tell them anyway.
        """
        present = self._roster.list_others()
        told = [m for m in present if m.zone == self._roster.myself.zone]
        if len(present) - len(told) <= MAX_FAR_TOLD:
            told = present
        for member in told:
            self._send_lone(_members.MessageKind.LOAD, member, out, load=load)

    def publish_suspicions(
        self,
        suspicions: collections.abc.Collection[_quarantine.Suspicion],
        rng: random.Random,
        out: list[_commands.Command],
        *,
        is_relayed: bool,
    ) -> None:
        """Tell of suspected or cleared requests, now and for a while.

        The messages carry nothing else: a broken call is frequent in bad
        times, and what it costs is multiplied by the members.  ``is_relayed``
        tells that another node has told of them.
        """
        is_told_directly = self.present_count <= MAX_TOLD_DIRECTLY
        for suspicion in suspicions:
            self._update_queue.add_suspicion(
                suspicion,
                known=len(self._roster.members),
                is_known_to_most=is_told_directly,
            )
        if not is_told_directly:
            fanout = SUSPICION_RELAY_FANOUT if is_relayed else SUSPICION_FANOUT
            told = self._roster.pick_present(fanout, rng)
        elif is_relayed:
            return
        else:
            told = self._roster.list_others()
        for member in told:
            self._send_lone(
                _members.MessageKind.NEWS,
                member,
                out,
                suspicions=tuple(suspicions),
            )

    def update_myself(
        self,
        *,
        status: _members.MemberStatus = _members.MemberStatus.ALIVE,
        service: _ids.ServiceName,
        server: _members.ServerState,
        slots: int,
        now: float,
    ) -> None:
        """Publish a change of this node or of its backend server."""
        changed = dataclasses.replace(
            self._roster.myself,
            status=status,
            service=service,
            server=server,
            slots=slots,
        )
        if changed != self._roster.myself:
            self._raise_incarnation(
                changed, self._roster.myself.incarnation, now
            )

    def add_stored(
        self,
        members: collections.abc.Iterable[_members.Member],
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Take in what the store has kept of nodes, and ask one of them.

        All may have started together, after a loss of power say, so nobody
        could tell more.  Who is gone is found by probes.  Nothing of this is
        spread: every node can read it.  Later on, strangers are most likely
        gone for long, but may be a group apart from this one.
        """
        strangers = [m for m in members if m.node not in self._roster.members]
        if not strangers:
            return
        if self.present_count > 1 and now - self._started_at > KEPT_NEWS_S:
            self._seeds.extend(
                member.address
                for member in strangers
                if member.address not in self._seeds
            )
            del self._seeds[:-MAX_SEEDS]
            return
        for member in strangers:
            self._store(member, now, out)
        self._sync_period_s = max(self._sync_period_s, KEPT_SYNC_PERIOD_S)
        self._plan_sync(now)

    def merge_members(
        self,
        members: collections.abc.Collection[_members.Member],
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Take in records of members, from news or from a peer's whole view.

        Records that are older than what is known change nothing, so they may
        come late, twice or in any order.  Strangers that come by the dozen
        are old news to everyone but a node that starts; they are not spread.
        """
        strangers = {
            m.node for m in members if m.node not in self._roster.members
        }
        for member in members:
            self._take_member(member, now, out)
        if len(strangers) > _update_queue.NEWS_PER_MESSAGE:
            for node in strangers:
                self._update_queue.drop_member(node)

    def receive_message(
        self,
        message: _members.Message,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Take in a message and answer it where it asks for an answer."""
        self._heard_at = now
        self.merge_members(message.updates, now, out)
        self._answer_outdated_sender(message)
        if message.kind is _members.MessageKind.PING:
            if message.target != self._roster.myself.node:
                # Another node had this address before.
                return
            self._send(
                _members.MessageKind.ACK,
                message.sender_address,
                out,
                sequence=message.sequence,
                about=message.sender,
            )
        elif message.kind is _members.MessageKind.ACK:
            self._take_ack(message, out)
        elif message.kind is _members.MessageKind.PING_REQUEST:
            self._relay_probe(message, out)

    def probe_next(
        self,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Probe the next member of the round; runs once a period."""
        if self._was_paused(now):
            self._restart_suspicions(now)
        self._probed_at = now
        for node in self._roster.forget_departed(now):
            self._update_queue.drop_member(node)
        self._timers.set(
            now + PROBE_PERIOD_S * rng.uniform(0.95, 1.05),
            _timers.TimerKind.MEMBER_PROBE,
        )
        target = self._roster.take_next(rng)
        if target is None:
            return
        sequence = self._probes.open(target.node)
        self._send(
            _members.MessageKind.PING,
            target.address,
            out,
            sequence=sequence,
            about=target.node,
        )
        self._timers.set(
            now + PROBE_TIMEOUT_S,
            _timers.TimerKind.PROBE_TIMEOUT,
            number=sequence,
        )

    def probe_timed_out(
        self,
        sequence: int,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Go on with a probe that has no answer: helpers, then suspicion."""
        target = self._probes.find_target(sequence)
        if target is None:
            return
        helpers = self._roster.pick_present(
            INDIRECT_PROBES, rng, without=target
        )
        if sequence > 0 and helpers:
            indirect = self._probes.go_indirect(sequence)
            for helper in helpers:
                self._send(
                    _members.MessageKind.PING_REQUEST,
                    helper.address,
                    out,
                    sequence=sequence,
                    about=target,
                )
            self._timers.set(
                now + PROBE_PERIOD_S - PROBE_TIMEOUT_S,
                _timers.TimerKind.PROBE_TIMEOUT,
                number=indirect,
            )
            return
        self._probes.close(sequence)
        if not self._was_paused(now):
            self._suspect(target, now, out)

    def suspicion_timed_out(
        self,
        node: _ids.NodeId,
        incarnation: int,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Take a suspected member as failed unless it has refuted."""
        member = self._roster.members.get(node)
        if (
            member is None
            or member.status is not _members.MemberStatus.SUSPECT
            or member.incarnation != incarnation
        ):
            return
        if self._was_paused(now):
            self._set_suspicion_timer(member, now)
            return
        failed = dataclasses.replace(
            member, status=_members.MemberStatus.FAILED
        )
        self._store(failed, now, out)

    def push_updates(
        self, rng: random.Random, out: list[_commands.Command]
    ) -> None:
        """Send fresh news to a few members without waiting for a probe."""
        self._push_is_set = False
        if self._update_queue.has_members:
            self.push_now(rng, out)

    def sync_next(
        self,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Exchange all members with one peer."""
        address = self._pick_sync_peer(rng)
        if address is not None:
            out.append(_commands.SyncMembers(address=address))
        self._plan_sync(now + self._sync_period_s * rng.uniform(0.8, 1.2))
        if self.present_count > 1:
            steady_s = SYNC_PERIOD_PER_MEMBER_S * self.present_count
            self._sync_period_s = min(
                max(MIN_SYNC_PERIOD_S, steady_s), 2 * self._sync_period_s
            )

    def renew_registration(
        self,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Keep this node's row in the table fresh.

        A node that has found nobody tries again soon.
        """
        is_first_again = self._register_period_s == FIRST_REGISTER_PERIOD_S
        if self._has_registered and is_first_again and self.present_count > 1:
            self._register_period_s = REGISTER_PERIOD_S
        else:
            self._has_registered = True
            out.append(_commands.RegisterMember())
        self._timers.set(
            now + self._register_period_s * rng.uniform(0.8, 1.2),
            _timers.TimerKind.MEMBER_REGISTER,
        )

    def leave(
        self, now: float, rng: random.Random, out: list[_commands.Command]
    ) -> None:
        """Tell a few members that this node is gone for good."""
        self.update_myself(
            status=_members.MemberStatus.LEFT,
            service=self._roster.myself.service,
            server=_members.ServerState.ABSENT,
            slots=0,
            now=now,
        )
        self.push_now(rng, out)

    def _take_member(
        self,
        member: _members.Member,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        if member.node == self._roster.myself.node:
            self._refute(member, now)
            return
        known = self._roster.members.get(member.node)
        if known is None:
            if member.status not in _roster.DEPARTED:
                self._store(member, now, out)
        elif member.supersedes(known):
            self._store(member, now, out)

    def _refute(self, claim: _members.Member, now: float) -> None:
        if claim == self._roster.myself or (
            claim.incarnation < self._roster.myself.incarnation
        ):
            return
        if self._roster.myself.status is _members.MemberStatus.LEFT:
            return
        self._raise_incarnation(self._roster.myself, claim.incarnation, now)

    def _raise_incarnation(
        self, record: _members.Member, above: int, now: float
    ) -> None:
        self._roster.replace_myself(
            dataclasses.replace(record, incarnation=above + 1)
        )
        self._spread(record.node, now)

    def _store(
        self,
        member: _members.Member,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        known = self._roster.members.get(member.node)
        self._roster.store(member, now)
        if member.is_confirmed:
            self._spread(member.node, now)
        if member.status is _members.MemberStatus.SUSPECT:
            self._set_suspicion_timer(member, now)
        if known is None or known.status is not member.status:
            record = _records.Record(
                kind=_RECORD_OF_STATUS[member.status],
                peer=member.node,
                service=member.service,
                detail=f"incarnation {member.incarnation}",
            )
            out.append(_commands.WriteRecord(record=record))

    def _suspect(
        self,
        node: _ids.NodeId,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        member = self._roster.members.get(node)
        if member is None or member.status is not _members.MemberStatus.ALIVE:
            return
        suspect = dataclasses.replace(
            member, status=_members.MemberStatus.SUSPECT
        )
        self._store(suspect, now, out)

    def _set_suspicion_timer(
        self, member: _members.Member, now: float
    ) -> None:
        self._timers.set(
            now + self.suspicion_s,
            _timers.TimerKind.SUSPICION,
            subject=member.node,
            number=member.incarnation,
        )

    def _restart_suspicions(self, now: float) -> None:
        # A node that was paused heard no refutation; its old timers, which
        # are all due at once now, must not count.
        self._probes.clear()
        for member in self._roster.members.values():
            if member.status is _members.MemberStatus.SUSPECT:
                self._set_suspicion_timer(member, now)

    def _was_paused(self, now: float) -> bool:
        if self._probed_at is None:
            return False
        late = now - self._probed_at - PROBE_PERIOD_S
        return late > PAUSE_THRESHOLD_S

    def _plan_sync(self, at: float) -> None:
        if self._sync_timer is not None:
            self._sync_timer.is_cancelled = True
        self._sync_timer = self._timers.set(at, _timers.TimerKind.MEMBER_SYNC)

    def _pick_sync_peer(self, rng: random.Random) -> _members.Address | None:
        known = self._roster.list_addresses()
        # A seed that is no member yet may belong to a group apart from this
        # one, but it may also be long gone.
        strangers = [seed for seed in self._seeds if seed not in known]
        choices = strangers
        if known and (not strangers or rng.random() < 0.5):
            choices = sorted(
                known, key=lambda address: (address.host, address.port)
            )
        if not choices:
            return None
        return choices[int(rng.random() * len(choices))]

    def _take_ack(
        self, message: _members.Message, out: list[_commands.Command]
    ) -> None:
        relay = self._probes.close_relay(message.sequence)
        if relay is not None:
            self._send(
                _members.MessageKind.ACK,
                relay.origin,
                out,
                sequence=relay.sequence,
                about=message.target,
            )
            return
        self._probes.close(message.sequence)

    def _relay_probe(
        self, message: _members.Message, out: list[_commands.Command]
    ) -> None:
        target = self._roster.members.get(message.target)
        if target is None:
            return
        sequence = self._probes.open_relay(
            _probes.Relay(
                origin=message.sender_address, sequence=message.sequence
            )
        )
        self._send(
            _members.MessageKind.PING,
            target.address,
            out,
            sequence=sequence,
            about=target.node,
        )

    def _answer_outdated_sender(self, message: _members.Message) -> None:
        # A sender that is thought to be gone must hear so, or it cannot
        # refute; the next message to it then carries its record.
        known = self._roster.members.get(message.sender)
        if known is not None and (
            known.status is not _members.MemberStatus.ALIVE
        ):
            self._update_queue.add_once(message.sender)

    def _spread(self, node: _ids.NodeId, now: float) -> None:
        self._update_queue.add_member(node, known=len(self._roster.members))
        if not self._push_is_set:
            self._push_is_set = True
            self._timers.set(now + NEWS_DELAY_S, _timers.TimerKind.NEWS)

    def _take_news(
        self, about: _ids.NodeId | None
    ) -> tuple[_members.Member, ...]:
        first = [self._roster.myself.node]
        if about is not None and about in self._roster.members:
            first.append(about)
        chosen = self._update_queue.merge_members(first)
        return tuple(self._roster.members[node] for node in chosen)

    def _send(
        self,
        kind: _members.MessageKind,
        address: _members.Address,
        out: list[_commands.Command],
        *,
        sequence: int = 0,
        about: _ids.NodeId | None = None,
    ) -> None:
        message = _members.Message(
            kind=kind,
            sender=self._roster.myself.node,
            sender_address=self._roster.myself.address,
            sequence=sequence,
            target=about or self._roster.myself.node,
            config=self._config,
            updates=self._take_news(about),
            suspicions=self._update_queue.take_suspicions(),
        )
        out.append(_commands.SendMessage(address=address, message=message))

    def _send_lone(
        self,
        kind: _members.MessageKind,
        receiver: _members.Member,
        out: list[_commands.Command],
        *,
        suspicions: tuple[_quarantine.Suspicion, ...] = (),
        load: _reports.LoadReport | None = None,
    ) -> None:
        """Send one piece of information without the news of members."""
        message = _members.Message(
            kind=kind,
            sender=self._roster.myself.node,
            sender_address=self._roster.myself.address,
            sequence=0,
            target=receiver.node,
            config=_manifest.NO_VERSION,
            updates=(),
            suspicions=suspicions,
            load=load,
        )
        out.append(
            _commands.SendMessage(address=receiver.address, message=message)
        )
