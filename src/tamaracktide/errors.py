"""Exceptions; every error except `InvariantError` has a result code."""

from tamaracktide import result_codes


class TamaracktideError(Exception):
    """Base class of errors with a result code.

    Attributes:
        code: Result code.
        detail: Description of the fault, with the offending value.
        retry_after_s: Suggested delay before a retry, or None.
    """

    def __init__(
        self,
        code: result_codes.ResultCode,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Initializes the error; its message has the code and the detail."""
        super().__init__(f"{code.value} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s

    @property
    def execution(self) -> result_codes.Execution:
        """Whether the request ran, according to the result code."""
        return result_codes.MEANINGS[self.code].execution


class RefusalError(TamaracktideError):
    """The request was refused or aborted and certainly did not run."""


class OutcomeUnknownError(TamaracktideError):
    """The request may have run; it is never retried automatically."""


class ProtocolError(TamaracktideError):
    """A peer violated the inner protocol or is unreachable."""


class PlatformError(TamaracktideError):
    """A call to the platform failed; see the subclasses."""


class PlatformUnavailableError(PlatformError):
    """The platform is unavailable; a write may have taken effect."""


class AnswerTooLargeError(PlatformUnavailableError):
    """The response of the platform exceeds its bound."""


class PreconditionFailedError(PlatformError):
    """The version precondition of a conditional write failed."""


class ObjectMissingError(PlatformError):
    """The requested object does not exist."""


class EditError(TamaracktideError):
    """An edit by an operator was refused or its outcome is uncertain."""


class SettingsError(TamaracktideError):
    """A settings file has faults, which `detail` lists by field path."""


class InvariantError(AssertionError):
    """An invariant is violated: a defect, never an effect of load."""
