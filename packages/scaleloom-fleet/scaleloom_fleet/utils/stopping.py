"""The signals that ask a process to stop."""

import signal

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_signal() -> None:
    """
    Return when the process is asked to stop, and take no notice of more asking.

    A second signal would otherwise end the process in the middle of its stop.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async for _ in signals:
            break
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
