"""Reads the records of committed edits."""

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.object_api import object_store


async def read_edit(
    objects: object_store.ObjectStore, head: table_head.Head, revision: int
) -> list[table_edits.EditRecord]:
    """Reads all parts of the record of the edit that created a revision.

    Raises:
        errors.EditError: ROW_UNKNOWN, the revision has no record.
        errors.PlatformError: Reading from the platform failed.
    """
    if not 1 <= revision <= head.revision:
        raise _make_unknown_error(revision, head)
    edit_id, known_revision = _find_nearest_edit(head, revision)
    try:
        while known_revision > revision:
            part = await _read_part(objects, known_revision, edit_id, 0)
            edit_id, known_revision = part.previous_id, known_revision - 1
        first_part = await _read_part(objects, revision, edit_id, 0)
        remaining_parts = [
            await _read_part(objects, revision, edit_id, index)
            for index in range(1, first_part.parts)
        ]
    except errors.ObjectMissingError as error:
        raise _make_unknown_error(revision, head) from error
    return [first_part, *remaining_parts]


def _find_nearest_edit(head: table_head.Head, revision: int) -> tuple[str, int]:
    """Returns the first listed edit at or after a revision.

    Returns:
        Id and revision of the edit; those of the head if none is listed.
    """
    for edit in head.recent:
        if edit.revision >= revision:
            return edit.edit_id, edit.revision
    return head.write_id, head.revision


async def _read_part(
    objects: object_store.ObjectStore, revision: int, edit_id: str, part: int
) -> table_edits.EditRecord:
    key = table_edits.make_record_key(revision, edit_id, part)
    stored = await objects.read(key)
    return table_head.decode_object(stored.value, table_edits.EditRecord, key)


def _make_unknown_error(
    revision: int, head: table_head.Head
) -> errors.EditError:
    return errors.EditError(
        result_codes.ResultCode.ROW_UNKNOWN,
        f"no record of revision {revision}; the newest revision is"
        f" {head.revision}",
    )
