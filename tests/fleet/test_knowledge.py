"""What an instance believes never goes back, and survives outages."""

import json

import fleet_world
import pytest

from fleet import adapter
from tamaracktide.entry import cluster_state
from tamaracktide.object_api import port


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> _Clock:
    """A clock that the test sets."""
    return _Clock()


@pytest.fixture
def known(clock: _Clock) -> cluster_state.ClusterState:
    """Knowledge without any object."""
    return cluster_state.ClusterState(adapter.FleetAdapter(), clock)


def _document(version: int, revision: int) -> port.Item:
    value = json.dumps(fleet_world.make_document(version)).encode()
    return port.Item("config/main", revision, value)


def _server(name: str, revision: int, born: int = 1) -> port.Item:
    entry = {
        "Service": "plain",
        "Address": "10.0.0.1:80",
        "Zone": "z1",
        "Slots": 6,
        "State": "ready",
        "Sequence": 1,
        "born": born,
    }
    return port.Item(f"servers/{name}", revision, json.dumps(entry).encode())


def _get_version(known: cluster_state.ClusterState) -> int:
    assert known.table is not None
    return known.table.document.version


def test_older_document_of_a_peer_changes_nothing(
    known: cluster_state.ClusterState,
) -> None:
    """Neither a lower revision nor a lower version comes into force."""
    known.take([_document(7, 20)])
    known.take([_document(5, 10)])
    assert _get_version(known) == 7
    known.take([_document(6, 30)])
    assert _get_version(known) == 7


def test_malformed_document_leaves_the_last_one_in_force(
    known: cluster_state.ClusterState,
) -> None:
    """Bad input loses nothing else."""
    known.take([_document(7, 20)])
    known.take([port.Item("config/main", 21, b'{"Version": 8}')])
    assert _get_version(known) == 7


def test_removed_server_is_gone_at_once_while_the_store_is_well(
    known: cluster_state.ClusterState,
) -> None:
    """A removal is an acknowledged leaving."""
    known.take([_server("a", 2)])
    known.take([port.Item("servers/a", 3, None)])
    assert known.upstreams == {}


def test_entry_that_lapsed_in_an_outage_is_kept_until_it_could_be_back(
    known: cluster_state.ClusterState, clock: _Clock
) -> None:
    """Two servers lapse with the store; one comes back, one does not."""
    known.take([_server("a", 2), _server("b", 3)])
    known.store_recovered_at = clock.now
    known.apply_listing("servers/", port.Items(9))
    assert set(known.upstreams) == {"a", "b"}
    known.take([_server("a", 11)])
    clock.now += cluster_state.ENTRY_RESTORE_S + 0.1
    known.drop_lapsed()
    assert set(known.upstreams) == {"a"}


def test_late_heartbeat_of_a_former_lifetime_is_ignored(
    known: cluster_state.ClusterState,
) -> None:
    """A server that started again is not replaced by its former self."""
    known.take([_server("a", 2, born=50)])
    known.take([_server("a", 3, born=40)])
    assert known.upstreams["a"].started_ms == 50


def test_entry_that_becomes_unreadable_names_no_server(
    known: cluster_state.ClusterState,
) -> None:
    """An entry of another writer is dropped, the others stay."""
    known.take([_server("a", 2), _server("b", 3)])
    known.take([port.Item("servers/a", 4, b'{"State": 7}')])
    assert set(known.upstreams) == {"b"}


def test_announced_versions_only_grow(
    known: cluster_state.ClusterState,
) -> None:
    """An older announcement that arrives late is ignored."""
    for revision, version in ((2, 3), (3, 2)):
        value = {"Model": "m", "Adapter": "a", "Version": version}
        key = "versions/m.a"
        known.take([port.Item(key, revision, json.dumps(value).encode())])
    assert known.versions == {("m", "a"): 3}
