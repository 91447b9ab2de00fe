"""Tests of whole requests through the gateway's application."""

from collections.abc import AsyncIterator

import anyio
import gateway_fakes as fakes
import pytest

from tamaracktide import result_codes
from tamaracktide.protocol import messages

pytestmark = pytest.mark.anyio

Codes = result_codes.ResultCode
ASK = {"model": "r1", "prompt": "hello", "max_tokens": 4}
STREAM = {**ASK, "stream": True}


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


@pytest.fixture
async def world() -> AsyncIterator[fakes.World]:
    """A gateway with one scheduler, two engines and two services."""
    async with fakes.open_world() as opened:
        yield opened


def check_whole_stream(answer: fakes.Answer) -> None:
    """Asserts that all four tokens came once, in order, as the route's."""
    events = [fakes.make_event("r1", index) for index in range(4)]
    assert answer.status == 200
    assert answer.body == b"".join(events) + b"data: [DONE]\n\n"


async def wait_for_reports(world: fakes.World) -> list[str]:
    """Returns the reported outcomes once none is pending."""
    with anyio.fail_after(5):
        while world.parts.claims.unreported:
            await anyio.sleep(0.005)
    return [report.outcome for report in world.scheduler.reports]


async def test_whole_answer_is_assembled(world: fakes.World) -> None:
    """A request without `stream` gets one JSON answer of all tokens."""
    answer = await world.call("/v1/completions", ASK)
    assert answer.status == 200
    assert b'"text":"T0 T1 T2 T3 "' in answer.body
    assert b'"model":"r1"' in answer.body
    assert world.engines[0].dispatched[0]["model"] == "lora-1"
    assert answer.headers[b"x-result-code"] == b"1000"


async def test_stream_is_passed_on(world: fakes.World) -> None:
    """Events are passed on and the grant is given back."""
    check_whole_stream(await world.call("/v1/completions", STREAM))
    assert (await world.scheduler.wait_for_releases(1))[0].generated_tokens == 4
    assert len(world.parts.schedulers.grants) == 0


@pytest.mark.parametrize("silent", [False, True])
async def test_broken_stream_is_resumed_at_its_offset(
    world: fakes.World, silent: bool
) -> None:
    """After a break or a silence the rest comes over a new connection."""
    world.engines[0].script = [fakes.Step(tokens=2, silent=silent)]
    check_whole_stream(await world.call("/v1/completions", STREAM))
    assert world.engines[0].resumed[0].endswith("?offset=2")
    assert not world.engines[1].dispatched


async def test_crossed_answer_is_not_passed_on(world: fakes.World) -> None:
    """Events of another adapter are dropped and the right ones fetched."""
    world.engines[0].script = [fakes.Step(model="lora-2")]
    check_whole_stream(await world.call("/v1/completions", STREAM))


async def test_stream_that_cannot_be_resumed_ends_in_an_error_event(
    world: fakes.World,
) -> None:
    """A caller that saw tokens is told that the answer broke off."""
    world.engines[0].script = [fakes.Step(tokens=2, forget=True)]
    answer = await world.call("/v1/completions", STREAM)
    assert answer.error["code"] == Codes.STREAM_BROKEN
    assert b"[DONE]" not in answer.body
    assert (await world.scheduler.wait_for_releases(1))[0].lost


async def test_lost_answer_that_nobody_saw_is_run_elsewhere(
    world: fakes.World,
) -> None:
    """An idempotent request runs again, alone, on another engine."""
    world.engines[0].script = [fakes.Step(tokens=2, forget=True)]
    answer = await world.call("/v1/completions", ASK)
    assert b'"text":"T0 T1 T2 T3 "' in answer.body
    second = world.scheduler.requests[1]
    assert second.avoid == ("e0",)
    assert second.alone
    assert (await world.scheduler.wait_for_releases(1))[0].suspect


