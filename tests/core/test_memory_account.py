"""Tests of the account of a router process's memory."""

from nose2.tools import params

from scaleloom_core.memory_account import (
    LONG_MESSAGE_SHARE,
    RESIDENT_RATIO,
    SHORT_MESSAGE_BYTES,
    STEP_BYTES,
    MemoryAccount,
    MemoryUse,
    MessageReservation,
)

LIMIT_STEPS = 20
LONG_STEPS = int(LIMIT_STEPS * LONG_MESSAGE_SHARE / RESIDENT_RATIO)
LONG_USES = (MemoryUse.REQUESTS, MemoryUse.ANSWERS)


def _account() -> MemoryAccount:
    """Return an account of a few steps."""
    return MemoryAccount(LIMIT_STEPS * STEP_BYTES)


def _reservation(account: MemoryAccount) -> MessageReservation:
    """Return a reservation for the body of a request."""
    return MessageReservation(account, MemoryUse.REQUESTS)


@params(*MemoryUse)
def test_an_account_without_a_limit_counts_and_refuses_nothing(use):
    account = MemoryAccount()
    assert account.try_reserve(use, 10**12)
    assert account.try_reserve(use, 10**12)
    assert account.reserved[use] == account.total_bytes == 2 * 10**12


@params(*LONG_USES)
def test_long_messages_fill_their_share_and_no_more(use):
    account = _account()
    for _ in range(LONG_STEPS):
        assert account.try_reserve(use, STEP_BYTES)
    for other in LONG_USES:
        assert not account.try_reserve(other, 1)
    account.release(use, 1)
    assert account.try_reserve(use, 1)


def test_callers_have_room_beside_as_many_long_messages_as_possible():
    account = _account()
    while account.try_reserve(MemoryUse.REQUESTS, STEP_BYTES):
        pass
    for _ in range(int(LIMIT_STEPS * (1.0 - LONG_MESSAGE_SHARE))):
        assert account.try_reserve(MemoryUse.CALLERS, STEP_BYTES)
    assert not account.try_reserve(MemoryUse.CALLERS, STEP_BYTES)


def test_all_that_is_reserved_fits_in_the_limit():
    account = _account()
    for use in (MemoryUse.CALLERS, MemoryUse.ANSWERS, MemoryUse.REQUESTS) * LIMIT_STEPS:
        account.try_reserve(use, STEP_BYTES)
    callers_bytes = account.reserved[MemoryUse.CALLERS]
    long_bytes = account.total_bytes - callers_bytes
    used_bytes = callers_bytes + RESIDENT_RATIO * long_bytes
    assert used_bytes <= account.limit_bytes < used_bytes + 2 * STEP_BYTES


def test_long_messages_leave_what_callers_use():
    account = _account()
    account.reserve(MemoryUse.CALLERS, (LIMIT_STEPS - 2) * STEP_BYTES)
    assert account.try_reserve(MemoryUse.REQUESTS, STEP_BYTES)
    assert not account.try_reserve(MemoryUse.REQUESTS, STEP_BYTES)


@params(*MemoryUse)
def test_the_first_always_fits(use):
    account = MemoryAccount(0.0)
    assert account.try_reserve(use, STEP_BYTES)
    assert not account.try_reserve(use, STEP_BYTES)
    account.release(use, STEP_BYTES)
    assert account.try_reserve(use, STEP_BYTES)


def test_what_is_held_in_any_case_counts_against_later_messages():
    account = _account()
    account.reserve(MemoryUse.ANSWERS, LIMIT_STEPS * STEP_BYTES)
    assert not account.try_reserve(MemoryUse.REQUESTS, 1)
    account.reserve(MemoryUse.CALLERS, STEP_BYTES)
    assert not account.try_reserve(MemoryUse.CALLERS, STEP_BYTES)


def test_short_messages_reserve_nothing_and_always_fit():
    account = MemoryAccount(0.0)
    account.reserve(MemoryUse.REQUESTS, STEP_BYTES)
    reservation = _reservation(account)
    assert reservation.try_hold(SHORT_MESSAGE_BYTES)
    assert account.total_bytes == STEP_BYTES


@params(SHORT_MESSAGE_BYTES + 1, STEP_BYTES, STEP_BYTES + 1, 5 * STEP_BYTES - 1)
def test_a_long_message_reserves_whole_steps_once(size_bytes):
    account = _account()
    reservation = _reservation(account)
    for _ in range(2):
        assert reservation.try_hold(size_bytes)
        assert size_bytes <= account.total_bytes < size_bytes + STEP_BYTES
        assert not account.total_bytes % STEP_BYTES
    reservation.release()
    reservation.release()
    assert not account.total_bytes


def test_a_message_that_grows_reserves_step_by_step_until_none_is_left():
    account = _account()
    reservation = _reservation(account)
    for steps in range(1, LONG_STEPS + 1):
        assert reservation.try_hold(steps * STEP_BYTES)
        assert account.total_bytes == steps * STEP_BYTES
    assert not reservation.try_hold(LONG_STEPS * STEP_BYTES + 1)
    assert account.total_bytes == LONG_STEPS * STEP_BYTES
    reservation.hold(LONG_STEPS * STEP_BYTES + 1)
    assert account.total_bytes == (LONG_STEPS + 1) * STEP_BYTES
    reservation.release()
    assert not account.total_bytes
