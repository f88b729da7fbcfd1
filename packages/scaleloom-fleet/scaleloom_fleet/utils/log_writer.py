"""Non-blocking output of log lines to a reader that may be slow or gone."""

import os
import stat
from collections import deque

import msgspec
import trio

# About two hundred lines, enough for a short pause of the reader.
BUFFER_LIMIT_BYTES = 65536
# Polled at this interval, since regular files cannot be waited for with epoll.
FLUSH_RETRY_S = 0.2


class Line(msgspec.Struct):
    """
    A log line that has not been written yet.

    Parameters
    ----------
    is_important : bool
        Whether the line is dropped only after all others when the buffer is full.
    """

    data: bytes
    is_important: bool


class LineWriter:
    """
    Writes whole lines to a descriptor and buffers those that cannot be written yet.

    Parameters
    ----------
    descriptor : int
        A pipe, socket or file. Pipes and sockets are made non-blocking: a reader
        that stops reading would otherwise block the process.
    """

    def __init__(self, descriptor: int, limit_bytes: int = BUFFER_LIMIT_BYTES) -> None:
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._lines: deque[Line] = deque()
        self._partial = b""
        self._has_unwritten = trio.Event()
        self.waiting_bytes = 0
        self.lost_count = 0
        mode = os.fstat(descriptor).st_mode
        self._is_non_blocking = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if self._is_non_blocking:
            os.set_blocking(descriptor, False)

    def write(self, data: bytes, is_important: bool = False) -> None:
        """Write or buffer a line; if the buffer is full, drop a less important one."""
        self._lines.append(Line(data, is_important))
        self.waiting_bytes += len(data)
        self.flush()
        if self.waiting_bytes > self._limit_bytes:
            self._drop_excess()
        if self.waiting_bytes:
            self._has_unwritten.set()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._partial or self._lines:
            if not self._partial:
                self._partial = self._lines.popleft().data
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report that.
                self._drop_all()
                return
            self._partial = self._partial[written:]
            self.waiting_bytes -= written

    def _drop_excess(self) -> None:
        """Drop the newest ordinary lines, then the newest important ones if needed."""
        for is_important in (False, True):
            kept: list[Line] = []
            for line in reversed(self._lines):
                is_over = self.waiting_bytes > self._limit_bytes
                if is_over and line.is_important is is_important:
                    self.waiting_bytes -= len(line.data)
                    self.lost_count += 1
                else:
                    kept.append(line)
            self._lines = deque(reversed(kept))

    def _drop_all(self) -> None:
        """Drop all buffered lines and count them as lost."""
        self.lost_count += len(self._lines) + bool(self._partial)
        self._lines.clear()
        self._partial = b""
        self.waiting_bytes = 0

    async def write_waiting(self) -> None:
        """Retry buffered lines until they are written; runs until cancelled."""
        while True:
            await self._has_unwritten.wait()
            self._has_unwritten = trio.Event()
            while self.waiting_bytes:
                await trio.sleep(FLUSH_RETRY_S)
                self.flush()

    def close(self) -> None:
        """Write what the descriptor still accepts, and restore its blocking mode."""
        self.flush()
        self._drop_all()
        if self._is_non_blocking:
            os.set_blocking(self._descriptor, True)
