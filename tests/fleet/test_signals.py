"""Tests of signals received while a process starts or stops."""

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

from nose2.tools import params

from tests.fixtures.processes import environment

SIGNAL_INTERVAL_S = 0.01
SIGNAL_COUNT = 3
STARTING_PROGRAM = """
import sys
print('up', flush=True)
import scaleloom_fleet.__main__
# Modules load slowly enough for a signal to arrive before it is handled.
loaded = [name for name in sys.modules if name.startswith('scaleloom_fleet.')]
allowed = ['__main__', 'utils', 'utils.early_signals']
assert sorted(loaded) == ['scaleloom_fleet.' + name for name in allowed], loaded
assert 'signal' not in sys.modules
print('loaded', flush=True)
sys.stdin.read()
from scaleloom_fleet.utils import early_signals
assert early_signals.pop_received(int(sys.argv[1]))
assert not early_signals.pop_received(int(sys.argv[1]))
print('remembered', flush=True)
"""
STOPPING_PROGRAM = """
import sys, trio
from trio.testing import wait_all_tasks_blocked
from scaleloom_fleet.utils.stop_signals import wait_for_stop_signal
async def run():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait_for_stop_signal)
        await wait_all_tasks_blocked()
        print('up', flush=True)
    print('stopping', flush=True)
    sys.stdin.read()
    print('stopped', flush=True)
trio.run(run)
"""


@contextmanager
def _running(program: str, *arguments: str) -> Iterator[subprocess.Popen]:
    """Yield a process that runs `program` until its standard input is closed."""
    with subprocess.Popen(
        [sys.executable, "-S", "-c", program, *arguments],
        env=environment(),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert process.stdout.readline() == "up\n"
            yield process
        finally:
            process.stdin.close()
            process.wait()


def _send_repeatedly(process: subprocess.Popen, number: signal.Signals) -> None:
    """Send a signal several times and check that the process still runs."""
    for _ in range(SIGNAL_COUNT):
        process.send_signal(number)
        time.sleep(SIGNAL_INTERVAL_S)
    assert process.poll() is None


@params(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
def test_a_signal_during_startup_is_remembered(number):
    with _running(STARTING_PROGRAM, str(int(number))) as process:
        assert process.stdout.readline() == "loaded\n"
        _send_repeatedly(process, number)
        process.stdin.close()
        assert process.stdout.read() == "remembered\n"
    assert process.returncode == 0


@params(signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
def test_a_signal_that_was_blocked_before_the_start_is_remembered(number):
    signal.pthread_sigmask(signal.SIG_BLOCK, {number})
    try:
        with _running(STARTING_PROGRAM, str(int(number))) as process:
            process.send_signal(number)
            assert process.stdout.readline() == "loaded\n"
            _send_repeatedly(process, number)
            process.stdin.close()
            assert process.stdout.read() == "remembered\n"
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {number})
    assert process.returncode == 0


def test_two_stop_signals_at_once_do_not_end_the_process():
    with _running(STOPPING_PROGRAM) as process:
        process.send_signal(signal.SIGSTOP)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGINT)
        process.send_signal(signal.SIGCONT)
        assert process.stdout.readline() == "stopping\n"
        process.stdin.close()
        assert process.stdout.read() == "stopped\n"
    assert process.returncode == 0


def test_a_second_sigterm_does_not_interrupt_a_stop():
    with _running(STOPPING_PROGRAM) as process:
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == "stopping\n"
        _send_repeatedly(process, signal.SIGTERM)
        process.stdin.close()
        assert process.stdout.read() == "stopped\n"
    assert process.returncode == 0
