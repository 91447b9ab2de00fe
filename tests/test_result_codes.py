"""Tests of the result codes and docs/RESULT_CODES.md."""

import pathlib

from tamaracktide import result_codes

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "RESULT_CODES.md"


def make_row(code: result_codes.ResultCode) -> str:
    """Returns the expected row of a code in docs/RESULT_CODES.md."""
    meaning = result_codes.MEANINGS[code]
    cells = (
        str(code.value),
        f"`{code.name}`",
        str(meaning.http_status),
        meaning.execution.value,
        "yes" if meaning.retryable else "no",
        meaning.text,
    )
    return f"| {' | '.join(cells)} |"


def test_every_code_has_a_meaning() -> None:
    """Every result code is in `MEANINGS`."""
    assert set(result_codes.MEANINGS) == set(result_codes.ResultCode)


def test_page_lists_exactly_the_codes() -> None:
    """docs/RESULT_CODES.md has exactly one row per code, in order."""
    shown = [
        line
        for line in PAGE.read_text(encoding="utf-8").splitlines()
        if line.startswith("| ") and line[2].isdigit()
    ]
    assert shown == [make_row(code) for code in result_codes.ResultCode]


def test_thousands_digit_determines_execution() -> None:
    """Codes 2xxx state that the request did not run, 3xxx that it may have."""
    for code, meaning in result_codes.MEANINGS.items():
        group = code.value // 1000
        if group == 2:
            assert meaning.execution is result_codes.Execution.NOT_RUN
        if group == 3:
            assert meaning.execution is result_codes.Execution.UNKNOWN
