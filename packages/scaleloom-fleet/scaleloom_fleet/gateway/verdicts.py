"""How a request fared at one target."""

from enum import Enum


class Verdict(Enum):
    """How a request fared at one target."""

    ANSWERED = "answered"
    NEVER_SENT = "never_sent"
    NOT_RUN = "not_run"
    MISPLACED = "misplaced"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
