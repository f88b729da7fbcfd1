"""Figures of one process, as the text that monitoring systems scrape."""

from bisect import bisect_left
from collections.abc import Awaitable, Callable
from enum import Enum

import msgspec

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
# Each series takes about 0.3 KB here, and a fleet's names of services must not
# make a page, or the memory behind it, grow without end.
LABEL_SETS_LIMIT = 64
OTHER = "other"
INFINITY = float("inf")

Labels = tuple[str, ...]
Collector = Callable[[], Awaitable[None]]


class Form(Enum):
    """What a metric is."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class Definition(msgspec.Struct, frozen=True, eq=False):
    """
    One metric.

    Parameters
    ----------
    name : str
        With its unit, as the format's readers expect it.
    bounds : tuple of float
        The upper bounds of a histogram's buckets, rising.
    """

    name: str
    form: Form
    help: str
    labels: Labels = ()
    bounds: tuple[float, ...] = ()


class Histogram(msgspec.Struct):
    """How many values fell into each bucket, the last without a bound."""

    counts: list[int]
    total: float = 0.0


class Figures:
    """
    The values of a process's metrics.

    A new gauge is a definition in the table and a collector, which sets the
    gauge's values when a page is made.

    Parameters
    ----------
    definitions : tuple of Definition
        The metrics, in the order of the page.
    is_on : bool
        Whether anything is kept; nobody can read it where there is no page.
    """

    def __init__(
        self, definitions: tuple[Definition, ...] = (), is_on: bool = False
    ) -> None:
        self._definitions = definitions
        self._is_on = is_on
        self._values: dict[Definition, dict[Labels, float]] = {}
        self._histograms: dict[Definition, dict[Labels, Histogram]] = {}
        self.collectors: list[Collector] = []
        self.folded_count = 0
        for definition in definitions:
            if definition.form is Form.HISTOGRAM:
                self._histograms[definition] = {}
            else:
                self._values[definition] = {}
            if definition.form is Form.COUNTER and not definition.labels:
                self._values[definition][()] = 0

    def add(self, definition: Definition, *labels: str, amount: float = 1) -> None:
        """Add `amount` to a counter."""
        if not self._is_on:
            return
        series = self._values[definition]
        if labels not in series:
            labels = self._bounded(series, labels)
        series[labels] = series.get(labels, 0) + amount

    def observe(self, definition: Definition, value: float, *labels: str) -> None:
        """Take `value` into a histogram."""
        if not self._is_on:
            return
        series = self._histograms[definition]
        histogram = series.get(labels)
        if histogram is None:
            labels = self._bounded(series, labels)
            empty = Histogram([0] * (len(definition.bounds) + 1))
            histogram = series.setdefault(labels, empty)
        histogram.counts[bisect_left(definition.bounds, value)] += 1
        histogram.total += value

    def set(self, definition: Definition, value: float, *labels: str) -> None:
        """Set a gauge until the next page is made, or a counter kept elsewhere."""
        series = self._values[definition]
        if labels in series or len(series) < LABEL_SETS_LIMIT:
            series[labels] = value
        else:
            self.folded_count += 1

    def _bounded(self, series: dict[Labels, object], labels: Labels) -> Labels:
        """Return `labels`, or those of all others once there are too many."""
        if len(series) < LABEL_SETS_LIMIT:
            return labels
        self.folded_count += 1
        return (OTHER,) * len(labels)

    async def collect(self) -> None:
        """Set every gauge anew."""
        for definition, series in self._values.items():
            if definition.form is Form.GAUGE:
                series.clear()
        for collector in self.collectors:
            await collector()

    def render(self) -> bytes:
        """Return the page."""
        lines: list[str] = []
        for definition in self._definitions:
            lines.append(f"# HELP {definition.name} {_escape_help(definition.help)}")
            lines.append(f"# TYPE {definition.name} {definition.form.value}")
            if definition.form is Form.HISTOGRAM:
                for labels, histogram in self._histograms[definition].items():
                    lines += _histogram_lines(definition, labels, histogram)
            else:
                for labels, value in self._values[definition].items():
                    names = _label_text(definition.labels, labels)
                    lines.append(f"{definition.name}{names} {_number(value)}")
        return ("\n".join(lines) + "\n").encode()


def _histogram_lines(
    definition: Definition, labels: Labels, histogram: Histogram
) -> list[str]:
    """Return the lines of one histogram; each bucket holds the lower ones too."""
    lines: list[str] = []
    sum_of_counts = 0
    bucket_labels = (*definition.labels, "le")
    for bound, count in zip((*definition.bounds, INFINITY), histogram.counts):
        sum_of_counts += count
        names = _label_text(bucket_labels, (*labels, _number(bound)))
        lines.append(f"{definition.name}_bucket{names} {sum_of_counts}")
    names = _label_text(definition.labels, labels)
    lines.append(f"{definition.name}_sum{names} {_number(histogram.total)}")
    lines.append(f"{definition.name}_count{names} {sum_of_counts}")
    return lines


def _label_text(names: Labels, values: Labels) -> str:
    """Return labels as they follow a metric's name."""
    if not names:
        return ""
    pairs = [f'{name}="{_escape(value)}"' for name, value in zip(names, values)]
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    """Return `value` as it stands between quotes."""
    return _escape_help(value).replace('"', '\\"')


def _escape_help(text: str) -> str:
    """Return `text` on one line."""
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _number(value: float) -> str:
    """Return `value` as the format writes numbers."""
    if value == INFINITY:
        return "+Inf"
    return str(value)
