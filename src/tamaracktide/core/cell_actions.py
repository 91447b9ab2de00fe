"""Actions that the decision core returns for the cell's scheduler to run."""

import dataclasses

from tamaracktide import result_codes
from tamaracktide.core import rows


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Allows a request to run now; its adapter is loaded and pinned.

    Attributes:
        request_id: The request.
        grant_id: Unique id, which `GrantEnded` names to release the grant.
        upstream: Instance id of the engine.
        incarnation: Engine incarnation that the grant is valid for.
        lora_name: Name to send as the engine's `model`.
        priority: Engine priority; lower runs first.
    """

    request_id: str
    grant_id: str
    upstream: str
    incarnation: str
    lora_name: str
    priority: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """Refuses a request that did not run.

    Attributes:
        request_id: The request.
        code: Reason for the refusal.
        retry_after_s: Delay before the customer should retry, seconds.
    """

    request_id: str
    code: result_codes.ResultCode
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Orders an engine to load an adapter, after an eviction if one is named.

    Attributes:
        load_id: Unique id, which `LoadEnded` names.
        upstream: Instance id of the engine.
        incarnation: Engine incarnation that the order is valid for.
        lora_name: Name to load under.
        key: Adapter and version.
        evict: Engine-side name to unload first, empty for none.
    """

    load_id: str
    upstream: str
    incarnation: str
    lora_name: str
    key: rows.AdapterKey
    evict: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Requests a `Tick` at a time; it replaces any earlier `WakeAt`."""

    at: float


CellAction = Grant | Refuse | Load | WakeAt