@pytest.mark.parametrize("status", [404, 409, 503])
async def test_refusal_of_an_engine_is_retried_elsewhere(
    world: fakes.World, status: int
) -> None:
    """What the engine says it did not run is run by another one."""
    world.engines[0].script = [fakes.Step(status=status)]
    check_whole_stream(await world.call("/v1/completions", STREAM))
    assert len(world.engines[1].dispatched) == 1
    assert (await world.scheduler.wait_for_releases(1))[0].adapter_missing == (
        status == 404
    )


async def test_refusal_of_the_scheduler_is_final(world: fakes.World) -> None:
    """The refusal's code, truth and Retry-After reach the caller."""
    world.scheduler.refusals = [
        messages.RefusalReply(
            request_id="", code=Codes.CUSTOMER_OVER_SHARE, retry_after_s=4.0
        )
    ]
    answer = await world.call("/v1/completions", ASK)
    assert answer.status == 429
    assert answer.error["execution"] == "not run"
    assert int(answer.headers[b"retry-after"]) >= 4
    assert not world.engines[0].dispatched


async def test_grant_of_an_old_epoch_is_refused(world: fakes.World) -> None:
    """No grant below the highest epoch seen is used."""
    world.parts.schedulers.epochs.observe_all({"e0": 7, "e1": 7})
    answer = await world.call("/v1/completions", ASK)
    assert answer.error["execution"] == "not run"
    assert not world.engines[0].dispatched
    assert len(world.parts.schedulers.grants) == 0


async def test_outstanding_grants_are_told(world: fakes.World) -> None:
    """A new owner learns which grants are in use, and its epoch counts."""
    world.engines[0].script = [fakes.Step(tokens=2, silent=True)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.call, "/v1/completions", STREAM)
        while not world.engines[0].dispatched:
            await anyio.sleep(0.005)
        await world.scheduler.connections[0].send(
            messages.OutstandingQuery(
                query_id="q", pool="p1", zone="z1", epochs={"e0": 3}
            )
        )
        while not world.scheduler.replies:
            await anyio.sleep(0.005)
    assert [g.upstream for g in world.scheduler.replies[0].grants] == ["e0"]
    assert world.parts.schedulers.epochs.find("e0") == 3


async def test_dead_scheduler_is_marked_unreachable(
    world: fakes.World,
) -> None:
    """Without a reachable scheduler a request is refused as not run."""
    world.scheduler.running.cancel()
    with anyio.fail_after(5):
        while world.parts.schedulers.connected:
            await anyio.sleep(0.005)
    answer = await world.call("/v1/completions", ASK)
    assert answer.error["code"] == Codes.OWNER_UNREACHABLE
    assert answer.error["execution"] == "not run"


async def test_silent_scheduler_is_marked_unreachable(
    world: fakes.World,
) -> None:
    """A connection on which nothing comes any more is given up."""
    world.scheduler.silent = True
    with anyio.fail_after(5):
        while world.parts.schedulers.connected:
            await anyio.sleep(0.005)


async def test_keyed_call_is_claimed_before_it_runs(
    world: fakes.World,
) -> None:
    """A second sending finds the claim and does not run."""
    first = await world.call(
        "/services/sign/a", b"x", idempotency_key="k", x_any="1"
    )
    second = await world.call("/services/sign/a", b"x", idempotency_key="k")
    assert (first.status, first.body) == (200, b"POST x")
    assert second.error["code"] == Codes.CLAIM_IN_PROGRESS
    assert await wait_for_reports(world) == ["completed"]
    assert world.services[0].effects == ["k"]


@pytest.mark.parametrize(
    ("state", "code"),
    [
        ("unknown", Codes.OUTCOME_UNKNOWN),
        ("reused", Codes.KEY_REUSED),
        ("unavailable", Codes.CLAIM_UNAVAILABLE),
    ],
)
async def test_key_that_cannot_be_claimed_is_refused(
    world: fakes.World, state: str, code: result_codes.ResultCode
) -> None:
    """Each state of a claim has its result code, and nothing runs."""
    world.scheduler.claims["k"] = messages.ClaimReply(
        attempt_id="", state=state
    )
    answer = await world.call("/services/sign/a", b"x", idempotency_key="k")
    assert answer.error["code"] == code
    assert not world.services[0].effects


