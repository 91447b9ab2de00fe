"""Keeps the words of the command line as text, and converts the few others.

Fire reads each word as a Python literal: a version `1e5` would become a
number and `e1,e2` a tuple. Words that it would convert are quoted before.
"""

from collections.abc import Iterable

from fire import parser

from tamaracktide import errors
from tamaracktide import result_codes

FIRE_FLAGS_SEPARATOR = "--"
HELP_FLAGS = ("--help", "-h")


def quote_words(words: Iterable[str]) -> list[str]:
    """Returns the words such that Fire passes every value on as text.

    Flags without a value, and what follows a bare `--`, stay as they are.
    """
    quoted: list[str] = []
    own = True
    for word in words:
        own = own and word != FIRE_FLAGS_SEPARATOR
        quoted.append(_quote_word(word) if own else word)
    return quoted


def move_help(words: Iterable[str]) -> list[str]:
    """Returns the words with a help flag where Fire itself reads it.

    Fire would pass the flag on to a command that takes any flags.
    """
    kept = list(words)
    end = len(kept)
    if FIRE_FLAGS_SEPARATOR in kept:
        end = kept.index(FIRE_FLAGS_SEPARATOR)
    own = [word for word in kept[:end] if word not in HELP_FLAGS]
    if len(own) == end:
        return kept
    return [*own, FIRE_FLAGS_SEPARATOR, HELP_FLAGS[0]]


def parse_revision(text: str | int) -> int:
    """Returns a revision; 0 stands for none.

    Raises:
        errors.EditError: BAD_REQUEST, the text is not a revision.
    """
    if str(text).isdecimal():
        return int(text)
    raise _make_error(f'"{text}" is not a revision')


def parse_seconds(text: str | float) -> float:
    """Returns a time.

    Raises:
        errors.EditError: BAD_REQUEST, the text is not a positive time.
    """
    try:
        seconds = float(text)
    except ValueError as error:
        raise _make_error(f'"{text}" is not a time in seconds') from error
    if not 0 < seconds < float("inf"):
        raise _make_error(f'"{text}" is not a positive time in seconds')
    return seconds


def parse_switch(text: str | bool) -> bool:
    """Returns whether a flag is on.

    Raises:
        errors.EditError: BAD_REQUEST, the text is neither true nor false.
    """
    match str(text).lower():
        case "true":
            return True
        case "false":
            return False
    raise _make_error(f'"{text}" is neither true nor false')


def _quote_word(word: str) -> str:
    if not word.startswith("--"):
        return _quote_value(word)
    flag, equals, value = word.partition("=")
    return f"{flag}={_quote_value(value)}" if equals else word


def _quote_value(value: str) -> str:
    if parser.DefaultParseValue(value) == value:
        return value
    return repr(value)


def _make_error(detail: str) -> errors.EditError:
    return errors.EditError(result_codes.ResultCode.BAD_REQUEST, detail)
