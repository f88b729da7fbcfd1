"""Tests of signals received while a process starts or stops."""

import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager

SIGNAL_INTERVAL_S = 0.01
SIGNAL_COUNT = 3
STARTING_PROGRAM = """
import signal, sys
print('up', flush=True)
import scaleloom_fleet.__main__
assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
# Modules load slowly enough for a signal to arrive before it is ignored.
assert not [name for name in sys.modules if name.startswith('scaleloom_fleet.utils')]
print('loaded', flush=True)
sys.stdin.read()
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
def _running(program: str) -> Iterator[subprocess.Popen]:
    """Yield a process that runs `program` until its standard input is closed."""
    with subprocess.Popen(
        [sys.executable, "-c", program],
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


def test_sighup_during_startup_does_not_end_the_process():
    with _running(STARTING_PROGRAM) as process:
        assert process.stdout.readline() == "loaded\n"
        _send_repeatedly(process, signal.SIGHUP)


def test_a_second_sigterm_does_not_interrupt_a_stop():
    with _running(STOPPING_PROGRAM) as process:
        process.send_signal(signal.SIGTERM)
        assert process.stdout.readline() == "stopping\n"
        _send_repeatedly(process, signal.SIGTERM)
        process.stdin.close()
        assert process.stdout.read() == "stopped\n"
    assert process.returncode == 0
