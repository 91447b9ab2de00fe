"""Encodes messages as CBOR and decodes them, with limits on what is read."""

import math
from typing import NoReturn

import cbor2
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import messages

MAX_DEPTH = 8

# Tags that cbor2 decodes by itself; messages use none of them.
_TAGS = (
    *range(6),
    25,
    28,
    29,
    30,
    35,
    36,
    37,
    100,
    256,
    258,
    260,
    261,
    1004,
    43000,
    55799,
)

_NUMBER_OF = {kind: number for number, kind in messages.NUMBERS.items()}


def encode_message(message: messages.Message) -> bytes:
    """Returns the message as the CBOR array `[number, fields]`.

    Integers must fit into 64 bits; a receiver refuses larger ones.
    """
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([_NUMBER_OF[type(message)], fields])


def decode_message(data: bytes) -> messages.Message | None:
    """Returns the message, or None if its number is not known.

    Raises:
        errors.ProtocolError: The data is not a message
            (`MALFORMED_MESSAGE`).
    """
    number, fields = _split_frame(_load(data))
    if _has_nan(fields):
        raise _make_error("a number is not a number (NaN)")
    kind = messages.NUMBERS.get(number)
    if kind is None:
        return None
    try:
        message: messages.Message = msgspec.convert(fields, kind)
    except msgspec.ValidationError as error:
        raise _make_error(f"{kind.__name__}: {error}") from error
    return message


def _load(data: bytes) -> object:
    try:
        value: object = cbor2.loads(
            data,
            tag_hook=_refuse_tag,
            semantic_decoders=dict.fromkeys(_TAGS, _refuse_tag),
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, MemoryError) as error:
        raise _make_error(f"not CBOR: {error}") from error
    return value


def _split_frame(value: object) -> tuple[int, dict[str, object]]:
    match value:
        case [int() as number, dict() as fields]:
            return number, fields
    raise _make_error("the message is not an array of number and fields")


def _has_nan(value: object) -> bool:
    """Whether not-a-number, which passes every bound, is in a value."""
    match value:
        case float():
            return math.isnan(value)
        case dict():
            return any(_has_nan(one) for one in value.values())
        case list():
            return any(_has_nan(one) for one in value)
    return False


def _refuse_tag(*_args: object) -> NoReturn:
    raise ValueError("tags are not allowed")


def _make_error(detail: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        result_codes.ResultCode.MALFORMED_MESSAGE, detail
    )
