"""Tree of the tracing spans of one request, read from log files."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

INDENT = "  "


class _SpanLine(msgspec.Struct):
    """Span as written in a log line."""

    span: str
    trace_id: str
    span_id: str
    parent_id: str | None
    started_ms: float
    duration_ms: float
    instance: str


@dataclass(frozen=True)
class SpanTree:
    """Spans of one trace."""

    spans: list[_SpanLine]

    def lines(self) -> list[str]:
        """Return an indented line for each span with its start and duration."""
        roots = [span for span in self.spans if not self._has_logged_parent(span)]
        trace_start_ms = min((span.started_ms for span in self.spans), default=0.0)
        return [
            line
            for root in roots
            for line in self._subtree_lines(root, 0, trace_start_ms)
        ]

    def _has_logged_parent(self, span: _SpanLine) -> bool:
        """Return whether the parent of `span` was logged."""
        return any(other.span_id == span.parent_id for other in self.spans)

    def _subtree_lines(
        self, span: _SpanLine, depth: int, trace_start_ms: float
    ) -> list[str]:
        """Return the lines of `span` and its descendants."""
        line = (
            f"{INDENT * depth}{span.span} [{span.instance}] "
            f"+{span.started_ms - trace_start_ms:.1f} ms, {span.duration_ms:.1f} ms"
        )
        children = [other for other in self.spans if other.parent_id == span.span_id]
        children.sort(key=lambda other: other.started_ms)
        return [line] + [
            descendant
            for child in children
            for descendant in self._subtree_lines(child, depth + 1, trace_start_ms)
        ]


def read_trace(directory: Path, trace_id: str) -> SpanTree:
    """Return the spans of one trace from all log files in `directory`."""
    spans = []
    for path in sorted(directory.glob("*.log")):
        for line in path.read_text(encoding="utf-8").splitlines():
            if trace_id in line and '"span"' in line:
                spans.append(msgspec.json.decode(line, type=_SpanLine))
    return SpanTree(spans)
