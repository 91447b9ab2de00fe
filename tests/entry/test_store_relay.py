"""Tests of writes to the store through a peer."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
from typing import cast

import anyio
import anyio.abc
import pytest

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import cluster_state
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import platform_adapter
from tamaracktide.entry import store_relay
from tamaracktide.object_api import object_store
from tamaracktide.protocol import entry_messages
from tamaracktide.protocol import messages

pytestmark = pytest.mark.anyio

KEY = "leases/llm.z1"


@dataclasses.dataclass(slots=True)
class _Store:
    """A store of one object with a revision; `delay_s` delays responses.

    `observe_era` is called with the era of each response.
    """

    revision: int = 4
    value: bytes = b"old"
    delay_s: float = 0.0
    era: int = 0
    observe_era: Callable[[int], None] = lambda era: None

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replaces a revision."""
        assert key == KEY
        await anyio.sleep(self.delay_s)
        self.observe_era(self.era)
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


def _make_state(era: int) -> cluster_state.ClusterState:
    adapter = cast(platform_adapter.PlatformAdapter, None)
    state = cluster_state.ClusterState(adapter, anyio.current_time)
    state.observe_era(era)
    return state


@contextlib.asynccontextmanager
async def _run(
    store: _Store, unreachable_s: float = 0.0, eras: tuple[int, int] = (0, 0)
) -> AsyncIterator[store_relay.StoreRelay]:
    """Yields the relay of an instance that writes through a peer.

    The peer reaches the store unless `unreachable_s` is positive. The eras are
    those that the instance and the peer know.
    """
    requester, writer = _Link("writer", unreachable_s), _Link("requester", 0.0)
    async with anyio.create_task_group() as tasks:
        states = [_make_state(era) for era in eras]
        store.observe_era = states[1].observe_era
        relays = [
            store_relay.StoreRelay(
                cast(object_store.ValueStore, store),
                state,
                cast(entry_peers.Peers, link),
                tasks,
            )
            for link, state in zip((requester, writer), states, strict=True)
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


@pytest.mark.parametrize(
    ("store_era", "known"),
    [(2, (1, 2)), (2, (1, 1))],
    ids=["peer knows the era", "peer learns of the era"],
)
async def test_write_at_a_revision_of_an_earlier_era_grants_nothing(
    store_era: int, known: tuple[int, int]
) -> None:
    """Guards against a revision that a restored store gave out again.

    A peer that knows of the restoration does not write at all.
    """
    store = _Store(era=store_era)
    async with _run(store, eras=known) as relay:
        with pytest.raises(errors.PlatformUnavailableError):
            await relay.write(KEY, b"new", 4)
    assert (store.value == b"old") == (known[1] == store_era)


async def test_peer_that_lags_behind_writes_at_a_revision_of_a_later_era() -> (
    None
):
    """It learns of the era by the request."""
    store = _Store(era=2)
    async with _run(store, eras=(2, 1)) as relay:
        assert await relay.write(KEY, b"new", 4) == 5
