"""Ownership record of an upstream; events and actions of its state machine.

The record is stored as a CBOR map in the object `ownership/UPSTREAM`.
"""

import dataclasses

import cbor2
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """An unload order that may still reach an engine without fencing.

    Attributes:
        lora_name: Engine-side name to unload.
        at_epoch: Epoch of the owner that wrote the intent.
    """

    lora_name: str
    at_epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipRecord:
    """The stored owner of an upstream.

    Attributes:
        epoch: Increases by one with each new owner.
        owner: Instance id of the owner; empty after a release.
        owner_incarnation: Incarnation of the owner.
        write_id: Unique id of the write that stored this record.
        intents: Unload orders that may still reach the engine.
    """

    epoch: int
    owner: str
    owner_incarnation: str
    write_id: str
    intents: tuple[Intent, ...] = ()


def encode_record(record: OwnershipRecord) -> bytes:
    """Encodes the record as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(record))


def decode_record(data: bytes) -> OwnershipRecord:
    """Decodes a record from CBOR.

    Raises:
        errors.ProtocolError: The data is not an ownership record.
    """
    try:
        return msgspec.convert(cbor2.loads(data), OwnershipRecord)
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        raise errors.ProtocolError(
            result_codes.ResultCode.MALFORMED_MESSAGE,
            f"cannot decode the ownership record: {error}",
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """Requests that this scheduler acquire the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Requests that this scheduler release the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The record was read; None and version 0 if it does not exist."""

    record: OwnershipRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The conditional write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The record's version differed; an earlier attempt may have succeeded."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """The write has no certain outcome; it may still take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """A read failed because the platform does not respond."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChecked:
    """The liveness check of the recorded owner ended.

    Attributes:
        owner: Instance id of the owner.
        incarnation: Incarnation of the owner in the record.
        reachable: Whether that incarnation responded.
    """

    owner: str
    incarnation: str
    reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadRequested:
    """The owner requests the unload of an adapter from its engine."""

    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadEnded:
    """An allowed unload order ended.

    Attributes:
        lora_name: Engine-side name.
        certain: Whether the order is known to have no further effect.
    """

    lora_name: str
    certain: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EnginePolled:
    """The engine was polled for its state.

    Attributes:
        incarnation: The engine's incarnation.
        checks_fencing: Whether the engine rejects orders with an old fencing
            token.
        highest_fencing_token: Highest token that the engine has seen.
        loaded: Engine-side names in the engine's slots, polled after this
            scheduler acquired the upstream; None if unknown.
    """

    incarnation: str
    checks_fencing: bool
    highest_fencing_token: int = 0
    loaded: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The timer set by `WakeAt` has expired."""


OwnershipEvent = (
    Acquire
    | Release
    | RecordRead
    | WriteSucceeded
    | WriteRefused
    | ReplyLost
    | PlatformUnavailable
    | OwnerChecked
    | UnloadRequested
    | UnloadEnded
    | EnginePolled
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record; the reply is `RecordRead` or `PlatformUnavailable`."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the record if its version is the expected one (0: no record)."""

    record: OwnershipRecord
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckOwner:
    """Check whether the recorded owner is reachable."""

    owner: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipAcquired:
    """This scheduler has acquired the upstream with this epoch.

    Attributes:
        epoch: Epoch of this owner, sent as the fencing token.
        withheld: Engine-side names that must never be granted.
    """

    epoch: int
    withheld: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLost:
    """This scheduler no longer owns the upstream and must stop granting.

    Attributes:
        owner: Instance id of the new owner, empty if unknown.
    """

    owner: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """Another scheduler, which is reachable, owns the upstream."""

    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class AllowUnload:
    """The unload order is allowed and can be sent now."""

    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseUnload:
    """The unload order must not be sent."""

    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspendUnloads:
    """Unloads are suspended, or resumed after a suspension."""

    suspended: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WakeAt:
    """Send a `Tick` at this time; a later action replaces an earlier one."""

    at: float


OwnershipAction = (
    ReadRecord
    | WriteRecord
    | CheckOwner
    | OwnershipAcquired
    | OwnershipLost
    | OwnedElsewhere
    | AllowUnload
    | RefuseUnload
    | SuspendUnloads
    | WakeAt
)
