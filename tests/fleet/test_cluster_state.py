"""Tests that cluster state never regresses and survives store outages."""

import dataclasses
import json

import fleet_cluster
import pytest

from fleet import adapter
from tamaracktide.core import catch_up
from tamaracktide.core import departures
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


def _make_upstream_item(
    name: str, revision: int, era: int, state: str = "ready", born: int = 1
) -> object_store.Item:
    item = _make_server_item(name, revision, born)
    assert item.value is not None
    entry = json.loads(item.value) | {"State": state}
    value = json.dumps(entry).encode()
    return dataclasses.replace(item, value=value, era=era)


def _restore(
    state: cluster_state.ClusterState, *items: object_store.Item
) -> None:
    """Lists the store after its restoration; the era is that of the items."""
    era, version = items[0].era, max(item.version for item in items)
    for prefix in ("config/", "servers/"):
        listed = tuple(item for item in items if item.key.startswith(prefix))
        state.apply_listing(
            prefix, object_store.Items(version, listed, era=era)
        )


def test_document_of_a_restored_store_applies_at_a_lower_revision(
    state: cluster_state.ClusterState,
) -> None:
    """Guards against manifests that are ignored after a restoration."""
    documents = {
        version: dataclasses.replace(
            _make_document_item(version, revision), era=era
        )
        for version, revision, era in ((7, 50, 1), (8, 31, 2))
    }
    state.apply([documents[7]])
    state.apply([documents[8]])
    assert _get_version(state) == 8


def test_version_of_the_document_never_goes_back_with_the_store(
    state: cluster_state.ClusterState,
) -> None:
    """A restored store has an older document until the operator writes."""
    state.apply([dataclasses.replace(_make_document_item(7, 50), era=1)])
    _restore(state, dataclasses.replace(_make_document_item(5, 20), era=2))
    assert _get_version(state) == 7
    state.apply([dataclasses.replace(_make_document_item(8, 21), era=2)])
    assert _get_version(state) == 8


def test_document_and_weights_that_the_store_lost_apply_from_a_peer(
    state: cluster_state.ClusterState,
) -> None:
    """Guards against a start that goes back to the copy (CONFIG, VERSION)."""
    version = json.dumps({"Model": "m", "Adapter": "a", "Version": 3}).encode()
    _restore(state, dataclasses.replace(_make_document_item(5, 20), era=2))
    lost = [
        dataclasses.replace(_make_document_item(7, 50), era=1),
        object_store.Item("versions/m.a", 51, version, era=1),
    ]
    assert state.apply(lost) == lost
    assert _get_version(state) == 7
    assert state.versions == {("m", "a"): 3}
    assert state.apply(lost) == []
    assert state.find_versions().documents == 20


def test_lost_objects_are_listed_until_they_are_written_again(
    state: cluster_state.ClusterState,
) -> None:
    """Nothing is lost before the restored store has been listed."""
    state.apply([dataclasses.replace(_make_document_item(7, 50), era=1)])
    state.observe_era(2)
    assert state.list_lost() == []
    _restore(state, dataclasses.replace(_make_document_item(5, 20), era=2))
    assert [item.version for item in state.list_lost()] == [50]
    state.apply([dataclasses.replace(_make_document_item(7, 21), era=2)])
    assert state.list_lost() == []
    # A peer sends what it has in force before it learns of the new object.
    state.apply([dataclasses.replace(_make_document_item(7, 50), era=1)])
    assert state.list_lost() == []


def test_drain_and_weights_written_after_a_restoration_are_in_force(
    state: cluster_state.ClusterState,
) -> None:
    """Their revisions are below those known before it."""
    version = {"Model": "m", "Adapter": "a", "Version": 4}
    state.apply([_make_upstream_item("a", 60, era=1)])
    state.apply([object_store.Item("versions/m.b", 61, b"{}", era=1)])
    state.apply(
        [
            _make_upstream_item("a", 41, era=2, state="draining"),
            object_store.Item(
                "versions/m.a", 42, json.dumps(version).encode(), era=2
            ),
        ]
    )
    assert state.upstreams["a"].leaving
    assert state.versions == {("m", "a"): 4}


def test_objects_of_an_earlier_era_are_ignored(
    state: cluster_state.ClusterState,
) -> None:
    """A peer that lags behind sends what it read before the restoration."""
    state.apply([_make_upstream_item("a", 20, era=2, state="draining")])
    state.apply([_make_upstream_item("a", 90, era=1)])
    state.apply_listing("servers/", object_store.Items(90, era=1))
    assert state.upstreams["a"].leaving
    assert "servers/" not in state.listed


