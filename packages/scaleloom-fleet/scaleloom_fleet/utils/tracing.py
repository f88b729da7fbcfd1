"""Tracing spans, propagated in W3C trace context and exported as log lines."""

import logging
import random
from collections.abc import Sequence
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

_logger = logging.getLogger("scaleloom.trace")
_propagator = TraceContextTextMapPropagator()
_NANOSECONDS_PER_MS = 1e6


class _LogExporter(SpanExporter):
    """Exports each finished span as a log line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log `spans`."""
        for span in spans:
            _logger.info("span", extra=_span_fields(span))
        return SpanExportResult.SUCCESS


def _span_fields(span: ReadableSpan) -> dict[str, object]:
    """Return the fields of the log line for `span`."""
    parent = span.parent
    return {
        "span": span.name,
        "trace_id": trace.format_trace_id(span.context.trace_id),
        "span_id": trace.format_span_id(span.context.span_id),
        "parent_id": trace.format_span_id(parent.span_id) if parent else None,
        "started_ms": span.start_time / _NANOSECONDS_PER_MS,
        "duration_ms": (span.end_time - span.start_time) / _NANOSECONDS_PER_MS,
        "attributes": dict(span.attributes or {}),
    }


def set_up_tracing(instance: str) -> None:
    """Log the spans of this process under the service name `instance`."""
    provider = TracerProvider(resource=Resource({"service.name": instance}))
    provider.add_span_processor(SimpleSpanProcessor(_LogExporter()))
    trace.set_tracer_provider(provider)


_tracer = trace.get_tracer("scaleloom")
_TRACE_HEADER = "traceparent"
_SAMPLED_FLAG = 1


def read_context(headers: dict[str, str]) -> Context | None:
    """Return the trace context of `headers`, or None if it is not sampled."""
    value = headers.get(_TRACE_HEADER)
    if value is None or not _is_sampled(value):
        return None
    return _propagator.extract(headers)


def _is_sampled(value: str) -> bool:
    """Return whether the sampled flag of a `traceparent` header is set."""
    flags = value.rpartition("-")[2]
    try:
        return bool(int(flags, 16) & _SAMPLED_FLAG)
    except ValueError:
        return False


@contextmanager
def root_span(name: str, headers: dict[str, str], ratio: float, **attributes):
    """
    Open the fleet's first span of a request, if the request is sampled.

    Parameters
    ----------
    name : str
        The name of the span.
    headers : dict of str to str
        The request's headers; a trace that the caller sampled is continued.
    ratio : float
        Share of the other requests for which a trace is started.
    """
    parent = read_context(headers)
    if parent is None and random.random() >= ratio:
        yield
        return
    with _tracer.start_as_current_span(name, context=parent, attributes=attributes):
        yield


@contextmanager
def hop_span(name: str, parent: Context | None = None, **attributes):
    """Open the span of a hop, if the request is traced."""
    is_traced = parent is not None or trace.get_current_span().is_recording()
    if not is_traced:
        yield
        return
    with _tracer.start_as_current_span(name, context=parent, attributes=attributes):
        yield


def context_headers() -> dict[str, str]:
    """Return the headers that propagate the current span to the next hop."""
    headers: dict[str, str] = {}
    if trace.get_current_span().is_recording():
        _propagator.inject(headers)
    return headers


def current_trace_id() -> str:
    """Return the current trace id in hexadecimal."""
    context = trace.get_current_span().get_span_context()
    return trace.format_trace_id(context.trace_id)
