"""Command line shared by all stand-ins."""

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


def run_command(
    settings_type: type[_T], serve: Callable[[_T], Awaitable[None]]
) -> None:
    """Runs the command line of a program.

    Args:
        settings_type: Data class of the settings.
        serve: Runs the server until the process receives a stop signal.
    """

    def command(
        settings: str = "",
        check_settings: bool = False,
        print_schema: bool = False,
    ) -> None:
        """Runs the program.

        Args:
            settings: Path of the settings file.
            check_settings: Validate the settings file and exit.
            print_schema: Print the JSON schema of the settings and exit.
        """
        if print_schema:
            print(json.dumps(files.make_schema(settings_type), indent=2))
            return
        parsed_settings = _read_settings(settings, settings_type)
        if check_settings:
            print(f"{settings}: valid")
            return
        anyio.run(serve, parsed_settings)

    fire.Fire(command)


def _read_settings(path: str, settings_type: type[_T]) -> _T:
    """Returns the settings; prints errors and exits if they are invalid."""
    try:
        return files.read_settings(path, settings_type)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
