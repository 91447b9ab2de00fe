"""The engine process: its present runtime, faults and records."""

import dataclasses

import anyio

from tamaracktide.standins.engine import records
from tamaracktide.standins.engine import runtime
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.service import web


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of the engine at a past time."""

    at: float
    load: runtime.Load


class Host:
    """What outlives a restart of the engine.

    Attributes:
        settings: The settings.
        faults: The faults switched on now.
        runtime: The present incarnation.
        records: What ran.
        report: The last load report.
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
        self._awake = anyio.Event()

    def wake(self) -> None:
        """Has the tasks look at the faults and the runtime again."""
        self._awake.set()
        self._awake = anyio.Event()

    def restart(self) -> None:
        """Forgets everything and begins a new incarnation."""
        old = self.runtime
        self.runtime = runtime.Runtime(self.settings)
        old.lose_streams()
        self.wake()

    def check_incarnation(self, request: web.Request) -> web.Reply | None:
        """Returns the refusal of a request meant for another incarnation."""
        present = self.runtime.incarnation
        wanted = request.headers.get("x-incarnation", present)
        if wanted == present:
            return None
        return web.make_error_reply(
            409, f"incarnation is {present}, not {wanted}"
        )

    async def wait_thawed(self) -> None:
        """Waits while the engine is frozen."""
        while self.faults.freeze:
            await self._awake.wait()

    async def run_steps(self) -> None:
        """Generates tokens for all streams, one step after another."""
        next_at = anyio.current_time()
        while True:
            while self.faults.freeze or self.runtime.idle:
                await self._awake.wait()
            now = anyio.current_time()
            self.runtime.step(now)
            next_at = max(now, next_at + self.settings.token_s)
            await anyio.sleep_until(next_at)

    async def run_reports(self) -> None:
        """Takes load reports and forgets old streams."""
        while True:
            now = anyio.current_time()
            self.runtime.forget_ended(now)
            self.report = LoadReport(now, self.runtime.measure_load())
            await anyio.sleep(self.settings.load_report_lag_s)
