"""The settings flags that all daemons share."""

import json
import sys
from typing import TypeVar

from tamaracktide import errors
from tamaracktide.settings import files

SETTINGS_EXIT_STATUS = 6

_T = TypeVar("_T")


def run_settings_flags(
    kind: type[_T],
    settings: str = "",
    check_settings: bool = False,
    print_schema: bool = False,
) -> _T:
    """Returns checked settings, or does what a flag asks and exits.

    Args:
        kind: Settings data class.
        settings: Path of the settings file.
        check_settings: Check the file, report, and exit.
        print_schema: Print the JSON schema and exit.

    Raises:
        SystemExit: Status 0 after a flag was served, 6 with each fault on
            stderr if the settings are missing or not valid.
    """
    if print_schema:
        sys.stdout.write(
            json.dumps(files.make_schema(kind), indent=2, sort_keys=True) + "\n"
        )
        raise SystemExit(0)
    try:
        checked = files.read_settings(settings, kind)
    except errors.SettingsError as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(SETTINGS_EXIT_STATUS) from error
    if check_settings:
        sys.stdout.write(f"{settings}: valid\n")
        raise SystemExit(0)
    return checked
