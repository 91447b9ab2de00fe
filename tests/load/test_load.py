"""Tests of the load tool's mix, checks and sums."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

import anyio
import anyio.abc
import httpcore
import msgspec
import pytest

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
    """Returns a completion of three tokens."""
    return mix.ModelCall(
        route=MODEL, prompt="hello", max_tokens=3, stream=stream, chat=False
    )


def make_stream(text: str, *, done: bool, model: str = "r1") -> bytes:
    """Returns a stream with one event for each token of a text."""
    events = [
        msgspec.json.encode({"model": model, "choices": [{"text": token}]})
        for token in text.split(" ")[:-1]
        for token in [token + " "]
    ]
    body = b"".join(b"data: " + event + b"\n\n" for event in events)
    return body + (b"data: [DONE]\n\n" if done else b"")


def test_same_seed_gives_the_same_mix() -> None:
    """Runs can be repeated."""
    first = mix.make_calls(SETTINGS, [MODEL, SIGN], "run")
    assert first == mix.make_calls(SETTINGS, [MODEL, SIGN], "run")
    assert any(isinstance(call, mix.ServiceCall) for call in first)
    assert any(call.key and call.resend for call in first)


def test_prompts_and_keys_are_unique() -> None:
    """An answer or effect belongs to one call only."""
    calls = mix.make_calls(SETTINGS, [MODEL, SIGN], "run")
    prompts = [c.prompt for c in calls if isinstance(c, mix.ModelCall)]
    keys = [call.key for call in calls if call.key]
    assert len(set(prompts)) == len(prompts)
    assert len(set(keys)) == len(keys)


@pytest.mark.parametrize(
    ("change", "done", "verdict"),
    [
        (lambda text: text, True, checks.Verdict.COMPLETED),
        (lambda text: text, False, checks.Verdict.TRUNCATED),
        (lambda text: text[: len(text) // 2], True, checks.Verdict.TRUNCATED),
        (lambda text: text.replace("a@2", "a@1"), True, checks.Verdict.WRONG),
        (lambda text: text.replace(":1 ", ":2 "), True, checks.Verdict.WRONG),
    ],
)
def test_stream_is_judged(
    change: Callable[[str], str], done: bool, verdict: checks.Verdict
) -> None:
    """Adapter, version, order and wholeness of a stream are checked."""
    call = make_call(stream=True)
    body = make_stream(change(checks.make_expected_text(call)), done=done)
    assert checks.check_model_answer(call, 200, body) is verdict


def test_error_event_is_no_truncation() -> None:
    """A stream that says that it broke is not passed as whole."""
    call = make_call(stream=True)
    text = checks.make_expected_text(call)
    body = make_stream(text[:9] + " ", done=False)
    body += b'data: {"error":{"code":3002,"execution":"outcome unknown"}}\n\n'
    assert checks.check_model_answer(call, 200, body) is checks.Verdict.BROKEN
    assert checks.read_error_code(body) == 3002


def test_whole_answer_of_another_caller_is_wrong() -> None:
    """The prompt's hash tells callers apart."""
    call = make_call(stream=False)
    text = checks.make_expected_text(call)
    for told, verdict in (
        (text, checks.Verdict.COMPLETED),
        (text.replace("@2:", "@2:f"), checks.Verdict.WRONG),
        (text[:-4], checks.Verdict.TRUNCATED),
    ):
        body = msgspec.json.encode({"model": "r1", "choices": [{"text": told}]})
        assert checks.check_model_answer(call, 200, body) is verdict


@pytest.mark.parametrize(
    ("execution", "verdict"),
    [
        ("not run", checks.Verdict.REFUSED),
        ("outcome unknown", checks.Verdict.UNKNOWN),
    ],
)
def test_refusals_are_told_apart(
    execution: str, verdict: checks.Verdict
) -> None:
    """What an error says of execution is counted."""
    body = msgspec.json.encode({"error": {"code": 1, "execution": execution}})
    call = make_call(stream=False)
    assert checks.check_model_answer(call, 503, body) is verdict


def make_result(key: str, verdict: checks.Verdict) -> sender.Result:
    """Returns the result of a keyed service call."""
    call = mix.ServiceCall(route=SIGN, body="b", key=key)
    return sender.Result(call=call, verdict=verdict)


