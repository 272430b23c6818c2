"""The datagram port: membership messages, authenticated both ways."""

import asyncio
import socket
import typing

import loguru
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _auth
from marjoramledge_node import _counts
from marjoramledge_node import _engine
from marjoramledge_node import _wire


class GossipPort(asyncio.DatagramProtocol):
    """Owner of the datagram socket.

    Parameters
    ----------
    engine
        The node's engine.
    keys
        Keys that sign and let in.
    stamper
        Numbers what is sent.
    guard
        Knows what was received before.
    counts
        Where datagrams are counted.
    """

    def __init__(
        self,
        *,
        engine: _engine.Engine,
        keys: _auth.KeyRing,
        stamper: _auth.Stamper,
        guard: node.ReplayGuard,
        counts: _counts.Counts,
    ) -> None:
        self._counts = counts
        self._engine = engine
        self._keys = keys
        self._stamper = stamper
        self._guard = guard
        self._address = engine.state.membership.myself.address
        self._transport: asyncio.DatagramTransport | None = None
        self._rejected = 0
        engine.connect(node.SendMessage, self._send)

    @property
    def rejected(self) -> int:
        """Datagrams without a valid key, without sense or sent again."""
        return self._rejected

    @property
    def sockets(self) -> list[socket.socket]:
        """The socket, while it is open."""
        if self._transport is None or self._transport.is_closing():
            return []
        return [self._transport.get_extra_info("socket")]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Let an authentic message in."""
        message = self._verify_and_decode(data)
        if message is None:
            self._rejected += 1
            return
        self._engine.submit(node.MessageReceived(message=message))

    def error_received(self, exc: Exception) -> None:
        """Ignore that a datagram could not be delivered."""
        loguru.logger.debug("datagram not delivered: {!r}", exc)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _verify_and_decode(self, data: bytes) -> node.Message | None:
        if len(data) > _wire.MAX_DATAGRAM_BYTES:
            return None
        decoded = _wire.decode_envelope(data)
        if isinstance(decoded, result.Failure):
            return None
        envelope = decoded.unwrap()
        signed = _auth.signed_message_content(
            envelope.stamp, self._address, envelope.payload
        )
        if not self._keys.verify(envelope.key_id, envelope.mac, signed):
            return None
        if not self._guard.accept(envelope.stamp.run, envelope.stamp.number):
            return None
        return _wire.decode_message(envelope.payload).value_or(None)

    def _send(self, command: node.SendMessage) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        address = command.address
        datagram = encode_datagram(
            self._keys, self._stamper, address, command.message
        )
        self._counts.note_message(command.message.kind, len(datagram))
        self._transport.sendto(datagram, (address.host, address.port))


def encode_datagram(
    keys: _auth.KeyRing,
    stamper: _auth.Stamper,
    receiver: node.Address,
    message: node.Message,
) -> bytes:
    """Encode, stamp and sign a message to one receiver."""
    payload = _wire.encode_message(message)
    stamp = stamper.stamp()
    signed = _auth.signed_message_content(stamp, receiver, payload)
    return _wire.encode_envelope(
        _wire.Envelope(
            key_id=keys.signing_key_id,
            mac=keys.sign(signed),
            stamp=stamp,
            payload=payload,
        )
    )
