"""The ownership record of an upstream, and the machine's events and actions.

The record is the object `ownership/UPSTREAM`, a CBOR map.
"""

import dataclasses

import cbor2
import msgspec

from tamaracktide import errors
from tamaracktide import result_codes


@dataclasses.dataclass(frozen=True, slots=True)
class Intent:
    """An unload order that may still arrive at an unfenced engine.

    Attributes:
        lora_name: Engine-side name to be unloaded.
        at_epoch: Epoch of the owner that wrote the intent.
    """

    lora_name: str
    at_epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnershipRecord:
    """Who owns an upstream.

    Attributes:
        epoch: Grows by one with each new owner.
        owner: Instance id of the owner, empty once it has released it.
        owner_incarnation: Incarnation of the owner.
        write_id: Unique id of the write that made this record.
        intents: Unload orders that may still arrive.
    """

    epoch: int
    owner: str
    owner_incarnation: str
    write_id: str
    intents: tuple[Intent, ...] = ()


def encode_record(record: OwnershipRecord) -> bytes:
    """Returns the record as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(record))


def decode_record(data: bytes) -> OwnershipRecord:
    """Returns the record from CBOR.

    Raises:
        errors.ProtocolError: The data is not an ownership record.
    """
    try:
        return msgspec.convert(cbor2.loads(data), OwnershipRecord)
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        raise errors.ProtocolError(
            result_codes.ResultCode.MALFORMED_MESSAGE,
            f"not an ownership record: {error}",
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class Acquire:
    """This scheduler should own the upstream."""


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """This scheduler should give the upstream up."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The record was read; None and version 0 if there is none."""

    record: OwnershipRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSucceeded:
    """The conditional write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRefused:
    """The record's version differed; an earlier try may have applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """The write got no certain answer; it may have applied or may yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """A read failed: the platform does not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerChecked:
    """The recorded owner was asked for a sign of life.

    Attributes:
        owner: Its instance id.
        incarnation: Its incarnation in the record.
        reachable: Whether that incarnation answered.
    """

    owner: str
    incarnation: str
    reachable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadRequested:
    """The owner wants to unload an adapter of an engine."""

    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadEnded:
    """An allowed unload order ended.

    Attributes:
        lora_name: Engine-side name.
        certain: Whether the order can surely not take effect any more.
    """

    lora_name: str
    certain: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EnginePolled:
    """The engine's own state was read.

    Attributes:
        incarnation: The engine's incarnation.
        checks_fencing: Whether it refuses orders with an old fencing token.
        highest_fencing_token: Highest token that it has seen.
        loaded: Engine-side names in its slots, read since this scheduler
            owns the upstream; None if they are not known.
    """

    incarnation: str
    checks_fencing: bool
    highest_fencing_token: int = 0
    loaded: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer that `WakeAt` asked for is due."""


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
    """Read the record; answered by `RecordRead` or `PlatformUnavailable`."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write if the version is still the expected one (0: no record)."""

    record: OwnershipRecord
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckOwner:
    """Ask the recorded owner for a sign of life."""

    owner: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipAcquired:
    """This scheduler owns the upstream under this epoch.

    Attributes:
        epoch: The fencing token.
        withheld: Engine-side names that must never be granted.
    """

    epoch: int
    withheld: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipLost:
    """This scheduler owns the upstream no longer; stop granting.

    Attributes:
        owner: Instance id of the new owner, empty if unknown.
    """

    owner: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedElsewhere:
    """A reachable scheduler owns the upstream."""

    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class AllowUnload:
    """The unload order may be sent now."""

    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseUnload:
    """The unload order must not be sent."""

    lora_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspendUnloads:
    """No unload can be allowed for now, or can be again."""

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
