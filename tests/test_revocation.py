"""Revoked keys under virtual time: the bound, and who is served meanwhile."""

import collections.abc
import math
import random

from marjoramledge_core import _confirmation
from marjoramledge_core import configuration
from marjoramledge_core import ids
from marjoramledge_core import node
from marjoramledge_node import _wire
from marjoramledge_standins import virtual_access
import pytest

LIMIT_S = virtual_access.REVOCATION_LIMIT_S
SETTLE_S = 12.0
COUNT = 9
SEEDS = range(12)
STEP_S = 0.05
FAULTS_S = 40.0
REVOCATION_PERIOD_S = 4.0


def _start(seed: int, count: int = COUNT) -> virtual_access.AccessFleet:
    fleet = virtual_access.AccessFleet(count=count, seed=seed)
    fleet.run(SETTLE_S)
    return fleet


def _disturb(fleet: virtual_access.AccessFleet, rng: random.Random) -> None:
    """Begin or end one fault, drawn at random."""
    numbers = rng.sample(range(fleet.count), rng.randint(1, 4))
    match rng.randrange(9):
        case 0 | 1:
            fleet.cut_off(numbers, True)
        case 2:
            fleet.cut.clear()
        case 3:
            fleet.refused_by_store.update(numbers)
        case 4:
            fleet.refused_by_store.clear()
        case 5:
            fleet.is_store_away = not fleet.is_store_away
        case 6 | 7:
            fleet.freeze(numbers[0], rng.uniform(0.2, 9.0))
        case 8:
            fleet.restart(numbers[0])
    fleet.faults.loss = rng.choice([0.0, 0.1, 0.4])
    fleet.faults.late_share = rng.choice([0.0, 0.2, 0.6])
    fleet.faults.max_late_s = rng.choice([0.5, 9.0])
    fleet.faults.store_late_s = rng.choice([0.0, 1.0])
    fleet.faults.hangs_at_store = rng.random() < 0.5


def _find_late(seed: int) -> tuple[list[float], int]:
    """Return how late revoked keys were admitted, and how many were not."""
    fleet = _start(seed)
    rng = random.Random(seed)
    revoked_at: dict[str, float] = {}
    current = 0
    late: list[float] = []
    admitted = 0
    next_fault = next_revocation = fleet.now
    ends_at = fleet.now + FAULTS_S
    while fleet.now < ends_at:
        if fleet.now >= next_fault:
            _disturb(fleet, rng)
            next_fault = fleet.now + rng.uniform(0.2, 2.0)
        if fleet.now >= next_revocation:
            revoked_at[f"k{current}"] = fleet.now
            current += 1
            fleet.publish({f"k{current}"})
            next_revocation = fleet.now + REVOCATION_PERIOD_S
        fleet.run(STEP_S)
        for number in range(fleet.count):
            if fleet.is_frozen(number):
                continue
            for age in range(4):
                key = f"k{max(0, current - age)}"
                if fleet.request(number, key) is None:
                    admitted += 1
                    since = fleet.now - revoked_at.get(key, fleet.now)
                    if since > LIMIT_S:
                        late.append(since)
    return late, admitted


# Guards against a revoked key that is accepted later than the bound, under
# cuts, freezes, restarts, late datagrams and a store that refuses nodes.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_revoked_key_is_accepted_after_the_bound(seed: int) -> None:
    late, admitted = _find_late(seed)
    assert not late
    assert admitted > 1000


# Shows that the test above finds a fault: ages that count from the arrival of
# an answer make a confirmation look newer by the transit delay.
def test_ages_counted_from_arrival_would_break_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    close_ask = _confirmation.Confirmation.close_ask
    now = 0.0

    def close_now(
        self: _confirmation.Confirmation, sequence: int, sender: ids.NodeId
    ) -> float | None:
        return None if close_ask(self, sequence, sender) is None else now

    handle = node.handle

    def handle_noting_time(
        state: node.NodeState, event: node.Event, at: float, rng: random.Random
    ) -> list[node.Command]:
        nonlocal now
        now = at
        return handle(state, event, at, rng)

    monkeypatch.setattr(_confirmation.Confirmation, "close_ask", close_now)
    monkeypatch.setattr(node, "handle", handle_noting_time)
    assert any(_find_late(seed)[0] for seed in SEEDS)


def _count_refused(
    fleet: virtual_access.AccessFleet,
    numbers: collections.abc.Iterable[int],
    seconds: float,
) -> int:
    """Count refused requests with a valid key over some time."""
    asked = list(numbers)
    refused = 0
    for _ in range(round(seconds / STEP_S)):
        fleet.run(STEP_S)
        refused += sum(
            fleet.request(number, "k0") is not None for number in asked
        )
    return refused


# Guards against confirmations that get old, or more store calls than a few a
# second, while nothing is disturbed.
@pytest.mark.parametrize("count", [1, 2, 9, 72, 195])
def test_normal_operation_keeps_confirmations_young(count: int) -> None:
    fleet = _start(5, count)
    fleet.reads.clear()
    ages: list[float] = []
    for _ in range(20):
        fleet.run(0.2)
        ages.extend(map(fleet.age_s, range(count)))
    assert max(ages) < 2.5
    assert len(fleet.reads) < 5.0 * 4.0


