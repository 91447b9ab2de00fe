"""Counts received bytes that wait for a boundary, up to a bound."""


class TotalBytes:
    """Counts the bytes that several readers hold together.

    Attributes:
        size: Bytes that they hold.
    """

    __slots__ = ("_exempt_bytes", "_max_bytes", "size")

    def __init__(self, max_bytes: int, exempt_bytes: int) -> None:
        """Starts at 0.

        Args:
            max_bytes: Maximum number of bytes of all readers.
            exempt_bytes: A reader that holds no more may go on beyond it.
        """
        self._max_bytes = max_bytes
        self._exempt_bytes = exempt_bytes
        self.size = 0

    def find_excess(self, size: int) -> str | None:
        """Describes why a reader that holds `size` bytes must give up."""
        if self.size <= self._max_bytes or size <= self._exempt_bytes:
            return None
        return f"more than {self._max_bytes} bytes in all responses together"


class PendingBytes:
    """Counts the bytes that a reader holds until a boundary arrives.

    Attributes:
        size: Bytes since the last boundary.
    """

    __slots__ = ("_boundary", "_max_bytes", "_total", "size")

    def __init__(
        self, max_bytes: int, boundary: str, total: TotalBytes | None = None
    ) -> None:
        """Starts at a boundary.

        Args:
            max_bytes: Maximum number of bytes before the next one.
            boundary: What ends the bytes, for the description of an excess.
            total: Counts them too, until `clear`; None if nothing else does.
        """
        self._max_bytes = max_bytes
        self._boundary = boundary
        self._total = total
        self.size = 0

    def add(self, size: int) -> None:
        """Adds bytes."""
        self.size += size
        if self._total is not None:
            self._total.size += size

    def clear(self) -> None:
        """Records a boundary."""
        if self._total is not None:
            self._total.size -= self.size
        self.size = 0

    @property
    def excess(self) -> str | None:
        """Description of the excess, None while the bounds are kept."""
        if self.size > self._max_bytes:
            return f"more than {self._max_bytes} bytes before {self._boundary}"
        if self._total is not None:
            return self._total.find_excess(self.size)
        return None
