"""Messages between peers about the instance list and the weight store.

They belong to the inner protocol of `messages`, whose rules hold.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareRequest:
    """Asks a scheduler to lend a part of the weight store's rate.

    Attributes:
        ask_id: Unique id, echoed by the offer.
        loads_per_s: Most that is wanted, loads a second.
    """

    ask_id: str
    loads_per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareOffer:
    """Lends a part of the weight store's rate for a short time.

    Attributes:
        offer_id: Id of the request that asked.
        loads_per_s: Lent rate, loads a second.
        in_flight: Lent loads under way.
        duration_s: How long the borrower may use it after it asked.
    """

    offer_id: str
    loads_per_s: float
    in_flight: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstancesFetch:
    """Asks a peer for its copy of the instance list.

    Attributes:
        fetch_id: Echoed by the reply.
        version: Version that the sender has, -1 for none.
    """

    fetch_id: str
    version: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """One entry of the instance list."""

    id: str
    role: str
    zone: str
    address: str
    inner_address: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstancesReply:
    """A peer's copy of the instance list.

    Attributes:
        fetch_id: The fetch that asked.
        version: Version of the peer's list, -1 for none.
        age_s: Time since the platform confirmed that version.
        instances: The entries; none if the asker's version is as new.
    """

    fetch_id: str
    version: int = -1
    age_s: float = 0.0
    instances: tuple[ListedInstance, ...] = ()
