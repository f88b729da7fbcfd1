"""Whether an answer came much slower than is usual at the current version."""

import msgspec


class UsualPaces(msgspec.Struct):
    """
    The usual pace of answers of the current version, by route.

    A pace is a time: of a plain answer, from sending to its end; of a stream,
    for each byte between its first and its last events.
    """

    def note_current(self, route: int, pace: float) -> None:
        """Take in an answer of the current version."""

    def is_slow(self, route: int, pace: float) -> bool:
        """Return whether `pace` is several times the usual one of `route`."""
