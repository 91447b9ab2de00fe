"""Tests of the message codec."""

import cbor2
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.protocol import codec
from tamaracktide.protocol import messages

_MESSAGE_TYPES = sorted(
    messages.NUMBERS.values(), key=lambda message_type: message_type.__name__
)

# Encoded integers have at most 64 bits; NaN is rejected.
strategies.register_type_strategy(int, strategies.integers(-(2**63), 2**63 - 1))
strategies.register_type_strategy(float, strategies.floats(allow_nan=False))


@given(strategies.sampled_from(_MESSAGE_TYPES).flatmap(strategies.from_type))
@settings(derandomize=True, deadline=None)
def test_every_message_survives_the_round_trip(
    message: messages.Message,
) -> None:
    """Decoding gives back what was encoded."""
    assert codec.decode_message(codec.encode_message(message)) == message


def test_empty_fields_take_no_bytes() -> None:
    """Most reports have nothing to say in most of their fields."""
    reply = messages.RefusalReply(
        request_id="r", code=result_codes.ResultCode.NO_UPSTREAM
    )
    encoded = codec.encode_message(reply)
    assert b"owner" not in encoded
    assert b"request_id" in encoded
    assert codec.decode_message(encoded) == reply


def test_unknown_fields_are_ignored_and_missing_fields_use_defaults() -> None:
    """An additional field of a newer peer is ignored."""
    data = cbor2.dumps([2, {"code": 5, "later": [1, 2]}])
    assert codec.decode_message(data) == messages.Goodbye(code=5)


def test_unknown_number_decodes_to_none() -> None:
    """A message type of a newer version decodes to None."""
    assert codec.decode_message(cbor2.dumps([9999, {"a": 1}])) is None


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
        cbor2.dumps(7),
        cbor2.dumps([2]),
        cbor2.dumps([2, {"code": "text"}]),
        cbor2.dumps([2, {}]),
        cbor2.dumps([2, {"code": 1, "x": [[[[[[[[[1]]]]]]]]]}]),
        cbor2.dumps([9, {"sequence": float("nan")}]),
        cbor2.dumps([5, {"request_id": "", "code": 1, "x": [float("nan")]}]),
        cbor2.dumps(
            [5, {"request_id": "", "code": 1, "retry_after_s": float("nan")}]
        ),
        cbor2.dumps([2, {"code": 1, "x": cbor2.CBORTag(35, "(a+)+$")}]),
        cbor2.dumps([2, {"code": 1, "x": cbor2.CBORTag(4711, 1)}]),
        b"\x82\x02\xbf\x64code\x01\xff",
        b"\x82\x02\xa2\x64code\x01\x64code\x02",
    ],
)
def test_malformed_data_gives_a_coded_error(data: bytes) -> None:
    """Invalid data is rejected with `MALFORMED_MESSAGE`."""
    with pytest.raises(errors.ProtocolError) as caught:
        codec.decode_message(data)
    assert caught.value.code == result_codes.ResultCode.MALFORMED_MESSAGE


@given(strategies.binary(max_size=200))
@settings(derandomize=True, deadline=None)
def test_random_bytes_never_raise_anything_else(data: bytes) -> None:
    """Any input is decoded or raises `ProtocolError`."""
    try:
        codec.decode_message(data)
    except errors.ProtocolError:
        return
