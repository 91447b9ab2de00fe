"""Tests of the conversion of command-line arguments."""

from fire import parser
import pytest

from tamaracktide import errors
from tamaracktide.ctl import arguments


@pytest.mark.parametrize(
    "word", ["1e5", "1_000", "e1,e2", "True", "None", "a b", "r-1", "'x'"]
)
def test_values_stay_text(word: str) -> None:
    """Fire parses a quoted argument as the original text."""
    first, flag = arguments.quote_words([word, f"--version={word}"])
    assert parser.DefaultParseValue(first) == word
    assert parser.DefaultParseValue(flag.partition("=")[2]) == word


def test_flags_are_not_changed() -> None:
    """Flags without a value and Fire's own flags are not quoted."""
    words = ["apply", "--prune", "--", "--completion", "1"]
    assert arguments.quote_words(words) == words


def test_help_flag_moves_behind_the_separator() -> None:
    """A command with arbitrary flags does not receive the help flag."""
    assert arguments.move_help_flag(["edit", "--help"]) == [
        "edit",
        "--",
        "--help",
    ]
    assert arguments.move_help_flag(["-h"]) == ["--", "--help"]
    unchanged = ["get", "--", "--help"]
    assert arguments.move_help_flag(unchanged) == unchanged


def test_typed_values_are_validated() -> None:
    """An invalid value raises a usage error that contains it."""
    assert arguments.parse_revision("7") == 7
    assert arguments.parse_seconds("0.5") == 0.5
    assert arguments.parse_bool(True)
    assert not arguments.parse_bool("False")
    with pytest.raises(errors.EditError, match=r'2000.*"-7"'):
        arguments.parse_revision("-7")
    with pytest.raises(errors.EditError, match=r'2000.*"soon"'):
        arguments.parse_seconds("soon")
    with pytest.raises(errors.EditError, match=r'2000.*"inf"'):
        arguments.parse_seconds("inf")
    with pytest.raises(errors.EditError, match=r'2000.*"maybe"'):
        arguments.parse_bool("maybe")
