"""Detects that this instance misses changes that others have observed.

A connection to the store can go silent without an error. An instance that
follows the store for others then notices it only by what its peers know.
"""

from collections.abc import Mapping
import dataclasses

MAX_BEHIND_S = 0.8
"""Time for which an instance may lack a change that a peer has reported: the
pause between two watches and a late timer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreVersions:
    """The newest known object version in each collection of the store.

    Attributes:
        documents: Of the routing document.
        upstreams: Of the upstreams' entries.
        versions: Of the announced adapter versions.
        instances: Of the entry instances.
        document_in_force: Version that the routing document in force carries,
            which decides across eras; 0 if there is none, or from builds before
            message revision 5.
        era: Era of the store that these versions belong to; 0 if not known.
    """

    documents: int = 0
    upstreams: int = 0
    versions: int = 0
    instances: int = 0
    era: int = 0
    document_in_force: int = 0

    def covers(self, other: "StoreVersions") -> bool:
        """Whether nothing of the other is newer.

        The routing document does not count where the other names the one in
        force: it is fetched by itself (`document_fetch`).
        """
        if self.era != other.era and other.era:
            return self.era > other.era
        has_document = bool(other.document_in_force) or (
            self.documents >= other.documents
        )
        return (
            has_document
            and self.upstreams >= other.upstreams
            and self.versions >= other.versions
            and self.instances >= other.instances
        )


class CatchUp:
    """Tracks the first change that this instance lacks."""

    __slots__ = ("_behind_since", "_peer", "_target")

    def __init__(self) -> None:
        """Starts without a missing change."""
        self._target = StoreVersions()
        self._peer = ""
        self._behind_since = 0.0

    def update(
        self, own: StoreVersions, peers: Mapping[str, StoreVersions], now: float
    ) -> str:
        """Returns the peer to ask for the missing objects, empty for none.

        Args:
            own: What this instance knows.
            peers: What its peers know, by instance id.
            now: Current time, seconds.
        """
        if own.covers(self._target):
            self._peer = ""
            self._start(own, peers, now)
            return ""
        if now < self._behind_since + MAX_BEHIND_S:
            return ""
        peer = self._peer
        self._start(own, peers, now)
        return peer

    def _start(
        self, own: StoreVersions, peers: Mapping[str, StoreVersions], now: float
    ) -> None:
        """Waits for what the first peer with something newer knows now."""
        for peer, versions in sorted(peers.items(), key=lambda item: item[0]):
            if not own.covers(versions):
                self._target, self._peer = versions, peer
                self._behind_since = now
                return
        self._target = own
