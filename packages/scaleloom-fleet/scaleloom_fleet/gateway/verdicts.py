"""How a request fared at one target."""

from enum import Enum


class Verdict(Enum):
    """How a request fared at one target."""

    ANSWERED = "answered"
    NEVER_SENT = "never_sent"
    NOT_RUN = "not_run"
    RESTING = "resting"
    MISPLACED = "misplaced"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"


# The target has proved that it has not run the request.
TURNED_AWAY = frozenset({Verdict.NOT_RUN, Verdict.RESTING, Verdict.MISPLACED})
