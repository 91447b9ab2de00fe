"""Preparation and conversion of command-line arguments.

Fire parses each argument as a Python literal: a version `1e5` would become a
number and `e1,e2` a tuple. Arguments that Fire would convert are therefore
quoted first, and the few that are not text are converted here.
"""

from collections.abc import Iterable

from fire import parser

from tamaracktide import errors
from tamaracktide import result_codes

FIRE_FLAGS_SEPARATOR = "--"
HELP_FLAGS = ("--help", "-h")


def quote_words(words: Iterable[str]) -> list[str]:
    """Quotes arguments so that Fire passes every value as text.

    Flags without a value and arguments after a bare `--` are not changed.
    """
    quoted: list[str] = []
    before_separator = True
    for word in words:
        before_separator = before_separator and word != FIRE_FLAGS_SEPARATOR
        quoted.append(_quote_word(word) if before_separator else word)
    return quoted


def move_help_flag(words: Iterable[str]) -> list[str]:
    """Moves a help flag behind `--`, where Fire handles it.

    Otherwise Fire passes the flag to a command that accepts arbitrary flags.
    """
    all_words = list(words)
    end = len(all_words)
    if FIRE_FLAGS_SEPARATOR in all_words:
        end = all_words.index(FIRE_FLAGS_SEPARATOR)
    arguments = [word for word in all_words[:end] if word not in HELP_FLAGS]
    if len(arguments) == end:
        return all_words
    return [*arguments, FIRE_FLAGS_SEPARATOR, HELP_FLAGS[0]]


def parse_revision(text: str | int) -> int:
    """Parses a revision; 0 means that none is given.

    Raises:
        errors.EditError: BAD_REQUEST if the text is not a revision.
    """
    if str(text).isdecimal():
        return int(text)
    raise _make_error(f'"{text}" is not a revision')


def parse_seconds(text: str | float) -> float:
    """Parses a duration in seconds.

    Raises:
        errors.EditError: BAD_REQUEST if the text is not a positive finite
            number.
    """
    try:
        seconds = float(text)
    except ValueError as error:
        raise _make_error(f'"{text}" is not a number of seconds') from error
    if not 0 < seconds < float("inf"):
        raise _make_error(f'"{text}" is not a positive number of seconds')
    return seconds


def parse_bool(text: str | bool) -> bool:
    """Parses a boolean flag.

    Raises:
        errors.EditError: BAD_REQUEST if the text is neither true nor false.
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
