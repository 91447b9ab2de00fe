"""Prints results: tables for people or JSON for programs."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import sys
from typing import Literal

import msgspec
from rich import box
from rich import console
from rich import progress
from rich import table
from rich import text

OutputFormat = Literal["table", "json"]

PIPE_WIDTH = 400

Row = Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One of several tables of a command.

    Attributes:
        title: Title, and key of the JSON list.
        columns: Columns that people see.
        rows: The rows.
    """

    title: str
    columns: Sequence[str]
    rows: Sequence[Row]


class Printer:
    """Prints to stdout in one format; progress goes to stderr."""

    def __init__(self, output: OutputFormat) -> None:
        """Chooses the format."""
        self._output = output
        # Lines that go to a file or a pipe are not folded.
        width = None if sys.stdout.isatty() else PIPE_WIDTH
        self._console = console.Console(soft_wrap=True, width=width)

    def print_value(self, value: object, line: str) -> None:
        """Prints a value as JSON, or its line for people."""
        if self._output == "json":
            self._print_json(value)
        else:
            self._console.print(line, markup=False, highlight=False)

    def print_rows(
        self, title: str, columns: Sequence[str], rows: Iterable[Row]
    ) -> None:
        """Prints rows as a table, or as a JSON list of objects."""
        listed = list(rows)
        if self._output == "json":
            self._print_json(listed)
        else:
            self._print_grid(title, columns, listed)

    def print_sections(self, sections: Sequence[Section]) -> None:
        """Prints several tables, or one JSON object of lists by title."""
        if self._output == "json":
            self._print_json({s.title: s.rows for s in sections})
            return
        for section in sections:
            self._print_grid(section.title, section.columns, section.rows)

    def _print_grid(
        self, title: str, columns: Sequence[str], rows: Sequence[Row]
    ) -> None:
        if not rows:
            self._console.print(f"{title}: none", markup=False, highlight=False)
            return
        grid = table.Table(
            title=title, title_justify="left", box=box.SIMPLE_HEAD
        )
        for column in columns:
            grid.add_column(column, overflow="fold")
        for row in rows:
            grid.add_row(
                *(text.Text(_show(row.get(column))) for column in columns)
            )
        self._console.print(grid)

    def _print_json(self, value: object) -> None:
        data = msgspec.json.format(msgspec.json.encode(value), indent=2)
        sys.stdout.write(data.decode() + "\n")


def print_note(text: str) -> None:
    """Prints a line to stderr."""
    sys.stderr.write(f"note: {text}\n")


def make_progress() -> progress.Progress:
    """Returns a progress bar on stderr."""
    return progress.Progress(
        progress.TextColumn("{task.description}"),
        progress.BarColumn(),
        progress.MofNCompleteColumn(),
        progress.TimeElapsedColumn(),
        console=console.Console(stderr=True),
        auto_refresh=False,
        transient=True,
    )


def show_time(unix_s: float) -> str:
    """Returns a time as UTC text."""
    moment = datetime.datetime.fromtimestamp(unix_s, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z"


def _show(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case list() | tuple():
            return ", ".join(map(_show, value))
        case dict():
            return ", ".join(f"{k}={_show(v)}" for k, v in value.items())
        case _:
            return str(value)
