"""Tests of logs, metrics and traces."""

from collections.abc import Iterator
import json
import logging
import pathlib
from typing import Any

from loguru import logger
import pytest

from tamaracktide.observability import logs
from tamaracktide.observability import metrics
from tamaracktide.observability import settings
from tamaracktide.observability import traces
from tamaracktide.settings import api_keys


@pytest.fixture
def log_path(tmp_path: pathlib.Path) -> Iterator[pathlib.Path]:
    """Writes logs to a file during a test."""
    path = tmp_path / "log"
    logs.configure_logs(
        settings.ObservabilitySettings(log_path=str(path)), "gateway", "g1"
    )
    yield path
    logger.remove()


def read_lines(path: pathlib.Path) -> list[dict[str, Any]]:
    """Returns the JSON objects of a file with one object per line."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def test_log_line_has_bound_fields_and_no_credential(
    log_path: pathlib.Path,
) -> None:
    """Tokens and API keys are redacted in messages and in fields."""
    key = api_keys.make_api_key("acme", "secret")
    logs.bind(
        request_id="r1", token="t0p", headers={"Authorization": f"Bearer {key}"}
    ).info(f"key {key} {{braces}}")
    (line,) = read_lines(log_path)
    assert line["request_id"] == "r1"
    assert (line["role"], line["instance"]) == ("gateway", "g1")
    assert line["message"] == f"key acme.{logs.REDACTED} {{braces}}"
    text = log_path.read_text()
    assert key.rpartition(".")[2] not in text
    assert "t0p" not in text


def test_exceptions_and_library_logs_are_json_lines(
    log_path: pathlib.Path,
) -> None:
    """Exceptions and records of the standard `logging` module are JSON."""
    try:
        raise ValueError("Bearer abc")
    except ValueError:
        logs.bind().exception("failed")
    logging.getLogger("uvicorn").warning("%d {x}", 3)
    first, second = read_lines(log_path)
    assert first["error"] == f"ValueError('Bearer {logs.REDACTED}')"
    assert (second["message"], second["library"]) == ("3 {x}", "uvicorn")


def test_response_that_is_broken_off_on_purpose_is_no_error(
    log_path: pathlib.Path,
) -> None:
    """Guards against errors in the log that no operator can mend."""
    library = logging.getLogger("uvicorn.error")
    library.error(logs.CUT_RESPONSE)
    library.error("another")
    first, second = read_lines(log_path)
    assert (first["level"], second["level"]) == ("INFO", "ERROR")


def test_metrics_are_rendered_with_their_labels() -> None:
    """Metrics objects have separate registries."""
    updated, unused = metrics.Metrics(), metrics.Metrics()
    updated.load_stalls.inc({"pool": "p"})
    updated.queue_wait_seconds.observe({"pool": "p"}, 0.2)
    body, content_type = updated.render(["text/plain"])
    assert b'tamaracktide_load_stalls_total{pool="p"} 1' in body
    assert b'tamaracktide_queue_wait_seconds_count{pool="p"} 1' in body
    assert content_type.startswith("text/plain")
    assert b"pool=" not in unused.render()[0]


def test_spans_of_two_hops_share_a_trace(tmp_path: pathlib.Path) -> None:
    """The span of the first hop is the parent of the second hop's span."""
    path = tmp_path / "spans"
    traces.configure_traces(
        settings.ObservabilitySettings(trace_path=str(path)), "gateway", "g1"
    )
    with traces.start_span("gateway.request", attributes={"a": 1}) as span:
        span.add_event("granted", {"upstream": "e1"})
        traceparent = traces.make_traceparent()
    traces.open_span("scheduler.grant", traceparent).end()
    traces.close_traces()
    first, second = read_lines(path)
    assert second["trace_id"] == first["trace_id"]
    assert second["parent_id"] == first["span_id"]
    assert first["attributes"] == {"a": 1}
    assert first["events"][0]["attributes"] == {"upstream": "e1"}


def test_context_is_propagated_without_a_trace_file() -> None:
    """Without a trace file the client's trace id reaches the next hop."""
    traces.configure_traces(settings.ObservabilitySettings(), "gateway", "g1")
    trace_id = "1d2294d5f6196470d1a6d8409ba878fd"
    parent = f"00-{trace_id}-26040881ce2579df-01"
    with traces.start_span("gateway.request", parent):
        assert trace_id in traces.make_traceparent()
    with traces.start_span("gateway.request", "nonsense"):
        assert traces.make_traceparent()
    traces.close_traces()
