"""Lets ``python -m scaleloom_fleet`` run a process of the fleet."""

import gc
import signal
import sys

from scaleloom_fleet.utils import listening, own_process  # noqa: F401

# A changed settings file may be signalled before the process could read any;
# it reads the file later, and the default would end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
listening.open_early(sys.argv[1:])
# Nothing that is loaded is ever garbage; `main` lets the collector in again.
gc.disable()

from scaleloom_fleet.main import main  # noqa: E402

if __name__ == "__main__":
    main()
