"""Shared keys that let nodes and operators in at the peer port.

The first key signs, all keys verify, so a fleet moves from one to the next
without a stop: add the new key last, then put it first, then drop the old.
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
    """The keys that are valid at present.

    Parameters
    ----------
    keys
        At least one; the first one signs.
    """

    def __init__(self, *, keys: collections.abc.Sequence[Key]) -> None:
        if not keys:
            raise AssertionError("a key ring needs a key")
        self._signing = keys[0]
        self._keys = {key.key_id: key for key in keys}

    def __eq__(self, other: object) -> bool:
        """Tell whether two rings hold the same keys in the same order."""
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
        """Compute the code of a message under the signing key."""
        return _compute_mac(self._signing, content)

    def verify(self, key_id: str, mac: bytes, content: bytes) -> bool:
        """Tell whether a message was signed with a valid key."""
        key = self._keys.get(key_id)
        return key is not None and hmac.compare_digest(
            mac, _compute_mac(key, content)
        )

    def sign_header(self, content: bytes) -> str:
        """Compute the value of an authentication header."""
        return f"{self._signing.key_id}:{self.sign(content).hex()}"

    def verify_header(self, text: str | None, content: bytes) -> bool:
        """Tell whether an authentication header is valid."""
        key_id, _, mac = (text or "").partition(":")
        try:
            return self.verify(key_id, bytes.fromhex(mac), content)
        except ValueError:
            return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stamp:
    """Marks one message of one run of a sender."""

    run: str
    number: int

    def __str__(self) -> str:
        """Render the stamp as the value of a header."""
        return f"{self.run};{self.number}"


class Stamper:
    """Numbers what one run of a node sends.

    Parameters
    ----------
    run
        Name of the run, unique among all runs of all nodes.
    """

    def __init__(self, *, run: str) -> None:
        self._run = run
        self._numbers = itertools.count(1)

    def stamp(self) -> Stamp:
        """Make the next stamp."""
        return Stamp(run=self._run, number=next(self._numbers))


def parse_stamp(text: str | None) -> Stamp | None:
    """Read a stamp from a header; None when it makes no sense."""
    run, _, number = (text or "").rpartition(";")
    if not run or not number.isascii() or not number.isdigit():
        return None
    return Stamp(run=run, number=int(number))


def signed_message_content(
    stamp: Stamp, receiver: node.Address, content: bytes
) -> bytes:
    """Join what is signed of a message that must count only once.

    The receiver is part of it, so that what was sent to one node can't be
    shown to another.
    """
    head = f"{stamp} {receiver.host}:{receiver.port}\n"
    return head.encode() + content


def parse_keys(text: str) -> result.Result[KeyRing, str]:
    """Read keys written as ``id:secret[,id:secret...]``."""
    keys = []
    for part in text.split(","):
        key_id, separator, secret = part.strip().partition(":")
        if not separator or not key_id:
            return result.Failure("each key must be written id:secret")
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
    """Join the parts of an HTTP request that its code covers."""
    return b"\n".join(
        (method.encode(), target.encode(), subject.encode(), body)
    )


def _compute_mac(key: Key, content: bytes) -> bytes:
    return hmac.digest(key.secret, content, "sha256")[:_MAC_BYTES]
