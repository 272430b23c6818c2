"""The datagram port: membership messages, authenticated both ways."""

import asyncio
import typing

import loguru
from marjoramledge_core import node
from returns import result

from marjoramledge_node import _auth
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
    """

    def __init__(self, *, engine: _engine.Engine, keys: _auth.KeyRing) -> None:
        self._engine = engine
        self._keys = keys
        self._transport: asyncio.DatagramTransport | None = None
        self._rejected = 0
        self._sent_bytes = 0
        engine.connect(node.SendMessage, self._send)

    @property
    def rejected(self) -> int:
        """Datagrams that bore no valid key or made no sense."""
        return self._rejected

    @property
    def sent_bytes(self) -> int:
        """Bytes of all datagrams sent, without IP and UDP headers."""
        return self._sent_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Let an authentic message in."""
        message = self._open(data)
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

    def _open(self, data: bytes) -> node.Message | None:
        if len(data) > _wire.MAX_DATAGRAM_BYTES:
            return None
        sealed = _wire.unseal(data)
        if isinstance(sealed, result.Failure):
            return None
        key_id, mac, payload = sealed.unwrap()
        if not self._keys.verify(key_id, mac, payload):
            return None
        return _wire.decode_message(payload).value_or(None)

    def _send(self, command: node.SendMessage) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        payload = _wire.encode_message(command.message)
        datagram = _wire.seal(
            self._keys.signing_key_id, self._keys.sign(payload), payload
        )
        self._sent_bytes += len(datagram)
        address = command.address
        self._transport.sendto(datagram, (address.host, address.port))