async def test_kept_answer_is_repeated(world: fakes.World) -> None:
    """A completed key gets its first answer again."""
    world.scheduler.claims["k"] = messages.ClaimReply(
        attempt_id="", state="completed", status=201, body=b"kept"
    )
    answer = await world.call("/services/sign/a", b"x", idempotency_key="k")
    assert (answer.status, answer.body) == (201, b"kept")


async def test_keyed_call_without_an_answer_is_never_repeated(
    world: fakes.World,
) -> None:
    """A lost answer of a non-idempotent call is told as unknown."""
    world.services[0].script = [0]
    answer = await world.call("/services/sign/a", b"x", idempotency_key="k")
    assert answer.error["execution"] == "outcome unknown"
    assert world.services[0].effects == ["k"]
    assert not world.services[1].effects
    assert await wait_for_reports(world) == ["unknown"]


async def test_keyed_completion_is_claimed(world: fakes.World) -> None:
    """A non-idempotent model route runs under a claim, streams kept."""
    body = {**STREAM, "model": "once"}
    answer = await world.call("/v1/completions", body, idempotency_key="k")
    assert await wait_for_reports(world) == ["completed"]
    assert world.scheduler.reports[0].body == answer.body


async def test_refused_keyed_completion_frees_its_claim(
    world: fakes.World,
) -> None:
    """A claimed request that was refused unrun is reported as such."""
    refusal = messages.RefusalReply(request_id="", code=Codes.QUEUE_FULL)
    world.scheduler.refusals = [refusal]
    body = {**ASK, "model": "once"}
    answer = await world.call("/v1/completions", body, idempotency_key="k")
    assert answer.error["execution"] == "not run"
    assert await wait_for_reports(world) == ["not_run"]


async def test_idempotent_service_call_is_repeated_elsewhere(
    world: fakes.World,
) -> None:
    """A lost answer of a PUT is fetched from another service."""
    world.services[0].script = [0]
    answer = await world.call("/services/sign/a", b"x", method="PUT")
    assert (answer.status, answer.body) == (200, b"PUT x")
    assert len(world.services[1].effects) == 1


async def test_leaving_service_gets_no_work(world: fakes.World) -> None:
    """What a peer says is leaving is left out at once."""
    await world.scheduler.connections[0].send(
        messages.Digest(revision=1, leaving=("s0",))
    )
    with anyio.fail_after(5):
        while world.parts.members.find_live("s0"):
            await anyio.sleep(0.005)
    await world.call("/services/sign/a", method="GET")
    assert not world.services[0].effects


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/v1/completions", b"{", Codes.BAD_REQUEST),
        ("/v1/completions", {"model": "r1"}, Codes.BAD_REQUEST),
        ("/v1/completions", {**ASK, "n": 2}, Codes.BAD_REQUEST),
        ("/v1/completions", {**ASK, "model": "x"}, Codes.ROUTE_UNKNOWN),
        ("/v1/completions", {**ASK, "model": "sign"}, Codes.ROUTE_UNKNOWN),
        ("/services/other/a", b"", Codes.ROUTE_FORBIDDEN),
        ("/v1/completions", b"x" * 4_000_001, Codes.REQUEST_TOO_LARGE),
        ("/nowhere", b"", Codes.ROUTE_UNKNOWN),
        ("/v1/models", b"", Codes.METHOD_NOT_ALLOWED),
    ],
)
async def test_request_at_fault_is_refused(
    world: fakes.World,
    path: str,
    body: object,
    code: result_codes.ResultCode,
) -> None:
    """Each fault has its code and states that nothing ran."""
    answer = await world.call(path, body)
    assert answer.error["code"] == code
    assert answer.error["execution"] == "not run"


