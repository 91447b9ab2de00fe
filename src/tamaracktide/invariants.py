"""Assertions of invariants at run time."""

from tamaracktide import errors


def check(holds: bool, message: str) -> None:
    """Raises `errors.InvariantError` with the text unless `holds` is true."""
    if not holds:
        raise errors.InvariantError(message)
