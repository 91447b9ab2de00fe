"""Tests of complete requests through the gateway's ASGI application."""

from collections.abc import AsyncIterator

import anyio
import gateway_fakes as fakes
import pytest

from tamaracktide import result_codes
from tamaracktide.protocol import messages

pytestmark = pytest.mark.anyio

Codes = result_codes.ResultCode
COMPLETION = {"model": "r1", "prompt": "hello", "max_tokens": 4}
STREAMED_COMPLETION = {**COMPLETION, "stream": True}


@pytest.fixture
def anyio_backend() -> str:
    """Runs the tests on asyncio, as the gateway does."""
    return "asyncio"


@pytest.fixture
async def cluster() -> AsyncIterator[fakes.GatewayCluster]:
    """Runs a gateway with one scheduler, two engines and two services."""
    async with fakes.open_cluster() as opened_cluster:
        yield opened_cluster


def assert_complete_stream(response: fakes.Response) -> None:
    """Asserts that the four tokens arrived once, in order, as model `r1`."""
    events = [fakes.make_event("r1", index) for index in range(4)]
    assert response.status == 200
    assert response.body == b"".join(events) + b"data: [DONE]\n\n"


async def wait_for_reports(cluster: fakes.GatewayCluster) -> list[str]:
    """Returns the outcomes once all of them have been reported."""
    with anyio.fail_after(5):
        while cluster.parts.claims.unreported:
            await anyio.sleep(0.005)
    return [report.outcome for report in cluster.scheduler.reports]


async def test_response_is_assembled_from_the_stream(
    cluster: fakes.GatewayCluster,
) -> None:
    """A request without `stream` gets one JSON response with all tokens."""
    response = await cluster.call("/v1/completions", COMPLETION)
    assert response.status == 200
    assert b'"text":"T0 T1 T2 T3 "' in response.body
    assert b'"model":"r1"' in response.body
    assert cluster.engines[0].dispatched[0]["model"] == "lora-1"
    assert response.headers[b"x-result-code"] == b"1000"


async def test_stream_is_forwarded(cluster: fakes.GatewayCluster) -> None:
    """Events are forwarded and the grant is released."""
    assert_complete_stream(
        await cluster.call("/v1/completions", STREAMED_COMPLETION)
    )
    assert (await cluster.scheduler.wait_for_releases(1))[
        0
    ].generated_tokens == 4
    assert len(cluster.parts.schedulers.grants) == 0


@pytest.mark.parametrize("stalled", [False, True])
async def test_broken_stream_is_resumed_at_its_offset(
    cluster: fakes.GatewayCluster, stalled: bool
) -> None:
    """After a closed or stalled stream the rest arrives on a new connection."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stalled=stalled)]
    assert_complete_stream(
        await cluster.call("/v1/completions", STREAMED_COMPLETION)
    )
    assert cluster.engines[0].resumed[0].endswith("?offset=2")
    assert not cluster.engines[1].dispatched


async def test_mismatched_stream_is_not_forwarded(
    cluster: fakes.GatewayCluster,
) -> None:
    """Events of another adapter are dropped and the stream is resumed."""
    cluster.engines[0].script = [fakes.Step(model="lora-2")]
    assert_complete_stream(
        await cluster.call("/v1/completions", STREAMED_COMPLETION)
    )


async def test_stream_that_cannot_be_resumed_ends_in_an_error_event(
    cluster: fakes.GatewayCluster,
) -> None:
    """A client that has received tokens gets an error event."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stream_lost=True)]
    response = await cluster.call("/v1/completions", STREAMED_COMPLETION)
    assert response.error["code"] == Codes.STREAM_BROKEN
    assert b"[DONE]" not in response.body
    assert (await cluster.scheduler.wait_for_releases(1))[0].lost


