"""Who reads the platform's list of targets, so that a fleet reads it once."""

import msgspec

RANK_STEP_S = 0.15
LAST_STEP = 3
# Beyond the last step ranks follow closely, or a large fleet would be slow to
# replace its readers; without any step all of them would read in one moment.
LATE_STEP_S = 0.02
LONGEST_LATE_S = 1.0
# A confirmation takes a report to the reader's group and one from its relays.
REPORTS_ON_THE_WAY = 1.5
NEVER_S = float("-inf")
# No entry lapses in an outage that is shorter.
AWAY_AGE_S = 2.0
NEVER_READ_AGE_S = float("inf")
OLDEST_AGE_MS = 3_600_000


class ListFreshness(msgspec.Struct):
    """
    How old this router's list of targets is, and when it must read it itself.

    A router whose list a peer has confirmed lately need not read. The first in
    rank reads in turn; when its reports grow old, the next one does.

    Parameters
    ----------
    poll_s : float
        The age at which the list is to be read again, in seconds.
    confirmed_s : float
        The moment at which the list is known to have been right, on the
        runtime's clock.
    first_due_s : float
        Before when a router that has just started does not read it, since the
        copy of a long list tells it as much for far fewer bytes.
    report_pause_s : float
        The time between two reports of a router to its peers, in seconds.
    """

    poll_s: float
    confirmed_s: float = NEVER_S
    first_due_s: float = NEVER_S
    report_pause_s: float = 0.0

    def confirm(self, at_s: float) -> None:
        """Note that the list was right at `at_s`."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    def age_s(self, now_s: float) -> float:
        """Return how old the list may be."""
        return now_s - self.confirmed_s

    def age_ms(self, now_s: float) -> int:
        """Return how old the list may be, in whole milliseconds, within a bound."""
        return int(min(OLDEST_AGE_MS, self.age_s(now_s) * 1000))

    def was_away(self, now_s: float) -> bool:
        """Return whether the list could not be read for a while until now."""
        return AWAY_AGE_S < self.age_s(now_s) < NEVER_READ_AGE_S

    def due_s(self, rank: int) -> float:
        """Return when the router at `rank` among its peers has to read."""
        due_s = max(self.confirmed_s + self.poll_s, self.first_due_s)
        if rank == 0:
            return due_s
        late_s = min(LONGEST_LATE_S, LATE_STEP_S * max(0, rank - LAST_STEP))
        told_s = REPORTS_ON_THE_WAY * self.report_pause_s
        return due_s + told_s + RANK_STEP_S * min(rank, LAST_STEP) + late_s
