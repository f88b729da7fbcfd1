"""JSON-line logs on standard output, bounded and never waited for."""

import logging
import sys
import time
from collections.abc import Callable

import trio
from pythonjsonlogger.json import JsonFormatter

from scaleloom_fleet.utils.log_limits import WINDOW_S, KindLimits
from scaleloom_fleet.utils.log_writer import LineWriter

LEFT_OUT = "lines left out"
# Says of each request that failed why it did.
CAUSES = frozenset({"request not served", "request failed unexpectedly", LEFT_OUT})
# The settings say how many of these there are.
SAMPLED = frozenset({"span"})
_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


class LineHandler(logging.Handler):
    """
    Writes lines within the limits, and tells how many were left out.

    The first line of each kind, errors and the causes of failed requests are
    lost last when nobody reads.

    Parameters
    ----------
    read_clock : callable
        Returns the seconds by which the limits count.
    """

    def __init__(
        self, writer: LineWriter, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.writer = writer
        self.taken_count = 0
        self.left_out_count = 0
        self._limits = KindLimits()
        self._read_clock = read_clock
        self._left_out = trio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, unless there were too many of its kind."""
        self.tell_left_out()
        kind = str(record.msg)
        is_cause = kind in CAUSES or record.levelno >= logging.ERROR
        is_precious = is_cause or self._limits.is_first(kind)
        cause = str(getattr(record, "kind", kind))
        is_within = kind in SAMPLED or self._limits.take(
            kind, cause, is_cause, self._read_clock()
        )
        if is_within:
            self._write(record, is_precious)
            return
        self.left_out_count += 1
        self._left_out.set()

    def _write(self, record: logging.LogRecord, is_precious: bool) -> None:
        """Hand a line to the writer."""
        try:
            data = self.format(record).encode("utf-8", "backslashreplace")
        except Exception:
            self.handleError(record)
            return
        self.taken_count += 1
        self.writer.write(data + b"\n", is_precious)

    def tell_left_out(self) -> None:
        """Write how many lines were left out in the seconds that are over."""
        if not self._limits.has_left_out:
            return
        for kind, causes in self._limits.summaries(self._read_clock()):
            record = logging.LogRecord(
                "scaleloom.logs", logging.WARNING, "", 0, LEFT_OUT, None, None
            )
            record.__dict__.update(
                event=kind, count=sum(causes.values()), causes=causes
            )
            self._write(record, is_precious=True)

    async def run(self) -> None:
        """Write what waits and what was left out, for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.writer.write_waiting)
            while True:
                await self._left_out.wait()
                self._left_out = trio.Event()
                await trio.sleep(WINDOW_S)
                self.tell_left_out()

    def close(self) -> None:
        """Write what is left, as far as the reader takes it."""
        self.writer.close()
        super().close()


def set_up_logs(level: str, instance: str) -> None:
    """
    Write one JSON object a line to standard output.

    Parameters
    ----------
    level : str
        The lowest level written, such as ``INFO``.
    instance : str
        Put into every line.
    """
    handler = LineHandler(LineWriter(sys.stdout.fileno()))
    formatter = JsonFormatter(
        _FIELDS, rename_fields=_RENAMED, static_fields={"instance": instance}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("hypercorn").setLevel(logging.WARNING)


def find_line_handler() -> LineHandler | None:
    """Return what writes this process's lines, if it was set up."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, LineHandler):
            return handler
    return None


async def write_lines() -> None:
    """Write what waits, for as long as the process runs, if logs were set up."""
    handler = find_line_handler()
    if handler is not None:
        await handler.run()
