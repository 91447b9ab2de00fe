"""Running estimates of how long loads and answers take."""

from tamaracktide.core import cell_settings
from tamaracktide.core import cell_state

_GAIN = 0.05
_LEAST_SERVICE_S = 0.01


class Estimates:
    """Exponentially weighted means of what a cell has seen.

    Attributes:
        load_s: Duration of a load.
        service_s: Duration of a granted request.
        token_s: Seconds per generated token.
        output_part: Generated tokens as a part of the most allowed.
    """

    __slots__ = ("load_s", "output_part", "service_s", "token_s")

    def __init__(self, settings: cell_settings.CellSettings) -> None:
        """Starts from the settings."""
        self.load_s = settings.load_s
        self.token_s = settings.token_s
        self.output_part = 0.5
        self.service_s = 128 * settings.token_s

    def add_load(self, duration_s: float) -> None:
        """Takes in how long a load took."""
        self.load_s += _GAIN * (duration_s - self.load_s)

    def add_answer(
        self, grant: cell_state.GrantRecord, generated_tokens: int, now: float
    ) -> None:
        """Takes in a request that ran to its end."""
        duration_s = max(_LEAST_SERVICE_S, now - grant.granted_at)
        self.service_s += _GAIN * (duration_s - self.service_s)
        token_s = duration_s / generated_tokens
        self.token_s += _GAIN * (token_s - self.token_s)
        part = min(1.0, generated_tokens / max(1, grant.max_tokens))
        self.output_part += _GAIN * (part - self.output_part)

    def predict_service_s(self, max_tokens: int) -> float:
        """Returns the expected duration of a request once granted."""
        return max_tokens * self.output_part * self.token_s

    def predict_cost(self, prompt_tokens: int, max_tokens: int) -> float:
        """Returns the expected cost of a request in tokens."""
        return prompt_tokens + max_tokens * self.output_part
