"""Results of one attempt of a request at one target."""

from enum import Enum

from scaleloom_fleet.http1.links import AnswerHead, BodyDelimiter


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
# Results of an exchange that ended before the answer did.
BROKEN_RESULTS = frozenset({AttemptResult.BROKEN, AttemptResult.SILENT})


class AnswerEnd(Enum):
    """
    What is known of the end of a target's answer.

    It is unknown if only the end of the connection marks it: a target that breaks off
    such an answer ends its connection as well.
    """

    COMPLETE = "whole"
    BROKEN = "broken"
    UNKNOWN = "unknown"


def answer_end(head: AnswerHead | None, result: AttemptResult) -> AnswerEnd | None:
    """
    Return what is known of the end of an answer, or None if no answer began.

    None as well for an answer whose head proves that the request has not run.

    Parameters
    ----------
    head : AnswerHead or None
        Of the answer, if one began.
    result : AttemptResult
        Of the attempt that brought it.
    """
    if head is None or result in NOT_RUN_RESULTS:
        return None
    if result in BROKEN_RESULTS:
        return AnswerEnd.BROKEN
    if head.delimiter is BodyDelimiter.CONNECTION:
        return AnswerEnd.UNKNOWN
    return AnswerEnd.COMPLETE
