"""Scheduling of streams that go on at another engine.

Load pattern: all instances were killed, and clients take up all streams at once
while engines are full. A stream that is taken for a new one waits behind those,
or seems to miss its deadline; it is refused, and its client has lost what it
had received. What the instance has measured since its start are short responses
only, as no long one has ended yet, and most of their time is the wait for their
first token.
"""

import dataclasses

from tamaracktide.core import cell_events
from tamaracktide.core import cell_settings
from tamaracktide.core import estimates

MIN_PREDICTED_FRACTION = 0.5
"""Fraction of the predicted time of a resumed stream that must be left. Half of
all streams are shorter than their clients expect, and tokens take longer than
they will while all prompts are read again."""

MAX_BACKLOG_S = 0.3
"""Prefill time that may be queued at an engine when the prompt of a resumed
stream is sent: some prompts. New requests of all instances wait until it is
nearly done, so that the streams that broke off precede them everywhere."""

MAX_PRECEDING_STREAMS = 8
"""Running resumed streams of a customer from which on its further ones do not
precede new requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tokens:
    """Tokens of a generation.

    Attributes:
        prompt: Tokens that its engine reads first.
        output: Maximum number of tokens that it generates then.
    """

    prompt: int
    output: int


def estimate_remaining(whole: Tokens, generated: int) -> Tokens:
    """Returns the tokens left once some were generated elsewhere.

    The next engine reads the prompt and what was generated. At least one token
    is left: the end of the stream has not arrived.

    Args:
        whole: Tokens of the whole generation.
        generated: Number of tokens generated so far.
    """
    if generated <= 0:
        return whole
    generated = min(generated, whole.output)
    return Tokens(whole.prompt + generated, max(1, whole.output - generated))


def name_account(customer: str) -> str:
    """Returns the account of a customer's resumed streams in fair queueing.

    It is idle before they come, so they do not wait for new requests of the
    customer, and start earlier by what was charged for them before. Its share
    is that of a customer.
    """
    return f"resumed:{customer}"


def is_resumed(submit: cell_events.Submit) -> bool:
    """Whether a request goes on with a stream that began elsewhere."""
    return submit.lead > 0


def predict_service_s(
    submit: cell_events.Submit, measured: estimates.Estimates
) -> float:
    """Returns the expected duration of a request once it is granted.

    A resumed stream is refused only if even `MIN_PREDICTED_FRACTION` of its
    remaining tokens takes too long: its client would lose what it has received.

    Args:
        submit: The request.
        measured: Durations of earlier requests.
    """
    if is_resumed(submit):
        decode_s = measured.predict_decode_s(submit.max_tokens)
        return MIN_PREDICTED_FRACTION * decode_s
    return measured.predict_service_s(submit.max_tokens)


def find_max_backlog_s(
    submit: cell_events.Submit,
    settings: cell_settings.CellSettings,
    *,
    precedes: bool,
) -> float:
    """Returns the longest prefill backlog of an engine that gets a request.

    Args:
        submit: The request.
        settings: The cell's settings.
        precedes: Whether it goes before new requests, if it is resumed.
    """
    if is_resumed(submit) and precedes:
        return max(MAX_BACKLOG_S, settings.max_prefill_backlog_s)
    return settings.max_prefill_backlog_s
