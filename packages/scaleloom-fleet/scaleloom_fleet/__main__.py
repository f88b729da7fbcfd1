"""Lets ``python -m scaleloom_fleet`` run a process of the fleet."""

import signal

# A changed settings file may be signalled before the process could read any;
# it reads the file later, and the default would end it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from scaleloom_fleet.main import main  # noqa: E402

if __name__ == "__main__":
    main()
