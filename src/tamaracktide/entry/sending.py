"""Sends requests to upstreams and checks the headers of their responses."""

from collections.abc import Callable

import anyio

from tamaracktide.core import routing_document
from tamaracktide.entry import attestation
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import requests
from tamaracktide.entry import results
from tamaracktide.entry import send_limits
from tamaracktide.entry import service_cell
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

STREAM_IDLE_TIMEOUT_S = 1.5
"""Silence of a resumable stream after which another upstream is sought. Clients
disconnect after 2 s or more without data. Events arrive every 30 ms, or every
250 ms while the engine also processes long prompts."""

HEDGE_DELAY_FACTOR = 2.0
"""Target latencies without data after which an idempotent call is hedged."""

MIN_HEDGE_DELAY_S = 0.3
MIN_SEND_TIME_S = 0.03
"""A request with less time left is not sent."""

REFUSAL_TIMEOUT_S = 0.2
"""Time without data after which the rest of a refusal is not awaited."""

OpenResult = streams.StreamedResponse | results.NotRun | results.LostResponse


class Sender:
    """Sends requests to the upstreams that were granted to them."""

    def __init__(
        self,
        adapter: entry_adapter.PlatformAdapter,
        upstream_client: streams.StreamClient,
        find_version: Callable[[str, str], int],
        find_cell: Callable[
            [routing_document.Service], service_cell.ServiceCell
        ],
        attestor: attestation.Attestor,
    ) -> None:
        """Builds a sender.

        Args:
            adapter: Translates headers.
            upstream_client: Sends the requests.
            find_version: Returns the announced version of an adapter, 0 if
                none.
            find_cell: Returns the cell of a service, which applies the limits
                that its upstreams name.
            attestor: Decides whether a stream is resumed on a connection.
        """
        self._adapter = adapter
        self._attestor = attestor
        self._find_cell = find_cell
        self._upstream_client = upstream_client
        self._find_version = find_version

    async def open(
        self,
        request: requests.ClientRequest,
        progress: results.Progress,
        placement: service_cell.Placement,
        on_silence: streams.OnSilence | None,
        *,
        on_send: streams.OnSend | None = None,
    ) -> OpenResult:
        """Sends a request and returns its response, whose headers fit it.

        Args:
            request: The request.
            progress: Names the event to resume after; is updated.
            placement: The granted batch slot.
            on_silence: Called when the upstream is silent; None waits until
                the request expires.
            on_send: Called as the request is sent.
        """
        remaining_s = request.expires_at - anyio.current_time()
        if remaining_s < MIN_SEND_TIME_S:
            return results.NotRun(
                "too little time left to send the request", unsent=True
            )
        options = entry_adapter.CallOptions(
            upstream=placement.entry.upstream,
            address=placement.entry.address,
            time_left_s=remaining_s,
            priority=request.priority,
            version=self._find_required_version(request),
            resume_after=progress.last_id,
        )
        timeout_s = remaining_s
        if on_silence is not None:
            timeout_s = find_idle_timeout_s(request, remaining_s)
        address = placement.entry.address
        fresh = address in progress.addresses
        progress.upstreams.append(placement.entry.upstream)
        progress.addresses.add(address)
        opened = await self._upstream_client.open(
            calls.Call(
                method=request.method,
                address=address,
                target=request.target,
                headers=self._adapter.make_headers(request, options),
                body=request.body,
                timeout_s=timeout_s,
                request_id=request.request_id,
            ),
            fresh=fresh,
            on_silence=on_silence,
            on_send=on_send,
            admit=self._attestor.make_admit(
                request,
                placement.entry,
                has_begun=progress.software is not None,
            ),
        )
        if isinstance(opened, calls.Failure):
            if not opened.may_have_run:
                is_unreachable = opened.kind is calls.FailureKind.UNREACHABLE
                return results.NotRun(
                    opened.detail,
                    unreachable=is_unreachable,
                    unsent=not is_unreachable,
                )
            return results.make_lost_response(opened)
        failure = self._check(request, placement, opened)
        if failure is None:
            return opened
        if isinstance(failure, results.LostResponse):
            # The upstream may still be at work on the request.
            await opened.abort()
            return failure
        try:
            # The connection can be used again once the refusal is read.
            opened.set_timeout(REFUSAL_TIMEOUT_S, None)
            await opened.read(opened.max_pending_bytes)
        finally:
            await opened.close()
        return failure

    def _find_required_version(self, request: requests.ClientRequest) -> int:
        generation = request.generation
        if generation is None or not generation.adapter:
            return 0
        return self._find_version(generation.model, generation.adapter)

    def _check(
        self,
        request: requests.ClientRequest,
        placement: service_cell.Placement,
        opened: streams.StreamedResponse,
    ) -> results.NotRun | results.LostResponse | None:
        """Returns why a response must not be forwarded, or None."""
        fields = self._adapter.parse_response_headers(
            opened.status, opened.headers
        )
        if fields.request_id:
            cell = self._find_cell(request.service)
            cell.reachability.record_contact(placement.entry.upstream)
            cell.record_limits(
                placement.entry,
                send_limits.NamedLimits(fields.rate_limit, fields.brittle),
                overloaded=fields.overloaded,
            )
        if fields.not_run:
            # Only an adapter can be missing; others reject for want of room.
            generation = request.generation
            needs_adapter = generation is not None and bool(generation.adapter)
            return results.NotRun(
                f"status {opened.status} for request {fields.request_id!r}",
                missing=fields.misdirected and needs_adapter,
            )
        return check_signature(opened.status, fields)


def check_signature(
    status: int, fields: entry_adapter.ResponseFields
) -> results.LostResponse | None:
    """Returns why a successful response is not an upstream's, or None."""
    is_success = 200 <= status < 300
    if is_success and not (fields.signed and fields.request_id):
        return results.LostResponse(
            "successful response without a signature or request id"
        )
    return None


def find_idle_timeout_s(
    request: requests.ClientRequest, remaining_s: float
) -> float:
    """Returns the time without data after which an upstream is silent."""
    route = request.route
    match route.kind:
        case routing_document.RequestKind.STREAMING if route.resumable:
            return min(remaining_s, STREAM_IDLE_TIMEOUT_S)
        case routing_document.RequestKind.IDEMPOTENT if route.max_attempts > 1:
            delay_s = HEDGE_DELAY_FACTOR * route.target_latency_s
            return min(remaining_s, max(MIN_HEDGE_DELAY_S, delay_s))
        case _:
            return remaining_s
