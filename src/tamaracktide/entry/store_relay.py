"""Conditional writes to the store through a peer.

In many outages the store is unreachable for some instances only. A lease holder
among them would lose its lease term, and its cell would get no orders until
another instance is allowed to take the lease over. A peer that reaches the
store therefore writes the renewal on its behalf.
"""

import dataclasses
import random
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.entry import cluster_state
from tamaracktide.entry import peers as entry_peers
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

WRITE_TIMEOUT_S = 0.7
"""Timeout of the peer's call, which normally takes a few milliseconds."""

REPLY_TIMEOUT_S = 1.0
"""Covers the peer's call and the network round trip."""


@dataclasses.dataclass(slots=True)
class _Pending:
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    reply: entry_messages.WriteReply | None = None


async def write_object(
    store: object_store.ValueStore, key: str, value: bytes, revision: int
) -> int:
    """Creates an object (revision 0) or replaces the given revision.

    Returns:
        The new revision.

    Raises:
        errors.PreconditionFailedError: The object is at another revision.
        errors.PlatformError: The outcome is unknown.
    """
    if revision:
        return await store.update(key, value, revision)
    return await store.create(key, value)


class StoreRelay:
    """Requests writes from peers and executes those that peers request."""

    __slots__ = ("_cluster_state", "_peers", "_pending", "_store", "_tasks")

    def __init__(
        self,
        store: object_store.ValueStore,
        state: cluster_state.ClusterState,
        peers: entry_peers.Peers,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds a relay; `tasks` runs the writes for peers."""
        self._store = store
        self._cluster_state = state
        self._peers = peers
        self._tasks = tasks
        self._pending: dict[str, _Pending] = {}

    async def write(self, key: str, value: bytes, revision: int) -> int:
        """Writes an object through a peer; returns its new revision.

        Raises:
            errors.PreconditionFailedError: The object is at another revision.
            errors.PlatformUnavailableError: No peer reaches the store, or
                the outcome is unknown.
        """
        peer = self._choose_peer()
        request = entry_messages.WriteRequest(
            ask_id=uuid.uuid4().hex,
            key=key,
            value=value,
            revision=revision,
            era=self._cluster_state.era,
        )
        pending = self._pending[request.ask_id] = _Pending()
        try:
            if not peer or not self._peers.send(peer, request):
                raise _make_error("no peer reaches the store")
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await pending.done.wait()
        finally:
            del self._pending[request.ask_id]
        reply = pending.reply
        if reply is None:
            raise _make_error(f"no reply from peer {peer}")
        if reply.conflict:
            raise errors.PreconditionFailedError(
                result_codes.ResultCode.EDIT_CONFLICT,
                f"{key} is not at revision {revision}",
            )
        if not reply.revision:
            raise _make_error(f"outcome of the write by {peer} is unknown")
        logs.bind(key=key, peer=peer, revision=reply.revision).info(
            "object written through a peer"
        )
        return reply.revision

    def handle_write_request(
        self, sender: str, request: entry_messages.WriteRequest
    ) -> None:
        """Executes a write that another instance requests."""
        if request.era:
            self._cluster_state.observe_era(request.era)
        self._tasks.start_soon(self._write_for_peer, sender, request)

    def apply_reply(self, reply: entry_messages.WriteReply) -> None:
        """Applies the reply to a write request."""
        if reply.era:
            self._cluster_state.observe_era(reply.era)
        pending = self._pending.get(reply.ask_id)
        if pending is not None:
            pending.reply = reply
            pending.done.set()

    async def _write_for_peer(
        self, sender: str, request: entry_messages.WriteRequest
    ) -> None:
        revision, conflict, detail = 0, False, ""
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                self._check_era(request)
                revision = await write_object(
                    self._store, request.key, request.value, request.revision
                )
                self._check_era(request)
        except errors.PreconditionFailedError:
            conflict = True
        except (errors.PlatformError, TimeoutError) as error:
            revision, detail = 0, repr(error)
        logs.bind(
            key=request.key, peer=sender, revision=revision, conflict=conflict
        ).info("write for a peer finished {}", detail)
        self._peers.send(
            sender,
            entry_messages.WriteReply(
                ask_id=request.ask_id,
                revision=revision,
                conflict=conflict,
                era=self._cluster_state.era,
            ),
        )

    def _check_era(self, request: entry_messages.WriteRequest) -> None:
        """Raises if the request's revision is not of the store's era."""
        era = self._cluster_state.era
        if request.era and request.era != era:
            raise _make_error(f"revision is of era {request.era}, not {era}")

    def _choose_peer(self) -> str:
        """Returns a random peer that reaches the store, empty if none."""
        candidates = [
            peer.instance
            for peer in self._peers.list_linked()
            if peer.report is not None
            and peer.report.store_silent_s == 0
            and not peer.report.draining
        ]
        return random.choice(candidates) if candidates else ""


def _make_error(detail: str) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        result_codes.ResultCode.PLATFORM_UNAVAILABLE, detail
    )
