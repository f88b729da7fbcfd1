"""How a case is run, and its exit codes."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.deployment import Deployment

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Plays a case, with its disruption or without, and returns the exit code.
Play = Callable[[Deployment, bool], Awaitable[int]]


def run(play: Play) -> None:
    """Run a case in the folder that the arguments name, and exit."""
    # An end from outside must end the processes of the case as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    site = Deployment(Path(sys.argv[1]) / "record.txt")
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(play(site, os.environ.get("TROUBLE") != "0"))
    except Exception:
        traceback.print_exc()
    finally:
        site.close()
    sys.exit(code)
