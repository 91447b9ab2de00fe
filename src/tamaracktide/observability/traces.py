"""Traces: a span for each hop, kept as JSON lines in a file.

The trace context travels as a W3C `traceparent` text, in HTTP headers and in
fields of the inner protocol. No thread is used: a span is written when it
ends, and only if its trace is sampled.
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
    """Appends each span as one JSON line to a file."""

    def __init__(self, path: str) -> None:
        """Opens the file for appending."""
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self._descriptor = os.open(path, flags, mode=0o644)

    def export(
        self, spans: Sequence[trace_sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        """Writes the spans."""
        for span in spans:
            os.write(self._descriptor, f"{encode_span(span)}\n".encode())
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


@dataclasses.dataclass(slots=True)
class _State:
    """The process's tracer; a tracer that keeps nothing until configured."""

    provider: trace_sdk.TracerProvider | None
    tracer: trace.Tracer


_state = _State(None, trace.NoOpTracer())


def configure_traces(
    settings: observability_settings.ObservabilitySettings,
    role: str,
    instance: str,
) -> None:
    """Starts to keep spans if the settings name a file.

    Without a file spans still get ids, so that the context of callers is
    carried to the next hop.
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
    """Closes the file of spans; later spans are not kept."""
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
    """Runs the block in a span and marks it as the current one.

    Args:
        name: Span name, such as `gateway.request`.
        traceparent: Context of the remote parent; empty takes the current
            span as the parent.
        attributes: First attributes; more by `span.set_attribute`.
    """
    parent = read_traceparent(traceparent) if traceparent else None
    with _state.tracer.start_as_current_span(
        name, context=parent, attributes=attributes
    ) as span:
        yield span


def open_span(
    name: str,
    traceparent: str = "",
    attributes: Mapping[str, AttributeValue] | None = None,
) -> trace.Span:
    """Returns a span that the caller ends with `span.end()`.

    For hops that start and end in different tasks.
    """
    return _state.tracer.start_span(
        name,
        context=read_traceparent(traceparent) if traceparent else None,
        attributes=attributes,
    )


def read_traceparent(traceparent: str) -> context.Context:
    """Returns the trace context of a `traceparent` text, empty if bad."""
    return _PROPAGATOR.extract(
        {"traceparent": traceparent}, context=context.Context()
    )


def make_traceparent(span: trace.Span | None = None) -> str:
    """Returns the context of a span (default: the current) to pass on."""
    carrier: dict[str, str] = {}
    inside = None if span is None else trace.set_span_in_context(span)
    _PROPAGATOR.inject(carrier, context=inside)
    return carrier.get("traceparent", "")


def encode_span(span: trace_sdk.ReadableSpan) -> str:
    """Returns a span as one line of JSON; times are Unix seconds."""
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
