"""Links whose try was given up, heard out for a moment before they are closed."""

from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.ids import TargetId
from scaleloom_fleet.http1.links import AnswerBroken, AnswerHead, Link

# A target that turns a request away does so at once, within some milliseconds of
# way and a queue on either side. Whatever runs is cancelled by the close, which is
# to reach the target within half a second.
HEARD_FOR_S = 0.15
WAITING_LIMIT = 256

NoteHead = Callable[[TargetId, AnswerHead], object]


def _note_nothing(target: TargetId, head: AnswerHead) -> None:
    """Do nothing, as long as nobody listens."""


class GivenUpLink(msgspec.Struct):
    """A link to a target on which an answer may be on its way."""

    target: TargetId
    link: Link
    until_s: float


class GivenUpLinks:
    """
    Closes links whose try was given up, young ones after a moment.

    A caller may leave while a target's word of rest, or that it leaves, is on its
    way; the target has given it to this router all the same.
    """

    def __init__(self) -> None:
        self._note_head: NoteHead = _note_nothing
        channel = trio.open_memory_channel[GivenUpLink](WAITING_LIMIT)
        self._to_hear, self._waiting = channel

    def connect(self, note_head: NoteHead) -> None:
        """Tell `note_head` of the head of each answer that still comes."""
        self._note_head = note_head

    def give_up(self, target: TargetId, link: Link) -> None:
        """Close `link`, once nothing more is to be expected of it."""
        until_s = link.started_s + HEARD_FOR_S
        if link.awaits_head and trio.current_time() < until_s:
            try:
                self._to_hear.send_nowait(GivenUpLink(target, link, until_s))
                return
            except trio.WouldBlock:
                # So many leave at once that hearing them out would cost too much.
                pass
        head = link.ready_head()
        if head is not None:
            self._note_head(target, head)
        link.close()

    async def hear_forever(self) -> None:
        """Hear links out for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            async for given_up in self._waiting:
                nursery.start_soon(self._hear, given_up)

    async def _hear(self, given_up: GivenUpLink) -> None:
        """Take in the head of an answer that comes in time, and close the link."""
        try:
            with trio.move_on_at(given_up.until_s):
                head = await given_up.link.read_head()
                self._note_head(given_up.target, head)
        except AnswerBroken:
            # It was closed without a word.
            return
        finally:
            given_up.link.close()
