"""How much of one connection's input is processed before others get their turn."""

import logging
from enum import Enum

import trio

# A piece, an event of the parser, takes 10 to 50 us; a turn takes 3 ms at most.
TURN_PIECES = 64
TURN_BYTES = 1 << 18
# So much of a long message is processed in a turn among all long ones.
LONG_TURN_BYTES = 1 << 16
# Pieces of this size on average cost no more than their bytes do.
LARGE_PIECE_BYTES = 512
# An engine sends some hundred events a second, and after a pause those of a second.
BURST_PIECES = 512
OWN_PIECES_PER_S = 500.0
# A short message is never slowed, however many of them a connection carries.
MESSAGE_PIECES = 16
# What a fifth of a processor parses.
SHARED_PIECES_PER_S = 10_000.0
# Timers that fire late by less than this don't slow the sum of all.
TIMER_SLACK_S = 0.01
# Beyond the pace, this many pieces must have a few bytes each.
MAX_TINY_PIECES = 16_384
MIN_PIECE_BYTES = 4
# Servers send one or two before an answer.
MAX_INTERIM_HEADS = 64
# More than any answer has that a request was cancelled for.
MAX_SURPLUS_BYTES = 1 << 24
# A look at what has arrived must not take longer than a turn.
MAX_STEPS_NOWAIT = 8
_logger = logging.getLogger("scaleloom.input")


class InputBound(Enum):
    """A bound on what one connection may send."""

    TINY_PIECES = "tiny_pieces"
    INTERIM_HEADS = "interim_heads"
    SURPLUS_ANSWER = "surplus_answer"
    EVENT = "event"


class InputBoundExceeded(Exception):
    """
    Raised when a connection sends more than a bound allows.

    Parameters
    ----------
    bound : InputBound
        The bound that was exceeded.
    """

    def __init__(self, bound: InputBound) -> None:
        super().__init__(f"input exceeds the bound {bound.value}")
        self.bound = bound


class InputBudget:
    """
    The work that all connections together may cause beyond their own pace.

    Parameters
    ----------
    slowed_count : int
        How many messages were slowed.
    exceeded_counts : dict of InputBound to int
        How often each bound was exceeded.
    """

    def __init__(self) -> None:
        self._turn = trio.Lock()
        self._long_turn = trio.Lock()
        self._free_s = 0.0
        self.slowed_count = 0
        self.exceeded_counts = dict.fromkeys(InputBound, 0)

    async def draw(self, pieces: float) -> None:
        """Wait until `pieces` more may be processed; the first to come is first."""
        async with self._turn:
            await trio.sleep_until(self._free_s)
            earliest_s = trio.current_time() - TIMER_SLACK_S
            begun_s = max(self._free_s, earliest_s)
            self._free_s = begun_s + pieces / SHARED_PIECES_PER_S

    async def take_long_turn(self) -> None:
        """Wait for a turn among long messages: one at a step of the scheduler."""
        async with self._long_turn:
            return

    def record_slowed(self, peer: str) -> None:
        """Count and log that a message of `peer` is slowed."""
        self.slowed_count += 1
        _logger.warning("input slowed", extra={"peer": peer})

    def record_exceeded(self, peer: str, bound: InputBound) -> None:
        """Count and log that `peer` has exceeded `bound`."""
        self.exceeded_counts[bound] += 1
        fields = {"peer": peer, "bound": bound.value}
        _logger.warning("input exceeds a bound", extra=fields)


_budget: trio.lowlevel.RunVar[InputBudget] = trio.lowlevel.RunVar("input_budget")


def process_budget() -> InputBudget:
    """Return the budget that all connections of this process share."""
    try:
        return _budget.get()
    except LookupError:
        budget = InputBudget()
        _budget.set(budget)
        return budget