async def test_lost_response_that_was_not_sent_is_retried_elsewhere(
    cluster: fakes.GatewayCluster,
) -> None:
    """An idempotent request runs again, exclusively, on another engine."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stream_lost=True)]
    response = await cluster.call("/v1/completions", COMPLETION)
    assert b'"text":"T0 T1 T2 T3 "' in response.body
    second = cluster.scheduler.requests[1]
    assert second.avoid == ("e0",)
    assert second.alone
    assert (await cluster.scheduler.wait_for_releases(1))[0].suspect


@pytest.mark.parametrize("status", [404, 409, 503])
async def test_refusal_of_an_engine_is_retried_elsewhere(
    cluster: fakes.GatewayCluster, status: int
) -> None:
    """A request that an engine refused unrun is run by another engine."""
    cluster.engines[0].script = [fakes.Step(status=status)]
    assert_complete_stream(
        await cluster.call("/v1/completions", STREAMED_COMPLETION)
    )
    assert len(cluster.engines[1].dispatched) == 1
    assert (await cluster.scheduler.wait_for_releases(1))[
        0
    ].adapter_missing == (status == 404)


async def test_refusal_of_the_scheduler_is_final(
    cluster: fakes.GatewayCluster,
) -> None:
    """The refusal's code, execution and Retry-After reach the client."""
    cluster.scheduler.refusals = [
        messages.RefusalReply(
            request_id="", code=Codes.CUSTOMER_OVER_SHARE, retry_after_s=4.0
        )
    ]
    response = await cluster.call("/v1/completions", COMPLETION)
    assert response.status == 429
    assert response.error["execution"] == "not run"
    assert int(response.headers[b"retry-after"]) >= 4
    assert not cluster.engines[0].dispatched


async def test_grant_of_an_old_epoch_is_refused(
    cluster: fakes.GatewayCluster,
) -> None:
    """No grant with an epoch below the highest one seen is used."""
    cluster.parts.schedulers.epochs.observe_all({"e0": 7, "e1": 7})
    response = await cluster.call("/v1/completions", COMPLETION)
    assert response.error["execution"] == "not run"
    assert not cluster.engines[0].dispatched
    assert len(cluster.parts.schedulers.grants) == 0


