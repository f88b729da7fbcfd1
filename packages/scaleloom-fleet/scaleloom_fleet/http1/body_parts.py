"""The parts of a body that have been read, until all of them are there."""

# Shorter parts are merged, since an object for each would take many times its bytes.
MIN_PART_BYTES = 4096
MERGED_BYTES = 65_536


class BodyParts:
    """
    Parts of a body, in order.

    Parameters
    ----------
    size_bytes : int
        The size of all parts.
    """

    def __init__(self) -> None:
        self._parts: list[bytes | bytearray] = []
        self.size_bytes = 0

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.size_bytes += len(part)
        if not self._parts or len(part) >= MIN_PART_BYTES:
            self._parts.append(part)
            return
        last = self._parts[-1]
        if isinstance(last, bytearray) and len(last) < MERGED_BYTES:
            last += part
        else:
            self._parts.append(bytearray(part))

    def join(self) -> bytes:
        """Return the body; the parts are not kept."""
        parts, self._parts = self._parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)
