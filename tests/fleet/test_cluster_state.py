"""Tests that cluster state never regresses and survives store outages."""

import json

import fleet_cluster
import pytest

from fleet import adapter
from tamaracktide.entry import cluster_state
from tamaracktide.object_api import object_store


class _Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> _Clock:
    """A clock that the test advances."""
    return _Clock()


@pytest.fixture
def state(clock: _Clock) -> cluster_state.ClusterState:
    """Cluster state without objects."""
    return cluster_state.ClusterState(adapter.FleetAdapter(), clock)


def _make_document_item(version: int, revision: int) -> object_store.Item:
    value = json.dumps(fleet_cluster.make_document(version)).encode()
    return object_store.Item("config/main", revision, value)


def _make_server_item(
    name: str, revision: int, born: int = 1
) -> object_store.Item:
    entry = {
        "Service": "plain",
        "Address": "10.0.0.1:80",
        "Zone": "z1",
        "Slots": 6,
        "State": "ready",
        "Sequence": 1,
        "born": born,
    }
    return object_store.Item(
        f"servers/{name}", revision, json.dumps(entry).encode()
    )


def _get_version(state: cluster_state.ClusterState) -> int:
    assert state.table is not None
    return state.table.document.version


def test_older_document_from_a_peer_is_ignored(
    state: cluster_state.ClusterState,
) -> None:
    """Neither a lower revision nor a lower version applies."""
    state.apply([_make_document_item(7, 20)])
    state.apply([_make_document_item(5, 10)])
    assert _get_version(state) == 7
    state.apply([_make_document_item(6, 30)])
    assert _get_version(state) == 7


def test_malformed_document_leaves_the_previous_one_in_force(
    state: cluster_state.ClusterState,
) -> None:
    """A document that cannot be decoded is ignored; no state is lost."""
    state.apply([_make_document_item(7, 20)])
    state.apply([object_store.Item("config/main", 21, b'{"Version": 8}')])
    assert _get_version(state) == 7


def test_deleted_server_is_removed_immediately_without_an_outage(
    state: cluster_state.ClusterState,
) -> None:
    """While the store is reachable, a deletion is deliberate."""
    state.apply([_make_server_item("a", 2)])
    state.apply([object_store.Item("servers/a", 3, None)])
    assert state.upstreams == {}


def test_entry_that_expired_in_an_outage_is_kept_until_it_can_return(
    state: cluster_state.ClusterState, clock: _Clock
) -> None:
    """Two entries expire in an outage; only one is registered again."""
    state.apply([_make_server_item("a", 2), _make_server_item("b", 3)])
    state.store_recovered_at = clock.now
    state.apply_listing("servers/", object_store.Items(9))
    assert set(state.upstreams) == {"a", "b"}
    state.apply([_make_server_item("a", 11)])
    clock.now += cluster_state.ENTRY_RESTORE_S + 0.1
    state.drop_lapsed()
    assert set(state.upstreams) == {"a"}


def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(
    state: cluster_state.ClusterState,
) -> None:
    """The entry of a restarted server is not replaced by an older one."""
    state.apply([_make_server_item("a", 2, born=50)])
    state.apply([_make_server_item("a", 3, born=40)])
    assert state.upstreams["a"].started_ms == 50


def test_entry_that_becomes_malformed_is_removed(
    state: cluster_state.ClusterState,
) -> None:
    """A malformed entry, e.g. of another writer, is removed; others stay."""
    state.apply([_make_server_item("a", 2), _make_server_item("b", 3)])
    state.apply([object_store.Item("servers/a", 4, b'{"State": 7}')])
    assert set(state.upstreams) == {"b"}


def test_announced_versions_only_increase(
    state: cluster_state.ClusterState,
) -> None:
    """An older announcement that arrives late is ignored."""
    for revision, version in ((2, 3), (3, 2)):
        value = {"Model": "m", "Adapter": "a", "Version": version}
        key = "versions/m.a"
        state.apply(
            [object_store.Item(key, revision, json.dumps(value).encode())]
        )
    assert state.versions == {("m", "a"): 3}
