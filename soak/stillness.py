"""Targets that send nothing for a while and then go on, as a suspended process does."""

import random
from dataclasses import dataclass

import trio

PEEKED_BYTES = 1


@dataclass
class Silence:
    """
    A time in which a target sent nothing. Times are on trio's clock.

    Parameters
    ----------
    is_of_path : bool
        Whether the connections to the target delivered nothing in either direction,
        while the target itself went on.
    """

    from_s: float
    to_s: float = float("inf")
    is_of_path: bool = False

    def describe(self) -> str:
        """Return what was silent, and when."""
        subject = "its path" if self.is_of_path else "it"
        return f"{subject} was silent from {self.from_s:.2f} to {self.to_s:.2f}"


class Stillness:
    """Whether a target stands still: it accepts bytes, and reads and sends nothing."""

    def __init__(self) -> None:
        self.cuts_pieces = False
        self.period_count = 0
        self._going_on = trio.Event()
        self._going_on.set()

    @property
    def is_still(self) -> bool:
        """Return whether the target stands still now."""
        return not self._going_on.is_set()

    def begin(self, cuts_pieces: bool) -> None:
        """
        Let the target stand still.

        Parameters
        ----------
        cuts_pieces : bool
            Whether a part of what it sends next to each request still leaves it.
        """
        self.cuts_pieces = cuts_pieces
        self.period_count += 1
        if not self.is_still:
            self._going_on = trio.Event()

    def end(self) -> None:
        """Let the target go on."""
        self._going_on.set()

    async def wait_until_going_on(self) -> None:
        """Wait for as long as the target stands still."""
        while self.is_still:
            await self._going_on.wait()


class StillStream:
    """
    A connection of a target that sends nothing while the target stands still.

    Parameters
    ----------
    rng : random.Random
        Draws which part of a piece leaves the target first.
    """

    def __init__(
        self, stream: trio.SocketStream, stillness: Stillness, rng: random.Random
    ) -> None:
        self._stream = stream
        self._stillness = stillness
        self._rng = rng
        self._cut_in_period = 0

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection."""
        return self._stream.socket

    async def send_all(self, data: bytes) -> None:
        """Send `data`, maybe a part of it first, once the target goes on."""
        stillness = self._stillness
        if stillness.is_still and self._cuts_next_piece():
            self._cut_in_period = stillness.period_count
            part, data = _divide(data, self._rng)
            await self._stream.send_all(part)
        await stillness.wait_until_going_on()
        await self._stream.send_all(data)

    def _cuts_next_piece(self) -> bool:
        """Return whether a part of the next piece is sent at once."""
        stillness = self._stillness
        return stillness.cuts_pieces and self._cut_in_period != stillness.period_count

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes of the connection."""
        return await self._stream.receive_some(max_bytes)


def _divide(data: bytes, rng: random.Random) -> tuple[bytes, bytes]:
    """Return `data` in two parts, of which the first may be empty."""
    position = rng.randrange(len(data)) if data else 0
    return data[:position], data[position:]


class CloseWatch:
    """
    Notes when the peer closes a connection, without reading from it.

    Parameters
    ----------
    nursery : trio.Nursery or None
        Where it watches; it notes nothing if None.
    """

    def __init__(self, stream: trio.SocketStream, nursery: trio.Nursery | None) -> None:
        self.closed_s = float("inf")
        self._scope = trio.CancelScope()
        if nursery is not None:
            nursery.start_soon(self._watch, stream)

    def stop(self) -> None:
        """Stop watching, before another task reads from the connection."""
        self._scope.cancel()

    async def _watch(self, stream: trio.SocketStream) -> None:
        """Note when the peer closes `stream`, unless it sends more bytes before."""
        if self._scope.cancel_called:
            return
        with self._scope:
            try:
                await trio.lowlevel.wait_readable(stream.socket)
                peeked = await stream.socket.recv(PEEKED_BYTES, trio.socket.MSG_PEEK)
            except (OSError, trio.ClosedResourceError):
                peeked = b""
            if not peeked:
                self.closed_s = trio.current_time()
