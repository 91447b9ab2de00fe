"""Checks responses for adapter, version, completeness and client."""

import enum
from typing import Any

import msgspec
import xxhash

from tamaracktide.load import mix

HASH_DIGITS = 8
DONE = b"data: [DONE]"


class Verdict(enum.StrEnum):
    """The result of checking a response."""

    COMPLETED = "completed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    WRONG = "wrong"
    TRUNCATED = "truncated"
    UNREACHABLE = "unreachable"


class _ErrorFields(msgspec.Struct):
    code: int = 0
    execution: str = ""
    retry_after_s: float | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorFields


def make_expected_text(call: mix.ModelCall) -> str:
    """Returns the exact text that a complete response must have."""
    digits = xxhash.xxh64_hexdigest(call.prompt.encode())[:HASH_DIGITS]
    name = call.route.adapter_key.text
    return "".join(
        f"{name}:{digits}:{index} " for index in range(call.max_tokens)
    )


def check_model_response(
    call: mix.ModelCall, status: int, body: bytes
) -> Verdict:
    """Checks the response to a completion."""
    if status != 200:
        return check_error(status, body)
    if call.stream:
        return _check_stream(call, body)
    try:
        response = msgspec.json.decode(body)
        choice = response["choices"][0]
        text = choice["message"]["content"] if call.chat else choice["text"]
    except (msgspec.MsgspecError, KeyError, IndexError, TypeError):
        return Verdict.WRONG
    return _check_text(call, response["model"], text, complete=True)


def check_service_response(
    call: mix.ServiceCall, status: int, body: bytes
) -> Verdict:
    """Checks the response of a plain service."""
    if status != 200:
        return check_error(status, body)
    try:
        response = msgspec.json.decode(body)
        matches = (response["key"], response["echo"]) == (call.key, call.body)
    except (msgspec.MsgspecError, KeyError, TypeError):
        return Verdict.WRONG
    return Verdict.COMPLETED if matches else Verdict.WRONG


def check_error(status: int, body: bytes) -> Verdict:
    """Classifies a response whose status is not 200."""
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return Verdict.WRONG if status < 500 else Verdict.BROKEN
    if error.execution == "not run":
        return Verdict.REFUSED
    return Verdict.UNKNOWN


def parse_error_code(body: bytes) -> int:
    """Returns the result code in an error body or stream, 0 for none."""
    start = body.rfind(b'{"error"')
    if start < 0:
        return 0
    try:
        return msgspec.json.decode(
            body[start:].strip(), type=_ErrorBody
        ).error.code
    except msgspec.MsgspecError:
        return 0


def parse_retry_after(body: bytes) -> float | None:
    """Returns the back-off that a refusal requests, None if it has none."""
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.MsgspecError:
        return None
    return error.retry_after_s


def _check_stream(call: mix.ModelCall, body: bytes) -> Verdict:
    texts: list[str] = []
    model = call.route.name
    complete = False
    for line in body.split(b"\n"):
        if line.startswith(DONE):
            complete = True
        elif line.startswith(b'data: {"error"'):
            return Verdict.BROKEN
        elif line.startswith(b"data:"):
            chunk = _parse_chunk(line)
            if chunk is None:
                return Verdict.WRONG
            model = chunk.get("model", "")
            texts.append(_extract_text(chunk, call.chat))
    return _check_text(call, model, "".join(texts), complete=complete)


def _parse_chunk(line: bytes) -> dict[str, Any] | None:
    try:
        return msgspec.json.decode(line[5:], type=dict[str, Any])
    except msgspec.MsgspecError:
        return None


def _extract_text(chunk: dict[str, Any], chat: bool) -> str:
    text = ""
    for choice in chunk.get("choices", []):
        text += choice["delta"].get("content", "") if chat else choice["text"]
    return text


def _check_text(
    call: mix.ModelCall, model: str, text: str, *, complete: bool
) -> Verdict:
    expected = make_expected_text(call)
    if text == expected and model == call.route.name:
        return Verdict.COMPLETED if complete else Verdict.TRUNCATED
    if expected.startswith(text) and model == call.route.name:
        return Verdict.TRUNCATED
    return Verdict.WRONG
