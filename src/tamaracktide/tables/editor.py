"""Commits edits: writes shards, then the head by a conditional update."""

from collections.abc import Callable
import dataclasses
import random

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import table_assembly
from tamaracktide.core import table_checks
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.core import tables
from tamaracktide.object_api import object_store
from tamaracktide.tables import backoff
from tamaracktide.tables import reader
from tamaracktide.tables import settings as tables_settings
from tamaracktide.tables import writer

ProgressCallback = Callable[[int, int], None]

MAX_SUMMARY_CHARACTERS = 200


@dataclasses.dataclass(slots=True)
class _Attempt:
    """State of the commit of one edit.

    Attributes:
        uncertain_version: Precondition version of a head update whose outcome
            is uncertain; None if no update can have taken effect.
        uncertain_revision: Revision that this update would have created.
        last_read_version: Version of the head that was read last.
        progress_at: When the commit last made progress.
    """

    uncertain_version: int | None
    uncertain_revision: int
    last_read_version: int | None
    progress_at: float


class Editor:
    """Reads the tables and commits edits to them."""

    def __init__(
        self,
        objects: object_store.ObjectStore,
        settings: tables_settings.EditorSettings,
        rng: random.Random,
    ) -> None:
        """Builds an editor that has not read the tables yet.

        Args:
            objects: Client of the object API.
            settings: Periods and limits.
            rng: Source of the jitter.
        """
        self._objects = objects
        self._settings = settings
        self._rng = rng
        self._assembly = table_assembly.Assembly()
        self._version: int | None = None

    @property
    def head(self) -> table_head.Head | None:
        """The newest head that was read, or None if there is none."""
        return self._assembly.head

    async def read_tables(self) -> tables.Tables:
        """Reads the newest tables from the platform.

        Raises:
            errors.PlatformError: Reads from the platform failed until the
                deadline.
        """
        deadline = anyio.current_time() + self._settings.deadline_s
        waits = self._make_backoff()
        while True:
            try:
                return await self._read_newest()
            except errors.PlatformError as error:
                if anyio.current_time() >= deadline or not is_transient(error):
                    raise
                await anyio.sleep(waits.next_wait_s(error.retry_after_s))

    async def commit(
        self, edit: table_edits.Edit, progress: ProgressCallback | None = None
    ) -> int:
        """Commits an edit; returns its revision.

        An edit that changes nothing returns the current revision.

        Args:
            edit: The edit.
            progress: Called with the number of objects written and the total.

        Raises:
            errors.EditError: TABLE_INVALID or EDIT_CONFLICT: nothing has
                changed. EDIT_UNSURE: the edit may still come into force.
            errors.PlatformUnavailableError: Nothing has changed.
        """
        attempt = _Attempt(None, 0, None, anyio.current_time())
        waits = self._make_backoff()
        while True:
            try:
                return await self._try_commit(edit, attempt, progress)
            except errors.PlatformError as error:
                self._check_deadline(edit, attempt, error)
                await anyio.sleep(waits.next_wait_s(error.retry_after_s))

    async def _try_commit(
        self,
        edit: table_edits.Edit,
        attempt: _Attempt,
        progress: ProgressCallback | None,
    ) -> int:
        before = await self._read_newest()
        head, version = self._assembly.head, self._version
        if version != attempt.last_read_version:
            attempt.last_read_version = version
            attempt.progress_at = anyio.current_time()
        committed = head.find_edit(edit.edit_id) if head else None
        if committed is not None:
            return committed.revision
        self._resolve_uncertain_update(edit, attempt)
        after = table_edits.merge_edit(before, edit)
        _check_tables(after)
        records = table_edits.make_records(
            edit, before, head.write_id if head else ""
        )
        if not any(record.routes or record.pools for record in records):
            return before.revision
        plan = writer.make_plan(edit, head, after, records)
        await self._write_objects(plan, attempt, progress)
        await self._write_head(plan.head, version, attempt)
        return after.revision

    async def _write_objects(
        self,
        plan: writer.WritePlan,
        attempt: _Attempt,
        progress: ProgressCallback | None,
    ) -> None:
        def record_progress(done: int, total: int) -> None:
            attempt.progress_at = anyio.current_time()
            if progress is not None:
                progress(done, total)

        await writer.write_objects(
            self._objects, plan, self._settings, self._rng, record_progress
        )

    async def _write_head(
        self,
        head: table_head.Head,
        version: int | None,
        attempt: _Attempt,
    ) -> None:
        data = writer.encode_checked(head, table_head.HEAD_KEY)
        try:
            if version is None:
                await self._objects.create(table_head.HEAD_KEY, data)
            else:
                await self._objects.update(table_head.HEAD_KEY, data, version)
        except errors.PlatformUnavailableError:
            attempt.uncertain_version = version or 0
            attempt.uncertain_revision = head.revision
            raise

    def _resolve_uncertain_update(
        self, edit: table_edits.Edit, attempt: _Attempt
    ) -> None:
        """Resolves an uncertain update once a newer head lacks the edit."""
        if attempt.uncertain_version is None or self._assembly.head is None:
            return
        if (self._version or 0) <= attempt.uncertain_version:
            return
        newer_revisions = (
            self._assembly.head.revision - attempt.uncertain_revision
        )
        if newer_revisions >= table_head.MAX_RECENT_EDITS:
            raise _make_uncertain_error(edit)
        attempt.uncertain_version = None

    def _check_deadline(
        self,
        edit: table_edits.Edit,
        attempt: _Attempt,
        error: errors.PlatformError,
    ) -> None:
        idle_s = anyio.current_time() - attempt.progress_at
        if idle_s < self._settings.deadline_s and is_transient(error):
            return
        if attempt.uncertain_version is not None:
            raise _make_uncertain_error(edit) from error
        if not is_transient(error):
            raise error
        raise errors.PlatformUnavailableError(
            result_codes.ResultCode.PLATFORM_UNAVAILABLE,
            f"edit not committed: {error.detail}",
        ) from error

    def _make_backoff(self) -> backoff.Backoff:
        return backoff.Backoff(
            self._settings.min_backoff_s,
            self._settings.max_backoff_s,
            self._rng,
        )

    async def _read_newest(self) -> tables.Tables:
        await self._read_head()
        while self._assembly.list_missing():
            await reader.read_missing_shards(
                self._objects, self._assembly, self._settings.concurrency
            )
        return self._assembly.tables

    async def _read_head(self) -> None:
        try:
            stored = await self._objects.read(table_head.HEAD_KEY)
        except errors.ObjectMissingError:
            return
        if self._assembly.accept_head(stored.value):
            self._version = stored.version


def is_transient(error: errors.PlatformError) -> bool:
    """Returns whether a call may succeed when it is retried."""
    return isinstance(
        error,
        errors.PlatformUnavailableError
        | errors.PreconditionFailedError
        | errors.ObjectMissingError,
    )


def shorten_summary(summary: str) -> str:
    """Returns a summary as one line, truncated to the size limit."""
    return " ".join(summary.split())[:MAX_SUMMARY_CHARACTERS]


def _check_tables(snapshot: tables.Tables) -> None:
    faults = table_checks.find_table_faults(snapshot)
    if faults:
        raise errors.EditError(
            result_codes.ResultCode.TABLE_INVALID,
            "; ".join(fault.text for fault in faults),
        )


def _make_uncertain_error(edit: table_edits.Edit) -> errors.EditError:
    return errors.EditError(
        result_codes.ResultCode.EDIT_UNSURE,
        f"outcome of edit {edit.edit_id} is uncertain; it may be in force",
    )
