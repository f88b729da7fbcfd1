"""Lets ``python -m scaleloom_fleet`` run a process of the fleet."""

import gc
import signal
import sys

from scaleloom_fleet.utils import late_modules, listening, own_process  # noqa: F401

# A changed settings file may be signalled before the process could read any;
# it reads the file later, and the default would end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
listening.open_early(sys.argv[1:])
# Nothing that is loaded is ever garbage; `starting` lets the collector in again.
gc.disable()


def _run() -> None:
    """Run what the arguments ask for; a plain gateway loads no command line."""
    path = listening.plain_gateway(sys.argv[1:])
    if path is None:
        from scaleloom_fleet.main import main

        main()
        return
    late_modules.defer()
    with late_modules.without_thread_names():
        from scaleloom_fleet.starting import start_gateway
    start_gateway(path)


if __name__ == "__main__":
    _run()
