"""Claims idempotency keys through the schedulers and reports outcomes."""

import dataclasses
import enum
import math
import uuid

import anyio
import anyio.abc

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import claim_records
from tamaracktide.core import rendezvous
from tamaracktide.gateway import asgi
from tamaracktide.gateway import schedulers
from tamaracktide.gateway import settings as gateway_settings
from tamaracktide.observability import logs
from tamaracktide.observability import metrics
from tamaracktide.protocol import messages

Codes = result_codes.ResultCode

BODILESS_STATUSES = frozenset((204, 205, 304))
"""Statuses without a body; their empty body counts as kept."""


class Outcome(enum.StrEnum):
    """Outcome of a claimed request."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """The permission to run the request of an idempotency key once."""

    attempt_id: str
    customer: str
    key: str


class ClaimClient:
    """Claims keys before dispatch and reports outcomes in the background.

    Attributes:
        unreported: Number of outcomes that are still being reported.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        pool: schedulers.SchedulerPool,
        incarnation: str,
        instruments: metrics.Metrics,
    ) -> None:
        """Builds the client of one incarnation of a gateway."""
        self._settings = settings.claims
        self._gateway = settings.instance
        self._incarnation = incarnation
        self._schedulers = pool
        self._metrics = instruments
        self._send, self._receive = anyio.create_memory_object_stream[
            messages.OutcomeReport
        ](math.inf)
        self.unreported = 0

    async def run(self) -> None:
        """Reports outcomes until cancelled."""
        with self._send, self._receive:
            async with anyio.create_task_group() as tasks:
                async for report in self._receive:
                    tasks.start_soon(self._report_outcome, report)

    async def claim(
        self, customer: str, key: str, fingerprint: str
    ) -> Claim | asgi.Response:
        """Returns a claim, or the response that is kept for the key.

        Raises:
            errors.RefusalError: The key cannot be claimed; nothing ran.
            errors.OutcomeUnknownError: The key's request may have run.
        """
        if len(key.encode()) > self._settings.max_key_bytes:
            raise asgi.make_error(
                Codes.REQUEST_TOO_LARGE,
                f"Idempotency-Key of more than "
                f"{self._settings.max_key_bytes} bytes",
            )
        request = messages.ClaimRequest(
            attempt_id=uuid.uuid4().hex,
            customer=customer,
            key=key,
            fingerprint=fingerprint,
            gateway=self._gateway,
            incarnation=self._incarnation,
        )
        claim = Claim(attempt_id=request.attempt_id, customer=customer, key=key)
        try:
            reply = await self._request_claim(request)
        except anyio.get_cancelled_exc_class():
            self.report(claim, Outcome.NOT_RUN)
            raise
        state = reply.state if reply else "unreachable"
        self._metrics.claims.inc({"state": state})
        if reply is None:
            self.report(claim, Outcome.NOT_RUN)
            raise asgi.make_error(
                Codes.CLAIM_UNAVAILABLE, "no scheduler confirmed the claim"
            )
        return _parse_reply(claim, reply)

    def _enqueue(self, report: messages.OutcomeReport) -> None:
        try:
            self._send.send_nowait(report)
        except (anyio.ClosedResourceError, anyio.BrokenResourceError):
            logs.bind(attempt=report.attempt_id).warning(
                "outcome not reported: gateway has stopped"
            )

    def report(
        self,
        claim: Claim,
        outcome: Outcome,
        response: asgi.Response | None = None,
    ) -> None:
        """Reports an outcome in the background.

        Args:
            claim: The claim.
            outcome: Outcome of the request.
            response: The response to keep; its body is left out if it exceeds
                `max_kept_bytes`.
        """
        body = response.body if response else b""
        kept = response is not None and response.complete
        if len(body) > self._settings.max_kept_bytes:
            body, kept = b"", False
        self.unreported += 1
        self._enqueue(
            messages.OutcomeReport(
                attempt_id=claim.attempt_id,
                customer=claim.customer,
                key=claim.key,
                outcome=outcome.value,
                status=response.status if response else 0,
                content_type=response.content_type if response else "",
                body=body,
                body_kept=kept,
            )
        )

    async def _request_claim(
        self, request: messages.ClaimRequest
    ) -> messages.ClaimReply | None:
        """Requests the claim from schedulers in rendezvous order.

        After an unclear failure the next scheduler receives the same attempt
        id, so that both count as one claim.
        """
        for instance in self._order_schedulers(request.customer, request.key):
            link = self._schedulers.find(instance)
            if link is None:
                continue
            try:
                with anyio.fail_after(self._settings.timeout_s):
                    reply = await link.send_request(
                        "claim:" + request.attempt_id, request
                    )
            except (errors.ProtocolError, TimeoutError) as error:
                logs.bind(peer=instance).warning(
                    "claim not confirmed: {}", error
                )
                continue
            if isinstance(reply, messages.ClaimReply):
                return reply
        return None

    def _order_schedulers(self, customer: str, key: str) -> list[str]:
        reachable = [
            member.instance
            for member in self._schedulers.list_members()
            if member.reachable
        ]
        shard = claim_records.find_shard(customer, key)
        order = rendezvous.sort_members(
            claim_records.name_shard(shard), reachable
        )
        return order[: self._settings.max_tries]

    async def _report_outcome(self, report: messages.OutcomeReport) -> None:
        try:
            for _ in range(self._settings.report_tries):
                if await self._report_once(report):
                    return
                await anyio.sleep(self._settings.report_backoff_s)
            logs.bind(attempt_id=report.attempt_id).error(
                "outcome {} not confirmed by a scheduler", report.outcome
            )
        finally:
            self.unreported -= 1

    async def _report_once(self, report: messages.OutcomeReport) -> bool:
        for instance in self._order_schedulers(report.customer, report.key)[:1]:
            link = self._schedulers.find(instance)
            if link is None:
                return False
            try:
                with anyio.fail_after(self._settings.timeout_s):
                    reply = await link.send_request(
                        "outcome:" + report.attempt_id, report
                    )
            except (errors.ProtocolError, TimeoutError):
                return False
            return isinstance(reply, messages.OutcomeReply) and reply.kept
        return False


def _parse_reply(
    claim: Claim, reply: messages.ClaimReply
) -> Claim | asgi.Response:
    match reply.state:
        case "claimed":
            return claim
        case "completed" if not (
            reply.body_kept or reply.body or reply.status in BODILESS_STATUSES
        ):
            raise asgi.make_error(
                Codes.OUTCOME_UNKNOWN,
                f"the request of idempotency key {claim.key!r} completed with "
                f"status {reply.status}, but its response was not kept",
            )
        case "completed":
            return asgi.Response(
                status=reply.status or 200,
                body=reply.body,
                content_type=reply.content_type or asgi.JSON_TYPE,
            )
        case "pending":
            code = Codes.CLAIM_IN_PROGRESS
        case "reused":
            code = Codes.KEY_REUSED
        case "unknown":
            code = Codes.OUTCOME_UNKNOWN
        case _:
            code = Codes.CLAIM_UNAVAILABLE
    raise asgi.make_error(
        code,
        f"idempotency key {claim.key!r}: {reply.state}",
        reply.retry_after_s,
    )