async def test_bad_api_key_is_refused(world: fakes.World) -> None:
    """A key that is not valid names nobody."""
    answer = await world.call("/v1/models", authorization="Bearer c1.0")
    assert answer.status == 401


async def test_models_are_the_customers_own(world: fakes.World) -> None:
    """Only routes to adapters of the customer are listed."""
    answer = await world.call("/v1/models", method="GET")
    assert b'"r1"' in answer.body
    assert b'"sign"' not in answer.body


async def test_quarantined_request_is_refused_at_once(
    world: fakes.World,
) -> None:
    """A fingerprint that a scheduler has quarantined is not dispatched."""
    await world.call("/v1/completions", ASK)
    world.engines[0].script = [fakes.Step(tokens=0, forget=True)]
    await world.call("/v1/completions", ASK)
    fingerprint = (await world.scheduler.wait_for_releases(2))[1].suspect
    await world.scheduler.connections[0].send(
        messages.Digest(revision=1, quarantined=(fingerprint,))
    )
    with anyio.fail_after(5):
        while not world.parts.schedulers.quarantined:
            await anyio.sleep(0.005)
    answer = await world.call("/v1/completions", ASK)
    assert answer.error["code"] == Codes.QUARANTINED


async def test_draining_gateway_refuses_but_finishes(
    world: fakes.World,
) -> None:
    """New requests are refused, the one in progress gets its answer."""
    world.engines[0].script = [fakes.Step(tokens=2, silent=True)]
    answers: list[fakes.Answer] = []

    async def stream() -> None:
        answers.append(await world.call("/v1/completions", STREAM))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stream)
        while not world.engines[0].dispatched:
            await anyio.sleep(0.005)
        world.app.draining = True
        refused = await world.call("/v1/completions", ASK)
        ready = await world.call("/readyz", method="GET")
    assert refused.error["code"] == Codes.DRAINING
    assert ready.status == 503
    check_whole_stream(answers[0])


async def test_explanation_names_each_step(world: fakes.World) -> None:
    """The decisions of a request can be read by its id."""
    answer = await world.call("/v1/completions", ASK)
    request_id = answer.headers[b"x-request-id"].decode()
    told = await world.call(f"/admin/explain/{request_id}", method="GET")
    assert b'"step":"grant"' in told.body
    assert b'"upstream":"e0"' in told.body


async def test_deadline_ends_the_wait(world: fakes.World) -> None:
    """A silent answer is given up at the deadline as unknown."""
    world.engines[0].script = [fakes.Step(tokens=0, silent=True)]
    answer = await world.call("/v1/completions", ASK, x_timeout_s="0.1")
    assert answer.error["code"] == Codes.PROGRESS_TIMEOUT
    assert len(await world.scheduler.wait_for_releases()) == 1


async def test_newer_tables_are_fetched_from_a_scheduler(
    world: fakes.World,
) -> None:
    """A gateway that cannot reach the platform learns of edits."""
    await world.scheduler.connections[0].send(messages.Digest(revision=9))
    with anyio.fail_after(5):
        while not world.tables.heads:
            await anyio.sleep(0.005)
    assert world.tables.heads == [b"head"]


async def test_status_is_told_to_operators(world: fakes.World) -> None:
    """The status shows revision and schedulers to operators."""
    answer = await world.call("/admin/status", method="GET")
    assert b'"revision":1' in answer.body
    assert b'"d1":true' in answer.body


async def test_answer_that_was_not_kept_is_not_repeated_as_whole(
    world: fakes.World,
) -> None:
    """A completed key whose answer was too large is no empty answer."""
    world.scheduler.claims["k"] = messages.ClaimReply(
        attempt_id="", state="completed", status=200, body=b""
    )
    answer = await world.call("/services/sign/a", b"x", idempotency_key="k")
    assert answer.error["code"] == Codes.OUTCOME_UNKNOWN
    assert not world.services[0].effects


