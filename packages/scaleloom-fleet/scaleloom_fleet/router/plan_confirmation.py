"""Appending of confirmed changes to the log and reading of their results."""

import trio
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.fold import describe_stale, stale_keys
from scaleloom_core.records import Change, ChangeResult, encode_record
from scaleloom_fleet.platform.log import AppendState
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.clock import now_s

CONFIRM_TIMEOUT_S = 8.0
RETRY_INTERVAL_S = 0.5
RESULT_TIMEOUT_S = 2.0


async def confirm_change(
    state: RouterState, change: Change
) -> Result[ChangeResult, FleetError]:
    """
    Append `change` to the log and return its result.

    Appending is idempotent by record id. The log is read forward after each
    append, also after a lost response, and the change is appended again if its
    result does not appear within `RESULT_TIMEOUT_S`.
    """
    stale = stale_keys(state.config.fold.state, change)
    if stale:
        detail = describe_stale(state.config.fold.state, stale)
        return Failure(FleetError(ErrorKind.STALE_PLAN, detail))
    deadline_s = now_s() + CONFIRM_TIMEOUT_S
    may_be_appended = False
    while now_s() < deadline_s:
        appended = await state.log.append(encode_record(change))
        fault = appended.failure() if isinstance(appended, Failure) else None
        if fault is None or fault.state is AppendState.UNKNOWN:
            may_be_appended = True
        result = await _wait_for_result(state, change, deadline_s)
        if result is not None:
            return _accepted_or_error(result)
        await trio.sleep(RETRY_INTERVAL_S)
    return Failure(_no_result_error(change, may_be_appended))


async def _wait_for_result(
    state: RouterState, change: Change, deadline_s: float
) -> ChangeResult | None:
    """Return the result of `change`, or None if the log does not show it in time."""
    wait_until_s = min(deadline_s, now_s() + RESULT_TIMEOUT_S)
    while now_s() < wait_until_s:
        await state.log_feed.catch_up()
        result = state.config.fold.find_result(change.record_id)
        if result is not None:
            return result
        await trio.sleep(RETRY_INTERVAL_S / 2)
    return None


def _accepted_or_error(result: ChangeResult) -> Result[ChangeResult, FleetError]:
    """Return an accepted result, or an error if the change was rejected."""
    if result.accepted:
        return Success(result)
    return Failure(FleetError(ErrorKind.STALE_PLAN, result.reason))


def _no_result_error(change: Change, may_be_appended: bool) -> FleetError:
    """Return the error for a change whose result was not read in time."""
    detail = (
        f"No result for record {change.record_id!r} was found in the log in time; "
        "look the record up in the history before confirming again."
    )
    outcome = Outcome.UNKNOWN if may_be_appended else Outcome.NOT_RUN
    return FleetError(ErrorKind.LOG_UNAVAILABLE, detail, 5.0, outcome=outcome)
