"""UDP port for membership messages, which are signed and verified."""

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
    """Sends and receives signed membership messages over UDP.

    Parameters
    ----------
    engine
        The node's engine.
    keys
        Keys for signing and verifying.
    stamper
        Numbers the messages sent.
    guard
        Detects messages that were received before (replays).
    counts
        Counts the datagrams sent.
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
        """Number of datagrams rejected as unsigned, malformed or replayed."""
        return self._rejected

    @property
    def sockets(self) -> list[socket.socket]:
        """The socket if it is open, else an empty list."""
        if self._transport is None or self._transport.is_closing():
            return []
        return [self._transport.get_extra_info("socket")]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the opened socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Verify a datagram and submit its message to the engine."""
        message = self._verify_and_decode(data)
        if message is None:
            self._rejected += 1
            return
        self._engine.submit(node.MessageReceived(message=message))

    def error_received(self, exc: Exception) -> None:
        """Log a delivery failure, which needs no handling."""
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
        return _wire.decode_message(
            envelope.payload, self._engine.now()
        ).value_or(None)

    def _send(self, command: node.SendMessage) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        address = command.address
        datagram = encode_datagram(
            self._keys,
            self._stamper,
            address,
            command.message,
            self._engine.now(),
        )
        self._counts.note_message(command.message.kind, len(datagram))
        self._transport.sendto(datagram, (address.host, address.port))


def encode_datagram(
    keys: _auth.KeyRing,
    stamper: _auth.Stamper,
    receiver: node.Address,
    message: node.Message,
    now: float,
) -> bytes:
    """Encode, number and sign a message to one receiver."""
    payload = _wire.encode_message(message, now)
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
