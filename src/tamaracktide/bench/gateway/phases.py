"""Load phases with constant concurrency or a constant request rate."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import os

import anyio

from tamaracktide.bench.gateway import call_factories
from tamaracktide.bench.gateway import processor
from tamaracktide.bench.gateway import sending
from tamaracktide.bench.gateway import settings as bench_settings

READ_PAUSE_S = 0.05
PACED_STREAM_TOKENS = 4

SendCall = Callable[[], Awaitable[sending.Sample]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PhaseResult:
    """The measurements of one phase.

    Attributes:
        samples: Responses that ended within the phase.
        tokens: Streamed tokens that arrived within the phase.
        duration_s: Duration of the phase.
        gateway_processor_s: CPU time of the gateway.
        client_processor_s: CPU time of this process.
    """

    samples: tuple[sending.Sample, ...]
    tokens: int
    duration_s: float
    gateway_processor_s: float
    client_processor_s: float


class PhaseRunner:
    """Runs the load phases of one benchmark."""

    def __init__(
        self,
        settings: bench_settings.GatewayBenchSettings,
        sender: sending.Sender,
    ) -> None:
        """Initializes the runner with a sender of calls."""
        self._settings = settings
        self._sender = sender

    async def saturate_short(
        self, call_factory: call_factories.CallFactory
    ) -> PhaseResult:
        """Keeps a constant number of short requests in flight."""
        tokens = bench_settings.SHORT_TOKENS

        async def send() -> sending.Sample:
            call = call_factory.make_call(tokens, stream=False)
            return await self._sender.send_short(call)

        return await self._saturate(
            send, self._settings.requests, sending.TokenCounter()
        )

    async def saturate_streams(
        self, call_factory: call_factories.CallFactory
    ) -> PhaseResult:
        """Keeps a constant number of streams in flight."""
        tokens = self._settings.stream_tokens
        counter = sending.TokenCounter()

        async def send() -> sending.Sample:
            call = call_factory.make_call(tokens, stream=True)
            return await self._sender.send_stream(call, counter, READ_PAUSE_S)

        return await self._saturate(send, self._settings.streams, counter)

    async def pace(
        self, factories: Sequence[call_factories.CallFactory], period_s: float
    ) -> list[list[sending.Sample]]:
        """Starts streams at a constant rate, from each factory in turn.

        Args:
            factories: Factories of the calls.
            period_s: Time between two starts from the same factory.

        Returns:
            The samples of each factory.
        """
        samples: list[list[sending.Sample]] = [[] for _ in factories]
        counter = sending.TokenCounter()

        async def send(index: int) -> None:
            call = factories[index].make_call(PACED_STREAM_TOKENS, stream=True)
            samples[index].append(await self._sender.send_stream(call, counter))

        start_at = anyio.current_time()
        count = max(1, int(self._settings.seconds / period_s)) * len(factories)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                await anyio.sleep_until(
                    start_at + number * period_s / len(factories)
                )
                tasks.start_soon(send, number % len(factories))
        return samples

    async def _saturate(
        self, send: SendCall, concurrency: int, counter: sending.TokenCounter
    ) -> PhaseResult:
        """Keeps calls in flight; the first fifth of the time is not counted."""
        samples: list[sending.Sample] = []

        async def send_repeatedly() -> None:
            while True:
                sample = await send()
                samples.append(sample)
                if not sample.complete:
                    await anyio.sleep(READ_PAUSE_S)

        async with anyio.create_task_group() as tasks:
            for _ in range(concurrency):
                tasks.start_soon(send_repeatedly)
            await anyio.sleep(self._settings.seconds * 0.2)
            first_index, tokens = len(samples), counter.tokens
            started_at, processor_before_s = (
                anyio.current_time(),
                self._read_processor(),
            )
            await anyio.sleep(self._settings.seconds * 0.8)
            now, processor_after_s = (
                anyio.current_time(),
                self._read_processor(),
            )
            phase = PhaseResult(
                samples=tuple(samples[first_index:]),
                tokens=counter.tokens - tokens,
                duration_s=now - started_at,
                gateway_processor_s=processor_after_s[0]
                - processor_before_s[0],
                client_processor_s=processor_after_s[1] - processor_before_s[1],
            )
            tasks.cancel_scope.cancel()
        return phase

    def _read_processor(self) -> tuple[float, float]:
        return (
            processor.read_processor_s(self._settings.gateway_pid),
            processor.read_processor_s(os.getpid()),
        )
