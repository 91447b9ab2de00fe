"""Tests of the load generator's mix, checks and report."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

import anyio
import anyio.abc
import httpcore
import msgspec
import pytest

from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.load import checks
from tamaracktide.load import main
from tamaracktide.load import mix
from tamaracktide.load import report
from tamaracktide.load import sender
from tamaracktide.load import settings as load_settings

MODEL = rows.Route(
    name="r1", customer="c1", pool="p1", adapter="a", version="2"
)
SIGN = rows.Route(name="sign", customer="c1", pool="p2")
SETTINGS = load_settings.LoadSettings(
    targets=("127.0.0.1:1",), key_secret="secret", seed=7, requests=50
)


def make_call(*, stream: bool) -> mix.ModelCall:
    """Returns a completion that requests three tokens."""
    return mix.ModelCall(
        route=MODEL, prompt="hello", max_tokens=3, stream=stream, chat=False
    )


def make_stream(text: str, *, ends_with_done: bool, model: str = "r1") -> bytes:
    """Returns the body of a stream with one event for each token."""
    events = [
        msgspec.json.encode({"model": model, "choices": [{"text": token}]})
        for token in text.split(" ")[:-1]
        for token in [token + " "]
    ]
    body = b"".join(b"data: " + event + b"\n\n" for event in events)
    return body + (b"data: [DONE]\n\n" if ends_with_done else b"")


def test_same_seed_gives_the_same_mix() -> None:
    """Runs are reproducible."""
    first = mix.make_calls(SETTINGS, [MODEL, SIGN], "run")
    assert first == mix.make_calls(SETTINGS, [MODEL, SIGN], "run")
    assert any(isinstance(call, mix.ServiceCall) for call in first)
    assert any(call.key and call.resend for call in first)


def test_prompts_and_keys_are_unique() -> None:
    """Each response and each effect belongs to exactly one call."""
    calls = mix.make_calls(SETTINGS, [MODEL, SIGN], "run")
    prompts = [c.prompt for c in calls if isinstance(c, mix.ModelCall)]
    keys = [call.key for call in calls if call.key]
    assert len(set(prompts)) == len(prompts)
    assert len(set(keys)) == len(keys)


@pytest.mark.parametrize(
    ("mutate", "ends_with_done", "verdict"),
    [
        (lambda text: text, True, checks.Verdict.COMPLETED),
        (lambda text: text, False, checks.Verdict.TRUNCATED),
        (lambda text: text[: len(text) // 2], True, checks.Verdict.TRUNCATED),
        (lambda text: text.replace("a@2", "a@1"), True, checks.Verdict.WRONG),
        (lambda text: text.replace(":1 ", ":2 "), True, checks.Verdict.WRONG),
    ],
)
def test_stream_is_checked(
    mutate: Callable[[str], str], ends_with_done: bool, verdict: checks.Verdict
) -> None:
    """A stream is checked for adapter, version, order and completeness."""
    call = make_call(stream=True)
    body = make_stream(
        mutate(checks.make_expected_text(call)), ends_with_done=ends_with_done
    )
    assert checks.check_model_response(call, 200, body) is verdict


def test_stream_with_error_event_is_broken() -> None:
    """A stream that reports its own failure counts as broken.

    It is counted neither as complete nor as truncated.
    """
    call = make_call(stream=True)
    text = checks.make_expected_text(call)
    body = make_stream(text[:9] + " ", ends_with_done=False)
    body += b'data: {"error":{"code":3002,"execution":"outcome unknown"}}\n\n'
    assert checks.check_model_response(call, 200, body) is checks.Verdict.BROKEN
    assert checks.parse_error_code(body) == 3002


def test_response_to_another_prompt_is_wrong() -> None:
    """The prompt's hash distinguishes responses to different clients."""
    call = make_call(stream=False)
    text = checks.make_expected_text(call)
    for text_sent, verdict in (
        (text, checks.Verdict.COMPLETED),
        (text.replace("@2:", "@2:f"), checks.Verdict.WRONG),
        (text[:-4], checks.Verdict.TRUNCATED),
    ):
        body = msgspec.json.encode(
            {"model": "r1", "choices": [{"text": text_sent}]}
        )
        assert checks.check_model_response(call, 200, body) is verdict


