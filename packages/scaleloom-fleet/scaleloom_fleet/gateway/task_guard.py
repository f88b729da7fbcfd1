"""
The guard of the process's tasks: one that fails does not end the others.

What a neighbour sends or the system returns may raise what no code expects. The failure
is logged with its traceback and counted; a task that is to run as long as the process
is started again.
"""

import logging
from collections.abc import Awaitable, Callable

import trio

from scaleloom_fleet.gateway.metric_definitions import TASK_FAILURES
from scaleloom_fleet.gateway.state import GatewayState

FIRST_PAUSE_S = 0.1
# A task that fails at once each time may call the store each time.
MAX_PAUSE_S = 5.0
# A task that ran for this long begins again with the first pause.
CALM_S = 10.0
_logger = logging.getLogger("scaleloom.tasks")


async def keep_running(
    state: GatewayState, name: str, task: Callable[[], Awaitable[None]]
) -> None:
    """Run `task` until it returns; start it again after a pause whenever it fails."""
    pause_s = FIRST_PAUSE_S
    while True:
        began_s = trio.current_time()
        if await run_once(state, name, task):
            return
        if trio.current_time() - began_s > CALM_S:
            pause_s = FIRST_PAUSE_S
        await trio.sleep(pause_s)
        pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)


async def run_once(
    state: GatewayState,
    name: str,
    task: Callable[..., Awaitable[None]],
    *arguments: object,
) -> bool:
    """Run `task` with `arguments`; log and count its failure; return if it had none."""
    has_failed = False
    try:
        await task(*arguments)
    except* Exception as group:
        has_failed = True
        record_failure(state, name, group)
    return not has_failed


def record_failure(state: GatewayState, name: str, error: BaseException) -> None:
    """Log and count the failure of a task, or of one step of it."""
    state.metrics_registry.add(TASK_FAILURES, name)
    _logger.error("task failed", exc_info=error, extra={"task": name})
