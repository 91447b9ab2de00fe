"""State machine: concurrent editors and a follower over a faulty store."""

import asyncio
from collections.abc import Coroutine
import contextvars
from typing import Any

import fake_store
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies
import table_samples

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import rows
from tamaracktide.core import table_assembly
from tamaracktide.core import table_edits
from tamaracktide.core import table_head
from tamaracktide.core import tables

EDITORS = 3
NAMES = ("a", "b", "c")
MAX_DRAIN_STEPS = 2000
EDITOR: contextvars.ContextVar[int] = contextvars.ContextVar("editor")


class TableMachine(stateful.RuleBasedStateMachine):
    """Each store call waits until a rule decides its fate."""

    def __init__(self) -> None:
        """Starts with one pool in the tables."""
        super().__init__()
        self.runner = asyncio.Runner()
        self.objects = fake_store.FakeStore(gate=self._hold)
        self.held: dict[int, asyncio.Future[fake_store.Fate]] = {}
        self.tasks: dict[int, asyncio.Task[int]] = {}
        self.edits: dict[str, rows.Route | None] = {}
        self.bases: dict[str, rows.Route | None] = {}
        self.names: dict[str, str] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.assembly = table_assembly.Assembly()
        self.objects.gate = fake_store.pass_call
        self._run(table_samples.put_rows(self.objects, "0", table_samples.POOL))
        self.objects.gate = self._hold

    @stateful.rule(
        editor=strategies.integers(0, EDITORS - 1),
        name=strategies.sampled_from(NAMES),
        delete=strategies.booleans(),
    )
    def start_edit(self, editor: int, name: str, delete: bool) -> None:
        """An idle editor reads the newest tables and starts an edit."""
        if editor in self.tasks:
            return
        edit_id = str(len(self.edits) + 1)
        base = self._read_tables().routes.get(name)
        after = table_samples.make_route(name, edit_id)
        change: table_edits.Change = table_edits.PutRow(after, base)
        if delete and base is not None:
            change = table_edits.DeleteRow(base)
        deleted = isinstance(change, table_edits.DeleteRow)
        self.edits[edit_id] = None if deleted else after
        self.bases[edit_id] = base
        self.names[edit_id] = name
        self._run(self._start(editor, edit_id, change))

    @stateful.rule(
        choice=strategies.integers(0, EDITORS - 1),
        fate=strategies.sampled_from(fake_store.Fate),
    )
    def decide_call(self, choice: int, fate: fake_store.Fate) -> None:
        """One held call gets its fate."""
        if self.held:
            editor = sorted(self.held)[choice % len(self.held)]
            self._run(self._decide(editor, fate))

    @stateful.rule(back=strategies.integers(0, 5))
    def offer_old_head(self, back: int) -> None:
        """A follower meets any head of the past, with its shards."""
        past = self.objects.past[table_head.HEAD_KEY]
        _, value = past[max(0, len(past) - 1 - back)]
        revision = self.assembly.tables.revision
        self.assembly.accept_head(value or b"")
        for digest in self.assembly.list_missing():
            key = table_head.make_shard_key(digest)
            content = self.objects.peek(key)[1]
            self.assembly.accept_shards({digest: content or b""})
        assert self.assembly.tables.revision >= revision

    @stateful.invariant()
    def accepted_edits_stand_and_refused_ones_do_not(self) -> None:
        """The tables are the accepted edits in the order of the head."""
        head = self._read_head()
        ids = [edit.edit_id for edit in head.recent]
        assert len(ids) == len(set(ids)) == head.revision
        for edit_id, revision in self.accepted.items():
            assert ids[revision - 1] == edit_id
        assert self.refused.isdisjoint(ids)
        expected: dict[str, rows.Route] = {}
        for edit_id in ids[1:]:
            after, name = self.edits[edit_id], self.names[edit_id]
            assert expected.get(name) in (self.bases[edit_id], after)
            if after is None:
                expected.pop(name, None)
            else:
                expected[name] = after
        assert dict(self._read_tables().routes) == expected

    def teardown(self) -> None:
        """Every edit ends once calls succeed."""
        for _ in range(MAX_DRAIN_STEPS):
            if not self.held:
                break
            editor = min(self.held)
            self._run(self._decide(editor, fake_store.Fate.DONE))
        assert not self.tasks
        self.accepted_edits_stand_and_refused_ones_do_not()
        self.runner.close()

    def _run(self, work: Coroutine[Any, Any, object]) -> None:
        self.runner.run(work)

    def _read_head(self) -> table_head.Head:
        value = self.objects.peek(table_head.HEAD_KEY)[1]
        return table_head.decode_head(value or b"")

    def _read_tables(self) -> tables.Tables:
        assembly = table_assembly.Assembly()
        assembly.accept_head(self.objects.peek(table_head.HEAD_KEY)[1] or b"")
        for digest in assembly.list_missing():
            key = table_head.make_shard_key(digest)
            content = self.objects.peek(key)[1]
            assembly.accept_shards({digest: content or b""})
        return assembly.tables

    async def _hold(self, _operation: str, _key: str) -> fake_store.Fate:
        future: asyncio.Future[fake_store.Fate] = asyncio.Future()
        self.held[EDITOR.get()] = future
        return await future

    async def _start(
        self, editor: int, edit_id: str, change: table_edits.Change
    ) -> None:
        EDITOR.set(editor)
        operator = table_samples.make_editor(self.objects)
        edit = table_samples.make_edit(edit_id, change)
        self.tasks[editor] = asyncio.create_task(
            operator.commit(edit), name=edit_id
        )
        await self._settle()

    async def _decide(self, editor: int, fate: fake_store.Fate) -> None:
        self.held.pop(editor).set_result(fate)
        await self._settle()

    async def _settle(self) -> None:
        """Runs until every editor is done or holds a call."""
        while any(
            editor not in self.held and not task.done()
            for editor, task in self.tasks.items()
        ):
            await asyncio.sleep(0)
        for editor, task in list(self.tasks.items()):
            if task.done():
                del self.tasks[editor]
                self._note_result(task)

    def _note_result(self, task: asyncio.Task[int]) -> None:
        error = task.exception()
        if error is None:
            self.accepted[task.get_name()] = task.result()
            return
        assert isinstance(error, errors.EditError), error
        assert error.code is result_codes.ResultCode.EDIT_CONFLICT
        self.refused.add(task.get_name())


TestTableMachine = TableMachine.TestCase
TestTableMachine.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
