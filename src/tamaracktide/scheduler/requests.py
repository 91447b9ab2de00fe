"""Requests of one cell that wait for a grant, and the replies to them."""

from collections.abc import Iterator
import dataclasses

from opentelemetry import trace

from tamaracktide import result_codes
from tamaracktide.core import cell_actions
from tamaracktide.core import rows
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.observability import traces
from tamaracktide.protocol import messages
from tamaracktide.scheduler import engines
from tamaracktide.scheduler import gateways

RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Request:
    """A request that waits for a grant.

    Attributes:
        message: The gateway's message.
        gateway: The gateway that last sent the request.
        submitted_at: Time at which it was first received.
        span: Trace span of the wait for a grant.
        waited: Whether it could not be granted immediately.
    """

    message: messages.GrantRequest
    gateway: gateways.Gateway
    submitted_at: float
    span: trace.Span
    waited: bool = False

    @property
    def key(self) -> rows.AdapterKey:
        """Adapter and version that the request needs."""
        return rows.AdapterKey(self.message.adapter, self.message.version)


class WaitingRequests:
    """Tracks a cell's waiting requests and replies to each once."""

    def __init__(
        self, cell: rows.CellId, metrics: metrics_module.Metrics
    ) -> None:
        """Creates an empty collection."""
        self._cell = cell
        self._metrics = metrics
        self._waiting: dict[str, Request] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[Request]:
        """Iterates over a copy, so that requests may be closed meanwhile."""
        return iter(list(self._waiting.values()))

    def open(
        self,
        message: messages.GrantRequest,
        gateway: gateways.Gateway,
        now: float,
    ) -> Request:
        """Adds a request, or returns the waiting one if it was sent again."""
        request = self._waiting.get(message.request_id)
        if request is None:
            span = traces.open_span(
                "scheduler.grant",
                message.traceparent,
                {
                    "request_id": message.request_id,
                    "customer": message.customer,
                    "cell": self._cell.text,
                },
            )
            request = Request(message, gateway, now, span)
            self._waiting[message.request_id] = request
        request.gateway = gateway
        gateway.waiting[message.request_id] = gateways.TrackedRequest(
            self._cell, now
        )
        return request

    def find(self, request_id: str) -> Request | None:
        """Returns a waiting request, or None if the id is unknown."""
        return self._waiting.get(request_id)

    def close(self, request_id: str) -> Request | None:
        """Removes a request without a reply and ends its span."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            request.gateway.waiting.pop(request_id, None)
            request.span.end()
        return request

    def grant(
        self,
        grant: cell_actions.Grant,
        engine: engines.EngineController,
        load_wait_s: float,
        now: float,
    ) -> bool:
        """Replies to a request with a grant.

        Returns:
            Whether the reply could be sent; otherwise the grant is unused.
        """
        request = self._waiting[grant.request_id]
        request.span.set_attribute("upstream", grant.upstream)
        self.close(grant.request_id)
        queued_s = now - request.submitted_at
        reply = messages.GrantReply(
            request_id=grant.request_id,
            grant_id=grant.grant_id,
            upstream=grant.upstream,
            address=engine.member.address,
            incarnation=grant.incarnation,
            lora_name=grant.lora_name,
            priority=grant.priority,
            epoch=engine.ownership.epoch,
            queued_s=queued_s,
            load_wait_s=load_wait_s,
        )
        if not request.gateway.send(reply):
            return False
        request.gateway.grants[grant.grant_id] = gateways.TrackedRequest(
            self._cell,
            now,
            request.message.fingerprint,
            request.message.alone,
        )
        self._count_grant(queued_s, load_wait_s)
        return True

    def refuse(
        self,
        request: Request,
        code: result_codes.ResultCode,
        retry_after_s: float = RETRY_AFTER_S,
        owner: str = "",
    ) -> None:
        """Replies to a request with a refusal."""
        message = request.message
        request.span.set_attribute("code", code.value)
        self.close(message.request_id)
        self._metrics.refusals.inc({"code": str(code.value)})
        logs.bind(
            request_id=message.request_id,
            customer=message.customer,
            cell=self._cell.text,
            code=code.value,
        ).info("grant refused")
        request.gateway.send(
            messages.RefusalReply(
                request_id=message.request_id,
                code=code,
                detail=f"{result_codes.MEANINGS[code].text} "
                f"({self._cell.text})",
                retry_after_s=retry_after_s,
                owner=owner,
            )
        )

    def _count_grant(self, queued_s: float, load_wait_s: float) -> None:
        pool = {"pool": self._cell.pool}
        self._metrics.grants.inc(pool)
        self._metrics.queue_wait_seconds.observe(pool, queued_s)
        if load_wait_s > 0:
            self._metrics.load_stalls.inc(pool)
            self._metrics.load_stall_seconds.add(pool, load_wait_s)