@pytest.mark.parametrize(
    ("execution", "verdict"),
    [
        ("not run", checks.Verdict.REFUSED),
        ("outcome unknown", checks.Verdict.UNKNOWN),
    ],
)
def test_errors_are_classified_by_execution(
    execution: str, verdict: checks.Verdict
) -> None:
    """The `execution` field of an error determines the verdict."""
    body = msgspec.json.encode({"error": {"code": 1, "execution": execution}})
    call = make_call(stream=False)
    assert checks.check_model_response(call, 503, body) is verdict


def make_service_result(key: str, verdict: checks.Verdict) -> sender.Result:
    """Returns the result of a service call with an idempotency key."""
    call = mix.ServiceCall(route=SIGN, body="b", key=key)
    return sender.Result(call=call, verdict=verdict)


def test_effects_are_compared_with_the_responses() -> None:
    """Duplicate and missing effects and false refusals are counted."""
    summary = report.make_report(
        [
            make_service_result("once", checks.Verdict.COMPLETED),
            make_service_result("twice", checks.Verdict.COMPLETED),
            make_service_result("none", checks.Verdict.COMPLETED),
            make_service_result("untrue", checks.Verdict.REFUSED),
            make_service_result("true", checks.Verdict.REFUSED),
        ],
        {"once": 1, "twice": 2, "untrue": 1, "of another run": 5},
        1.0,
        7,
    )
    assert (summary.completed, summary.refused) == (3, 2)
    assert summary.effects_doubled == 1
    assert summary.effects_missing == 1
    assert summary.refusals_untrue == 1
    assert not summary.clean


def test_refusal_of_a_repeat_in_progress_is_due_only_beside_a_completion() -> (
    None
):
    """Other refusals of a key, and those without a completion, are not due."""

    def make_refusal(key: str, code: result_codes.ResultCode) -> sender.Result:
        refused = make_service_result(key, checks.Verdict.REFUSED)
        return dataclasses.replace(refused, code=code.value)

    summary = report.make_report(
        [
            make_service_result("due", checks.Verdict.COMPLETED),
            make_refusal("due", result_codes.ResultCode.CLAIM_IN_PROGRESS),
            make_service_result("full", checks.Verdict.COMPLETED),
            make_refusal("full", result_codes.ResultCode.QUEUE_FULL),
            make_refusal("alone", result_codes.ResultCode.CLAIM_IN_PROGRESS),
        ],
        None,
        1.0,
        7,
    )
    assert summary.refused == 3
    assert summary.refused_in_progress == 1


REFUSAL = b'{"error":{"code":2101,"execution":"not run","retry_after_s":0.01}}'


