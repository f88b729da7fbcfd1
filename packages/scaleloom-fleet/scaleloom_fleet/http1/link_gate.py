"""The gate that long answers and uploads go through, so that short ones go on."""

import logging
from enum import Enum

import trio

from scaleloom_core.link_share import LinkShare, Transfer
from scaleloom_core.process_limits import LinkQueue

_logger = logging.getLogger("scaleloom.limits")


class Direction(Enum):
    """What a transfer carries."""

    ANSWER = "answer"
    UPLOAD = "upload"


class LinkGate:
    """
    Turns of long transfers, the first to come first, one at a step of the scheduler.

    A turn is for one quantum of bytes. So neither the link nor the processor does more
    for long transfers than one quantum between two steps of all others.

    Parameters
    ----------
    share : LinkShare or None
        Decides when a turn may begin; without one, at any time.
    slowed_counts : dict of Direction to int
        How many transfers were slowed.
    waited_s : dict of Direction to float
        How long transfers have waited for turns, in seconds.
    """

    def __init__(self, share: LinkShare | None = None) -> None:
        self.share = share or LinkShare(LinkQueue(0.0, 0.0))
        self.slowed_counts = dict.fromkeys(Direction, 0)
        self.waited_s = dict.fromkeys(Direction, 0.0)
        self._turn = trio.Lock()

    async def wait_turn(
        self, transfer: Transfer, size_bytes: int, direction: Direction
    ) -> int:
        """
        Wait until some of `size_bytes` bytes may be sent; return how many.

        A call that was cancelled has taken nothing.
        """
        begun_s = trio.current_time()
        size = self.share.take_free(transfer, size_bytes, begun_s)
        if not size:
            try:
                size = await self._wait(transfer, size_bytes)
            finally:
                waited_s = trio.current_time() - begun_s
                transfer.waited_s += waited_s
                self.waited_s[direction] += waited_s
        transfer.long_bytes += size
        return size

    async def _wait(self, transfer: Transfer, size_bytes: int) -> int:
        """Wait for a turn or the transfer's own pace; return how many bytes it is."""
        delay_s = self.share.free_delay_s(transfer, size_bytes)
        with trio.move_on_after(delay_s) as scope:
            await self._take_turn()
        if scope.cancelled_caught:
            return self.share.take_own(transfer, size_bytes, trio.current_time())
        return self.share.quantum(size_bytes)

    async def _take_turn(self) -> None:
        """Wait for a turn."""
        async with self._turn:
            while delay_s := self.share.turn_delay_s(trio.current_time()):
                await trio.sleep(delay_s)

    async def receive(self, transfer: Transfer, size_bytes: int) -> float:
        """
        Wait until `size_bytes` received bytes of an upload may be used.

        They count as sent, since they are passed on.

        Returns
        -------
        float
            For how long, in seconds.
        """
        begun_s = trio.current_time()
        while size_bytes > 0:
            taken = await self.wait_turn(transfer, size_bytes, Direction.UPLOAD)
            self.share.record_sent(taken, trio.current_time())
            size_bytes -= taken
        return trio.current_time() - begun_s

    def end(self, transfer: Transfer, direction: Direction, peer: str) -> None:
        """Forget a transfer; count and log it if it was slowed."""
        self.share.end(transfer)
        if not transfer.is_slowed:
            return
        self.slowed_counts[direction] += 1
        fields = {
            "peer": peer,
            "direction": direction.value,
            "long_bytes": transfer.long_bytes,
            "waited_ms": int(transfer.waited_s * 1000),
        }
        _logger.info("transfer slowed", extra=fields)
        transfer.waited_s = 0.0
