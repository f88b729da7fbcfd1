"""Server side of HTTP/1.1: reads callers' requests and sends the answers."""

import h11
import trio

from scaleloom_fleet.http1.answers import HeaderList
from scaleloom_fleet.http1.caller_input import CallerInput
from scaleloom_fleet.http1.caller_requests import (
    CallerDisconnected,
    CallerLimits,
    CallerRequest,
    MemoryExhausted,
    RequestRejected,
)
from scaleloom_fleet.http1.connections import READ_BYTES

__all__ = [
    "CallerConnection",
    "CallerDisconnected",
    "CallerLimits",
    "CallerRequest",
    "MemoryExhausted",
    "RequestRejected",
]
# A longer message is sent in several writes, which cost less than a copy.
MAX_COPIED_BYTES = 65_536
# The first request of a new connection has arrived by then, unless its caller waits.
FIRST_REQUEST_S = 0.1
# A caller that was answered early has noticed it by then, unless its link is slow.
DISCARD_LIMIT_S = 0.5
# One whose long body is refused may send most of it before it reads the answer.
BODY_DISCARD_LIMIT_S = 1.0
_WHOLE_REQUEST_STATES = frozenset({h11.DONE, h11.MUST_CLOSE, h11.CLOSED})
VERSION_WITHOUT_CHUNKS = b"1.0"
CHUNKS_SINCE_VERSION = b"1.1"


class CallerConnection(CallerInput):
    """A connection from a caller: its requests, and the answers to them."""

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection delimits the next body."""
        version = self._protocol.their_http_version
        return version is None or version < CHUNKS_SINCE_VERSION

    def _delimit_by_connection(self) -> None:
        """
        Let only the end of the connection delimit the next body.

        h11 does so for callers of HTTP/1.0, and sends chunks to all others.
        """
        self._protocol.their_http_version = VERSION_WITHOUT_CHUNKS

    def _begin_answer(self, has_known_end: bool) -> None:
        """
        Choose what delimits the body.

        If the end of the connection does, every close before the end of the body is a
        reset, also if the process is killed.
        """
        if not has_known_end:
            self._delimit_by_connection()
        if self.ends_with_connection:
            self._connection.set_reset_at_close(True)
        self.is_answer_started = True

    def _complete_answer(self) -> None:
        """Mark the answer as complete, so that the connection may close normally."""
        if self.ends_with_connection:
            self._connection.set_reset_at_close(False)
        self.is_answer_complete = True

    async def send_head(
        self,
        status: int,
        reason: bytes,
        headers: HeaderList,
        has_known_end: bool = True,
    ) -> None:
        """
        Send the status line and headers of the answer.

        Parameters
        ----------
        has_known_end : bool
            Whether the end of the body will be known. Otherwise only the end of the
            connection delimits it, and nothing tells the caller that it is complete.
        """
        self._begin_answer(has_known_end)
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        await self._send(self._protocol.send(response))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        event = h11.Data(data=data)
        await self._send_parts(self._protocol.send_with_data_passthrough(event))

    async def send_end(self) -> None:
        """End the body and mark the answer as complete."""
        data = self._protocol.send(h11.EndOfMessage())
        if data:
            await self._send(data)
        self._complete_answer()

    async def send_answer(
        self,
        status: int,
        reason: bytes,
        headers: HeaderList,
        body: bytes,
        has_known_end: bool = True,
    ) -> None:
        """
        Send an answer, in one write if it is short; to HEAD without its body.

        Parameters
        ----------
        has_known_end : bool
            Whether `body` is known to be complete; see `send_head`.
        """
        self._begin_answer(has_known_end)
        response = h11.Response(status_code=status, reason=reason, headers=headers)
        parts = [self._protocol.send(response)]
        if body and self._answer_may_have_body:
            event = h11.Data(data=body)
            parts += self._protocol.send_with_data_passthrough(event)
        parts.append(self._protocol.send(h11.EndOfMessage()))
        await self._send_parts(parts)
        self._complete_answer()

    async def _send_parts(self, parts: list[bytes]) -> None:
        """Send `parts` in order, without a copy of long ones."""
        if sum(map(len, parts)) <= MAX_COPIED_BYTES:
            parts = [b"".join(parts)]
        for part in filter(None, parts):
            await self._send(part)

    @property
    def is_disconnected(self) -> bool:
        """Return whether the end of the connection has been read."""
        return self._is_disconnected

    def check_disconnected(self) -> bool:
        """
        Return whether the caller has disconnected, asking the socket as well.

        After a pause of the process a request and the disconnect of its caller can
        both wait in the socket, before the reading task has seen the latter.
        """
        return (
            self._is_disconnected
            or self._is_closed
            or self._connection.is_closed_by_peer()
        )

    def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` as soon as the caller disconnects."""
        self._request_scope = scope
        if self._is_disconnected:
            scope.cancel()

    def end_request(self) -> None:
        """Cancel the request that is served, if any, as its deadline would."""
        if self._request_scope is not None:
            self._request_scope.cancel()

    def finish(self) -> bool:
        """
        Prepare the connection for the next request.

        Returns
        -------
        bool
            False if the connection cannot be reused.
        """
        self._request_scope = None
        if not self.is_answer_complete:
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        surplus, _ = self._protocol.trailing_data
        if surplus:
            self._protocol = h11.Connection(h11.SERVER)
            self._inbox[:0] = surplus
        self.is_idle = not self._inbox
        return True

    def close_when_idle(self) -> None:
        """
        Close the connection once no request is in progress.

        A request that has already arrived is still answered: closing at once could
        cut off one that was just forwarded to a target. A new connection is left some
        time for its first request, so this has to be called again.
        """
        if trio.current_time() >= self._opened_s + FIRST_REQUEST_S:
            self._is_closing = True
            self._input_changed.set()

    async def discard_rest(self) -> None:
        """
        Discard what the caller still sends after its last answer, for a limited time.

        A close with unread bytes would reset the connection, and the caller might lose
        the answer.
        """
        if not self.is_answer_complete or not self._may_have_unread():
            return
        self._connection.end_sending()
        self._is_discarding = True
        self._inbox.clear()
        self._limit_inbox(READ_BYTES)
        with trio.move_on_after(self._discard_limit_s):
            while not self._is_disconnected:
                await self._wait_for_input()

    @property
    def _discard_limit_s(self) -> float:
        """Return for how long to discard what follows the last answer, in seconds."""
        is_body_unread = self._protocol.their_state is h11.SEND_BODY
        return BODY_DISCARD_LIMIT_S if is_body_unread else DISCARD_LIMIT_S

    def _may_have_unread(self) -> bool:
        """Return whether the caller may have sent more than was read."""
        is_whole = self._protocol.their_state in _WHOLE_REQUEST_STATES
        surplus, _ = self._protocol.trailing_data
        if not is_whole or surplus or self._inbox:
            return True
        return not self._connection.is_open_and_empty()

    def close(self) -> None:
        """Close the connection normally."""
        if not self._is_closed:
            self._is_closed = True
            self._end_transfers()
            self._connection.close()

    def reset(self) -> None:
        """Reset the connection, so that a truncated answer does not look complete."""
        if not self._is_closed:
            self._is_closed = True
            self._end_transfers()
            self._connection.reset()
