"""Hypothesis state machine of a cell with simulated engines."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.bench import random_cell


class CellMachine(stateful.RuleBasedStateMachine):
    """Generates event sequences; the model checks every action."""

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Creates a cell with one engine."""
        self.model = random_cell.RandomCell(seed)
        self.model.start_engine()

    @stateful.rule(count=strategies.integers(1, 8))
    def submit(self, count: int) -> None:
        """Requests arrive."""
        for _ in range(count):
            self.model.submit()

    @stateful.rule()
    def end_grant(self) -> None:
        """A request ends."""
        self.model.end_grant()

    @stateful.rule()
    def end_load(self) -> None:
        """A load ends."""
        self.model.end_load()

    @stateful.rule()
    def advance(self) -> None:
        """Time advances."""
        self.model.advance()

    @stateful.rule()
    def start_engine(self) -> None:
        """An engine starts."""
        self.model.start_engine()

    @stateful.rule()
    def restart_engine(self) -> None:
        """An engine restarts empty."""
        self.model.restart_engine()

    @stateful.rule()
    def lose_engine(self) -> None:
        """An engine is lost."""
        self.model.lose_engine()

    @stateful.rule()
    def drain_engine(self) -> None:
        """An engine is drained, or its drain is cancelled."""
        self.model.drain_engine()

    @stateful.rule()
    def read_engine(self) -> None:
        """An engine is polled."""
        self.model.read_engine()

    @stateful.rule()
    def suspend_evictions(self) -> None:
        """Evictions are suspended or resumed."""
        self.model.suspend_evictions()

    @stateful.rule()
    def withdraw(self) -> None:
        """A client disconnects."""
        self.model.withdraw()


CellMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestCellMachine = CellMachine.TestCase
