"""Tests of parsing client headers and building forwarded headers."""

from fleet import headers
from tamaracktide.core import routing_document
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests

CLIENT_HEADERS = (
    (b"host", b"h.example"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"7981"),
    (b"x-model", b"m/a1923"),
    (b"x-token-count", b"257,276"),
    (b"x-prompt-prefix", b"f9:95,5c:40,9d:122"),
    (b"x-length-hint", b"70"),
    (b"last-event-id", b"12"),
    (b"resumes", b"r0"),
)


def _make_request(extra: requests.Headers = ()) -> requests.ClientRequest:
    all_headers = (*CLIENT_HEADERS, *extra)
    fields = headers.parse_client_headers(all_headers)
    return requests.ClientRequest(
        request_id="r1",
        method="POST",
        target="/x/",
        headers=all_headers,
        body=b"",
        route=routing_document.Route(
            name="r",
            host="h",
            path_prefix="/x/",
            kind=routing_document.RequestKind.STREAMING,
            shares=(routing_document.Share(service="s"),),
            timeout_s=1.0,
        ),
        service=routing_document.Service(name="s"),
        deadline=1.0,
        expires_at=1.0,
        generation=fields.generation,
    )


def _make_terms(**changes: object) -> entry_adapter.CallOptions:
    values: dict[str, object] = {
        "upstream": "i-7",
        "address": "10.0.0.1:80",
        "time_left_s": 1.5,
        "priority": 1,
        "version": 0,
        "resume_after": None,
    }
    values.update(changes)
    return entry_adapter.CallOptions(**values)  # type: ignore[arg-type]


def test_client_headers_are_parsed() -> None:
    """Numbers, the shared parts of the prompt and the adapter are parsed."""
    fields = headers.parse_client_headers(CLIENT_HEADERS)
    assert fields.time_left_s == 7.981
    assert fields.resume_after == 12
    assert fields.resumed_request == "r0"
    generation = fields.generation
    assert generation is not None
    assert (generation.model, generation.adapter) == ("m", "a1923")
    assert (generation.prompt_tokens, generation.max_tokens) == (257, 276)
    assert generation.session == "5c"


def test_malformed_numbers_count_as_missing() -> None:
    """A non-numeric or negative value is treated like a missing header."""
    fields = headers.parse_client_headers(
        ((b"x-deadline-ms", b"soon"), (b"last-event-id", b"-1"))
    )
    assert fields.time_left_s is None
    assert fields.resume_after is None
    assert fields.generation is None


def test_client_cannot_set_system_headers() -> None:
    """System headers that a client sends are not forwarded."""
    forged_headers = (
        (b"x-hold", b"1"),
        (b"x-pin-ms", b"9"),
        (b"kv-from", b"1.2.3.4:1/x"),
        (b"x-kv-backup", b"1.2.3.4:1"),
        (b"x-expect-instance", b"i-evil"),
        (b"x-request-priority", b"0"),
    )
    forwarded = headers.make_headers(
        _make_request(forged_headers), _make_terms()
    )
    values = dict(forwarded)
    assert len(values) == len(forwarded)
    assert values[b"x-expect-instance"] == b"i-7"
    assert values[b"x-request-priority"] == b"1"
    assert values[b"x-deadline-ms"] == b"1500"
    for name in (b"x-hold", b"x-pin-ms", b"kv-from", b"x-kv-backup"):
        assert name not in values


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    """`Connection` and the headers it names are dropped, others forwarded."""
    extra = (
        (b"connection", b"keep-alive, X-Mine"),
        (b"x-mine", b"1"),
        (b"transfer-encoding", b"chunked"),
        (b"x-other", b"2"),
    )
    values = dict(headers.make_headers(_make_request(extra), _make_terms()))
    assert b"x-mine" not in values
    assert b"transfer-encoding" not in values
    assert values[b"x-other"] == b"2"
    assert values[b"x-model"] == b"m/a1923"
    assert values[b"host"] == b"h.example"


def test_resumption_uses_the_last_forwarded_event() -> None:
    """The client's `Last-Event-Id` is replaced by the last forwarded one."""
    options = _make_terms(resume_after=31, version=4)
    values = dict(headers.make_headers(_make_request(), options))
    assert values[b"last-event-id"] == b"31"
    assert values[b"x-expect-version"] == b"4"


def test_response_with_an_encoding_is_not_signed() -> None:
    """Servers never encode bodies, so the signature does not count."""
    response = ((b"x-response-signature", b"1"), (b"x-request-id", b"r1"))
    assert headers.parse_response_headers(200, response).signed
    encoded = (*response, (b"content-encoding", b"gzip"))
    assert not headers.parse_response_headers(200, encoded).signed


def test_only_two_responses_state_not_run() -> None:
    """Only a 421 or the header states that the request did not run."""
    assert headers.parse_response_headers(421, ()).not_run
    assert headers.parse_response_headers(
        503, ((b"x-not-executed", b"1"),)
    ).not_run
    assert not headers.parse_response_headers(503, ()).not_run
    assert not headers.parse_response_headers(504, ()).not_run
