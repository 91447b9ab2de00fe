"""The command line that all stand-ins share."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import sys
from typing import TypeVar

import anyio
import fire

from tamaracktide import errors
from tamaracktide.settings import files

EXIT_BAD_SETTINGS = 2

_T = TypeVar("_T")


def run_command(kind: type[_T], serve: Callable[[_T], Awaitable[None]]) -> None:
    """Runs the command line of a program.

    Args:
        kind: The settings data class.
        serve: Serves until the process is told to stop.
    """

    def command(
        settings: str = "",
        check_settings: bool = False,
        print_schema: bool = False,
    ) -> None:
        """Runs the program.

        Args:
            settings: Path of the settings file.
            check_settings: Only check the settings file.
            print_schema: Only print the JSON schema of the settings.
        """
        if print_schema:
            print(json.dumps(files.make_schema(kind), indent=2))
            return
        checked = _read_settings(settings, kind)
        if check_settings:
            print(f"{settings}: valid")
            return
        anyio.run(serve, checked)

    fire.Fire(command)


def _read_settings(path: str, kind: type[_T]) -> _T:
    """Returns the settings; tells their faults and exits if there are any."""
    try:
        return files.read_settings(path, kind)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
