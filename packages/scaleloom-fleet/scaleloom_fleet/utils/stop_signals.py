"""Waiting for the signals that ask a process to stop."""

import signal

import trio

from scaleloom_fleet.utils import early_signals
from scaleloom_fleet.utils.early_signals import STOP_SIGNALS


async def wait_for_stop_signal() -> None:
    """
    Return when the process is or was asked to stop, and ignore further stop signals.

    A second signal would otherwise kill the process during its graceful stop.
    """
    # The receiver hands a second signal on to the handlers that were there before it.
    early_signals.record()
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        if not early_signals.pop_received(*STOP_SIGNALS):
            async for _ in signals:
                break
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
