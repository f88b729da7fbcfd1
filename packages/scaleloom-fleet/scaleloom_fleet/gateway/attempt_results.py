"""Results of one attempt of a request at one target."""

from enum import Enum


class AttemptResult(Enum):
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
NOT_RUN_RESULTS = frozenset(
    {AttemptResult.NOT_RUN, AttemptResult.BACKING_OFF, AttemptResult.WRONG_TARGET}
)