async def test_outstanding_grants_are_reported(
    cluster: fakes.GatewayCluster,
) -> None:
    """A new owner gets the grants in use, and its epoch is recorded."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stalled=True)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cluster.call, "/v1/completions", STREAMED_COMPLETION)
        while not cluster.engines[0].dispatched:
            await anyio.sleep(0.005)
        await cluster.scheduler.connections[0].send(
            messages.OutstandingQuery(
                query_id="q", pool="p1", zone="z1", epochs={"e0": 3}
            )
        )
        while not cluster.scheduler.replies:
            await anyio.sleep(0.005)
    assert [
        grant.upstream for grant in cluster.scheduler.replies[0].grants
    ] == ["e0"]
    assert cluster.parts.schedulers.epochs.find("e0") == 3


async def test_stopped_scheduler_is_marked_unreachable(
    cluster: fakes.GatewayCluster,
) -> None:
    """Without a reachable scheduler a request is refused as not run."""
    cluster.scheduler.running.cancel()
    with anyio.fail_after(5):
        while cluster.parts.schedulers.connected:
            await anyio.sleep(0.005)
    response = await cluster.call("/v1/completions", COMPLETION)
    assert response.error["code"] == Codes.OWNER_UNREACHABLE
    assert response.error["execution"] == "not run"


async def test_unresponsive_scheduler_is_marked_unreachable(
    cluster: fakes.GatewayCluster,
) -> None:
    """A connection without messages is closed after the heartbeat timeout."""
    cluster.scheduler.stalled = True
    with anyio.fail_after(5):
        while cluster.parts.schedulers.connected:
            await anyio.sleep(0.005)


async def test_keyed_call_is_claimed_before_it_runs(
    cluster: fakes.GatewayCluster,
) -> None:
    """A second request with the same key finds the claim and does not run."""
    first = await cluster.call(
        "/services/sign/a", b"x", idempotency_key="k", x_any="1"
    )
    second = await cluster.call("/services/sign/a", b"x", idempotency_key="k")
    assert (first.status, first.body) == (200, b"POST x")
    assert second.error["code"] == Codes.CLAIM_IN_PROGRESS
    assert await wait_for_reports(cluster) == ["completed"]
    assert cluster.services[0].effects == ["k"]


@pytest.mark.parametrize(
    ("state", "code"),
    [
        ("unknown", Codes.OUTCOME_UNKNOWN),
        ("reused", Codes.KEY_REUSED),
        ("unavailable", Codes.CLAIM_UNAVAILABLE),
    ],
)
async def test_key_that_cannot_be_claimed_is_refused(
    cluster: fakes.GatewayCluster, state: str, code: result_codes.ResultCode
) -> None:
    """Each claim state maps to its result code, and nothing runs."""
    cluster.scheduler.claims["k"] = messages.ClaimReply(
        attempt_id="", state=state
    )
    response = await cluster.call("/services/sign/a", b"x", idempotency_key="k")
    assert response.error["code"] == code
    assert not cluster.services[0].effects


async def test_kept_response_is_resent(cluster: fakes.GatewayCluster) -> None:
    """A retry of a completed key gets the kept response."""
    cluster.scheduler.claims["k"] = messages.ClaimReply(
        attempt_id="", state="completed", status=201, body=b"kept"
    )
    response = await cluster.call("/services/sign/a", b"x", idempotency_key="k")
    assert (response.status, response.body) == (201, b"kept")


async def test_keyed_call_without_a_response_is_never_retried(
    cluster: fakes.GatewayCluster,
) -> None:
    """A lost response of a non-idempotent call is reported as unknown."""
    cluster.services[0].script = [0]
    response = await cluster.call("/services/sign/a", b"x", idempotency_key="k")
    assert response.error["execution"] == "outcome unknown"
    assert cluster.services[0].effects == ["k"]
    assert not cluster.services[1].effects
    assert await wait_for_reports(cluster) == ["unknown"]


async def test_keyed_completion_is_claimed(
    cluster: fakes.GatewayCluster,
) -> None:
    """A non-idempotent completion runs under a claim and its stream is kept."""
    body = {**STREAMED_COMPLETION, "model": "once"}
    response = await cluster.call("/v1/completions", body, idempotency_key="k")
    assert await wait_for_reports(cluster) == ["completed"]
    assert cluster.scheduler.reports[0].body == response.body


async def test_refused_keyed_completion_is_reported_as_not_run(
    cluster: fakes.GatewayCluster,
) -> None:
    """A claimed request that was refused is reported as not run."""
    refusal = messages.RefusalReply(request_id="", code=Codes.QUEUE_FULL)
    cluster.scheduler.refusals = [refusal]
    body = {**COMPLETION, "model": "once"}
    response = await cluster.call("/v1/completions", body, idempotency_key="k")
    assert response.error["execution"] == "not run"
    assert await wait_for_reports(cluster) == ["not_run"]


async def test_idempotent_service_call_is_retried_elsewhere(
    cluster: fakes.GatewayCluster,
) -> None:
    """A PUT whose response is lost is retried on another service."""
    cluster.services[0].script = [0]
    response = await cluster.call("/services/sign/a", b"x", method="PUT")
    assert (response.status, response.body) == (200, b"PUT x")
    assert len(cluster.services[1].effects) == 1


async def test_leaving_service_gets_no_requests(
    cluster: fakes.GatewayCluster,
) -> None:
    """A service that a peer reports as leaving is excluded at once."""
    await cluster.scheduler.connections[0].send(
        messages.Digest(revision=1, leaving=("s0",))
    )
    with anyio.fail_after(5):
        while cluster.parts.members.find_live("s0"):
            await anyio.sleep(0.005)
    await cluster.call("/services/sign/a", method="GET")
    assert not cluster.services[0].effects


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/v1/completions", b"{", Codes.BAD_REQUEST),
        ("/v1/completions", {"model": "r1"}, Codes.BAD_REQUEST),
        ("/v1/completions", {**COMPLETION, "n": 2}, Codes.BAD_REQUEST),
        ("/v1/completions", {**COMPLETION, "model": "x"}, Codes.ROUTE_UNKNOWN),
        (
            "/v1/completions",
            {**COMPLETION, "model": "sign"},
            Codes.ROUTE_UNKNOWN,
        ),
        ("/services/other/a", b"", Codes.ROUTE_FORBIDDEN),
        ("/v1/completions", b"x" * 4_000_001, Codes.REQUEST_TOO_LARGE),
        ("/nowhere", b"", Codes.ROUTE_UNKNOWN),
        ("/v1/models", b"", Codes.METHOD_NOT_ALLOWED),
    ],
)
async def test_invalid_request_is_refused(
    cluster: fakes.GatewayCluster,
    path: str,
    body: object,
    code: result_codes.ResultCode,
) -> None:
    """Each kind of invalid request has its code and did not run."""
    response = await cluster.call(path, body)
    assert response.error["code"] == code
    assert response.error["execution"] == "not run"


async def test_bad_api_key_is_refused(cluster: fakes.GatewayCluster) -> None:
    """An invalid API key identifies no customer and gets status 401."""
    response = await cluster.call("/v1/models", authorization="Bearer c1.0")
    assert response.status == 401


async def test_models_are_the_customers_own(
    cluster: fakes.GatewayCluster,
) -> None:
    """Only the customer's routes to adapters are listed."""
    response = await cluster.call("/v1/models", method="GET")
    assert b'"r1"' in response.body
    assert b'"sign"' not in response.body


