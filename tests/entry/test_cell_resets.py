"""Tests of what an error in the scheduling of a service ends."""

import anyio
import pytest
import test_service_cell

from tamaracktide import errors
from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.entry import service_cell

pytestmark = pytest.mark.anyio

ERROR = KeyError("m/a@")


@pytest.fixture
def anyio_backend() -> str:
    """Entry instances run on asyncio."""
    return "asyncio"


async def _fill(cell: service_cell.ServiceCell) -> list[service_cell.Placement]:
    """Takes all batch slots of both engines."""
    return [
        await cell.acquire_placement(
            test_service_cell.make_request(f"r{number}", "a")
        )
        for number in range(2 * test_service_cell.BATCH_LIMIT)
    ]


class _Client:
    """A request that waits in a task of its own."""

    def __init__(
        self,
        harness: test_service_cell.Harness,
        cell: service_cell.ServiceCell,
        request_id: str,
    ) -> None:
        self.outcome: service_cell.Placement | errors.RefusalError | None = None
        self._cell = cell
        self._request = test_service_cell.make_request(request_id, "a")
        harness.tasks.start_soon(self._run)

    async def _run(self) -> None:
        try:
            self.outcome = await self._cell.acquire_placement(self._request)
        except errors.RefusalError as error:
            self.outcome = error

    async def wait(self) -> service_cell.Placement | errors.RefusalError:
        """Returns the placement, or the refusal."""
        with anyio.fail_after(1.0):
            while self.outcome is None:
                await anyio.sleep(0.005)
        return self.outcome


async def test_error_of_the_core_resets_its_cell_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a KeyError of the core that ended the process."""
    async with test_service_cell.run_two_engines() as (harness, cell):
        placements = await _fill(cell)
        client = _Client(harness, cell, "waiting")
        await anyio.sleep(0.01)

        def fail(event: cell_events.CellEvent, now: float) -> None:
            raise ERROR

        with monkeypatch.context() as patch:
            patch.setattr(cell._cell, "handle", fail)
            cell.release(placements.pop(), missing=False)
        assert isinstance(await client.wait(), errors.RefusalError)
        await anyio.sleep(0.01)
        for placement in placements:
            cell.release(placement, missing=False)
        late = _Client(harness, cell, "late")
        assert isinstance(await late.wait(), service_cell.Placement)


async def test_request_with_a_grant_is_not_refused_by_a_reset() -> None:
    """Guards against "not run" for a request that was given a batch slot."""
    async with test_service_cell.run_two_engines() as (harness, cell):
        placements = await _fill(cell)
        client = _Client(harness, cell, "waiting")
        await anyio.sleep(0.01)
        cell.release(placements.pop(), missing=False)
        cell.reset(ERROR, ())
        assert isinstance(await client.wait(), service_cell.Placement)


async def test_running_requests_stay_counted_after_a_reset() -> None:
    """Their engines are not overfilled."""
    async with test_service_cell.run_two_engines() as (harness, cell):
        await _fill(cell)
        cell.reset(ERROR, ())
        await anyio.sleep(0.01)
        client = _Client(harness, cell, "waiting")
        await anyio.sleep(0.05)
        assert client.outcome is None


async def test_load_that_raises_ends_as_a_failed_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The load is not in flight for good, and no other task ends."""

    async def fail(*_: object) -> cell_events.LoadEnded:
        raise ERROR

    monkeypatch.setattr(test_service_cell.Harness, "_load", fail)
    ended: list[cell_events.CellEvent] = []
    async with test_service_cell.run_two_engines() as (_, cell):
        handle = cell._cell.handle

        def record(
            event: cell_events.CellEvent, now: float
        ) -> list[cell_actions.CellAction]:
            ended.append(event)
            return handle(event, now)

        monkeypatch.setattr(cell._cell, "handle", record)
        with anyio.move_on_after(0.05):
            request = test_service_cell.make_request("r", "b")
            await cell.acquire_placement(request)
    loads = [e for e in ended if isinstance(e, cell_events.LoadEnded)]
    assert loads
    assert not any(load.succeeded for load in loads)


async def test_error_in_a_refresh_reaches_no_other_cell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller goes on, and the cell reads its upstreams again."""
    async with test_service_cell.run_two_engines() as (harness, cell):

        def fail(*_: object) -> None:
            raise ERROR

        with monkeypatch.context() as patch:
            patch.setattr(cell, "_make_snapshot", fail)
            cell.refresh()
        await anyio.sleep(0.01)
        client = _Client(harness, cell, "r")
        assert isinstance(await client.wait(), service_cell.Placement)


async def test_cell_that_fails_again_and_again_pauses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A refresh that fails is not repeated at once for ever."""
    async with test_service_cell.run_two_engines() as (harness, cell):

        def fail(upstream: str) -> dict[str, int]:
            harness.snapshots.append(upstream)
            raise ERROR

        monkeypatch.setattr(
            cell._dependencies.upstreams, "_count_running", fail
        )
        cell.refresh()
        await anyio.sleep(1.5 * service_cell.RESET_PERIOD_S)
        assert 2 <= len(harness.snapshots) <= 4
