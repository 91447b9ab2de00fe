"""Tests of the gateways' answers to a new owner."""

from tamaracktide.core import confirmations


def test_every_listed_gateway_must_answer_for_the_epoch() -> None:
    """An answer for an earlier epoch or another upstream does not count."""
    known = confirmations.Confirmations()
    known.record_answer("g1", "i", {"e1": 3})
    known.record_answer("g2", "i", {"e1": 2, "e2": 3})
    assert known.list_missing("e1", 3, ["g3", "g2", "g1"]) == ["g2", "g3"]
    known.record_answer("g2", "i", {"e1": 4})
    assert known.list_missing("e1", 3, ["g1", "g2"]) == []


def test_answers_for_older_epochs_take_nothing_back() -> None:
    """A late answer to an earlier query changes nothing."""
    known = confirmations.Confirmations()
    known.record_answer("g1", "i", {"e1": 3})
    known.record_answer("g1", "i", {"e1": 2})
    assert known.list_missing("e1", 3, ["g1"]) == []


def test_restarted_gateway_must_answer_again() -> None:
    """A new incarnation has forgotten which epochs are current."""
    known = confirmations.Confirmations()
    known.record_answer("g1", "i", {"e1": 3})
    known.record_start("g1", "i")
    assert known.list_missing("e1", 3, ["g1"]) == []
    known.record_start("g1", "later")
    assert known.list_missing("e1", 3, ["g1"]) == ["g1"]


def test_gateway_that_left_the_list_is_forgotten() -> None:
    """If it is listed again it must answer again."""
    known = confirmations.Confirmations()
    known.record_answer("g1", "i", {"e1": 3})
    known.keep_only(["g2"])
    assert known.list_missing("e1", 3, ["g1"]) == ["g1"]


def test_only_later_epochs_inherit_and_unloaded_names_stay_own() -> None:
    """What is loaded again after an unload belongs to the new epoch."""
    inherited = confirmations.InheritedNames()
    inherited.begin(1, "i", ["a"])
    assert not inherited.names
    inherited.begin(2, "i", ["a", "b"])
    inherited.update("i", ["b", "c"])
    inherited.update("i", ["a", "b", "c"])
    assert inherited.names == {"b"}
    inherited.update("later", ["b"])
    assert not inherited.names
