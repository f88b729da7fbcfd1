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


STOPPING_PROGRAM = (
    "import sys, time, trio\n"
    + "from scaleloom_fleet.utils.stopping import wait_signal\n"
    + "async def run():\n"
    + "    async with trio.open_nursery() as nursery:\n"
    + "        nursery.start_soon(wait_signal)\n"
    + "        await trio.sleep(0.1)\n"
    + "        print('up', flush=True)\n"
    + "    print('stopping', flush=True)\n"
    + "    sys.stdin.read()\n"
    + "    print('stopped', flush=True)\n"
    + "trio.run(run)\n"
)


def test_a_second_signal_does_not_end_a_stop():
    with subprocess.Popen(
        [sys.executable, "-c", STOPPING_PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        try:
            assert process.stdout.readline() == "up\n"
            process.send_signal(signal.SIGTERM)
            assert process.stdout.readline() == "stopping\n"
            for _ in range(3):
                process.send_signal(signal.SIGTERM)
                time.sleep(SIGNAL_INTERVAL_S)
            assert process.poll() is None
        finally:
            process.stdin.close()
            rest = process.stdout.read()
            process.wait()
    assert (rest, process.returncode) == ("stopped\n", 0)
