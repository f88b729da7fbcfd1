"""What this router knows of requests that end targets."""

import logging
from collections.abc import Awaitable, Callable
from enum import Enum

import trio

from scaleloom_core.crash_table import (
    NEVER_S,
    CrashTable,
    End,
    SeenEnds,
    Standing,
    Witness,
)
from scaleloom_core.ids import RequestDigest, TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_fleet.gateway.end_checks import EndChecks

_logger = logging.getLogger("scaleloom.crashes")


class TrialOutcome(Enum):
    """What became of a request that is sent on trial only."""

    BEGUN = "begun"
    LEFT_TO_OTHERS = "left_to_others"
    UNCOUNTED = "uncounted"


TakeTrial = Callable[[RequestDigest, TargetId], Awaitable[TrialOutcome]]


def _tell_nobody() -> None:
    """Do nothing, as long as there are no peers."""


async def _count_none(request: RequestDigest, target: TargetId) -> TrialOutcome:
    """Begin no trial, as long as nobody counts them."""
    return TrialOutcome.UNCOUNTED


class CrashDesk:
    """
    Takes in ends of targets from wherever they are told, and clears requests.

    Parameters
    ----------
    table : CrashTable
        Counts the ends.
    checks : EndChecks
        Finds out whether a target ended.
    changed : trio.Event
        Set at the next change, for requests that wait for one.
    log_lacks : trio.Event
        Set when the log may lack an end.
    outdated : dict of RequestDigest to SeenEnds
        What the log may hold and counts no more.
    is_outdated : trio.Event
        Set when something is added to that.
    unused_trials : list of tuple
        Requests and the numbers of trials that the log holds and were never sent.
    take_trial : callable
        Begins a trial of a request at a target unless another router does.
    uncounted_until_s : float
        Until when nobody is asked to count trials, since nobody did.
    """

    def __init__(self) -> None:
        self.table = CrashTable()
        self.checks = EndChecks()
        self.checks.connect(self._note_ended)
        self.changed = trio.Event()
        self.log_lacks = trio.Event()
        self.is_outdated = trio.Event()
        self._tell: Callable[[], None] = _tell_nobody
        self.outdated: dict[RequestDigest, SeenEnds] = {}
        self.unused_trials: list[tuple[RequestDigest, int]] = []
        self.take_trial: TakeTrial = _count_none
        self.uncounted_until_s = NEVER_S

    def connect(self, tell: Callable[[], None]) -> None:
        """Call `tell` when peers are to hear of something at once."""
        self._tell = tell

    def _note_ended(self, target: ListedTarget, requests: list[RequestDigest]) -> None:
        """Take in that `target` ended while `requests` were under way there."""
        ends = [End(request, target.start) for request in requests]
        if self.note_ends(ends, Witness.OWN):
            self._tell()

    def note_ends(self, ends: list[End], witness: Witness) -> bool:
        """Take in ends of targets; return whether any of them is new."""
        now_s = trio.current_time()
        new = [end for end in ends if self.table.note_end(end, witness, now_s)]
        for end in new:
            self._log_suspect(end.request, witness)
        if new:
            self.note_change()
        return bool(new)

    def _log_suspect(self, request: RequestDigest, witness: Witness) -> None:
        """Write a line about a request that company no longer explains."""
        if not self.table.is_suspect(request):
            return
        ends = self.standing(request).ends
        fields = {"digest": f"{request:016x}", "ends": ends, "by": witness.value}
        _logger.info("request suspected", extra=fields)

    def note_trial(self, request: RequestDigest, number: int, target: TargetId) -> None:
        """Take in that `request` is tried at `target`, for the time `number`."""
        self.table.note_trial(request, number, target, trio.current_time())
        self.note_change()

    def note_change(self) -> None:
        """Wake whoever waits for a change, and whoever writes the log."""
        self.changed.set()
        self.changed = trio.Event()
        self.log_lacks.set()

    def targets_on_trial(self) -> set[TargetId]:
        """Return the targets at which some request is being tried."""
        return self.table.on_trial(trio.current_time())

    def standing(self, request: RequestDigest) -> Standing:
        """Return whether `request` may be sent."""
        return self.table.standing(request, trio.current_time())

    def give_back_trial(self, request: RequestDigest, number: int) -> None:
        """Let the log count a trial of `request` for nothing; it isn't sent."""
        self.unused_trials.append((request, number))
        self.is_outdated.set()

    def clear(self, request: RequestDigest) -> None:
        """Take in that a target answered `request` and goes on."""
        seen = self.table.clear(request)
        if seen is None:
            return
        if seen.is_suspect or seen.is_in_log:
            _logger.info("request cleared", extra={"digest": f"{request:016x}"})
            self.outdated[request] = seen
            self.is_outdated.set()
            self.note_change()

    def forget_old(self, keeps_log: bool) -> None:
        """
        Forget what is too old to count.

        Parameters
        ----------
        keeps_log : bool
            Whether it falls to this router to drop that from the log.
        """
        forgotten = self.table.forget_old(trio.current_time())
        if keeps_log:
            self.outdated |= {r: s for r, s in forgotten.items() if s.is_in_log}
