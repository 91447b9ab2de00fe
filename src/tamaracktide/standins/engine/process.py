"""State of the engine process: current incarnation, faults and records."""

import dataclasses

import anyio

from tamaracktide.standins.engine import records
from tamaracktide.standins.engine import runtime
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.service import web


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Engine load sampled at time `at`."""

    at: float
    load: runtime.Load


class EngineProcess:
    """State that survives a simulated restart of the engine.

    Attributes:
        settings: The settings.
        faults: The active faults.
        runtime: The state of the current incarnation.
        records: The requests run so far.
        report: The most recent load report.
    """

    def __init__(
        self, settings: engine_settings.EngineSettings, now: float
    ) -> None:
        """Builds the first incarnation."""
        self.settings = settings
        self.faults = settings.faults
        self.runtime = runtime.Runtime(settings)
        self.records = records.RunRecords()
        self.report = LoadReport(now, runtime.Load(0, 0, 0.0))
        self._state_changed = anyio.Event()

    def notify_tasks(self) -> None:
        """Wakes the tasks that wait for changed faults or new streams."""
        self._state_changed.set()
        self._state_changed = anyio.Event()

    def restart(self) -> None:
        """Discards the runtime state and begins a new incarnation."""
        previous = self.runtime
        self.runtime = runtime.Runtime(self.settings)
        previous.abort_streams()
        self.notify_tasks()

    def check_incarnation(self, request: web.Request) -> web.Response | None:
        """Returns an error if the request names another incarnation."""
        current = self.runtime.incarnation
        expected = request.headers.get("x-incarnation", current)
        if expected == current:
            return None
        return web.make_error_response(
            409, f"incarnation mismatch: expected {expected}, is {current}"
        )

    async def wait_until_unfrozen(self) -> None:
        """Waits until the engine is not frozen."""
        while self.faults.freeze:
            await self._state_changed.wait()

    async def run_steps(self) -> None:
        """Runs batch steps at the token interval until cancelled."""
        next_at = anyio.current_time()
        while True:
            while self.faults.freeze or self.runtime.idle:
                await self._state_changed.wait()
            now = anyio.current_time()
            self.runtime.step(now)
            next_at = max(now, next_at + self.settings.token_s)
            await anyio.sleep_until(next_at)

    async def run_reports(self) -> None:
        """Updates the load report and expires finished streams."""
        while True:
            now = anyio.current_time()
            self.runtime.remove_expired_streams(now)
            self.report = LoadReport(now, self.runtime.measure_load())
            await anyio.sleep(self.settings.load_report_lag_s)
