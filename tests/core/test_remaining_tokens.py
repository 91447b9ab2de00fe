"""Tests of the tokens that are left of a generation.

Load pattern: all instances were killed, and clients take up all streams.
"""

from tamaracktide.core import remaining_tokens

WHOLE = remaining_tokens.Tokens(prompt=1000, output=150)


def test_resumed_generation_is_shorter_by_what_was_generated() -> None:
    """Guards against a refusal for tokens that the client has received."""
    left = remaining_tokens.estimate_remaining(WHOLE, 120)
    assert left == remaining_tokens.Tokens(prompt=1120, output=30)


def test_new_generation_is_whole() -> None:
    """Nothing was generated."""
    assert remaining_tokens.estimate_remaining(WHOLE, 0) == WHOLE


def test_end_of_the_stream_is_always_left() -> None:
    """A stream may be longer than its client expected."""
    left = remaining_tokens.estimate_remaining(WHOLE, 200)
    assert left.output == 1
