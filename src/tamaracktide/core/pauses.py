"""What reading a prompt costs the streams that run on the same engine."""

LATE_STREAM_COST_S = 0.3
"""Delay of a request that weighs as much as one stream made late by a pause."""


def predict_harm_s(running: int, pause_s: float, max_pause_s: float) -> float:
    """Returns the cost of a pause for the streams that run, seconds.

    Prompts that other instances send meanwhile lengthen the pause, and moments
    in which the engine is slow, so a shorter one is a risk as well.

    Args:
        running: Streams that run on the engine.
        pause_s: Expected time to read the prompts that are sent to it.
        max_pause_s: Longest pause with which a stream is still in time.
    """
    risk = min(1.0, (pause_s / max_pause_s) ** 2)
    return LATE_STREAM_COST_S * running * risk
