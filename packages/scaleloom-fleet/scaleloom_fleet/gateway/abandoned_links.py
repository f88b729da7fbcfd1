"""Links of abandoned attempts, drained for a moment before they are closed."""

from collections.abc import Callable

import msgspec
import trio

from scaleloom_core.ids import TargetId
from scaleloom_fleet.http1.links import AnswerHead, AnswerProtocolError, Link

# A target that refuses a request does so at once; the answer arrives within some
# milliseconds of network and queueing delay. A running request is cancelled by the
# close of its link, which must reach the target within half a second.
DRAIN_TIME_S = 0.15
QUEUE_LIMIT = 256

HeadHandler = Callable[[TargetId, AnswerHead], object]


def _ignore_head(target: TargetId, head: AnswerHead) -> None:
    """Do nothing; used until a handler is connected."""


class AbandonedLink(msgspec.Struct):
    """A link to a target on which an answer may still arrive."""

    target: TargetId
    link: Link
    until_s: float


class AbandonedLinks:
    """
    Closes links of abandoned attempts, recent ones after a short drain.

    A caller may disconnect while an answer with signals of the target, such as
    Retry-After or draining, is on its way. The target expects this router to heed them
    all the same.
    """

    def __init__(self) -> None:
        self._on_head: HeadHandler = _ignore_head
        channel = trio.open_memory_channel[AbandonedLink](QUEUE_LIMIT)
        self._enqueue, self._queued = channel

    def connect(self, on_head: HeadHandler) -> None:
        """Call `on_head` with the head of each answer that still arrives."""
        self._on_head = on_head

    def abandon(self, target: TargetId, link: Link) -> None:
        """Close `link`, or drain it first if an answer may arrive soon."""
        until_s = link.started_s + DRAIN_TIME_S
        if link.awaits_head and trio.current_time() < until_s:
            try:
                self._enqueue.send_nowait(AbandonedLink(target, link, until_s))
                return
            except trio.WouldBlock:
                # With so many abandoned at once, draining them all would cost too much.
                pass
        head = link.read_head_nowait()
        if head is not None:
            self._on_head(target, head)
        link.close()

    async def drain_forever(self) -> None:
        """Drain links for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            async for abandoned in self._queued:
                nursery.start_soon(self._drain, abandoned)

    async def _drain(self, abandoned: AbandonedLink) -> None:
        """Pass on the head of an answer that arrives in time, and close the link."""
        try:
            with trio.move_on_at(abandoned.until_s):
                head = await abandoned.link.read_head()
                self._on_head(abandoned.target, head)
        except AnswerProtocolError:
            # The target closed the link without an answer.
            return
        finally:
            abandoned.link.close()
