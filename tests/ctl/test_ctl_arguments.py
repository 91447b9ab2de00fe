"""Tests of how the command line's words become values."""

from fire import parser
import pytest

from tamaracktide import errors
from tamaracktide.ctl import arguments


@pytest.mark.parametrize(
    "word", ["1e5", "1_000", "e1,e2", "True", "None", "a b", "r-1", "'x'"]
)
def test_values_stay_text(word: str) -> None:
    """Fire reads a quoted word as the text that was typed."""
    first, flag = arguments.quote_words([word, f"--version={word}"])
    assert parser.DefaultParseValue(first) == word
    assert parser.DefaultParseValue(flag.partition("=")[2]) == word


def test_flags_stay_as_they_are() -> None:
    """Bare flags and Fire's own flags are not touched."""
    words = ["apply", "--prune", "--", "--completion", "1"]
    assert arguments.quote_words(words) == words


def test_help_is_read_by_fire_itself() -> None:
    """A command that takes any flags does not get the help flag."""
    assert arguments.move_help(["edit", "--help"]) == ["edit", "--", "--help"]
    assert arguments.move_help(["-h"]) == ["--", "--help"]
    plain = ["get", "--", "--help"]
    assert arguments.move_help(plain) == plain


def test_values_of_other_types_are_checked() -> None:
    """A wrong value is a usage error that names it."""
    assert arguments.parse_revision("7") == 7
    assert arguments.parse_seconds("0.5") == 0.5
    assert arguments.parse_switch(True)
    assert not arguments.parse_switch("False")
    with pytest.raises(errors.EditError, match=r'2000.*"-7"'):
        arguments.parse_revision("-7")
    with pytest.raises(errors.EditError, match=r'2000.*"soon"'):
        arguments.parse_seconds("soon")
    with pytest.raises(errors.EditError, match=r'2000.*"inf"'):
        arguments.parse_seconds("inf")
    with pytest.raises(errors.EditError, match=r'2000.*"maybe"'):
        arguments.parse_switch("maybe")
