"""Parses completion requests and builds the bodies for engines."""

import dataclasses
from typing import Annotated
from typing import Any

import msgspec
import xxhash

from tamaracktide import result_codes
from tamaracktide.gateway import asgi

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
PREFIX_BYTES = 256


class _Fields(msgspec.Struct):
    """The fields of a completion request that the gateway reads."""

    model: str
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    n: int | None = None
    best_of: int | None = None
    logprobs: Any = None
    prompt: msgspec.Raw = msgspec.Raw(b"null")
    messages: msgspec.Raw = msgspec.Raw(b"null")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Prompt:
    """A completion request.

    Attributes:
        route: Name of the route, from the `model` field.
        stream: Whether the client requests server-sent events.
        chat: Whether it is a chat completion.
        max_tokens: Maximum number of generated tokens.
        prompt_tokens: Estimated prompt tokens.
        prefix: Hash of the prompt's first `PREFIX_BYTES`.
        fingerprint: Hash of the path and the body.
        fields: All fields of the body, undecoded.
    """

    route: str
    stream: bool
    chat: bool
    max_tokens: int
    prompt_tokens: int
    prefix: str
    fingerprint: str
    fields: dict[str, msgspec.Raw]


_FIELDS_DECODER = msgspec.json.Decoder(_Fields)
_RAW_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])


def parse_prompt(request: asgi.Request) -> Prompt:
    """Returns the completion request in the body of a client's request.

    Raises:
        errors.RefusalError: The body is malformed or uses an unsupported
            option.
    """
    chat = request.path.endswith("/chat/completions")
    try:
        fields = _FIELDS_DECODER.decode(request.body)
        raw = _RAW_DECODER.decode(request.body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _make_bad_request(str(error)) from error
    text = bytes(fields.messages if chat else fields.prompt)
    if text == b"null":
        name = "messages" if chat else "prompt"
        raise _make_bad_request(f"the field `{name}` is missing")
    _check_supported(fields)
    return Prompt(
        route=fields.model,
        stream=fields.stream,
        chat=chat,
        max_tokens=(
            fields.max_completion_tokens
            or fields.max_tokens
            or DEFAULT_MAX_TOKENS
        ),
        prompt_tokens=max(1, len(text) // BYTES_PER_TOKEN),
        prefix=xxhash.xxh64_hexdigest(text[:PREFIX_BYTES]),
        fingerprint=xxhash.xxh64_hexdigest(
            request.path.encode() + request.body
        ),
        fields=raw,
    )


def make_engine_body(prompt: Prompt, lora_name: str, priority: int) -> bytes:
    """Returns the body for the engine, with `stream` always set."""
    fields = dict(prompt.fields)
    fields["model"] = msgspec.Raw(msgspec.json.encode(lora_name))
    fields["priority"] = msgspec.Raw(str(priority).encode())
    fields["stream"] = msgspec.Raw(b"true")
    return msgspec.json.encode(fields)


def _check_supported(fields: _Fields) -> None:
    if (fields.n or 1) != 1 or (fields.best_of or 1) != 1:
        raise _make_bad_request("`n` and `best_of` must be 1")
    if fields.logprobs and not fields.stream:
        raise _make_bad_request("`logprobs` is supported with `stream` only")


def _make_bad_request(detail: str) -> Exception:
    return asgi.make_error(result_codes.ResultCode.BAD_REQUEST, detail)
