"""Finds the service and software version at which a stream must go on.

The instance that a client resumes a stream at need not be the one that began
it. While a service has upstreams of several software versions, or a route's
shares have changed recently, each instance announces which version and service
began which stream before the first event reaches the client. In a small cluster
all others learn it; in a larger one the relay of the instance and one more, and
an instance that does not know a stream asks its relay, which asks the others.
What all of them have lost is read from the store.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
from typing import TypeVar

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import requests
from tamaracktide.entry import stream_records
from tamaracktide.observability import logs
from tamaracktide.observability import metrics as metrics_module
from tamaracktide.protocol import entry_messages

READ_TIMEOUT_S = 0.3
"""Time in which the records are read as a rule: the pause between two reads and
the network round trip."""

QUERY_TIMEOUT_S = 0.4
"""Time for which a resumption then waits until another instance knows its
stream: two hops and the links of an instance that has just started."""

RETRY_AFTER_S = 1.0
"""Retry-After of a refusal while the records could not be read."""

MAX_UNSENT = 10_000
"""Maximum number of streams that are kept for an instance without a relay."""

MAX_QUERIES = 1_000
"""Maximum number of questions of members that wait for the records."""


_T = TypeVar("_T")


class Resumption:
    """Knows the software versions of streams and exchanges them with peers.

    Attributes:
        peers: The links; set after construction.
        records: The records in the store; set after construction.
        history: What this instance knows of streams.
        on_return: Called with the request that began a resumed stream.
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
        self.records: stream_records.StreamRecords | None = None
        self.on_return: Callable[[str], None] = lambda _: None
        self._started_at = anyio.current_time()
        self.history = stream_history.StreamHistory(self._started_at)
        self._instance = instance
        self._is_view_current = is_view_current
        self._metrics = metrics
        self._is_first_start = False
        self._unsent: dict[str, str] = {}
        self._waiting: dict[str, anyio.Event] = {}
        self._queries: dict[tuple[str, str], entry_messages.StreamQuery] = {}

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
        self._announce_tracked(
            self.history.apply_upstreams(changed, removed, now)
        )

    def apply_document(
        self, document: routing_document.RoutingDocument
    ) -> None:
        """Applies a routing document.

        Announces the streams of this instance whose route has changed its
        shares.
        """
        now = anyio.current_time()
        self._announce_tracked(self.history.apply_document(document, now))

    def record_unlisted(self, service: str, software: str) -> None:
        """Records that upstreams run a version that no entry names."""
        self._announce_tracked(
            self.history.restore_ages(
                {service: {software: 0.0}},
                anyio.current_time(),
                is_complete=False,
            )
        )

    def record_begin(
        self, request: requests.ClientRequest, software: str
    ) -> None:
        """Records which version begins a stream, before its first event."""
        if not request.route.resumable:
            return
        now = anyio.current_time()
        service = request.service.name
        self.history.record_begin(service, request.request_id, software, now)
        self._wake(request.request_id)
        if service in self.history.tracked:
            self._announce({software: (request.request_id,)})

    def record_end(self, request: requests.ClientRequest) -> None:
        """Records that a stream of this instance is complete."""
        begun_as = request.request_id
        if request.resume_after:
            begun_as = request.resumed_request
        self.history.record_end(request.service.name, begun_as)

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
        begun_as, service = request.resumed_request, request.service.name
        arrived_at = anyio.current_time()
        found = self.history.find(begun_as, arrived_at)
        if found is None:
            found = await self.learn(
                begun_as, lambda: self._find(begun_as, service, arrived_at)
            )
        self._log_found(request, found)
        if found is not None:
            self.on_return(begun_as)
            # What the client holds from now on is of this version, too.
            self.history.record_begin(service, begun_as, found[0], arrived_at)
            return found[0]
        raise errors.RefusalError(
            result_codes.ResultCode.SOFTWARE_UNKNOWN,
            f"software version that began {begun_as!r} is not known",
            self.find_retry_after_s(request.expires_at, arrived_at),
        )

    async def learn(
        self, begun_as: str, find: Callable[[], _T | None]
    ) -> _T | None:
        """Reads the records and asks the other instances for a stream.

        The others are asked at once only while they may know better.

        Args:
            begun_as: Id of the request that began it.
            find: Returns what must be known of it, None as long as it is not.
        """
        self._get_records().request_load()
        if self.history.tracked:
            self._ask(begun_as)
        with anyio.move_on_after(READ_TIMEOUT_S):
            return await self._wait_for(begun_as, find)
        self._ask(begun_as)
        self._get_records().request_load()
        with anyio.move_on_after(QUERY_TIMEOUT_S):
            return await self._wait_for(begun_as, find)
        return None

    def has_read_records(self, since: float) -> bool:
        """Whether all records were read from the store since a time."""
        return self._get_records().loaded_at >= since

    def find_retry_after_s(self, expires_at: float, arrived_at: float) -> float:
        """Returns when a stream that nobody knows may be known.

        What neither the instances nor the records know stays unknown.

        Args:
            expires_at: When the response of the request must be complete.
            arrived_at: When the request arrived.
        """
        if not self.has_read_records(arrived_at):
            return RETRY_AFTER_S
        return max(RETRY_AFTER_S, expires_at - anyio.current_time())

    def _log_found(
        self,
        request: requests.ClientRequest,
        found: stream_history.Found | None,
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
            versions=self.history.list_versions(now).get(service, ()),
            complete=self.history.is_complete(now),
            current=self._is_view_current(),
            uptime_s=round(now - self._started_at, 3),
        ).info("version of a resumed stream determined")

    def handle_open(self, link: entry_peers.Link) -> None:
        """Sends what is known of streams on a new link."""
        now = anyio.current_time()
        is_complete = self.history.is_complete(now)
        streams = self.history.list_streams(now) if self.history.tracked else {}
        if streams or is_complete:
            link.queue.put(self._make_versions_notice(streams))

    def apply_notice(self, notice: entry_messages.StreamsNotice) -> None:
        """Applies what other instances began, and the versions they know."""
        now = anyio.current_time()
        source = stream_origins.Source.PEER
        self.history.record(notice.streams, source, now)
        self.history.record_services(notice.services)
        for request_ids in notice.streams.values():
            for request_id in request_ids:
                self._wake(request_id)
        if notice.versions:
            self._announce_tracked(
                self.history.restore_ages(
                    notice.versions, now, is_complete=notice.is_complete
                )
            )
            self._wake_all()

    def apply_reply(self, reply: entry_messages.StreamReply) -> None:
        """Applies a reply, or passes it on to the member that asked."""
        streams = {reply.software: (reply.request_id,)}
        now = anyio.current_time()
        self.history.record(streams, stream_origins.Source.PEER, now)
        if reply.service:
            self.history.record_services({reply.service: (reply.request_id,)})
        self._wake(reply.request_id)
        if reply.asker != self._instance:
            self._get_peers().send(reply.asker, reply)

    def handle_query(
        self, peer: entry_peers.Peer, query: entry_messages.StreamQuery
    ) -> None:
        """Replies to a query, or passes that of a member on to the others."""
        if self._reply(query, peer.instance):
            return
        if not (peer.is_member and query.asker == peer.instance):
            return
        for other in self._get_peers().list_linked():
            if other is not peer:
                other.send(query)
        self._keep(query)
        self._get_records().request_load()

    def _keep(self, query: entry_messages.StreamQuery) -> None:
        """Keeps a question until the records are read, and the newest only."""
        key = (query.asker, query.request_id)
        self._queries.pop(key, None)
        self._queries[key] = query
        while len(self._queries) > MAX_QUERIES:
            del self._queries[next(iter(self._queries))]

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
        notice = self._make_notice(
            stream_origins.group_ids(self._unsent.items())
        )
        if receivers and peers.send(receivers[0], notice):
            self._unsent.clear()

    def check_view(self) -> None:
        """Gives up the history's completeness while changes may be missed."""
        if not self._is_view_current():
            self.history.interrupt(anyio.current_time())

    def apply_first_start(self) -> None:
        """Applies that no stream had begun before this instance started."""
        if self._is_first_start:
            return
        self._is_first_start = True
        now = anyio.current_time()
        self.history.restore_ages({}, now, is_complete=True)
        logs.bind(versions=self.history.list_versions(now)).info(
            "first start of the deployment; no stream began before"
        )
        self._tell_versions()
        self._get_records().record_soon()
        self._wake_all()

    def apply_restored(self, newly_tracked: frozenset[str]) -> None:
        """Continues what waited until the records in the store were read."""
        self._announce_tracked(newly_tracked)
        self._wake_all()
        peers = self._get_peers()
        if peers.is_relay and not peers.plan.is_flat:
            self._tell_versions()
        queries, self._queries = self._queries, {}
        for query in queries.values():
            self._reply(query, query.asker)

    def _reply(self, query: entry_messages.StreamQuery, receiver: str) -> bool:
        """Replies to a query; returns whether the stream is recorded.

        The only version that this instance knows of is no reply: the asker may
        know of another one.
        """
        found = self.history.find(query.request_id, anyio.current_time())
        if found is None:
            return False
        self._get_peers().send(
            receiver,
            entry_messages.StreamReply(
                request_id=query.request_id,
                software=found[0],
                asker=query.asker,
                service=self.history.find_service(query.request_id),
            ),
        )
        return True

    def _find(
        self, begun_as: str, service: str, arrived_at: float
    ) -> stream_history.Found | None:
        """Returns the version of a stream.

        The only version that is known began a stream that nobody knows, if the
        records were read since its retry arrived. That no call has failed says
        nothing: a cut may be silent.
        """
        now = anyio.current_time()
        found = self.history.find(begun_as, now)
        if found is None and self.has_read_records(arrived_at):
            return self.history.find_only_version(service, now)
        return found

    def _wake_all(self) -> None:
        for event in self._waiting.values():
            event.set()

    def _wake(self, request_id: str) -> None:
        event = self._waiting.get(request_id)
        if event is not None:
            event.set()

    def _announce_tracked(self, services: frozenset[str]) -> None:
        """Announces the streams of services that others must know from now."""
        now = anyio.current_time()
        for service in services:
            logs.bind(
                service=service,
                versions=self.history.list_versions(now).get(service, ()),
                mixed=service in self.history.mixed,
            ).info("streams of a service are announced")
            self._announce(self.history.list_begun(service, now))
        if services:
            self._tell_versions()
            self._get_records().record_soon()

    def _announce(self, streams: stream_origins.OriginsByVersion) -> None:
        peers = self._get_peers()
        if peers.plan.is_flat:
            peers.broadcast(self._make_notice(streams))
            return
        for software, request_ids in streams.items():
            self._unsent.update(dict.fromkeys(request_ids, software))
        while len(self._unsent) > MAX_UNSENT:
            del self._unsent[next(iter(self._unsent))]

    def _tell_versions(self) -> None:
        """Tells the linked instances which versions there are."""
        notice = self._make_versions_notice({})
        for peer in self._get_peers().list_linked():
            peer.send(notice)

    def _make_versions_notice(
        self, streams: stream_origins.OriginsByVersion
    ) -> entry_messages.StreamsNotice:
        now = anyio.current_time()
        return dataclasses.replace(
            self._make_notice(streams),
            versions=self.history.list_ages(now),
            is_complete=self.history.is_complete(now),
        )

    def _make_notice(
        self, streams: stream_origins.OriginsByVersion
    ) -> entry_messages.StreamsNotice:
        """Returns the announcement of streams, without versions."""
        return entry_messages.StreamsNotice(
            streams=dict(streams),
            services=self.history.group_by_service(
                itertools.chain.from_iterable(streams.values())
            ),
        )

    def _ask(self, request_id: str) -> None:
        query = entry_messages.StreamQuery(
            request_id=request_id, asker=self._instance
        )
        for peer in self._get_peers().list_linked():
            peer.send(query)

    async def _wait_for(
        self, begun_as: str, find: Callable[[], _T | None]
    ) -> _T:
        while True:
            event = self._waiting.setdefault(begun_as, anyio.Event())
            try:
                await event.wait()
            finally:
                if self._waiting.get(begun_as) is event:
                    del self._waiting[begun_as]
            found = find()
            if found is not None:
                return found

    def _get_records(self) -> stream_records.StreamRecords:
        assert self.records is not None
        return self.records

    def _get_peers(self) -> entry_peers.Peers:
        assert self.peers is not None
        return self.peers
