"""One connection to the platform's store."""

from collections.abc import Callable

import msgspec
import trio
from returns.result import Failure, Result, Success

from scaleloom_fleet.http1.links import (
    AnswerBroken,
    Link,
    OutgoingRequest,
    exchange,
    open_link,
)
from scaleloom_fleet.http1.sockets import ConnectionLost
from scaleloom_fleet.utils.addresses import Address

ANSWER_LIMIT_BYTES = 1 << 26
ANSWERED = "answered"
FAILED = "failed"
LATE = "late"
GIVEN_UP = "given_up"

# HTTP's own status for a condition that does not hold.
CONDITION_FAILED = 412

NoteCall = Callable[[str, float, bool], None]


class CallFailure(msgspec.Struct, frozen=True):
    """
    Why a call brought no 200.

    Parameters
    ----------
    is_refused : bool
        Whether it was not carried out and never will be, since its condition
        does not hold.
    """

    why: str
    is_refused: bool = False

    def __str__(self) -> str:
        """Return the reason."""
        return self.why


class StoreClient(msgspec.Struct):
    """
    One connection to the store, opened anew after each failure.

    Parameters
    ----------
    timeout_s : float
        How long a call may take, in seconds.
    note_call : callable
        Told how each call ended, its time in seconds, and whether it waited for
        a change.
    """

    address: Address
    timeout_s: float
    note_call: NoteCall
    _link: Link | None = None

    async def call(
        self, request: OutgoingRequest, wait_s: float = 0.0
    ) -> Result[bytes, CallFailure]:
        """Return the body of a 200, or what came instead; `wait_s` is added."""
        called_s = trio.current_time()
        outcome = GIVEN_UP
        try:
            with trio.move_on_after(self.timeout_s + wait_s):
                answer = await self._call(request)
                outcome = FAILED if isinstance(answer, Failure) else ANSWERED
                return answer
            outcome = LATE
            self.drop()
            return Failure(CallFailure("no answer in time"))
        finally:
            self.note_call(outcome, trio.current_time() - called_s, wait_s > 0.0)

    async def _call(self, request: OutgoingRequest) -> Result[bytes, CallFailure]:
        """Return the body of a 200, or what came instead."""
        try:
            if self._link is None or not self._link.is_quiet():
                self.drop()
                silence_ms = int(self.timeout_s * 1000)
                self._link = await open_link(self.address, self.timeout_s, silence_ms)
            link = self._link
            if link is None:
                return Failure(CallFailure("not reached"))
            head, body = await exchange(link, request, ANSWER_LIMIT_BYTES)
        except (AnswerBroken, ConnectionLost) as error:
            self.drop()
            return Failure(CallFailure(str(error)))
        except trio.Cancelled:
            self.drop()
            raise
        if not link.finish():
            self.drop()
        if head.status != 200:
            is_refused = head.status == CONDITION_FAILED
            return Failure(CallFailure(f"status {head.status}", is_refused))
        return Success(body)

    def drop(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None
