"""Output of command results as tables or JSON."""

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

PIPE_WIDTH_COLUMNS = 400

Row = Mapping[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """One of the tables that a command prints.

    Attributes:
        title: Table title, and key of the list in JSON output.
        columns: Columns of the table; JSON output has all keys of the rows.
        rows: The rows.
    """

    title: str
    columns: Sequence[str]
    rows: Sequence[Row]


class Printer:
    """Prints results to stdout as tables or JSON.

    Notes and progress go to stderr.
    """

    def __init__(self, output: OutputFormat) -> None:
        """Initializes the printer for an output format."""
        self._output = output
        # Output to a file or a pipe is not wrapped at the terminal width.
        width = None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS
        self._console = console.Console(soft_wrap=True, width=width)

    def print_value(self, value: object, line: str) -> None:
        """Prints a value in JSON output, or a line in table output."""
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
            self._print_table(title, columns, listed)

    def print_sections(self, sections: Sequence[Section]) -> None:
        """Prints tables, or a JSON object that maps titles to row lists."""
        if self._output == "json":
            self._print_json({s.title: s.rows for s in sections})
            return
        for section in sections:
            self._print_table(section.title, section.columns, section.rows)

    def _print_table(
        self, title: str, columns: Sequence[str], rows: Sequence[Row]
    ) -> None:
        if not rows:
            self._console.print(f"{title}: none", markup=False, highlight=False)
            return
        rich_table = table.Table(
            title=title, title_justify="left", box=box.SIMPLE_HEAD
        )
        for column in columns:
            rich_table.add_column(column, overflow="fold")
        for row in rows:
            rich_table.add_row(
                *(
                    text.Text(_format_value(row.get(column)))
                    for column in columns
                )
            )
        self._console.print(rich_table)

    def _print_json(self, value: object) -> None:
        data = msgspec.json.format(msgspec.json.encode(value), indent=2)
        sys.stdout.write(data.decode() + "\n")


def print_note(text: str) -> None:
    """Prints a note to stderr."""
    sys.stderr.write(f"note: {text}\n")


def make_progress() -> progress.Progress:
    """Returns a progress bar that is rendered on stderr."""
    return progress.Progress(
        progress.TextColumn("{task.description}"),
        progress.BarColumn(),
        progress.MofNCompleteColumn(),
        progress.TimeElapsedColumn(),
        console=console.Console(stderr=True),
        auto_refresh=False,
        transient=True,
    )


def format_time(unix_s: float) -> str:
    """Formats a Unix time as UTC with milliseconds."""
    utc_time = datetime.datetime.fromtimestamp(unix_s, tz=datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z"


def _format_value(value: object) -> str:
    match value:
        case None | "":
            return "-"
        case bool():
            return "yes" if value else "no"
        case list() | tuple():
            return ", ".join(map(_format_value, value))
        case dict():
            return ", ".join(
                f"{k}={_format_value(v)}" for k, v in value.items()
            )
        case _:
            return str(value)
