"""Actions that the decision core asks a cell's scheduler to carry out."""

import dataclasses

from tamaracktide import result_codes
from tamaracktide.core import rows


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A request may run now; its adapter is loaded and pinned.

    Attributes:
        request_id: The request.
        grant_id: Unique id; `GrantEnded` gives the place back.
        upstream: Instance id of the engine.
        incarnation: The engine's incarnation that the grant is valid for.
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
    """A request is refused now and did not run.

    Attributes:
        request_id: The request.
        code: Why.
        retry_after_s: When its customer may come back, seconds.
    """

    request_id: str
    code: result_codes.ResultCode
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load an adapter, after unloading another one if named.

    Attributes:
        load_id: Unique id, to be named by `LoadEnded`.
        upstream: Instance id of the engine.
        incarnation: The engine's incarnation that the order is meant for.
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
    """Send a `Tick` at this time; a later action replaces an earlier one."""

    at: float


CellAction = Grant | Refuse | Load | WakeAt
