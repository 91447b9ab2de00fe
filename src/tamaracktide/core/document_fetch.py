"""Decides when to fetch the routing document from a peer, and which part of it.

Load pattern: a large document on narrow links. Each instance reads it from the
store. One that does not receive it there fetches it from a peer in parts. One
part is on its way at a time, so that a peer sends to each receiver no faster
than it can receive. A transfer goes on at another peer with the same document.
"""

from collections.abc import Mapping
import dataclasses

PART_BYTES = 65_536
"""Size of a part before compression."""

MAX_DOCUMENT_BYTES = 4 << 20
"""Maximum size of a document from a peer."""

MAX_BEHIND_S = 0.8
"""Time for which a document that a peer has may be missing here while no bytes
of it arrive from the store."""

PART_TIMEOUT_S = 1.0
"""Time without a requested part after which another peer is asked."""

REPEAT_DELAY_S = 10.0
"""Time for which a document that was fetched, and did not come into force, is
not fetched again."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Content:
    """Identifies one document, wherever it is read from.

    Attributes:
        era: Era of the store in which it was read.
        revision: Version of the store at its last change.
        size: Its size in bytes.
        digest: Digest of its bytes.
    """

    era: int
    revision: int
    size: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """Part of a document.

    Attributes:
        content: The document.
        offset: Position of the part, bytes.
        data: Its bytes.
    """

    content: Content
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PartRequest:
    """Request for the next part of a document.

    Attributes:
        peer: Peer to ask.
        digest: Digest of the document whose first parts are known; empty for
            none. Another document is sent from its beginning.
        offset: Position of the part, bytes.
    """

    peer: str
    digest: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Document:
    """A complete document.

    Attributes:
        content: What identifies it.
        value: Its bytes.
    """

    content: Content
    value: bytes


class DocumentFetch:
    """Tracks a document that peers have and this instance lacks.

    Attributes:
        peer: Peer that was asked last, empty if none is needed.
    """

    __slots__ = (
        "_behind_since",
        "_content",
        "_failed",
        "_fetched_at",
        "_fetched_version",
        "_newest",
        "_requested_at",
        "_store_active_at",
        "_value",
        "peer",
    )

    def __init__(self) -> None:
        """Starts without a missing document."""
        self.peer = ""
        self._behind_since: float | None = None
        self._store_active_at = float("-inf")
        self._content: Content | None = None
        self._value = bytearray()
        self._requested_at = float("-inf")
        self._failed: set[str] = set()
        self._newest = 0
        self._fetched_version = 0
        self._fetched_at = float("-inf")

    @property
    def is_behind(self) -> bool:
        """Whether a peer has a newer document."""
        return self._behind_since is not None

    def record_bytes(self, now: float) -> None:
        """Records that a part of a response of the store has arrived."""
        self._store_active_at = now

    def update(
        self,
        own: int,
        peers: Mapping[str, int],
        now: float,
        *,
        reaches_store: bool,
    ) -> PartRequest | None:
        """Returns a request to send now, if one is due.

        Args:
            own: Version of the document in force here.
            peers: Versions in force at linked peers, by instance id.
            now: Current time, seconds.
            reaches_store: Whether the latest call to the store succeeded.
        """
        if now < self._fetched_at + REPEAT_DELAY_S:
            own = max(own, self._fetched_version)
        newer = sorted(name for name, known in peers.items() if known > own)
        if not newer:
            self._reset()
            return None
        self._newest = max(peers[name] for name in newer)
        if self._behind_since is None:
            self._behind_since = now
        if not self.peer:
            waits_since = self._store_active_at
            if reaches_store:
                waits_since = max(waits_since, self._behind_since)
            if now < waits_since + MAX_BEHIND_S:
                return None
        elif self.peer in newer and now < self._requested_at + PART_TIMEOUT_S:
            return None
        return self._ask_next(newer, now)

    def apply_part(
        self, sender: str, part: Part, now: float
    ) -> PartRequest | Document | None:
        """Applies a part; returns the next request or the document.

        Returns:
            None if the part was not requested, or does not fit.
        """
        if sender != self.peer or not part.data:
            return None
        if part.offset == 0 and part.content != self._content:
            self._content, self._value = part.content, bytearray()
        if part.content != self._content or part.offset != len(self._value):
            return None
        end = part.offset + len(part.data)
        if end > part.content.size or part.content.size > MAX_DOCUMENT_BYTES:
            return None
        self._value += part.data
        if end < part.content.size:
            return self._request(now)
        document = Document(content=part.content, value=bytes(self._value))
        self._fetched_version, self._fetched_at = self._newest, now
        self._reset()
        return document

    def _ask_next(self, newer: list[str], now: float) -> PartRequest:
        """Asks a peer that has not failed yet, or any if all have."""
        if self.peer:
            self._failed.add(self.peer)
        untried = [name for name in newer if name not in self._failed]
        if not untried:
            self._failed.clear()
            untried = newer
        self.peer = untried[0]
        return self._request(now)

    def _request(self, now: float) -> PartRequest:
        self._requested_at = now
        digest = self._content.digest if self._content else ""
        return PartRequest(
            peer=self.peer, digest=digest, offset=len(self._value)
        )

    def _reset(self) -> None:
        self.peer = ""
        self._behind_since = None
        self._content = None
        self._value = bytearray()
        self._failed.clear()


def cut_part(content: Content, value: bytes, offset: int) -> Part:
    """Returns the part of a document at an offset."""
    data = value[offset : offset + PART_BYTES]
    return Part(content=content, offset=offset, data=data)
