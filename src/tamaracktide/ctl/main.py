"""Entry point of `tamaracktidectl`."""

from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import sys
from typing import cast

import anyio
import fire

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.ctl import arguments
from tamaracktide.ctl import editing
from tamaracktide.ctl import exits
from tamaracktide.ctl import operating
from tamaracktide.ctl import output as ctl_output
from tamaracktide.ctl import session as ctl_session
from tamaracktide.ctl import settings as ctl_settings
from tamaracktide.settings import api_keys
from tamaracktide.settings import files
from tamaracktide.settings import flags

DEFAULT_SETTINGS_PATH = "tamaracktidectl.json"
DEFAULT_WAIT_S = 30.0

Command = Callable[[ctl_session.Session, ctl_output.Printer], Awaitable[None]]


class Commands:
    """Views and edits the routes and pools, and operates the instances.

    Tables: get, apply, diff, edit, delete, history, revert, wait.
    Instances: status, drain, undrain. Requests: explain, key.
    Settings: check_settings, print_schema.
    See `tamaracktidectl COMMAND --help`; `tamaracktidectl -- --completion`
    prints a completion script.

    Every command accepts --settings PATH and --output table|json. The exit
    status identifies the kind of failure: 2 usage, 3 invalid table,
    4 conflict, 5 outcome uncertain, 6 settings, 7 platform unavailable,
    8 unknown row, 9 not in force everywhere.
    """

    def __init__(
        self,
        *,
        settings: str = DEFAULT_SETTINGS_PATH,
        output: str = "table",
    ) -> None:
        """Stores the options; help works without a settings file."""
        self._settings_path = settings
        self._output = output

    def get(
        self, table: str = "routes", name: str = "", customer: str = ""
    ) -> None:
        """Shows a table, a single row, or the routes of one customer.

        Args:
            table: routes or pools.
            name: Name of a single row to show.
            customer: Customer whose routes are shown.
        """
        self._run(
            lambda session, printer: editing.show_rows(
                session, printer, table, name, customer
            )
        )

    def apply(self, file: str, prune: bool = False) -> None:
        """Applies the rows of a JSON file in one atomic edit.

        Args:
            file: Path of an object with the lists "routes" and "pools".
            prune: Delete rows that are not in the file.
        """
        self._run(
            lambda session, printer: editing.apply_file(
                session, printer, file, arguments.parse_bool(prune)
            )
        )

    def diff(self, file: str, prune: bool = False) -> None:
        """Shows what applying a file would change.

        Args:
            file: Path of an object with the lists "routes" and "pools".
            prune: Report rows that are not in the file as deleted.
        """
        self._run(
            lambda session, printer: editing.diff_file(
                session, printer, file, arguments.parse_bool(prune)
            )
        )

    def edit(self, table: str, name: str, **columns: str) -> None:
        """Sets columns of one row: edit routes NAME --version 7.

        Adds the row if it does not exist. The upstreams of a pool are a
        comma-separated list of ids.

        Args:
            table: routes or pools.
            name: Name of the row.
            **columns: Values by column, such as --adapter NAME --version 7
                --idempotent false --weight 2 for a route, or --kind engine
                --upstreams ID,ID --max_queue_s 30 for a pool.
        """
        self._run(
            lambda session, printer: editing.edit_row(
                session, printer, table, name, columns
            )
        )

    def delete(self, table: str, name: str) -> None:
        """Deletes one row.

        Args:
            table: routes or pools.
            name: Name of the row. A pool that routes refer to cannot be
                deleted.
        """
        self._run(
            lambda session, printer: editing.delete_row(
                session, printer, table, name
            )
        )

    def history(self, revision: int = 0) -> None:
        """Shows the recent edits, or the rows that one revision changed.

        Args:
            revision: Revision whose changed rows are shown; 0 lists the
                recent edits.
        """
        self._run(
            lambda session, printer: editing.show_history(
                session, printer, arguments.parse_revision(revision)
            )
        )

    def revert(self, revision: int) -> None:
        """Reverts the edit of a revision with a new edit.

        Fails with a conflict if a later edit changed one of its rows.

        Args:
            revision: Revision of the edit, as listed by `history`.
        """
        self._run(
            lambda session, printer: editing.revert_edit(
                session, printer, arguments.parse_revision(revision)
            )
        )

    def status(self) -> None:
        """Shows the current state of instances, cells and upstreams.

        Instances: zone, state, revision of the tables in force, requests in
        progress, schedulers that a gateway cannot reach, and why a daemon
        did not respond. Cells: owner and queue. Upstreams: owner, epoch,
        number of loaded adapters, and number of reserved lora names (column
        `withheld`).
        """
        self._run(operating.show_status)

    def drain(self, instance: str) -> None:
        """Stops assigning new work to an upstream or instance.

        Requests in progress run to completion. `undrain` ends the drain.

        Args:
            instance: Instance id, as listed by `status`.
        """
        self._run(
            lambda session, printer: operating.drain_instance(
                session, printer, instance
            )
        )

    def undrain(self, instance: str) -> None:
        """Resumes assigning new work to an upstream or instance.

        Args:
            instance: Instance id of a drained upstream or instance.
        """
        self._run(
            lambda session, printer: operating.undrain_instance(
                session, printer, instance
            )
        )

    def explain(self, request_id: str) -> None:
        """Shows the decisions about a request at each hop, with their reasons.

        Args:
            request_id: X-Request-Id header of the response.
        """
        self._run(
            lambda session, printer: operating.explain_request(
                session, printer, request_id
            )
        )

    def wait(
        self, revision: int = 0, timeout_s: float = DEFAULT_WAIT_S
    ) -> None:
        """Waits until a revision is in force on every live daemon.

        Args:
            revision: The revision; 0 selects the newest.
            timeout_s: Maximum wait in seconds.
        """
        self._run(
            lambda session, printer: operating.wait_until_in_force(
                session,
                printer,
                arguments.parse_revision(revision),
                arguments.parse_seconds(timeout_s),
            )
        )

    def key(self, customer: str) -> None:
        """Prints the API key of a customer.

        Args:
            customer: Name of the customer, as used in its routes.
        """

        async def print_key(
            session: ctl_session.Session, printer: ctl_output.Printer
        ) -> None:
            secret = _read_secret(session.settings.secret_path)
            key = api_keys.make_api_key(customer, secret)
            printer.print_value({"customer": customer, "api_key": key}, key)

        self._run(print_key)

    def check_settings(self) -> None:
        """Validates the settings file and lists each fault by field path."""
        flags.run_settings_flags(
            ctl_settings.CtlSettings, self._settings_path, check_settings=True
        )

    def print_schema(self) -> None:
        """Prints the JSON schema of the settings file."""
        flags.run_settings_flags(ctl_settings.CtlSettings, print_schema=True)

    def _run(self, command: Command) -> None:
        try:
            settings = files.read_settings(
                self._settings_path, ctl_settings.CtlSettings
            )
            printer = ctl_output.Printer(_parse_output(self._output))
            anyio.run(_run_command, command, settings, printer)
        except errors.TamaracktideError as error:
            sys.stderr.write(exits.describe_error(error) + "\n")
            raise SystemExit(exits.find_exit_status(error)) from error


def main() -> None:
    """Parses the command line and runs the command."""
    words = arguments.move_help_flag(arguments.quote_words(sys.argv[1:]))
    fire.Fire(Commands, command=words, name="tamaracktidectl")


async def _run_command(
    command: Command,
    settings: ctl_settings.CtlSettings,
    printer: ctl_output.Printer,
) -> None:
    async with ctl_session.open_session(settings) as session:
        await command(session, printer)


def _parse_output(text: str) -> ctl_output.OutputFormat:
    if text in ("table", "json"):
        return cast(ctl_output.OutputFormat, text)
    raise errors.EditError(
        result_codes.ResultCode.BAD_REQUEST,
        f'--output "{text}" is neither table nor json',
    )


def _read_secret(path: str) -> str:
    if not path:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, "secret_path is not set"
        )
    try:
        return pathlib.Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise errors.SettingsError(
            result_codes.ResultCode.SETTINGS_INVALID, f"secret_path: {error}"
        ) from error
