"""Tests that the retries of all instances stay within the bound."""

import random

from tamaracktide.core import retry_window

SETTINGS = retry_window.RetryWindowSettings(
    window_s=10.0, fraction=0.2, extra=54.0
)


def test_extra_allowance_is_divided_by_the_instances() -> None:
    """Without requests, an instance may send only its share of the extra."""
    window = retry_window.RetryWindow(SETTINGS)
    sent = sum(window.take(4, 1.0) for _ in range(100))
    assert 1 <= sent <= 54 / 4


def test_retries_are_allowed_again_after_the_window() -> None:
    """A retry that was sent more than a window ago no longer counts."""
    window = retry_window.RetryWindow(SETTINGS)
    while window.take(1, 0.0):
        pass
    assert not window.take(1, 9.0)
    assert window.take(1, 11.0)


def test_every_sliding_window_keeps_the_bound() -> None:
    """Instances that always retry, with uneven load, keep the bound."""
    rng = random.Random(7)
    windows = [retry_window.RetryWindow(SETTINGS) for _ in range(4)]
    requests: list[float] = []
    retries: list[float] = []
    for step in range(6000):
        now = step * 0.01
        window = windows[int(rng.random() ** 2 * 4)]
        if rng.random() < 0.6:
            window.add_request(now)
            requests.append(now)
        if window.take(4, now):
            retries.append(now)
    for start in range(50):
        sent_in_window = [at for at in retries if start <= at < start + 10]
        max_requests = max(
            sum(begin <= at < begin + 10 for at in requests)
            for begin in (start - 10, start - 5, start)
        )
        assert len(sent_in_window) <= 0.2 * max_requests + 54