class InputPace:
    """
    What one connection has sent since its input was last waited for.

    A reader calls `give_way` when `is_turn_over`, before it takes another piece, so
    that a call which is cancelled there loses nothing.

    Parameters
    ----------
    peer : str
        The other end of the connection, for the log.
    is_turn_over : bool
        Whether others are to get their turn now.
    """

    __slots__ = (
        "_credit_pieces",
        "_drawn_bytes",
        "_drawn_pieces",
        "_long_bytes",
        "_owes_long_turn",
        "_refilled_s",
        "_small_pieces",
        "_turn_bytes",
        "_turn_pieces",
        "is_turn_over",
        "peer",
    )

    def __init__(self, peer: str = "") -> None:
        self.peer = peer
        self.is_turn_over = False
        self._turn_pieces = 0
        self._turn_bytes = 0
        self._small_pieces = 0
        self._long_bytes = 0
        self._owes_long_turn = False
        self._credit_pieces = float(BURST_PIECES)
        self._refilled_s: float | None = None
        self._drawn_pieces = 0.0
        self._drawn_bytes = 0

    @property
    def is_slowed(self) -> bool:
        """Return whether the message has drawn on the budget of the process."""
        return self._drawn_pieces > 0.0

    def begin_message(self) -> None:
        """Let the first pieces of a message be free of the pace."""
        self._credit_pieces = max(self._credit_pieces, float(MESSAGE_PIECES))
        self._drawn_pieces = 0.0
        self._drawn_bytes = 0
        self._long_bytes = 0
        self._owes_long_turn = False

    def record_step(self, size_bytes: int = 0) -> None:
        """Count a step that is bounded in a turn, and not in its rate."""
        self._turn_pieces += 1
        self._turn_bytes += size_bytes
        self._long_bytes += size_bytes
        if self._long_bytes >= LONG_TURN_BYTES:
            self._long_bytes = 0
            self._owes_long_turn = self.is_turn_over = True
        is_full = self._turn_pieces >= TURN_PIECES or self._turn_bytes >= TURN_BYTES
        if is_full or self._credit_pieces < 0.0:
            self._settle()
            self.is_turn_over = True

    def record_piece(self, size_bytes: int = 0) -> None:
        """Count a piece of a message."""
        self._small_pieces += 1
        self.record_step(size_bytes)

    def _settle(self) -> None:
        """Charge the pieces of the turn that their bytes don't pay for."""
        unpaid = self._small_pieces - self._turn_bytes // LARGE_PIECE_BYTES
        if unpaid > 0:
            self._credit_pieces -= unpaid
            if self._credit_pieces < 0.0:
                self._drawn_bytes += self._turn_bytes
        self._turn_pieces = self._turn_bytes = self._small_pieces = 0

    def rest(self) -> None:
        """Begin a new turn, since all input was processed and more is waited for."""
        if self._turn_pieces:
            self._settle()
        self.is_turn_over = self._owes_long_turn
        if self._credit_pieces < BURST_PIECES:
            self._refill()
        else:
            self._refilled_s = None

    def _refill(self) -> None:
        """Let the connection have the pieces of the time since its last wait."""
        now_s = trio.current_time()
        if self._refilled_s is not None:
            gained = (now_s - self._refilled_s) * OWN_PIECES_PER_S
            self._credit_pieces = min(self._credit_pieces + gained, float(BURST_PIECES))
        self._refilled_s = now_s

    async def give_way(self) -> None:
        """
        Let others have their turn, for longer if the pieces come too fast.

        Raises
        ------
        InputBoundExceeded
            If the pieces are too many for their size.
        """
        if self._owes_long_turn:
            await process_budget().take_long_turn()
            self._owes_long_turn = False
        else:
            await trio.lowlevel.checkpoint()
        if self._credit_pieces < 0.0:
            await self._draw()
        self.is_turn_over = False

    async def _draw(self) -> None:
        """Draw on the budget of the process what exceeds the pace."""
        budget = process_budget()
        if not self._drawn_pieces:
            budget.record_slowed(self.peer)
            # Not again if this wait is cancelled and repeated.
            self._drawn_pieces = 1.0
        await budget.draw(-self._credit_pieces)
        self._drawn_pieces -= self._credit_pieces
        self._credit_pieces = 0.0
        is_many = self._drawn_pieces > MAX_TINY_PIECES
        if is_many and self._drawn_bytes < self._drawn_pieces * MIN_PIECE_BYTES:
            raise self.exceed(InputBound.TINY_PIECES)

    def exceed(self, bound: InputBound) -> InputBoundExceeded:
        """Count and log that `bound` is exceeded, and return the error to raise."""
        process_budget().record_exceeded(self.peer, bound)
        return InputBoundExceeded(bound)
