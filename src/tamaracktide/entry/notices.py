"""Sends notices to all other instances at once, through relays if needed."""

from tamaracktide.entry import peers as entry_peers
from tamaracktide.protocol import codec
from tamaracktide.protocol import messages


class NoticeExchange:
    """Sends own notices and passes on those of others.

    Attributes:
        peers: The links; set after construction.
    """

    __slots__ = ("peers",)

    def __init__(self) -> None:
        """Starts without links, to which nothing is sent."""
        self.peers: entry_peers.Peers | None = None

    def send(self, notice: messages.Message, sender: str = "") -> None:
        """Sends a notice to every linked instance but that it came from."""
        encoded = codec.encode_message(notice)
        for peer in self._list_linked():
            if peer.instance != sender:
                peer.send(encoded)

    def pass_on(
        self, notice: messages.Message, sender: entry_peers.Peer
    ) -> None:
        """Passes on a notice, if this instance is a relay in a large cluster.

        What comes from another relay goes to the members only.
        """
        peers = self.peers
        if peers is None or peers.plan.is_flat or not peers.is_relay:
            return
        encoded = codec.encode_message(notice)
        for peer in self._list_linked():
            if peer is not sender and (sender.is_member or peer.is_member):
                peer.send(encoded)

    def _list_linked(self) -> list[entry_peers.Peer]:
        return [] if self.peers is None else self.peers.list_linked()