async def test_request_that_crashes_every_engine_is_quarantined(
    world: fakes.World,
) -> None:
    """It runs once more, alone; then it is refused without being asked for."""
    for engine in world.engines:
        engine.script = [fakes.Step(tokens=0, forget=True)]
    answer = await world.call("/v1/completions", ASK)
    assert answer.error["code"] == Codes.UPSTREAM_LOST
    assert [one.alone for one in world.scheduler.requests] == [False, True]
    again = await world.call("/v1/completions", ASK)
    assert again.error["code"] == Codes.QUARANTINED
    assert len(world.scheduler.requests) == 2
    releases = await world.scheduler.wait_for_releases(2)
    fingerprint = world.scheduler.requests[0].fingerprint
    assert [one.suspect for one in releases] == [fingerprint, fingerprint]


async def test_request_beside_a_crash_is_cleared(world: fakes.World) -> None:
    """One that ends alone runs beside others again."""
    world.engines[0].script = [fakes.Step(tokens=1, forget=True)]
    assert (await world.call("/v1/completions", ASK)).status == 200
    assert (await world.call("/v1/completions", ASK)).status == 200
    asked = [one.alone for one in world.scheduler.requests]
    assert asked == [False, True, False]


async def test_resent_suspect_runs_alone(world: fakes.World) -> None:
    """A stream that broke off in a crash runs alone when sent again."""
    world.engines[0].script = [fakes.Step(tokens=2, forget=True)]
    await world.call("/v1/completions", STREAM)
    check_whole_stream(await world.call("/v1/completions", STREAM))
    assert [one.alone for one in world.scheduler.requests] == [False, True]


async def test_caller_who_leaves_is_counted_as_such(
    world: fakes.World,
) -> None:
    """The request is cancelled at its engine and is no success."""
    world.engines[0].script = [fakes.Step(tokens=2, silent=True)]
    left = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            lambda: world.call("/v1/completions", STREAM, left=left)
        )
        while not world.engines[0].dispatched:
            await anyio.sleep(0.005)
        left.set()
    body, _ = world.parts.metrics.render([""])
    assert f'code="{Codes.CALLER_LEFT.value}"'.encode() in body
    assert b'code="1000"' not in body
    with anyio.fail_after(5):
        while not world.engines[0].cancelled:
            await anyio.sleep(0.005)


async def test_grants_of_an_upstream_that_moved_are_told(
    world: fakes.World,
) -> None:
    """A query names upstreams, whose grants count in whatever cell."""
    world.engines[0].script = [fakes.Step(tokens=2, silent=True)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(world.call, "/v1/completions", STREAM)
        while not world.engines[0].dispatched:
            await anyio.sleep(0.005)
        await world.scheduler.connections[0].send(
            messages.OutstandingQuery(
                query_id="q", pool="new", zone="z1", epochs={"e0": 3}
            )
        )
        while not world.scheduler.replies:
            await anyio.sleep(0.005)
    assert [g.upstream for g in world.scheduler.replies[0].grants] == ["e0"]


async def test_answer_too_large_to_keep_is_reported_so(
    world: fakes.World,
) -> None:
    """A repeat is not answered with a part of the answer."""
    limit = world.parts.settings.claims.max_kept_bytes
    for path, body in (
        ("/services/sign/a", b"x" * (limit + 1)),
        ("/services/sign/a", b""),
        ("/v1/completions", {**STREAM, "model": "once", "max_tokens": 80}),
    ):
        key = f"k{len(world.scheduler.claims)}"
        await world.call(path, body, idempotency_key=key)
    await wait_for_reports(world)
    kept = {one.key: one.body_kept for one in world.scheduler.reports}
    assert kept == {"k0": False, "k1": True, "k2": False}
