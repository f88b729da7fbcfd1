"""Entry point of ``python -m scaleloom_fleet``, which runs a process of the fleet."""

import gc
import signal
import sys

from scaleloom_fleet.utils import lazy_modules, listening, process_info  # noqa: F401

# SIGHUP asks to reload the settings and may arrive before they are first read. Its
# default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
listening.open_early(sys.argv[1:])
# Loading modules makes no garbage worth collecting; `starting` enables the collector.
gc.disable()


def _run() -> None:
    """Run the command; a plain gateway is started without loading the command line."""
    path = listening.find_gateway_settings(sys.argv[1:])
    if path is None:
        from scaleloom_fleet.main import main

        main()
        return
    lazy_modules.install()
    with lazy_modules.without_thread_names():
        from scaleloom_fleet.starting import start_gateway
    start_gateway(path)


if __name__ == "__main__":
    _run()
