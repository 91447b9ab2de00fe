"""Requests adapter loads from the lease holders of the engines' cells."""

from collections.abc import Callable
import dataclasses

import anyio

from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import engine_orders
from tamaracktide.core import load_margin
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_controller
from tamaracktide.entry import lease_manager
from tamaracktide.entry import peers as entry_peers
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

REPLY_TIMEOUT_S = 1.0
"""Covers two orders of at most 0.4 s each and the network round trip."""

REMOTE_EXPIRY_S = 10.0
"""Time after which a load request of another instance is forgotten if it has no
reply; the other instance has given it up by then."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Sender:
    """The instance that sent a load request, and when it arrived."""

    instance: str
    requested_at: float


@dataclasses.dataclass(slots=True)
class _Pending:
    """A load request without a reply so far."""

    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    accepted: bool = False
    declined: bool = False
    ready_at: float = 0.0


class Loader:
    """Sends load requests to lease holders and replies to those of peers.

    Attributes:
        controller: Orders loads; set after construction.
        margin: Time to wait beyond the predicted end of a load.
    """

    def __init__(
        self,
        instance: str,
        leases: lease_manager.LeaseManager,
        peers: entry_peers.Peers,
        find_entry: Callable[[str], upstream_entries.UpstreamEntry | None],
        find_version: Callable[[str, str], int],
    ) -> None:
        """Builds a loader; `controller` must be set before the first load."""
        self.controller: engine_controller.EngineController | None = None
        self.margin = load_margin.LoadMargin()
        self._instance = instance
        self._leases = leases
        self._peers = peers
        self._find_entry = find_entry
        self._find_version = find_version
        self._pending: dict[str, _Pending] = {}
        self._remote: dict[str, _Sender] = {}

    async def load(
        self, service: str, load: cell_actions.Load
    ) -> cell_events.LoadEnded:
        """Loads an adapter through the lease holder; returns the outcome."""
        failed = cell_events.LoadEnded(load.load_id, False)
        entry = self._find_entry(load.upstream)
        model, _, adapter = load.key.adapter.partition("/")
        if entry is None or not adapter:
            return failed
        holder = self._leases.find_holder(rows.CellId(service, entry.zone))
        pending = self._pending[load.load_id] = _Pending()
        request = entry_messages.LoadRequest(
            load_id=load.load_id,
            upstream=load.upstream,
            model=model,
            adapter=adapter,
            version=self._find_version(model, adapter),
        )
        try:
            if not self._send(holder, request):
                logs.bind(upstream=load.upstream, holder=holder).info(
                    "load not requested: no reachable lease holder"
                )
                return dataclasses.replace(failed, declined=True)
            with anyio.move_on_after(REPLY_TIMEOUT_S):
                await pending.done.wait()
        finally:
            del self._pending[load.load_id]
        if not pending.accepted:
            logs.bind(
                wish=load.load_id,
                upstream=load.upstream,
                adapter=load.key.text,
                holder=holder,
                answered=pending.done.is_set(),
                declined=pending.declined,
            ).info("load failed or was declined")
            return dataclasses.replace(failed, declined=pending.declined)
        ready_at = pending.ready_at + self.margin.margin_s
        await anyio.sleep(max(0.0, ready_at - anyio.current_time()))
        return cell_events.LoadEnded(load.load_id, True)

    def handle_load_request(
        self, sender: str, request: entry_messages.LoadRequest
    ) -> None:
        """Handles a load request of another instance.

        A relay forwards the requests of its members to the lease holder.
        """
        self._drop_unanswered()
        self._remote[request.load_id] = _Sender(sender, anyio.current_time())
        peer = self._peers.known.get(sender)
        if peer is None or not peer.is_member:
            self._submit(request)
            return
        entry = self._find_entry(request.upstream)
        holder = ""
        if entry is not None:
            cell = rows.CellId(entry.service, entry.zone)
            holder = self._leases.find_holder(cell)
        if not self._send(holder, request):
            self.deliver(
                engine_orders.Rejected(
                    request.load_id, "no reachable lease holder", True
                )
            )

    def apply_reply(self, reply: entry_messages.LoadReply) -> None:
        """Applies a lease holder's reply, or forwards it to a member."""
        sender = self._remote.pop(reply.load_id, None)
        if sender is not None:
            self._peers.send(sender.instance, reply)
            return
        self._complete(reply)

    def deliver(self, result: engine_orders.LoadResult) -> None:
        """Forwards a load result to the instance that requested the load."""
        reply = _make_reply(result, anyio.current_time())
        self.apply_reply(reply)

    def _send(self, holder: str, request: entry_messages.LoadRequest) -> bool:
        if holder == self._instance:
            self._submit(request)
            return True
        return bool(holder) and self._peers.send_toward(holder, request)

    def _drop_unanswered(self) -> None:
        """Drops the oldest requests of other instances without a reply."""
        until = anyio.current_time() - REMOTE_EXPIRY_S
        while self._remote:
            load_id, sender = next(iter(self._remote.items()))
            if sender.requested_at > until:
                return
            del self._remote[load_id]

    def _submit(self, request: entry_messages.LoadRequest) -> None:
        if self.controller is None:
            self.deliver(
                engine_orders.Rejected(
                    request.load_id, "engine controller not started", True
                )
            )
            return
        self.controller.request_load(
            request.upstream,
            engine_orders.LoadRequest(
                load_request_id=request.load_id,
                model=request.model,
                adapter=request.adapter,
                version=request.version,
            ),
        )

    def _complete(self, reply: entry_messages.LoadReply) -> None:
        pending = self._pending.get(reply.load_id)
        if pending is None:
            return
        pending.accepted = reply.accepted
        pending.declined = reply.declined
        pending.ready_at = anyio.current_time() + reply.ready_in_s
        pending.done.set()


def _make_reply(
    result: engine_orders.LoadResult, now: float
) -> entry_messages.LoadReply:
    match result:
        case engine_orders.Accepted(load_request_id, ready_at):
            return entry_messages.LoadReply(
                load_id=load_request_id,
                accepted=True,
                ready_in_s=max(0.0, ready_at - now),
            )
        case engine_orders.Rejected(load_request_id, _, declined):
            return entry_messages.LoadReply(
                load_id=load_request_id, accepted=False, declined=declined
            )
