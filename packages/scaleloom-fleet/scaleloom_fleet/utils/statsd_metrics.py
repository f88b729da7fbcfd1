"""Metrics for statsd: counters, gauges and timings, sent once a second."""

from collections import Counter
from typing import TYPE_CHECKING

import trio

from scaleloom_fleet.utils.addresses import Address

if TYPE_CHECKING:
    from statsd import StatsClient

FLUSH_INTERVAL_S = 1.0


class StatsdMetrics:
    """
    The statsd metrics of a process.

    Parameters
    ----------
    host : str or None
        The statsd server; with None nothing is sent and only totals are kept.
    port : int
        The server's UDP port.
    prefix : str
        Prepended to every name.
    """

    def __init__(self, host: str | None = None, port: int = 8125, prefix="") -> None:
        self._client = _open_client(host, port, prefix) if host else None
        self._unsent: Counter[str] = Counter()
        self._timings_ms: list[tuple[str, float]] = []
        self.totals: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, amount: float = 1) -> None:
        """Add `amount` to the counter `name`."""
        self.totals[name] += amount
        if self._client is not None:
            self._unsent[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge `name`."""
        self.gauges[name] = value

    def timing(self, name: str, duration_s: float) -> None:
        """Record a duration of `name`, given in seconds and sent in milliseconds."""
        if self._client is not None:
            self._timings_ms.append((name, duration_s * 1000.0))

    def flush(self) -> None:
        """Send the counts and timings since the last flush, and all gauges."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, amount in self._unsent.items():
                pipeline.incr(name, amount)
            for name, value in self.gauges.items():
                pipeline.gauge(name, value)
            for name, duration_ms in self._timings_ms:
                pipeline.timing(name, duration_ms)
        self._unsent.clear()
        self._timings_ms.clear()

    async def run(self) -> None:
        """Flush every `FLUSH_INTERVAL_S` until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL_S)
            self.flush()


def _open_client(host: str, port: int, prefix: str) -> "StatsClient":
    """Return a statsd client; the library is imported only if it is used."""
    from statsd import StatsClient

    return StatsClient(host, port, prefix=prefix)


def make_statsd_metrics(server: Address | None, prefix: str) -> StatsdMetrics:
    """Return the metrics of a process, sent to `server` unless it is None."""
    if server is None:
        return StatsdMetrics(prefix=prefix)
    return StatsdMetrics(server.host, server.port, prefix)
