"""Requests grants from the schedulers of a pool's cells."""

import dataclasses
import itertools

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing
from tamaracktide.core import rows
from tamaracktide.gateway import decisions
from tamaracktide.gateway import grants
from tamaracktide.gateway import membership
from tamaracktide.gateway import schedulers
from tamaracktide.protocol import messages

Codes = result_codes.ResultCode

NEXT_CELL_CODES = frozenset(
    (
        Codes.NOT_OWNER,
        Codes.NO_UPSTREAM,
        Codes.OWNER_UNREACHABLE,
        Codes.PEER_UNREACHABLE,
        Codes.STALE_EPOCH,
        Codes.DRAINING,
        Codes.QUEUE_FULL,
        Codes.DEADLINE_UNREACHABLE,
        Codes.LOAD_FAILED,
    )
)
"""Refusals after which another cell may still grant the request."""

NEXT_OWNER_CODES = frozenset(
    (
        Codes.NOT_OWNER,
        Codes.OWNER_UNREACHABLE,
        Codes.PEER_UNREACHABLE,
        Codes.DRAINING,
    )
)
"""Refusals after which the cell's next scheduler may grant the request."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionRequest:
    """A request for which a grant is needed.

    Attributes:
        request_id: Id of the client's request.
        route: Route of the request.
        pool: The route's pool.
        prompt_tokens: Estimated prompt tokens.
        max_tokens: Maximum number of generated tokens.
        deadline: Time by which the response must be complete.
        prefix: Hash of the prompt's first bytes.
        avoid: Upstreams that must not run the request.
        exclusive: Whether no other request may run on the same upstream.
        fingerprint: Hash of the request's content.
        traceparent: W3C trace context.
    """

    request_id: str
    route: rows.Route
    pool: rows.Pool
    prompt_tokens: int
    max_tokens: int
    deadline: float
    prefix: str
    avoid: tuple[str, ...] = ()
    exclusive: bool = False
    fingerprint: str = ""
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No scheduler granted the request, which did not run."""

    code: result_codes.ResultCode
    retry_after_s: float
    detail: str


