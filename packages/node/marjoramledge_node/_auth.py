"""Authentication of nodes and operators with shared keys (HMAC).

The first key signs and all keys verify, so keys can be rotated without
downtime: add the new key last on all nodes, then move it to the front, then
remove the old one.
"""

import collections.abc
import dataclasses
import hmac
import itertools
import typing

from marjoramledge_core import node
from returns import result

MIN_SECRET_LENGTH: typing.Final = 16
_MAC_BYTES: typing.Final = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """One shared key."""

    key_id: str
    secret: bytes


class KeyRing:
    """The valid keys: signs with the first, verifies with any.

    Parameters
    ----------
    keys
        At least one key; the first one signs.
    """

    def __init__(self, *, keys: collections.abc.Sequence[Key]) -> None:
        if not keys:
            raise AssertionError("a key ring needs at least one key")
        self._signing = keys[0]
        self._keys = {key.key_id: key for key in keys}

    def __eq__(self, other: object) -> bool:
        """Return whether both rings hold the same keys in the same order."""
        return isinstance(other, KeyRing) and list(
            self._keys.values()
        ) == list(other._keys.values())

    def __hash__(self) -> int:
        return hash(tuple(self._keys.values()))

    @property
    def signing_key_id(self) -> str:
        """Identifier of the key that signs."""
        return self._signing.key_id

    def sign(self, content: bytes) -> bytes:
        """Compute the MAC of a message with the signing key."""
        return _compute_mac(self._signing, content)

    def verify(self, key_id: str, mac: bytes, content: bytes) -> bool:
        """Return whether a message was signed with a valid key."""
        key = self._keys.get(key_id)
        return key is not None and hmac.compare_digest(
            mac, _compute_mac(key, content)
        )

    def sign_header(self, content: bytes) -> str:
        """Compute the value of an authentication header."""
        return f"{self._signing.key_id}:{self.sign(content).hex()}"

    def verify_header(self, text: str | None, content: bytes) -> bool:
        """Return whether an authentication header is valid."""
        key_id, _, mac = (text or "").partition(":")
        try:
            return self.verify(key_id, bytes.fromhex(mac), content)
        except ValueError:
            return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """Unique identifier of a message, by which receivers detect replays.

    ``run`` names one start of a sender, and ``number`` the message within it.
    """

    run: str
    number: int

    def __str__(self) -> str:
        """Format the stamp as a header value."""
        return f"{self.run};{self.number}"


class Stamper:
    """Numbers the messages that one run of a node sends.

    Parameters
    ----------
    run
        Name of the run, unique among all runs of all nodes.
    """

    def __init__(self, *, run: str) -> None:
        self._run = run
        self._numbers = itertools.count(1)

    def stamp(self) -> Stamp:
        """Create the next stamp."""
        return Stamp(run=self._run, number=next(self._numbers))


def parse_stamp(text: str | None) -> Stamp | None:
    """Parse a stamp from a header value; return None if it is invalid."""
    run, _, number = (text or "").rpartition(";")
    if not run or not number.isascii() or not number.isdigit():
        return None
    return Stamp(run=run, number=int(number))


def signed_message_content(
    stamp: Stamp, receiver: node.Address, content: bytes
) -> bytes:
    """Return the bytes to sign for a message with replay protection.

    They include the receiver, so that a message to one node can't be
    replayed to another.
    """
    head = f"{stamp} {receiver.host}:{receiver.port}\n"
    return head.encode() + content


def parse_keys(text: str) -> result.Result[KeyRing, str]:
    """Parse keys of the form ``id:secret[,id:secret...]``."""
    keys = []
    for part in text.split(","):
        key_id, separator, secret = part.strip().partition(":")
        if not separator or not key_id:
            return result.Failure("each key must have the form id:secret")
        if len(secret) < MIN_SECRET_LENGTH:
            return result.Failure(
                f"the secret of key {key_id} must have at least "
                f"{MIN_SECRET_LENGTH} characters"
            )
        keys.append(Key(key_id=key_id, secret=secret.encode()))
    if len({key.key_id for key in keys}) != len(keys):
        return result.Failure("key ids must differ")
    return result.Success(KeyRing(keys=keys))


def signed_request_content(
    method: str, target: str, subject: str, body: bytes
) -> bytes:
    """Return the bytes to sign for an HTTP request.

    ``subject`` has the signed header values; it may be empty.
    """
    return b"\n".join(
        (method.encode(), target.encode(), subject.encode(), body)
    )


def signed_offer_subject(attempt: str, kind: str, status: str | None) -> str:
    """Return the header values to sign for an offer.

    Builds that know no status of a server neither send nor check it.
    """
    return (
        f"{attempt} {kind}"
        if status is None
        else (f"{attempt} {kind} {status}")
    )


def signed_report_content(
    attempt: str, config: str | None, status: str | None
) -> bytes:
    """Return the bytes to sign for what a gate reports with a response."""
    return f"{attempt}\n{config or ''}\n{status or ''}".encode()


def _compute_mac(key: Key, content: bytes) -> bytes:
    return hmac.digest(key.secret, content, "sha256")[:_MAC_BYTES]
