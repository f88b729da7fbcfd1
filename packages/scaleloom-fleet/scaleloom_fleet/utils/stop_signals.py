"""Waiting for the signals that ask a process to stop."""

import signal

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop_signal() -> None:
    """
    Return when the process is asked to stop, and ignore further stop signals.

    A second signal would otherwise kill the process during its graceful stop.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            break
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
