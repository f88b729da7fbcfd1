"""An HTTP client of the platform's store, with one connection."""

from collections.abc import Callable

import msgspec
import trio
from returns.result import Failure, Result, Success

from scaleloom_core.store_waits import WAIT_MARGIN_S
from scaleloom_fleet.http1.connections import ConnectionLost
from scaleloom_fleet.http1.links import (
    AnswerProtocolError,
    Link,
    OutgoingRequest,
    open_link,
)
from scaleloom_fleet.http1.requesting import exchange
from scaleloom_fleet.utils.addresses import Address

# A page of newest records, the longest answer, holds 1 MB of them and one of 256 KiB
# at most; in base64 and with the keys of 500 records, less than 2 MiB.
MAX_RESPONSE_BYTES = 1 << 21
OUTCOME_ANSWERED = "answered"
OUTCOME_FAILED = "failed"
OUTCOME_TIMED_OUT = "late"
OUTCOME_CANCELLED = "given_up"

PRECONDITION_FAILED = 412

RecordCall = Callable[[str, float, bool], None]


class CallFailure(msgspec.Struct, frozen=True):
    """
    The reason why a call did not return status 200.

    Parameters
    ----------
    reason : str
        The reason, for log lines.
    is_condition_failed : bool
        Whether the store rejected the call because its condition does not hold, so
        that nothing was written.
    """

    reason: str
    is_condition_failed: bool = False

    def __str__(self) -> str:
        """Return the reason."""
        return self.reason


class StoreClient(msgspec.Struct):
    """
    A connection to the store, reopened after each failure.

    Parameters
    ----------
    timeout_s : float
        How long a call may take, in seconds.
    record_call : callable
        Called after each call with the outcome, the duration in seconds, and
        whether the call was long polling.
    """

    address: Address
    timeout_s: float
    record_call: RecordCall
    _link: Link | None = None

    async def call(
        self, request: OutgoingRequest, wait_s: float = 0.0
    ) -> Result[bytes, CallFailure]:
        """
        Return the body of the response, or a failure if the status is not 200.

        Parameters
        ----------
        wait_s : float
            For long polling: how long the store may hold the call.
        """
        limit_s = wait_s + WAIT_MARGIN_S if wait_s else self.timeout_s
        started_s = trio.current_time()
        outcome = OUTCOME_CANCELLED
        try:
            with trio.move_on_after(limit_s):
                answer = await self._call(request)
                outcome = (
                    OUTCOME_FAILED if isinstance(answer, Failure) else OUTCOME_ANSWERED
                )
                return answer
            outcome = OUTCOME_TIMED_OUT
            self.close()
            return Failure(CallFailure("no response within the time-out"))
        finally:
            self.record_call(outcome, trio.current_time() - started_s, wait_s > 0.0)

    async def _call(self, request: OutgoingRequest) -> Result[bytes, CallFailure]:
        """Return the body of the response, or a failure if the status is not 200."""
        try:
            if self._link is None or not self._link.is_open_and_empty():
                self.close()
                silence_ms = int(self.timeout_s * 1000)
                self._link = await open_link(self.address, self.timeout_s, silence_ms)
            link = self._link
            if link is None:
                return Failure(CallFailure("cannot connect to the store"))
            head, body = await exchange(link, request, MAX_RESPONSE_BYTES)
        except (AnswerProtocolError, ConnectionLost) as error:
            self.close()
            return Failure(CallFailure(str(error)))
        except trio.Cancelled:
            self.close()
            raise
        if not link.finish():
            self.close()
        if head.status != 200:
            is_refused = head.status == PRECONDITION_FAILED
            return Failure(CallFailure(f"status {head.status}", is_refused))
        return Success(body)

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None
