"""Tests of the replies of gateways to a new owner."""

from tamaracktide.core import confirmations


def test_every_listed_gateway_must_reply_for_the_epoch() -> None:
    """A reply for an earlier epoch or another upstream does not count."""
    tracker = confirmations.Confirmations()
    tracker.record_response("g1", "i", {"e1": 3})
    tracker.record_response("g2", "i", {"e1": 2, "e2": 3})
    assert tracker.list_missing("e1", 3, ["g3", "g2", "g1"]) == ["g2", "g3"]
    tracker.record_response("g2", "i", {"e1": 4})
    assert tracker.list_missing("e1", 3, ["g1", "g2"]) == []


def test_replies_for_older_epochs_revoke_nothing() -> None:
    """A late reply to an earlier query changes nothing."""
    tracker = confirmations.Confirmations()
    tracker.record_response("g1", "i", {"e1": 3})
    tracker.record_response("g1", "i", {"e1": 2})
    assert tracker.list_missing("e1", 3, ["g1"]) == []


def test_restarted_gateway_must_reply_again() -> None:
    """A new incarnation has lost the epochs that it replied for."""
    tracker = confirmations.Confirmations()
    tracker.record_response("g1", "i", {"e1": 3})
    tracker.record_start("g1", "i")
    assert tracker.list_missing("e1", 3, ["g1"]) == []
    tracker.record_start("g1", "later")
    assert tracker.list_missing("e1", 3, ["g1"]) == ["g1"]


def test_gateway_that_is_no_longer_listed_is_dropped() -> None:
    """A gateway that is listed again must reply again."""
    tracker = confirmations.Confirmations()
    tracker.record_response("g1", "i", {"e1": 3})
    tracker.keep_only(["g2"])
    assert tracker.list_missing("e1", 3, ["g1"]) == ["g1"]


def test_reloaded_names_are_not_inherited() -> None:
    """A name that is reloaded after an unload belongs to the new epoch.

    The first epoch and a new incarnation of the engine inherit nothing.
    """
    inherited = confirmations.InheritedNames()
    inherited.begin(1, "i", ["a"])
    assert not inherited.names
    inherited.begin(2, "i", ["a", "b"])
    inherited.update("i", ["b", "c"])
    inherited.update("i", ["a", "b", "c"])
    assert inherited.names == {"b"}
    inherited.update("later", ["b"])
    assert not inherited.names
