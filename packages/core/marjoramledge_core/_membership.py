"""SWIM membership: failure detection and gossip of membership updates.

Each node probes one other member per period, in shuffled order: directly
first, then indirectly through a few helpers.  A member that does not answer
is published as suspected, and as failed unless it refutes the suspicion in
time with a higher incarnation.

Updates are piggybacked on probes.  They are also pushed to a few random
members within ``PUSH_DELAY_S``, since calls to a backend server that leaves
must stop at once.  At long intervals two nodes exchange their whole views,
which merges the two sides of a healed partition.  ``_roster`` holds the
member records, ``_update_queue`` the updates to be sent, and ``_probes`` the
open probes.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002; the
handling of a local pause follows Dadgar, Phillips and Currey, "Lifeguard:
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
from marjoramledge_core import _server_status
from marjoramledge_core import _timers
from marjoramledge_core import _update_queue

PROBE_PERIOD_S: typing.Final = 1.0
PROBE_TIMEOUT_S: typing.Final = 0.4
INDIRECT_PROBES: typing.Final = 3
MIN_SUSPICION_S: typing.Final = 3.0
PUSH_DELAY_S: typing.Final = 0.05
PUSH_FANOUT: typing.Final = 3
# A request that crashes servers may be repeated by its caller within a
# millisecond.  In fleets of up to this many members, the node that suspects it
# sends the suspicion to every member itself.  In larger ones it sends it to
# ``SUSPICION_FANOUT`` members, and each receiver forwards what is new to it to
# ``SUSPICION_RELAY_FANOUT`` others.
MAX_BROADCAST_MEMBERS: typing.Final = 128
SUSPICION_FANOUT: typing.Final = 16
SUSPICION_RELAY_FANOUT: typing.Final = 3
MIN_SYNC_PERIOD_S: typing.Final = 30.0
SYNC_PERIOD_PER_MEMBER_S: typing.Final = 0.2
# A node syncs often after its start and doubles the period with each sync, so
# that nodes that start together do not stay split into groups.
FIRST_SYNC_PERIOD_S: typing.Final = 0.5
# Shortest sync period once members have been read from the store, since the
# node then has less to learn from its peers.
STORED_MEMBERS_SYNC_PERIOD_S: typing.Final = 2.0
# By this time after its start, a node has learned of all live members through
# gossip; those that are only in the store are not added to its view any more.
BOOTSTRAP_S: typing.Final = 10.0
REGISTER_PERIOD_S: typing.Final = 300.0
# Used until another node is found, since registering also reads the records of
# a few other nodes from the store.
ALONE_REGISTER_PERIOD_S: typing.Final = 2.0
# A probe that starts this late means that this node itself was paused.
PAUSE_THRESHOLD_S: typing.Final = 2.0
FOLLOWERS_PER_ZONE: typing.Final = 2
# A node that receives no message for this long considers itself isolated.
# Normally it receives a probe and an answer to its own about once a second.
ISOLATION_TIMEOUT_S: typing.Final = 1.5
# Load changes are sent to other zones if they have at most this many members.
MAX_REMOTE_LOAD_RECEIVERS: typing.Final = 12
# Addresses to sync with besides those of members: seeds from the settings, and
# stored nodes that may be on the other side of a partition.
MAX_SEEDS: typing.Final = 64

_RECORD_OF_STATUS: typing.Final = {
    _members.MemberStatus.ALIVE: _records.RecordKind.MEMBER_JOINED,
    _members.MemberStatus.SUSPECT: _records.RecordKind.MEMBER_SUSPECTED,
    _members.MemberStatus.FAILED: _records.RecordKind.MEMBER_FAILED,
    _members.MemberStatus.LEFT: _records.RecordKind.MEMBER_LEFT,
}


class Membership:
    """A node's view of all members and the state of its gossip protocol.

    Methods append the resulting commands to ``out``.

    Parameters
    ----------
    myself
        Initial record of this node.
    seeds
        Addresses from the settings at which other nodes may be found.
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
        self._config = _manifest.KnownVersion(
            ref=_manifest.NO_VERSION, known_at=0.0
        )
        self._probes = _probes.ProbeTable()
        self._update_queue = _update_queue.UpdateQueue()
        self._is_push_scheduled = False
        self._probed_at: float | None = None
        self._sync_period_s = FIRST_SYNC_PERIOD_S
        self._sync_timer: _timers.Timer | None = None
        self._suspicion_timers: dict[_ids.NodeId, _timers.Timer] = {}
        self._register_period_s = ALONE_REGISTER_PERIOD_S
        self._has_registered = False
        self._started_at = 0.0
        self._received_at = -ISOLATION_TIMEOUT_S

    @property
    def myself(self) -> _members.Member:
        """Record of this node itself."""
        return self._roster.myself

    @property
    def members(
        self,
    ) -> collections.abc.Mapping[_ids.NodeId, _members.Member]:
        """All known members by node, including departed ones."""
        return self._roster.members

    @property
    def revision(self) -> int:
        """Number that increases whenever a record changes."""
        return self._roster.revision

    @property
    def present_count(self) -> int:
        """Number of members that have not departed, including this one."""
        return self._roster.present_count

    @property
    def max_present_count(self) -> int:
        """Highest value that ``present_count`` has had."""
        return self._roster.max_present_count

    def is_follower(self, now: float) -> bool:
        """Return whether this node follows the store for other nodes.

        Followers wait at the store for configuration changes and gossip what
        they read.  All nodes choose the same ``FOLLOWERS_PER_ZONE`` nodes of a
        zone; a node that is isolated follows the store itself.  One that has
        just started counts on the nodes that the store names.
        """
        if now - self._received_at > ISOLATION_TIMEOUT_S:
            return True
        has_just_started = now - self._started_at <= ISOLATION_TIMEOUT_S
        nodes = self._roster.list_in_zone(confirmed_only=not has_just_started)
        return self._roster.myself.node in nodes[:FOLLOWERS_PER_ZONE]

    @property
    def suspicion_s(self) -> float:
        """Seconds within which a suspected member can refute the suspicion."""
        return MIN_SUSPICION_S * max(
            1.0, math.log10(len(self._roster.members))
        )

    def start(self, now: float) -> None:
        """Schedule registration, sync and probes when the node starts."""
        self._started_at = self._received_at = now
        self._timers.set(now, _timers.TimerKind.MEMBER_REGISTER)
        self._schedule_sync(now)
        self._timers.set(now + PROBE_PERIOD_S, _timers.TimerKind.MEMBER_PROBE)

    def set_config(self, known: _manifest.KnownVersion) -> None:
        """Set the configuration version that is sent in messages."""
        self._config = known

    def push_now(
        self, rng: random.Random, out: list[_commands.Command]
    ) -> None:
        """Push the configuration version and queued updates to a few members.

        Most are in the local zone, where traffic is free; at least one is
        picked from all zones, so that updates spread beyond this one.
        """
        receivers = self._roster.pick_present(
            PUSH_FANOUT - 1, rng, zone=self._roster.myself.zone
        )
        for member in self._roster.pick_present(PUSH_FANOUT, rng):
            if len(receivers) < PUSH_FANOUT and member not in receivers:
                receivers.append(member)
        for member in receivers:
            self._send(_members.MessageKind.NEWS, member.address, out)

    def broadcast_load(
        self,
        load: _reports.LoadReport,
        out: list[_commands.Command],
    ) -> None:
        """Send a changed load report to other members at once.

        Members in the local zone always receive it.  Those in other zones
        receive it only while there are few of them, since cross-zone traffic
        must not grow with the square of the fleet size; they also learn the
        load from the answers to their calls.
        """
        present = self._roster.list_others()
        receivers = [m for m in present if m.zone == self._roster.myself.zone]
        if len(present) - len(receivers) <= MAX_REMOTE_LOAD_RECEIVERS:
            receivers = present
        for member in receivers:
            self._send_without_updates(
                _members.MessageKind.LOAD, member, out, load=load
            )

    def publish_suspicions(
        self,
        suspicions: collections.abc.Collection[_quarantine.Suspicion],
        rng: random.Random,
        out: list[_commands.Command],
        *,
        is_relayed: bool,
    ) -> None:
        """Send suspected or cleared requests now, and queue them for gossip.

        These messages carry no membership updates, to keep them small: under
        failures many calls are aborted, and each costs a message per member.
        ``is_relayed`` means that the suspicions came from another node.
        """
        is_broadcast = self.present_count <= MAX_BROADCAST_MEMBERS
        for suspicion in suspicions:
            self._update_queue.add_suspicion(
                suspicion,
                member_count=len(self._roster.members),
                was_broadcast=is_broadcast,
            )
        if not is_broadcast:
            fanout = SUSPICION_RELAY_FANOUT if is_relayed else SUSPICION_FANOUT
            receivers = self._roster.pick_present(fanout, rng)
        elif is_relayed:
            return
        else:
            receivers = self._roster.list_others()
        for member in receivers:
            self._send_without_updates(
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
        departed: _server_status.ServerStart | None = None,
        server_version: _ids.ServerVersion | None = None,
        now: float,
    ) -> None:
        """Publish a change of this node or of its backend server."""
        myself = self._roster.myself
        changed = dataclasses.replace(
            myself,
            status=status,
            service=service,
            server=server,
            slots=slots,
            departed=departed or myself.departed,
            server_version=(
                myself.server_version
                if server_version is None
                else server_version
            ),
        )
        if changed != myself:
            raised = myself.incarnation + 1
            record = dataclasses.replace(changed, incarnation=raised)
            self._publish_myself(record, now)

    def add_stored(
        self,
        members: collections.abc.Iterable[_members.Member],
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Add members read from the store, and sync with one of them.

        All nodes may have started together, for example after a power
        failure, and then no peer knows more.  Probes find the stored members
        that are gone.  Stored records are not gossiped, since every node can
        read them.

        Later than ``BOOTSTRAP_S``, a node that knows others only adds the
        addresses of unknown members to those it syncs with: such members are
        most likely long gone, but may be on the other side of a partition.
        """
        unknown = [m for m in members if m.node not in self._roster.members]
        if not unknown:
            return
        if self.present_count > 1 and now - self._started_at > BOOTSTRAP_S:
            self._seeds.extend(
                member.address
                for member in unknown
                if member.address not in self._seeds
            )
            del self._seeds[:-MAX_SEEDS]
            return
        for member in unknown:
            self._put_record(member, now, out)
        self._sync_period_s = max(
            self._sync_period_s, STORED_MEMBERS_SYNC_PERIOD_S
        )
        self._schedule_sync(now)

    def merge_members(
        self,
        members: collections.abc.Collection[_members.Member],
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Merge received records, from updates or a peer's whole view.

        Records older than the known ones change nothing, so records may
        arrive late, twice or in any order.  More unknown members than fit
        into one message are new only to a node that has just started; they
        are not gossiped on.
        """
        unknown = {
            m.node for m in members if m.node not in self._roster.members
        }
        for member in members:
            self._merge_member(member, now, out)
        if len(unknown) > _update_queue.MAX_UPDATES_PER_MESSAGE:
            for node in unknown:
                self._update_queue.drop_member(node)

    def receive_message(
        self,
        message: _members.Message,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        """Handle a membership message, and answer it if it is a probe."""
        self._received_at = now
        self.merge_members(message.updates, now, out)
        self._notify_suspected_sender(message)
        if message.kind is _members.MessageKind.PING:
            if message.target != self._roster.myself.node:
                # Meant for a node that had this address before.
                return
            self._send(
                _members.MessageKind.ACK,
                message.sender_address,
                out,
                sequence=message.sequence,
                target_node=message.sender,
            )
        elif message.kind is _members.MessageKind.ACK:
            self._handle_ack(message, out)
        elif message.kind is _members.MessageKind.PING_REQUEST:
            self._relay_probe(message, out)

    def probe_next(
        self,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Probe the next member; called once per probe period."""
        if self._was_paused(now):
            self._restart_suspicion_timers(now)
        self._probed_at = now
        for node in self._roster.forget_departed(now):
            self._update_queue.drop_member(node)
        self._timers.set(
            now + PROBE_PERIOD_S * rng.uniform(0.95, 1.05),
            _timers.TimerKind.MEMBER_PROBE,
        )
        target = self._roster.next_probe_target(rng)
        if target is None:
            return
        sequence = self._probes.open(target.node)
        self._send(
            _members.MessageKind.PING,
            target.address,
            out,
            sequence=sequence,
            target_node=target.node,
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
        """Handle a probe without an answer.

        A direct probe becomes indirect.  If it is indirect already, or no
        other member can help, its target is suspected.
        """
        target = self._probes.find_target(sequence)
        if target is None:
            return
        helpers = self._roster.pick_present(
            INDIRECT_PROBES, rng, excluded=target
        )
        if sequence > 0 and helpers:
            indirect = self._probes.make_indirect(sequence)
            for helper in helpers:
                self._send(
                    _members.MessageKind.PING_REQUEST,
                    helper.address,
                    out,
                    sequence=sequence,
                    target_node=target,
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
        """Mark a member as failed if it has not refuted the suspicion."""
        self._suspicion_timers.pop(node, None)
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
        self._put_record(failed, now, out)

    def push_updates(
        self, rng: random.Random, out: list[_commands.Command]
    ) -> None:
        """Push queued updates to a few members without waiting for a probe."""
        self._is_push_scheduled = False
        if self._update_queue.has_members:
            self.push_now(rng, out)

    def sync_next(
        self,
        now: float,
        rng: random.Random,
        out: list[_commands.Command],
    ) -> None:
        """Exchange whole views with one peer, and schedule the next sync."""
        address = self._pick_sync_peer(rng)
        if address is not None:
            out.append(_commands.SyncMembers(address=address))
        self._schedule_sync(now + self._sync_period_s * rng.uniform(0.8, 1.2))
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
        """Write this node's row to the store, and schedule the next write.

        A node that has found no other tries again soon.
        """
        is_alone_period = self._register_period_s == ALONE_REGISTER_PERIOD_S
        if self._has_registered and is_alone_period and self.present_count > 1:
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
        """Publish to a few members that this node has left."""
        self.update_myself(
            status=_members.MemberStatus.LEFT,
            service=self._roster.myself.service,
            server=_members.ServerState.ABSENT,
            slots=0,
            now=now,
        )
        self.push_now(rng, out)

    def _merge_member(
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
                self._put_record(member, now, out)
            return
        merged = _members.merge_records(known, member)
        if merged is not known:
            self._put_record(merged, now, out)

    def _refute(self, claim: _members.Member, now: float) -> None:
        myself = self._roster.myself
        record = _members.refute_claim(myself, claim)
        has_left = myself.status is _members.MemberStatus.LEFT
        if record is not myself and not has_left:
            self._publish_myself(record, now)

    def _publish_myself(self, record: _members.Member, now: float) -> None:
        self._roster.replace_myself(record)
        self._queue_update(record.node, now)

    def _put_record(
        self,
        member: _members.Member,
        now: float,
        out: list[_commands.Command],
    ) -> None:
        known = self._roster.members.get(member.node)
        self._roster.put(member, now)
        if member.is_confirmed:
            self._queue_update(member.node, now)
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
        self._put_record(suspect, now, out)

    def _set_suspicion_timer(
        self, member: _members.Member, now: float
    ) -> None:
        """Start the time for refutation; an earlier timer no longer counts."""
        earlier = self._suspicion_timers.get(member.node)
        if earlier is not None:
            earlier.is_cancelled = True
        self._suspicion_timers[member.node] = self._timers.set(
            now + self.suspicion_s,
            _timers.TimerKind.SUSPICION,
            subject=member.node,
            number=member.incarnation,
        )

    def _restart_suspicion_timers(self, now: float) -> None:
        # During a pause no refutation was received, and the old timers are all
        # due at once, so they are replaced.
        self._probes.clear()
        for member in self._roster.members.values():
            if member.status is _members.MemberStatus.SUSPECT:
                self._set_suspicion_timer(member, now)

    def _was_paused(self, now: float) -> bool:
        if self._probed_at is None:
            return False
        late = now - self._probed_at - PROBE_PERIOD_S
        return late > PAUSE_THRESHOLD_S

    def _schedule_sync(self, at: float) -> None:
        if self._sync_timer is not None:
            self._sync_timer.is_cancelled = True
        self._sync_timer = self._timers.set(at, _timers.TimerKind.MEMBER_SYNC)

    def _pick_sync_peer(self, rng: random.Random) -> _members.Address | None:
        known = self._roster.list_addresses()
        # A seed that is no member may be on the other side of a partition, or
        # may be long gone, so only half of the syncs try one.
        unknown = [seed for seed in self._seeds if seed not in known]
        choices = unknown
        if known and (not unknown or rng.random() < 0.5):
            choices = sorted(
                known, key=lambda address: (address.host, address.port)
            )
        if not choices:
            return None
        return choices[int(rng.random() * len(choices))]

    def _handle_ack(
        self, message: _members.Message, out: list[_commands.Command]
    ) -> None:
        relay = self._probes.close_relay(message.sequence)
        if relay is not None:
            self._send(
                _members.MessageKind.ACK,
                relay.origin,
                out,
                sequence=relay.sequence,
                target_node=message.target,
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
            target_node=target.node,
        )

    def _notify_suspected_sender(self, message: _members.Message) -> None:
        # A sender that is not recorded as alive must learn this to refute it:
        # the next message carries its record.
        known = self._roster.members.get(message.sender)
        if known is not None and (
            known.status is not _members.MemberStatus.ALIVE
        ):
            self._update_queue.ensure_queued(message.sender)

    def _queue_update(self, node: _ids.NodeId, now: float) -> None:
        self._update_queue.add_member(
            node, member_count=len(self._roster.members)
        )
        if not self._is_push_scheduled:
            self._is_push_scheduled = True
            self._timers.set(
                now + PUSH_DELAY_S, _timers.TimerKind.SEND_UPDATES
            )

    def _select_updates(
        self, target_node: _ids.NodeId | None
    ) -> tuple[_members.Member, ...]:
        required = [self._roster.myself.node]
        if target_node is not None and target_node in self._roster.members:
            required.append(target_node)
        chosen = self._update_queue.select_members(required)
        return tuple(self._roster.members[node] for node in chosen)

    def _send(
        self,
        kind: _members.MessageKind,
        address: _members.Address,
        out: list[_commands.Command],
        *,
        sequence: int = 0,
        target_node: _ids.NodeId | None = None,
    ) -> None:
        message = _members.Message(
            kind=kind,
            sender=self._roster.myself.node,
            sender_address=self._roster.myself.address,
            sequence=sequence,
            target=target_node or self._roster.myself.node,
            config=self._config.ref,
            config_known_at=self._config.known_at,
            updates=self._select_updates(target_node),
            suspicions=self._update_queue.select_suspicions(),
        )
        out.append(_commands.SendMessage(address=address, message=message))

    def _send_without_updates(
        self,
        kind: _members.MessageKind,
        receiver: _members.Member,
        out: list[_commands.Command],
        *,
        suspicions: tuple[_quarantine.Suspicion, ...] = (),
        load: _reports.LoadReport | None = None,
    ) -> None:
        """Send suspicions or a load report without membership updates."""
        message = _members.build_bare_message(
            self._roster.myself,
            kind,
            target=receiver.node,
            suspicions=suspicions,
            load=load,
        )
        out.append(
            _commands.SendMessage(address=receiver.address, message=message)
        )
