"""Tests of signals that reach a process as it starts or stops."""

import signal
import subprocess
import sys
import time

SIGNAL_INTERVAL_S = 0.01

PROGRAM = (
    "import signal, sys\n"
    + "print('up', flush=True)\n"
    + "import scaleloom_fleet.__main__\n"
    + "assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN\n"
    + "print('loaded', flush=True)\n"
    + "sys.stdin.read()\n"
)


def test_a_hang_up_signal_while_a_process_starts_does_not_end_it():
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert process.stdout.readline() == "up\n"
            assert process.stdout.readline() == "loaded\n"
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
                time.sleep(SIGNAL_INTERVAL_S)
            assert process.poll() is None
        finally:
            process.stdin.close()
            process.wait()