def test_effects_are_compared_with_the_answers() -> None:
    """Doubled and missing effects and untrue refusals are counted."""
    total = report.make_report(
        [
            make_result("once", checks.Verdict.COMPLETED),
            make_result("twice", checks.Verdict.COMPLETED),
            make_result("none", checks.Verdict.COMPLETED),
            make_result("untrue", checks.Verdict.REFUSED),
            make_result("true", checks.Verdict.REFUSED),
        ],
        {"once": 1, "twice": 2, "untrue": 1, "of another run": 5},
        1.0,
        7,
    )
    assert (total.completed, total.refused) == (3, 2)
    assert total.effects_doubled == 1
    assert total.effects_missing == 1
    assert total.refusals_untrue == 1
    assert not total.clean


REFUSAL = b'{"error":{"code":2101,"execution":"not run","retry_after_s":0.01}}'


class Gateway:
    """Answers each request with the next status; 200 is a right answer.

    Attributes:
        address: `HOST:PORT`.
        script: Statuses; 200 once it is empty.
        requests: Count of requests.
    """

    def __init__(self) -> None:
        """Builds a gateway that answers everything."""
        self.address = ""
        self.script: list[int] = []
        self.requests = 0

    async def handle(self, stream: anyio.abc.SocketStream) -> None:
        """Answers the one request of a connection."""
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
            status = self.script.pop(0) if self.script else 200
            body = REFUSAL if status != 200 else body
            await stream.send(
                b"HTTP/1.1 %d X\r\nConnection: close\r\nX-Request-Id: g%d\r\n"
                b"Content-Length: %d\r\n\r\n%s"
                % (status, self.requests, len(body), body)
            )


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


@pytest.fixture
async def gateway(anyio_backend: str) -> AsyncIterator[Gateway]:
    """A gateway that listens."""
    del anyio_backend
    running = Gateway()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    running.address = f"127.0.0.1:{port}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, running.handle)
        yield running
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_refused_call_comes_back_elsewhere(gateway: Gateway) -> None:
    """A refused connection and a refusal unrun are tried again."""
    gateway.script = [503]
    settings = dataclasses.replace(
        SETTINGS, targets=("127.0.0.1:1", gateway.address), retries=3
    )
    async with httpcore.AsyncConnectionPool() as pool:
        runner = sender.Sender(settings, pool)
        result = await runner.send(make_call(stream=False), "127.0.0.1:1")
    assert result.verdict is checks.Verdict.COMPLETED
    assert result.retried == 3
    assert result.earlier_ids == ("", "g1", "")


@pytest.mark.anyio
async def test_refused_call_ends_after_its_retries(gateway: Gateway) -> None:
    """By default nothing is sent twice."""
    gateway.script = [503]
    settings = dataclasses.replace(SETTINGS, targets=(gateway.address,))
    async with httpcore.AsyncConnectionPool() as pool:
        runner = sender.Sender(settings, pool)
        result = await runner.send(make_call(stream=False), gateway.address)
    assert result.verdict is checks.Verdict.REFUSED
    assert (result.retried, gateway.requests) == (0, 1)


@pytest.mark.anyio
async def test_paced_run_sends_every_call(gateway: Gateway) -> None:
    """Calls start by the clock, within the limit of calls in progress."""
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
    total = await main.send_all(settings, (idempotent,))
    assert (total.sent, total.completed, total.retried) == (12, 12, 0)


def test_refused_request_that_an_engine_ran_is_untrue() -> None:
    """Attempts carry the gateway's request id and a number."""
    call = make_call(stream=True)
    refused = sender.Result(
        call=call, verdict=checks.Verdict.REFUSED, request_id="r1"
    )
    came_back = sender.Result(
        call=call,
        verdict=checks.Verdict.COMPLETED,
        request_id="r3",
        retried=1,
        earlier_ids=("r2",),
    )
    results = [refused, came_back]
    for names, untrue in (({"r3.7"}, 0), ({"r1.4", "r2.5", "r3.7"}, 2)):
        runs = report.Runs(frozenset(names), 1)
        total = report.make_report(results, None, 1.0, 7, runs)
        assert total.engines_unread == 1
        assert total.refusals_untrue == untrue
        assert total.clean is not bool(untrue)
        assert total.retried == 1


def test_small_customers_are_timed_apart() -> None:
    """The customer that sent most is left out."""
    small = dataclasses.replace(MODEL, customer="small")
    results = [
        sender.Result(
            call=dataclasses.replace(make_call(stream=True), route=route),
            verdict=checks.Verdict.COMPLETED,
            first_token_s=seconds,
        )
        for route, seconds in ((MODEL, 3.0), (MODEL, 2.0), (small, 0.5))
    ]
    total = report.make_report(results, None, 1.0, 7)
    assert total.first_token_p95_s == 3.0
    assert total.small_first_token_p95_s == 0.5
