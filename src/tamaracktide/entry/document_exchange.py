"""The routing document: read from the store, or in parts from a peer.

Every instance reads it from the store, whoever follows the rest for it: a relay
on a narrow link cannot send a large document to its group in time. Reports name
the version in force, so an instance that does not receive it from the store
knows that it is behind, and which peers have it.
"""

from collections.abc import Callable
import random
import zlib

import anyio
import xxhash

from tamaracktide import errors
from tamaracktide.core import document_fetch
from tamaracktide.entry import cluster_state
from tamaracktide.entry import peers as entry_peers
from tamaracktide.entry import store_follower
from tamaracktide.object_api import object_store
from tamaracktide.observability import logs
from tamaracktide.protocol import entry_messages

PARTS_REVISION = 5
"""Message revision from which an instance fetches the document by itself."""

MEMBER_WATCH_WAIT_S = 30.0
"""Maximum wait of a member's watch. It learns of changes that the watch misses
by the reports of its relay."""

MEMBER_RETRY_S = 10.0
"""Time after a failed call of a member until the next one, unless a peer has a
newer document. Refused calls are charged, and every instance makes them."""

BEHIND_WATCH_WAIT_S = 0.2
"""Wait of a watch for a document that is known to exist."""

COMPRESSION_LEVEL = 1


class DocumentExchange:
    """Decides how this instance reads the document, and serves its parts.

    As the `store_follower.Health` of the document's follower it keeps failures
    of a member's calls apart from the store's health: a member reads nothing
    else, and may notice the end of an outage long after the others.

    Attributes:
        restart: Ends the follower's call, so that it is repeated at once; set
            after construction.
    """

    def __init__(
        self,
        document: str,
        state: cluster_state.ClusterState,
        store_health: store_follower.StoreHealth,
        store_use: store_follower.StoreUse,
        peers: entry_peers.Peers,
        apply: Callable[[str, object_store.Item], None],
    ) -> None:
        """Starts without a document.

        Args:
            document: Key of the routing document.
            state: The cluster state.
            store_health: Health of the store as all other calls see it.
            store_use: Whether this instance follows the store.
            peers: Links to the other instances.
            apply: Called with the sender and the document from a peer.
        """
        self.restart: Callable[[], None] = lambda: None
        self._document = document
        self._cluster_state = state
        self._store_health = store_health
        self._store_use = store_use
        self._peers = peers
        self._apply = apply
        self._fetch = document_fetch.DocumentFetch()
        self._failed_at: float | None = None
        self._behind = anyio.Event()

    @property
    def failing_since(self) -> float | None:
        """Time since which calls for the document have failed, or None."""
        if self._store_use.is_needed:
            return self._store_health.failing_since
        return self._failed_at

    async def wait(self) -> None:
        """Waits until the next call is due."""
        if self._store_use.is_needed:
            await self._store_health.wait()
            return
        if self._failed_at is None:
            return
        retry_s = MEMBER_RETRY_S
        if self._cluster_state.table is None or self._fetch.is_behind:
            retry_s = store_follower.MAX_BACKOFF_S
        with anyio.move_on_after(retry_s * random.uniform(0.7, 1.3)):
            await self._behind.wait()

    def record_response(self) -> None:
        """Records that the store responded to a call for the document."""
        self._failed_at = None
        if self._store_use.is_needed:
            self._store_health.record_response()

    def record_failure(self, error: errors.TamaracktideError) -> None:
        """Records that a call for the document failed."""
        if self._failed_at is None:
            self._failed_at = anyio.current_time()
            logs.bind(code=error.code.value).warning(
                "routing document not read: {}", error.detail
            )
        if self._store_use.is_needed:
            self._store_health.record_failure(error)

    def record_bytes(self, size: int) -> None:
        """Records that a part of a response of the store has arrived."""
        del size
        self._fetch.record_bytes(anyio.current_time())

    def find_watch_wait_s(self) -> float:
        """Returns the maximum wait of the next watch, seconds."""
        if self._fetch.is_behind:
            return BEHIND_WATCH_WAIT_S
        if self._store_use.is_needed:
            return store_follower.MAX_WATCH_WAIT_S
        return MEMBER_WATCH_WAIT_S

    def update(self) -> None:
        """Compares the document in force with the peers' once per period."""
        is_new = not self._fetch.peer
        request = self._fetch.update(
            self._cluster_state.document_version,
            {
                peer.instance: peer.known.document_in_force
                for peer in self._peers.list_linked()
            },
            anyio.current_time(),
            reaches_store=self.failing_since is None,
        )
        if request is None:
            return
        logs.bind(
            peer=request.peer,
            version=self._cluster_state.document_version,
            offset=request.offset,
        ).info("routing document missing; requesting it from a peer")
        if is_new:
            self._behind.set()
            self._behind = anyio.Event()
            self.restart()
        self._send(request)

    def handle_request(
        self, peer: entry_peers.Peer, request: entry_messages.DocumentRequest
    ) -> None:
        """Sends a part of the document in force."""
        item = self._cluster_state.find_document()
        if item is None or item.value is None:
            return
        content = _identify(item, item.value)
        offset = request.offset if request.digest == content.digest else 0
        part = document_fetch.cut_part(content, item.value, offset)
        peer.send(
            entry_messages.DocumentPart(
                era=content.era,
                revision=content.revision,
                size=content.size,
                digest=content.digest,
                offset=offset,
                data=zlib.compress(part.data, COMPRESSION_LEVEL),
            )
        )

    def apply_part(
        self, sender: str, message: entry_messages.DocumentPart
    ) -> None:
        """Applies a part; requests the next one, or applies the document."""
        data = _decompress(message.data)
        if data is None:
            logs.bind(peer=sender, offset=message.offset).warning(
                "part of the routing document ignored: not decompressed"
            )
            return
        part = document_fetch.Part(
            content=document_fetch.Content(
                era=message.era,
                revision=message.revision,
                size=message.size,
                digest=message.digest,
            ),
            offset=message.offset,
            data=data,
        )
        now = anyio.current_time()
        match self._fetch.apply_part(sender, part, now):
            case document_fetch.PartRequest() as request:
                self._send(request)
            case document_fetch.Document() as document:
                self._apply_document(sender, document)

    def _apply_document(
        self, sender: str, document: document_fetch.Document
    ) -> None:
        content = document.content
        if _compute_digest(document.value) != content.digest:
            logs.bind(peer=sender, size=content.size).warning(
                "routing document ignored: digest does not match"
            )
            return
        logs.bind(peer=sender, size=content.size).info(
            "routing document received from a peer"
        )
        item = object_store.Item(
            self._document, content.revision, document.value, content.era
        )
        self._apply(sender, item)

    def _send(self, request: document_fetch.PartRequest) -> None:
        self._peers.send(
            request.peer,
            entry_messages.DocumentRequest(
                digest=request.digest, offset=request.offset
            ),
        )


def _identify(item: object_store.Item, value: bytes) -> document_fetch.Content:
    return document_fetch.Content(
        era=item.era,
        revision=item.version,
        size=len(value),
        digest=_compute_digest(value),
    )


def _compute_digest(value: bytes) -> str:
    return str(xxhash.xxh64_hexdigest(value))


def _decompress(data: bytes) -> bytes | None:
    """Returns the bytes of a part; None if they are malformed or too many."""
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, document_fetch.PART_BYTES)
    except zlib.error:
        return None
    return found if decompressor.eof else None
