"""Tests of the instance list, digests and loads sent to peers."""

import pytest

from tamaracktide.object_api import instances
from tamaracktide.peering import instance_list
from tamaracktide.peering import update_filters
from tamaracktide.protocol import messages
from tamaracktide.protocol import peer_messages


def make_listing(version: int, *names: str) -> instances.InstanceListing:
    """Returns a list of schedulers as the platform's response has it."""
    return instances.InstanceListing(
        version,
        tuple(instances.Instance(n, "scheduler", "z1", "a:1") for n in names),
    )


def forward_list(
    source: instance_list.InstanceList,
    target: instance_list.InstanceList,
    now: float,
) -> bool:
    """Has `target` fetch the list of `source`."""
    fetch = peer_messages.InstancesFetch(fetch_id="f", version=target.version)
    return target.offer_reply(source.make_reply(fetch, now), now)


def test_newer_list_is_forwarded_with_its_age() -> None:
    """The fetched list is as old as it was at the peer."""
    source, target = instance_list.InstanceList(), instance_list.InstanceList()
    assert source.offer_listing(make_listing(3, "s1"), 10.0)
    assert forward_list(source, target, 14.0)
    assert (target.version, target.confirmed_at) == (3, 10.0)
    assert target.instances == source.instances
    assert not forward_list(source, target, 15.0)


@pytest.mark.parametrize("version", [0, 2, 3])
def test_older_list_never_replaces_a_newer_one(version: int) -> None:
    """Neither from a peer nor from a store that returns an old version."""
    old, current_list = (
        instance_list.InstanceList(),
        instance_list.InstanceList(),
    )
    current_list.offer_listing(make_listing(3, "s1", "s2"), 0.0)
    old.offer_listing(make_listing(version, "s9"), 1.0)
    assert not current_list.offer_listing(make_listing(version, "s9"), 1.0)
    fetch = peer_messages.InstancesFetch(fetch_id="f")
    assert not current_list.offer_reply(old.make_reply(fetch, 1.0), 1.0)
    assert [instance.id for instance in current_list.instances] == ["s1", "s2"]


def test_process_without_a_list_forwards_nothing() -> None:
    """A fetch between two processes without a list changes nothing."""
    source, target = instance_list.InstanceList(), instance_list.InstanceList()
    assert not forward_list(source, target, 0.0)
    assert (target.version, target.instances) == (-1, ())


def test_reply_without_entries_never_empties_the_list() -> None:
    """A late reply to another fetch is not applied as an empty list."""
    current_list = instance_list.InstanceList()
    current_list.offer_listing(make_listing(3, "s1"), 0.0)
    reply = peer_messages.InstancesReply(fetch_id="f", version=5)
    assert not current_list.offer_reply(reply, 1.0)
    assert current_list.version == 3


def test_long_list_is_polled_less_often() -> None:
    """Polling takes a bounded rate per node, whatever the list's length."""
    assert instance_list.find_poll_period_s(5.0, 20) == 5.0
    period_s = instance_list.find_poll_period_s(5.0, 1260)
    assert 1260 * instance_list.ENTRY_BYTES / period_s <= 1024.0


def test_digest_is_sent_on_a_change_with_changed_epochs_only() -> None:
    """Unchanged digests are sent again only after the refresh time."""
    digest_filter = update_filters.DigestFilter(20.0)
    first = messages.Digest(revision=1, epochs={"e1": 1, "e2": 1})
    assert digest_filter.next(first, 0.0) == first
    assert digest_filter.next(first, 19.0) is None
    later = messages.Digest(revision=1, epochs={"e1": 1, "e2": 2})
    sent = digest_filter.next(later, 19.5)
    assert sent == messages.Digest(revision=1, epochs={"e2": 2})
    assert digest_filter.next(later, 20.0) == later


def test_loads_are_sent_when_they_differ_by_a_tenth_of_the_capacity() -> None:
    """Small changes wait for the refresh; a first queued request does not."""
    load_filter = update_filters.LoadFilter(5.0)

    def make_load(running: int, waiting: int = 0) -> messages.CellLoad:
        return messages.CellLoad(
            pool="p", zone="z", running=running, capacity=40, waiting=waiting
        )

    assert load_filter.next([make_load(10)], 0.0) == (make_load(10),)
    assert load_filter.next([make_load(13)], 1.0) == ()
    assert load_filter.next([make_load(14)], 2.0) == (make_load(14),)
    assert load_filter.next([make_load(14, 1)], 3.0) == (make_load(14, 1),)
    assert load_filter.next([make_load(14, 1)], 7.9) == ()
    assert load_filter.next([make_load(14, 1)], 8.0) == (make_load(14, 1),)
