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
    """Reads and edits the routes and pools, and operates the instances.

    Tables: get, apply, diff, edit, delete, history, revert, wait.
    Instances: status, drain, undrain. Requests: explain, key.
    Settings: check_settings, print_schema.
    See `tamaracktidectl COMMAND --help`; `tamaracktidectl -- --completion`
    prints a completion script.

    Every command takes --settings PATH and --output table|json. The exit
    status tells the kind of failure: 2 usage, 3 invalid table, 4 conflict,
    5 unsure, 6 settings, 7 platform unavailable, 8 unknown row, 9 not in
    force everywhere.
    """

    def __init__(
        self,
        *,
        settings: str = DEFAULT_SETTINGS_PATH,
        output: str = "table",
    ) -> None:
        """Reads the settings file lazily, so that help needs none."""
        self._settings_path = settings
        self._output = output

    def get(
        self, table: str = "routes", name: str = "", customer: str = ""
    ) -> None:
        """Shows a table, one row, or the routes of one customer.

        Args:
            table: routes or pools.
            name: Name of the only row to show.
            customer: Customer whose routes are shown.
        """
        self._run(
            lambda session, printer: editing.show_rows(
                session, printer, table, name, customer
            )
        )

    def apply(self, file: str, prune: bool = False) -> None:
        """Puts the rows of a JSON file into force, all at once.

        Args:
            file: Path of an object with the lists "routes" and "pools".
            prune: Delete rows that the file does not have.
        """
        self._run(
            lambda session, printer: editing.apply_file(
                session, printer, file, arguments.parse_switch(prune)
            )
        )

    def diff(self, file: str, prune: bool = False) -> None:
        """Shows what applying a file would change.

        Args:
            file: Path of an object with the lists "routes" and "pools".
            prune: Count rows that the file does not have as deleted.
        """
        self._run(
            lambda session, printer: editing.diff_file(
                session, printer, file, arguments.parse_switch(prune)
            )
        )

    def edit(self, table: str, name: str, **columns: str) -> None:
        """Sets columns of one row: edit routes NAME --version 7.

        A row that does not exist is added. A pool's upstreams are given as
        ID,ID,...

        Args:
            table: routes or pools.
            name: Name of the row.
            **columns: Values by column, such as --adapter NAME --version 7
                --idempotent false --weight 2 of a route, or --kind engine
                --upstreams ID,ID --max_queue_s 30 of a pool.
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
            name: Name of the row. A pool that routes name stays.
        """
        self._run(
            lambda session, printer: editing.delete_row(
                session, printer, table, name
            )
        )

    def history(self, revision: int = 0) -> None:
        """Shows the recent edits, or the rows changed by one revision.

        Args:
            revision: Revision whose rows are shown; 0 lists the edits.
        """
        self._run(
            lambda session, printer: editing.show_history(
                session, printer, arguments.parse_revision(revision)
            )
        )

    def revert(self, revision: int) -> None:
        """Undoes the edit of a revision by a new edit.

        Refused as a conflict if a later edit changed one of its rows.

        Args:
            revision: Revision of the edit, as `history` shows it.
        """
        self._run(
            lambda session, printer: editing.revert_edit(
                session, printer, arguments.parse_revision(revision)
            )
        )

    def status(self) -> None:
        """Shows instances, cells and upstreams as they are now.

        Instances: zone, state, revision of the tables in force, requests in
        progress, schedulers that a gateway cannot reach, and why a daemon
        did not answer. Cells: owner and queue. Upstreams: owner, epoch,
        loaded adapters, and adapter names withheld from requests.
        """
        self._run(operating.show_status)

    def drain(self, instance: str) -> None:
        """Keeps new work from an upstream or instance until `undrain`.

        Requests in progress go on to their end.

        Args:
            instance: Instance id, as `status` shows it.
        """
        self._run(
            lambda session, printer: operating.drain_instance(
                session, printer, instance
            )
        )

    def undrain(self, instance: str) -> None:
        """Gives an upstream or instance new work again.

        Args:
            instance: Instance id of a drained upstream or instance.
        """
        self._run(
            lambda session, printer: operating.undrain_instance(
                session, printer, instance
            )
        )

    def explain(self, request_id: str) -> None:
        """Shows which hop decided what about a request, and why.

        Args:
            request_id: The answer's X-Request-Id.
        """
        self._run(
            lambda session, printer: operating.explain_request(
                session, printer, request_id
            )
        )

    def wait(
        self, revision: int = 0, timeout_s: float = DEFAULT_WAIT_S
    ) -> None:
        """Waits until a revision is in force at every live daemon.

        Args:
            revision: The revision; 0 stands for the newest.
            timeout_s: Longest wait, seconds.
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
            customer: The customer's name, as in its routes.
        """

        async def print_key(
            session: ctl_session.Session, printer: ctl_output.Printer
        ) -> None:
            secret = _read_secret(session.settings.secret_path)
            key = api_keys.make_api_key(customer, secret)
            printer.print_value({"customer": customer, "api_key": key}, key)

        self._run(print_key)

    def check_settings(self) -> None:
        """Checks the settings file and names each fault by its path."""
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
    """Runs the command line."""
    words = arguments.move_help(arguments.quote_words(sys.argv[1:]))
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
