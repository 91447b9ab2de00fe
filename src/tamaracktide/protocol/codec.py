"""CBOR encoding of messages, with limits on the accepted input."""

import dataclasses
import math
from typing import NoReturn

import cbor2
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import messages

MAX_DEPTH = 8

# Tags for which cbor2 has built-in decoders; messages use no tags.
_REJECTED_TAGS = (
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

_NUMBER_BY_TYPE = {
    message_type: number for number, message_type in messages.NUMBERS.items()
}


def encode_message(message: messages.Message) -> bytes:
    """Returns the message as the CBOR array `[number, fields]`.

    Integers must fit into 64 bits; receivers reject larger ones. Empty fields
    whose default is empty are omitted.
    """
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    for name in _OMITTABLE[type(message)]:
        if not fields[name]:
            del fields[name]
    return cbor2.dumps([_NUMBER_BY_TYPE[type(message)], fields])


def decode_message(data: bytes) -> messages.Message | None:
    """Decodes a message; returns None if its number is unknown.

    Raises:
        errors.ProtocolError: The data is not a valid message
            (`MALFORMED_MESSAGE`).
    """
    number, fields = _split_frame(_decode_cbor(data))
    if _has_nan(fields):
        raise _make_error("message contains NaN")
    message_type = messages.NUMBERS.get(number)
    if message_type is None:
        return None
    try:
        message: messages.Message = msgspec.convert(fields, message_type)
    except msgspec.ValidationError as error:
        raise _make_error(f"{message_type.__name__}: {error}") from error
    return message


def _decode_cbor(data: bytes) -> object:
    try:
        value: object = cbor2.loads(
            data,
            tag_hook=_reject_tag,
            semantic_decoders=dict.fromkeys(_REJECTED_TAGS, _reject_tag),
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
            strict_hashable_types=True,
        )
    except (cbor2.CBORError, ValueError, MemoryError) as error:
        raise _make_error(f"invalid CBOR: {error}") from error
    return value


def _split_frame(value: object) -> tuple[int, dict[str, object]]:
    match value:
        case [int() as number, dict() as fields]:
            return number, fields
    raise _make_error("message is not an array of number and fields")


def _has_nan(value: object) -> bool:
    """Whether a value contains NaN, which passes every range check."""
    match value:
        case float():
            return math.isnan(value)
        case dict():
            return any(_has_nan(item) for item in value.values())
        case list():
            return any(_has_nan(item) for item in value)
    return False


def _reject_tag(*_args: object) -> NoReturn:
    raise ValueError("CBOR tags are not allowed")


def _make_error(detail: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        result_codes.ResultCode.MALFORMED_MESSAGE, detail
    )


def _list_omittable(message_type: type[messages.Message]) -> tuple[str, ...]:
    """Returns the fields that are empty by default."""
    names = []
    for field in dataclasses.fields(message_type):
        default = field.default
        if field.default_factory is not dataclasses.MISSING:
            default = field.default_factory()
        if default is not None and not default:
            names.append(field.name)
    return tuple(names)


_OMITTABLE = {
    message_type: _list_omittable(message_type)
    for message_type in messages.NUMBERS.values()
}
