"""Processor time and memory of a piece of work in this process."""

from collections.abc import Callable
import gc
import time
import tracemalloc

from tamaracktide.protocol import codec
from tamaracktide.protocol import messages

REFERENCE_ROUNDS = 5000


class ProcessorTime:
    """Adds up the processor time since it was built, seconds."""

    __slots__ = ("_at",)

    def __init__(self) -> None:
        """Starts at zero."""
        self._at = time.process_time()

    @property
    def seconds(self) -> float:
        """Processor time so far."""
        return time.process_time() - self._at


class Memory:
    """Measures the bytes that Python objects hold more than at the start."""

    __slots__ = ("_before",)

    def __init__(self) -> None:
        """Starts tracing."""
        gc.collect()
        tracemalloc.start()
        self._before = tracemalloc.get_traced_memory()[0]

    def stop(self) -> int:
        """Returns the bytes held more and ends the tracing."""
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] - self._before
        tracemalloc.stop()
        return held


def measure_reference_s() -> float:
    """Returns the processor time of one heartbeat's coding and decoding.

    It tells the speed of the machine beside the other figures of a run.
    """
    heartbeat = messages.Heartbeat(sequence=1)

    def code_once() -> None:
        codec.decode_message(codec.encode_message(heartbeat))

    return measure_call_s(code_once, REFERENCE_ROUNDS)


def measure_call_s(call: Callable[[], object], rounds: int) -> float:
    """Returns the mean processor time of a call."""
    spent = ProcessorTime()
    for _ in range(rounds):
        call()
    return spent.seconds / rounds