class Admission:
    """Requests grants from cells and their owners in order of preference."""

    def __init__(
        self,
        members: membership.Membership,
        pool: schedulers.SchedulerPool,
        records: decisions.DecisionLog,
        zone: str,
    ) -> None:
        """Builds the admission of a gateway in a zone."""
        self._members = members
        self._schedulers = pool
        self._records = records
        self._zone = zone
        self._counter = itertools.count(1)

    async def acquire_grant(
        self, request: AdmissionRequest
    ) -> grants.Grant | Refusal:
        """Returns a grant, which counts as in use, or a refusal."""
        owners = self._find_owners(request.pool)
        reachable = [cell for cell, found in owners.items() if found]
        order = routing.order_cells(
            request.route.adapter_key,
            reachable,
            self._schedulers.utilization,
            self._zone,
        )
        refusal = _refuse_without_cells(request, bool(owners))
        for cell in order:
            result = await self._try_cell(request, cell, owners[cell])
            if isinstance(result, grants.Grant):
                return result
            refusal = result
            if result.code not in NEXT_CELL_CODES:
                break
        return refusal

    def _find_owners(
        self, pool: rows.Pool
    ) -> dict[rows.CellId, tuple[routing.Owner, ...]]:
        members = self._schedulers.list_members()
        return {
            cell: routing.list_owners(cell, members)
            for cell in routing.list_cells(pool, self._members.zones)
        }

    async def _try_cell(
        self,
        request: AdmissionRequest,
        cell: rows.CellId,
        owners: tuple[routing.Owner, ...],
    ) -> grants.Grant | Refusal:
        refusal = Refusal(Codes.OWNER_UNREACHABLE, 1.0, f"cell {cell.text}")
        for owner in owners:
            result = await self._try_owner(request, cell, owner)
            if isinstance(result, grants.Grant):
                return result
            refusal = result
            if result.code not in NEXT_OWNER_CODES:
                break
        return refusal

    async def _try_owner(
        self, request: AdmissionRequest, cell: rows.CellId, owner: routing.Owner
    ) -> grants.Grant | Refusal:
        grant_request = self._make_grant_request(request, cell, owner)
        try:
            reply = await self._schedulers.send_grant_request(
                owner.instance, grant_request
            )
        except errors.ProtocolError as error:
            self._record(request, cell, owner, error.code, error.detail)
            return Refusal(Codes.OWNER_UNREACHABLE, 1.0, error.detail)
        match reply:
            case messages.RefusalReply():
                code = _parse_code(reply.code)
                self._record(request, cell, owner, code, reply.detail)
                return Refusal(code, reply.retry_after_s, reply.detail)
            case messages.GrantReply():
                return await self._accept(request, cell, owner, reply)

    async def _accept(
        self,
        request: AdmissionRequest,
        cell: rows.CellId,
        owner: routing.Owner,
        reply: messages.GrantReply,
    ) -> grants.Grant | Refusal:
        """Records a grant, or releases it if its epoch is stale."""
        grant = grants.Grant(
            cell=cell,
            scheduler=owner.instance,
            customer=request.route.customer,
            reply=reply,
        )
        self._schedulers.grants.add(grant)
        epoch = reply.epoch
        if self._schedulers.epochs.observe(reply.upstream, epoch):
            self._records.add(
                request.request_id,
                "grant",
                f"{cell.text} by {owner.instance}, epoch {epoch}, waited "
                f"{reply.queued_s:.3f} s",
                upstream=reply.upstream,
            )
            return grant
        await self._schedulers.release(
            grant,
            messages.GrantRelease(
                request_id=reply.request_id,
                grant_id=reply.grant_id,
                upstream=reply.upstream,
            ),
        )
        highest = self._schedulers.epochs.find(reply.upstream)
        detail = f"epoch {epoch} of {reply.upstream} is below {highest}"
        self._record(request, cell, owner, Codes.STALE_EPOCH, detail)
        return Refusal(Codes.STALE_EPOCH, 1.0, detail)

    def _make_grant_request(
        self, request: AdmissionRequest, cell: rows.CellId, owner: routing.Owner
    ) -> messages.GrantRequest:
        return messages.GrantRequest(
            request_id=f"{request.request_id}.{next(self._counter)}",
            pool=cell.pool,
            zone=cell.zone,
            adapter=request.route.adapter,
            version=request.route.version,
            customer=request.route.customer,
            weight=request.route.weight,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            time_left_s=max(0.0, request.deadline - anyio.current_time()),
            prefix=request.prefix,
            avoid=request.avoid,
            alone=request.exclusive,
            fingerprint=request.fingerprint,
            suspects=owner.suspects,
            traceparent=request.traceparent,
        )

    def _record(
        self,
        request: AdmissionRequest,
        cell: rows.CellId,
        owner: routing.Owner,
        code: result_codes.ResultCode,
        detail: str,
    ) -> None:
        self._records.add(
            request.request_id,
            "refused",
            f"{cell.text} by {owner.instance}: {detail}",
            code=code.value,
        )


def _refuse_without_cells(
    request: AdmissionRequest, has_cells: bool
) -> Refusal:
    if has_cells:
        detail = f"no scheduler of pool {request.pool.name} is reachable"
        return Refusal(Codes.OWNER_UNREACHABLE, 1.0, detail)
    detail = f"pool {request.pool.name} has no known upstream"
    return Refusal(Codes.NO_UPSTREAM, 1.0, detail)


def _parse_code(number: int) -> result_codes.ResultCode:
    """Returns the result code of a refusal.

    Unknown numbers, and codes that do not state that the request did not
    run, become `UPSTREAM_REFUSED`.
    """
    try:
        code = result_codes.ResultCode(number)
    except ValueError:
        return Codes.UPSTREAM_REFUSED
    meaning = result_codes.MEANINGS[code]
    if meaning.execution is not result_codes.Execution.NOT_RUN:
        return Codes.UPSTREAM_REFUSED
    return code
