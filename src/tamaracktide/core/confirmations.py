"""Tracks which gateways have reported their outstanding grants to a new owner.

Any gateway may hold outstanding grants of an earlier owner. A gateway that has
replied for an epoch has reported those grants and rejects grants of earlier
epochs from then on. A restarted gateway has lost the epochs, so it must reply
again.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from tamaracktide import invariants


@dataclasses.dataclass(slots=True)
class _Replies:
    """The epochs for which one incarnation of a gateway has replied."""

    incarnation: str
    epochs: dict[str, int] = dataclasses.field(default_factory=dict)


class Confirmations:
    """The highest epoch per upstream for which each gateway has replied."""

    __slots__ = ("_replies",)

    def __init__(self) -> None:
        """Starts without replies."""
        self._replies: dict[str, _Replies] = {}

    def record_start(self, gateway: str, incarnation: str) -> None:
        """Drops the replies of an earlier incarnation of a gateway."""
        replies = self._replies.get(gateway)
        if replies is None or replies.incarnation != incarnation:
            self._replies[gateway] = _Replies(incarnation)

    def record_response(
        self, gateway: str, incarnation: str, epochs: Mapping[str, int]
    ) -> None:
        """Records that a gateway reported its grants for these epochs.

        The caller must already have applied the reported grants.
        """
        self.record_start(gateway, incarnation)
        highest = self._replies[gateway].epochs
        for upstream, epoch in epochs.items():
            highest[upstream] = max(epoch, highest.get(upstream, 0))

    def list_missing(
        self, upstream: str, epoch: int, gateways: Iterable[str]
    ) -> list[str]:
        """Returns the gateways without a reply for an epoch, sorted."""
        return sorted(
            gateway
            for gateway in gateways
            if self._find_epoch(gateway, upstream) < epoch
        )

    def keep_only(self, gateways: Iterable[str]) -> None:
        """Drops gateways that no longer exist."""
        kept = set(gateways)
        for gateway in self._replies.keys() - kept:
            del self._replies[gateway]

    def _find_epoch(self, gateway: str, upstream: str) -> int:
        replies = self._replies.get(gateway)
        return replies.epochs.get(upstream, 0) if replies is not None else 0


class InheritedNames:
    """LoRA names on one engine that were loaded in an earlier epoch.

    Attributes:
        names: The inherited names that are still loaded.
    """

    __slots__ = ("_incarnation", "names")

    def __init__(self) -> None:
        """Starts without inherited names."""
        self._incarnation = ""
        self.names: frozenset[str] = frozenset()

    def begin(
        self, epoch: int, incarnation: str, loaded: Iterable[str]
    ) -> None:
        """Begins ownership of an engine; the first epoch inherits nothing."""
        invariants.check(
            epoch > 0, f"engine owned at non-positive epoch {epoch}"
        )
        self._incarnation = incarnation
        self.names = frozenset(loaded) if epoch > 1 else frozenset()

    def update(self, incarnation: str, loaded: Iterable[str]) -> None:
        """Removes unloaded names; a name loaded again is not inherited."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.names = frozenset()
        self.names &= frozenset(loaded)
