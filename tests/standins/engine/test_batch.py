"""Tests of the stand-in engine's components that perform no I/O."""

import json
import random

import xxhash

from tamaracktide.core import rows
from tamaracktide.standins.engine import adapters
from tamaracktide.standins.engine import batch
from tamaracktide.standins.engine import cache
from tamaracktide.standins.engine import runtime
from tamaracktide.standins.engine import settings as engine_settings
from tamaracktide.standins.engine import streams

_KEY = rows.AdapterKey("ada", "3")
_OTHER_KEY = rows.AdapterKey("ada", "4")


def make_stream(
    name: str, tokens: int = 2, priority: int = 0
) -> streams.Stream:
    """Returns a stream whose first token is ready after 1 s."""
    return streams.Stream(
        request_id=name,
        incarnation="i1",
        lora_name="l1",
        key=_KEY,
        prompt_hash=streams.hash_prompt("hello"),
        prompt_tokens=2,
        max_tokens=tokens,
        priority=priority,
        first_token_s=1.0,
    )


def test_batch_runs_up_to_its_limit_by_priority() -> None:
    """Queued streams start as others finish, lower priority values first."""
    engine_batch = batch.Batch(limit=1)
    first, low, high = (
        make_stream("first"),
        make_stream("low", priority=5),
        make_stream("high", priority=1),
    )
    for stream in (first, low, high):
        engine_batch.submit(stream, now=0.0)
    assert engine_batch.step(0.5) == []
    assert first.generated == 0
    assert engine_batch.step(1.0) == []
    assert engine_batch.step(1.1) == [first]
    assert engine_batch.running == [high]
    assert engine_batch.waiting == [low]
    assert first.finish_reason == streams.FinishReason.LENGTH


def test_cancelling_frees_batch_capacity() -> None:
    """A cancelled stream is removed and the next queued one starts."""
    engine_batch = batch.Batch(limit=1)
    first, second, third = (make_stream(n) for n in ("a", "b", "c"))
    for stream in (first, second, third):
        engine_batch.submit(stream, now=0.0)
    engine_batch.cancel(second, now=0.0)
    engine_batch.cancel(first, now=0.0)
    assert engine_batch.running == [third]
    assert engine_batch.waiting == []
    assert first.finish_reason == streams.FinishReason.CANCELLED


def test_chunks_contain_one_token_each() -> None:
    """The last chunk contains the finish reason and the usage."""
    stream = make_stream("r")
    stream.generate()
    stream.generate()
    digits = xxhash.xxh64_hexdigest(b"hello")[:8]
    chunks = []
    for index in range(2):
        event = stream.render_chunk(index).decode()
        name, data = event.rstrip("\n").split("\n")
        assert name == f"id: {index}"
        chunks.append(json.loads(data.removeprefix("data: ")))
    texts = [chunk["choices"][0]["text"] for chunk in chunks]
    assert texts == [f"ada@3:{digits}:0 ", f"ada@3:{digits}:1 "]
    assert {chunk["model"] for chunk in chunks} == {"l1"}
    assert {chunk["system_fingerprint"] for chunk in chunks} == {"i1"}
    assert chunks[0]["choices"][0]["finish_reason"] is None
    assert chunks[1]["choices"][0]["finish_reason"] == "length"
    assert chunks[1]["usage"]["completion_tokens"] == 2


def test_slots_are_limited_and_names_unique() -> None:
    """A load occupies its slot; a name refers to one adapter only."""
    slots = adapters.AdapterSlots(1)
    assert slots.begin_load("l1", _KEY) is adapters.LoadStartResult.RESERVED
    assert slots.find("l1") is None
    assert slots.begin_load("l1", _KEY) is adapters.LoadStartResult.IN_PROGRESS
    assert slots.begin_load("l2", _KEY) is adapters.LoadStartResult.NO_FREE_SLOT
    slots.end_load("l1", loaded=True)
    assert (
        slots.begin_load("l1", _KEY) is adapters.LoadStartResult.ALREADY_LOADED
    )
    assert (
        slots.begin_load("l1", _OTHER_KEY)
        is adapters.LoadStartResult.NAME_TAKEN
    )


def test_adapter_in_use_is_not_unloaded() -> None:
    """An adapter can be unloaded only while no request uses it."""
    slots = adapters.AdapterSlots(1)
    slots.begin_load("l1", _KEY)
    assert slots.unload("l1") is adapters.UnloadResult.NOT_LOADED
    slots.end_load("l1", loaded=True)
    adapter = slots.find("l1")
    assert adapter is not None
    adapter.running = 1
    assert slots.unload("l1") is adapters.UnloadResult.IN_USE
    adapter.running = 0
    assert slots.unload("l1") is adapters.UnloadResult.DONE
    assert slots.list_loaded() == []


def test_cache_events_are_delayed_and_numbered() -> None:
    """Events are visible after the lag; eviction order is LRU."""
    prefixes = cache.PrefixCache(2, 1.0, 0.0, random.Random(1))
    assert not prefixes.use("a", 0.0)
    assert not prefixes.use("b", 0.0)
    assert prefixes.use("a", 0.0)
    assert not prefixes.use("c", 1.0)
    assert prefixes.list_events(0, 0.9) == []
    assert prefixes.list_events(1, 2.0) == [
        cache.CacheEvent(2, "b", True),
        cache.CacheEvent(3, "c", True),
        cache.CacheEvent(4, "b", False),
    ]


def test_cache_events_have_gaps() -> None:
    """The sequence numbers of dropped events are missing."""
    prefixes = cache.PrefixCache(1000, 0.0, 0.5, random.Random(1))
    for number in range(100):
        prefixes.use(str(number), 0.0)
    sequences = [event.sequence for event in prefixes.list_events(0, 0.0)]
    assert 0 < len(sequences) < 100
    assert sequences == sorted(set(sequences))


def make_runtime() -> runtime.Runtime:
    """Returns a runtime with `l1` loaded that keeps streams for 5 s."""
    settings = engine_settings.EngineSettings(
        instance="e1",
        address="127.0.0.1:1",
        zone="a",
        weight_store="127.0.0.1:1",
        stream_kept_s=5.0,
    )
    engine_runtime = runtime.Runtime(settings)
    engine_runtime.slots.begin_load("l1", _KEY)
    engine_runtime.slots.end_load("l1", loaded=True)
    return engine_runtime


def test_finished_stream_is_kept_for_the_resume_window() -> None:
    """A finished stream can be found until the resume window expires."""
    engine_runtime = make_runtime()
    stream = make_stream("r", tokens=1)
    engine_runtime.submit(stream, now=0.0)
    engine_runtime.step(1.0)
    assert engine_runtime.idle
    assert engine_runtime.slots.unload("l1") is adapters.UnloadResult.DONE
    engine_runtime.remove_expired_streams(5.9)
    assert engine_runtime.find_stream("r") is stream
    engine_runtime.remove_expired_streams(6.0)
    assert engine_runtime.find_stream("r") is None


def test_restart_ends_active_streams_as_lost() -> None:
    """Streams active at a restart finish as lost, others stay complete."""
    engine_runtime = make_runtime()
    active, ended = make_stream("a"), make_stream("b", tokens=1)
    engine_runtime.submit(active, now=0.0)
    engine_runtime.submit(ended, now=0.0)
    engine_runtime.step(1.0)
    changed = active.changed
    engine_runtime.abort_streams()
    assert active.finish_reason == streams.FinishReason.LOST
    assert changed.is_set()
    assert ended.finish_reason == streams.FinishReason.LENGTH