async def test_quarantined_request_is_refused_at_once(
    cluster: fakes.GatewayCluster,
) -> None:
    """A request that a scheduler has quarantined is not dispatched."""
    await cluster.call("/v1/completions", COMPLETION)
    cluster.engines[0].script = [fakes.Step(tokens=0, stream_lost=True)]
    await cluster.call("/v1/completions", COMPLETION)
    fingerprint = (await cluster.scheduler.wait_for_releases(2))[1].suspect
    await cluster.scheduler.connections[0].send(
        messages.Digest(revision=1, quarantined=(fingerprint,))
    )
    with anyio.fail_after(5):
        while not cluster.parts.schedulers.quarantined:
            await anyio.sleep(0.005)
    response = await cluster.call("/v1/completions", COMPLETION)
    assert response.error["code"] == Codes.QUARANTINED


async def test_draining_gateway_refuses_but_finishes(
    cluster: fakes.GatewayCluster,
) -> None:
    """New requests are refused, and the one in progress is completed."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stalled=True)]
    responses: list[fakes.Response] = []

    async def stream() -> None:
        responses.append(
            await cluster.call("/v1/completions", STREAMED_COMPLETION)
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream)
        while not cluster.engines[0].dispatched:
            await anyio.sleep(0.005)
        cluster.app.draining = True
        refused = await cluster.call("/v1/completions", COMPLETION)
        ready = await cluster.call("/readyz", method="GET")
    assert refused.error["code"] == Codes.DRAINING
    assert ready.status == 503
    assert_complete_stream(responses[0])


async def test_explanation_contains_the_decisions(
    cluster: fakes.GatewayCluster,
) -> None:
    """The decisions of a request are returned for its id."""
    response = await cluster.call("/v1/completions", COMPLETION)
    request_id = response.headers[b"x-request-id"].decode()
    explanation = await cluster.call(
        f"/admin/explain/{request_id}", method="GET"
    )
    assert b'"step":"grant"' in explanation.body
    assert b'"upstream":"e0"' in explanation.body


async def test_stalled_response_ends_at_the_deadline(
    cluster: fakes.GatewayCluster,
) -> None:
    """A stalled response is aborted with an unknown outcome."""
    cluster.engines[0].script = [fakes.Step(tokens=0, stalled=True)]
    response = await cluster.call(
        "/v1/completions", COMPLETION, x_timeout_s="0.1"
    )
    assert response.error["code"] == Codes.PROGRESS_TIMEOUT
    assert len(await cluster.scheduler.wait_for_releases()) == 1


async def test_newer_tables_are_fetched_from_a_scheduler(
    cluster: fakes.GatewayCluster,
) -> None:
    """A gateway fetches the tables when a scheduler has a newer revision.

    This is how it gets edits while the platform is unreachable.
    """
    await cluster.scheduler.connections[0].send(messages.Digest(revision=9))
    with anyio.fail_after(5):
        while not cluster.tables.heads:
            await anyio.sleep(0.005)
    assert cluster.tables.heads == [b"head"]


async def test_status_is_shown_to_operators(
    cluster: fakes.GatewayCluster,
) -> None:
    """The status contains the revision and the schedulers."""
    response = await cluster.call("/admin/status", method="GET")
    assert b'"revision":1' in response.body
    assert b'"d1":true' in response.body


async def test_response_that_was_not_kept_is_not_resent(
    cluster: fakes.GatewayCluster,
) -> None:
    """A completed key whose response was not kept gets no empty response."""
    cluster.scheduler.claims["k"] = messages.ClaimReply(
        attempt_id="", state="completed", status=200, body=b""
    )
    response = await cluster.call("/services/sign/a", b"x", idempotency_key="k")
    assert response.error["code"] == Codes.OUTCOME_UNKNOWN
    assert not cluster.services[0].effects


async def test_request_that_crashes_every_engine_is_quarantined(
    cluster: fakes.GatewayCluster,
) -> None:
    """It is retried once, exclusively, and then quarantined.

    A later one is refused without requesting a grant.
    """
    for engine in cluster.engines:
        engine.script = [fakes.Step(tokens=0, stream_lost=True)]
    response = await cluster.call("/v1/completions", COMPLETION)
    assert response.error["code"] == Codes.UPSTREAM_LOST
    assert [request.alone for request in cluster.scheduler.requests] == [
        False,
        True,
    ]
    repeated_response = await cluster.call("/v1/completions", COMPLETION)
    assert repeated_response.error["code"] == Codes.QUARANTINED
    assert len(cluster.scheduler.requests) == 2
    releases = await cluster.scheduler.wait_for_releases(2)
    fingerprint = cluster.scheduler.requests[0].fingerprint
    assert [release.suspect for release in releases] == [
        fingerprint,
        fingerprint,
    ]


async def test_suspect_that_completes_is_cleared(
    cluster: fakes.GatewayCluster,
) -> None:
    """A suspect that completes exclusively may share engines again."""
    cluster.engines[0].script = [fakes.Step(tokens=1, stream_lost=True)]
    assert (await cluster.call("/v1/completions", COMPLETION)).status == 200
    assert (await cluster.call("/v1/completions", COMPLETION)).status == 200
    exclusive = [request.alone for request in cluster.scheduler.requests]
    assert exclusive == [False, True, False]


async def test_resent_suspect_runs_exclusively(
    cluster: fakes.GatewayCluster,
) -> None:
    """A stream that broke off in a crash runs exclusively when resent."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stream_lost=True)]
    await cluster.call("/v1/completions", STREAMED_COMPLETION)
    assert_complete_stream(
        await cluster.call("/v1/completions", STREAMED_COMPLETION)
    )
    assert [request.alone for request in cluster.scheduler.requests] == [
        False,
        True,
    ]


