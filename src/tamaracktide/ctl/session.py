"""Clients and the table editor that the commands share."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import time
import uuid

from tamaracktide import errors
from tamaracktide.core import table_edits
from tamaracktide.ctl import output
from tamaracktide.ctl import settings as ctl_settings
from tamaracktide.object_api import instances as platform_instances
from tamaracktide.object_api import objects as platform_objects
from tamaracktide.tables import collector
from tamaracktide.tables import editor as tables_editor

PROGRESS_MIN_OBJECTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Clients of one `tamaracktidectl` run.

    Attributes:
        settings: Settings of `tamaracktidectl`.
        objects: Client for the object API.
        instances: Client for the instance list.
        editor: Reads and edits the tables.
    """

    settings: ctl_settings.CtlSettings
    objects: platform_objects.ObjectClient
    instances: platform_instances.InstanceClient
    editor: tables_editor.Editor

    async def commit(
        self, changes: Sequence[table_edits.Change], summary: str
    ) -> int:
        """Commits changes and returns the new revision.

        Raises:
            errors.EditError: See `tables.editor.Editor.commit`.
            errors.PlatformError: The commit failed; nothing changed.
        """
        edit = table_edits.Edit(
            edit_id=uuid.uuid4().hex,
            author=self.settings.author,
            at_unix_s=time.time(),
            summary=tables_editor.shorten_summary(summary),
            changes=tuple(changes),
        )
        with output.make_progress() as bar:
            task = bar.add_task("writing", visible=False)

            def show_progress(done: int, total: int) -> None:
                visible = total >= PROGRESS_MIN_OBJECTS
                bar.update(task, completed=done, total=total, visible=visible)
                bar.refresh()

            revision = await self.editor.commit(edit, show_progress)
        await self._collect(revision)
        return revision

    async def list_instances(self) -> tuple[platform_instances.Instance, ...]:
        """Returns the instance list of the platform.

        Falls back to the instances of the settings while the platform is
        unavailable.

        Raises:
            errors.PlatformUnavailableError: The platform is unavailable and
                the settings list no instances.
        """
        try:
            return await self.instances.list()
        except errors.PlatformUnavailableError as error:
            if not self.settings.instances:
                raise
            output.print_note(
                f"{error.detail}; querying the instances of the settings file"
            )
            return self.settings.instances

    async def _collect(self, revision: int) -> None:
        editor = self.settings.editor
        if revision % editor.collect_every:
            return
        with contextlib.suppress(errors.TamaracktideError):
            await collector.collect_unused_shards(
                self.objects, time.time(), editor.collect_after_s
            )
            await collector.collect_old_records(
                self.objects, editor.history_revisions
            )


@contextlib.asynccontextmanager
async def open_session(
    settings: ctl_settings.CtlSettings,
) -> AsyncIterator[Session]:
    """Opens the clients and closes them on exit."""
    objects = platform_objects.ObjectClient(settings.platform)
    instances = platform_instances.InstanceClient(settings.platform)
    editor = tables_editor.Editor(objects, settings.editor, random.Random())
    try:
        yield Session(settings, objects, instances, editor)
    finally:
        await objects.close()
        await instances.close()
