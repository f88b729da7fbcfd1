"""When callers that were refused should come back: as places become free."""

from collections import Counter

import msgspec

from scaleloom_core.ids import CustomerId, ServiceName

# A report of a place that a peer freed takes about as long to arrive.
SOONEST_S = 0.15
# Later, a fleet has changed so much that the time would mean nothing.
LATEST_S = 3.0
RATE_TIME_S = 2.0
# The share of freed places that is kept for those who are told to come back;
# the others go to requests that come for the first time.
RETURNS_SHARE = 0.5
# Looking through the lines of 4,000 customers takes 1 ms (timeit, best of five
# beside load), so not at every refusal.
PRUNE_INTERVAL_S = 0.1
NEVER_S = float("-inf")


class ReturnLine(msgspec.Struct, frozen=True):
    """
    Refused callers that come back one after another: alike in rank and customer.

    Parameters
    ----------
    priority : int
        The urgency of their requests, 0 first.
    """

    service: ServiceName
    priority: int
    customer: CustomerId | None


class _Timetable(msgspec.Struct):
    """How fast places of one service become free, and who is due when."""

    freed_per_s: float = 0.0
    noted_s: float = 0.0
    next_s: dict[ReturnLine, float] = msgspec.field(default_factory=dict)
    lines: Counter[int] = msgspec.field(default_factory=Counter)
    pruned_s: float = NEVER_S

    def prune(self, now_s: float) -> None:
        """Forget lines whose last caller is back, unless that was just done."""
        if now_s - self.pruned_s < PRUNE_INTERVAL_S:
            return
        self.pruned_s = now_s
        self.next_s = {line: s for line, s in self.next_s.items() if s > now_s}
        self.lines = Counter(line.priority for line in self.next_s)

    def sharing(self, line: ReturnLine) -> int:
        """Return how many lines, `line` included, share the places that it gets."""
        others = sum(n for rank, n in self.lines.items() if rank <= line.priority)
        return others if line in self.next_s else others + 1


class ReturnTimes(msgspec.Struct):
    """
    Spreads returning callers by the rate at which this router frees places.

    Callers that all come back in one moment find the places full again, all but
    a few. One by one, each finds about one place free. Customers take turns, so
    that one that sends much delays itself, and nobody waits for the less urgent.
    """

    _timetables: dict[ServiceName, _Timetable] = msgspec.field(default_factory=dict)

    def note_freed(self, service: ServiceName, now_s: float) -> None:
        """Count one place of `service` that became free."""
        timetable = self._timetables.setdefault(service, _Timetable(noted_s=now_s))
        self._decay(timetable, now_s)
        timetable.freed_per_s += 1.0 / RATE_TIME_S

    def freed_per_s(self, service: ServiceName, now_s: float) -> float:
        """Return how many places of `service` this router lately freed a second."""
        timetable = self._timetables.get(service)
        if timetable is None:
            return 0.0
        self._decay(timetable, now_s)
        return timetable.freed_per_s

    def book(self, line: ReturnLine, now_s: float) -> float:
        """
        Return in how many seconds the next refused caller of `line` should come back.

        Returns
        -------
        float
            Between `SOONEST_S` and `LATEST_S`.
        """
        timetable = self._timetables.setdefault(line.service, _Timetable(noted_s=now_s))
        self._decay(timetable, now_s)
        timetable.prune(now_s)
        pause_s = 1.0 / max(1.0 / LATEST_S, RETURNS_SHARE * timetable.freed_per_s)
        first_s = now_s + SOONEST_S
        before_s = max(first_s - pause_s, timetable.next_s.get(line, NEVER_S))
        due_s = before_s + timetable.sharing(line) * pause_s
        if line not in timetable.next_s:
            timetable.lines[line.priority] += 1
        timetable.next_s[line] = min(due_s, now_s + LATEST_S)
        return timetable.next_s[line] - now_s

    def _decay(self, timetable: _Timetable, now_s: float) -> None:
        """Let what was counted long ago weigh less."""
        kept = max(0.0, 1.0 - (now_s - timetable.noted_s) / RATE_TIME_S)
        timetable.freed_per_s *= kept
        timetable.noted_s = now_s
