"""Authentication and replay protection of messages."""

import itertools

import hypothesis
from hypothesis import strategies
from marjoramledge_core import _replay
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _auth
from marjoramledge_node import _gossip_port
from marjoramledge_node import _wire
from marjoramledge_standins import virtual_network

HERE = node.Address(host="127.0.0.1", port=7000)
KEYS = "a:a-secret-of-sixteen,b:b-secret-of-sixteen"


@hypothesis.given(strategies.lists(strategies.integers(1, 3000)))
def test_the_replay_guard_matches_a_set_within_its_window(
    numbers: list[int],
) -> None:
    guard = _replay.ReplayGuard()
    seen: set[int] = set()
    for number in numbers:
        is_recent = number > max(seen, default=0) - _replay.WINDOW
        expected = is_recent and number not in seen
        assert guard.accept("run", number) is expected
        if expected:
            seen.add(number)


def test_the_replay_guard_separates_runs_and_bounds_its_state() -> None:
    guard = _replay.ReplayGuard()
    for number in range(2 * _replay.MAX_RUNS):
        assert guard.accept(f"run{number}", 1)
    assert not guard.accept(f"run{2 * _replay.MAX_RUNS - 1}", 1)
    assert guard.dropped == 1


def _is_accepted(
    content: bytes, receiver: node.Address, keys: _auth.KeyRing
) -> bool:
    envelope = _wire.decode_envelope(content).unwrap()
    signed = _auth.signed_message_content(
        envelope.stamp, receiver, envelope.payload
    )
    return keys.verify(envelope.key_id, envelope.mac, signed)


def _seal(keys: _auth.KeyRing) -> bytes:
    network = virtual_network.Network(count=1, seed=1)
    (state,) = network.nodes.values()
    message = node.Message(
        kind=node.MessageKind.PING,
        sender=state.node,
        sender_address=HERE,
        sequence=1,
        target=state.node,
        config=state.versions.ref,
        updates=(state.membership.myself,),
        suspicions=(
            node.Suspicion(
                fingerprint=ids.Fingerprint("f"),
                deaths=frozenset({ids.DeathId("n1@1#1")}),
                cleared=frozenset(),
            ),
        ),
    )
    stamper = _auth.Stamper(run="n0-")
    content = _gossip_port.encode_datagram(keys, stamper, HERE, message, 0.0)
    decoded = _wire.decode_envelope(content).unwrap()
    assert _wire.decode_message(decoded.payload, 0.0).unwrap() == message
    return content


def test_a_message_is_valid_for_one_receiver_and_one_key() -> None:
    keys = _auth.parse_keys(KEYS).unwrap()
    content = _seal(keys)
    assert _is_accepted(content, HERE, keys)
    elsewhere = node.Address(host="127.0.0.2", port=7000)
    assert not _is_accepted(content, elsewhere, keys)
    other = _auth.parse_keys("a:another-secret-of-it").unwrap()
    assert not _is_accepted(content, HERE, other)


# Guards against a withdrawn key that is accepted again after a restart: a node
# has no keys but those of its settings.
def test_a_withdrawn_key_is_rejected_by_a_restarted_node() -> None:
    withdrawn = _auth.parse_keys("a:a-secret-of-sixteen").unwrap()
    restarted = _auth.parse_keys("b:b-secret-of-sixteen").unwrap()
    content = b"offer"
    header = withdrawn.sign_header(content)
    assert withdrawn.verify_header(header, content)
    assert not restarted.verify_header(header, content)
    reused = _auth.parse_keys("a:c-secret-of-sixteen").unwrap()
    assert not reused.verify_header(header, content)


def test_no_message_is_rejected_while_keys_are_rotated() -> None:
    old = _auth.parse_keys("a:a-secret-of-sixteen").unwrap()
    both = _auth.parse_keys(KEYS).unwrap()
    new_first = _auth.parse_keys(
        "b:b-secret-of-sixteen,a:a-secret-of-sixteen"
    ).unwrap()
    new = _auth.parse_keys("b:b-secret-of-sixteen").unwrap()
    for before, after in itertools.pairwise((old, both, new_first, new)):
        assert _is_accepted(_seal(before), HERE, after)
        assert _is_accepted(_seal(after), HERE, before)


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_are_rejected(content: bytes) -> None:
    keys = _auth.parse_keys(KEYS).unwrap()
    decoded = _wire.decode_envelope(content)
    assert decoded.value_or(None) is None or not _is_accepted(
        content, HERE, keys
    )
