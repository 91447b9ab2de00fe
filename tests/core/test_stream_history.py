"""Tests of what an instance knows of streams that clients may resume.

Load pattern: all instances are killed and start again beside a release.
"""

from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries

RETENTION_S = stream_origins.RETENTION_S
ONLY_VERSION = stream_origins.Source.ONLY_VERSION


def make_history(*software: str) -> stream_history.StreamHistory:
    """Returns the history of a start at 0 s with upstreams of versions."""
    history = stream_history.StreamHistory(0.0)
    entries = [
        upstream_entries.UpstreamEntry(
            upstream=f"e-{name}",
            service="llm",
            address="127.0.0.1:1",
            zone="z1",
            batch_limit=8,
            software=name,
        )
        for name in software
    ]
    history.apply_upstreams(entries, (), 0.0)
    return history


def test_only_version_began_a_stream_once_the_history_is_complete() -> None:
    """Guards against a start that takes what it lists for all there was."""
    history = make_history("v2")
    assert history.find_only_version("llm", 1.0) is None
    found = history.find_only_version("llm", RETENTION_S)
    assert found == ("v2", ONLY_VERSION)


def test_recorded_versions_complete_the_history() -> None:
    """A record without another version says that there was none."""
    history = make_history("v2")
    history.restore_versions({"llm": ("v2",)}, 1.0, is_complete=True)
    assert history.find_only_version("llm", 1.0) == ("v2", ONLY_VERSION)


def test_recorded_version_that_is_gone_may_have_begun_a_stream() -> None:
    """It counts for as long as clients may resume its streams."""
    history = make_history("v2")
    mixed = history.restore_versions({"llm": ("v1",)}, 1.0, is_complete=True)
    assert mixed == {"llm"}
    assert history.find_only_version("llm", RETENTION_S) is None
    assert history.find_only_version("llm", RETENTION_S + 1.0) is not None


def test_notice_never_keeps_a_version_alive() -> None:
    """Guards against instances that restore a version in each other."""
    first, second = make_history("v1", "v2"), make_history("v1", "v2")
    for history in (first, second):
        history.apply_upstreams((), ("e-v1",), 1.0)
    ages = first.list_ages(RETENTION_S)
    assert ages == {"llm": {"v1": RETENTION_S - 1.0, "v2": 0.0}}
    second.restore_ages(ages, RETENTION_S, is_complete=True)
    assert second.list_versions(RETENTION_S + 1.0) == {"llm": ("v2",)}


def test_interrupted_view_ends_the_completeness() -> None:
    """Guards against a version that comes and goes while nothing is seen."""
    history = make_history("v1")
    history.restore_versions({"llm": ("v1",)}, 1.0, is_complete=True)
    history.interrupt(2.0)
    assert history.find_only_version("llm", 3.0) is None
    history.restore_versions({"llm": ("v1",)}, 3.0, is_complete=True)
    assert history.find_only_version("llm", 3.0) == ("v1", ONLY_VERSION)


def test_version_that_has_come_back_may_have_begun_a_stream() -> None:
    """Guards against a rollback that one instance does not see yet (ORDER).

    Its version ended long ago, and a peer observes it again.
    """
    history = make_history("v1", "v2")
    history.apply_upstreams((), ("e-v1",), 1.0)
    later = 2 * RETENTION_S
    assert history.list_versions(later) == {"llm": ("v2",)}
    history.restore_versions({"llm": ("v1", "v2")}, later, is_complete=True)
    assert history.find_only_version("llm", later + 1.0) is None


def test_unfinished_streams_of_mixed_services_are_recorded() -> None:
    """What is complete, or has one version only, needs no record."""
    history = make_history("v1")
    history.record_begin("llm", "r1", "v1", 0.0)
    history.record_begin("llm", "r2", "v1", 0.0)
    assert history.list_to_record(1.0) == {}
    history.restore_versions({"llm": ("v0",)}, 1.0, is_complete=False)
    history.record_end("llm", "r1")
    assert history.list_to_record(2.0) == {"v1": ("r2",)}


def test_records_of_an_earlier_process_are_kept() -> None:
    """Guards against a second kill that loses what began before the first."""
    history = make_history("v1", "v2")
    history.inherit({"v1": ("r1",)}, 1.0)
    history.record_begin("llm", "r2", "v2", 1.0)
    assert history.list_to_record(2.0) == {"v1": ("r1",), "v2": ("r2",)}
    assert history.find("r1", 2.0) == ("v1", stream_origins.Source.STORE)
