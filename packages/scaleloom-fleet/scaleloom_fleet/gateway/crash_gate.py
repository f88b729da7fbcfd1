"""Whether a request that may end targets is sent, on trial or not at all."""

import trio

from scaleloom_core.crash_table import HELD_ENDS, Leave, Standing
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import TargetId
from scaleloom_fleet.gateway.crashes import TrialOutcome
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import Verdict
from scaleloom_fleet.gateway.work import Work

# Whatever answered goes on, so that the request did not end it.
ANSWERS = frozenset({Verdict.ANSWERED, Verdict.FAILED})
ENDS = frozenset({Verdict.BROKEN, Verdict.SILENT})
# A store that did not tell is not asked again, and callers are not told to be
# back, before this.
UNCOUNTED_S = 1.0


def find_leave(state: GatewayState, work: Work) -> Standing | None:
    """Return whether `work` may be sent, or None if nothing speaks against it."""
    desk = state.crashes
    if not desk.table.suspect_count or not desk.table.is_suspect(work.digest):
        return None
    return desk.standing(work.digest)


async def wait_for_leave(
    state: GatewayState, work: Work, until_s: float
) -> FleetError | None:
    """
    Return why `work` may not be sent, or None if it may.

    While others try it, it waits for what comes of that; the answer clears it.
    """
    while (standing := find_leave(state, work)) is not None:
        work.is_on_trial = standing.leave is Leave.ON_TRIAL
        if work.is_on_trial and not _is_left_uncounted(state, standing):
            return None
        if not standing.is_being_tried or trio.current_time() >= until_s:
            return _held(standing)
        with trio.move_on_at(min(until_s, standing.until_s)):
            await state.crashes.changed.wait()
    work.is_on_trial = False
    return None


def _is_left_uncounted(state: GatewayState, standing: Standing) -> bool:
    """Return whether nobody counts the trials of what nothing else explains."""
    is_uncounted = trio.current_time() < state.crashes.uncounted_until_s
    return is_uncounted and standing.ends >= HELD_ENDS


def _held(standing: Standing) -> FleetError:
    """Return the refusal of a request that is held back."""
    after_s = standing.until_s - trio.current_time()
    return FleetError(
        ErrorKind.REQUEST_HELD,
        f"{standing.ends} targets ended while they ran this very request.",
        retry_after_s=after_s if after_s > 0.0 else UNCOUNTED_S,
    )


async def may_be_sent(state: GatewayState, work: Work, target: TargetId) -> bool:
    """
    Return whether `work` is sent to `target`, where it has a place, now.

    One trial is begun in the whole fleet. While nobody counts them a request is
    sent, unless so many targets ended under it that nothing else explains them.
    """
    standing = find_leave(state, work)
    if standing is None:
        return True
    if standing.leave is not Leave.ON_TRIAL or not work.is_on_trial:
        return False
    desk = state.crashes
    outcome = TrialOutcome.UNCOUNTED
    if trio.current_time() >= desk.uncounted_until_s:
        outcome = await desk.take_trial(work.digest, target)
    if outcome is TrialOutcome.BEGUN:
        work.trial_number = desk.table.open_trial(work.digest, trio.current_time())
    if outcome is not TrialOutcome.UNCOUNTED:
        return outcome is TrialOutcome.BEGUN
    desk.uncounted_until_s = trio.current_time() + UNCOUNTED_S
    return standing.ends < HELD_ENDS


def give_back_trial(state: GatewayState, work: Work) -> None:
    """Take back the trial that was begun for `work`, if any; it isn't sent."""
    if work.trial_number is not None:
        state.crashes.give_back_trial(work.digest, work.trial_number)
        work.trial_number = None


async def note_verdict(state: GatewayState, work: Work, verdict: Verdict) -> None:
    """Take in what the end of an exchange says of the request."""
    desk = state.crashes
    if verdict in ENDS and work.end_check is not None:
        if desk.table.find(work.digest) is not None:
            # One more end may be one too many for it to be sent again at once.
            await work.end_check.is_done.wait()
    elif verdict in ANSWERS and len(desk.table):
        desk.clear(work.digest)
