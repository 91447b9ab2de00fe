"""Learns by how much adapters are loaded later than predicted.

The prediction is a constant, while the weight store takes longer in some
deployments and while many loads are in flight. A request that is sent too early
is rejected and repeated, which costs a share of the retry budget.
"""

MAX_MARGIN_S = 0.1
"""A tenth of the latency that clients want. Adapters are also missing for new
versions and restarted engines, which waiting does not mend."""

LATE_STEP_S = 0.02
"""Increase for a load that was later than expected."""

READY_STEP_S = 0.002
"""Decrease for a load that was not: one request in eleven is sent too early."""


class LoadMargin:
    """Time that requests wait beyond the predicted end of a load.

    Attributes:
        margin_s: The time, seconds.
    """

    __slots__ = ("margin_s",)

    def __init__(self) -> None:
        """Starts by trusting the prediction."""
        self.margin_s = 0.0

    def record_late(self) -> None:
        """Records that an adapter was missing after its load."""
        self.margin_s = min(MAX_MARGIN_S, self.margin_s + LATE_STEP_S)

    def record_ready(self) -> None:
        """Records that an adapter was there after its load."""
        self.margin_s = max(0.0, self.margin_s - READY_STEP_S)
