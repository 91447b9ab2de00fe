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
    """Completing beside other requests does not clear a suspect."""
    tracker = quarantine.Quarantine(LIMITS)
    tracker.record_loss("a", False, 0.0)
    tracker.record_completion("a", False, 1.0)
    assert tracker.must_run_alone("a", 1.0)
    tracker.record_completion("a", True, 2.0)
    assert not tracker.must_run_alone("a", 2.0)


def test_losses_quarantine_only_if_one_was_alone() -> None:
    """Innocent requests on a busy engine may be lost repeatedly."""
    tracker = quarantine.Quarantine(LIMITS)
    for number in range(5):
        tracker.record_loss("a", False, float(number))
    assert not tracker.is_quarantined("a", 5.0)
    tracker.record_loss("a", True, 6.0)
    assert tracker.is_quarantined("a", 6.0)
    assert not tracker.must_run_alone("a", 6.0)


def test_loss_alone_counts_as_the_second_one() -> None:
    """It ran alone only because another scheduler observed an earlier loss."""
    tracker = quarantine.Quarantine(LIMITS)
    tracker.record_loss("a", True, 0.0)
    assert tracker.is_quarantined("a", 0.0)


def test_quarantine_expires_and_is_announced_for_a_shorter_time() -> None:
    """Two peers that announce to each other do not extend a quarantine."""
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
    """An empty fingerprint from a peer quarantines no request."""
    tracker = quarantine.Quarantine(LIMITS)
    tracker.apply_quarantined([""], 0.0)
    assert not tracker.is_quarantined("", 0.0)


def test_tracked_and_announced_requests_are_bounded() -> None:
    """The newest entries are kept."""
    tracker = quarantine.Quarantine(LIMITS)
    tracker.apply_quarantined((f"f{number}" for number in range(100)), 0.0)
    assert tracker.list_announced(0.0) == ("f96", "f97", "f98", "f99")


@given(
    crashing=strategies.sets(strategies.integers(0, 7), max_size=2),
    seed=strategies.integers(0, 2**16),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_exactly_the_crashing_requests_are_quarantined(
    crashing: set[int], seed: int
) -> None:
    """In any batches, only the requests that crash are quarantined."""
    rng = random.Random(seed)
    tracker = quarantine.Quarantine(LIMITS)
    waiting = [number for number in range(8) for _ in range(3)]
    losses = dict.fromkeys(range(8), 0)
    now = 0.0
    while waiting:
        now += 0.1
        rng.shuffle(waiting)
        batch = waiting[: rng.randint(1, 4)]
        alone = [n for n in batch if tracker.must_run_alone(str(n), now)]
        batch = alone[:1] or batch
        running = {n for n in batch if not tracker.is_quarantined(str(n), now)}
        for number in batch:
            waiting.remove(number)
        crashed = bool(crashing.intersection(running))
        is_alone = len(alone) > 0
        for number in running:
            if crashed:
                losses[number] += 1
                tracker.record_loss(str(number), is_alone, now)
                waiting.append(number)
            else:
                tracker.record_completion(str(number), is_alone, now)
    for number in range(8):
        was_quarantined = tracker.is_quarantined(str(number), now)
        assert was_quarantined == (number in crashing)
        if number in crashing:
            assert losses[number] == 2


def test_announced_suspect_runs_alone_but_is_not_announced_again() -> None:
    """A peer's suspect runs alone, and its next loss is the second."""
    observer = quarantine.Quarantine(quarantine.QuarantineSettings())
    peer = quarantine.Quarantine(quarantine.QuarantineSettings())
    observer.record_loss("f", alone=False, now=1.0)
    peer.apply_suspects(observer.list_suspects(1.0), 1.5)
    assert peer.must_run_alone("f", 1.5)
    assert peer.list_suspects(1.5) == ()
    peer.record_loss("f", alone=True, now=2.0)
    assert peer.is_quarantined("f", 2.0)


def test_announced_suspects_do_not_replace_a_quarantine() -> None:
    """A quarantined request is never also a suspect."""
    tracker = quarantine.Quarantine(quarantine.QuarantineSettings())
    tracker.apply_quarantined(["f"], 1.0)
    tracker.apply_suspects(["f"], 2.0)
    assert tracker.is_quarantined("f", 2.0)
    assert not tracker.must_run_alone("f", 2.0)