async def test_client_disconnect_is_counted_as_such(
    cluster: fakes.GatewayCluster,
) -> None:
    """The request is cancelled at its engine and not counted as success."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stalled=True)]
    disconnected = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            lambda: cluster.call(
                "/v1/completions",
                STREAMED_COMPLETION,
                disconnected=disconnected,
            )
        )
        while not cluster.engines[0].dispatched:
            await anyio.sleep(0.005)
        disconnected.set()
    body, _ = cluster.parts.metrics.render([""])
    assert f'code="{Codes.CALLER_LEFT.value}"'.encode() in body
    assert b'code="1000"' not in body
    with anyio.fail_after(5):
        while not cluster.engines[0].cancelled:
            await anyio.sleep(0.005)


async def test_grants_of_an_upstream_that_moved_are_reported(
    cluster: fakes.GatewayCluster,
) -> None:
    """A query names upstreams; their grants of any cell are returned."""
    cluster.engines[0].script = [fakes.Step(tokens=2, stalled=True)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cluster.call, "/v1/completions", STREAMED_COMPLETION)
        while not cluster.engines[0].dispatched:
            await anyio.sleep(0.005)
        await cluster.scheduler.connections[0].send(
            messages.OutstandingQuery(
                query_id="q", pool="new", zone="z1", epochs={"e0": 3}
            )
        )
        while not cluster.scheduler.replies:
            await anyio.sleep(0.005)
    assert [
        grant.upstream for grant in cluster.scheduler.replies[0].grants
    ] == ["e0"]


async def test_response_too_large_to_keep_is_reported_as_not_kept(
    cluster: fakes.GatewayCluster,
) -> None:
    """A response beyond the size limit is reported as not kept.

    A retry must not get a part of it.
    """
    limit = cluster.parts.settings.claims.max_kept_bytes
    for path, body in (
        ("/services/sign/a", b"x" * (limit + 1)),
        ("/services/sign/a", b""),
        (
            "/v1/completions",
            {**STREAMED_COMPLETION, "model": "once", "max_tokens": 80},
        ),
    ):
        key = f"k{len(cluster.scheduler.claims)}"
        await cluster.call(path, body, idempotency_key=key)
    await wait_for_reports(cluster)
    kept = {
        report.key: report.body_kept for report in cluster.scheduler.reports
    }
    assert kept == {"k0": False, "k1": True, "k2": False}
