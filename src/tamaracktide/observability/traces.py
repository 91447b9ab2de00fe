"""Traces with a span for each hop, written to a file as JSON lines.

The trace context is propagated as a W3C `traceparent` value in HTTP headers
and in message fields of the inner protocol. Spans are exported synchronously
when they end, without a background thread, and only if the trace is sampled.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import os

import msgspec
from opentelemetry import context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as trace_sdk
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry.trace.propagation import tracecontext

from tamaracktide.observability import settings as observability_settings

AttributeValue = str | int | float | bool

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class FileExporter(export.SpanExporter):
    """Appends spans to a file, one JSON object per line."""

    def __init__(self, path: str) -> None:
        """Opens the file for appending."""
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self._descriptor = os.open(path, flags, mode=0o644)

    def export(
        self, spans: Sequence[trace_sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        """Appends the spans to the file."""
        for span in spans:
            os.write(self._descriptor, f"{encode_span(span)}\n".encode())
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


@dataclasses.dataclass(slots=True)
class _TracerState:
    """Tracer of the process; a no-op tracer until configured."""

    provider: trace_sdk.TracerProvider | None
    tracer: trace.Tracer


_state = _TracerState(None, trace.NoOpTracer())


def configure_traces(
    settings: observability_settings.ObservabilitySettings,
    role: str,
    instance: str,
) -> None:
    """Configures the tracer; spans are recorded if a file is set.

    Without a file, spans still have ids, so that the trace context of clients
    is propagated to the next hop.
    """
    close_traces()
    ratio = settings.trace_ratio if settings.trace_path else 0.0
    provider = trace_sdk.TracerProvider(
        sampler=sampling.ParentBased(sampling.TraceIdRatioBased(ratio)),
        resource=resources.Resource(
            {"service.name": role, "service.instance.id": instance}
        ),
        shutdown_on_exit=False,
    )
    if settings.trace_path:
        exporter = FileExporter(settings.trace_path)
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
    _state.provider = provider
    _state.tracer = provider.get_tracer("tamaracktide")


def close_traces() -> None:
    """Closes the span file; spans started later are not recorded."""
    if _state.provider is not None:
        _state.provider.shutdown()
    _state.provider = None
    _state.tracer = trace.NoOpTracer()


@contextlib.contextmanager
def start_span(
    name: str,
    traceparent: str = "",
    attributes: Mapping[str, AttributeValue] | None = None,
) -> Iterator[trace.Span]:
    """Runs the block in a new span, which becomes the current span.

    Args:
        name: Span name, such as `gateway.request`.
        traceparent: Context of a remote parent; if empty, the current span is
            the parent.
        attributes: Initial attributes; `span.set_attribute` adds more.
    """
    parent = parse_traceparent(traceparent) if traceparent else None
    with _state.tracer.start_as_current_span(
        name, context=parent, attributes=attributes
    ) as span:
        yield span


def open_span(
    name: str,
    traceparent: str = "",
    attributes: Mapping[str, AttributeValue] | None = None,
) -> trace.Span:
    """Starts a span that the calling code ends with `span.end()`.

    Used for hops that start and end in different tasks.
    """
    return _state.tracer.start_span(
        name,
        context=parse_traceparent(traceparent) if traceparent else None,
        attributes=attributes,
    )


def parse_traceparent(traceparent: str) -> context.Context:
    """Parses a `traceparent` value; returns an empty context if invalid."""
    return _PROPAGATOR.extract(
        {"traceparent": traceparent}, context=context.Context()
    )


def make_traceparent(span: trace.Span | None = None) -> str:
    """Returns the `traceparent` value of a span or of the current span."""
    carrier: dict[str, str] = {}
    span_context = None if span is None else trace.set_span_in_context(span)
    _PROPAGATOR.inject(carrier, context=span_context)
    return carrier.get("traceparent", "")


def encode_span(span: trace_sdk.ReadableSpan) -> str:
    """Encodes a span as one line of JSON, with times in Unix seconds."""
    record = {
        "name": span.name,
        "trace_id": f"{span.context.trace_id:032x}",
        "span_id": f"{span.context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_unix_s": (span.start_time or 0) / 1e9,
        "end_unix_s": (span.end_time or 0) / 1e9,
        "status": span.status.status_code.name,
        "attributes": dict(span.attributes or {}),
        "events": [
            {"name": event.name, "attributes": dict(event.attributes or {})}
            for event in span.events
        ],
        "role": span.resource.attributes.get("service.name", ""),
        "instance": span.resource.attributes.get("service.instance.id", ""),
    }
    return msgspec.json.encode(record, enc_hook=str).decode()
