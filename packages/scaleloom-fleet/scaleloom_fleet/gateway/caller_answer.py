"""The answer to one request, as far as its caller has got it."""

import msgspec

from scaleloom_fleet.gateway.event_splitter import EventSplitter
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.http1.callers import CallerConnection
from scaleloom_fleet.http1.links import AnswerHead, HeaderList


class AnswerMixed(Exception):
    """Raised instead of sending one run's bytes behind another run's."""


class CallerAnswer(msgspec.Struct):
    """
    The answer to one request, as far as its caller has got it.

    All bytes of a target's answer are sent through this. They are one run's, unless a
    stream goes on behind an event that both runs number alike.

    Parameters
    ----------
    splitter : EventSplitter or None
        Splits the answer into events, if the route allows to resume streams.
    run : Exchange or None
        The exchange whose bytes were sent last; None if none were.
    is_begun : bool
        Whether a head was sent.
    last_event_id : bytes or None
        The id of the last event that was sent.
    """

    connection: CallerConnection
    splitter: EventSplitter | None = None
    run: Exchange | None = None
    is_begun: bool = False
    last_event_id: bytes | None = None
    _ends_at_event: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether the answer was sent to its end."""
        return self.connection.is_answer_complete

    @property
    def may_be_continued(self) -> bool:
        """
        Return whether the bytes of another run may be sent.

        Once a part was sent, only the remaining events of a stream may follow it, and
        only if the id of the last event tells the next run where to go on.
        """
        return not self.is_begun or (self._ends_at_event and not self.is_complete)

    async def send_whole(
        self, head: AnswerHead, headers: HeaderList, body: bytes
    ) -> None:
        """
        Send an answer that has been read to its end.

        Raises
        ------
        AnswerMixed
            If an answer has begun.
        """
        if self.is_begun:
            raise AnswerMixed("another answer has begun")
        self.is_begun = True
        await self.connection.send_answer(
            head.status, head.reason, headers, body, head.has_known_end
        )

    async def begin(self, run: Exchange, headers: HeaderList) -> None:
        """
        Send the head of an answer whose body follows.

        Raises
        ------
        AnswerMixed
            If an answer has begun.
        """
        if self.is_begun:
            raise AnswerMixed("another answer has begun")
        self.is_begun, self.run = True, run
        head = run.link.head
        await self.connection.send_head(
            head.status, head.reason, headers, head.has_known_end
        )

    async def send_part(self, run: Exchange, part: bytes) -> None:
        """
        Send a part of a run's body.

        Raises
        ------
        AnswerMixed
            If it may not follow what another run sent.
        """
        self._follow_with(run)
        if run.splits_events:
            self.last_event_id = self.splitter.last_id
            self._ends_at_event = self.splitter.ends_with_id
        else:
            self._ends_at_event = False
        await self.connection.send_data(part)

    def go_back_to_sent(self) -> None:
        """Discard what was split of the body but not sent, as its run has ended."""
        if self.splitter is not None:
            self.splitter.go_back_to(self.last_event_id)

    async def end(self, run: Exchange) -> None:
        """
        End the body, as the run's answer was read to its end.

        Raises
        ------
        AnswerMixed
            If it may not follow what another run sent.
        """
        self._follow_with(run)
        await self.connection.send_end()

    def _follow_with(self, run: Exchange) -> None:
        """Let `run` go on with the body, if it may."""
        if run is not self.run and not self.may_be_continued:
            raise AnswerMixed("the answer of another run was broken off")
        self.run = run
