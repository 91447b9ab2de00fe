"""Tests of what is known about the beginnings of streams.

Load pattern: a release replaces upstreams one after the other while streams
are resumed that began at any of them.
"""

from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries

RETENTION_S = stream_origins.RETENTION_S


def make_entry(
    upstream: str, software: str, service: str = "llm"
) -> upstream_entries.UpstreamEntry:
    """Returns the entry of an upstream."""
    return upstream_entries.UpstreamEntry(
        upstream=upstream,
        service=service,
        address="127.0.0.1:1",
        zone="z1",
        batch_limit=8,
        software=software,
    )


def test_first_record_of_a_stream_is_kept_until_it_expires() -> None:
    """A late notice of another instance never changes it."""
    origins = stream_origins.StreamOrigins()
    assert origins.record("r1", "v1", 0.0)
    assert not origins.record("r1", "v2", 1.0)
    found = origins.find("r1", RETENTION_S - 0.1)
    assert found == ("v1", stream_origins.Source.OWN)
    assert origins.find("r1", RETENTION_S) is None
    assert origins.list_all(RETENTION_S) == {}


def test_streams_are_listed_by_version() -> None:
    """The list is what an instance sends on a new link."""
    origins = stream_origins.StreamOrigins()
    for request_id, software in (("a", "v1"), ("b", "v2"), ("c", "v1")):
        origins.record(request_id, software, 0.0)
    origins.forget("b")
    assert origins.list_all(1.0) == {"v1": ("a", "c")}


def test_number_of_streams_is_bounded() -> None:
    """The oldest one is dropped."""
    origins = stream_origins.StreamOrigins()
    for index in range(stream_origins.MAX_RECORDS + 1):
        origins.record(str(index), "v1", 0.0)
    assert origins.find("0", 0.0) is None
    found = origins.find(str(stream_origins.MAX_RECORDS), 0.0)
    assert found == ("v1", stream_origins.Source.OWN)


def test_version_without_upstreams_counts_while_its_streams_may_resume() -> (
    None
):
    """Guards against a stream resumed at another version after a release."""
    versions = stream_origins.SoftwareVersions()
    versions.set_upstream(make_entry("e1", "v1"), 0.0)
    versions.set_upstream(make_entry("p1", "v7", "plain"), 0.0)
    assert versions.list_mixed(0.0) == frozenset()
    versions.set_upstream(make_entry("e2", "v2"), 1.0)
    assert versions.list_mixed(1.0) == {"llm"}
    versions.remove_upstream("e1", 2.0)
    assert versions.list_recent("llm", 2.0) == {"v1", "v2"}
    assert versions.list_recent("llm", 2.0 + RETENTION_S) == {"v2"}
    assert versions.list_mixed(2.0 + RETENTION_S) == frozenset()


def test_upstream_may_restart_with_another_version() -> None:
    """Its id stays; both versions count, and the old one expires."""
    versions = stream_origins.SoftwareVersions()
    versions.set_upstream(make_entry("e1", "v1"), 0.0)
    versions.set_upstream(make_entry("e1", "v2"), 1.0)
    versions.set_upstream(make_entry("e1", "v2"), 2.0)
    assert versions.list_recent("llm", 2.0) == {"v1", "v2"}
    versions.remove_upstream("e1", 3.0)
    versions.remove_upstream("e1", 4.0)
    assert versions.list_recent("llm", 1.0 + RETENTION_S) == {"v2"}
