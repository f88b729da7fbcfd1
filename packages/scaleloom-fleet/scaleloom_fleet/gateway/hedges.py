"""State of an attempt at other targets while a silent one may still go on."""

from collections.abc import Sequence
from enum import Enum

import msgspec
import trio

from scaleloom_core.errors import FleetError
from scaleloom_fleet.gateway.attempt_results import AttemptResult
from scaleloom_fleet.gateway.exchange_state import Exchange

# A target that is given up must be told within 0.4 s after another got the request.
OVERLAP_S = 0.25
UNLIMITED_S = float("inf")


class SilenceEnd(Enum):
    """How the silence of a target ended for one request."""

    WENT_ON = "went_on"
    TAKEN_OVER = "taken_over"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class Hedge(msgspec.Struct, eq=False):
    """
    An attempt at other targets while a silent one may still go on.

    Parameters
    ----------
    silent : Exchange
        The exchange with the silent target.
    silent_scope, others_scope : trio.CancelScope
        Enclose the reading from the silent target, and the attempts at others.
    give_up_s : float
        When the silent target is given up, on the runtime's clock; infinity unless
        another target has the request.
    is_limit_changed : trio.Event
        Set when `give_up_s` changes.
    is_kept : trio.Event
        Set when no other target has the request any more.
    result : AttemptResult or None
        How the exchange with the silent target ended, or that it is silent again.
    is_decided : trio.Event
        Set together with `result`.
    silent_since_s : float
        When the silent target sent its last bytes, or got the request.
    has_gone_on : bool
        Whether the silent target's answer is passed on again.
    is_taken_over : bool
        Whether another target's answer is passed on.
    error : FleetError or None
        The error that the attempts at others ended in.
    is_disconnected : bool
        Whether the caller was found to have disconnected.
    """

    silent: Exchange
    silent_since_s: float
    silent_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)
    others_scope: trio.CancelScope = msgspec.field(default_factory=trio.CancelScope)
    give_up_s: float = UNLIMITED_S
    is_limit_changed: trio.Event = msgspec.field(default_factory=trio.Event)
    is_kept: trio.Event = msgspec.field(default_factory=trio.Event)
    result: AttemptResult | None = None
    is_decided: trio.Event = msgspec.field(default_factory=trio.Event)
    has_gone_on: bool = False
    is_taken_over: bool = False
    error: FleetError | None = None
    is_disconnected: bool = False

    @property
    def may_be_replaced(self) -> bool:
        """Return whether another target has the request and may run it."""
        return self.give_up_s < UNLIMITED_S

    def limit(self, give_up_s: float) -> None:
        """Have the silent target given up at `give_up_s`, or keep it if that is inf."""
        self.give_up_s = give_up_s
        self.is_limit_changed.set()

    @property
    def silence_end(self) -> SilenceEnd:
        """Return how the silence ended."""
        if self.is_taken_over:
            return SilenceEnd.TAKEN_OVER
        if self.has_gone_on:
            return SilenceEnd.WENT_ON
        return SilenceEnd.TIMED_OUT if self.result is None else SilenceEnd.FAILED


def limit_overlap(hedges: Sequence[Hedge]) -> None:
    """Have the silent targets given up soon after another one was sent the request."""
    until_s = trio.current_time() + OVERLAP_S
    for hedge in hedges:
        hedge.limit(until_s)


def keep_silent_targets(hedges: Sequence[Hedge], exchange: Exchange) -> None:
    """Keep the silent targets that `exchange`, which ends, did not take over from."""
    for hedge in hedges:
        if hedge.silent is exchange:
            return
        if not hedge.is_taken_over:
            hedge.limit(UNLIMITED_S)
            hedge.is_kept.set()
