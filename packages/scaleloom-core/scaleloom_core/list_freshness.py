"""Decides which router reads the list of targets, so that a fleet reads it once."""

import msgspec

RANK_STEP_S = 0.15
MAX_RANK_STEPS = 3
# Above `MAX_RANK_STEPS`, ranks follow closely, or a large fleet would be slow to
# replace its readers. Without any step all of them would read at the same time.
HIGH_RANK_STEP_S = 0.02
MAX_HIGH_RANK_DELAY_S = 1.0
# A confirmation takes one report to the reader's group and one from its relays.
REPORT_DELAY_INTERVALS = 1.5
NEVER_S = float("-inf")
# Entries don't expire in a shorter outage.
OUTAGE_AGE_S = 2.0
NEVER_READ_AGE_S = float("inf")
MAX_AGE_MS = 3_600_000


class ListFreshness(msgspec.Struct):
    """
    The age of this router's list of targets, and when this router must read it.

    A router whose list was recently confirmed by a peer need not read it. The router
    of rank 0 reads; when its reports grow old, the router of the next rank does.

    Parameters
    ----------
    poll_s : float
        The age at which the list is to be read again, in seconds.
    confirmed_s : float
        When the list was last known to be current, on the runtime's clock.
    not_before_s : float
        A router that has just started does not read the list before this time, since
        a peer's copy of a long list holds the same in far fewer bytes.
    report_interval_s : float
        The time between two reports of a router to its peers, in seconds.
    """

    poll_s: float
    confirmed_s: float = NEVER_S
    not_before_s: float = NEVER_S
    report_interval_s: float = 0.0

    def confirm(self, at_s: float) -> None:
        """Record that the list was current at `at_s`."""
        self.confirmed_s = max(self.confirmed_s, at_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the list, in seconds."""
        return now_s - self.confirmed_s

    def age_ms(self, now_s: float) -> int:
        """Return the age of the list in whole milliseconds, at most `MAX_AGE_MS`."""
        return int(min(MAX_AGE_MS, self.age_s(now_s) * 1000))

    def was_unavailable(self, now_s: float) -> bool:
        """Return whether the list has been unreadable for a while until now."""
        return OUTAGE_AGE_S < self.age_s(now_s) < NEVER_READ_AGE_S

    @property
    def confirmation_limit_s(self) -> float:
        """
        Return within what time a list that can be read is confirmed once more.

        Even if the router that reads it has just ended: the next one in rank reads the
        list later and reports it to the others.
        """
        report_delay_s = REPORT_DELAY_INTERVALS * self.report_interval_s
        return self.poll_s + 2 * report_delay_s + RANK_STEP_S

    def due_s(self, rank: int) -> float:
        """Return when the router at `rank` among its peers must read the list."""
        due_s = max(self.confirmed_s + self.poll_s, self.not_before_s)
        if rank == 0:
            return due_s
        high_rank_delay_s = min(
            MAX_HIGH_RANK_DELAY_S, HIGH_RANK_STEP_S * max(0, rank - MAX_RANK_STEPS)
        )
        report_delay_s = REPORT_DELAY_INTERVALS * self.report_interval_s
        return (
            due_s
            + report_delay_s
            + RANK_STEP_S * min(rank, MAX_RANK_STEPS)
            + high_rank_delay_s
        )
