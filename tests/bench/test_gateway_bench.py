"""Tests of the gateway benchmark's phases and figures."""

from collections.abc import AsyncIterator
import itertools
import os

import anyio
import anyio.abc
import pytest

from tamaracktide.bench.gateway import figures
from tamaracktide.bench.gateway import paths
from tamaracktide.bench.gateway import phases
from tamaracktide.bench.gateway import processor
from tamaracktide.bench.gateway import sending
from tamaracktide.bench.gateway import settings as bench_settings
from tamaracktide.upstreams import settings as upstream_settings
from tamaracktide.upstreams import streams

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKENS = 4


@pytest.fixture
def anyio_backend() -> str:
    """The product runs on asyncio."""
    return "asyncio"


def make_settings(address: str) -> bench_settings.GatewayBenchSettings:
    """Returns settings of a short run."""
    return bench_settings.GatewayBenchSettings(
        target=address,
        engines=(address,),
        key_secret="secret",
        engine_token="token",
        gateway_pid=0,
        seconds=0.1,
        requests=2,
        streams=2,
        stream_tokens=TOKENS,
    )


async def answer(stream: anyio.abc.SocketStream) -> None:
    """Streams four events, cut between the line feeds that end one."""
    async with stream:
        try:
            while True:
                await stream.receive()
                await stream.send(HEAD)
                whole = b"data: {}\n\n" * TOKENS + b"data: [DONE]\n\n"
                for part in (whole[:9], whole[9:25], whole[25:]):
                    await stream.send(b"%x\r\n%s\r\n" % (len(part), part))
                    await anyio.sleep(0)
                await stream.send(b"0\r\n\r\n")
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return


@pytest.fixture
async def runner(anyio_backend: str) -> AsyncIterator[phases.Phases]:
    """Phases of a short run."""
    del anyio_backend
    upstreams = upstream_settings.UpstreamSettings()
    async with streams.StreamCaller(upstreams) as caller:
        yield phases.Phases(make_settings(""), sending.Sender(caller))


@pytest.fixture
async def way(anyio_backend: str) -> AsyncIterator[paths.EnginePath]:
    """The way to a server that streams."""
    del anyio_backend
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=0
    )
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    address = f"127.0.0.1:{port}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        yield paths.EnginePath(
            make_settings(address), [paths.Loaded(address, "lora-1")]
        )
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_paced_streams_are_whole(
    runner: phases.Phases, way: paths.EnginePath
) -> None:
    """Each way gets the same count, and each token counts once."""
    samples = await runner.pace((way, way), 0.02)
    assert [len(one) for one in samples] == [5, 5]
    for sample in itertools.chain.from_iterable(samples):
        assert sample.whole
        assert sample.tokens == TOKENS
        assert sample.first_token_s > 0


@pytest.mark.anyio
async def test_saturation_counts_what_ended(
    runner: phases.Phases, way: paths.EnginePath
) -> None:
    """Both kinds of load go on until the phase is over."""
    short = await runner.saturate_short(way)
    streamed = await runner.saturate_streams(way)
    assert all(one.whole for one in (*short.samples, *streamed.samples))
    assert short.samples
    assert streamed.tokens > 0


def make_phase(count: int, tokens: int, spent_s: float) -> phases.Phase:
    """Returns a phase of two seconds."""
    return phases.Phase(
        samples=(sending.Sample(0.1, 0, whole=True),) * count,
        tokens=tokens,
        duration_s=2.0,
        gateway_processor_s=spent_s,
        client_processor_s=0.5,
    )


def test_figures_compare_the_two_ways() -> None:
    """Rates, differences, ratios and costs follow from the phases."""
    slow = [sending.Sample(0.03 + i / 1e4, 4, whole=True) for i in range(100)]
    fast = [sending.Sample(0.02, 4, whole=True)] * 100
    broken = sending.Sample(0.0, 0, whole=False, fault="503")
    found = figures.make_figures(
        figures.Measured(
            short=make_phase(200, 0, 1.0),
            direct_short=make_phase(400, 0, 0.0),
            streams=make_phase(0, 1000, 1.5),
            direct_streams=make_phase(0, 2000, 0.0),
            paced=[*slow, broken],
            direct_paced=fast,
            period_s=0.1,
        )
    )
    assert found.added_first_token_p50_s == pytest.approx(0.015)
    assert found.added_first_token_p99_s == pytest.approx(0.0199)
    assert (found.short_requests_per_s, found.short_ratio) == (100.0, 0.5)
    assert (found.tokens_per_s, found.tokens_ratio) == (500, 0.5)
    assert found.gateway_s_per_token == pytest.approx(0.0015)
    assert found.cost_ratio == pytest.approx(6.0)
    assert (found.failed, found.fault) == (1, "503")


def test_processor_time_is_read() -> None:
    """The kernel's accounts of this process grow; none is zero."""
    assert processor.read_processor_s(os.getpid()) >= 0
    assert processor.read_processor_s(0) == 0
