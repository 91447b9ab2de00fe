"""Tests of suspects and quarantine."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from tamaracktide.core import quarantine

LIMITS = quarantine.QuarantineSettings(
    suspect_s=100.0,
    quarantine_s=60.0,
    told_s=10.0,
    max_suspects=8,
    max_quarantined=4,
)


def test_suspect_that_completes_alone_is_cleared() -> None:
    """Completing beside others proves nothing."""
    known = quarantine.Quarantine(LIMITS)
    known.record_loss("a", False, 0.0)
    known.record_completion("a", False, 1.0)
    assert known.must_run_alone("a", 1.0)
    known.record_completion("a", True, 2.0)
    assert not known.must_run_alone("a", 2.0)


def test_two_losses_quarantine_only_if_one_was_alone() -> None:
    """A busy engine's other requests may be lost again and again."""
    known = quarantine.Quarantine(LIMITS)
    for number in range(5):
        known.record_loss("a", False, float(number))
    assert not known.is_quarantined("a", 5.0)
    known.record_loss("a", True, 6.0)
    assert known.is_quarantined("a", 6.0)
    assert not known.must_run_alone("a", 6.0)


def test_loss_alone_counts_as_the_second_one() -> None:
    """Another scheduler saw the first, or it would not have run alone."""
    known = quarantine.Quarantine(LIMITS)
    known.record_loss("a", True, 0.0)
    assert known.is_quarantined("a", 0.0)


def test_verdicts_age_and_are_told_for_a_shorter_time() -> None:
    """Two peers that tell each other do not keep a verdict alive."""
    first = quarantine.Quarantine(LIMITS)
    second = quarantine.Quarantine(LIMITS)
    first.record_loss("a", True, 0.0)
    now = 0.0
    while now < 200.0:
        second.apply_quarantined(first.list_announced(now), now)
        first.apply_quarantined(second.list_announced(now), now)
        now += 1.0
    assert not first.is_quarantined("a", now)
    assert not second.is_quarantined("a", now)


def test_request_without_a_fingerprint_is_never_refused() -> None:
    """A peer that tells an empty one quarantines nobody."""
    known = quarantine.Quarantine(LIMITS)
    known.apply_quarantined([""], 0.0)
    assert not known.is_quarantined("", 0.0)


def test_what_is_kept_and_told_is_bounded() -> None:
    """The newest verdicts win."""
    known = quarantine.Quarantine(LIMITS)
    known.apply_quarantined((f"f{number}" for number in range(100)), 0.0)
    assert known.list_announced(0.0) == ("f96", "f97", "f98", "f99")


@given(
    culprits=strategies.sets(strategies.integers(0, 7), max_size=2),
    seed=strategies.integers(0, 2**16),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_exactly_the_culprits_end_in_quarantine(
    culprits: set[int], seed: int
) -> None:
    """Whatever runs together, innocents are cleared and culprits caught."""
    rng = random.Random(seed)
    known = quarantine.Quarantine(LIMITS)
    waiting = [number for number in range(8) for _ in range(3)]
    losses = dict.fromkeys(range(8), 0)
    now = 0.0
    while waiting:
        now += 0.1
        rng.shuffle(waiting)
        batch = waiting[: rng.randint(1, 4)]
        alone = [n for n in batch if known.must_run_alone(str(n), now)]
        batch = alone[:1] or batch
        running = {n for n in batch if not known.is_quarantined(str(n), now)}
        for number in batch:
            waiting.remove(number)
        crashed = bool(culprits.intersection(running))
        is_alone = len(alone) > 0
        for number in running:
            if crashed:
                losses[number] += 1
                known.record_loss(str(number), is_alone, now)
                waiting.append(number)
            else:
                known.record_completion(str(number), is_alone, now)
    for number in range(8):
        caught = known.is_quarantined(str(number), now)
        assert caught == (number in culprits)
        if number in culprits:
            assert losses[number] == 2


def test_told_suspect_runs_alone_but_is_not_passed_on() -> None:
    """A peer's suspect is run alone, and its next loss is the second."""
    observer = quarantine.Quarantine(quarantine.QuarantineSettings())
    peer = quarantine.Quarantine(quarantine.QuarantineSettings())
    observer.record_loss("f", alone=False, now=1.0)
    peer.apply_suspects(observer.list_suspects(1.0), 1.5)
    assert peer.must_run_alone("f", 1.5)
    assert peer.list_suspects(1.5) == ()
    peer.record_loss("f", alone=True, now=2.0)
    assert peer.is_quarantined("f", 2.0)


def test_told_suspects_do_not_replace_a_quarantine() -> None:
    """What is quarantined is never a suspect as well."""
    known = quarantine.Quarantine(quarantine.QuarantineSettings())
    known.apply_quarantined(["f"], 1.0)
    known.apply_suspects(["f"], 2.0)
    assert known.is_quarantined("f", 2.0)
    assert not known.must_run_alone("f", 2.0)
