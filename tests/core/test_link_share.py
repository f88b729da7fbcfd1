"""
Tests of the shares of a link.

They guard against a long transfer that takes what short ones need, that is
starved by them, that leaves the link idle, or that is never forgotten.
"""

from nose2.tools import params

from scaleloom_core.link_share import (
    LONG_QUEUE_S,
    MAX_QUANTUM_BYTES,
    MIN_QUANTUM_BYTES,
    SHORT_TRANSFER_BYTES,
    LinkShare,
    Transfer,
)
from scaleloom_core.process_limits import LinkQueue

LINK_MBPS = 800.0
BYTES_PER_S = 100_000_000
LIMIT_S = 0.25
OWN_SHARE = 0.05
ENDLESS_BYTES = 1 << 30


def _share(own_share: float = OWN_SHARE, mbps: float = LINK_MBPS) -> LinkShare:
    """Return the shares of a link on which nothing waits."""
    return LinkShare(LinkQueue(mbps, LIMIT_S), own_share)


def _long_transfer(share: LinkShare, now_s: float = 0.0) -> Transfer:
    """Return a transfer that has used up what is free for short ones."""
    transfer = Transfer()
    taken = share.take_free(transfer, ENDLESS_BYTES, now_s)
    assert taken == SHORT_TRANSFER_BYTES
    return transfer


def test_the_first_bytes_of_a_transfer_are_free():
    share = _share()
    share.record_sent(10 * BYTES_PER_S, 0.0)
    transfer = _long_transfer(share)
    assert share.take_free(transfer, ENDLESS_BYTES, 0.0) == 0


def test_a_turn_comes_once_hardly_anything_waits_for_the_link():
    share = _share()
    assert share.turn_delay_s(0.0) == 0.0
    share.record_sent(BYTES_PER_S, 0.0)
    assert abs(share.turn_delay_s(0.0) - (1.0 - LONG_QUEUE_S)) < 1e-9
    assert share.turn_delay_s(1.0) == 0.0


def test_long_transfers_alone_never_reach_the_limit_of_the_link():
    queue = LinkQueue(LINK_MBPS, LIMIT_S)
    share = LinkShare(queue, OWN_SHARE)
    now_s, sent = 0.0, 0
    while now_s < 1.0:
        now_s += share.turn_delay_s(now_s)
        assert share.turn_delay_s(now_s) == 0.0
        size = share.quantum(ENDLESS_BYTES)
        share.record_sent(size, now_s)
        sent += size
        assert queue.wait_s(now_s) <= LONG_QUEUE_S + size / BYTES_PER_S + 2e-6
        assert not queue.is_over(now_s)
    # A long transfer that is alone gets the complete link.
    assert 0.99 * BYTES_PER_S < sent < 1.01 * BYTES_PER_S


def test_long_transfers_keep_their_share_while_short_ones_fill_the_link():
    share = _share()
    transfers = [_long_transfer(share) for _ in range(4)]
    taken = 0
    for tick in range(1, 1001):
        share.record_sent(BYTES_PER_S, tick * 0.01)
        assert share.turn_delay_s(tick * 0.01) > 0.0
        for transfer in transfers:
            taken += share.take_free(transfer, ENDLESS_BYTES, tick * 0.01)
    assert 0.9 * OWN_SHARE < taken / (10.0 * BYTES_PER_S) <= OWN_SHARE


def test_the_own_pace_of_a_transfer_is_known_ahead():
    share = _share()
    transfer = _long_transfer(share)
    delay_s = share.free_delay_s(transfer, 1000)
    assert abs(delay_s - 1000 / (OWN_SHARE * BYTES_PER_S)) < 1e-9
    assert share.take_free(transfer, 1000, 0.9 * delay_s) == 0
    assert share.take_free(transfer, 1000, 1.01 * delay_s) == 1000


def test_a_slow_stream_needs_no_turns():
    share = _share()
    stream = _long_transfer(share)
    others = [_long_transfer(share) for _ in range(99)]
    now_s = 0.0
    share.record_sent(100 * BYTES_PER_S, now_s)
    for _ in range(100):
        now_s += 0.02
        assert share.take_free(stream, 500, now_s) == 500
    assert len(others) + 1 == share.long_count


def test_without_a_share_of_its_own_a_transfer_waits_for_turns():
    share = _share(own_share=0.0)
    transfer = _long_transfer(share)
    assert share.free_delay_s(transfer, 1) == float("inf")
    assert share.take_free(transfer, 1, 1e6) == 0


def test_a_transfer_that_has_ended_is_forgotten_once():
    share = _share()
    first, second = _long_transfer(share), _long_transfer(share)
    share.end(first)
    share.end(first)
    share.end(Transfer())
    assert share.long_count == 1
    share.end(second)
    assert share.long_count == 0


@params(
    (0.001, MIN_QUANTUM_BYTES),
    (8.0, 5000),
    (1e6, MAX_QUANTUM_BYTES),
    (float("inf"), MAX_QUANTUM_BYTES),
)
def test_a_quantum_fits_the_link(mbps, expected):
    assert _share(mbps=mbps).quantum(ENDLESS_BYTES) == expected
    assert _share(mbps=mbps).quantum(1) == 1


def test_without_a_limit_turns_come_at_once():
    share = LinkShare(LinkQueue(LINK_MBPS, 0.0), OWN_SHARE)
    transfer = _long_transfer(share)
    share.record_sent(ENDLESS_BYTES, 0.0)
    assert share.turn_delay_s(0.0) == 0.0
    assert share.take_free(transfer, ENDLESS_BYTES, 1e6) == 0


def test_a_changed_link_is_valid_for_transfers_under_way():
    share = _share()
    transfer = _long_transfer(share)
    share.configure(LinkQueue(8.0, LIMIT_S), 0.0)
    assert share.quantum(ENDLESS_BYTES) == 5000
    share.end(transfer)
    assert share.long_count == 0
