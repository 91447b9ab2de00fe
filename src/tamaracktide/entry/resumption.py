"""Finds the service and software version at which a stream must go on.

The instance that a client resumes a stream at need not be the one that began
it. While a service has upstreams of several software versions, or a route's
shares have changed recently, each instance announces which version and service
began which stream before the first event reaches the client. In a small cluster
all others learn it; in a larger one the relay of the instance and one more, and
an instance that does not know a stream asks its relay, which asks the others.
What all of them have lost is read from the store. What no record names began
at a version that some instance had stated (`stated_versions`).
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
import random
from typing import TypeVar

import anyio

from tamaracktide import errors
from tamaracktide import result_codes
from tamaracktide.core import routing_document
from tamaracktide.core import stream_history
from tamaracktide.core import stream_origins
from tamaracktide.core import upstream_entries
from tamaracktide.core import version_statements
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import requests
from tamaracktide.entry import stated_versions
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
"""Maximum number of questions of others that wait for the records."""

MAX_READERS = 2
"""Peers that read the records for an instance that does not reach the store."""

READER_MAX_SILENT_S = 0.5
"""Maximum time since the store responded to such a peer."""


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
        stated: stated_versions.StatedVersions,
        is_view_current: Callable[[], bool],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Starts without streams; `peers` must be set before the first one.

        Args:
            instance: Id of this instance.
            stated: The versions that instances may begin streams at.
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
        self._stated = stated
        self._is_view_current = is_view_current
        self._metrics = metrics
        self._is_first_start = False
        self._unsent: dict[str, str] = {}
        self._waiting: dict[str, anyio.Event] = {}
        self._unconfirmed: dict[str, set[str]] = {}
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
        entries, gone = list(changed), list(removed)
        self._stated.own.apply_upstreams(entries, gone, now)
        self._announce_tracked(self.history.apply_upstreams(entries, gone, now))
        self._record_unstated()

    def apply_document(
        self, document: routing_document.RoutingDocument
    ) -> None:
        """Applies a routing document.

        Announces the streams of this instance whose route has changed its
        shares.
        """
        now = anyio.current_time()
        self._stated.own.apply_document(document)
        self._announce_tracked(self.history.apply_document(document, now))
        self._record_unstated()

    def record_unlisted(self, service: str, software: str) -> None:
        """Records that upstreams run a version that no entry names."""
        self._stated.own.record_unlisted(
            service, software, anyio.current_time()
        )
        self._get_records().record_soon()
        self._announce_tracked(
            self.history.restore_ages(
                {service: {software: 0.0}},
                anyio.current_time(),
                is_complete=False,
            )
        )

    def _record_unstated(self) -> None:
        """States new versions without waiting for the end of the period."""
        if self._stated.lacks_versions():
            self._get_records().record_soon()

    async def hold(
        self, request: requests.ClientRequest, software: str
    ) -> bool:
        """Waits until a version is stated, before it writes a stream.

        Returns:
            Whether it may write the stream.
        """
        if not request.route.resumable:
            return True
        return await self._stated.hold(request.service.name, software)

    async def record_begin(
        self, request: requests.ClientRequest, software: str
    ) -> bool:
        """Records which version writes a stream, before its first event.

        Returns:
            Whether whoever must know of it does.
        """
        if not request.route.resumable:
            return True
        begun_as = _get_begun_as(request)
        service = request.service.name
        self.history.record_begin(
            service, begun_as, software, anyio.current_time()
        )
        self._wake(begun_as)
        if service in self.history.tracked:
            self._announce({software: (begun_as,)})
        witnesses = self._stated.list_witnesses(service, software)
        if not witnesses:
            return True
        is_confirmed = await self._confirm(begun_as, witnesses)
        if not is_confirmed:
            self._stated.record_unconfirmed(service, software)
        return is_confirmed

    async def _confirm(
        self,
        begun_as: str,
        witnesses: frozenset[version_statements.Witness],
    ) -> bool:
        """Waits until all witnesses of a stream know it, or the store does.

        A witness that knows it replies to a question.
        """
        records = self._get_records()
        records.record_soon()
        waiting = {witness.instance for witness in witnesses}
        for instance in sorted(waiting):
            query = entry_messages.StreamQuery(
                request_id=begun_as, asker=self._instance
            )
            self._get_peers().send(instance, query)
        self._unconfirmed[begun_as] = waiting
        try:
            with anyio.move_on_after(QUERY_TIMEOUT_S):
                return await self._wait_for(
                    begun_as,
                    lambda: not waiting or records.holds(begun_as) or None,
                )
            return False
        finally:
            # Another attempt at the same stream may wait, too.
            if self._unconfirmed.get(begun_as) is waiting:
                del self._unconfirmed[begun_as]

    def wake_recorded(self) -> None:
        """Continues the streams that the store knows now."""
        for begun_as in self._unconfirmed:
            self._wake(begun_as)

    def record_end(self, request: requests.ClientRequest) -> None:
        """Records that a stream of this instance is complete."""
        self.history.record_end(request.service.name, _get_begun_as(request))

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
                begun_as,
                lambda: self._find(begun_as, service, arrived_at),
                service,
            )
        self._log_found(request, found, arrived_at)
        if found is not None:
            self.on_return(begun_as)
            return found[0]
        raise errors.RefusalError(
            result_codes.ResultCode.SOFTWARE_UNKNOWN,
            f"software version that began {begun_as!r} is not known",
            self.find_retry_after_s(request.expires_at, arrived_at),
        )

    async def learn(
        self, begun_as: str, find: Callable[[], _T | None], service: str = ""
    ) -> _T | None:
        """Reads the records and asks the other instances for a stream.

        The others are asked at once only while they may have to deny it.

        Args:
            begun_as: Id of the request that began it.
            find: Returns what must be known of it, None as long as it is not.
            service: Its service, empty if that is what must be known.
        """
        since = anyio.current_time()
        query = entry_messages.StreamQuery(
            request_id=begun_as,
            asker=self._instance,
            process=self._stated.own.process,
            service=service,
        )
        self._get_records().request_load()
        if self.history.tracked:
            self._ask(query)
        with anyio.move_on_after(READ_TIMEOUT_S):
            return await self._wait_for(begun_as, find)
        self._ask(query, needs_records=not self.has_read_records(since))
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
        arrived_at: float,
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
            possible=self._find_possible(request),
            complete=self.history.is_complete(now),
            read=self.has_read_records(arrived_at),
            uptime_s=round(now - self._started_at, 3),
        ).info("version of a resumed stream determined")

    def _find_possible(
        self, request: requests.ClientRequest
    ) -> list[str] | None:
        """Returns the versions that lost processes had stated, for logs."""
        service = request.service.name
        found = self._stated.find_possible(
            request.resumed_request,
            service,
            self.history.list_recent(service, anyio.current_time()),
        )
        return None if found is None else sorted(found)

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

    def apply_reply(
        self, sender: str, reply: entry_messages.StreamReply
    ) -> None:
        """Applies a reply, or passes it on to the member that asked."""
        if reply.asker != self._instance:
            self._get_peers().send(reply.asker, reply)
        if reply.denied_by:
            self._stated.record_denial(
                reply.request_id, reply.denied_by, reply.process
            )
            self._wake(reply.request_id)
            return
        streams = {reply.software: (reply.request_id,)}
        now = anyio.current_time()
        self.history.record(streams, stream_origins.Source.PEER, now)
        self._unconfirmed.get(reply.request_id, set()).discard(sender)
        if reply.service:
            self.history.record_services({reply.service: (reply.request_id,)})
        self._wake(reply.request_id)

    def handle_query(
        self, peer: entry_peers.Peer, query: entry_messages.StreamQuery
    ) -> None:
        """Replies to a query, or passes that of a member on to the others."""
        if self._reply(query, peer.instance):
            return
        self._deny(query, peer.instance)
        is_of_member = peer.is_member and query.asker == peer.instance
        if is_of_member:
            forwarded = dataclasses.replace(query, reads_records=False)
            for other in self._get_peers().list_linked():
                if other is not peer:
                    other.send(forwarded)
        if query.reads_records or (is_of_member and not query.process):
            self._keep(query)
            self._get_records().request_load()

    def _deny(self, query: entry_messages.StreamQuery, receiver: str) -> None:
        """Tells that this process did not begin a stream."""
        if not query.process:
            return
        self._get_peers().send(
            receiver,
            entry_messages.StreamReply(
                request_id=query.request_id,
                software="",
                asker=query.asker,
                denied_by=self._instance,
                process=self._stated.own.process,
            ),
        )

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
            self._reply_from_records(query)

    def _reply(self, query: entry_messages.StreamQuery, receiver: str) -> bool:
        """Replies to a query; returns whether the stream is recorded."""
        found = self.history.find(query.request_id, anyio.current_time())
        if found is None:
            return False
        self._send_reply(query, receiver, found[0])
        return True

    def _reply_from_records(self, query: entry_messages.StreamQuery) -> None:
        """Replies to a query for which the records have been read."""
        now = anyio.current_time()
        if self._reply(query, query.asker) or not query.reads_records:
            return
        possible = self._stated.find_possible(
            query.request_id,
            query.service,
            self.history.list_recent(query.service, now),
            (query.asker, query.process),
        )
        if possible is not None and len(possible) == 1:
            self._send_reply(query, query.asker, next(iter(possible)))

    def _send_reply(
        self,
        query: entry_messages.StreamQuery,
        receiver: str,
        software: str,
    ) -> None:
        self._get_peers().send(
            receiver,
            entry_messages.StreamReply(
                request_id=query.request_id,
                software=software,
                asker=query.asker,
                service=self.history.find_service(query.request_id),
            ),
        )

    def _find(
        self, begun_as: str, service: str, arrived_at: float
    ) -> stream_history.Found | None:
        """Returns the version of a stream.

        A stream that nobody knows is of the only version that any instance may
        have begun it at, by records that were read since its retry arrived.
        """
        now = anyio.current_time()
        found = self.history.find(begun_as, now)
        if found is not None:
            return found
        if not self.has_read_records(arrived_at):
            return None
        possible = self._stated.find_possible(
            begun_as, service, self.history.list_recent(service, now)
        )
        if not possible:
            return self.history.find_only_version(service, now)
        if len(possible) > 1:
            return None
        return next(iter(possible)), stream_origins.Source.STATED

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

    def _ask(
        self, query: entry_messages.StreamQuery, *, needs_records: bool = False
    ) -> None:
        """Asks the linked instances for a stream.

        Args:
            query: The question.
            needs_records: Whether some of them must read the records, as this
                instance does not reach the store.
        """
        linked = self._get_peers().list_linked()
        readers: list[entry_peers.Peer] = []
        if needs_records:
            able = [p for p in linked if p.reaches_store(READER_MAX_SILENT_S)]
            readers = random.sample(able, min(MAX_READERS, len(able)))
        reading = dataclasses.replace(query, reads_records=True)
        for peer in linked:
            peer.send(reading if peer in readers else query)

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


def _get_begun_as(request: requests.ClientRequest) -> str:
    """Returns the id of the request that began a stream."""
    return (
        request.resumed_request if request.resume_after else request.request_id
    )
