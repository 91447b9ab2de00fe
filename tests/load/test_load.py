"""Tests of the load tool's mix, checks and sums."""

from collections.abc import Callable

import msgspec
import pytest

from tamaracktide.core import rows
from tamaracktide.load import checks
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