class FakeGateway:
    """Responds to each request with the next status.

    Responses with status 200 have the correct text.

    Attributes:
        address: `HOST:PORT`.
        statuses: Statuses of the next responses; 200 once it is empty.
        requests: Number of requests received.
    """

    def __init__(self) -> None:
        """Initializes a gateway that responds with 200 to every request."""
        self.address = ""
        self.statuses: list[int] = []
        self.requests = 0

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Responds to the only request of a connection."""
        async with stream:
            data = b""
            while b"\r\n\r\n" not in data or not data.endswith(b"}"):
                data += await stream.receive()
            self.requests += 1
            fields = msgspec.json.decode(data.partition(b"\r\n\r\n")[2])
            call = mix.ModelCall(
                route=MODEL,
                prompt=fields.get("prompt", ""),
                max_tokens=fields["max_tokens"],
                stream=False,
                chat=False,
            )
            text = checks.make_expected_text(call)
            body = msgspec.json.encode(
                {"model": "r1", "choices": [{"text": text}]}
            )
            status = self.statuses.pop(0) if self.statuses else 200
            body = REFUSAL if status != 200 else body
            await stream.send(
                b"HTTP/1.1 %d X\r\nConnection: close\r\nX-Request-Id: g%d\r\n"
                b"Content-Length: %d\r\n\r\n%s"
                % (status, self.requests, len(body), body)
            )


@pytest.fixture
def anyio_backend() -> str:
    """Name of the only backend that the programs run on."""
    return "asyncio"


@pytest.fixture
async def gateway(anyio_backend: str) -> AsyncIterator[FakeGateway]:
    """A fake gateway that accepts connections."""
    del anyio_backend
    running = FakeGateway()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    running.address = f"127.0.0.1:{port}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, running.handle)
        yield running
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_refused_call_is_retried_on_another_gateway(
    gateway: FakeGateway,
) -> None:
    """Refused connections and `not run` refusals are retried."""
    gateway.statuses = [503]
    settings = dataclasses.replace(
        SETTINGS, targets=("127.0.0.1:1", gateway.address), retries=3
    )
    async with httpcore.AsyncConnectionPool() as pool:
        call_sender = sender.Sender(settings, pool)
        result = await call_sender.send(make_call(stream=False), "127.0.0.1:1")
    assert result.verdict is checks.Verdict.COMPLETED
    assert result.retried == 3
    assert result.earlier_ids == ("", "g1", "")


@pytest.mark.anyio
async def test_refused_call_is_not_retried_by_default(
    gateway: FakeGateway,
) -> None:
    """With `retries` of 0 a refusal is final."""
    gateway.statuses = [503]
    settings = dataclasses.replace(SETTINGS, targets=(gateway.address,))
    async with httpcore.AsyncConnectionPool() as pool:
        call_sender = sender.Sender(settings, pool)
        result = await call_sender.send(
            make_call(stream=False), gateway.address
        )
    assert result.verdict is checks.Verdict.REFUSED
    assert (result.retried, gateway.requests) == (0, 1)


@pytest.mark.anyio
async def test_paced_run_sends_every_call(gateway: FakeGateway) -> None:
    """Calls start at a fixed rate, within the concurrency limit."""
    settings = dataclasses.replace(
        SETTINGS,
        targets=(gateway.address,),
        requests=12,
        concurrency=2,
        pace_s=0.001,
        stream_share=0.0,
        chat_share=0.0,
    )
    idempotent = dataclasses.replace(MODEL, idempotent=True)
    summary = await main.send_all(settings, (idempotent,))
    assert (summary.sent, summary.completed, summary.retried) == (12, 12, 0)


def test_refused_request_that_an_engine_ran_is_counted() -> None:
    """Attempt ids consist of the gateway's request id and a number."""
    call = make_call(stream=True)
    refused = sender.Result(
        call=call, verdict=checks.Verdict.REFUSED, request_id="r1"
    )
    retried_result = sender.Result(
        call=call,
        verdict=checks.Verdict.COMPLETED,
        request_id="r3",
        retried=1,
        earlier_ids=("r2",),
    )
    results = [refused, retried_result]
    for names, untrue in (({"r3.7"}, 0), ({"r1.4", "r2.5", "r3.7"}, 2)):
        runs = report.EngineRuns(frozenset(names), 1)
        summary = report.make_report(results, None, 1.0, 7, runs)
        assert summary.engines_unread == 1
        assert summary.refusals_untrue == untrue
        assert summary.clean is not bool(untrue)
        assert summary.retried == 1


def test_small_customers_are_timed_separately() -> None:
    """The customer with the most requests is excluded."""
    small = dataclasses.replace(MODEL, customer="small")
    results = [
        sender.Result(
            call=dataclasses.replace(make_call(stream=True), route=route),
            verdict=checks.Verdict.COMPLETED,
            first_token_s=seconds,
        )
        for route, seconds in ((MODEL, 3.0), (MODEL, 2.0), (small, 0.5))
    ]
    summary = report.make_report(results, None, 1.0, 7)
    assert summary.first_token_p95_s == 3.0
    assert summary.small_first_token_p95_s == 0.5
