"""When callers that were refused should come back: as places become free."""

import msgspec

from scaleloom_core.ids import ServiceName

# A report of a place that a peer freed takes about as long to arrive.
SOONEST_S = 0.15
# Later, a fleet has changed so much that the time would mean nothing.
LATEST_S = 3.0
RATE_TIME_S = 2.0
# The share of freed places that is kept for those who are told to come back;
# the others go to requests that come for the first time.
RETURNS_SHARE = 0.5


class _Timetable(msgspec.Struct):
    """How fast places of one service become free, and who is due when."""

    freed_per_s: float = 0.0
    noted_s: float = 0.0
    next_s: float = float("-inf")


class ReturnTimes(msgspec.Struct):
    """
    Spreads returning callers by the rate at which this router frees places.

    Callers that all come back in one moment find the places full again, all but
    a few. One by one, each finds about one place free.
    """

    _timetables: dict[ServiceName, _Timetable] = msgspec.field(default_factory=dict)

    def note_freed(self, service: ServiceName, now_s: float) -> None:
        """Count one place of `service` that became free."""
        timetable = self._timetables.setdefault(service, _Timetable(noted_s=now_s))
        self._decay(timetable, now_s)
        timetable.freed_per_s += 1.0 / RATE_TIME_S

    def book(self, service: ServiceName, now_s: float) -> float:
        """
        Return in how many seconds the next refused caller should come back.

        Returns
        -------
        float
            Between `SOONEST_S` and `LATEST_S`.
        """
        timetable = self._timetables.setdefault(service, _Timetable(noted_s=now_s))
        self._decay(timetable, now_s)
        rate = max(1.0 / LATEST_S, RETURNS_SHARE * timetable.freed_per_s)
        due_s = max(now_s + SOONEST_S, timetable.next_s + 1.0 / rate)
        timetable.next_s = min(due_s, now_s + LATEST_S)
        return timetable.next_s - now_s

    def _decay(self, timetable: _Timetable, now_s: float) -> None:
        """Let what was counted long ago weigh less."""
        kept = max(0.0, 1.0 - (now_s - timetable.noted_s) / RATE_TIME_S)
        timetable.freed_per_s *= kept
        timetable.noted_s = now_s
