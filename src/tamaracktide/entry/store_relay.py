"""Conditional writes to the store through a peer that reaches it.

An outage often takes the store from some instances only. A holder among them
would lose its right to order, and its cell would get no orders until another
instance may take the lease over; a peer writes the renewal for it instead.
"""

import dataclasses
import random
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import peers as entry_peers
from tamaracktide.object_api import port
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

WRITE_TIMEOUT_S = 0.7
"""Time for the peer's call, some ms on a quiet day."""

REPLY_TIMEOUT_S = 1.0
"""Time for the peer's call and the way there and back."""


@dataclasses.dataclass(slots=True)
class _Pending:
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reply: entry_messages.WriteReply | None = None


async def write_object(
    store: port.ValueStore, key: str, value: bytes, revision: int
) -> int:
    """Creates an object (revision 0) or replaces a revision of it.

    Returns:
        The new revision.

    Raises:
        errors.PreconditionFailedError: It is at another revision.
        errors.PlatformError: The outcome is not known.
    """
    if revision:
        return await store.update(key, value, revision)
    return await store.create(key, value)


class StoreRelay:
    """Asks peers to write, and writes for them."""

    __slots__ = ("_peers", "_pending", "_store", "_tasks")

    def __init__(
        self,
        store: port.ValueStore,
        peers: entry_peers.Peers,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds a relay; `tasks` runs the writes for others."""
        self._store = store
        self._peers = peers
        self._tasks = tasks
        self._pending: dict[str, _Pending] = {}

    async def write(self, key: str, value: bytes, revision: int) -> int:
        """Has a peer write an object; returns its new revision.

        Raises:
            errors.PreconditionFailedError: It is at another revision.
            errors.PlatformUnavailableError: No peer reaches the store, or
                the outcome is not known.
        """
        peer = self._find_peer()
        ask = entry_messages.WriteRequest(
            ask_id=uuid.uuid4().hex, key=key, value=value, revision=revision
        )
        pending = self._pending[ask.ask_id] = _Pending()
        try:
            if not peer or not self._peers.send(peer, ask):
                raise _make_error("no peer reaches the store")
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await pending.done.wait()
        finally:
            del self._pending[ask.ask_id]
        reply = pending.reply
        if reply is None:
            raise _make_error(f"no answer from {peer}")
        if reply.conflict:
            raise errors.PreconditionFailedError(
                result_codes.ResultCode.EDIT_CONFLICT,
                f"{key} is not at revision {revision}",
            )
        if not reply.revision:
            raise _make_error(f"{peer} does not know the outcome")
        logs.bind(key=key, peer=peer, revision=reply.revision).info(
            "object written through a peer"
        )
        return reply.revision

    def handle_write_request(
        self, sender: str, ask: entry_messages.WriteRequest
    ) -> None:
        """Writes for another instance."""
        self._tasks.start_soon(self._answer, sender, ask)

    def apply_reply(self, reply: entry_messages.WriteReply) -> None:
        """Takes in what became of a write."""
        pending = self._pending.get(reply.ask_id)
        if pending is not None:
            pending.reply = reply
            pending.done.set()

    async def _answer(
        self, sender: str, ask: entry_messages.WriteRequest
    ) -> None:
        revision, conflict, detail = 0, False, ""
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                revision = await write_object(
                    self._store, ask.key, ask.value, ask.revision
                )
        except errors.PreconditionFailedError:
            conflict = True
        except (errors.PlatformError, TimeoutError) as error:
            detail = repr(error)
        logs.bind(
            key=ask.key, peer=sender, revision=revision, conflict=conflict
        ).info("write for a peer ended {}", detail)
        self._peers.send(
            sender,
            entry_messages.WriteReply(
                ask_id=ask.ask_id, revision=revision, conflict=conflict
            ),
        )

    def _find_peer(self) -> str:
        """Returns a linked peer that reaches the store, empty if none."""
        able = [
            peer.instance
            for peer in self._peers.list_linked()
            if peer.report is not None
            and not peer.report.store_silent_s
            and not peer.report.draining
        ]
        return random.choice(able) if able else ""


def _make_error(detail: str) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        result_codes.ResultCode.PLATFORM_UNAVAILABLE, detail
    )
