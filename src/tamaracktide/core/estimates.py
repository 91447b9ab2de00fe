"""Running estimates of the durations of loads and requests."""

from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state

_SMOOTHING_FACTOR = 0.05
_MIN_SERVICE_S = 0.01
_INITIAL_TOKENS = 128.0
"""Tokens of a response before the first measurement."""


class Estimates:
    """Exponentially weighted moving averages of a cell's measurements.

    Attributes:
        load_s: Duration of a load, seconds.
        service_s: Duration of a granted request, seconds.
        token_s: Time per generated token, seconds.
        output_fraction: Generated tokens as a fraction of the allowed maximum.
    """

    __slots__ = (
        "_decode_s",
        "_decode_tokens",
        "load_s",
        "output_fraction",
        "service_s",
        "token_s",
    )

    def __init__(self, settings: cell_settings.CellSettings) -> None:
        """Initializes the estimates from the settings."""
        self.load_s = settings.load_s
        self.token_s = settings.token_s
        self.output_fraction = 0.5
        self.service_s = _INITIAL_TOKENS * settings.token_s
        self._decode_tokens = _INITIAL_TOKENS
        self._decode_s = _INITIAL_TOKENS * settings.token_s

    def add_load(self, duration_s: float) -> None:
        """Records the duration of a load."""
        self.load_s += _SMOOTHING_FACTOR * (duration_s - self.load_s)

    def add_completion(
        self, grant: cell_state.GrantRecord, generated_tokens: int, now: float
    ) -> None:
        """Records a completed request."""
        duration_s = max(_MIN_SERVICE_S, now - grant.granted_at)
        self.service_s += _SMOOTHING_FACTOR * (duration_s - self.service_s)
        token_s = duration_s / generated_tokens
        self.token_s += _SMOOTHING_FACTOR * (token_s - self.token_s)
        fraction = min(1.0, generated_tokens / max(1, grant.max_tokens))
        self.output_fraction += _SMOOTHING_FACTOR * (
            fraction - self.output_fraction
        )

    def add_decode(self, decode: cell_events.Decode) -> None:
        """Records the time between the tokens of a response."""
        self._decode_tokens += _SMOOTHING_FACTOR * (
            decode.tokens - self._decode_tokens
        )
        self._decode_s += _SMOOTHING_FACTOR * (decode.seconds - self._decode_s)

    def predict_decode_s(self, max_tokens: int) -> float:
        """Returns the expected time from the first token to the last one.

        It does not depend on the length of the measured responses.
        """
        token_s = self._decode_s / self._decode_tokens
        return max_tokens * self.output_fraction * token_s

    def predict_service_s(self, max_tokens: int) -> float:
        """Returns the expected duration of a request once granted."""
        return max_tokens * self.output_fraction * self.token_s

    def predict_cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Returns the expected cost of a request, in tokens."""
        return prompt_tokens + max_tokens * self.output_fraction
