"""Encoding of membership messages as thrift structures.

The structures are written by hand in thriftpy2's form, so that neither the
build nor a node's start needs a code generator or a parser of interface files.
A field number must never be reused for another meaning.
"""

import collections.abc
import dataclasses
import math
import typing

from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from returns import result
from thriftpy2 import protocol
from thriftpy2 import thrift
from thriftpy2 import utils

from marjoramledge_node import _auth

MAX_DATAGRAM_BYTES: typing.Final = 8192
# Characters of the reason of a roll-out's decision that are sent.
MAX_REASON_CHARS: typing.Final = 240

_STRING: typing.Final = thrift.TType.STRING
_BINARY: typing.Final = thrift.TType.BINARY
_BOOL: typing.Final = thrift.TType.BOOL
_I32: typing.Final = thrift.TType.I32
_I64: typing.Final = thrift.TType.I64
_STRUCT: typing.Final = thrift.TType.STRUCT
_LIST: typing.Final = thrift.TType.LIST


class _MemberStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_STRING, "node", False),
        2: (_STRING, "host", False),
        3: (_I32, "port", False),
        4: (_STRING, "zone", False),
        5: (_I64, "incarnation", False),
        6: (_I32, "status", False),
        7: (_STRING, "service", False),
        8: (_I32, "server", False),
        9: (_I32, "slots", False),
        10: (_STRING, "departed_server", False),
        11: (_I64, "departed_born", False),
        12: (_STRING, "server_version", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _SuspicionStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_STRING, "fingerprint", False),
        2: (_LIST, "deaths", _STRING, False),
        3: (_LIST, "excused", _STRING, False),
        4: (_I64, "age_ms", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _LoadStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_I32, "in_flight", False),
        2: (_I32, "limit", False),
        3: (_I64, "service_us", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _CountsStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_STRING, "kind", False),
        2: (_I64, "old_responses", False),
        3: (_I64, "old_failures", False),
        4: (_I64, "old_slow", False),
        5: (_I64, "new_responses", False),
        6: (_I64, "new_failures", False),
        7: (_I64, "new_slow", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _QuotaReportStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_I32, "group", False),
        2: (_STRING, "workspace", False),
        3: (_I32, "wanted", False),
        4: (_I32, "returned", False),
        5: (_I32, "vote", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _RolloutStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_STRING, "service", False),
        2: (_STRING, "version", False),
        3: (_STRING, "order", False),
        4: (_I32, "phase", False),
        5: (_I64, "started_age_ms", False),
        6: (_I64, "changed_age_ms", False),
        7: (_BOOL, "is_stored", False),
        8: (_STRING, "reason", False),
        9: (_I64, "run", False),
        10: (_I64, "number", False),
        11: (_LIST, "counts", (_STRUCT, _CountsStruct), False),
        12: (_BOOL, "is_untested", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _QuotaShareStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_I32, "group", False),
        2: (_STRING, "workspace", False),
        3: (_I32, "granted", False),
        4: (_I32, "wait_ms", False),
        5: (_I32, "retry_after_ms", False),
        6: (_I32, "poll", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _MessageStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_I32, "kind", False),
        2: (_STRING, "sender", False),
        3: (_STRING, "host", False),
        4: (_I32, "port", False),
        5: (_I64, "sequence", False),
        6: (_STRING, "target", False),
        7: (_I64, "version", False),
        8: (_STRING, "digest", False),
        9: (_LIST, "news", (_STRUCT, _MemberStruct), False),
        10: (_LIST, "suspicions", (_STRUCT, _SuspicionStruct), False),
        11: (_STRUCT, "load", _LoadStruct, False),
        12: (_I64, "config_age_ms", False),
        13: (_I32, "config_era", False),
        14: (_LIST, "rollouts", (_STRUCT, _RolloutStruct), False),
        15: (_LIST, "quota_reports", (_STRUCT, _QuotaReportStruct), False),
        16: (_LIST, "quota_shares", (_STRUCT, _QuotaShareStruct), False),
        17: (_I64, "confirmed_age_ms", False),
        18: (_STRING, "confirmed_by", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _MembersStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_LIST, "members", (_STRUCT, _MemberStruct), False),
        2: (_LIST, "suspicions", (_STRUCT, _SuspicionStruct), False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


class _EnvelopeStruct(thrift.TPayload, metaclass=thrift.TPayloadMeta):
    thrift_spec = {
        1: (_STRING, "key_id", False),
        2: (_BINARY, "mac", False),
        3: (_BINARY, "payload", False),
        4: (_STRING, "run", False),
        5: (_I64, "number", False),
    }
    default_spec = [(field[1], None) for field in thrift_spec.values()]


_PROTOCOL: typing.Final = protocol.TCyBinaryProtocolFactory()


def encode_message(message: node.Message, now: float) -> bytes:
    """Encode a membership message.

    Monotonic times are sent as ages at ``now``, since clocks differ.
    """
    known_at = message.config_known_at
    return _encode(
        _MessageStruct(
            kind=message.kind,
            sender=message.sender,
            host=message.sender_address.host,
            port=message.sender_address.port,
            sequence=message.sequence,
            target=message.target,
            version=configuration.number_of(message.config.version),
            digest=message.config.digest,
            news=[_to_struct(member) for member in message.updates],
            suspicions=list(map(_to_suspicion, message.suspicions)),
            load=None if message.load is None else _to_load(message.load),
            config_age_ms=(
                None if known_at is None else round(1000 * (now - known_at))
            ),
            config_era=configuration.era_of(message.config.version) or None,
            # Rounded up: an age may look greater, but not smaller.
            confirmed_age_ms=(
                None
                if message.confirmed_age_s is None
                else math.ceil(1000 * message.confirmed_age_s)
            ),
            confirmed_by=message.confirmed_by,
            rollouts=[_to_rollout(notice, now) for notice in message.rollouts]
            or None,
            quota_reports=list(map(_to_report, message.quota_reports)) or None,
            quota_shares=list(map(_to_share, message.quota_shares)) or None,
        )
    )


def decode_message(
    content: bytes, now: float
) -> result.Result[node.Message, str]:
    """Decode a membership message, or return a description of the error.

    Ages are relative to ``now``, the monotonic time of its arrival.
    """
    try:
        struct = utils.deserialize(_MessageStruct(), content, _PROTOCOL)
        return result.Success(
            node.Message(
                kind=node.MessageKind(struct.kind),
                sender=ids.NodeId(struct.sender),
                sender_address=node.Address(
                    host=struct.host, port=struct.port
                ),
                sequence=struct.sequence,
                target=ids.NodeId(struct.target),
                config=configuration.VersionRef(
                    version=configuration.pack_version(
                        struct.config_era or configuration.UNKNOWN_ERA,
                        struct.version,
                    ),
                    digest=ids.Digest(struct.digest),
                ),
                updates=tuple(_from_struct(entry) for entry in struct.news),
                suspicions=tuple(
                    map(_from_suspicion, struct.suspicions or ())
                ),
                load=None if struct.load is None else _from_load(struct.load),
                config_known_at=(
                    None
                    if struct.config_age_ms is None
                    else now - max(0, struct.config_age_ms) / 1000
                ),
                confirmed_age_s=(
                    None
                    if struct.confirmed_age_ms is None
                    else struct.confirmed_age_ms / 1000
                ),
                confirmed_by=(
                    None
                    if struct.confirmed_by is None
                    else ids.NodeId(struct.confirmed_by)
                ),
                rollouts=tuple(
                    _from_rollout(entry, now)
                    for entry in struct.rollouts or ()
                ),
                quota_reports=tuple(
                    map(_from_report, struct.quota_reports or ())
                ),
                quota_shares=tuple(
                    map(_from_share, struct.quota_shares or ())
                ),
            )
        )
    except Exception as error:  # Decoding raises many error types.
        return result.Failure(repr(error))


def encode_members(
    members: collections.abc.Iterable[node.Member],
    suspicions: collections.abc.Iterable[node.Suspicion] = (),
) -> bytes:
    """Encode a list of members, and the suspicions that go with it."""
    return _encode(
        _MembersStruct(
            members=[_to_struct(member) for member in members],
            suspicions=list(map(_to_suspicion, suspicions)) or None,
        )
    )


def decode_members(
    content: bytes,
) -> result.Result[node.MembersReceived, str]:
    """Decode a list of members, or return a description of the error."""
    try:
        struct = utils.deserialize(_MembersStruct(), content, _PROTOCOL)
        return result.Success(
            node.MembersReceived(
                members=tuple(_from_struct(entry) for entry in struct.members),
                suspicions=tuple(
                    map(_from_suspicion, struct.suspicions or ())
                ),
            )
        )
    except Exception as error:  # Decoding raises many error types.
        return result.Failure(repr(error))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Envelope:
    """The parts of a datagram, whose MAC is not yet verified."""

    key_id: str
    mac: bytes
    stamp: _auth.Stamp
    payload: bytes


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a payload with its stamp and MAC as a datagram."""
    return _encode(
        _EnvelopeStruct(
            key_id=envelope.key_id,
            mac=envelope.mac,
            payload=envelope.payload,
            run=envelope.stamp.run,
            number=envelope.stamp.number,
        )
    )


def decode_envelope(content: bytes) -> result.Result[Envelope, str]:
    """Split a datagram into its parts without verifying it."""
    try:
        struct = utils.deserialize(_EnvelopeStruct(), content, _PROTOCOL)
        return result.Success(
            Envelope(
                key_id=str(struct.key_id),
                mac=bytes(struct.mac),
                stamp=_auth.Stamp(
                    run=str(struct.run), number=int(struct.number)
                ),
                payload=bytes(struct.payload),
            )
        )
    except Exception as error:  # Decoding raises many error types.
        return result.Failure(repr(error))


def _encode(struct: thrift.TPayload) -> bytes:
    return bytes(utils.serialize(struct, _PROTOCOL))


def _to_suspicion(suspicion: node.Suspicion) -> _SuspicionStruct:
    return _SuspicionStruct(
        fingerprint=suspicion.fingerprint,
        deaths=sorted(suspicion.deaths),
        excused=sorted(suspicion.cleared),
        age_ms=round(1000 * suspicion.age_s) or None,
    )


def _from_suspicion(struct: _SuspicionStruct) -> node.Suspicion:
    return node.Suspicion(
        fingerprint=ids.Fingerprint(struct.fingerprint),
        deaths=frozenset(map(ids.DeathId, struct.deaths)),
        cleared=frozenset(map(ids.DeathId, struct.excused)),
        age_s=max(0, struct.age_ms or 0) / 1000,
    )


def _to_report(report: node.QuotaReport) -> _QuotaReportStruct:
    return _QuotaReportStruct(
        group=report.group,
        workspace=report.workspace or None,
        wanted=report.wanted or None,
        returned=report.returned or None,
        vote=report.vote or None,
    )


def _from_report(struct: _QuotaReportStruct) -> node.QuotaReport:
    return node.QuotaReport(
        group=int(struct.group),
        workspace=ids.WorkspaceName(struct.workspace or ""),
        wanted=max(0, struct.wanted or 0),
        returned=max(0, struct.returned or 0),
        vote=node.Vote(struct.vote or 0),
    )


def _to_share(share: node.QuotaShare) -> _QuotaShareStruct:
    return _QuotaShareStruct(
        group=share.group,
        workspace=share.workspace or None,
        granted=share.granted or None,
        wait_ms=round(1000 * share.wait_s) or None,
        retry_after_ms=round(1000 * share.retry_after_s) or None,
        poll=int(share.is_poll) or None,
    )


def _from_share(struct: _QuotaShareStruct) -> node.QuotaShare:
    return node.QuotaShare(
        group=int(struct.group),
        is_poll=bool(struct.poll),
        workspace=ids.WorkspaceName(struct.workspace or ""),
        granted=max(0, struct.granted or 0),
        wait_s=max(0, struct.wait_ms or 0) / 1000,
        retry_after_s=max(0, struct.retry_after_ms or 0) / 1000,
    )


def _to_load(load: node.LoadReport) -> _LoadStruct:
    return _LoadStruct(
        in_flight=load.in_flight,
        limit=load.limit,
        service_us=round(load.service_s * 1e6),
    )


def _from_load(struct: _LoadStruct) -> node.LoadReport:
    return node.LoadReport(
        in_flight=struct.in_flight,
        limit=struct.limit,
        service_s=struct.service_us / 1e6,
    )


def _to_rollout(notice: node.RolloutNotice, now: float) -> _RolloutStruct:
    state, report = notice.state, notice.report
    struct = _RolloutStruct(
        service=state.service,
        version=state.version,
        order=state.order,
        phase=state.phase,
        started_age_ms=round(1000 * (now - state.started_at)),
        changed_age_ms=round(1000 * (now - state.changed_at)),
        is_stored=state.is_stored,
        reason=state.reason[:MAX_REASON_CHARS] or None,
        is_untested=state.is_untested or None,
    )
    if report is not None:
        struct.run = report.run
        struct.number = report.number
        struct.counts = [
            _CountsStruct(
                kind=counts.kind,
                old_responses=counts.old.responses,
                old_failures=counts.old.failures,
                old_slow=counts.old.slow,
                new_responses=counts.new.responses,
                new_failures=counts.new.failures,
                new_slow=counts.new.slow,
            )
            for counts in report.kinds
        ]
    return struct


def _from_rollout(struct: _RolloutStruct, now: float) -> node.RolloutNotice:
    report = None
    if struct.number:
        report = node.EvidenceReport(
            run=struct.run,
            number=struct.number,
            kinds=tuple(
                node.KindEvidence(
                    kind=ids.KindName(counts.kind),
                    old=node.ResponseCounts(
                        responses=counts.old_responses,
                        failures=counts.old_failures,
                        slow=counts.old_slow,
                    ),
                    new=node.ResponseCounts(
                        responses=counts.new_responses,
                        failures=counts.new_failures,
                        slow=counts.new_slow,
                    ),
                )
                for counts in struct.counts
            ),
        )
    return node.RolloutNotice(
        state=node.RolloutState(
            service=ids.ServiceName(struct.service),
            version=ids.ServerVersion(struct.version),
            order=ids.OrderId(struct.order),
            phase=node.RolloutPhase(struct.phase),
            started_at=now - max(0, struct.started_age_ms) / 1000,
            changed_at=now - max(0, struct.changed_age_ms) / 1000,
            is_stored=bool(struct.is_stored),
            reason=struct.reason or "",
            is_untested=bool(struct.is_untested),
        ),
        report=report,
    )


def _to_struct(member: node.Member) -> _MemberStruct:
    return _MemberStruct(
        node=member.node,
        host=member.address.host,
        port=member.address.port,
        zone=member.zone,
        incarnation=member.incarnation,
        status=member.status,
        service=member.service,
        server=member.server,
        slots=member.slots,
        departed_server=member.departed.server or None,
        departed_born=member.departed.born or None,
        server_version=member.server_version or None,
    )


def _from_struct(struct: _MemberStruct) -> node.Member:
    return node.Member(
        node=ids.NodeId(struct.node),
        address=node.Address(host=struct.host, port=struct.port),
        zone=ids.ZoneName(struct.zone),
        incarnation=struct.incarnation,
        status=node.MemberStatus(struct.status),
        service=ids.ServiceName(struct.service),
        server=node.ServerState(struct.server),
        slots=struct.slots,
        departed=node.ServerStart(
            server=ids.ServerId(struct.departed_server or ""),
            born=struct.departed_born or 0,
        ),
        server_version=ids.ServerVersion(struct.server_version or ""),
    )
