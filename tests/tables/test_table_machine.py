"""State machine of concurrent editors and a follower on a faulty store."""

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
    """Editors whose store calls wait until a rule decides the outcome."""

    def __init__(self) -> None:
        """Starts with one pool in the tables."""
        super().__init__()
        self.runner = asyncio.Runner()
        self.objects = fake_store.FakeStore(gate=self._wait_for_outcome)
        self.pending_calls: dict[
            int, asyncio.Future[fake_store.CallOutcome]
        ] = {}
        self.tasks: dict[int, asyncio.Task[int]] = {}
        self.edits: dict[str, rows.Route | None] = {}
        self.bases: dict[str, rows.Route | None] = {}
        self.names: dict[str, str] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.assembly = table_assembly.Assembly()
        self.objects.gate = fake_store.pass_call
        self._run(table_samples.put_rows(self.objects, "0", table_samples.POOL))
        self.objects.gate = self._wait_for_outcome

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
        outcome=strategies.sampled_from(fake_store.CallOutcome),
    )
    def decide_call(self, choice: int, outcome: fake_store.CallOutcome) -> None:
        """A pending call gets an outcome."""
        if self.pending_calls:
            editor = sorted(self.pending_calls)[
                choice % len(self.pending_calls)
            ]
            self._run(self._decide_call(editor, outcome))

    @stateful.rule(steps_back=strategies.integers(0, 5))
    def offer_old_head(self, steps_back: int) -> None:
        """A follower receives an earlier head with its shards."""
        object_versions = self.objects.object_versions[table_head.HEAD_KEY]
        _, value = object_versions[
            max(0, len(object_versions) - 1 - steps_back)
        ]
        revision = self.assembly.tables.revision
        self.assembly.accept_head(value or b"")
        for digest in self.assembly.list_missing():
            key = table_head.make_shard_key(digest)
            content = self.objects.peek(key)[1]
            self.assembly.accept_shards({digest: content or b""})
        assert self.assembly.tables.revision >= revision

    @stateful.invariant()
    def accepted_edits_apply_and_refused_ones_do_not(self) -> None:
        """The tables result from the accepted edits in the head's order."""
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
        """Every edit completes once calls succeed."""
        for _ in range(MAX_DRAIN_STEPS):
            if not self.pending_calls:
                break
            editor = min(self.pending_calls)
            self._run(self._decide_call(editor, fake_store.CallOutcome.DONE))
        assert not self.tasks
        self.accepted_edits_apply_and_refused_ones_do_not()
        self.runner.close()

    def _run(self, coroutine: Coroutine[Any, Any, object]) -> None:
        self.runner.run(coroutine)

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

    async def _wait_for_outcome(
        self, _operation: str, _key: str
    ) -> fake_store.CallOutcome:
        future: asyncio.Future[fake_store.CallOutcome] = asyncio.Future()
        self.pending_calls[EDITOR.get()] = future
        return await future

    async def _start(
        self, editor: int, edit_id: str, change: table_edits.Change
    ) -> None:
        EDITOR.set(editor)
        table_editor = table_samples.make_editor(self.objects)
        edit = table_samples.make_edit(edit_id, change)
        self.tasks[editor] = asyncio.create_task(
            table_editor.commit(edit), name=edit_id
        )
        await self._run_until_blocked()

    async def _decide_call(
        self, editor: int, outcome: fake_store.CallOutcome
    ) -> None:
        self.pending_calls.pop(editor).set_result(outcome)
        await self._run_until_blocked()

    async def _run_until_blocked(self) -> None:
        """Runs until every editor is done or has a pending call."""
        while any(
            editor not in self.pending_calls and not task.done()
            for editor, task in self.tasks.items()
        ):
            await asyncio.sleep(0)
        for editor, task in list(self.tasks.items()):
            if task.done():
                del self.tasks[editor]
                self._record_result(task)

    def _record_result(self, task: asyncio.Task[int]) -> None:
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
