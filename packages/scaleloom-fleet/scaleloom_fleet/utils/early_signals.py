"""
Signals that arrive before the tasks that handle them run.

Imported before everything else: until `record` has run, a signal ends the process.
"""

# The public module takes several milliseconds to load.
import _signal

STOP_SIGNALS = (_signal.SIGTERM, _signal.SIGINT)
RELOAD_SIGNAL = _signal.SIGHUP
_HANDLED = (*STOP_SIGNALS, RELOAD_SIGNAL)
_received: set[int] = set()


def record() -> None:
    """
    Remember signals that ask for a stop or a reload, until a task asks for them.

    SIGINT would otherwise raise KeyboardInterrupt wherever the process is, also within
    the loading of a module, where it may be lost. Signals that were blocked when the
    process was started are let through.
    """
    for number in _HANDLED:
        _signal.signal(number, _remember)
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, _HANDLED)


def _remember(number: int, frame: object) -> None:
    """Remember that a signal has arrived."""
    _received.add(number)


def pop_received(*numbers: int) -> bool:
    """Return whether any of the signals has arrived, and forget them."""
    is_received = not _received.isdisjoint(numbers)
    _received.difference_update(numbers)
    return is_received


def ignore() -> None:
    """Ignore all of them from now on, also while the interpreter ends."""
    for number in _HANDLED:
        _signal.signal(number, _signal.SIG_IGN)