# Guards against readers that are refused by the store while nobody takes
# over, and against callers that are refused meanwhile.
@pytest.mark.parametrize("count", [9, 72])
@pytest.mark.parametrize("seed", range(4))
def test_another_node_takes_over_the_reads(seed: int, count: int) -> None:
    fleet = _start(seed, count)
    fleet.refused_by_store.update(range(count // 3))
    fleet.reads.clear()
    assert not _count_refused(fleet, range(0, count, 4), 15.0)
    assert len(fleet.reads) < 15.0 * 15.0


# Guards against a node that refuses keys though it reaches the store, since
# it expects the others to read it.
@pytest.mark.parametrize(
    ("count", "group"),
    [(9, [7]), (9, [3, 4]), (9, [1, 5, 7, 8]), (72, [30]), (72, [5, 6, 7])],
)
def test_nodes_without_peers_read_the_store(
    count: int, group: list[int]
) -> None:
    fleet = _start(2, count)
    fleet.cut_off(group, True)
    asked = range(count) if count == COUNT else group
    assert not _count_refused(fleet, asked, 15.0)


# Guards against a node that stays without confirmation after a restart.
def test_a_restarted_node_is_confirmed_soon() -> None:
    fleet = _start(4)
    fleet.refused_by_store.add(8)
    fleet.run(3.0)
    fleet.restart(8)
    fleet.run(0.5)
    assert fleet.request(8, "k0") is None
    assert fleet.age_s(8) < 2.5


# Guards against keys that are accepted for ever without the store, against a
# 401 for want of it, and against all nodes reading at once when it returns.
def test_without_the_store_keys_are_refused_as_not_run() -> None:
    fleet = _start(6, 72)
    fleet.is_store_away = True
    fleet.run(LIMIT_S)
    reasons = {fleet.request(number, "k0") for number in range(72)}
    reasons |= {fleet.request(number, "unknown") for number in range(72)}
    assert reasons == {node.Reason.UNPROVEN_CONFIGURATION}
    fleet.run(20.0)
    fleet.is_store_away = False
    fleet.reads.clear()
    fleet.run(5.0)
    assert len(fleet.reads) < 5.0 * 15.0
    assert all(fleet.request(number, "k0") is None for number in range(72))


def _build_ref(era: int, number: int, text: str) -> configuration.VersionRef:
    return configuration.VersionRef(
        version=configuration.pack_version(era, number),
        digest=ids.Digest(text),
    )


def _note(
    confirmation: _confirmation.Confirmation,
    ref: configuration.VersionRef,
    in_force: configuration.VersionRef,
    *,
    at: float,
    is_own_read: bool = True,
) -> float:
    """Note a confirmed version; return the age at the time 10."""
    confirmed = _confirmation.ConfirmedVersion(
        ref=ref, at=at, by=ids.NodeId("n1"), is_own_read=is_own_read
    )
    confirmation.note(confirmed, in_force)
    return confirmation.age_s(10.0)


# Guards against a version that is confirmed by a read that has shown a newer
# one, and against a confirmation that is lost while that one is fetched.
def test_a_read_confirms_its_version_once_that_is_in_force() -> None:
    confirmation = _confirmation.Confirmation()
    old, new = _build_ref(1, 4, "a"), _build_ref(1, 5, "b")
    assert _note(confirmation, old, old, at=2.0) == 8.0
    assert _note(confirmation, new, old, at=7.0) == 8.0
    assert _note(confirmation, old, old, at=1.0) == 8.0
    confirmation.settle(new)
    assert confirmation.age_s(10.0) == 3.0


# Guards against a revoked key that comes back with a store that has been
# restored from an older copy, at a node that reads that store alone.
def test_a_restored_store_confirms_only_what_a_peer_has_too() -> None:
    confirmation = _confirmation.Confirmation()
    before, after = _build_ref(1, 50, "a"), _build_ref(2, 41, "b")
    assert _note(confirmation, before, before, at=5.0) == 5.0
    assert _note(confirmation, after, after, at=7.0) == math.inf
    other = _build_ref(2, 41, "c")
    peer = _note(confirmation, other, after, at=7.0, is_own_read=False)
    assert peer == math.inf
    confirmation.note_peer_version(other, after)
    assert _note(confirmation, after, after, at=8.0) == math.inf
    confirmation.note_peer_version(after, after)
    assert _note(confirmation, after, after, at=9.0) == 1.0


# Guards against a version that no node can read, and whose arrival would end
# the service of all callers with keys.
def test_an_unreadable_version_does_not_end_the_confirmation() -> None:
    confirmation = _confirmation.Confirmation()
    old, broken = _build_ref(1, 4, "a"), _build_ref(1, 5, "b")
    assert _note(confirmation, broken, old, at=7.0) == math.inf
    assert not confirmation.knows_newest(broken, old)
    confirmation.note_unreadable(broken.version)
    assert _note(confirmation, broken, old, at=8.0) == 2.0
    assert confirmation.knows_newest(broken, old)


# Guards against an age that looks smaller on the wire, and against messages
# that change where there are no workspaces.
@pytest.mark.parametrize("age_s", [None, 0.0, 1.2341])
def test_the_age_of_a_confirmation_is_rounded_up(age_s: float | None) -> None:
    address = node.Address(host="127.0.0.1", port=7000)
    reader = None if age_s is None else ids.NodeId("n1")
    message = node.Message(
        kind=node.MessageKind.ACK,
        sender=ids.NodeId("n0"),
        sender_address=address,
        sequence=1 << 62,
        target=ids.NodeId("n0"),
        config=_build_ref(1, 4, "a"),
        updates=(),
        suspicions=(),
        confirmed_age_s=age_s,
        confirmed_by=reader,
    )
    content = _wire.encode_message(message, 10.0)
    decoded = _wire.decode_message(content, 20.0).unwrap()
    assert decoded.sequence == 1 << 62
    assert decoded.confirmed_by == reader
    assert decoded.confirmed_age_s == (1.235 if age_s else age_s)
    assert (b"n1" in content) == (age_s is not None)
