"""Meters of the CPU time and memory that this process uses."""

from collections.abc import Callable
import gc
import time
import tracemalloc

from tamaracktide.protocol import codec
from tamaracktide.protocol import messages

REFERENCE_ROUNDS = 5000


class CpuTimer:
    """Measures the CPU time of this process since the timer was created."""

    __slots__ = ("_started_s",)

    def __init__(self) -> None:
        """Starts the timer."""
        self._started_s = time.process_time()

    @property
    def seconds(self) -> float:
        """CPU time since the start."""
        return time.process_time() - self._started_s


class MemoryTracer:
    """Measures the growth of the memory that Python objects occupy."""

    __slots__ = ("_start_bytes",)

    def __init__(self) -> None:
        """Starts tracing allocations."""
        gc.collect()
        tracemalloc.start()
        self._start_bytes = tracemalloc.get_traced_memory()[0]

    def stop(self) -> int:
        """Stops tracing and returns the growth since the start, in bytes."""
        gc.collect()
        held_bytes = tracemalloc.get_traced_memory()[0] - self._start_bytes
        tracemalloc.stop()
        return held_bytes


def measure_reference_s() -> float:
    """Returns the CPU time of encoding and decoding one heartbeat.

    It indicates the speed of the machine, so that the figures of different
    runs can be compared.
    """
    heartbeat = messages.Heartbeat(sequence=1)

    def encode_and_decode() -> None:
        codec.decode_message(codec.encode_message(heartbeat))

    return measure_call_s(encode_and_decode, REFERENCE_ROUNDS)


def measure_call_s(call: Callable[[], object], rounds: int) -> float:
    """Returns the mean CPU time of a call."""
    cpu_timer = CpuTimer()
    for _ in range(rounds):
        call()
    return cpu_timer.seconds / rounds
