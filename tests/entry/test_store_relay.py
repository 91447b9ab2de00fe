"""Tests of writes to the store through a peer."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import cast

import anyio
import anyio.abc
import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import store_relay
from tamaracktide.object_api import object_store
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages

pytestmark = pytest.mark.anyio

KEY = "leases/llm.z1"


@dataclasses.dataclass(slots=True)
class _Store:
    """A store of one object with a revision; `delay_s` delays responses."""

    revision: int = 4
    value: bytes = b"old"
    delay_s: float = 0.0

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces a revision."""
        assert key == KEY
        await anyio.sleep(self.delay_s)
        if version != self.revision:
            raise errors.PreconditionFailedError(
                result_codes.ResultCode.EDIT_CONFLICT, "conflict"
            )
        self.revision += 1
        self.value = value
        return self.revision


class _Link:
    """Fake of the links of one of two instances."""

    def __init__(self, name: str, store_silent_s: float) -> None:
        self.remote_relay: store_relay.StoreRelay | None = None
        report = entry_messages.InstanceReport(
            sequence=1,
            is_full=True,
            is_relay=True,
            instances=1,
            ip="127.0.0.1",
            running={},
            asked={},
            rights=(),
            loads=0,
            store_silent_s=store_silent_s,
        )
        self._peer = entry_peers.Peer(name, report)

    def list_linked(self) -> list[entry_peers.Peer]:
        """Returns the other instance."""
        return [self._peer]

    def send(self, instance: str, message: messages.Message) -> bool:
        """Delivers a message at once."""
        assert self.remote_relay is not None
        match message:
            case entry_messages.WriteRequest():
                self.remote_relay.handle_write_request("requester", message)
            case entry_messages.WriteReply():
                self.remote_relay.apply_reply(message)
        return True


@contextlib.asynccontextmanager
async def _run(
    store: _Store, unreachable_s: float = 0.0
) -> AsyncIterator[store_relay.StoreRelay]:
    """Yields the relay of an instance that writes through a peer.

    The peer reaches the store unless `unreachable_s` is positive.
    """
    requester, writer = _Link("writer", unreachable_s), _Link("requester", 0.0)
    async with anyio.create_task_group() as tasks:
        relays = [
            store_relay.StoreRelay(
                cast(object_store.ValueStore, store),
                cast(entry_peers.Peers, link),
                tasks,
            )
            for link in (requester, writer)
        ]
        requester.remote_relay, writer.remote_relay = relays[1], relays[0]
        yield relays[0]
        tasks.cancel_scope.cancel()


async def test_peer_writes_at_the_requested_revision() -> None:
    """The reply contains the new revision."""
    store = _Store()
    async with _run(store) as relay:
        assert await relay.write(KEY, b"new", 4) == 5
    assert store.value == b"new"


async def test_conflict_is_distinct_from_an_unknown_outcome() -> None:
    """At another revision the write certainly did not take effect."""
    store = _Store(revision=7)
    async with _run(store) as relay:
        with pytest.raises(errors.PreconditionFailedError):
            await relay.write(KEY, b"new", 4)
    assert store.value == b"old"


async def test_no_write_is_requested_from_a_peer_without_the_store() -> None:
    """The write fails at once if no peer reaches the store."""
    store = _Store()
    async with _run(store, unreachable_s=2.0) as relay:
        with (
            anyio.fail_after(0.2),
            pytest.raises(errors.PlatformUnavailableError),
        ):
            await relay.write(KEY, b"new", 4)


async def test_slow_store_leaves_the_outcome_unknown() -> None:
    """The peer's timeout expires before the requester's."""
    store = _Store(delay_s=store_relay.REPLY_TIMEOUT_S)
    async with _run(store) as relay:
        with pytest.raises(errors.PlatformUnavailableError, match="writer"):
            await relay.write(KEY, b"new", 4)
