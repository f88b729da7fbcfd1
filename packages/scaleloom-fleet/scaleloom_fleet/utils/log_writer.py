"""Lines for a reader that may be slow or gone, without ever waiting for it."""

import os
import stat
from collections import deque

import msgspec
import trio

# About two hundred lines; what a reader that stands still for a moment misses.
BUFFER_LIMIT_BYTES = 65536
# A reader that takes nothing is looked after this often, since some files can be
# written to at any time and not waited for.
RETRY_S = 0.2


class Line(msgspec.Struct):
    """
    One line that waits.

    Parameters
    ----------
    is_precious : bool
        Whether it outlives the others where there is no room for all.
    """

    data: bytes
    is_precious: bool


class LineWriter:
    """
    Writes whole lines to a descriptor, and keeps some that it does not take.

    Parameters
    ----------
    descriptor : int
        A pipe, socket or file. Pipes and sockets are made non-blocking, since a
        reader that stops reading would stop the process.
    """

    def __init__(self, descriptor: int, limit_bytes: int = BUFFER_LIMIT_BYTES) -> None:
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._lines: deque[Line] = deque()
        self._begun = b""
        self._has_waiting = trio.Event()
        self.waiting_bytes = 0
        self.lost_count = 0
        mode = os.fstat(descriptor).st_mode
        self._is_non_blocking = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if self._is_non_blocking:
            os.set_blocking(descriptor, False)

    def write(self, data: bytes, is_precious: bool = False) -> None:
        """Write a line now or later, or lose one that matters less."""
        self._lines.append(Line(data, is_precious))
        self.waiting_bytes += len(data)
        self.flush()
        if self.waiting_bytes > self._limit_bytes:
            self._make_room()
        if self.waiting_bytes:
            self._has_waiting.set()

    def flush(self) -> None:
        """Write what the reader takes at once."""
        while self._begun or self._lines:
            if not self._begun:
                self._begun = self._lines.popleft().data
            try:
                written = os.write(self._descriptor, self._begun)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no one else to tell.
                self._lose_all()
                return
            self._begun = self._begun[written:]
            self.waiting_bytes -= written

    def _make_room(self) -> None:
        """Lose the newest of the ordinary lines, and of the others if need be."""
        for is_precious in (False, True):
            kept: list[Line] = []
            for line in reversed(self._lines):
                is_over = self.waiting_bytes > self._limit_bytes
                if is_over and line.is_precious is is_precious:
                    self.waiting_bytes -= len(line.data)
                    self.lost_count += 1
                else:
                    kept.append(line)
            self._lines = deque(reversed(kept))

    def _lose_all(self) -> None:
        """Count everything that waits as lost."""
        self.lost_count += len(self._lines) + bool(self._begun)
        self._lines.clear()
        self._begun = b""
        self.waiting_bytes = 0

    async def write_waiting(self) -> None:
        """Write on when the reader takes more, for as long as the process runs."""
        while True:
            await self._has_waiting.wait()
            self._has_waiting = trio.Event()
            while self.waiting_bytes:
                await trio.sleep(RETRY_S)
                self.flush()

    def close(self) -> None:
        """Write what the reader still takes, and let the descriptor block again."""
        self.flush()
        self._lose_all()
        if self._is_non_blocking:
            os.set_blocking(self._descriptor, True)
