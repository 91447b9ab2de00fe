"""Finds the software version at which a stream must go on.

The instance that a client resumes a stream at need not be the one that began
it. While a service has upstreams of several software versions, each instance
announces which version began which stream before the first event reaches the
client. In a small cluster all others learn it; in a larger one the relay of the
instance and one more, and an instance that does not know a stream asks its
relay, which asks the others.
"""

from collections.abc import Callable
from collections.abc import Iterable

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import requests
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import entry_messages

QUERY_TIMEOUT_S = 0.4
"""Time for which a resumption waits until another instance knows its stream:
two hops and the links of an instance that has just started."""

RETRY_AFTER_S = 1.0
MAX_UNSENT = 10_000
"""Maximum number of streams that are kept for an instance without a relay."""


class Resumption:
    """Knows the software versions of streams and exchanges them with peers.

    Attributes:
        peers: The links; set after construction.
    """

    def __init__(
        self,
        instance: str,
        is_view_current: Callable[[], bool],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Starts without streams; `peers` must be set before the first one.

        Args:
            instance: Id of this instance.
            is_view_current: Whether this instance would know by now of another
                software version.
            metrics: Counts the streams that clients resume.
        """
        self.peers: entry_peers.Peers | None = None
        self._instance = instance
        self._is_view_current = is_view_current
        self._metrics = metrics
        self._started_at = anyio.current_time()
        self._versions = stream_origins.SoftwareVersions()
        self._origins = stream_origins.StreamOrigins()
        self._own: dict[str, stream_origins.StreamOrigins] = {}
        self._mixed: frozenset[str] = frozenset()
        self._unsent: dict[str, str] = {}
        self._waiting: dict[str, anyio.Event] = {}

    def apply_upstreams(
        self,
        changed: Iterable[upstream_entries.UpstreamEntry],
        removed: Iterable[str],
    ) -> None:
        """Applies changed and removed upstreams.

        Announces the streams of this instance that began before their service
        had several versions.
        """
        now = anyio.current_time()
        for entry in changed:
            self._versions.set_upstream(entry, now)
        for name in removed:
            self._versions.remove_upstream(name, now)
        before, self._mixed = self._mixed, self._versions.list_mixed(now)
        for service in self._mixed - before:
            logs.bind(
                service=service,
                versions=sorted(self._versions.list_recent(service, now)),
            ).info("service has several software versions")
            if service in self._own:
                self._announce(self._own[service].list_all(now))

    def record_begin(
        self, request: requests.ClientRequest, software: str
    ) -> None:
        """Records which version begins a stream, before its first event."""
        if not request.route.resumable:
            return
        now = anyio.current_time()
        service = request.service.name
        own = self._own.setdefault(service, stream_origins.StreamOrigins())
        own.record(request.request_id, software, now)
        self._record(request.request_id, software, stream_origins.Source.OWN)
        if service in self._mixed:
            self._announce({software: (request.request_id,)})

    def record_end(self, request: requests.ClientRequest) -> None:
        """Records that a stream of this instance is complete."""
        own = self._own.get(request.service.name)
        if own is not None:
            own.forget(request.request_id)

    async def find_software(
        self, request: requests.ClientRequest
    ) -> str | None:
        """Returns the software version that must run a request.

        Returns:
            The version that began the stream; None for a new stream.

        Raises:
            errors.RefusalError: The version is not known.
        """
        if not request.resume_after:
            return None
        begun_as = request.resumed_request
        found = self._find(request)
        if found is None:
            self._ask(begun_as)
            await self._wait_for(begun_as)
            found = self._find(request)
        self._log_found(request, found)
        if found is None:
            raise errors.RefusalError(
                result_codes.ResultCode.SOFTWARE_UNKNOWN,
                f"software version that began {begun_as!r} is not known",
                RETRY_AFTER_S,
            )
        return found[0]

    def _log_found(
        self,
        request: requests.ClientRequest,
        found: tuple[str, stream_origins.Source] | None,
    ) -> None:
        now = anyio.current_time()
        service = request.service.name
        source = "unknown" if found is None else found[1].value
        self._metrics.client_resumes.inc({"pool": service, "source": source})
        logs.bind(
            request_id=request.request_id,
            resumed_request=request.resumed_request,
            software=None if found is None else found[0],
            source=source,
            versions=sorted(self._versions.list_recent(service, now)),
            current=self._is_view_current(),
            uptime_s=round(now - self._started_at, 3),
        ).info("version of a resumed stream determined")

    def handle_open(self, link: entry_peers.Link) -> None:
        """Sends the known streams on a new link, if they may be needed."""
        if not self._mixed:
            return
        streams = self._origins.list_all(anyio.current_time())
        if streams:
            link.queue.put(entry_messages.StreamsNotice(streams=streams))

    def apply_notice(self, notice: entry_messages.StreamsNotice) -> None:
        """Applies what other instances began."""
        for software, request_ids in notice.streams.items():
            for request_id in request_ids:
                self._record(request_id, software, stream_origins.Source.PEER)

    def apply_reply(self, reply: entry_messages.StreamReply) -> None:
        """Applies a reply, or passes it on to the member that asked."""
        self._record(
            reply.request_id, reply.software, stream_origins.Source.PEER
        )
        if reply.asker != self._instance:
            self._get_peers().send(reply.asker, reply)

    def handle_query(
        self, peer: entry_peers.Peer, query: entry_messages.StreamQuery
    ) -> None:
        """Replies to a query, or passes that of a member on to the others."""
        found = self._origins.find(query.request_id, anyio.current_time())
        if found is not None:
            peer.send(
                entry_messages.StreamReply(
                    request_id=query.request_id,
                    software=found[0],
                    asker=query.asker,
                )
            )
        elif peer.is_member and query.asker == peer.instance:
            for other in self._get_peers().list_linked():
                if other is not peer:
                    other.send(query)

    def send_unsent(self) -> None:
        """Sends what this instance began since the last report.

        A member sends it to its relay, a relay to one of its members.
        """
        if not self._unsent:
            return
        peers = self._get_peers()
        receivers = [peers.relay]
        if peers.is_relay:
            linked = peers.list_members() or peers.list_relays()
            receivers = sorted(peer.instance for peer in linked)
        streams = stream_origins.group_by_version(self._unsent.items())
        notice = entry_messages.StreamsNotice(streams=streams)
        if receivers and peers.send(receivers[0], notice):
            self._unsent.clear()

    def _find(
        self, request: requests.ClientRequest
    ) -> tuple[str, stream_origins.Source] | None:
        now = anyio.current_time()
        found = self._origins.find(request.resumed_request, now)
        if found is not None:
            return found
        versions = self._versions.list_recent(request.service.name, now)
        if len(versions) == 1 and self._is_view_current():
            return next(iter(versions)), stream_origins.Source.ONLY_VERSION
        return None

    def _record(
        self, request_id: str, software: str, source: stream_origins.Source
    ) -> None:
        now = anyio.current_time()
        self._origins.record(request_id, software, now, source)
        event = self._waiting.get(request_id)
        if event is not None:
            event.set()

    def _announce(self, streams: stream_origins.OriginsByVersion) -> None:
        peers = self._get_peers()
        if peers.plan.is_flat:
            peers.broadcast(entry_messages.StreamsNotice(streams=dict(streams)))
            return
        for software, request_ids in streams.items():
            self._unsent.update(dict.fromkeys(request_ids, software))
        while len(self._unsent) > MAX_UNSENT:
            del self._unsent[next(iter(self._unsent))]

    def _ask(self, request_id: str) -> None:
        query = entry_messages.StreamQuery(
            request_id=request_id, asker=self._instance
        )
        for peer in self._get_peers().list_linked():
            peer.send(query)

    async def _wait_for(self, request_id: str) -> None:
        event = self._waiting.setdefault(request_id, anyio.Event())
        with anyio.move_on_after(QUERY_TIMEOUT_S):
            await event.wait()
        if self._waiting.get(request_id) is event:
            del self._waiting[request_id]

    def _get_peers(self) -> entry_peers.Peers:
        assert self.peers is not None
        return self.peers
