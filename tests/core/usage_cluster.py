"""Instances that keep one usage cap together, without a network.

Reports reach the other instances late; instances can be cut off and restarted.
"""

import collections
from collections.abc import Sequence
import random

from tamaracktide.core import usage_caps
from tamaracktide.core import workspaces

STEP_S = 0.05
REPORT_PERIOD_S = 0.25
REPORT_DELAY_S = 0.5
"""Two steps through relays."""


class UsageCluster:
    """Instances with the same workspace.

    Attributes:
        now: Current time, seconds.
        admitted: Times and amounts of the admitted requests.
        offered: Times and amounts of all requests.
    """

    def __init__(
        self,
        cap: workspaces.Cap,
        tolerance: usage_caps.Tolerance,
        count: int,
        seed: int,
    ) -> None:
        """Starts instances that all hear each other."""
        self.now = 0.0
        self.admitted: list[tuple[float, float]] = []
        self.offered: list[tuple[float, float]] = []
        self._rng = random.Random(seed)
        self._cap = cap
        self._tolerance = tolerance
        self._caps = [self._make_cap() for _ in range(count)]
        self._sides = [0] * count
        self._queue: collections.deque[
            tuple[float, int, int, usage_caps.Usage]
        ] = collections.deque()
        self._report_at = [
            self._rng.uniform(0.0, REPORT_PERIOD_S) for _ in range(count)
        ]
        self._heard: list[dict[int, float]] = [{} for _ in range(count)]
        for heard in self._heard:
            heard.update(dict.fromkeys(range(count), 0.0))

    def _make_cap(self) -> usage_caps.UsageCap:
        return usage_caps.UsageCap(
            self._cap, self._tolerance, self._rng, self.now
        )

    def set_cap(self, cap: workspaces.Cap) -> None:
        """Changes the cap at all instances."""
        self._cap = cap
        for known in self._caps:
            known.set_cap(cap, self.now)

    def cut(self, sides: Sequence[int]) -> None:
        """Cuts instances of different sides off from each other."""
        self._sides = list(sides)

    def restart(self, index: int) -> None:
        """Replaces an instance by a new process."""
        self._caps[index] = self._make_cap()
        self._heard[index] = {index: self.now}

    def run(
        self, seconds: float, rate: float, amount: float, uneven: float = 0.0
    ) -> None:
        """Offers requests at random instances.

        Args:
            seconds: Time to run for.
            rate: Units offered per second.
            amount: Units of a request.
            uneven: Share of the requests that reach the first instance.
        """
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self._exchange()
            mean = rate * STEP_S / amount
            count = int(mean) + (self._rng.random() < mean % 1.0)
            for _ in range(count):
                self._offer(amount, uneven)

    def _offer(self, amount: float, uneven: float) -> None:
        index = self._rng.randrange(len(self._caps))
        if self._rng.random() < uneven:
            index = 0
        self.offered.append((self.now, amount))
        if self._caps[index].admit(amount, self.now):
            self.admitted.append((self.now, amount))

    def _exchange(self) -> None:
        for index, cap in enumerate(self._caps):
            if self.now >= self._report_at[index]:
                self._report_at[index] += REPORT_PERIOD_S
                cap.drop_silent(self.now)
                self._send(index, cap.take_unreported())
        while self._queue and self._queue[0][0] <= self.now:
            _, source, receiver, usage = self._queue.popleft()
            self._caps[receiver].apply_report(str(source), usage, self.now)
            self._heard[receiver][source] = self.now
        for index, cap in enumerate(self._caps):
            oldest = self.now - usage_caps.SOURCE_TIMEOUT_S
            heard = {**self._heard[index], index: self.now}
            count = sum(at >= oldest for at in heard.values())
            cap.set_heard_fraction(count / len(self._caps), self.now)

    def _send(self, index: int, usage: usage_caps.Usage) -> None:
        for receiver in range(len(self._caps)):
            if receiver != index and (
                self._sides[receiver] == self._sides[index]
            ):
                self._queue.append(
                    (self.now + REPORT_DELAY_S, index, receiver, usage)
                )

    def find_largest_window(self, window_s: float) -> float:
        """Returns the most units admitted in any window."""
        largest = total = 0.0
        start = 0
        for at, amount in self.admitted:
            total += amount
            while self.admitted[start][0] <= at - window_s:
                total -= self.admitted[start][1]
                start += 1
            largest = max(largest, total)
        return largest
