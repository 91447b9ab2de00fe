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
from tamaracktide.object_api import port
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages

pytestmark = pytest.mark.anyio

KEY = "leases/llm.z1"


@dataclasses.dataclass(slots=True)
class _Store:
    """One object with a revision; `delay_s` holds its answers back."""

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
    """Stands for the links of one of two instances."""

    def __init__(self, name: str, store_silent_s: float) -> None:
        self.other: store_relay.StoreRelay | None = None
        report = entry_messages.InstanceReport(
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
        """Passes a message on at once."""
        assert self.other is not None
        match message:
            case entry_messages.WriteRequest():
                self.other.handle_write_request("asker", message)
            case entry_messages.WriteReply():
                self.other.apply_reply(message)
        return True


@contextlib.asynccontextmanager
async def _run(
    store: _Store, silent_s: float = 0.0
) -> AsyncIterator[store_relay.StoreRelay]:
    """Yields the relay of an instance whose peer reaches the store."""
    asking, writing = _Link("writer", silent_s), _Link("asker", 0.0)
    async with anyio.create_task_group() as tasks:
        made = [
            store_relay.StoreRelay(
                cast(port.ValueStore, store),
                cast(entry_peers.Peers, link),
                tasks,
            )
            for link in (asking, writing)
        ]
        asking.other, writing.other = made[1], made[0]
        yield made[0]
        tasks.cancel_scope.cancel()


async def test_peer_writes_at_the_revision_that_was_named() -> None:
    """The new revision comes back."""
    store = _Store()
    async with _run(store) as relay:
        assert await relay.write(KEY, b"new", 4) == 5
    assert store.value == b"new"


async def test_conflict_is_told_apart_from_an_unknown_outcome() -> None:
    """Another revision was there, so the write surely did not happen."""
    store = _Store(revision=7)
    async with _run(store) as relay:
        with pytest.raises(errors.PreconditionFailedError):
            await relay.write(KEY, b"new", 4)
    assert store.value == b"old"


async def test_peer_without_the_store_is_not_asked() -> None:
    """Nobody could write, which is known at once."""
    store = _Store()
    async with _run(store, silent_s=2.0) as relay:
        with (
            anyio.fail_after(0.2),
            pytest.raises(errors.PlatformUnavailableError),
        ):
            await relay.write(KEY, b"new", 4)


async def test_slow_store_leaves_the_outcome_unknown() -> None:
    """The peer gives up before the asker does."""
    store = _Store(delay_s=store_relay.REPLY_TIMEOUT_S)
    async with _run(store) as relay:
        with pytest.raises(errors.PlatformUnavailableError, match="writer"):
            await relay.write(KEY, b"new", 4)
