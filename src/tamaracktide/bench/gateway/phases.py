"""Phases of load: many calls in progress, or one call at each period."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import os

import anyio

from tamaracktide.bench.gateway import paths
from tamaracktide.bench.gateway import processor
from tamaracktide.bench.gateway import sending
from tamaracktide.bench.gateway import settings as bench_settings

READ_WAIT_S = 0.05
FIRST_TOKEN_TOKENS = 4

Send = Callable[[], Awaitable[sending.Sample]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Phase:
    """What one phase measured.

    Attributes:
        samples: Answers that ended within the phase.
        tokens: Streamed tokens that arrived within the phase.
        duration_s: Its duration.
        gateway_processor_s: Processor time of the gateway.
        client_processor_s: Processor time of this process.
    """

    samples: tuple[sending.Sample, ...]
    tokens: int
    duration_s: float
    gateway_processor_s: float
    client_processor_s: float


class Phases:
    """Runs phases of one benchmark."""

    def __init__(
        self,
        settings: bench_settings.GatewayBenchSettings,
        sender: sending.Sender,
    ) -> None:
        """Builds the phases of a run."""
        self._settings = settings
        self._sender = sender

    async def saturate_short(self, path: paths.Path) -> Phase:
        """Keeps short requests in progress."""
        tokens = bench_settings.SHORT_TOKENS

        async def send() -> sending.Sample:
            call = path.make_call(tokens, stream=False)
            return await self._sender.send_short(call)

        return await self._saturate(
            send, self._settings.requests, sending.Counter()
        )

    async def saturate_streams(self, path: paths.Path) -> Phase:
        """Keeps streams in progress."""
        tokens = self._settings.stream_tokens
        counter = sending.Counter()

        async def send() -> sending.Sample:
            call = path.make_call(tokens, stream=True)
            return await self._sender.send_stream(call, counter, READ_WAIT_S)

        return await self._saturate(send, self._settings.streams, counter)

    async def pace(
        self, ways: Sequence[paths.Path], period_s: float
    ) -> list[list[sending.Sample]]:
        """Starts a stream on each way in turn; returns samples by way.

        Args:
            ways: The ways.
            period_s: Time between two starts on one way.
        """
        samples: list[list[sending.Sample]] = [[] for _ in ways]
        counter = sending.Counter()

        async def send(index: int) -> None:
            call = ways[index].make_call(FIRST_TOKEN_TOKENS, stream=True)
            samples[index].append(await self._sender.send_stream(call, counter))

        start_at = anyio.current_time()
        count = max(1, int(self._settings.seconds / period_s)) * len(ways)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                await anyio.sleep_until(
                    start_at + number * period_s / len(ways)
                )
                tasks.start_soon(send, number % len(ways))
        return samples

    async def _saturate(
        self, send: Send, concurrency: int, counter: sending.Counter
    ) -> Phase:
        """Keeps calls in progress; the first fifth is not counted."""
        samples: list[sending.Sample] = []

        async def repeat() -> None:
            while True:
                sample = await send()
                samples.append(sample)
                if not sample.whole:
                    await anyio.sleep(READ_WAIT_S)

        async with anyio.create_task_group() as tasks:
            for _ in range(concurrency):
                tasks.start_soon(repeat)
            await anyio.sleep(self._settings.seconds * 0.2)
            first, tokens = len(samples), counter.tokens
            started_at, used = anyio.current_time(), self._read_processor()
            await anyio.sleep(self._settings.seconds * 0.8)
            now, spent = anyio.current_time(), self._read_processor()
            phase = Phase(
                samples=tuple(samples[first:]),
                tokens=counter.tokens - tokens,
                duration_s=now - started_at,
                gateway_processor_s=spent[0] - used[0],
                client_processor_s=spent[1] - used[1],
            )
            tasks.cancel_scope.cancel()
        return phase

    def _read_processor(self) -> tuple[float, float]:
        return (
            processor.read_processor_s(self._settings.gateway_pid),
            processor.read_processor_s(os.getpid()),
        )
