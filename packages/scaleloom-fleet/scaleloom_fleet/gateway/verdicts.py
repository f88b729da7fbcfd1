"""Results of one attempt of a request at one target."""

from enum import Enum


class Verdict(Enum):
    """Result of one attempt of a request at one target."""

    ANSWERED = "answered"
    NEVER_SENT = "never_sent"
    NOT_RUN = "not_run"
    BACKING_OFF = "resting"
    WRONG_TARGET = "misplaced"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"


# Results by which the target proved that it has not run the request.
TURNED_AWAY = frozenset({Verdict.NOT_RUN, Verdict.BACKING_OFF, Verdict.WRONG_TARGET})
