"""Has adapters loaded by whoever may order at an engine."""

from collections.abc import Callable
import dataclasses

import anyio

from tamaracktide.core import cell_actions
from tamaracktide.core import cell_events
from tamaracktide.core import engine_orders
from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import engine_controller
from tamaracktide.entry import lease_manager
from tamaracktide.entry import peers as entry_peers
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

REPLY_TIMEOUT_S = 1.0
"""Two orders, each waited for 0.4 s at most, and the way there and back."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A wish without an answer."""

    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    accepted: bool = False
    declined: bool = False
    ready_at: float = 0.0


class Loader:
    """Sends wishes to holders, and answers those of others."""

    def __init__(
        self,
        instance: str,
        leases: lease_manager.LeaseManager,
        peers: entry_peers.Peers,
        find_entry: Callable[[str], upstream_entries.UpstreamEntry | None],
        find_version: Callable[[str, str], int],
    ) -> None:
        """Builds a loader; `keeper` must be set before it is used."""
        self.keeper: engine_controller.EngineController | None = None
        self._instance = instance
        self._leases = leases
        self._peers = peers
        self._find_entry = find_entry
        self._find_version = find_version
        self._pending: dict[str, _Pending] = {}
        self._remote: dict[str, str] = {}

    async def load(
        self, service: str, load: cell_actions.Load
    ) -> cell_events.LoadEnded:
        """Has an adapter loaded; returns once it can be used, or why not."""
        failed = cell_events.LoadEnded(load.load_id, False)
        entry = self._find_entry(load.upstream)
        model, _, adapter = load.key.adapter.partition("/")
        if entry is None or not adapter:
            return failed
        holder = self._leases.find_holder(rows.CellId(service, entry.zone))
        pending = self._pending[load.load_id] = _Pending()
        wish = entry_messages.LoadRequest(
            load_id=load.load_id,
            upstream=load.upstream,
            model=model,
            adapter=adapter,
            version=self._find_version(model, adapter),
        )
        try:
            if not self._send(holder, wish):
                logs.bind(upstream=load.upstream, holder=holder).info(
                    "nobody to ask for a load"
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
            ).info("load did not come about")
            return dataclasses.replace(failed, declined=pending.declined)
        await anyio.sleep(max(0.0, pending.ready_at - anyio.current_time()))
        return cell_events.LoadEnded(load.load_id, True)

    def handle_load_request(
        self, sender: str, wish: entry_messages.LoadRequest
    ) -> None:
        """Takes in the wish of another instance."""
        self._remote[wish.load_id] = sender
        self._wish(wish)

    def apply_reply(self, reply: entry_messages.LoadReply) -> None:
        """Takes in a holder's answer."""
        self._settle(reply)

    def deliver(self, answer: engine_orders.Answer) -> None:
        """Passes the engine keeper's answer to whoever wished."""
        reply = _make_reply(answer, anyio.current_time())
        sender = self._remote.pop(reply.load_id, "")
        if sender:
            self._peers.send(sender, reply)
        else:
            self._settle(reply)

    def _send(self, holder: str, wish: entry_messages.LoadRequest) -> bool:
        if holder == self._instance:
            self._wish(wish)
            return True
        return bool(holder) and self._peers.send(holder, wish)

    def _wish(self, wish: entry_messages.LoadRequest) -> None:
        if self.keeper is None:
            self.deliver(
                engine_orders.Rejected(wish.load_id, "not started", True)
            )
            return
        self.keeper.wish(
            wish.upstream,
            engine_orders.Wish(
                wish_id=wish.load_id,
                model=wish.model,
                adapter=wish.adapter,
                version=wish.version,
            ),
        )

    def _settle(self, reply: entry_messages.LoadReply) -> None:
        pending = self._pending.get(reply.load_id)
        if pending is None:
            return
        pending.accepted = reply.accepted
        pending.declined = reply.declined
        pending.ready_at = anyio.current_time() + reply.ready_in_s
        pending.done.set()


def _make_reply(
    answer: engine_orders.Answer, now: float
) -> entry_messages.LoadReply:
    match answer:
        case engine_orders.Fulfilled(wish_id, ready_at):
            return entry_messages.LoadReply(
                load_id=wish_id,
                accepted=True,
                ready_in_s=max(0.0, ready_at - now),
            )
        case engine_orders.Rejected(wish_id, _, declined):
            return entry_messages.LoadReply(
                load_id=wish_id, accepted=False, declined=declined
            )
