"""Messages between peers about the instance list and the weight store.

They are part of the inner protocol; the rules of `messages` apply.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareRequest:
    """Requests a loan of a part of a peer's load rate of the weight store.

    Attributes:
        ask_id: Unique id that the offer repeats.
        loads_per_s: Maximum rate requested, in loads per second.
    """

    ask_id: str
    loads_per_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareOffer:
    """Lends a part of the load rate of the weight store for a short time.

    Attributes:
        offer_id: Id of the share request.
        loads_per_s: Lent rate, in loads per second.
        in_flight: Lent number of concurrent loads.
        duration_s: Time for which the borrower is allowed to use the share,
            counted from its request.
    """

    offer_id: str
    loads_per_s: float
    in_flight: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstancesFetch:
    """Requests the instance list of a peer.

    Attributes:
        fetch_id: Id that the reply repeats.
        version: Version of the sender's instance list; -1 for none.
    """

    fetch_id: str
    version: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListedInstance:
    """An entry of the instance list."""

    id: str
    role: str
    zone: str
    address: str
    inner_address: str = ""
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstancesReply:
    """Instance list of a peer.

    Attributes:
        fetch_id: Id of the fetch.
        version: Version of the list; -1 for none.
        age_s: Time since the platform confirmed that version.
        instances: Entries of the list; empty if the requester's version is as
            recent.
    """

    fetch_id: str
    version: int = -1
    age_s: float = 0.0
    instances: tuple[ListedInstance, ...] = ()
