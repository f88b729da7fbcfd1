"""JSON-line logs on standard output, rate-limited and written without blocking."""

import logging
import sys
import time
from collections.abc import Callable

import trio
from pythonjsonlogger.json import JsonFormatter

from scaleloom_fleet.utils.log_limits import WINDOW_S, KindLimits
from scaleloom_fleet.utils.log_writer import LineWriter

SUPPRESSED_MESSAGE = "log lines suppressed"
# Messages that give the cause of failed requests, and the summary of suppressed ones.
FAILURE_MESSAGES = frozenset(
    {"request not served", "request failed unexpectedly", SUPPRESSED_MESSAGE}
)
# Spans have a limit of their own, the sampling ratio in the settings.
UNLIMITED_MESSAGES = frozenset({"span"})
STDOUT_DESCRIPTOR = 1
_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}


class LineHandler(logging.Handler):
    """
    Writes lines within the rate limits and reports how many were suppressed.

    The first line of each kind, errors and the causes of failed requests are
    dropped last when the reader of the log is too slow.

    Parameters
    ----------
    read_clock : callable
        Returns the time in seconds for the rate limits.
    """

    def __init__(
        self, writer: LineWriter, read_clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.writer = writer
        self.accepted_count = 0
        self.suppressed_count = 0
        self._limits = KindLimits()
        self._read_clock = read_clock
        self._has_suppressed = trio.Event()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, unless its kind has reached its rate limit."""
        self.report_suppressed()
        kind = str(record.msg)
        is_urgent = kind in FAILURE_MESSAGES or record.levelno >= logging.ERROR
        is_important = is_urgent or self._limits.is_first(kind)
        cause = str(getattr(record, "kind", kind))
        is_admitted = kind in UNLIMITED_MESSAGES or self._limits.admit(
            kind, cause, is_urgent, self._read_clock()
        )
        if is_admitted:
            self._write(record, is_important)
            return
        self.suppressed_count += 1
        self._has_suppressed.set()

    def _write(self, record: logging.LogRecord, is_important: bool) -> None:
        """Format `record` and pass the line to the writer."""
        try:
            data = self.format(record).encode("utf-8", "backslashreplace")
        except Exception:
            self.handleError(record)
            return
        self.accepted_count += 1
        self.writer.write(data + b"\n", is_important)

    def report_suppressed(self) -> None:
        """Log how many lines were suppressed in past seconds, by kind and cause."""
        if not self._limits.has_suppressed:
            return
        for kind, causes in self._limits.pop_summaries(self._read_clock()):
            record = logging.LogRecord(
                "scaleloom.logs", logging.WARNING, "", 0, SUPPRESSED_MESSAGE, None, None
            )
            record.__dict__.update(
                event=kind, count=sum(causes.values()), causes=causes
            )
            self._write(record, is_important=True)

    async def run(self) -> None:
        """Write buffered lines and summaries of suppressed ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.writer.write_waiting)
            while True:
                await self._has_suppressed.wait()
                self._has_suppressed = trio.Event()
                await trio.sleep(WINDOW_S)
                self.report_suppressed()

    def close(self) -> None:
        """Write buffered lines as far as the reader accepts them, and drop the rest."""
        self.writer.close()
        super().close()


def set_up_logs(level: str, instance: str) -> None:
    """
    Log to standard output, one JSON object in each line.

    Parameters
    ----------
    level : str
        The lowest level written, such as ``INFO``.
    instance : str
        The name of this process, added to every line.
    """
    # Without a standard output, lines go to what was opened in its place.
    descriptor = STDOUT_DESCRIPTOR if sys.stdout is None else sys.stdout.fileno()
    handler = LineHandler(LineWriter(descriptor))
    formatter = JsonFormatter(
        _FIELDS, rename_fields=_FIELD_NAMES, static_fields={"instance": instance}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("hypercorn").setLevel(logging.WARNING)


def find_line_handler() -> LineHandler | None:
    """Return the handler installed by `set_up_logs`, or None."""
    for handler in logging.getLogger().handlers:
        if isinstance(handler, LineHandler):
            return handler
    return None


async def write_lines() -> None:
    """Run the log handler until cancelled; return if logs are not set up."""
    handler = find_line_handler()
    if handler is not None:
        await handler.run()
