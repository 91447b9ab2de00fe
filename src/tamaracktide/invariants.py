"""Assertion of invariants inside the running program."""

from tamaracktide import errors


def check(holds: bool, text: str) -> None:
    """Raises `errors.InvariantError` with the text if `holds` is false."""
    if not holds:
        raise errors.InvariantError(text)
