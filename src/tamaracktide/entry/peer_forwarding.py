"""Sends requests through other instances while no upstream is reachable.

An instance that is cut off from the upstreams of a service passes its requests
on to a peer that reaches them. The peer handles them as those of its own
clients, but never passes them on again.
"""

from collections.abc import Collection
import random

import anyio

from tamaracktide.core import rows
from tamaracktide.core import upstream_entries
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import platform_adapter as entry_adapter
from tamaracktide.entry import responses
from tamaracktide.entry import results
from tamaracktide.entry import runs
from tamaracktide.entry import sending
from tamaracktide.entry import service_cell
from tamaracktide.entry import settings as entry_settings
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.upstreams import calls
from tamaracktide.upstreams import streams

TOKEN_HEADER = b"x-tamaracktide-token"
ATTEMPTS_HEADER = b"x-tamaracktide-attempts"
WORKSPACE_HEADER = b"x-tamaracktide-workspace"
RELAY_HEADERS = frozenset((TOKEN_HEADER, ATTEMPTS_HEADER, WORKSPACE_HEADER))
"""Headers between instances, which no upstream receives."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses by which an instance refuses a request."""


class PeerForwarder:
    """Chooses peers and sends requests to them.

    Attributes:
        peers: The links; set after construction.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        adapter: entry_adapter.PlatformAdapter,
        client: streams.StreamClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        """Builds a forwarder; `peers` must be set before the first request.

        Args:
            settings: The instance's settings.
            adapter: Translates headers.
            client: Sends the requests.
            metrics: Counts them.
        """
        self.peers: entry_peers.Peers | None = None
        self._settings = settings
        self._adapter = adapter
        self._client = client
        self._metrics = metrics

    def find_attempt(self, run: runs.Run) -> runs.Attempt | None:
        """Returns the attempt to send to an instance; None for an upstream."""
        is_relayed = run.request.relayed_attempts is not None
        if is_relayed or not run.cell.reachability.is_cut_off:
            return None
        instance = self._choose(run.request.service.name, run.peers)
        if instance is None:
            return None
        run.peers.append(instance)
        return self._make_attempt(run, instance)

    def _choose(self, service: str, tried: Collection[str]) -> str | None:
        """Returns an instance that reaches the upstreams of a service.

        Instances of the same availability zone come first. A member of a large
        cluster knows its relay only, and otherwise tries any instance.

        Args:
            service: Name of the service.
            tried: Instances that did not run the request.
        """
        peers = self.peers
        if peers is None:
            return None
        linked = peers.list_linked()
        usable = [
            peer
            for peer in linked
            if peer.instance not in tried
            and not peer.draining
            and service not in peer.cut_off
        ]
        if usable:
            zone = self._settings.availability_zone
            near = [peer for peer in usable if peer.zone == zone]
            return random.choice(near or usable).instance
        known = {peer.instance for peer in linked}
        others = peers.list_instances() - known - set(tried)
        return random.choice(sorted(others)) if others else None

    def _make_attempt(self, run: runs.Run, instance: str) -> runs.Attempt:
        """Returns the attempt that sends a request to an instance."""
        entry = upstream_entries.UpstreamEntry(
            upstream=instance,
            service=run.request.service.name,
            address=self._find_address(instance),
            zone="",
            batch_limit=0,
        )
        return runs.Attempt(
            service_cell.Placement(
                grant_id="",
                entry=entry,
                key=rows.AdapterKey("", ""),
                waited_s=0.0,
            ),
            is_relayed=True,
        )

    def _find_address(self, instance: str) -> str:
        assert self.peers is not None
        port = self._settings.effective_forward_port
        return f"{self.peers.find_ip(instance)}:{port}"

    async def open(
        self,
        run: runs.Run,
        attempt: runs.Attempt,
        on_send: streams.OnSend | None = None,
    ) -> sending.OpenResult:
        """Sends a request to an instance and returns its response.

        Args:
            run: The request.
            attempt: Names the instance.
            on_send: Called as the request is sent.
        """
        request, progress = run.request, run.progress
        time_left_s = request.expires_at - anyio.current_time()
        if time_left_s < sending.MIN_SEND_TIME_S:
            return results.NotRun("too little time left to send the request")
        headers = self._adapter.make_relayed_headers(
            request, time_left_s, progress.last_id
        )
        own_headers = [
            (TOKEN_HEADER, self._settings.inner_token.encode("latin-1")),
            (ATTEMPTS_HEADER, str(run.tries.attempts_left).encode()),
        ]
        if request.caller is not None:
            workspace = request.caller.workspace.encode("latin-1")
            own_headers.append((WORKSPACE_HEADER, workspace))
        logs.bind(
            request_id=request.request_id,
            service=request.service.name,
            peer=attempt.upstream,
        ).info("no upstream reachable: request sent to a peer")
        self._metrics.relayed.inc({"pool": request.service.name})
        progress.upstreams.append(attempt.upstream)
        opened = await self._client.open(
            calls.Call(
                method=request.method,
                address=attempt.placement.entry.address,
                target=request.target,
                # A client must not name a workspace or the attempts itself.
                headers=(
                    *(pair for pair in headers if pair[0] not in RELAY_HEADERS),
                    *own_headers,
                ),
                body=request.body,
                timeout_s=time_left_s,
                request_id=request.request_id,
            ),
            on_send=on_send,
        )
        if isinstance(opened, calls.Failure):
            if not opened.may_have_run:
                return results.NotRun(opened.detail, unreachable=True)
            return results.make_lost_response(opened)
        failure = self._check(run, opened)
        match failure:
            case None:
                return opened
            case results.LostResponse():
                await opened.abort()
            case results.NotRun():
                await opened.close()
        return failure

    def _check(
        self, run: runs.Run, opened: streams.StreamedResponse
    ) -> results.NotRun | results.LostResponse | None:
        """Returns why a response must not be forwarded, or None."""
        fields = self._adapter.parse_response_headers(
            opened.status, opened.headers
        )
        if not fields.signed and opened.status in NOT_RUN_STATUSES:
            return _interpret_refusal(run, opened)
        return sending.check_signature(opened.status, fields)


def _interpret_refusal(
    run: runs.Run, opened: streams.StreamedResponse
) -> results.NotRun | results.LostResponse:
    """Returns what the refusal of a peer says about a request.

    What may run again goes to another peer in either case.
    """
    request = run.request
    named = (responses.NOT_RUN_HEADER, request.request_id.encode("latin-1"))
    detail = f"peer refused with {opened.status}"
    if named in opened.headers:
        return results.NotRun(f"{detail}, and states that it has not run")
    if request.route.safe_to_retry:
        return results.NotRun(f"{detail}, which may be retried")
    return results.LostResponse(f"{detail}, without a statement")
