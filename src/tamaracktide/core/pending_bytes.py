"""Counts received bytes that wait for a boundary, up to a bound."""


class PendingBytes:
    """Counts the bytes that a reader holds until a boundary arrives.

    Attributes:
        size: Bytes since the last boundary.
    """

    __slots__ = ("_boundary", "_max_bytes", "size")

    def __init__(self, max_bytes: int, boundary: str) -> None:
        """Starts at a boundary.

        Args:
            max_bytes: Maximum number of bytes before the next one.
            boundary: What ends the bytes, for the description of an excess.
        """
        self._max_bytes = max_bytes
        self._boundary = boundary
        self.size = 0

    def add(self, size: int) -> None:
        """Adds bytes."""
        self.size += size

    def clear(self) -> None:
        """Records a boundary."""
        self.size = 0

    @property
    def excess(self) -> str | None:
        """Description of the excess, None while the bound is kept."""
        if self.size <= self._max_bytes:
            return None
        return f"more than {self._max_bytes} bytes before {self._boundary}"
