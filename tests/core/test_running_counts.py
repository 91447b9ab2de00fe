"""Tests of the counts of running requests from several sources."""

from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies

from tamaracktide.core import running_counts

SOURCES = ("s1", "s2")
COUNTS = strategies.dictionaries(
    strategies.sampled_from(("e1", "e2")),
    strategies.dictionaries(
        strategies.sampled_from(("m/a", "m/b")),
        strategies.integers(1, 3),
        min_size=1,
    ),
)


@given(COUNTS, COUNTS)
def test_changes_turn_one_table_into_the_other(
    before: running_counts.Counts, after: running_counts.Counts
) -> None:
    """Changes can be applied more than once."""
    changes = running_counts.find_changes(before, after)
    counts = running_counts.copy_counts(before)
    for _ in range(2):
        running_counts.apply_changes(counts, changes)
        assert counts == after


@given(COUNTS)
def test_equal_tables_have_no_changes(counts: running_counts.Counts) -> None:
    """A report without changes is empty."""
    assert running_counts.find_changes(counts, counts) == {}


class CountTableMachine(stateful.RuleBasedStateMachine):
    """Sources send changes and complete counts, and disappear."""

    def __init__(self) -> None:
        """Starts without sources."""
        super().__init__()
        self.table = running_counts.CountTable()
        self.sources: dict[str, running_counts.Counts] = {}
        self.followed: running_counts.Counts = {}

    @stateful.rule(source=strategies.sampled_from(SOURCES), counts=COUNTS)
    def send_full(self, source: str, counts: running_counts.Counts) -> None:
        """A source sends all of its counts."""
        self.sources[source] = counts
        self.table.apply(source, counts, is_full=True)

    @stateful.rule(source=strategies.sampled_from(SOURCES), counts=COUNTS)
    def send_changes(self, source: str, counts: running_counts.Counts) -> None:
        """A source sends what has changed."""
        before = self.sources.get(source, {})
        changes = running_counts.find_changes(before, counts)
        self.sources[source] = counts
        self.table.apply(source, changes)

    @stateful.rule(source=strategies.sampled_from(SOURCES))
    def remove(self, source: str) -> None:
        """A source disappears."""
        self.sources.pop(source, None)
        self.table.remove(source)

    @stateful.rule()
    def follow(self) -> None:
        """A reader applies the changed sums and then knows all of them."""
        running_counts.apply_changes(self.followed, self.table.take_changed())
        assert self.followed == self.table.totals

    @stateful.invariant()
    def totals_are_the_sums(self) -> None:
        """The running sums equal the sums of the sources."""
        expected = running_counts.add_counts(*self.sources.values())
        assert self.table.totals == expected


TestCountTable = CountTableMachine.TestCase


def test_subtracted_source_ahead_of_the_others_counts_as_zero() -> None:
    """Readers never see a negative count."""
    table = running_counts.CountTable()
    table.apply("cluster", {"e1": {"m/a": 1}})
    table.apply("own", {"e1": {"m/a": -2}})
    assert table.take_changed() == {"e1": {"m/a": 0}}
    table.apply("cluster", {"e1": {"m/a": 3}})
    assert table.take_changed() == {"e1": {"m/a": 1}}
