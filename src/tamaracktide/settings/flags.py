"""Settings flags that all programs share."""

import json
import sys
from typing import TypeVar

from tamaracktide import errors
from tamaracktide.settings import files

SETTINGS_EXIT_STATUS = 6

_T = TypeVar("_T")


def run_settings_flags(
    settings_class: type[_T],
    settings: str = "",
    check_settings: bool = False,
    print_schema: bool = False,
) -> _T:
    """Reads the settings file, or handles a settings flag and exits.

    Args:
        settings_class: Settings data class.
        settings: Path of the settings file.
        check_settings: Validate the file, print the result and exit.
        print_schema: Print the JSON schema and exit.

    Raises:
        SystemExit: Status 0 after a flag was handled; status 6, with the
            faults on stderr, if the settings are missing or not valid.
    """
    if print_schema:
        sys.stdout.write(
            json.dumps(
                files.make_schema(settings_class), indent=2, sort_keys=True
            )
            + "\n"
        )
        raise SystemExit(0)
    try:
        checked = files.read_settings(settings, settings_class)
    except errors.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(SETTINGS_EXIT_STATUS) from error
    if check_settings:
        sys.stdout.write(f"{settings}: valid\n")
        raise SystemExit(0)
    return checked
