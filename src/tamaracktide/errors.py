"""The exception tree; every error carries a numbered result code."""

from tamaracktide import result_codes


class TamaracktideError(Exception):
    """Base of all errors that the project raises on purpose.

    Attributes:
        code: The numbered result code.
        detail: One sentence that names the offending value.
        retry_after_s: Seconds after which a retry makes sense, or None.
    """

    def __init__(
        self,
        code: result_codes.ResultCode,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Builds the error from its code and detail."""
        super().__init__(f"{code.value} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s

    @property
    def execution(self) -> result_codes.Execution:
        """What the error states about execution."""
        return result_codes.MEANINGS[self.code].execution


class RefusalError(TamaracktideError):
    """The request was given up on; it certainly did not run."""


class OutcomeUnknownError(TamaracktideError):
    """The request may have run; it is never run again by the system."""


class ProtocolError(TamaracktideError):
    """A peer broke the inner protocol or cannot be reached."""


class PlatformError(TamaracktideError):
    """The platform failed a call; see the subclasses."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer or is out; a write may have applied."""


class PreconditionFailedError(PlatformError):
    """A conditional write found another version than it named."""


class ObjectMissingError(PlatformError):
    """The named object does not exist."""


class EditError(TamaracktideError):
    """An operator's edit was refused or its outcome is unsure."""


class SettingsError(TamaracktideError):
    """A settings file has faults; `detail` names each by its path."""


class InvariantError(AssertionError):
    """An invariant of the program does not hold; a defect, never load."""
