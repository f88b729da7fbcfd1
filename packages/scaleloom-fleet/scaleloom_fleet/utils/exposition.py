"""A registry of metrics, rendered in the Prometheus text exposition format."""

from bisect import bisect_left
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
# Each series takes about 0.3 KB of memory. Label values such as the names of services
# come from the configuration; without a limit the page and its memory could grow
# without bound.
MAX_LABEL_SETS = 64
OTHER = "other"
INFINITY = float("inf")

Labels = tuple[str, ...]
Collector = Callable[[], Awaitable[None]]


class MetricType(Enum):
    """The type of a metric, as written after ``# TYPE``."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricDefinition(msgspec.Struct, frozen=True, eq=False):
    """
    The name, type, help text and labels of a metric.

    Parameters
    ----------
    name : str
        Includes the unit, by the naming conventions of Prometheus.
    bounds : tuple of float
        The upper bounds of a histogram's buckets, ascending.
    """

    name: str
    metric_type: MetricType
    help: str
    labels: Labels = ()
    bounds: tuple[float, ...] = ()


class Histogram(msgspec.Struct):
    """The number of values in each bucket, the last one unbounded, and their sum."""

    counts: list[int]
    total: float = 0.0


class MetricRegistry:
    """
    The values of a process's metrics.

    Counters and histograms are updated when events occur. Gauges are set by the
    functions in `collectors`, which run before a page is rendered.

    Parameters
    ----------
    definitions : tuple of MetricDefinition
        The metrics, in the order of the page.
    is_enabled : bool
        Whether values are recorded; False where no metrics page is served.
    """

    def __init__(
        self, definitions: tuple[MetricDefinition, ...] = (), is_enabled: bool = False
    ) -> None:
        self._definitions = definitions
        self._is_on = is_enabled
        self._values: dict[MetricDefinition, dict[Labels, float]] = {}
        self._histograms: dict[MetricDefinition, dict[Labels, Histogram]] = {}
        self.collectors: list[Collector] = []
        self.folded_count = 0
        for definition in definitions:
            if definition.metric_type is MetricType.HISTOGRAM:
                self._histograms[definition] = {}
            else:
                self._values[definition] = {}
            if definition.metric_type is MetricType.COUNTER and not definition.labels:
                self._values[definition][()] = 0

    def add(
        self, definition: MetricDefinition, *labels: str, amount: float = 1
    ) -> None:
        """Add `amount` to the counter `definition`."""
        if not self._is_on:
            return
        series = self._values[definition]
        if labels not in series:
            labels = self._limit_labels(series, labels)
        series[labels] = series.get(labels, 0) + amount

    def observe(self, definition: MetricDefinition, value: float, *labels: str) -> None:
        """Add `value` to the histogram `definition`."""
        if not self._is_on:
            return
        series = self._histograms[definition]
        histogram = series.get(labels)
        if histogram is None:
            labels = self._limit_labels(series, labels)
            empty = Histogram([0] * (len(definition.bounds) + 1))
            histogram = series.setdefault(labels, empty)
        histogram.counts[bisect_left(definition.bounds, value)] += 1
        histogram.total += value

    def set(self, definition: MetricDefinition, value: float, *labels: str) -> None:
        """Set a gauge until the next `collect`, or a counter that is kept elsewhere."""
        series = self._values[definition]
        if labels in series or len(series) < MAX_LABEL_SETS:
            series[labels] = value
        else:
            self.folded_count += 1

    def _limit_labels(self, series: dict[Labels, object], labels: Labels) -> Labels:
        """Return `labels`, or ``other`` for each at the limit of label sets."""
        if len(series) < MAX_LABEL_SETS:
            return labels
        self.folded_count += 1
        return (OTHER,) * len(labels)

    async def collect(self) -> None:
        """Clear all gauges and run the collectors."""
        for definition, series in self._values.items():
            if definition.metric_type is MetricType.GAUGE:
                series.clear()
        for collector in self.collectors:
            await collector()

    def render(self) -> bytes:
        """Return the metrics page."""
        lines: list[str] = []
        for definition in self._definitions:
            lines.append(f"# HELP {definition.name} {_escape_help(definition.help)}")
            lines.append(f"# TYPE {definition.name} {definition.metric_type.value}")
            if definition.metric_type is MetricType.HISTOGRAM:
                for labels, histogram in self._histograms[definition].items():
                    lines += _histogram_lines(definition, labels, histogram)
            else:
                for labels, value in self._values[definition].items():
                    label_text = _label_text(definition.labels, labels)
                    lines.append(
                        f"{definition.name}{label_text} {_format_number(value)}"
                    )
        return ("\n".join(lines) + "\n").encode()


def _histogram_lines(
    definition: MetricDefinition, labels: Labels, histogram: Histogram
) -> list[str]:
    """Return the lines of one histogram, whose bucket counts are cumulative."""
    lines: list[str] = []
    cumulative_count = 0
    bucket_labels = (*definition.labels, "le")
    for bound, count in zip((*definition.bounds, INFINITY), histogram.counts):
        cumulative_count += count
        label_text = _label_text(bucket_labels, (*labels, _format_number(bound)))
        lines.append(f"{definition.name}_bucket{label_text} {cumulative_count}")
    label_text = _label_text(definition.labels, labels)
    lines.append(f"{definition.name}_sum{label_text} {_format_number(histogram.total)}")
    lines.append(f"{definition.name}_count{label_text} {cumulative_count}")
    return lines


def _label_text(names: Labels, values: Labels) -> str:
    """Return labels in braces, as written after a metric's name."""
    if not names:
        return ""
    pairs = [f'{name}="{_escape(value)}"' for name, value in zip(names, values)]
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    """Return `value` escaped for use between double quotes."""
    return _escape_help(value).replace('"', '\\"')


def _escape_help(text: str) -> str:
    """Return `text` with backslashes and line feeds escaped."""
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _format_number(value: float) -> str:
    """Return `value` in the notation of the exposition format."""
    if value == INFINITY:
        return "+Inf"
    return str(value)
