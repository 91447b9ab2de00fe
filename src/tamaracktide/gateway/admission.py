"""Asks the schedulers of a pool's cells for a grant."""

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
"""Refusals after which another cell may still say yes."""

NEXT_OWNER_CODES = frozenset(
    (
        Codes.NOT_OWNER,
        Codes.OWNER_UNREACHABLE,
        Codes.PEER_UNREACHABLE,
        Codes.DRAINING,
    )
)
"""Refusals after which another scheduler of the cell may say yes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    """What a grant is asked for.

    Attributes:
        request_id: The caller's request.
        route: Its route.
        pool: The route's pool.
        prompt_tokens: Estimated prompt tokens.
        max_tokens: Most tokens of the answer.
        deadline: Time by which the answer must be whole.
        prefix: Hash of the prompt's beginning.
        avoid: Upstreams that must not run it.
        alone: Whether nothing may run beside it.
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
    alone: bool = False
    fingerprint: str = ""
    traceparent: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """No scheduler granted the request; it did not run."""

    code: result_codes.ResultCode
    retry_after_s: float
    detail: str


class Admission:
    """Finds cells and owners, and asks them in turn."""

    def __init__(
        self,
        members: membership.Membership,
        pool: schedulers.SchedulerPool,
        records: decisions.DecisionLog,
        zone: str,
    ) -> None:
        """Builds an admission for a gateway in a zone."""
        self._members = members
        self._schedulers = pool
        self._records = records
        self._zone = zone
        self._counter = itertools.count(1)

    async def ask(self, ask: Ask) -> grants.Grant | Refusal:
        """Returns a grant that is in use from now on, or a refusal."""
        owners = self._find_owners(ask.pool)
        reachable = [cell for cell, known in owners.items() if known]
        order = routing.order_cells(
            ask.route.adapter_key, reachable, self._schedulers.uses, self._zone
        )
        refusal = _refuse_without_cells(ask, bool(owners))
        for cell in order:
            result = await self._ask_cell(ask, cell, owners[cell])
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

    async def _ask_cell(
        self,
        ask: Ask,
        cell: rows.CellId,
        owners: tuple[routing.Owner, ...],
    ) -> grants.Grant | Refusal:
        refusal = Refusal(Codes.OWNER_UNREACHABLE, 1.0, f"cell {cell.text}")
        for owner in owners:
            result = await self._ask_owner(ask, cell, owner)
            if isinstance(result, grants.Grant):
                return result
            refusal = result
            if result.code not in NEXT_OWNER_CODES:
                break
        return refusal

    async def _ask_owner(
        self, ask: Ask, cell: rows.CellId, owner: routing.Owner
    ) -> grants.Grant | Refusal:
        request = self._make_request(ask, cell, owner)
        try:
            reply = await self._schedulers.ask_grant(owner.instance, request)
        except errors.ProtocolError as error:
            self._record(ask, cell, owner, error.code, error.detail)
            return Refusal(Codes.OWNER_UNREACHABLE, 1.0, error.detail)
        match reply:
            case messages.RefusalReply():
                code = _read_code(reply.code)
                self._record(ask, cell, owner, code, reply.detail)
                return Refusal(code, reply.retry_after_s, reply.detail)
            case messages.GrantReply():
                return await self._take(ask, cell, owner, reply)

    async def _take(
        self,
        ask: Ask,
        cell: rows.CellId,
        owner: routing.Owner,
        reply: messages.GrantReply,
    ) -> grants.Grant | Refusal:
        """Keeps a grant, or gives it back if its epoch is old."""
        grant = grants.Grant(
            cell=cell,
            scheduler=owner.instance,
            customer=ask.route.customer,
            reply=reply,
        )
        self._schedulers.grants.add(grant)
        epoch = reply.epoch
        if self._schedulers.epochs.observe(reply.upstream, epoch):
            self._records.add(
                ask.request_id,
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
        self._record(ask, cell, owner, Codes.STALE_EPOCH, detail)
        return Refusal(Codes.STALE_EPOCH, 1.0, detail)

    def _make_request(
        self, ask: Ask, cell: rows.CellId, owner: routing.Owner
    ) -> messages.GrantRequest:
        return messages.GrantRequest(
            request_id=f"{ask.request_id}.{next(self._counter)}",
            pool=cell.pool,
            zone=cell.zone,
            adapter=ask.route.adapter,
            version=ask.route.version,
            customer=ask.route.customer,
            weight=ask.route.weight,
            prompt_tokens=ask.prompt_tokens,
            max_tokens=ask.max_tokens,
            time_left_s=max(0.0, ask.deadline - anyio.current_time()),
            prefix=ask.prefix,
            avoid=ask.avoid,
            alone=ask.alone,
            fingerprint=ask.fingerprint,
            suspects=owner.suspects,
            traceparent=ask.traceparent,
        )

    def _record(
        self,
        ask: Ask,
        cell: rows.CellId,
        owner: routing.Owner,
        code: result_codes.ResultCode,
        detail: str,
    ) -> None:
        self._records.add(
            ask.request_id,
            "refused",
            f"{cell.text} by {owner.instance}: {detail}",
            code=code.value,
        )


def _refuse_without_cells(ask: Ask, known: bool) -> Refusal:
    if known:
        detail = f"no scheduler of pool {ask.pool.name} can be reached"
        return Refusal(Codes.OWNER_UNREACHABLE, 1.0, detail)
    detail = f"no upstream of pool {ask.pool.name} is known"
    return Refusal(Codes.NO_UPSTREAM, 1.0, detail)


def _read_code(number: int) -> result_codes.ResultCode:
    """Returns a code; of numbers that are not known, a general refusal."""
    try:
        code = result_codes.ResultCode(number)
    except ValueError:
        return Codes.UPSTREAM_REFUSED
    meaning = result_codes.MEANINGS[code]
    if meaning.execution is not result_codes.Execution.NOT_RUN:
        return Codes.UPSTREAM_REFUSED
    return code