def test_objects_without_an_era_count_as_of_the_current_one(
    state: cluster_state.ClusterState,
) -> None:
    """Instances of earlier builds send none."""
    state.apply([_make_upstream_item("a", 20, era=2)])
    state.apply([_make_upstream_item("a", 21, era=0, state="draining")])
    assert state.upstreams["a"].leaving
    assert state.list_newer(catch_up.StoreVersions(era=2, upstreams=20))


def test_peer_of_an_earlier_era_lacks_every_object_of_the_current_one(
    state: cluster_state.ClusterState,
) -> None:
    """Its revisions say nothing; a peer of a later era lacks nothing."""
    state.apply([_make_upstream_item("a", 50, era=1)])
    state.apply([_make_upstream_item("b", 20, era=2)])
    known = catch_up.StoreVersions(era=1, upstreams=70)
    assert [item.key for item in state.list_newer(known)] == ["servers/b"]
    assert state.list_newer(dataclasses.replace(known, era=3)) == []
    assert state.find_versions() == catch_up.StoreVersions(era=2, upstreams=20)


def test_upstream_missing_from_a_restored_store_is_kept_until_it_can_return(
    state: cluster_state.ClusterState, clock: _Clock
) -> None:
    """Upstreams that registered after the copy write their entries again."""
    state.apply(
        [_make_upstream_item("a", 50, era=1), _make_upstream_item("b", 51, 1)]
    )
    _restore(state, _make_upstream_item("c", 20, era=2))
    assert set(state.upstreams) == {"a", "b", "c"}
    state.apply([_make_upstream_item("a", 21, era=2)])
    clock.now += cluster_state.ENTRY_RESTORE_S + 0.1
    state.drop_lapsed()
    assert set(state.upstreams) == {"a", "c"}


@pytest.mark.parametrize("was_removed", [False, True])
def test_upstream_that_left_stays_out_of_use_in_a_restored_store(
    state: cluster_state.ClusterState, clock: _Clock, was_removed: bool
) -> None:
    """Guards against requests to it: the copy shows it as ready."""
    if was_removed:
        state.apply([_make_upstream_item("a", 50, era=1)])
        state.apply([object_store.Item("servers/a", 51, None, era=1)])
    else:
        state.apply([_make_upstream_item("a", 50, era=1, state="draining")])
    _restore(state, _make_upstream_item("a", 20, era=2))
    assert state.upstreams["a"].leaving
    clock.now += departures.HOLD_S + 0.1
    state.drop_lapsed()
    assert not state.upstreams["a"].leaving


def test_new_incarnation_in_a_restored_store_is_used_at_once(
    state: cluster_state.ClusterState,
) -> None:
    """An upstream that restarted meanwhile is another one."""
    state.apply([_make_upstream_item("a", 50, era=1, state="draining")])
    _restore(state, _make_upstream_item("a", 20, era=2, born=7))
    assert not state.upstreams["a"].leaving


def test_change_of_the_era_is_announced_once(
    state: cluster_state.ClusterState,
) -> None:
    """The first era that an instance learns of is no change."""
    eras: list[int] = []
    state.listen_for_eras(eras.append)
    for era in (1, 1, 2, 1, 2, 4):
        state.observe_era(era)
    assert (eras, state.era, state.era_changes) == ([2, 4], 4, 2)


def test_first_restoration_of_a_store_that_starts_at_era_zero_is_a_change(
    state: cluster_state.ClusterState,
) -> None:
    """The store names no era, or 0, before it; a peer's 0 says nothing."""
    eras: list[int] = []
    state.listen_for_eras(eras.append)
    state.apply([_make_server_item("a", 2)])
    state.observe_era(0)
    assert (eras, state.era) == ([], 0)
    state.observe_era(1)
    assert (eras, state.era) == ([1], 1)


def test_instance_missing_from_a_restored_store_is_kept(
    state: cluster_state.ClusterState,
) -> None:
    """It registers again; one that is removed later in the era is gone."""
    prefix = "tamaracktide-instances/"
    known = [
        object_store.Item(prefix + name, 50, b'{"ip": "10.0.0.1"}', 1)
        for name in ("n1", "n2")
    ]
    state.apply(known)
    state.apply_listing(prefix, object_store.Items(20, (), era=2))
    assert set(state.instances) == {"n1", "n2"}
    state.apply([dataclasses.replace(known[0], version=21, era=2)])
    state.apply_listing(prefix, object_store.Items(22, (), era=2))
    assert set(state.instances) == {"n2"}
